//! How long a check of the pieces that an engine holds stays good enough for an order to load them.

use std::time::Duration;

/// How old a check may be when the order to load is sent. Pieces may become corrupted where they lie, and an
/// engine may accept the order up to 1.5 s after it was sent; operators allow for the last 3 s.
const MAX_CHECK_AGE: Duration = Duration::from_millis(1500);

/// How old a check may be when an engine accepts the order that relies on it. Operators allow for changes in the
/// last 3 s; the rest is for differences between the clocks and for the time until an answer is handled.
const MAX_AGE_AT_ACCEPTANCE: Duration = Duration::from_millis(2500);

/// How old a check may be beyond its own duration. Without it no order would follow a check that takes
/// longer than [`MAX_CHECK_AGE`].
const MIN_TIME_AFTER_CHECK: Duration = Duration::from_millis(500);

/// A check that found every piece at the engine and each with its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceCheck {
    /// When the first piece was read.
    pub started_at: Duration,
    /// When the last piece was read.
    pub ended_at: Duration,
}

impl PieceCheck {
    /// How long the check took.
    pub fn duration(&self) -> Duration {
        self.ended_at.saturating_sub(self.started_at)
    }

    /// The age of the oldest of its readings.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    /// Until when the engine may accept an order so that the pieces that it takes then count as verified.
    pub fn covers_until(&self) -> Duration {
        self.started_at + MAX_AGE_AT_ACCEPTANCE
    }

    /// Whether pieces that an engine took at `time` or earlier, but after the check, count as verified.
    pub fn covers(&self, time: Duration) -> bool {
        time <= self.covers_until()
    }

    /// Until when an order to load the pieces may be sent.
    pub fn valid_until(&self) -> Duration {
        let max_age = MAX_CHECK_AGE.max(self.duration() + MIN_TIME_AFTER_CHECK);
        self.started_at + max_age
    }
}
