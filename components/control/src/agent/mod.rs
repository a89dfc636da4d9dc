//! The reducer of an agent. All requests to a target go through its agent.
//!
//! The agent alone decides whether the target accepts another request, whether a request that may
//! run at most once is run, and when the target switches to another version.

mod admission;
mod at_most_once;
mod fair_queue;
mod requests;
mod rollout;
mod state;

pub use admission::{
    AdmissionOptions,
    OfferedRequest, //
};
pub use at_most_once::{
    key_issue_time,
    AtMostOnceOptions,
    AtMostOnceTable, //
};
pub use fair_queue::{
    FairQueue,
    QueuedRequest, //
};
pub use requests::RunResult;
pub use rollout::{
    Effect as RolloutEffect,
    EngineState,
    ModelVersion,
    OrderOutcome,
    Rollout,
    RolloutOptions,
    StagedPieces, //
};
pub use state::{
    Options,
    State, //
};

use std::time::Duration;

use protocol::{
    Heartbeat,
    Outcome,
    TargetStatus,
    Ticket, //
};
use record::Decision;
use utils::digest::Digest;
use utils::Name;

use crate::follower;

/// An input of the agent's reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An event for the follower of the sheet and the list of instances.
    Follow(follower::Event),
    /// A heartbeat or the reply to one was received.
    Heartbeat(Name, Heartbeat),
    /// A heartbeat got no reply.
    HeartbeatFailed(Name),
    /// A peer requested a piece, or its request ended.
    Transfer(weights::Event),
    /// An event of a fetch of a piece of this manifest. The sheet may have named another one since
    /// the fetch began.
    Fetched(Digest, weights::Event),
    /// An entry asks to run a request.
    RequestOffered(OfferedRequest),
    /// The entry that sent a request disconnected or cancelled it.
    RequestWithdrawn(u64),
    /// The first byte of a response was received.
    FirstByteReceived(u64),
    /// A running request ended.
    RequestEnded(u64, RunResult),
    /// A caller requests a ticket.
    TicketRequested(u64),
    /// The engine reported its state, or `None` if it did not respond.
    EngineStateRead(Option<EngineState>),
    /// Staging ended with every piece of the version at the engine, or `None` if the engine does not hold all
    /// of them.
    StagingFinished(ModelVersion, Option<StagedPieces>),
    /// The load order that was decided at this time ended.
    OrderFinished(Duration, OrderOutcome),
    /// Another target reported its status, or `None` if it did not respond.
    StatusReceived(Name, Option<TargetStatus>),
    /// The process is asked to shut down.
    DrainRequested,
}

/// An action that the agent's reducer requests.
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
        start_count: u64,
    },
    /// Cancel a running request whose caller disconnected.
    Cancel(u64),
    /// Reject a request without running it.
    Refuse(u64, Outcome),
    /// Return an issued ticket to its caller.
    IssueTicket(u64, Ticket),
    /// Check that the target is reachable, and read its state if it is a model engine.
    ReadTarget {
        /// Whether it is a model engine.
        is_engine: bool,
    },
    /// Verify the pieces of a version at the engine, and hand over those that it lacks.
    Stage(ModelVersion),
    /// Order the engine to load a version.
    Order {
        /// The version to load.
        version: ModelVersion,
        /// The version of the sheet that led to the order. An engine rejects an order whose
        /// number is lower than that of an earlier one.
        fencing_number: u64,
        /// When the order was decided. A much later order is stale and must not be sent.
        decided_at: Duration,
        /// Until when the engine may accept the order.
        accept_until: Duration,
    },
    /// Request the status of another target.
    RequestStatus(Name),
    /// Delete the stored pieces of every manifest except this one.
    DeletePiecesExcept(Option<Digest>),
    /// Write a decision to the record.
    Record(Decision),
    /// No request or upload is left; the process may exit.
    Exit,
}
