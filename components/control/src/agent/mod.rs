//! The state machine of an agent. All requests to a target go through its agent.
//!
//! The agent alone decides whether the target accepts another request, whether a request that may
//! run at most once is run, and when the target switches to another version.

mod admission;
mod fair;
mod once;
mod rollout;
mod state;
mod work;

pub use admission::{
    AdmissionOptions,
    Offered, //
};
pub use fair::{
    FairQueue,
    QueuedRequest, //
};
pub use once::{
    key_stamp,
    AtMostOnceTable,
    OnceOptions, //
};
pub use rollout::{
    Effect as RolloutEffect,
    EngineState,
    Rollout,
    RolloutOptions,
    Version, //
};
pub use state::{
    Options,
    State, //
};
pub use work::Ended;

use std::time::Duration;

use protocol::{
    Heartbeat,
    Outcome,
    TargetStatus,
    Ticket, //
};
use record::Decision;
use utils::Name;

use crate::follower;

/// An input of the agent's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An event for the follower of the sheet and the list of instances.
    Follow(follower::Event),
    /// A heartbeat or the reply to one was received.
    Heartbeat(Name, Heartbeat),
    /// A heartbeat got no reply.
    Silent(Name),
    /// An event of the weight transfer.
    Transfer(weights::Event),
    /// An entry asks to run a request.
    Offer(Offered),
    /// The entry that sent a request disconnected or cancelled it.
    Withdraw(u64),
    /// The first byte of a response was received.
    FirstByte(u64),
    /// A running request ended.
    Ended(u64, Ended),
    /// A caller requests a ticket.
    TicketAsked(u64),
    /// The engine reported its state, or `None` if it did not respond.
    Engine(Option<EngineState>),
    /// Handing the pieces of a version to the engine succeeded or failed.
    Staged(Version, bool),
    /// The engine accepted the load order, or it was refused or got no response.
    Ordered(bool),
    /// Another target reported its status, or `None` if it did not respond.
    Status(Name, Option<TargetStatus>),
    /// The process is asked to shut down.
    Drain,
}

/// An action that the agent's state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An action of the follower of the sheet and the list of instances.
    Follow(follower::Effect),
    /// An action of the weight transfer.
    Transfer(weights::Effect),
    /// Run a request on the target.
    Run {
        /// Identifies the request.
        token: u64,
        /// The version that serves the request, if the target is a model engine.
        version: Option<Name>,
        /// The start counter of the target.
        start: u64,
    },
    /// Cancel a running request whose caller disconnected.
    Cancel(u64),
    /// Reject a request without running it.
    Refuse(u64, Outcome),
    /// Return an issued ticket to its caller.
    Ticket(u64, Ticket),
    /// Check that the target is reachable, and read its state if it is a model engine.
    ReadTarget {
        /// Whether it is a model engine.
        is_engine: bool,
    },
    /// Hand every piece of a version to the engine.
    Stage(Version),
    /// Order the engine to load a version.
    Order {
        /// The version to load.
        version: Version,
        /// The fencing token: the version of the sheet that led to the order.
        fence: u64,
        /// When the order was decided. A much later order is stale and must not be sent.
        decided: Duration,
    },
    /// Request the status of another target.
    AskStatus(Name),
    /// Delete the stored pieces of every manifest except this one.
    KeepOnly(Option<utils::digest::Digest>),
    /// Write a decision to the record.
    Record(Decision),
    /// No request or upload is left; the process may exit.
    Exit,
}
