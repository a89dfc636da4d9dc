//! How requests and answers are read and written, so that forwarding knows no header by name.

use std::time::Duration;

use control::router::load::LoadReport;
use control::router::Send;
use http::request;
use http::response;
use http::HeaderMap;
use utils::Name;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's name for this try.
    pub id: Option<Name>,
    /// The key that the caller presents.
    pub key: Option<Name>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt and of the answer, at most.
    pub tokens: Option<(u32, u32)>,
    /// The last event that the caller has already.
    pub after_event: Option<u64>,
}

/// What the head of a target's answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target ran it.
    Ran,
    /// The target is full or leaves and did not run it.
    Busy,
    /// Another target has the address.
    OtherInstance,
    /// The target runs another version of the weights.
    OtherVersion,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it belongs to.
    pub id: Option<Name>,
    /// What became of the request.
    pub verdict: Verdict,
    /// Whether the target signed the answer.
    pub is_signed: bool,
    /// What the target says of its load.
    pub load: Option<LoadReport>,
    /// How long the target stays cold.
    pub cold_for: Option<Duration>,
    /// The version of the weights that answers.
    pub version: Option<u64>,
}

/// What is written into a request to a target.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Where it goes.
    pub send: &'a Send,
    /// How long the caller still waits.
    pub time_left: Duration,
    /// The last event that the caller has.
    pub after_event: Option<u64>,
}

/// One way of reading and writing heads.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads the head of a caller's request.
    pub read_request: fn(&request::Parts) -> CallerHead,
    /// Takes out of a caller's headers what a target must not see, and adds what it must know.
    pub write_attempt: fn(&mut HeaderMap, &Attempt<'_>),
    /// Reads the head of an answer of the target with this name.
    pub read_answer: fn(&response::Parts, &str) -> AnswerHead,
    /// Marks an answer of this process's own with the request that it belongs to.
    pub mark_answer: fn(&mut HeaderMap, &str),
}
