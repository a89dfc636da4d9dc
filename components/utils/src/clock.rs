//! An abstract clock, so that reducers and tests can control the time.

use std::sync::{
    Mutex,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant,
    SystemTime, //
};

use crate::millis::millis;

/// A simultaneous reading of the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time since the clock was created.
    pub elapsed: Duration,
    /// Wall clock time, comparable with timestamps from other machines.
    pub wall_clock: SystemTime,
}

impl ClockReading {
    /// Wall clock time in milliseconds since the Unix epoch; zero if it lies before the epoch.
    pub fn unix_ms(&self) -> u64 {
        self.wall_clock
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, millis)
    }
}

/// A source of time.
pub trait Clock: Send + Sync {
    /// Reads both clocks.
    fn now(&self) -> ClockReading;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> ClockReading {
        ClockReading {
            elapsed: self.start.elapsed(),
            wall_clock: SystemTime::now(),
        }
    }
}

/// A test clock that advances only when [`ManualClock::advance`] is called.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<ClockReading>,
}

impl ManualClock {
    /// Creates a clock with zero elapsed time and the given wall clock time.
    pub fn new(wall_clock: SystemTime) -> Self {
        Self {
            now: Mutex::new(ClockReading {
                elapsed: Duration::ZERO,
                wall_clock,
            }),
        }
    }

    /// Advances both readings by the same duration.
    pub fn advance(&self, by: Duration) {
        let mut now = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        now.elapsed += by;
        now.wall_clock += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> ClockReading {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn manual_clock_advances_both_readings() {
        let clock = ManualClock::new(SystemTime::UNIX_EPOCH);
        clock.advance(Duration::from_millis(1500));
        let now = clock.now();
        assert_eq!(now.elapsed, Duration::from_millis(1500));
        assert_eq!(now.unix_ms(), 1500);
    }
}
