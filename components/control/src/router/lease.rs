//! How long the configuration may be acted on after it was last known to be current.
//!
//! A key that operators took away must stop working everywhere within a bounded time, also at a
//! process that nobody can reach. So a process answers requests with a key only while it can show
//! how old its configuration may be. Ages are measured on a clock that counts suspended time.

use std::time::Duration;

/// The freshness of the configuration.
#[derive(Clone, Debug)]
pub struct Lease {
    length: Duration,
    current_at: Option<Duration>,
    was_valid: bool,
}

impl Lease {
    /// Starts without proof. `length` is how long a proof lasts.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            current_at: None,
            was_valid: false,
        }
    }

    /// The configuration was read by a call that was sent at `sent`. An earlier proof is kept.
    pub fn renew(&mut self, sent: Duration) {
        self.current_at = Some(self.current_at.map_or(sent, |at| at.max(sent)));
    }

    /// How old the configuration may be.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the configuration may be acted on.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.length)
    }

    /// Whether the lease was lost or regained since the last call.
    pub fn turned(&mut self, now: Duration) -> Option<bool> {
        let valid = self.is_valid(now);
        let turned = valid != self.was_valid;
        self.was_valid = valid;
        turned.then_some(valid)
    }
}
