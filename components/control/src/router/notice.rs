//! What a target says of itself in its answers.

use std::time::Duration;

/// What one answer of a target says of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Requests per second that it takes from all processes together, if it limits them.
    pub requests_per_second: Option<f64>,
}

/// The latest notice of a target, and when it was received.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetNotice {
    latest: Notice,
    received_at: Duration,
}

impl TargetNotice {
    /// Replaces the notice. Returns whether it differs from the one before.
    pub fn update(&mut self, now: Duration, notice: Notice) -> bool {
        let is_changed = self.latest != notice;
        self.latest = notice;
        self.received_at = now;
        is_changed
    }

    /// How long ago the notice was received.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Requests per second that the target takes from all processes together, if it limits them.
    pub fn requests_per_second(&self) -> Option<f64> {
        self.latest.requests_per_second
    }
}
