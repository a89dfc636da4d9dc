//! The schedule of a rolling update.
//!
//! An engine finishes its running requests before it loads new weights and accepts no new ones
//! meanwhile. If all engines did so at once, requests would find no engine for seconds. The engines
//! of a data centre therefore load one after the other, spread over the time from when they hold the
//! weights until the old version may no longer be used.

use std::time::Duration;

use utils::Name;

/// What bounds the rolling update of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpdateLimits {
    /// How long after a version was named requests are still sent to the one before it.
    pub old_version_time: Duration,
    /// Bytes per second at which the pieces of a version can arrive.
    pub download_bytes_per_second: f64,
}

impl UpdateLimits {
    /// The time between which the engines of a data centre load a version of `total_bytes` that was
    /// named at `named_at`, if an agent holds it since `staged_at`. All agents of a data centre hold
    /// it at about the same time, as they exchange its pieces.
    pub(super) fn window(
        &self,
        named_at: Duration,
        staged_at: Duration,
        total_bytes: u64,
    ) -> UpdateWindow {
        let seconds = total_bytes as f64 / self.download_bytes_per_second;
        let download_time = Duration::try_from_secs_f64(seconds).unwrap_or(self.old_version_time);
        let until = named_at + self.old_version_time;
        UpdateWindow {
            from: staged_at.max(named_at + download_time).min(until),
            until,
        }
    }
}

/// When the engines of a data centre load a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UpdateWindow {
    /// When the first engine may stop accepting requests.
    pub from: Duration,
    /// When the last engine must stop accepting requests.
    pub until: Duration,
}

impl UpdateWindow {
    /// When the engine of agent `name` stops accepting requests in order to load the version.
    /// `peers` are the agents of its data centre in rank order.
    pub fn update_time(&self, name: &Name, peers: &[Name]) -> Duration {
        let rank = peers.iter().position(|peer| peer == name).unwrap_or(0);
        let intervals = peers.len().saturating_sub(1).max(1);
        let spread = self.until.saturating_sub(self.from);
        self.from + spread.mul_f64(rank as f64 / intervals as f64)
    }
}
