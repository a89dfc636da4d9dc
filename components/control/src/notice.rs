//! What a target says of itself in its answers, as known to one process.

use std::time::Duration;

use protocol::{
    AgedNotice,
    Notice, //
};

/// The latest notice of a target, and when the target gave it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetNotice {
    latest: Notice,
    given_at: Option<Duration>,
    /// Whether the target has limited its requests at any time.
    was_limited: bool,
}

impl TargetNotice {
    /// Replaces the notice by one that the target gave at `given_at`, unless a later one is known.
    /// Returns whether it differs from the one before.
    pub fn update(&mut self, given_at: Duration, notice: Notice) -> bool {
        if self.given_at.is_some_and(|known| given_at < known) {
            return false;
        }
        let is_changed = self.latest != notice;
        self.latest = notice;
        self.given_at = Some(given_at);
        self.was_limited |= notice.requests_per_second.is_some();
        is_changed
    }

    /// Takes over the notice that another process knows. Returns whether it differs from the one
    /// before.
    pub fn merge(&mut self, now: Duration, other: AgedNotice) -> bool {
        let age = Duration::from_millis(other.age_ms);
        self.update(now.saturating_sub(age), other.notice)
    }

    /// How long ago the target gave the notice; zero if it gave none.
    pub fn age(&self, now: Duration) -> Duration {
        self.given_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// The notice for other processes, which need it only if the target limits its requests, or has
    /// done so and no longer does.
    pub fn for_others(&self, now: Duration) -> Option<AgedNotice> {
        let age_ms = u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX);
        self.was_limited.then_some(AgedNotice {
            notice: self.latest,
            age_ms,
        })
    }

    /// Requests per second that the target takes from all processes together, if it limits them.
    pub fn requests_per_second(&self) -> Option<f64> {
        self.latest.requests_per_second
    }
}
