//! How long requests of a route take until the end of their answers.

use std::time::Duration;

/// How long an observation counts: until the end of the next period of this length.
const PERIOD: Duration = Duration::from_secs(10);

/// The longest time of the present period and of the one before it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerTimes {
    began_at: Duration,
    longest: Duration,
    longest_before: Duration,
}

impl AnswerTimes {
    /// Records the time from the arrival of a request to the end of its answer.
    pub fn record(&mut self, now: Duration, time: Duration) {
        let age = now.saturating_sub(self.began_at);
        if age >= PERIOD {
            self.longest_before = if age < PERIOD * 2 {
                self.longest
            } else {
                Duration::ZERO
            };
            self.longest = Duration::ZERO;
            self.began_at = now;
        }
        self.longest = self.longest.max(time);
    }

    /// The longest time that was recorded lately.
    pub fn longest(&self) -> Duration {
        self.longest.max(self.longest_before)
    }
}
