//! The reducer of an entry, which serves callers.
//!
//! It chooses a target for each request from hints and asks elsewhere if the agent there refuses.
//! Whether a request runs is never decided here.

mod calls;
mod choose;
mod explain;
mod hints;
mod ring;
mod state;

pub use crate::budget::{
    Budget,
    BudgetOptions, //
};
pub use calls::Arrived;
pub use calls::Rejection;
pub use explain::Candidate;
pub use explain::Explanation;
pub use hints::Hints;
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

use crate::follow;

/// What happens to an entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// News of the sheet or the list.
    Follow(follow::Event),
    /// A heartbeat came, or the answer to one.
    Heartbeat(Name, Heartbeat),
    /// A heartbeat was not answered.
    Silent(Name),
    /// A caller sent a request.
    Arrive(Arrived),
    /// The first byte of the answer went to the caller, so no other answer can be given. It may
    /// be gone on with by another target if `resumable`.
    Committed {
        /// The request.
        token: u64,
        /// Whether the answer is a stream of a known version.
        resumable: bool,
    },
    /// The agent could not be reached; nothing was sent.
    NotSent(u64),
    /// The agent said what came of the request, or its connection broke.
    Outcome {
        /// The request.
        token: u64,
        /// What came of it.
        outcome: Outcome,
        /// How often the target had started before the request ran.
        start: u64,
    },
    /// The caller went away.
    Gone(u64),
    /// A probe was answered, or not.
    Status(Name, Option<TargetStatus>),
    /// The process is asked to stop.
    Drain,
}

/// What an entry asks to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Follow the sheet or the list.
    Follow(follow::Effect),
    /// Hand a request to the agent of a target.
    Send {
        /// Names the request until it ends.
        token: u64,
        /// The target.
        target: Name,
        /// Whether a target crashed while the request ran.
        suspect: bool,
        /// Time left until the deadline.
        timeout: Duration,
    },
    /// Answer the caller without an answer of a target.
    Reject(u64, Rejection),
    /// The answer is complete and was passed on.
    Done(u64),
    /// Stop waiting for the agent.
    Abandon(u64),
    /// Ask an agent for the state of its target.
    Probe(Name),
    /// Write a line of the record.
    Record(Decision),
    /// Everything has ended; the process may go.
    Exit,
}
