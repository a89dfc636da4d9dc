//! The reducer of an entry, the process that accepts requests from callers.
//!
//! It chooses a target for each request from its hints, which may be out of date, and tries another
//! target if the agent there refuses. Only the agent decides whether a request runs.

mod choice;
mod explanation;
mod handover;
mod hints;
mod requests;
mod ring;
mod state;

pub use crate::retry_budget::{
    RetryBudget,
    RetryBudgetOptions, //
};
pub use explanation::Candidate;
pub use explanation::Explanation;
pub use hints::Hints;
pub use requests::IncomingRequest;
pub use requests::Rejection;
pub use ring::{
    Ring,
    Target, //
};
pub use state::{
    Options,
    State, //
};

use std::time::Duration;

use protocol::{
    Heartbeat,
    Outcome,
    TargetStatus, //
};
use record::Decision;
use utils::Name;

use crate::follower;

/// An input of the entry's reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An event for the follower of the sheet and the list of instances.
    Follow(follower::Event),
    /// A heartbeat or the reply to one was received from this instance.
    Heartbeat(Name, Heartbeat),
    /// This instance did not reply to a heartbeat.
    HeartbeatFailed(Name),
    /// A caller sent a request.
    RequestReceived(IncomingRequest),
    /// The first byte of the response was sent to the caller, so the response cannot be replaced
    /// any more. If `resumable`, another target can continue it.
    ResponseStarted {
        /// Identifies the request.
        token: u64,
        /// Whether the response is a stream of a known version.
        resumable: bool,
    },
    /// The agent of the chosen target could not be reached; nothing was sent.
    SendFailed(u64),
    /// The agent reported the outcome of the request, or the connection to it broke.
    Outcome {
        /// Identifies the request.
        token: u64,
        /// The outcome.
        outcome: Outcome,
        /// The target's start counter when the request ran.
        start_count: u64,
    },
    /// The agent of a response that has started sends nothing. The exchange with it stays open.
    AgentSilent(u64),
    /// The silent agent continued the response before another target did, which is left.
    SilentAgentSpoke(u64),
    /// The exchange with the silent agent ended without the rest of the response.
    SilentAgentEnded {
        /// Identifies the request.
        token: u64,
        /// The outcome.
        outcome: Outcome,
        /// The target's start counter when the request ran.
        start_count: u64,
    },
    /// Another target has begun to continue the response. The silent agent is left.
    ResponseResumed(u64),
    /// The caller closed the connection.
    CallerDisconnected(u64),
    /// The status of a probed target, or `None` if the probe failed.
    ProbeResult(Name, Option<TargetStatus>),
    /// The process is asked to shut down.
    DrainRequested,
}

/// An action that the entry's reducer requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An action of the follower of the sheet and the list of instances.
    Follow(follower::Effect),
    /// Send a request to the agent of a target.
    Send {
        /// Identifies the request until it ends.
        token: u64,
        /// The target.
        target: Name,
        /// Whether a target has crashed while running this request.
        is_suspect: bool,
        /// Time left until the deadline.
        timeout: Duration,
    },
    /// Send the caller an error response of this entry.
    Reject(u64, Rejection),
    /// The response is complete and was forwarded.
    CompleteResponse(u64),
    /// Continue with the silent agent and wait for it. Ends each handover that no other target continues; the
    /// effects of the request before it concern targets that are left.
    KeepTarget(u64),
    /// Stop waiting for the agent's response.
    StopWaiting(u64),
    /// Ask an agent for the state of its target.
    Probe(Name),
    /// Write a decision to the record.
    Record(Decision),
    /// End the connections of callers between requests.
    CloseConnections,
    /// No request is pending any more; the process may exit.
    Exit,
}
