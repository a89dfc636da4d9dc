//! Updates what the process knows of configuration, targets, data centres and versions.

use std::sync::Arc;
use std::time::Duration;

use record::Decision;
use utils::millis::millis;
use utils::Name;

use crate::grace::Grace;
use crate::published_version::{
    insert_older,
    PublishedVersion, //
};

use super::config::Config;
use super::state::State;
use super::table::RoutingTable;
use super::targets::{
    EntryChange,
    EntrySource,
    Target,
    TargetEntry, //
};
use super::Effect;

/// An agent's report on its engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct AgentReport {
    pub version: Option<u64>,
    pub is_switching: bool,
    pub process_count: u32,
}

/// From when on no request may be sent to an older version than this one. Without a bound on its
/// publication, that is at once.
pub(super) fn required_from(version: &PublishedVersion, version_grace: Duration) -> Duration {
    version.required_from(version_grace).unwrap_or_default()
}

impl State {
    /// Removes targets whose entries have expired and records changes of the lease.
    pub(super) fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.remove_missing_targets(now, effects);
        if let Some(valid) = self.lease.take_validity_change(now) {
            let age = self.lease.age(now).unwrap_or_default();
            effects.push(Effect::Record(Decision::Lease {
                valid,
                age_ms: millis(age),
            }));
        }
        self.suspects.set_known_targets(self.targets.iter().count());
        let expired = self.suspects.expire(now);
        effects.extend(expired.into_iter().map(Effect::Record));
    }

    /// Replaces the configuration if the new one has a higher version.
    pub(super) fn update_config(
        &mut self,
        now: Duration,
        config: Arc<Config>,
        effects: &mut Vec<Effect>,
    ) {
        let version = config.version;
        let current = self.table.as_ref().map(|table| table.config().version);
        if current.is_some_and(|current| current >= version) {
            return;
        }
        let table = RoutingTable::new(config.clone(), self.table.as_ref());
        effects.push(Effect::Record(Decision::Configure {
            version,
            before: current,
            routes: config.routes.len(),
            teams: config.teams().count(),
            lists_teams: config.teams.is_some(),
            keys: table.key_count(),
            asks_for_keys: table.asks_for_keys(),
            // It was published after the last confirmed call was sent.
            age_ms: current.and_then(|_| self.lease.age(now)).map(millis),
        }));
        self.table = Some(table);
        // Priorities and objectives may differ now.
        self.demand.clear();
        self.update_access(now, effects);
    }

    /// Adds or updates a target from its entry in the list. One that was removed is not used again until it
    /// writes its entry.
    pub(super) fn update_target_entry(
        &mut self,
        now: Duration,
        entry: TargetEntry,
        source: EntrySource,
        effects: &mut Vec<Effect>,
    ) {
        let id = entry.id.clone();
        let known = self.targets.get(&id);
        let old_start = known.map(|target| target.entry.started_at_ms);
        match self.targets.update(now, entry, source) {
            EntryChange::Unchanged => return,
            EntryChange::Gone if source == EntrySource::Target => return,
            EntryChange::Gone => {
                effects.push(Effect::Record(Decision::TargetGone {
                    target: id,
                    reason: "listed again, but removed before".into(),
                }));
                return;
            }
            EntryChange::Added | EntryChange::Updated => {}
        }
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let entry = target.entry.clone();
        if let Some(old_start) = old_start.filter(|start| *start != entry.started_at_ms) {
            self.handle_target_end(now, &id, old_start, effects);
        }
        effects.push(Effect::Record(Decision::Target {
            target: id,
            service: entry.service.clone(),
            address: entry.address.to_string().into(),
            is_new: old_start.is_none(),
            draining: entry.is_draining,
            cold_ms: millis(entry.cold_remaining),
            version: entry.version,
        }));
    }

    /// Removes a target at once, or after `grace` unless its entry comes back.
    pub(super) fn remove_target_entry(
        &mut self,
        now: Duration,
        id: &Name,
        grace: Grace,
        effects: &mut Vec<Effect>,
    ) {
        if !grace.is_none() {
            self.keep_missing_target(now, id, grace, effects);
            self.remove_missing_targets(now, effects);
        } else if let Some(target) = self.targets.remove(now, id) {
            self.handle_target_removed(now, &target, "taken off the list", effects);
        }
    }

    fn handle_target_removed(
        &mut self,
        now: Duration,
        target: &Target,
        reason: &str,
        effects: &mut Vec<Effect>,
    ) {
        let entry = &target.entry;
        if !target.is_leaving() {
            self.handle_target_end(now, &entry.id, entry.started_at_ms, effects);
        }
        effects.push(Effect::Record(Decision::TargetGone {
            target: entry.id.clone(),
            reason: reason.into(),
        }));
    }

    /// Schedules the removal of all targets that a complete list does not name. The grace period is
    /// for entries that expired while the list was unavailable.
    pub(super) fn expire_unlisted_targets(
        &mut self,
        now: Duration,
        names: &[Name],
        grace: Grace,
        effects: &mut Vec<Effect>,
    ) {
        let missing: Vec<Name> = self
            .targets
            .iter()
            .map(|target| target.entry.id.clone())
            .filter(|id| !names.contains(id))
            .collect();
        for id in missing {
            self.keep_missing_target(now, &id, grace, effects);
        }
        self.remove_missing_targets(now, effects);
    }

    /// Keeps a target whose entry is missing for the grace period.
    fn keep_missing_target(
        &mut self,
        now: Duration,
        id: &Name,
        grace: Grace,
        effects: &mut Vec<Effect>,
    ) {
        let target = self.targets.get_mut(id);
        if target.is_some_and(|target| target.set_missing(now, grace)) {
            effects.push(Effect::Record(Decision::TargetMissing {
                target: id.clone(),
                kept_ms: millis(grace.each),
                kept_by_majority_ms: millis(grace.majority),
            }));
        }
    }

    fn remove_missing_targets(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        for target in self.targets.remove_missing(now) {
            self.handle_target_removed(now, &target, "missing from the list", effects);
        }
    }

    /// Takes a data centre out of service or back in.
    pub(super) fn update_data_centre(
        &mut self,
        name: Name,
        is_out: bool,
        effects: &mut Vec<Effect>,
    ) {
        let changed = if is_out {
            self.out_data_centres.insert(name.clone())
        } else {
            self.out_data_centres.remove(&name)
        };
        if changed {
            effects.push(Effect::Record(Decision::DataCentre { name, out: is_out }));
        }
    }

    /// Adds a version that was named as the one to serve. A process that finds the version at its
    /// start does not know when it was published until another process reports it.
    pub(super) fn update_required_version(
        &mut self,
        now: Duration,
        model: Name,
        named: PublishedVersion,
        effects: &mut Vec<Effect>,
    ) {
        let versions = self.required_versions.entry(model.clone()).or_default();
        let existing = versions.iter_mut().find(|v| v.version == named.version);
        if let Some(existing) = existing {
            existing.learned_at = match (existing.learned_at, named.learned_at) {
                (Some(one), Some(other)) => Some(one.min(other)),
                (one, other) => one.or(other),
            };
            existing.add_bound(named.published_after);
            return;
        }
        let newest = versions.last().map(|last| last.version);
        if newest.is_some_and(|newest| newest > named.version) {
            // The store names only the newest version, so what it showed is no bound on this one.
            if insert_older(versions, named) {
                effects.push(Effect::Record(named.to_decision(now, model)));
            }
            return;
        }
        if newest.is_none() && self.lease.confirmed_at().is_none() {
            self.models_named_at_start.insert(model.clone());
        }
        // The last confirmed call of this process did not show it.
        let named = PublishedVersion {
            published_after: named.published_after.max(self.lease.confirmed_at()),
            ..named
        };
        effects.push(Effect::Record(named.to_decision(now, model)));
        versions.push(named);
    }

    /// Updates a target with the report of its agent.
    pub(super) fn update_engine(
        &mut self,
        now: Duration,
        id: &Name,
        report: AgentReport,
        effects: &mut Vec<Effect>,
    ) {
        let AgentReport {
            version,
            is_switching,
            process_count,
        } = report;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.agent_reported_at = Some(now);
        target.process_count = process_count;
        self.process_count.record(now, process_count);
        if target.entry.version == version && target.is_switching == is_switching {
            return;
        }
        if target.is_switching || target.entry.has_no_weights {
            target.available_since = now;
        }
        if target.entry.version != version {
            target.capacity.forget();
        }
        target.entry.version = version;
        target.entry.has_no_weights = version.is_none();
        target.is_switching = is_switching;
        effects.push(Effect::Record(Decision::Engine {
            target: id.clone(),
            version,
            switching: is_switching,
        }));
    }

    /// When a target that runs `version` must have begun an answer, if a newer version is named.
    pub(super) fn first_event_deadline(
        &self,
        model: &str,
        version: Option<u64>,
    ) -> Option<Duration> {
        let versions = self.required_versions.get(model)?.iter();
        let newer = versions.filter(|named| version.is_some_and(|v| v < named.version));
        let grace = self.options.version_grace;
        let required_from = newer.map(|named| required_from(named, grace)).min()?;
        Some(required_from + self.options.first_event_grace)
    }

    /// The oldest version that requests for a model may run on now.
    ///
    /// If the time of no known version is over, the one before them may be in force still. What is
    /// older than that may be over since any time, unless the process has followed the store since
    /// before the first of them was named.
    pub(super) fn oldest_version(&self, now: Duration, model: &str) -> Option<u64> {
        let versions = self.required_versions.get(model)?;
        let grace = self.options.version_grace;
        let required = versions
            .iter()
            .rfind(|named| now >= required_from(named, grace));
        if let Some(required) = required {
            return Some(required.version);
        }
        let oldest = versions.first()?;
        let may_lack_earlier = self.models_named_at_start.contains(model);
        may_lack_earlier.then(|| oldest.version.saturating_sub(1))
    }
}
