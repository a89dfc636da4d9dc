//! The reducer of an agent, the only way to its target.
//!
//! It alone decides whether the target takes one more request, whether a request that may run
//! once runs, and when the target switches to another version.

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
    Fair,
    Waiting, //
};
pub use once::{
    key_stamp,
    Once,
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

use crate::follow;

/// What happens to an agent.
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
    /// News of the weights.
    Transfer(weights::Event),
    /// An entry offers a request.
    Offer(Offered),
    /// The entry of a request went away.
    Withdraw(u64),
    /// The first byte of an answer came.
    FirstByte(u64),
    /// A request that ran ended.
    Ended(u64, Ended),
    /// A caller asks for a ticket.
    TicketAsked(u64),
    /// The engine said what it runs, or did not answer.
    Engine(Option<EngineState>),
    /// The engine took every piece of a version, or did not.
    Staged(Version, bool),
    /// The engine took the order, or did not.
    Ordered(bool),
    /// Another target said how far it is, or did not answer.
    Status(Name, Option<TargetStatus>),
    /// The process is asked to stop.
    Drain,
}

/// What an agent asks to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Follow the sheet or the list.
    Follow(follow::Effect),
    /// Spread the weights of the manifest.
    Transfer(weights::Effect),
    /// Run a request at the target.
    Run {
        /// The request.
        token: u64,
        /// The version that answers, if the target is a model engine.
        version: Option<Name>,
        /// How often the target has started.
        start: u64,
    },
    /// Stop a request whose caller went away.
    Cancel(u64),
    /// Answer a request without running it.
    Refuse(u64, Outcome),
    /// Hand out a ticket.
    Ticket(u64, Ticket),
    /// Ask the target whether it is there, and what it runs if it is a model engine.
    ReadTarget {
        /// Whether it is a model engine.
        is_engine: bool,
    },
    /// Hand every piece to the engine.
    Stage(Version),
    /// Order the engine to load.
    Order {
        /// The version.
        version: Version,
        /// The fencing number.
        fence: u64,
        /// When this was decided.
        decided: Duration,
    },
    /// Ask another target for its state.
    AskStatus(Name),
    /// Drop the pieces of every other manifest than this one.
    KeepOnly(Option<utils::digest::Digest>),
    /// Write a line of the record.
    Record(Decision),
    /// Everything has ended; the process may go.
    Exit,
}
