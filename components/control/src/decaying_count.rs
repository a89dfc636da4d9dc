//! A count that decays exponentially, from which rates and recent shares follow.

use std::time::Duration;

/// A count whose entries lose weight exponentially with their age.
#[derive(Clone, Copy, Debug)]
pub struct DecayingCount {
    time_constant: Duration,
    /// The count at `updated_at`.
    value: f64,
    updated_at: Duration,
}

impl DecayingCount {
    /// Creates a count of zero. After `time_constant` an entry has 1/e of its weight.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            value: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    /// Adds to the count.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.value = self.get(now) + amount;
        self.updated_at = now;
    }

    /// The count.
    pub fn get(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }

    /// What is added per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.get(now) / self.time_constant.as_secs_f64()
    }
}
