//! The estimated load of one target, from this process's requests and from the target's reports.

use std::time::Duration;

use protocol::Backlog;

/// How long a load report counts in full; after that its weight is inverse to its age.
const REPORT_FULL_WEIGHT_TIME: Duration = Duration::from_millis(1500);

/// How long the prompt tokens in an agent's backlog report count; their weight falls linearly to
/// zero. An engine prefills a few thousand tokens in this time.
const BACKLOG_TOKENS_TTL: Duration = Duration::from_millis(300);

/// How long the number of requests that wait at an agent counts; its weight falls linearly to zero.
const WAITING_TTL: Duration = Duration::from_millis(500);

/// Weight of the newest first event in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;

/// Bounds of a single measured slowdown, since unrelated causes may delay single answers.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.6, 4.0);

/// A target's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// How long work takes now, in percent of the usual time, if the target says so.
    pub slowness_percent: Option<u16>,
}

/// The estimated load of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad {
    /// Requests of this process at the target.
    own_requests: u32,
    /// Prompt tokens of own requests that have no first event yet.
    own_unprefilled_tokens: u64,
    /// Requests of other processes, by the last report.
    other_requests: u32,
    reported_at: Option<Duration>,
    /// Prompt tokens of other processes that are not prefilled, by the agent's last report.
    other_unprefilled_tokens: u64,
    backlog_reported_at: Option<Duration>,
    /// Requests that wait at its agent, by the last report.
    waiting_requests: u32,
    waiting_reported_at: Option<Duration>,
    /// The slowdown minus one, so that the default value zero means no slowdown.
    excess_slowdown: f64,
}

impl TargetLoad {
    /// Adds a request with `prompt_tokens`.
    pub fn add_request(&mut self, prompt_tokens: u32) {
        self.own_requests += 1;
        self.own_unprefilled_tokens += u64::from(prompt_tokens);
    }

    /// Removes the prompt tokens of a request that is prefilled or never will be.
    pub fn remove_prompt(&mut self, prompt_tokens: u32) {
        let tokens = u64::from(prompt_tokens);
        self.own_unprefilled_tokens = self.own_unprefilled_tokens.saturating_sub(tokens);
    }

    /// Removes a request that has left the target.
    pub fn remove_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Prompt tokens of this process that the target has yet to prefill.
    pub fn own_unprefilled_tokens(&self) -> u64 {
        self.own_unprefilled_tokens
    }

    /// Applies a load report of the target.
    pub fn apply_report(&mut self, now: Duration, report: LoadReport) {
        self.other_requests = (report.running + report.queued).saturating_sub(self.own_requests);
        self.reported_at = Some(now);
    }

    /// Applies an agent's report of the backlog ahead of a request of this process with
    /// `prompt_tokens`, which is already counted here.
    pub fn apply_backlog(&mut self, now: Duration, backlog: Backlog, prompt_tokens: u32) {
        self.other_requests = (backlog.requests + 1).saturating_sub(self.own_requests);
        self.reported_at = Some(now);
        let tokens = u64::from(backlog.unprefilled_tokens) + u64::from(prompt_tokens);
        self.other_unprefilled_tokens = tokens.saturating_sub(self.own_unprefilled_tokens);
        self.backlog_reported_at = Some(now);
    }

    /// Applies an agent's report of the requests that wait there.
    pub fn apply_waiting(&mut self, now: Duration, waiting_requests: u32) {
        self.waiting_requests = waiting_requests;
        self.waiting_reported_at = Some(now);
    }

    /// Requests that wait at the agent, as far as known. Old reports count less.
    pub fn waiting(&self, now: Duration) -> f64 {
        let Some(reported_at) = self.waiting_reported_at else {
            return 0.0;
        };
        let age = now.saturating_sub(reported_at).as_secs_f64();
        f64::from(self.waiting_requests) * (1.0 - age / WAITING_TTL.as_secs_f64()).max(0.0)
    }

    /// Prompt tokens of other processes that the target has yet to prefill, or `None` if the last
    /// report is too old.
    pub fn other_unprefilled_tokens(&self, now: Duration) -> Option<f64> {
        let age = now.saturating_sub(self.backlog_reported_at?);
        let weight = 1.0 - age.as_secs_f64() / BACKLOG_TOKENS_TTL.as_secs_f64();
        (weight > 0.0).then_some(self.other_unprefilled_tokens as f64 * weight)
    }

    /// Updates the slowdown with the expected and the actual time to a first event.
    pub fn record_first_event(&mut self, expected: Duration, actual: Duration) {
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let (min, max) = SLOWDOWN_BOUNDS;
        self.excess_slowdown += (ratio.clamp(min, max) - self.slowdown()) * SLOWDOWN_WEIGHT;
    }

    /// Moving average of actual over expected times to the first event.
    pub fn slowdown(&self) -> f64 {
        1.0 + self.excess_slowdown
    }

    /// Requests of this process at the target.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Requests of other processes, as far as known. Old reports count less.
    pub fn other_requests(&self, now: Duration) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return 0.0;
        };
        let age = now.saturating_sub(reported_at);
        let relative_age = age.as_secs_f64() / REPORT_FULL_WEIGHT_TIME.as_secs_f64();
        f64::from(self.other_requests) / relative_age.max(1.0)
    }

    /// All requests at the target, as far as known.
    pub fn total_requests(&self, now: Duration) -> f64 {
        f64::from(self.own_requests) + self.other_requests(now)
    }
}
