//! Requests and replies between processes.

use std::net::SocketAddr;

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
    Report, //
};

use crate::serve::{
    Serve,
    Ticket, //
};
use crate::status::TargetStatus;
use crate::suspects::Crash;

/// A message and what every message says of its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The sender's instance.
    pub from: Name,
    /// The version of the sheet in force at the sender.
    pub sheet: u64,
    /// The revision of the list of instances at the sender.
    pub list: u64,
    /// The message.
    pub body: T,
}

/// What processes tell their neighbours.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's part in spreading weights.
    pub report: Option<Report>,
    /// Crashes that the sender learned of lately.
    pub crashes: Vec<Crash>,
}

/// A question to another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Tells and asks for news.
    Heartbeat(Heartbeat),
    /// Asks for the index of the sheet in force.
    Index,
    /// Asks for a section of the sheet.
    Section(Digest),
    /// Asks for changes of the list of instances after a revision.
    List(u64),
    /// Asks for a piece of weights.
    Piece {
        /// The manifest.
        manifest: Digest,
        /// The piece.
        piece: Piece,
        /// Whether to wait until the piece is there.
        wait: bool,
    },
    /// Asks for the state of the target.
    Status,
    /// Asks for a ticket.
    Ticket,
    /// Asks what the engine beside an agent does, and waits until that differs from what is known.
    Engine {
        /// What the asker knows.
        known: Option<EngineStatus>,
        /// Versions of models that the asker knows to be named.
        named: Vec<NamedVersion>,
        /// Where the engine's weights come from, by the asker's configuration.
        supply: Option<Supply>,
    },
    /// Reserves a place at the engine for as long as the call is open.
    Reserve {
        /// Tokens of the prompt that the engine will read.
        tokens: u32,
        /// Requests a second that the engine bears, all processes together, if it is in cold start.
        cold_rate: Option<u32>,
    },
    /// Tells that the engine has read the prompt of a reservation.
    PromptRead {
        /// The reservation.
        number: u64,
    },
    /// Hands over a caller's request.
    Serve(Serve),
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// News.
    Heartbeat(Heartbeat),
    /// The text of the index in force, if there is one.
    Index(Option<Bytes>),
    /// The text of the section, if it is held.
    Section(Option<Bytes>),
    /// Changes of the list of instances.
    List(News),
    /// The length of the piece, whose bytes follow.
    Piece(u64),
    /// The piece is not handed over.
    Denied(Denial),
    /// The state of the target.
    Status(TargetStatus),
    /// A ticket.
    Ticket(Ticket),
    /// What the engine does.
    Engine {
        /// The engine.
        status: EngineStatus,
        /// Processes that ask for it.
        watchers: u32,
        /// The versions that the agent knows to be named.
        named: Vec<NamedVersion>,
    },
    /// A place is reserved, behind what is told here, or refused.
    Reserved {
        /// Names the reservation at its agent. `None` if the engine takes no request now.
        number: Option<u64>,
        /// What the engine has to do first.
        ahead: Backlog,
    },
    /// What was told is noted.
    Noted,
    /// The request is taken; frames follow.
    Serving,
    /// The process does not answer such requests.
    Unsupported,
}

/// Where the weights of a model come from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Supply {
    /// The model.
    pub model: Name,
    /// The origin of weights.
    pub origin: SocketAddr,
    /// The data centre of the origin.
    pub data_centre: Name,
}

/// A version of a model's weights that operators named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// For how long it has been named. `None` if the process found it at its start.
    pub age_ms: Option<u64>,
}

/// What an engine has to do, by the reservations of every process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Requests with a reservation.
    pub requests: u32,
    /// Tokens of prompts that are not read yet.
    pub unread: u32,
}

/// What an agent tells of its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The version of the weights that it runs.
    pub version: Option<u64>,
    /// Whether it takes nothing new before it has changed its weights.
    pub is_switching: bool,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Stands beside a target.
    Agent,
}

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It is there.
    Live,
    /// The platform is about to take it away.
    Leaving,
    /// It is gone.
    Gone,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: Name,
    /// The address of the system's process there.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// The role of the system's process there.
    pub role: Role,
    /// What the platform says of it.
    pub state: InstanceState,
    /// The list's revision at the last change.
    pub revision: u64,
}

/// Changes of the list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The list's revision.
    pub revision: u64,
    /// The instances that changed, those that are gone included.
    pub instances: Vec<Instance>,
}
