//! The configuration that routes requests: routes, services, teams and limits on callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use utils::Name;

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Rises with each change; not always by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// The teams and their keys.
    pub teams: Vec<Arc<Team>>,
    /// What a caller may send.
    pub limits: CallerLimits,
    /// The origin of weights.
    pub origin: Option<SocketAddr>,
    /// The data centre of the origin.
    pub origin_data_centre: Option<Name>,
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// As often as it takes.
    Idempotent,
    /// Once for each try of the caller.
    Once,
    /// The answer is a stream that another target may go on with.
    ResumableStream,
    /// The answer is a stream that only the caller may ask for again.
    Stream,
}

impl Repeat {
    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// The start of the path, with a slash at both ends.
    pub prefix: Name,
    /// How often its requests may run.
    pub repeat: Repeat,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Zero is the most urgent.
    pub priority: u8,
    /// The services that share its requests, by weight.
    pub services: Vec<(Name, u32)>,
    /// The most targets that one try of a caller may be sent to.
    pub attempts: u32,
    /// Whether it is open to callers without a key.
    pub is_open: bool,
    /// The regions in which its requests may be served; empty for all.
    pub homes: Vec<Name>,
}

/// A team and its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// The keys that its callers present.
    pub keys: Vec<Name>,
    /// Goes before the priority of the route.
    pub priority: Option<u8>,
    /// The regions in which its requests may be served; empty for all.
    pub homes: Vec<Name>,
}

/// Targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Requests a second that one cold target bears, all callers together. Zero for no limit.
    pub cold_rate: f64,
    /// How the engines behind it work; none for a plain service.
    pub engine: Option<EngineProfile>,
}

/// How a model engine works, as its operators measured it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The model.
    pub model: Name,
    /// Requests at once.
    pub slots: u32,
    /// One step of every running request by a token.
    pub step: Duration,
    /// Steps between two chances to take in a new request.
    pub stride: u32,
    /// Prompt tokens read in one pass, if there is a bound.
    pub chunk: Option<u32>,
    /// Tokens of a usual answer.
    pub usual_answer: u32,
    /// Prompt tokens read in a second.
    pub read_rate: f64,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a request's head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
