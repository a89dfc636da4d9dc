//! Requests and replies between processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use utils::digest::Digest;
use utils::Name;
use weights::{
    Denial,
    Piece,
    TransferReport, //
};

use crate::reservation::{
    AgedLimit,
    Backlog,
    EngineCondition,
    ReservationTerms, //
};
use crate::serve::{
    ServeRequest,
    Ticket, //
};
use crate::status::TargetStatus;
use crate::suspects::Crash;

/// A message with information about its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The name of the sender's instance.
    pub sender: Name,
    /// The version of the sender's active sheet.
    pub sheet_version: u64,
    /// The revision of the sender's list of instances.
    pub list_revision: u64,
    /// The message.
    pub body: T,
}

/// State that processes exchange periodically with their peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Which weights the sender needs and holds, if it takes part in their distribution.
    pub report: Option<TransferReport>,
    /// Recent crashes that the sender knows of.
    pub crashes: Vec<Crash>,
}

/// A request to another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Exchanges heartbeats. The reply is [`Reply::Heartbeat`].
    Heartbeat(Heartbeat),
    /// Requests the index of the active sheet.
    Index,
    /// Requests the section of the sheet with this digest.
    Section(Digest),
    /// Requests the changes of the list of instances after this revision.
    List(u64),
    /// Requests a piece of weights.
    Piece {
        /// The digest of the manifest.
        manifest: Digest,
        /// The number of the piece.
        piece: Piece,
        /// Whether to wait until the piece is available.
        wait: bool,
    },
    /// Requests the status of the target.
    Status,
    /// Requests a ticket.
    Ticket,
    /// Requests the status of an agent's engine. The reply waits until the status differs from
    /// `known`.
    Engine {
        /// The data centre of the requester.
        data_centre: Name,
        /// The status that the requester knows.
        known: Option<EngineStatus>,
        /// The versions that operators have selected, as far as the requester knows.
        named: Vec<NamedVersion>,
        /// The source of the engine's weights according to the requester's configuration.
        weight_source: Option<WeightSource>,
    },
    /// Reserves capacity at the engine for as long as the call is open.
    Reserve {
        /// Number of prompt tokens that the engine will prefill.
        prompt_tokens: u32,
        /// What the reservation depends on.
        terms: ReservationTerms,
    },
    /// Reports that the engine has prefilled the prompt of a reservation.
    PromptPrefilled {
        /// The number of the reservation.
        number: u64,
    },
    /// Passes on a caller's request.
    Serve(ServeRequest),
    /// Exchanges crashes of targets with an agent. The reply waits until the agent knows of
    /// crashes beyond `known_revision`, or follows at once if there are `reported` ones.
    Crashes {
        /// The agent's revision up to which the requester knows the agent's crashes.
        known_revision: u64,
        /// Crashes that the requester reports.
        reported: Vec<Crash>,
    },
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The heartbeat of the replying process.
    Heartbeat(Heartbeat),
    /// The text of the active index, if any.
    Index(Option<Bytes>),
    /// The text of the section, if the process has it.
    Section(Option<Bytes>),
    /// Changes of the list of instances.
    List(InstanceListUpdate),
    /// The length of the piece in bytes. The piece follows as raw bytes.
    Piece(u64),
    /// The piece is not sent, for this reason.
    Denied(Denial),
    /// The status of the target.
    Status(TargetStatus),
    /// A ticket.
    Ticket(Ticket),
    /// The status of the engine.
    Engine {
        /// The status.
        status: EngineStatus,
        /// Number of processes that are waiting for this status.
        watchers: u32,
        /// The versions that operators have selected, as far as the agent knows.
        named: Vec<NamedVersion>,
        /// Milliseconds for which the agent held the request.
        held_ms: u64,
    },
    /// Capacity is reserved or refused.
    Reserved {
        /// The number of the reservation at the agent, or `None` if the engine accepts no requests.
        number: Option<u64>,
        /// The work of the engine that precedes the reservation.
        backlog: Backlog,
        /// The latest limit that the agent knows the engine to name, if the requester knew of one.
        limit: Option<AgedLimit>,
        /// What the agent knows of the engine.
        condition: EngineCondition,
    },
    /// The reservation request waits at the agent. [`Reply::Reserved`] follows in the same call.
    Waiting {
        /// The work of the engine that precedes the reservation.
        backlog: Backlog,
        /// What the agent knows of the engine.
        condition: EngineCondition,
    },
    /// The report was received.
    Acknowledged,
    /// The request was accepted. Messages of type [`crate::ResponseFrame`] follow.
    Accepted,
    /// The process does not support requests of this kind.
    Unsupported,
    /// The crashes that the agent knows of, beyond those that the requester knows.
    Crashes {
        /// Differs between the starts of the agent, each of which begins at revision zero.
        incarnation: u64,
        /// The agent's revision after them.
        revision: u64,
        /// The crashes.
        crashes: Vec<Crash>,
    },
}

/// The source of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightSource {
    /// The model.
    pub model: Name,
    /// The address of the origin that stores the weights.
    pub origin: SocketAddr,
    /// The data centre of the origin.
    pub data_centre: Name,
    /// Bytes per second that the origin's link carries, if known.
    pub bytes_per_second: Option<u64>,
}

/// A version of a model's weights that operators have selected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// Milliseconds since the sender learned of it. `None` if it already found it at its start.
    pub age_ms: Option<u64>,
    /// Upper bound of the milliseconds since it was published, without the time that the message
    /// takes. `None` if the sender knows none.
    pub max_age_ms: Option<u64>,
}

impl NamedVersion {
    /// How long ago the sender learned of it.
    pub fn age(&self) -> Option<Duration> {
        self.age_ms.map(Duration::from_millis)
    }

    /// A time after which it was published, if the message was written at `written_at` or later.
    pub fn published_after(&self, written_at: Duration) -> Option<Duration> {
        let max_age = self.max_age_ms.map(Duration::from_millis);
        max_age.map(|max_age| written_at.saturating_sub(max_age))
    }
}

/// The status of an engine, as reported by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The version of the weights that it has loaded.
    pub version: Option<u64>,
    /// Whether it accepts no new requests until it has changed its weights.
    pub is_switching: bool,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers and routes them to targets.
    Entry,
    /// Runs on the instance of a target and controls it.
    Agent,
}

/// The state of an instance according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It is available.
    Live,
    /// The platform is about to remove it.
    Leaving,
    /// It has been removed.
    Gone,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: Name,
    /// The address of the process on it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// The role of the process on it.
    pub role: Role,
    /// Its state according to the platform.
    pub state: InstanceState,
    /// The revision of the list in which it last changed.
    pub revision: u64,
}

/// An update of the list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct News")]
pub struct InstanceListUpdate {
    /// The revision of the list after the update.
    pub revision: u64,
    /// The instances that changed, including those that were removed.
    pub instances: Vec<Instance>,
}
