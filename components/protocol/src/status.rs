//! The status of a target as reported by its agent.

use serde::{
    Deserialize,
    Serialize, //
};
use utils::Name;

/// The progress of a target towards the version that the sheet specifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No sheet is active, or it assigns no workload to this instance.
    Idle,
    /// Pieces are being downloaded. An older version may still be serving.
    Staging,
    /// Every piece is staged. The switch waits for those of other targets.
    Waiting,
    /// The target finishes running requests before the switch.
    Draining,
    /// The target is loading the version.
    Loading,
    /// The target runs the version and is in cold start, with a reduced limit.
    Cold,
    /// The target runs the version with its full limit.
    Warm,
}

/// The status of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The model or service that the sheet assigns to the target.
    pub workload: Option<Name>,
    /// The version that the target serves, if the workload is a model.
    pub version: Option<Name>,
    /// The progress towards the specified version.
    pub phase: Phase,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub queued: u32,
    /// Maximum number of concurrently running requests.
    pub limit: u32,
}
