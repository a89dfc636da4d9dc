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

/// A route, and the team if the caller has a key.
type Callers = (Name, Option<Name>);

/// The longest timeouts in the current window and the one before it.
#[derive(Clone, Debug, Default)]
pub(super) struct FirstAttempts {
    window_started_at: Duration,
    current: HashMap<Callers, Duration>,
    previous: HashMap<Callers, Duration>,
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
        self.start_window(now);
        let callers = (route.clone(), team.cloned());
        let previous = self.previous.get(&callers).copied().unwrap_or_default();
        let current = self.current.entry(callers).or_default();
        *current = timeout.max(*current);
        let longest = previous.max(*current);
        let spread = longest / FIRST_ATTEMPT_SPREAD_DIVISOR;
        longest.saturating_sub(timeout) >= spread.max(RETRY_LATER_DELAY)
    }

    fn start_window(&mut self, now: Duration) {
        let age = now.saturating_sub(self.window_started_at);
        if age < WINDOW {
            return;
        }
        self.window_started_at = now;
        self.previous = std::mem::take(&mut self.current);
        if age >= WINDOW * 2 {
            self.previous.clear();
        }
    }
}
