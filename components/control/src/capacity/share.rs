//! The share of one process in the requests that a target handles at once.
//!
//! Where no agent counts the requests of all processes, each keeps to its own share, which may be
//! less than one request. The share is kept on average over time: a process whose share is a third
//! of a request has one at the target during a third of the time.

use std::time::Duration;

/// Largest credit, in seconds of one request.
const MAX_CREDIT: f64 = 0.4;

/// The time in which a share becomes the credit that a process may save. Processes with small shares
/// must not save several requests, since all of them might send at once.
const SAVED_SECONDS: f64 = 1.0;

/// The share of the largest credit from which a process sends although the target is known to be full:
/// others may have learned a higher limit, and must not keep it from the target for ever.
const URGENT_CREDIT: f64 = 0.5;

/// The longest time without a request after one that took too long. A target must still be measured.
const MAX_SILENCE_SECONDS: f64 = 3.0;

fn max_credit(share: f64) -> f64 {
    (share * SAVED_SECONDS).min(MAX_CREDIT)
}

/// Requests of a process at a target, as its part of a limit for all `process_count` processes.
pub fn process_share(limit: f64, process_count: Option<u32>) -> f64 {
    match process_count {
        Some(count) if count > 1 => limit / f64::from(count),
        _ => limit,
    }
}

/// The use of a share over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareUse {
    /// The integral of the share less the requests at the target, in seconds.
    credit: f64,
    updated_at: Duration,
}

impl ShareUse {
    /// The use by a process that had a request at the target for `used` before the share applied.
    /// Processes that learn of the target at the same time must not all send at once.
    pub fn after(now: Duration, used: Duration) -> Self {
        Self {
            credit: -used.as_secs_f64(),
            updated_at: now,
        }
    }

    fn credit(&self, now: Duration, own_requests: u32, share: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let change = (share - f64::from(own_requests)) * elapsed;
        (self.credit + change).clamp(-share * MAX_SILENCE_SECONDS, max_credit(share))
    }

    /// Accounts for the time since the last call, in which `own_requests` were at the target. To be
    /// called before their number changes.
    pub fn update(&mut self, now: Duration, own_requests: u32, share: f64) {
        self.credit = self.credit(now, own_requests, share);
        self.updated_at = now;
    }

    /// Whether one more request is within `share`. `is_full` says that all processes together are
    /// known to have as many requests at the target as the limit.
    pub fn allows(&self, now: Duration, own_requests: u32, share: f64, is_full: bool) -> bool {
        let next = f64::from(own_requests) + 1.0;
        let needed = if is_full {
            max_credit(share) * URGENT_CREDIT
        } else {
            0.0
        };
        next <= share || (next < share + 1.0 && self.credit(now, own_requests, share) >= needed)
    }
}
