//! The lease on the configuration: how long it may be used after it was last confirmed as current.
//!
//! A revoked key must stop working everywhere within a bounded time, also at a process that the
//! platform cannot reach. So a process serves requests with a key only while it knows an upper
//! bound of its configuration's age. Ages are measured on a clock that counts suspended time.

use std::time::Duration;

/// The lease on the configuration.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: Duration,
    confirmed_at: Option<Duration>,
    was_valid: bool,
}

impl Lease {
    /// Creates an expired lease. `duration` is how long a renewal lasts.
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            confirmed_at: None,
            was_valid: false,
        }
    }

    /// Renews the lease from the time at which the confirmed call was sent, since the
    /// configuration may have changed right after that. An older call never shortens the lease.
    pub fn renew(&mut self, sent: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(sent, |at| at.max(sent)));
    }

    /// Upper bound of the configuration's age, or `None` before the first renewal.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the configuration may be used.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.duration)
    }

    /// The new validity, if it has changed since the last call.
    pub fn take_validity_change(&mut self, now: Duration) -> Option<bool> {
        let valid = self.is_valid(now);
        let changed = valid != self.was_valid;
        self.was_valid = valid;
        changed.then_some(valid)
    }
}
