//! Recognises that the process stood still.

use std::time::Duration;

/// The longest time between two ticks of a process that runs.
const MAX_TICK_GAP: Duration = Duration::from_millis(1500);

/// How long after a standstill messages are handled that arrived during it.
const STANDSTILL_BACKLOG_TIME: Duration = Duration::from_millis(1000);

/// Recognises that the process stood still, so that messages waited before they were handled.
#[derive(Debug, Default)]
pub(super) struct Standstill {
    ticked_at: Option<Duration>,
    ended_at: Option<Duration>,
}

impl Standstill {
    pub fn tick(&mut self, now: Duration) {
        if self.has_gap(now) {
            self.ended_at = Some(now);
        }
        self.ticked_at = Some(now);
    }

    fn has_gap(&self, now: Duration) -> bool {
        let is_long = |at: Duration| now.saturating_sub(at) > MAX_TICK_GAP;
        self.ticked_at.is_some_and(is_long)
    }

    /// Whether a message that is handled now may have waited for long.
    pub fn may_have_delayed(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < STANDSTILL_BACKLOG_TIME;
        self.has_gap(now) || self.ended_at.is_some_and(is_recent)
    }
}
