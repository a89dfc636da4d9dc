//! A caller's request as passed to an agent, and the target's response.

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

/// The model or service that a request is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A completion request to this model.
    Model(Name),
    /// A call of this service.
    Service(Name),
}

impl Work {
    /// Returns the name of the model or service.
    pub fn name(&self) -> &Name {
        match self {
            Self::Model(name) | Self::Service(name) => name,
        }
    }
}

/// A single-use token that permits one run of a request by the agent process that issued it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// The name of the agent's instance.
    pub agent: Name,
    /// Distinguishes the agent process from others on the same instance.
    pub incarnation: u64,
    /// The uptime of the agent process when it issued the ticket, in milliseconds.
    pub issued_ms: u64,
    /// The number of the ticket, unique within the agent process.
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

/// The error for text that is not a valid ticket.
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
        let mut next_number = || {
            let part = parts.next().ok_or(ParseTicketError)?;
            u64::from_str_radix(part, 16).map_err(|_| ParseTicketError)
        };
        let incarnation = next_number()?;
        let issued_ms = next_number()?;
        let number = next_number()?;
        let agent = parts.next().filter(|name| !name.is_empty());
        Ok(Self {
            agent: agent.ok_or(ParseTicketError)?.into(),
            incarnation,
            issued_ms,
            number,
        })
    }
}

/// How a request is protected against repeated runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Guard {
    /// It may run more than once.
    Repeatable,
    /// It may run once, in the agent process that issued the ticket.
    Ticket(Ticket),
    /// It may run once, on the home instance of this UUID (version 7).
    Key(Uuid),
    /// It may run once, but the caller supplied nothing by which a resubmission can be recognized.
    Unmarked,
}

/// Where a streamed response was interrupted, so that another target can continue it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The model version that generated the response so far.
    pub version: Name,
    /// Number of complete events that the caller has received.
    pub received_events: u64,
}

/// A caller's request that an entry passes to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// Identifies the request in the record.
    pub id: u64,
    /// The instance for which the request is intended.
    pub target: Name,
    /// The model or service that the request is for.
    pub work: Work,
    /// The name of the caller's team.
    pub team: Name,
    /// The scheduling weight of the team, from the entry's sheet.
    pub priority: u8,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// The protection against repeated runs.
    pub guard: Guard,
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// Whether the entry knows that a target crashed while running the request.
    pub is_suspect: bool,
    /// Where to continue a response that was interrupted.
    pub resume: Option<ResumePoint>,
    /// The HTTP method.
    pub method: String,
    /// The HTTP path and query at the target.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The start of a target's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The version of the model that generates the response.
    pub version: Option<Name>,
}

/// One part of the response to a [`ServeRequest`]: one `Head`, any number of `Data` and one `End`,
/// in this order. `KeepAlive` may occur anywhere before `End`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseFrame {
    /// The start of the response.
    Head(ResponseHead),
    /// A part of the response body.
    Data(Bytes),
    /// A keep-alive: the agent is still waiting for its target.
    KeepAlive,
    /// The end. The response is complete only if the outcome is [`Outcome::Ran`] and all `bytes` of
    /// data were received.
    End {
        /// The id of the request.
        id: u64,
        /// The outcome of the request.
        outcome: Outcome,
        /// Total size of the data, in bytes.
        bytes: u64,
        /// The target's start counter when the request ran; zero if it did not run.
        start_count: u64,
    },
}
