//! A clock that counts the time for which the instance was suspended.

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
    Now, //
};

/// What the clock shows at its start. Others tell ages of what happened before, and those times must
/// not lie before zero.
const HEAD_START: Duration = Duration::from_secs(24 * 3600);

/// The clock of the operating system, suspended time included. Leases are measured on it.
#[derive(Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Makes a clock that starts at one day. Fails where the system has no such clock.
    pub fn new() -> io::Result<Self> {
        let start = read()?;
        Ok(Self { start })
    }
}

impl Clock for BootClock {
    fn now(&self) -> Now {
        // The clock was read once at the start, so it is there.
        let passed = read().unwrap_or(self.start).saturating_sub(self.start);
        let elapsed = HEAD_START + passed;
        Now {
            elapsed,
            wall: SystemTime::now(),
        }
    }
}

fn read() -> io::Result<Duration> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)?;
    Ok(Duration::from(time))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_time_before_the_start_can_be_told() {
        let clock = BootClock::new().unwrap();
        let before = clock.now().elapsed.checked_sub(Duration::from_secs(3600));
        assert!(before.is_some());
        assert!(clock.now().elapsed >= HEAD_START);
    }
}
