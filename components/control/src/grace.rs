//! For how long targets are kept whose entries are missing from the list.
//!
//! The platform's store removes the entry of a target that has not written it for some heartbeats, as
//! while the store is away. Such an entry is back about two seconds after the return of the store. A
//! process that alone is not answered must not take a target that left meanwhile for one of these.

use std::time::Duration;

/// Number of missed heartbeats after which the store removes the entry of a target.
const EXPIRY_HEARTBEATS: u32 = 3;

/// How many writes of each target may be missing although the store was available: one by rounding, and
/// those of targets that left.
const MAX_MISSED_INTERVALS: f64 = 1.25;

/// For how long targets are kept whose entries are missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grace {
    /// For how long each of them is kept.
    pub each: Duration,
    /// For how long they are kept if more targets of their service are missing than listed. An outage
    /// of the store affects all entries, while targets leave one by one.
    pub majority: Duration,
}

impl Grace {
    /// Missing targets are removed at once.
    pub const NONE: Self = Self {
        each: Duration::ZERO,
        majority: Duration::ZERO,
    };

    /// The same time for any number of missing targets.
    pub fn of(time: Duration) -> Self {
        Self {
            each: time,
            majority: time,
        }
    }

    /// The shorter of two times each.
    pub fn min(self, other: Self) -> Self {
        Self {
            each: self.each.min(other.each),
            majority: self.majority.min(other.majority),
        }
    }

    /// What is left of it after some time.
    pub fn after(self, elapsed: Duration) -> Self {
        Self {
            each: self.each.saturating_sub(elapsed),
            majority: self.majority.saturating_sub(elapsed),
        }
    }

    /// Whether missing targets are removed at once.
    pub fn is_none(self) -> bool {
        self == Self::NONE
    }
}

/// A time in which the store gave no answers to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// From the last answer to the sending of the next call that was answered.
    pub duration: Duration,
    /// The number of changes to the store meanwhile, if it is known.
    pub changes: Option<u64>,
    /// The number of targets that were listed before.
    pub targets: usize,
}

impl Gap {
    /// Whether targets could write their entries nearly all the time, so that none has expired for want
    /// of the store. Each target writes its entry once in `heartbeat_interval`. A store that was away
    /// for so long that entries expired lacks the writes of three intervals, and has the removal of
    /// each missing entry in their place.
    pub fn was_store_available(&self, heartbeat_interval: Duration) -> bool {
        let Some(changes) = self.changes else {
            return false;
        };
        if self.duration < heartbeat_interval * EXPIRY_HEARTBEATS {
            return false;
        }
        let intervals = self.duration.as_secs_f64() / heartbeat_interval.as_secs_f64();
        changes as f64 >= self.targets as f64 * (intervals - MAX_MISSED_INTERVALS)
    }
}
