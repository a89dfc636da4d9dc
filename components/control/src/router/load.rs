//! The estimated load of one target, from this process's requests and from the target's reports.
//!
//! Targets of one service differ in speed, and engines become several times slower for a few hundred
//! milliseconds, several of them at any time. That is shorter than a measured average can follow, so
//! the slowness that targets report counts as long as it is fresh and agrees with the measurements.

use std::time::Duration;

use protocol::Backlog;

use crate::speed_judge::SpeedJudge;

/// How long a load report counts in full; after that its weight is inverse to its age.
const REPORT_FULL_WEIGHT_TIME: Duration = Duration::from_millis(1500);

/// How long the prompt tokens in an agent's backlog report count; their weight falls linearly to
/// zero. An engine prefills a few thousand tokens in this time.
const BACKLOG_TOKENS_TTL: Duration = Duration::from_millis(300);

/// How long a reported slowness counts; its weight falls linearly to zero. Engines change their speed
/// about this often.
const SLOWNESS_TTL: Duration = Duration::from_millis(600);

/// How long the number of requests that wait at an agent counts; its weight falls linearly to zero.
const WAITING_TTL: Duration = Duration::from_millis(500);

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
    /// The measured slowdown, by which the reports are judged.
    speed: SpeedJudge,
    reported_slowness: Option<ReportedSlowness>,
    /// Whether its agent knows no slowness that agrees with the measurements of all processes.
    is_slowness_disputed: bool,
}

/// What a target last reported of its speed.
#[derive(Clone, Copy, Debug)]
struct ReportedSlowness {
    /// How many times as long as usual work takes.
    factor: f64,
    at: Duration,
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
        let requests = report.running.saturating_add(report.queued);
        self.other_requests = requests.saturating_sub(self.own_requests);
        self.reported_at = Some(now);
        if let Some(percent) = report.slowness_percent {
            self.reported_slowness = Some(ReportedSlowness {
                factor: f64::from(percent) / 100.0,
                at: now,
            });
        }
    }

    /// Applies the slowness that the agent of the target reports, if the target itself has reported
    /// one before. `None` if the agent knows none that agrees with its measurements; then the target's
    /// own reports do not count either.
    pub fn apply_agent_slowness(&mut self, now: Duration, percent: Option<u16>) {
        self.is_slowness_disputed = percent.is_none();
        if let (Some(reported), Some(percent)) = (&mut self.reported_slowness, percent) {
            *reported = ReportedSlowness {
                factor: f64::from(percent) / 100.0,
                at: now,
            };
        }
    }

    /// Whether the target reports its slowness.
    pub fn reports_slowness(&self) -> bool {
        self.reported_slowness.is_some()
    }

    /// The reported slowness as a factor, unless it is too old.
    pub fn reported_slowness(&self, now: Duration) -> Option<f64> {
        let reported = self.reported_slowness?;
        (slowness_weight(now, reported.at) > 0.0).then_some(reported.factor)
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

    /// Updates the slowdown with the expected and the actual time to a first event. `reported` is the
    /// slowness that was reported when the request was sent, if there was a fresh report.
    pub fn record_first_event(
        &mut self,
        expected: Duration,
        actual: Duration,
        reported: Option<f64>,
    ) {
        self.speed.record(expected, actual, reported);
    }

    /// How many times as long as expected the target takes to the first event: by its last report,
    /// as far as that is fresh and measurements do not contradict it, and as measured otherwise.
    pub fn slowdown(&self, now: Duration) -> f64 {
        let reported = self
            .reported_slowness
            .filter(|_| !self.is_slowness_disputed);
        let Some(reported) = reported else {
            return self.speed.measured_slowdown();
        };
        let weight = slowness_weight(now, reported.at);
        self.speed.expected_slowdown(reported.factor, weight)
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

/// The weight of a slowness that was reported at `at`, from zero to one.
fn slowness_weight(now: Duration, at: Duration) -> f64 {
    let age = now.saturating_sub(at);
    (1.0 - age.as_secs_f64() / SLOWNESS_TTL.as_secs_f64()).max(0.0)
}
