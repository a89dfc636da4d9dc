//! Durations in messages and in the record.

use std::time::Duration;

/// Whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole milliseconds, rounded up, for upper bounds.
pub fn millis_rounded_up(duration: Duration) -> u64 {
    let rounded = duration.as_micros().div_ceil(1000);
    u64::try_from(rounded).unwrap_or(u64::MAX)
}
