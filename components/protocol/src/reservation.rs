//! Reservations of capacity at model engines, which entries request from agents.

use serde::{
    Deserialize,
    Serialize, //
};

/// What a reservation depends on: what the requester knows of the engine, and what it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReservationTerms {
    /// Maximum number of requests per second from all processes together, if limited. The limit
    /// applies in cold start, and always if it is at least one request per slot and second.
    pub cold_rate_per_second: Option<u32>,
    /// The limit that the engine names, if it limits its requests or has done so.
    pub limit: Option<AgedLimit>,
    /// The backlog with which the requester would use the reservation.
    pub acceptable: AcceptableBacklog,
    /// How the request competes with those of other processes, if the requests of its service
    /// compete for capacity.
    pub claim: Option<Claim>,
    /// What the agent needs to predict the answer from the present speed of the engine, if the engine
    /// tells its speed.
    pub timing: Option<Timing>,
}

impl Default for ReservationTerms {
    fn default() -> Self {
        Self {
            cold_rate_per_second: None,
            limit: None,
            acceptable: AcceptableBacklog::ANY,
            claim: None,
            timing: None,
        }
    }
}

/// The requests per second that a target says it takes, and the age of that answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgedLimit {
    /// Requests per second that it takes from all processes together, if it limits them.
    pub requests_per_second: Option<f64>,
    /// Milliseconds since the target said so.
    pub age_ms: u64,
}

/// Pending work of an engine, from the reservations of all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Number of requests with a reservation.
    pub requests: u32,
    /// Number of prompt tokens that the engine has not prefilled yet.
    pub unprefilled_tokens: u32,
}

/// The largest backlog with which a request would be sent to an engine. With a larger one the agent
/// makes no reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptableBacklog {
    /// Maximum number of requests with a reservation.
    pub requests: u32,
    /// Maximum number of prompt tokens that the engine has not prefilled yet.
    pub unprefilled_tokens: u32,
    /// Up to this number of requests, any number of prompt tokens is acceptable.
    pub requests_if_late: u32,
}

impl AcceptableBacklog {
    /// Accepts any backlog.
    pub const ANY: Self = Self {
        requests: u32::MAX,
        unprefilled_tokens: u32::MAX,
        requests_if_late: u32::MAX,
    };

    /// Whether a request would be sent to an engine with this backlog.
    pub fn includes(&self, backlog: Backlog) -> bool {
        let is_on_time = backlog.unprefilled_tokens <= self.unprefilled_tokens;
        backlog.requests <= self.requests
            && (is_on_time || backlog.requests <= self.requests_if_late)
    }
}

/// The order in which waiting requests get capacity; lower ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimRank {
    /// Number of more urgent priorities among the routes of the service. A request that is too late
    /// for an answer on time counts as the next less urgent priority.
    pub priority_level: u8,
    /// Whether no answer can be on time any more.
    pub is_overdue: bool,
}

/// How a request competes with others for the capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Its order among waiting requests.
    pub rank: ClaimRank,
    /// Whether its priority is served less often than the minimum share at the requester.
    pub is_below_minimum: bool,
    /// Hash of the caller's team, if there is one.
    pub team: Option<u64>,
    /// How long it may wait at the agent, in milliseconds. Zero: the agent answers at once.
    pub max_wait_ms: u32,
}

/// Share of the slots, as its divisor, that is kept free for each more urgent priority. One slot of a
/// common batch of twelve is enough: it becomes free again within a tenth of an answer's time.
const RESERVED_SLOTS_DIVISOR: u32 = 12;

/// Number of slots that a request of this priority level leaves free for more urgent ones, which would
/// otherwise find none when they arrive just after it.
pub fn reserved_slots(slots: u32, priority_level: u8) -> u32 {
    slots.div_ceil(RESERVED_SLOTS_DIVISOR) * u32::from(priority_level)
}

/// What the answer to a request takes at an engine of usual speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Microseconds until the answer, or its first event, is late.
    pub time_left_us: u32,
    /// Microseconds of a batch iteration without prefill.
    pub iteration_us: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_second: u32,
    /// Maximum number of prompt tokens prefilled per iteration.
    pub chunk_tokens: u32,
    /// Expected number of tokens of the answer.
    pub answer_tokens: u32,
    /// The longest pause between two events of an answer that is on time, in microseconds. Zero if
    /// there is no limit.
    pub max_pause_us: u32,
}

/// What an agent knows of its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCondition {
    /// How long work takes now, in percent of the usual time, if known.
    pub slowness_percent: Option<u16>,
    /// Requests at once that the engine handles well, if that was learned.
    pub learned_limit: Option<u32>,
    /// Requests that wait at the agent.
    pub waiting: u32,
}
