//! The share of one process in the retries that operators allow all processes together.
//!
//! Processes do not see each other's retries. Each spends what its own requests earn, whose sum over
//! all processes is right without knowing the others. The extra retries are divided by the number of
//! processes, which agents report. Half of the share may be saved, and half accrues in a window, so
//! no window gets more than the share; a process that has just started has saved nothing, because
//! its former incarnation may have spent the share already.

use std::time::Duration;

use crate::retry_budget::{
    RetryBudget,
    RetryBudgetOptions, //
};

/// How long the highest reported number of processes holds. A process that is cut off from part of
/// the others is told a smaller number, while the others still spend their shares.
const PROCESS_COUNT_HOLD_TIME: Duration = Duration::from_secs(120);

/// The retries of one service that operators allow all processes together.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryLimit {
    /// The number of retries that each request allows.
    pub retries_per_request: f64,
    /// The number of further retries in any window.
    pub extra_retries: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The number of processes, by the reports of agents.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessCount {
    highest: Option<u32>,
    reported_at: Duration,
}

impl ProcessCount {
    pub fn record(&mut self, now: Duration, count: u32) {
        let is_outdated = now.saturating_sub(self.reported_at) >= PROCESS_COUNT_HOLD_TIME;
        if is_outdated || self.highest.is_none_or(|highest| count >= highest) {
            self.highest = Some(count.max(1));
            self.reported_at = now;
        }
    }

    /// The number, or `None` until an agent has reported one.
    pub fn get(&self) -> Option<u32> {
        self.highest
    }
}

/// The retries of one service that this process may still use.
#[derive(Clone, Debug)]
pub(super) struct RetryShare {
    limit: RetryLimit,
    budget: RetryBudget,
    updated_at: Duration,
}

impl RetryShare {
    pub fn new(now: Duration, limit: RetryLimit) -> Self {
        let options = RetryBudgetOptions {
            retries_per_request: limit.retries_per_request,
            max_available: 1.0,
        };
        Self {
            limit,
            budget: RetryBudget::empty(options),
            updated_at: now,
        }
    }

    /// Adds what one request earns.
    pub fn record_request(&mut self) {
        self.budget.record_request();
    }

    /// Takes one retry. Returns whether there was one. An unknown number of processes allows no
    /// extra retries.
    pub fn try_take_retry(&mut self, now: Duration, process_count: Option<u32>) -> bool {
        self.accrue(now, process_count);
        self.budget.try_take_retry()
    }

    /// Whether there is a retry, without taking it.
    pub fn has_retry(&mut self, now: Duration, process_count: Option<u32>) -> bool {
        self.accrue(now, process_count);
        self.budget.has_retry()
    }

    fn accrue(&mut self, now: Duration, process_count: Option<u32>) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        if let Some(count) = process_count {
            let half_share = self.limit.extra_retries / f64::from(count) / 2.0;
            let windows = elapsed.as_secs_f64() / self.limit.window.as_secs_f64();
            self.budget.set_max_available(half_share.max(1.0));
            self.budget.add(half_share * windows);
        }
    }
}
