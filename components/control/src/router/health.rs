//! Passive health checks of a target: failures of its answers eject it for a while.

use std::time::Duration;

/// Duration of the first ejection; each further one doubles it.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Upper bound of an ejection's duration.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Consecutive failures that eject a target.
const EJECTION_CONSECUTIVE_FAILURES: u32 = 2;

/// Weight of the newest answer in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.12;

/// Failure rate that ejects a target even if some of its answers succeed.
const EJECTION_FAILURE_RATE: f64 = 0.3;

/// The health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    failure_rate: f64,
    ejected_until: Duration,
    /// Whether the target gets only one request at a time. This is so after an ejection, until a
    /// request succeeds.
    is_probing: bool,
}

impl Health {
    /// Records a successful answer.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        self.is_probing = false;
        if self.failure_rate < EJECTION_FAILURE_RATE / 2.0 {
            self.ejections = 0;
        }
    }

    /// Records a failure that the target caused. Returns whether a failure threshold is reached.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.consecutive_failures += 1;
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
        let is_failing = self.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES
            || self.failure_rate >= EJECTION_FAILURE_RATE;
        if is_failing || self.is_probing {
            self.eject(now);
        }
        is_failing
    }

    /// Records that the target could not be reached, which ejects it at once.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.consecutive_failures += 1;
        self.eject(now);
    }

    fn eject(&mut self, now: Duration) {
        if now < self.ejected_until {
            return;
        }
        // Further doublings would exceed the maximum.
        let duration = BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.min(6));
        self.ejections += 1;
        self.ejected_until = now + duration.min(MAX_EJECTION_TIME);
        self.is_probing = true;
    }

    /// Whether the target is ejected and gets no requests.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether the target gets only one request at a time after an ejection.
    pub fn is_probing(&self) -> bool {
        self.is_probing
    }

    /// Moving average of the share of failures, from zero to one.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
