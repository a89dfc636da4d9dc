//! Recognises that the process stood still.

use std::time::Duration;

/// How long after a standstill messages are handled that arrived during it.
const BACKLOG_TIME: Duration = Duration::from_millis(1000);

/// Recognises that the process stood still, so that messages waited before they were handled.
#[derive(Clone, Debug)]
pub struct Standstill {
    max_gap: Duration,
    ticked_at: Option<Duration>,
    ended_at: Option<Duration>,
}

impl Standstill {
    /// Creates a value for a process in which at most `max_gap` passes between two ticks while it runs.
    pub fn new(max_gap: Duration) -> Self {
        Self {
            max_gap,
            ticked_at: None,
            ended_at: None,
        }
    }

    /// Records that the process runs.
    pub fn tick(&mut self, now: Duration) {
        if self.has_gap(now) {
            self.ended_at = Some(now);
        }
        self.ticked_at = Some(now);
    }

    fn has_gap(&self, now: Duration) -> bool {
        let is_long = |at: Duration| now.saturating_sub(at) > self.max_gap;
        self.ticked_at.is_some_and(is_long)
    }

    /// Whether a message that is handled now may have waited for long.
    pub fn may_have_delayed(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < BACKLOG_TIME;
        self.has_gap(now) || self.ended_at.is_some_and(is_recent)
    }

    /// Whether the process stood still after `since`, so that a time measured from then says little.
    pub fn ended_after(&self, since: Duration) -> bool {
        self.ended_at.is_some_and(|at| at > since)
    }
}
