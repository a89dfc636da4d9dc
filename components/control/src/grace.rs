//! For how long targets are kept whose entries are missing from the list.
//!
//! The platform's store removes the entry of a target that has not written it for some heartbeats, as
//! while the store is away. Such an entry is back about two seconds after the return of the store. A
//! process that alone is not answered must not take a target that left meanwhile for one of these.

use std::time::Duration;

/// The heartbeats after which all entries have expired if targets cannot write them: the store removes
/// an entry after three missed ones, and the last one was written up to one interval before.
const EXPIRY_HEARTBEATS: u32 = 4;

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

    /// Whether missing targets are removed at once.
    pub fn is_none(self) -> bool {
        self == Self::NONE
    }
}

/// A grace period that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracePeriod {
    /// When it began.
    pub began_at: Duration,
    /// How long it is.
    pub grace: Grace,
}

impl GracePeriod {
    /// What is left of it.
    pub fn left(&self, now: Duration) -> Grace {
        let elapsed = now.saturating_sub(self.began_at);
        Grace {
            each: self.grace.each.saturating_sub(elapsed),
            majority: self.grace.majority.saturating_sub(elapsed),
        }
    }
}

/// A time in which the store gave no answers to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// From the last answer to the sending of the next call that was answered.
    pub duration: Duration,
    /// Whether the entry of any target was listed before and after the gap, and did not expire in
    /// between.
    pub has_surviving_entry: bool,
}

impl Gap {
    /// Whether no entry can have expired for want of the store. Otherwise all of them would have
    /// expired in a gap of this length, unless the store was away for a part of it only.
    pub fn was_store_available(&self, heartbeat_interval: Duration) -> bool {
        self.has_surviving_entry && self.duration >= heartbeat_interval * EXPIRY_HEARTBEATS
    }
}
