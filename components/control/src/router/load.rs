//! How much one target has to do, from this process's own requests and from what its answers say.

use std::time::Duration;

use protocol::Backlog;

/// How long what a target said of its load counts in full.
const REPORT_MEMORY: Duration = Duration::from_millis(1500);

/// How long prompts of others that an agent told of count. An engine reads a few thousand tokens in
/// this time.
const UNREAD_MEMORY: Duration = Duration::from_millis(300);

/// The weight of the newest first event in what is learned of a target's pace.
const NEWEST_WEIGHT: f64 = 0.15;

/// Bounds on the pace, against single answers that were held up by something else.
const PACES: (f64, f64) = (0.6, 4.0);

/// What a target says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// The load of one target.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests of this process that are at the target.
    own: u32,
    /// Prompt tokens of own requests whose first event has not come.
    unread: u64,
    /// Requests of others when the target last said so.
    others: u32,
    heard: Option<Duration>,
    /// Prompt tokens of others that were not read when the agent last said so.
    others_unread: u64,
    backlog_heard: Option<Duration>,
    /// How much longer first events take than expected, less one.
    delay: f64,
}

impl Load {
    /// A request with a prompt of `tokens` goes to the target.
    pub fn begin(&mut self, tokens: u32) {
        self.own += 1;
        self.unread += u64::from(tokens);
    }

    /// The target has read a prompt of `tokens`, or never will.
    pub fn read(&mut self, tokens: u32) {
        self.unread = self.unread.saturating_sub(u64::from(tokens));
    }

    /// A request has left the target.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Prompt tokens that the target has yet to read.
    pub fn unread(&self) -> u64 {
        self.unread
    }

    /// The target said how much it has to do.
    pub fn hear(&mut self, now: Duration, report: LoadReport) {
        self.others = (report.running + report.waiting).saturating_sub(self.own);
        self.heard = Some(now);
    }

    /// The agent said what stands before a request of this process with a prompt of `tokens`, which
    /// has begun already.
    pub fn hear_backlog(&mut self, now: Duration, backlog: Backlog, tokens: u32) {
        self.others = (backlog.requests + 1).saturating_sub(self.own);
        self.heard = Some(now);
        let ahead = u64::from(backlog.unread) + u64::from(tokens);
        self.others_unread = ahead.saturating_sub(self.unread);
        self.backlog_heard = Some(now);
    }

    /// Prompt tokens of others that the target has yet to read, if that is known.
    pub fn others_unread(&self, now: Duration) -> Option<f64> {
        let age = now.saturating_sub(self.backlog_heard?);
        let left = 1.0 - age.as_secs_f64() / UNREAD_MEMORY.as_secs_f64();
        (left > 0.0).then_some(self.others_unread as f64 * left)
    }

    /// A first event that was expected after one time came after another.
    pub fn learn(&mut self, expected: Duration, actual: Duration) {
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let (least, most) = PACES;
        self.delay += (ratio.clamp(least, most) - self.pace()) * NEWEST_WEIGHT;
    }

    /// How much longer first events take than expected.
    pub fn pace(&self) -> f64 {
        1.0 + self.delay
    }

    /// Requests of this process at the target.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests of others, as far as known. What was heard long ago counts less.
    pub fn others(&self, now: Duration) -> f64 {
        let Some(heard) = self.heard else {
            return 0.0;
        };
        let age = now.saturating_sub(heard);
        let aged = age.as_secs_f64() / REPORT_MEMORY.as_secs_f64();
        f64::from(self.others) / aged.max(1.0)
    }

    /// All requests at the target, as far as known.
    pub fn total(&self, now: Duration) -> f64 {
        f64::from(self.own) + self.others(now)
    }
}
