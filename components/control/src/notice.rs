//! What a target says of itself in its answers, as known to one process.

use std::time::Duration;

use protocol::AgedLimit;
use utils::millis::millis;

/// The longest time for which a target is left alone at its own word.
const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// What one answer of a target says of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Requests per second that it takes from all processes together, if it limits them.
    pub requests_per_second: Option<f64>,
    /// Whether it leaves, and wants no new requests.
    pub is_leaving: bool,
    /// For how long it wants no requests from this process, if it refused one and says so.
    pub wants_nothing_for: Option<Duration>,
}

/// What a target is known to say of itself, each fact with the time of the answer. It belongs to one
/// start of the target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetNotice {
    limit: Option<f64>,
    limit_given_at: Option<Duration>,
    /// Whether the target has limited its requests at any time.
    was_limited: bool,
    leaving_since: Option<Duration>,
    /// Until this time it wants no requests from this process.
    paused_until: Duration,
}

impl TargetNotice {
    /// Adds what an answer says that was received now. Returns whether it changes anything.
    pub fn update(&mut self, now: Duration, notice: Notice) -> bool {
        let was_leaving = self.is_leaving();
        let was_paused = self.is_paused(now);
        if let Some(pause) = notice.wants_nothing_for {
            self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
        }
        if notice.is_leaving {
            // An answer that does not say so may only have been sent earlier.
            self.leaving_since.get_or_insert(now);
        }
        self.set_limit(now, notice.requests_per_second)
            || was_leaving != self.is_leaving()
            || was_paused != self.is_paused(now)
    }

    /// Takes over the limit that another process knows, from a message that was written after
    /// `written_after`. Returns whether it differs from the one before.
    pub fn merge(&mut self, written_after: Duration, other: AgedLimit) -> bool {
        let age = Duration::from_millis(other.age_ms);
        self.set_limit(written_after.saturating_sub(age), other.requests_per_second)
    }

    /// Replaces the limit by one that the target named at `given_at`, unless a later one is known.
    fn set_limit(&mut self, given_at: Duration, limit: Option<f64>) -> bool {
        if self.limit_given_at.is_some_and(|known| given_at < known) {
            return false;
        }
        let is_changed = self.limit != limit;
        self.limit = limit;
        self.limit_given_at = Some(given_at);
        self.was_limited |= limit.is_some();
        is_changed
    }

    /// How long ago the target named the limit; zero if it has said nothing.
    pub fn limit_age(&self, now: Duration) -> Duration {
        self.limit_given_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// The limit for other processes, which need it only if the target limits its requests, or has
    /// done so and no longer does.
    pub fn limit_for_others(&self, now: Duration) -> Option<AgedLimit> {
        let age_ms = millis(self.limit_age(now));
        self.was_limited.then_some(AgedLimit {
            requests_per_second: self.limit,
            age_ms,
        })
    }

    /// Requests per second that the target takes from all processes together, if it limits them.
    pub fn requests_per_second(&self) -> Option<f64> {
        self.limit
    }

    /// How much longer the target wants no requests from this process.
    pub fn pause(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Whether the target wants no requests from this process now.
    pub fn is_paused(&self, now: Duration) -> bool {
        !self.pause(now).is_zero()
    }

    /// Whether the target leaves. This holds until it starts again.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }
}
