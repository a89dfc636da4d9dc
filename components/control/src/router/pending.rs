//! A request in progress.

use std::sync::Arc;
use std::time::Duration;

use protocol::{
    AcceptableBacklog,
    Fingerprint,
    PromptPartId, //
};
use utils::Name;

use super::access::Access;
use super::config::{
    Route,
    Service, //
};
use super::crashes::{
    SentPart,
    WRITING_PROOF_TIME, //
};
use super::queue::QueueRank;
use super::selection::RateLimits;

/// How long a stream may stay silent at least before another target resumes it. Engines pause for up to half
/// a second while they prefill long prompts of other requests, and sound ones fall silent for a second or so.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The time that another target needs to go on with a stream before its caller leaves.
const RESUME_TIME: Duration = Duration::from_millis(1000);

/// How long a plain target may stay silent before another is tried, as a multiple of the route's
/// latency objective.
const PLAIN_IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Callers leave a stream that has no event for this time, or for these multiples of its objectives if
/// one is longer.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
const CALLER_PATIENCE_PER_LATENCY_OBJECTIVE: u32 = 4;
const CALLER_PATIENCE_PER_PAUSE_OBJECTIVE: u32 = 8;

/// Priority at the target of a stream that is resumed; zero is the most urgent.
const RESUMED_PRIORITY: u8 = 0;

/// Added to the priority of all other requests at the target, so that resumed streams come first.
const PRIORITY_OFFSET: u8 = 2;

/// The least urgent priority that is sent to a target.
const LOWEST_PRIORITY: u8 = 9;

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub id: Name,
    pub route: Arc<Route>,
    pub service: Arc<Service>,
    /// The number of more urgent priorities of its service, if it competes with requests of other
    /// priorities for model engines.
    pub priority_level: Option<u8>,
    pub arrived: Duration,
    /// When the caller's or the route's timeout ends.
    pub deadline: Duration,
    /// After this time the answer, or its first event, is late.
    pub due: Duration,
    /// Whether the caller was rejected before, and so long ago that no answer is on time.
    pub has_returned: bool,
    /// The latest time to dispatch it so that its answer is on time.
    pub dispatch_by: Duration,
    pub prompt_tokens: u32,
    /// Expected tokens of the answer.
    pub answer_tokens: u32,
    pub fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share, in their order.
    pub shared_prompt_parts: Vec<PromptPartId>,
    /// These parts, as known when it was last sent to a target.
    pub sent_parts: Vec<SentPart>,
    /// The quarantines that it was sent to the current target to test.
    pub tests: Vec<u64>,
    /// When the head of the current target's answer arrived.
    pub answering_since: Option<Duration>,
    /// Whether the current target has been silent for as long as it may be.
    pub was_silent: bool,
    /// Targets that it was sent to.
    pub tried_targets: Vec<Name>,
    /// Whether a target may have run it.
    pub may_have_run: bool,
    /// The target that it is assigned to, and since when.
    pub assignment: Option<(Name, Duration)>,
    /// When the target of the last assignment started, in milliseconds since the Unix epoch.
    pub target_started_at_ms: u64,
    /// The limits of the present target that it was counted in when that was chosen.
    pub counted_in: RateLimits,
    /// Whether a reservation at the assigned target is in progress; nothing was sent yet.
    pub is_reserving: bool,
    /// The backlog with which the last requested reservation would be used.
    pub acceptable_backlog: AcceptableBacklog,
    /// Number of reservations requested from agents.
    pub reservation_attempts: u32,
    /// The caller's key, if the caller sent one.
    pub api_key: Option<Name>,
    /// The right of the caller to have it run, by the configuration in force.
    pub access: Access,
    /// Whether the last requested reservation may wait at its agent.
    pub may_wait_at_agent: bool,
    /// Time from requesting the reservation with which it is sent until the agent's reply.
    pub reservation_round_trip: Option<Duration>,
    /// Targets whose agents did not let it wait, or not long enough.
    pub full_targets: Vec<Name>,
    /// The time to the answer, or to its first event, that was expected at the assigned target.
    pub expected_response_time: Duration,
    /// The slowness that the assigned target had reported when this was expected.
    pub reported_slowness: Option<f64>,
    /// The version of the weights that began the answer.
    pub version: Option<u64>,
    /// Whether its prompt still counts as not prefilled at the assigned target.
    pub is_prefill_pending: bool,
    /// Time from sending the request to the first part of the answer.
    pub time_to_first_event: Option<Duration>,
    /// Requests at the target when it was sent, as far as known, including itself.
    pub requests_at_start: u32,
    /// The same when the head of the answer arrived.
    pub requests_at_answer: Option<u32>,
    /// The slowness that the head of the answer reports, in percent.
    pub slowness_percent: Option<u16>,
    /// Whether the caller has received a part of the answer.
    pub response_started: bool,
    /// The request as its silent target has it, while another target is asked to go on with the answer.
    pub silent: Option<Box<Pending>>,
}

impl Pending {
    /// The team's priority, or else the route's; zero is the most urgent.
    pub fn priority(&self) -> u8 {
        let team = self.access.team();
        let priority = team.and_then(|team| team.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Whether no answer can be on time any more. An answer that has begun must not pause, however
    /// late it began.
    pub fn is_overdue(&self) -> bool {
        self.has_returned && !self.response_started
    }

    /// Whether its caller may not have it run. A stream that has begun goes on.
    pub fn is_denied(&self) -> bool {
        self.access == Access::Denied && !self.response_started
    }

    /// Its place in the order in which queued requests are dispatched.
    pub fn queue_rank(&self) -> QueueRank {
        QueueRank {
            is_overdue: self.is_overdue(),
            priority: self.priority(),
            route_priority: self.route.priority,
        }
    }

    /// How much less urgent it is than the most urgent requests that it competes with. One that
    /// returns too late for an answer on time counts as the next priority: with its own, each caller
    /// that returns would make another one late, and behind all others, requests of little value
    /// would go before one that is rejected for the second time.
    pub fn claim_level(&self) -> Option<u8> {
        let level = self.priority_level?;
        Some(level.saturating_add(u8::from(self.is_overdue())))
    }

    /// Whether the current target has been answering for so long that no part of the prompt crashes
    /// targets.
    pub fn has_proven_parts(&self, now: Duration) -> bool {
        let is_long = |since: Duration| now.saturating_sub(since) >= WRITING_PROOF_TIME;
        self.answering_since.is_some_and(is_long)
    }

    /// When the caller is expected to leave.
    pub fn caller_leaves_at(&self) -> Duration {
        if !self.route.repeatability.is_stream() || self.response_started {
            return self.deadline;
        }
        self.deadline.min(self.arrived + self.caller_patience())
    }

    /// How long a caller waits for an event of a stream.
    fn caller_patience(&self) -> Duration {
        let for_latency = self.route.latency_objective * CALLER_PATIENCE_PER_LATENCY_OBJECTIVE;
        let pause_objective = self.route.pause_objective.unwrap_or_default();
        let for_pause = pause_objective * CALLER_PATIENCE_PER_PAUSE_OBJECTIVE;
        MIN_CALLER_PATIENCE.max(for_latency).max(for_pause)
    }

    /// Targets that it was sent to before the present one.
    pub fn targets_tried_before(&self) -> &[Name] {
        self.tried_targets
            .split_last()
            .map_or(&[], |(_present, before)| before)
    }

    /// How many targets it was sent to.
    pub fn attempts(&self) -> u32 {
        u32::try_from(self.tried_targets.len()).unwrap_or(u32::MAX)
    }

    /// How long a target may stay silent. The shorter time for plain targets holds only where the
    /// request may run again and attempts are left.
    pub fn idle_timeout(&self) -> Duration {
        let is_last = self.attempts() >= self.route.attempt_limit;
        if self.route.repeatability.is_stream() {
            STREAM_IDLE_TIMEOUT
        } else if self.route.repeatability.may_run_again() && !is_last {
            self.route.latency_objective * PLAIN_IDLE_TIMEOUT_FACTOR
        } else {
            self.route.timeout
        }
    }

    /// How long a target may stay silent in the middle of its answer.
    pub fn pause_timeout(&self) -> Duration {
        if self.route.repeatability.is_stream() {
            let latest = self.caller_patience().saturating_sub(RESUME_TIME);
            STREAM_IDLE_TIMEOUT.max(latest)
        } else {
            self.idle_timeout()
        }
    }

    /// The priority that is sent to the target; zero is the most urgent.
    pub fn target_priority(&self) -> u8 {
        if self.response_started {
            RESUMED_PRIORITY
        } else {
            PRIORITY_OFFSET
                .saturating_add(self.priority_level.unwrap_or(self.priority()))
                .min(LOWEST_PRIORITY)
        }
    }
}
