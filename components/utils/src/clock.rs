//! The clock as an interface, so that reducers and tests choose the time.

use std::sync::{
    Mutex,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant,
    SystemTime, //
};

/// One reading of both clocks of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time since the clock was made.
    pub elapsed: Duration,
    /// Wall clock time, used for stamps that other machines issued.
    pub wall: SystemTime,
}

impl Now {
    /// Milliseconds of wall clock time since the Unix epoch, zero before it.
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
    /// Makes a clock whose monotonic time starts at zero.
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

/// A clock that only moves when told to.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<Now>,
}

impl ManualClock {
    /// Makes a clock that stands at zero elapsed time and the given wall time.
    pub fn new(wall: SystemTime) -> Self {
        Self {
            now: Mutex::new(Now {
                elapsed: Duration::ZERO,
                wall,
            }),
        }
    }

    /// Moves both clocks forward.
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
    fn manual_clock_moves_both_readings() {
        let clock = ManualClock::new(SystemTime::UNIX_EPOCH);
        clock.advance(Duration::from_millis(1500));
        let now = clock.now();
        assert_eq!(now.elapsed, Duration::from_millis(1500));
        assert_eq!(now.unix_ms(), 1500);
    }
}
