//! The reducer of a process that forwards callers' requests straight to targets.
//!
//! It holds the configuration, the list of targets and the requests under way, and decides which
//! request goes where, waits, is sent again or is refused. Targets enforce what only they know:
//! that they are the expected instance, and that they run the expected version.

mod arrivals;
mod beliefs;
pub mod config;
pub mod health;
pub mod lease;
pub mod load;
mod outcomes;
pub mod pace;
mod pending;
pub mod place;
mod placing;
pub mod queue;
mod refusals;
mod reserving;
mod state;
pub mod table;
pub mod targets;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use protocol::{
    Backlog,
    Fingerprint, //
};
use record::Decision;
use utils::Name;

use config::Config;
use load::LoadReport;
use targets::TargetEntry;

pub use refusals::Reason;
pub use state::{
    EnginePlace,
    Options,
    State,
    Summary, //
};

/// A caller's request, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Names the request inside the process.
    pub token: u64,
    /// The caller's name for this try.
    pub id: Name,
    /// The host that the caller names.
    pub host: Name,
    /// The path.
    pub path: Name,
    /// The key that the caller presents.
    pub key: Option<Name>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt and of the answer, at most.
    pub tokens: Option<(u32, u32)>,
    /// The last event that the caller has already.
    pub after_event: Option<u64>,
    /// Identifies requests with the same content of the same caller.
    pub fingerprint: Fingerprint,
}

/// What came of sending a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer went to the caller. The flag tells an answer that is the target's failure.
    Answered {
        /// The target answered with a failure of its own.
        failed: bool,
    },
    /// The target says that it did not run the request: it is full, or leaves.
    Busy,
    /// The address belongs to another target now.
    OtherInstance,
    /// The target runs another version than the one asked for.
    OtherVersion,
    /// No byte of the request reached the target.
    NotSent,
    /// The answer broke off, never came, or is not one.
    Broken {
        /// The target went silent or its connection broke, as in a crash.
        lost: bool,
    },
    /// Nothing came for longer than an answer that is on time takes.
    Silent,
    /// The time for the answer is over.
    TimedOut,
}

/// What happens to the process.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A configuration was read.
    Config(Arc<Config>),
    /// The list names a target.
    Listed(TargetEntry),
    /// The list no longer names a target.
    Unlisted {
        /// The target.
        id: Name,
        /// How long the entry may still come back.
        grace: Duration,
    },
    /// The list was read as a whole: every target that is not in it is missing.
    ListedAll {
        /// The targets in it.
        names: Vec<Name>,
        /// How long others may still come back.
        grace: Duration,
    },
    /// A data centre is to get nothing, or may again.
    DataCentre {
        /// The data centre.
        name: Name,
        /// Whether it is out of service.
        out: bool,
    },
    /// A version of a model's weights is the one to serve.
    Version {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// For how long it has been named, if that is known.
        age: Option<Duration>,
    },
    /// The platform answered a call that was sent at this time, and all it said was taken.
    Current(Duration),
    /// A target's agent said what the target does.
    Engine {
        /// The target.
        id: Name,
        /// The version that it runs.
        version: Option<u64>,
        /// Whether it takes nothing new before it has changed its weights.
        is_switching: bool,
        /// Processes that ask the agent, and so may send to the target.
        watchers: u32,
    },
    /// A caller's request is whole.
    Arrive(Arrival),
    /// The head of an answer came.
    Head {
        /// The request.
        token: u64,
        /// What the target says of its load.
        load: Option<LoadReport>,
        /// How long the target stays cold, if it says so.
        cold_for: Option<Duration>,
        /// The version that answers.
        version: Option<u64>,
    },
    /// The caller got the first part of the answer.
    Started(u64),
    /// An exchange with a target ended.
    Ended {
        /// The request.
        token: u64,
        /// What came of it.
        outcome: Outcome,
        /// The longest pause between two parts of the answer.
        pause: Duration,
    },
    /// An agent reserved a place for a request, or did not answer.
    Reserved {
        /// The request.
        token: u64,
        /// What the agent told, if it answered.
        offer: Option<Offer>,
    },
    /// A request has waited long enough.
    WaitOver(u64),
    /// The caller is gone.
    Left(u64),
    /// The process begins its planned stop.
    Drain,
    /// The process takes no more requests, since they could not be ended before it is gone.
    Close,
}

/// Where and how to send a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// The target.
    pub target: Name,
    /// Its address.
    pub address: SocketAddr,
    /// The team to name to the target.
    pub team: Option<Name>,
    /// The version of the weights that must answer.
    pub version: Option<u64>,
    /// Which of the targets this is, from one.
    pub attempt: u32,
    /// How urgent the target is told that it is.
    pub urgency: u8,
    /// When the answer must be whole.
    pub deadline: Duration,
    /// How long the target may stay silent before another is asked.
    pub patience: Duration,
    /// When the first part of the answer must have come, since the target runs a version that may
    /// then not begin an answer any more.
    pub begin_by: Option<Duration>,
    /// Whether the answer is a series of events.
    pub is_stream: bool,
}

/// What an agent tells of its engine when it is asked for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// What stands before the request.
    pub ahead: Backlog,
    /// Whether the engine takes requests now: it may be about to load, or in cold start.
    pub is_open: bool,
}

/// Where to reserve a place for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reserve {
    /// The address of the engine.
    pub address: SocketAddr,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Requests a second that the engine bears, all processes together, if it is in cold start.
    pub cold_rate: Option<u32>,
}

/// Why and how a request ends without the answer of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// The request has not run and never will.
    pub not_run: bool,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// What the reducer asks to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Ask a target's agent for a place, which is kept until the request leaves the target. A
    /// place that the request had before is given up.
    Reserve(u64, Reserve),
    /// Send the request to a target.
    Send(u64, Send),
    /// Tell the reducer when the request has waited until this time.
    Wait(u64, Duration),
    /// End the request.
    Reject(u64, Rejection),
    /// Write a line of the record.
    Record(Decision),
}
