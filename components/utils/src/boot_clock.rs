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

/// The clock of the operating system, suspended time included. Leases are measured on it.
#[derive(Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Makes a clock that starts at zero. Fails where the system has no such clock.
    pub fn new() -> io::Result<Self> {
        let start = read()?;
        Ok(Self { start })
    }
}

impl Clock for BootClock {
    fn now(&self) -> Now {
        // The clock was read once at the start, so it is there.
        let elapsed = read().unwrap_or(self.start).saturating_sub(self.start);
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
