//! Requests suspected of crashing targets.

use serde::{
    Deserialize,
    Serialize, //
};
use utils::Name;

/// Identifies requests with the same content for the same model or service.
pub type Fingerprint = u64;

/// A crash of a target while it was running a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The target that crashed.
    pub target: Name,
    /// The number of starts of the target before the crash, which distinguishes its crashes.
    pub target_starts: u64,
    /// Whether the request has since completed elsewhere, which shows that it did not cause the
    /// crash.
    pub is_cleared: bool,
}
