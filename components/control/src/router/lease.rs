//! The lease on the configuration: how long it may be used after it was last confirmed as current.
//!
//! Operators may publish a change right after a call to the platform's store was sent, and the process
//! sees it only with the answer of a later call. So the age of its configuration is the time since the
//! last confirmed call was sent, and each bound on a change is checked against this age. Ages are
//! measured on a clock that counts suspended time.

use std::time::Duration;

/// How many times the bound on changes the store must have been silent until this counts as an outage.
/// Until then, its answer may only be late.
const OUTAGE_FACTOR: u32 = 3;

/// How long a refusal counts. A process that is refused asks again within half a second; if it is not
/// refused at once then, an answer is on its way.
const REFUSAL_TIME: Duration = Duration::from_millis(1200);

/// How long a request takes at most to reach its target, if no link is full.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(50);

/// Whether the platform's store answers this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SourceStatus {
    /// It answered the last call. The answer of the present one may be late.
    #[default]
    Answering,
    /// It refused the last call, or gave an answer that cannot be used.
    Failing,
    /// It did not answer the last call in time.
    Silent,
}

/// Bounds on the age of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// Below this age, requests with a key may be served: a revoked key must stop working everywhere,
    /// also at a process that the store does not answer.
    pub with_key: Duration,
    /// Below this age, all requests may be served while the store answers: within this time a change
    /// of routes must be in force, a target that leaves must get nothing, and neither must a data
    /// centre that is out of service.
    pub while_answered: Duration,
}

impl AgeLimits {
    /// Creates the limits from the times within which changes must be in force: `with_key` for revoked
    /// keys at any process, `config_time` for routes, and `removal_times` for targets that leave and
    /// data centres out of service, which count the requests that arrive there.
    pub fn new(
        with_key: Duration,
        config_time: Duration,
        removal_times: impl IntoIterator<Item = Duration>,
    ) -> Self {
        let removal_times = removal_times.into_iter();
        let removal_times = removal_times.map(|time| time.saturating_sub(ARRIVAL_MARGIN));
        Self {
            with_key,
            while_answered: removal_times.fold(config_time, Duration::min),
        }
    }
}

/// The lease on the configuration.
#[derive(Clone, Debug)]
pub struct Lease {
    limits: AgeLimits,
    confirmed_at: Option<Duration>,
    source_status: SourceStatus,
    source_status_at: Duration,
    was_valid: bool,
}

impl Lease {
    /// Creates an expired lease.
    pub fn new(limits: AgeLimits) -> Self {
        Self {
            limits,
            confirmed_at: None,
            source_status: SourceStatus::default(),
            source_status_at: Duration::ZERO,
            was_valid: false,
        }
    }

    /// Renews the lease from the time at which the confirmed call was sent, since the
    /// configuration may have changed right after that. An older call never shortens the lease.
    pub fn renew(&mut self, sent: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(sent, |at| at.max(sent)));
    }

    /// Sets how the store responded to the last call.
    pub fn set_source_status(&mut self, now: Duration, status: SourceStatus) {
        self.source_status = status;
        self.source_status_at = now;
    }

    /// When the last confirmed call was sent.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Upper bound of the configuration's age, or `None` before the first renewal.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether every change is in force that must be. Only then may a request be told that its route
    /// or key does not exist.
    pub fn is_current(&self, now: Duration) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.limits.while_answered)
    }

    /// Whether a request may be served by the configuration. While the store is unavailable, requests
    /// without a key are served by the last one, however old it is; a late answer is no outage.
    pub fn allows(&self, now: Duration, has_key: bool) -> bool {
        // A process that has just read its first configuration confirms it next.
        let Some(age) = self.age(now) else {
            return !has_key;
        };
        if has_key && age >= self.limits.with_key {
            return false;
        }
        let limit = self.limits.while_answered;
        age < limit
            || match self.source_status {
                SourceStatus::Answering => false,
                SourceStatus::Failing => now.saturating_sub(self.source_status_at) < REFUSAL_TIME,
                SourceStatus::Silent => has_key || age > limit * OUTAGE_FACTOR,
            }
    }

    /// Whether requests with a key may be served, if that has changed since the last call.
    pub fn take_validity_change(&mut self, now: Duration) -> Option<bool> {
        let valid = self.allows(now, true);
        let changed = valid != self.was_valid;
        self.was_valid = valid;
        changed.then_some(valid)
    }
}
