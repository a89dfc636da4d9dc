//! The interface for reading and writing message heads. It keeps header names out of this crate.

use std::time::Duration;

use control::notice::Notice;
use control::router::load::LoadReport;
use control::router::ForwardRequest;
use http::request;
use http::response;
use http::HeaderMap;
use protocol::PromptPartId;
use utils::Name;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The id that the caller gave to this attempt.
    pub id: Option<Name>,
    /// The API key of the caller.
    pub api_key: Option<Name>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The number of tokens of the prompt, and the maximum number of tokens of the answer.
    pub prompt_and_max_answer_tokens: Option<(u32, u32)>,
    /// The caller's estimate of the tokens of the answer, which is often wrong.
    pub answer_tokens_hint: Option<u32>,
    /// The number of the last event that the caller already received, if a stream is resumed.
    pub last_event_id: Option<u64>,
    /// The parts of the prompt that other requests may share, in their order.
    pub shared_prompt_parts: Vec<PromptPartId>,
}

/// What the head of a target's response says about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The target ran the request.
    Ran,
    /// The target is full or shutting down, and did not run the request.
    Busy,
    /// The response came from another target, which now has this address.
    WrongInstance,
    /// The target serves another version of the weights than the request asked for.
    WrongVersion,
}

/// What the head of a target's response says.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The id of the request.
    pub id: Option<Name>,
    /// Whether the target ran the request, and if not, why.
    pub execution: ExecutionStatus,
    /// Whether the response has the target's signature.
    pub is_signed: bool,
    /// The target's report of its load.
    pub load: Option<LoadReport>,
    /// The remaining time of the target's cold start.
    pub cold_remaining: Option<Duration>,
    /// The version of the weights that served the request.
    pub version: Option<u64>,
    /// What the target says of itself.
    pub notice: Notice,
}

/// The data for the headers of a request to a target.
#[derive(Clone, Debug)]
pub struct ForwardParameters<'a> {
    /// The target and the limits of this attempt.
    pub forward: &'a ForwardRequest,
    /// The time until the caller's deadline.
    pub time_left: Duration,
    /// The number of the last event that the caller received.
    pub last_event_id: Option<u64>,
}

/// Functions that read and write message heads.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// Reads the head of a caller's request.
    pub read_request: fn(&request::Parts) -> RequestHead,
    /// Removes headers of the caller that must not reach a target, and adds those for the target.
    pub write_request: fn(&mut HeaderMap, &ForwardParameters<'_>),
    /// Reads the head of a response to a request that was sent to the named target.
    pub read_response: fn(&response::Parts, &str) -> ResponseHead,
    /// Adds the headers of a response that this process itself makes, given the request's id.
    pub write_response: fn(&mut HeaderMap, &str),
}
