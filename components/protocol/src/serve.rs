//! A caller's request on its way to a target, and the answer on its way back.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use utils::Name;
use uuid::Uuid;

use crate::outcome::Outcome;
use crate::suspects::Fingerprint;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A completion by a model.
    Model(Name),
    /// A call of a plain service.
    Service(Name),
}

impl Work {
    /// The name of the model or service.
    pub fn name(&self) -> &Name {
        match self {
            Self::Model(name) | Self::Service(name) => name,
        }
    }
}

/// Names one agent process and a number that it has not run before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// The instance of the agent.
    pub agent: Name,
    /// The agent process.
    pub incarnation: u64,
    /// Milliseconds that the agent process had been up for when it issued the ticket.
    pub issued_ms: u64,
    /// The number.
    pub number: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:x}.{:x}.{:x}.{}",
            self.incarnation, self.issued_ms, self.number, self.agent
        )
    }
}

/// The text is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseTicketError;

impl fmt::Display for ParseTicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a ticket is three hexadecimal numbers and an instance name, split by dots")
    }
}

impl std::error::Error for ParseTicketError {}

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(4, '.');
        let mut number = || {
            let part = parts.next().ok_or(ParseTicketError)?;
            u64::from_str_radix(part, 16).map_err(|_| ParseTicketError)
        };
        let incarnation = number()?;
        let issued_ms = number()?;
        let number = number()?;
        let agent = parts.next().filter(|name| !name.is_empty());
        Ok(Self {
            agent: agent.ok_or(ParseTicketError)?.into(),
            incarnation,
            issued_ms,
            number,
        })
    }
}

/// How often a request may run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Guard {
    /// Running it twice does no harm.
    Repeatable,
    /// Once, by the agent process that the ticket names.
    Ticket(Ticket),
    /// Once, by the home of this UUID of version 7.
    Key(Uuid),
    /// Once, and the caller gave nothing to recognize a second sending by.
    Unmarked,
}

/// Where a streamed answer was cut, so that another target can go on with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The version that made the answer so far.
    pub version: Name,
    /// Whole events that the caller has.
    pub events: u64,
}

/// A request that an entry hands to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serve {
    /// Names the request in records.
    pub id: u64,
    /// The instance that the entry means to reach.
    pub target: Name,
    /// What is asked for.
    pub work: Work,
    /// The caller's team.
    pub team: Name,
    /// The weight of the team, from the entry's sheet.
    pub priority: u8,
    /// Milliseconds left until the caller's deadline.
    pub timeout_ms: u64,
    /// How often it may run.
    pub guard: Guard,
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// Whether the entry knows that a target crashed while the request ran.
    pub suspect: bool,
    /// Where to go on with an answer that was cut.
    pub resume: Option<Resume>,
    /// The HTTP method.
    pub method: String,
    /// The HTTP path and query at the target.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The start of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The target's HTTP status.
    pub status: u16,
    /// The content type of the answer.
    pub content_type: Option<String>,
    /// The version of the model that answers.
    pub version: Option<Name>,
}

/// One part of the answer to a [`Serve`], in this order: head, any data, end. Signs of life may
/// stand anywhere before the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The start of the answer.
    Head(Head),
    /// Bytes of the answer.
    Data(Bytes),
    /// The agent is alive and waits for its target.
    Alive,
    /// The end. An answer is whole only if this says that the request ran, and `bytes` came.
    End {
        /// The request's id.
        id: u64,
        /// What came of it.
        outcome: Outcome,
        /// Bytes in all data frames.
        bytes: u64,
        /// How often the target had started before the request ran, zero if it did not run.
        start: u64,
    },
}
