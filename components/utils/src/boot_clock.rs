//! A monotonic clock that includes the time for which the instance was suspended.

use std::io;
use std::time::{
    Duration,
    SystemTime, //
};

use nix::time::{
    clock_gettime,
    ClockId, //
};

use crate::clock::{
    Clock,
    ClockReading, //
};

/// The elapsed time that a new clock reports. Other processes report the ages of events from before
/// this process started; subtracting such an age from the current time must not underflow.
const INITIAL_ELAPSED: Duration = Duration::from_secs(24 * 3600);

/// The operating system's `CLOCK_BOOTTIME`. Leases are measured with it because it also advances
/// while the instance is suspended.
#[derive(Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Creates a clock whose elapsed time starts at one day.
    ///
    /// Fails if the system does not support `CLOCK_BOOTTIME`.
    pub fn new() -> io::Result<Self> {
        let start = read_boot_time()?;
        Ok(Self { start })
    }
}

impl Clock for BootClock {
    fn now(&self) -> ClockReading {
        // `new` has already read this clock, so a failure is not expected here.
        let since_start = read_boot_time()
            .unwrap_or(self.start)
            .saturating_sub(self.start);
        let elapsed = INITIAL_ELAPSED + since_start;
        ClockReading {
            elapsed,
            wall_clock: SystemTime::now(),
        }
    }
}

fn read_boot_time() -> io::Result<Duration> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)?;
    Ok(Duration::from(time))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_before_the_start_are_representable() {
        let clock = BootClock::new().unwrap();
        let before = clock.now().elapsed.checked_sub(Duration::from_secs(3600));
        assert!(before.is_some());
        assert!(clock.now().elapsed >= INITIAL_ELAPSED);
    }
}
