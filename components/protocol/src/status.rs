//! What an agent says of its target.

use serde::{
    Deserialize,
    Serialize, //
};
use utils::Name;

/// How far a target is with the version that the sheet names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The sheet names no work for this instance, or none is in force.
    Idle,
    /// Pieces are on their way; an older version may be serving meanwhile.
    Staging,
    /// Every piece is staged and the switch waits for its turn.
    Waiting,
    /// Running requests end before the switch.
    Draining,
    /// The target loads the version.
    Loading,
    /// The target runs the version and is in cold start.
    Cold,
    /// The target runs the version and bears its full load.
    Warm,
}

/// The state of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The model or service that the sheet places here.
    pub workload: Option<Name>,
    /// The version that the target answers from, if it is a model.
    pub version: Option<Name>,
    /// How far the target is.
    pub phase: Phase,
    /// Whether it takes new work.
    pub ready: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests that may run at once.
    pub limit: u32,
}
