//! The routing configuration: routes, services, teams and limits on callers' requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use utils::Name;

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services, by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// The teams and their keys. `None` if the configuration has no list of teams, which is not the same as
    /// an empty one.
    pub teams: Option<Vec<Arc<Team>>>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// The address of the origin that stores the weights.
    pub origin: Option<SocketAddr>,
    /// The data centre of the origin.
    pub origin_data_centre: Option<Name>,
    /// Bytes per second that the origin's link carries, if known.
    pub origin_bytes_per_second: Option<u64>,
}

impl Config {
    /// The teams, none if there is no list of them.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.iter().flatten()
    }
}

/// How often a route's requests may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Any number of times.
    Idempotent,
    /// At most once for each request of the caller.
    AtMostOnce,
    /// The answer is a stream that another target may resume.
    ResumableStream,
    /// The answer is a stream that is not resumed; only the caller may retry.
    NonResumableStream,
}

impl Repeatability {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::NonResumableStream)
    }

    /// Whether a request that may already have run may be sent to another target.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// How to route and serve the requests of a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host in the caller's request, without a port.
    pub host: Name,
    /// The prefix of the path, with a slash at both ends.
    pub prefix: Name,
    /// How often its requests may run.
    pub repeatability: Repeatability,
    /// The timeout of a request, which callers may shorten.
    pub timeout: Duration,
    /// The latency objective for the answer, or for the first event of a stream.
    pub latency_objective: Duration,
    /// The longest pause between two events of a stream that is on time, if there is an objective.
    pub pause_objective: Option<Duration>,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// The services among which its requests are split, and their weights.
    pub services: Vec<(Name, u32)>,
    /// The maximum number of targets that a request may be sent to.
    pub attempt_limit: u32,
    /// Whether callers without a key are allowed.
    pub allows_anonymous: bool,
    /// The regions in which its requests may be served; empty for all.
    pub allowed_regions: Vec<Name>,
}

/// A team and its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// The API keys of its callers.
    pub api_keys: Vec<Name>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
    /// The regions in which its requests may be served; empty for all.
    pub allowed_regions: Vec<Name>,
}

/// A service: a group of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Requests per second that one target in cold start can handle, from all processes together.
    /// Zero means no limit.
    pub cold_rate_per_second: f64,
    /// The profile of its model engines. `None` for a plain service, which has none.
    pub engine_profile: Option<EngineProfile>,
    /// The network delays between the data centres of its targets and processes, as far as known.
    pub delays: Delays,
}

/// One-way network delays between data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delays {
    by_data_centre: BTreeMap<Name, BTreeMap<Name, Duration>>,
}

impl Delays {
    /// Adds the delay between two data centres, which holds both ways. If it was added already, the
    /// longer one holds.
    pub fn insert(&mut self, one: &Name, other: &Name, delay: Duration) {
        for (from, to) in [(one, other), (other, one)] {
            let delays = self.by_data_centre.entry(from.clone()).or_default();
            let known = delays.entry(to.clone()).or_default();
            *known = delay.max(*known);
        }
    }

    /// The delays between a data centre and others, or `None` if none is known.
    pub fn from(&self, data_centre: &str) -> Option<&BTreeMap<Name, Duration>> {
        self.by_data_centre.get(data_centre)
    }
}

/// The performance profile of a model engine, as measured by its operators.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The model.
    pub model: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time of one decode step, which generates a token for each running request.
    pub step_time: Duration,
    /// Decode steps per batch iteration; new requests are admitted only between iterations.
    pub steps_per_iteration: u32,
    /// Maximum number of prompt tokens prefilled per iteration, if limited.
    pub prefill_chunk_tokens: Option<u32>,
    /// Tokens of a typical answer.
    pub typical_answer_tokens: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_second: f64,
    /// Added to the time of a decode step for each running request.
    pub step_time_per_request: Option<Duration>,
    /// Slowdown of a decode step by its context, per thousand tokens, as configured.
    pub context_slowdown_per_1000_tokens: Option<f64>,
    /// Tokens that fit into its memory.
    pub memory_tokens: Option<u64>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
