//! Recognises callers that return after a rejection.
//!
//! The request of a caller that tries again carries no mark of that, but its timeout is shorter by
//! the time that the caller has waited. The longest recent timeout of the same team on the same route
//! is taken as that of a first attempt. First attempts differ too, so only a large difference counts.

use std::collections::HashMap;
use std::time::Duration;

use utils::Name;

use super::rejection::RETRY_LATER_DELAY;

/// The timeouts of first attempts differ by up to this part of the longest one; the constant is its
/// divisor.
const FIRST_ATTEMPT_SPREAD_DIVISOR: u32 = 6;

/// How long a timeout counts as recent, at least. It counts for up to twice this time.
const WINDOW: Duration = Duration::from_secs(10);

/// The longest timeouts of one team on one route, in the current and the previous window.
#[derive(Clone, Copy, Debug)]
struct LongestTimeouts {
    window_started_at: Duration,
    current: Duration,
    previous: Duration,
}

impl LongestTimeouts {
    fn record(&mut self, now: Duration, timeout: Duration) {
        let age = now.saturating_sub(self.window_started_at);
        if age >= WINDOW {
            self.previous = if age < WINDOW * 2 {
                self.current
            } else {
                Duration::ZERO
            };
            self.current = Duration::ZERO;
            self.window_started_at = now;
        }
        self.current = self.current.max(timeout);
    }

    fn longest(&self) -> Duration {
        self.current.max(self.previous)
    }
}

/// The timeouts of callers' first attempts, by route and team.
#[derive(Clone, Debug, Default)]
pub(super) struct FirstAttempts {
    timeouts: HashMap<(Name, Option<Name>), LongestTimeouts>,
}

impl FirstAttempts {
    /// Whether a caller that now waits for `timeout` was rejected before, as far as known.
    pub fn is_return(
        &mut self,
        now: Duration,
        route: &Name,
        team: Option<&Name>,
        timeout: Duration,
    ) -> bool {
        let key = (route.clone(), team.cloned());
        let known = self.timeouts.entry(key).or_insert(LongestTimeouts {
            window_started_at: now,
            current: Duration::ZERO,
            previous: Duration::ZERO,
        });
        known.record(now, timeout);
        let longest = known.longest();
        let spread = longest / FIRST_ATTEMPT_SPREAD_DIVISOR;
        longest.saturating_sub(timeout) >= spread.max(RETRY_LATER_DELAY)
    }

    /// Forgets timeouts that are no longer recent.
    pub fn expire(&mut self, now: Duration) {
        self.timeouts
            .retain(|_, known| now.saturating_sub(known.window_started_at) < WINDOW * 2);
    }
}
