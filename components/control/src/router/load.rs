//! The estimated load of one target, from this process's requests and from the target's reports.
//!
//! Targets of one service differ in speed, and engines become several times slower for a few hundred
//! milliseconds, several of them at any time. That is shorter than a measured average can follow, so
//! the slowness that targets report counts as long as it is fresh and agrees with the measurements.

use std::time::Duration;

use protocol::Backlog;

/// How long a load report counts in full; after that its weight is inverse to its age.
const REPORT_FULL_WEIGHT_TIME: Duration = Duration::from_millis(1500);

/// How long the prompt tokens in an agent's backlog report count; their weight falls linearly to
/// zero. An engine prefills a few thousand tokens in this time.
const BACKLOG_TOKENS_TTL: Duration = Duration::from_millis(300);

/// Weight of the newest first event in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;

/// Bounds of a single measured slowdown, since unrelated causes may delay single answers.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.6, 4.0);

/// How long a reported slowness counts; its weight falls linearly to zero. Engines change their speed
/// about this often.
const SLOWNESS_TTL: Duration = Duration::from_millis(600);

/// Bounds of the ratio of measured to reported slowness that is attributed to the expected times. A
/// report that differs more is wrong: a slow engine takes 2.5 times as long.
const BIAS_BOUNDS: (f64, f64) = (0.7, 1.6);

/// Factor between the reported slowness and the moving average from which on a measurement tells which
/// of the two is right.
const TELLING_FACTOR: f64 = 1.25;

/// How much a measurement that contradicts the reported slowness takes from the weight of reports.
const CONTRADICTION_PENALTY: f64 = 0.2;

/// How much a measurement that confirms the reported slowness adds to the weight of reports. It is more
/// than a contradiction takes, since the speed often changes between the report and the first event.
const CONFIRMATION_REWARD: f64 = 0.25;

/// Weight of the reports of a target from which on they are passed to its agent.
const MIN_CREDIBLE_WEIGHT: f64 = 0.5;

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
    /// The slowdown minus one, so that the default value zero means no slowdown.
    excess_slowdown: f64,
    reported_slowness: Option<ReportedSlowness>,
    /// What measurements that contradict the reported slowness took from its weight, from zero to one.
    slowness_distrust: f64,
    /// The ratio of measured to reported slowness, minus one.
    excess_bias: f64,
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
    /// one before.
    pub fn apply_agent_slowness(&mut self, now: Duration, percent: u16) {
        if let Some(reported) = &mut self.reported_slowness {
            *reported = ReportedSlowness {
                factor: f64::from(percent) / 100.0,
                at: now,
            };
        }
    }

    /// Whether the target reports its slowness, and measurements do not contradict it.
    pub fn has_credible_slowness(&self) -> bool {
        self.reported_slowness.is_some() && 1.0 - self.slowness_distrust >= MIN_CREDIBLE_WEIGHT
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
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let (min, max) = SLOWDOWN_BOUNDS;
        let ratio = ratio.clamp(min, max);
        if let Some(reported) = reported {
            self.judge_report(reported, ratio);
        }
        self.excess_slowdown += (ratio - self.measured_slowdown()) * SLOWDOWN_WEIGHT;
    }

    /// Compares what the reported slowness and the moving average predicted with what was measured.
    fn judge_report(&mut self, reported: f64, measured: f64) {
        let predicted = reported * self.bias();
        let average = self.measured_slowdown();
        if relative_difference(predicted, average) > TELLING_FACTOR {
            let is_confirmed =
                relative_difference(predicted, measured) < relative_difference(average, measured);
            let change = if is_confirmed {
                -CONFIRMATION_REWARD
            } else {
                CONTRADICTION_PENALTY
            };
            self.slowness_distrust = (self.slowness_distrust + change).clamp(0.0, 1.0);
        }
        let (min, max) = BIAS_BOUNDS;
        let bias = (measured / reported).clamp(min, max);
        self.excess_bias += (bias - self.bias()) * SLOWDOWN_WEIGHT;
    }

    /// How many times as long as expected the target takes to the first event: by its last report,
    /// as far as that is fresh and measurements do not contradict it, and as measured otherwise.
    pub fn slowdown(&self, now: Duration) -> f64 {
        let measured = self.measured_slowdown();
        let Some(reported) = self.reported_slowness else {
            return measured;
        };
        let weight = slowness_weight(now, reported.at) * (1.0 - self.slowness_distrust);
        measured + (reported.factor * self.bias() - measured) * weight
    }

    /// Moving average of actual over expected times to the first event.
    fn measured_slowdown(&self) -> f64 {
        1.0 + self.excess_slowdown
    }

    /// Moving average of measured over reported slowness: the error of the expected times.
    fn bias(&self) -> f64 {
        1.0 + self.excess_bias
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

/// The larger of two positive numbers divided by the smaller one.
fn relative_difference(a: f64, b: f64) -> f64 {
    (a / b).max(b / a)
}
