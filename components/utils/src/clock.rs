//! An abstract clock, so that state machines and tests can control the time.

use std::sync::{
    Mutex,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant,
    SystemTime, //
};

/// A simultaneous reading of the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time since the clock was created.
    pub elapsed: Duration,
    /// Wall clock time, comparable with timestamps from other machines.
    pub wall: SystemTime,
}

impl Now {
    /// Wall clock time in milliseconds since the Unix epoch; zero if it lies before the epoch.
    pub fn unix_ms(&self) -> u64 {
        self.wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A source of time.
pub trait Clock: Send + Sync {
    /// Reads both clocks.
    fn now(&self) -> Now;
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
    fn now(&self) -> Now {
        Now {
            elapsed: self.start.elapsed(),
            wall: SystemTime::now(),
        }
    }
}

/// A test clock that advances only when [`ManualClock::advance`] is called.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<Now>,
}

impl ManualClock {
    /// Creates a clock with zero elapsed time and the given wall time.
    pub fn new(wall: SystemTime) -> Self {
        Self {
            now: Mutex::new(Now {
                elapsed: Duration::ZERO,
                wall,
            }),
        }
    }

    /// Advances both readings by the same duration.
    pub fn advance(&self, by: Duration) {
        let mut now = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        now.elapsed += by;
        now.wall += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Now {
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
