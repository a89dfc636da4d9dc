//! The targets that the platform lists, and what this process knows of each of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use utils::Name;

use crate::grace::{
    Grace,
    GracePeriod, //
};
use crate::notice::TargetNotice;

use super::health::Health;
use super::learned::TargetCapacity;
use super::load::TargetLoad;

/// A target's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The name of the target.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Requests that it runs at once, if the entry says so.
    pub slots: Option<u32>,
    /// Whether it accepts no new requests because it is about to stop.
    pub is_draining: bool,
    /// How much longer it stays in cold start.
    pub cold_remaining: Duration,
    /// The version of the weights that a model engine runs, if any.
    pub version: Option<u64>,
    /// Whether it is a model engine without weights.
    pub has_no_weights: bool,
    /// When it started, in milliseconds since the Unix epoch. It differs between incarnations.
    pub started_at_ms: u64,
}

/// How long after a target becomes available all processes are assumed to send to it.
const RETURN_CONTENTION_TIME: Duration = Duration::from_millis(1200);

/// How long an agent's report takes precedence over the list. Agents report every five seconds.
const AGENT_REPORT_PRECEDENCE: Duration = Duration::from_secs(8);

/// A token bucket that limits this process's requests to a target.
#[derive(Clone, Copy, Debug, Default)]
struct RateAllowance {
    available: f64,
    updated_at: Duration,
}

impl RateAllowance {
    fn available(&self, now: Duration, rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        // The bucket holds the requests of a tenth of a second, but at least one.
        let capacity = (rate / 10.0).max(1.0);
        (self.available + elapsed * rate).min(capacity)
    }

    fn spend(&mut self, now: Duration, rate: f64) {
        self.available = self.available(now, rate) - 1.0;
        self.updated_at = now;
    }
}

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its entry in the list.
    pub entry: TargetEntry,
    /// When its cold start ends.
    pub cold_until: Duration,
    /// Its estimated load.
    pub load: TargetLoad,
    /// What it says of itself in its answers.
    pub notice: TargetNotice,
    /// Its health, by the outcomes of requests.
    pub health: Health,
    /// How many requests it handles well.
    pub capacity: TargetCapacity,
    /// Whether it accepts no new requests until it has switched its weights.
    pub is_switching: bool,
    /// Number of processes that may send to it, as reported by its agent.
    pub process_count: u32,
    /// When it was first listed, or last returned from a switch of its weights.
    pub available_since: Duration,
    /// Until this time no reservation is requested from its agent, which did not answer.
    pub agent_backoff_until: Duration,
    /// Until this time its agent counts as silent, perhaps behind a full link.
    pub agent_silent_until: Duration,
    /// Whether its agent did not answer the last reservation request.
    pub is_agent_unreachable: bool,
    /// Whether its instance answered the last reservation request that there is no agent.
    pub has_agent_ended: bool,
    /// When its agent last reported its version.
    pub agent_reported_at: Option<Duration>,
    /// When an exchange of crashes with its agent last failed.
    pub agent_failed_at: Option<Duration>,
    /// Set if its entry is missing from the list, or its address belongs to another target. Until its
    /// removal it is used, since the list may be incomplete.
    pub missing: Option<GracePeriod>,
    cold_allowance: RateAllowance,
    limit_allowance: RateAllowance,
    /// Until this time its agent is not asked, which refused a request because of the limit.
    pub limit_refused_until: Duration,
}

impl Target {
    fn new(now: Duration, entry: TargetEntry) -> Self {
        Self {
            cold_until: now + entry.cold_remaining,
            entry,
            load: TargetLoad::default(),
            notice: TargetNotice::default(),
            health: Health::default(),
            capacity: TargetCapacity::default(),
            is_switching: false,
            process_count: 1,
            available_since: now,
            agent_backoff_until: Duration::ZERO,
            agent_silent_until: Duration::ZERO,
            is_agent_unreachable: false,
            has_agent_ended: false,
            agent_reported_at: None,
            agent_failed_at: None,
            missing: None,
            cold_allowance: RateAllowance::default(),
            limit_allowance: RateAllowance::default(),
            limit_refused_until: Duration::ZERO,
        }
    }

    /// Estimated ratio of all processes' prompt tokens at the target to those of this process. Just
    /// after the target becomes available, all processes are assumed to send to it equally; later
    /// the ratio comes from load reports.
    pub fn contention(&self, now: Duration) -> f64 {
        let max = f64::from(self.process_count.max(1));
        if now.saturating_sub(self.available_since) < RETURN_CONTENTION_TIME {
            return max;
        }
        let own = f64::from(self.load.own_requests().max(1));
        (self.load.total_requests(now) / own).clamp(1.0, max)
    }

    /// Whether its agent reported its state recently, so that the agent is reachable.
    pub fn has_recent_agent_report(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < AGENT_REPORT_PRECEDENCE;
        self.agent_reported_at.is_some_and(is_recent)
    }

    /// Whether its agent reported its state recently, and no call of it failed since.
    pub fn has_reachable_agent(&self, now: Duration) -> bool {
        self.has_recent_agent_report(now) && self.agent_failed_at <= self.agent_reported_at
    }

    /// Schedules the removal of the target, which is missing, unless one is scheduled already. Returns
    /// whether it was not known to be missing.
    pub fn set_missing(&mut self, now: Duration, grace: Grace) -> bool {
        let is_new = self.missing.is_none();
        self.missing.get_or_insert(GracePeriod {
            began_at: now,
            grace,
        });
        is_new
    }

    /// Whether the target is about to stop, as its entry or an answer of it says.
    pub fn is_leaving(&self) -> bool {
        self.entry.is_draining || self.notice.is_leaving()
    }

    /// Whether the entry of the target is missing and its agent has ended too. An agent that is only
    /// silent may be behind a full link.
    pub fn has_probably_left(&self) -> bool {
        self.missing.is_some() && self.has_agent_ended
    }

    /// Whether the target is in cold start, in which it can handle fewer requests.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Whether this process may send a cold target one more request, at `rate` per second.
    pub fn has_cold_allowance(&self, now: Duration, rate: f64) -> bool {
        self.cold_allowance.available(now, rate) >= 1.0
    }

    /// Takes one request from the allowance for a cold target.
    pub fn spend_cold_allowance(&mut self, now: Duration, rate: f64) {
        self.cold_allowance.spend(now, rate);
    }

    /// Changes what the target says of itself. Returns what `change` returns: whether it differs
    /// from before. `random` is a number from zero to one: processes that learn of a limit together
    /// must not all have saved a request at the same time.
    pub fn update_notice(
        &mut self,
        now: Duration,
        random: f64,
        change: impl FnOnce(&mut TargetNotice) -> bool,
    ) -> bool {
        let was_limited = self.notice.requests_per_second().is_some();
        let is_changed = change(&mut self.notice);
        if is_changed && !was_limited {
            self.limit_allowance = RateAllowance {
                available: random,
                updated_at: now,
            };
        }
        is_changed
    }

    /// Whether this process may send one more request to a target that limits them, at `rate` per
    /// second.
    pub fn has_limit_allowance(&self, now: Duration, rate: f64) -> bool {
        self.limit_allowance.available(now, rate) >= 1.0
    }

    /// Takes one request from the allowance for a target that limits them.
    pub fn spend_limit_allowance(&mut self, now: Duration, rate: f64) {
        self.limit_allowance.spend(now, rate);
    }
}

/// How an entry changed what is known of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The target was not known.
    Added,
    /// Its draining state, cold start, version, service or incarnation changed.
    Updated,
    /// Nothing relevant changed.
    Unchanged,
    /// The entry is that of a target which was removed, so it is not used.
    Gone,
}

/// How long a target that was removed is remembered. The platform's store is restored from copies that are
/// seconds old.
const REMOVED_MEMORY_TIME: Duration = Duration::from_secs(60);

/// A target that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedTarget {
    started_at_ms: u64,
    removed_at: Duration,
    /// Whether it had said that it leaves. Another one may live on, and be listed again once it writes its
    /// entry.
    has_left: bool,
}

/// Who has written an entry of the list, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntrySource {
    /// The target.
    Target,
    /// The platform's store, which was restored from a copy. Whether the target still lives is not known.
    RestoredCopy,
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    by_id: BTreeMap<Name, Target>,
    /// Targets that are not used again merely because a restored list names them.
    removed: BTreeMap<Name, RemovedTarget>,
}

impl Targets {
    /// Adds or updates a target from its entry in the list.
    pub fn update(
        &mut self,
        now: Duration,
        entry: TargetEntry,
        source: EntrySource,
    ) -> EntryChange {
        let Some(target) = self.by_id.get_mut(&entry.id) else {
            if self.is_gone(now, &entry, source) {
                return EntryChange::Gone;
            }
            self.removed.remove(&entry.id);
            let id = entry.id.clone();
            self.by_id.insert(id, Target::new(now, entry));
            return EntryChange::Added;
        };
        // An entry of an earlier incarnation may be written late.
        if entry.started_at_ms < target.entry.started_at_ms {
            return EntryChange::Unchanged;
        }
        // What a copy lists may be missing all the same.
        if source == EntrySource::Target {
            target.missing = None;
        }
        if target.entry.started_at_ms != entry.started_at_ms
            || target.entry.address != entry.address
        {
            *target = Target::new(now, entry);
            return EntryChange::Updated;
        }
        let was_cold = target.is_cold(now);
        let mut entry = entry;
        // A target that drains does so until it stops; an entry that does not say so is older.
        entry.is_draining |= target.entry.is_draining;
        // The list lags behind the agents' reports by seconds.
        if target.has_recent_agent_report(now) {
            entry.version = target.entry.version;
            entry.has_no_weights = target.entry.has_no_weights;
        }
        let old = std::mem::replace(&mut target.entry, entry);
        if old.service != target.entry.service {
            target.capacity = TargetCapacity::default();
        } else if old.version != target.entry.version {
            target.capacity.forget();
        }
        // A later end means a new cold start. An entry that names no remaining cold start does not
        // end the current one early.
        let cold_until = now + target.entry.cold_remaining;
        if cold_until > target.cold_until || !target.entry.cold_remaining.is_zero() {
            target.cold_until = cold_until;
        }
        let new = &target.entry;
        let changed = old.is_draining != new.is_draining
            || old.version != new.version
            || old.service != new.service
            || was_cold != target.is_cold(now);
        if changed {
            EntryChange::Updated
        } else {
            EntryChange::Unchanged
        }
    }

    /// Removes a target and returns it, if it was known.
    pub fn remove(&mut self, now: Duration, id: &str) -> Option<Target> {
        let target = self.by_id.remove(id)?;
        let has_left = target.is_leaving();
        self.remember_removed(now, id, target.entry.started_at_ms, has_left);
        Some(target)
    }

    /// Whether an entry is that of a target which was removed and has not come back.
    fn is_gone(&self, now: Duration, entry: &TargetEntry, source: EntrySource) -> bool {
        let removed = self.removed.get(&entry.id);
        removed.is_some_and(|removed| {
            let is_same_start = entry.started_at_ms <= removed.started_at_ms;
            let is_recent = now.saturating_sub(removed.removed_at) < REMOVED_MEMORY_TIME;
            // Without a start time, a later start of the target could not be told from this one.
            let has_left = removed.has_left && removed.started_at_ms > 0;
            is_same_start && is_recent && (has_left || source == EntrySource::RestoredCopy)
        })
    }

    /// Remembers that a target which is not known any more has left.
    pub fn remember_left(&mut self, now: Duration, id: &Name, started_at_ms: u64) {
        self.remember_removed(now, id, started_at_ms, true);
    }

    fn remember_removed(&mut self, now: Duration, id: &str, started_at_ms: u64, has_left: bool) {
        self.removed
            .retain(|_, target| now.saturating_sub(target.removed_at) < REMOVED_MEMORY_TIME);
        let removed = RemovedTarget {
            started_at_ms,
            removed_at: now,
            has_left,
        };
        self.removed.insert(id.into(), removed);
    }

    /// Removes the targets that have been missing for longer than their grace period, and returns
    /// them.
    pub fn remove_missing(&mut self, now: Duration) -> Vec<Target> {
        let expired: Vec<Name> = self
            .by_id
            .values()
            .filter(|target| self.is_expired(now, target))
            .map(|target| target.entry.id.clone())
            .collect();
        let removed = expired.iter().filter_map(|id| self.remove(now, id));
        removed.collect()
    }

    fn is_expired(&self, now: Duration, target: &Target) -> bool {
        let Some(left) = target.missing.map(|period| period.left(now)) else {
            return false;
        };
        target.is_leaving()
            || left.majority.is_zero()
            || left.each.is_zero() && !self.is_majority_missing(&target.entry.service)
    }

    /// Whether more targets of a service are missing than listed, not counting those that leave.
    fn is_majority_missing(&self, service: &str) -> bool {
        let targets = self.of_service(service).filter(|t| !t.is_leaving());
        let (missing, listed): (Vec<&Target>, Vec<&Target>) =
            targets.partition(|target| target.missing.is_some());
        missing.len() > listed.len()
    }

    /// The target with this name.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.by_id.get(id)
    }

    /// Mutable access to the target with this name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.by_id.get_mut(id)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.by_id.values()
    }

    /// The targets of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> + 'a {
        let all = self.by_id.values();
        all.filter(move |target| &*target.entry.service == service)
    }
}
