//! Requests suspected of crashing targets.

use serde::{
    Deserialize,
    Serialize, //
};
use utils::Name;

/// Identifies requests with the same content for the same model or service.
pub type Fingerprint = u64;

/// Identifies a part of prompts with the same content, for example a document that many requests
/// refer to.
pub type PromptPartId = u64;

/// A crash of a target while it was running a request, or a request with a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// What may have caused the crash.
    pub suspect: Suspect,
    /// The target that crashed.
    pub target: Name,
    /// A number that differs between the starts of the target, which distinguishes its crashes: its
    /// start counter or the time of its start.
    pub start_count: u64,
    /// Whether the request, or one with the part, has since completed elsewhere, which shows that it
    /// did not cause the crash.
    pub is_cleared: bool,
    /// Whether the request, or one with the part, had completed before the crash, as far as the reporting
    /// process knows. Then another suspect is the likelier cause.
    pub has_completed: bool,
    /// The number of crashes in a row under the suspect, this one included: one more than were known
    /// when the request was sent. Targets that crash at the same time have the same number.
    pub round: u32,
    /// The position of the part in the prompt, or zero for a request. Later parts are shared by fewer
    /// requests.
    pub position: u32,
    /// Milliseconds since the crash.
    pub age_ms: u64,
}

impl Crash {
    /// The crash of a target under a request, of which no other crash need be known.
    pub fn of_request(fingerprint: Fingerprint, target: Name, start_count: u64) -> Self {
        Self {
            suspect: Suspect::Request(fingerprint),
            target,
            start_count,
            is_cleared: false,
            has_completed: false,
            round: 1,
            position: 0,
            age_ms: 0,
        }
    }
}

/// What may have caused a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspect {
    /// Requests with this fingerprint.
    Request(Fingerprint),
    /// Any request whose prompt has this part.
    PromptPart(PromptPartId),
}
