//! What the process comes to believe of configuration, targets, data centres and versions.

use std::sync::Arc;
use std::time::Duration;

use record::Decision;
use utils::Name;

use super::config::Config;
use super::state::{
    Named,
    State, //
};
use super::table::Table;
use super::targets::{
    Change,
    TargetEntry, //
};
use super::Effect;

/// What an agent says of its engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineNews {
    pub version: Option<u64>,
    pub is_switching: bool,
    pub watchers: u32,
}

impl State {
    pub(super) fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        for id in self.targets.drop_lapsed(now) {
            effects.push(Effect::Record(Decision::TargetGone {
                target: id,
                reason: "missing from the list".into(),
            }));
        }
        if let Some(valid) = self.lease.turned(now) {
            let age = self.lease.age(now).unwrap_or_default();
            effects.push(Effect::Record(Decision::Lease {
                valid,
                age_ms: millis(age),
            }));
        }
        self.suspects.expire(now);
    }

    pub(super) fn take_config(&mut self, config: Arc<Config>, effects: &mut Vec<Effect>) {
        let version = config.version;
        let known = self.table.as_ref().map(|table| table.config().version);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        effects.push(Effect::Record(Decision::Configure {
            version,
            before: known,
            routes: config.routes.len(),
            teams: config.teams.len(),
        }));
        self.table = Some(Table::new(config));
    }

    pub(super) fn take_entry(
        &mut self,
        now: Duration,
        entry: TargetEntry,
        effects: &mut Vec<Effect>,
    ) {
        let id = entry.id.clone();
        let change = self.targets.take(now, entry);
        if change == Change::None {
            return;
        }
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let entry = &target.entry;
        effects.push(Effect::Record(Decision::Target {
            target: id,
            service: entry.service.clone(),
            address: entry.address.to_string().into(),
            is_new: change == Change::Found,
            draining: entry.is_draining,
            cold_ms: millis(entry.cold_for),
            version: entry.version,
        }));
    }

    pub(super) fn unlist(
        &mut self,
        now: Duration,
        id: &Name,
        grace: Duration,
        effects: &mut Vec<Effect>,
    ) {
        if !grace.is_zero() {
            self.targets.lapse(now + grace, id);
        } else if self.targets.remove(id) {
            effects.push(Effect::Record(Decision::TargetGone {
                target: id.clone(),
                reason: "taken off the list".into(),
            }));
        }
    }

    /// A whole list may miss entries that lapsed while the list was out of order.
    pub(super) fn take_whole_list(&mut self, now: Duration, names: &[Name], grace: Duration) {
        let missing: Vec<Name> = self
            .targets
            .iter()
            .map(|target| target.entry.id.clone())
            .filter(|id| !names.contains(id))
            .collect();
        for id in missing {
            self.targets.lapse(now + grace, &id);
        }
    }

    pub(super) fn take_data_centre(&mut self, name: Name, out: bool, effects: &mut Vec<Effect>) {
        let changed = if out {
            self.out.insert(name.clone())
        } else {
            self.out.remove(&name)
        };
        if changed {
            effects.push(Effect::Record(Decision::DataCentre { name, out }));
        }
    }

    /// A version is named. A process that found it at its start does not know for how long, until
    /// another tells.
    pub(super) fn take_version(
        &mut self,
        now: Duration,
        model: Name,
        version: u64,
        age: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        let only_from = age.map_or(now, |age| {
            (now + self.options.version_grace).saturating_sub(age)
        });
        let has_age = age.is_some();
        let named = self.versions.entry(model.clone()).or_default();
        if let Some(known) = named.iter_mut().find(|named| named.version == version) {
            if has_age && (!known.has_age || only_from < known.only_from) {
                known.has_age = true;
                known.only_from = only_from;
            }
            return;
        }
        if named.last().is_some_and(|last| last.version > version) {
            return;
        }
        named.push(Named {
            version,
            has_age,
            only_from,
        });
        effects.push(Effect::Record(Decision::VersionNamed {
            model,
            version,
            age_ms: age.map(millis),
        }));
    }

    pub(super) fn take_engine(
        &mut self,
        now: Duration,
        id: &Name,
        told: EngineNews,
        effects: &mut Vec<Effect>,
    ) {
        let EngineNews {
            version,
            is_switching,
            watchers,
        } = told;
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.told_at = Some(now);
        target.watchers = watchers;
        if target.entry.version == version && target.is_switching == is_switching {
            return;
        }
        if target.is_switching || target.entry.is_empty {
            target.returned_at = now;
        }
        target.entry.version = version;
        target.entry.is_empty = version.is_none();
        target.is_switching = is_switching;
        effects.push(Effect::Record(Decision::Engine {
            target: id.clone(),
            version,
            switching: is_switching,
        }));
    }

    /// When a request must have begun on a target that runs `version`, if a newer one is named.
    pub(super) fn begin_by(&self, model: &str, version: Option<u64>) -> Option<Duration> {
        let named = self.versions.get(model)?.iter();
        let newer = named.filter(|named| version.is_some_and(|v| v < named.version));
        let only_from = newer.map(|named| named.only_from).min()?;
        Some(only_from + self.options.begin_grace)
    }

    /// The oldest version that requests for a model may run on now.
    pub(super) fn oldest_version(&self, now: Duration, model: &str) -> Option<u64> {
        let named = self.versions.get(model)?.iter();
        let due = named.filter(|named| now >= named.only_from);
        due.map(|named| named.version).max()
    }
}

/// Whole milliseconds, for lines of the record.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
