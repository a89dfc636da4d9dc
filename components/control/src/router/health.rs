//! Whether a target answers well, learned from its answers alone.

use std::time::Duration;

/// The rest of a target after its first failures in a row.
const FIRST_REST: Duration = Duration::from_millis(500);

/// The longest rest of a failing target.
const LONGEST_REST: Duration = Duration::from_secs(4);

/// Failures in a row after which a target rests.
const FAILURES_IN_A_ROW: u32 = 2;

/// The weight of the newest answer in the share of failures.
const NEWEST_WEIGHT: f64 = 0.12;

/// The share of failures from which a target rests although it answers in between.
const FAILING_SHARE: f64 = 0.3;

/// The state of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    in_a_row: u32,
    rests: u32,
    share: f64,
    rests_until: Duration,
    /// A single request tries the target after its rest.
    on_trial: bool,
}

impl Health {
    /// The target answered well.
    pub fn succeeded(&mut self) {
        self.in_a_row = 0;
        self.share *= 1.0 - NEWEST_WEIGHT;
        self.on_trial = false;
        if self.share < FAILING_SHARE / 2.0 {
            self.rests = 0;
        }
    }

    /// An answer failed in a way that is the target's fault. Returns whether it rests now.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.in_a_row += 1;
        self.share += (1.0 - self.share) * NEWEST_WEIGHT;
        let failing = self.in_a_row >= FAILURES_IN_A_ROW || self.share >= FAILING_SHARE;
        if failing || self.on_trial {
            self.rest(now);
        }
        failing
    }

    /// Nobody listens at the target, or it went silent: it rests at once.
    pub fn lost(&mut self, now: Duration) {
        self.in_a_row += 1;
        self.rest(now);
    }

    fn rest(&mut self, now: Duration) {
        if now < self.rests_until {
            return;
        }
        let rest = FIRST_REST.saturating_mul(1 << self.rests.min(6));
        self.rests += 1;
        self.rests_until = now + rest.min(LONGEST_REST);
        self.on_trial = true;
    }

    /// Whether the target is left alone.
    pub fn rests(&self, now: Duration) -> bool {
        now < self.rests_until
    }

    /// Whether the target has to prove itself with one request at a time.
    pub fn is_on_trial(&self) -> bool {
        self.on_trial
    }

    /// The share of failures among the latest answers.
    pub fn failing_share(&self) -> f64 {
        self.share
    }
}
