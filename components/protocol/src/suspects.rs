//! Requests that were running when a target crashed.

use serde::{
    Deserialize,
    Serialize, //
};
use utils::Name;

/// Identifies requests with the same content for the same model or service.
pub type Fingerprint = u64;

/// One crash of a target while a request ran there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target that crashed.
    pub target: Name,
    /// How often the target had started before, which tells its crashes apart.
    pub start: u64,
    /// Whether the request has run to its end elsewhere since, so that it did not cause the crash.
    pub cleared: bool,
}
