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

/// A crash of a target while it was running a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The target that crashed.
    pub target: Name,
    /// A number that differs between the starts of the target, which distinguishes its crashes: its
    /// start counter or the time of its start.
    pub start_count: u64,
    /// Whether the request has since completed elsewhere, which shows that it did not cause the
    /// crash.
    pub is_cleared: bool,
}
