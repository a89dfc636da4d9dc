//! The targets that the platform lists, and what this process knows of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use utils::Name;

use super::health::Health;
use super::load::Load;

/// What the platform's list says of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Names one life of the target.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Requests at once, if it says so.
    pub slots: Option<u32>,
    /// Whether it takes no new work before a planned stop.
    pub is_draining: bool,
    /// How much longer it is in cold start.
    pub cold_for: Duration,
    /// The version of the weights that it runs, if it is a model engine that runs any.
    pub version: Option<u64>,
    /// Whether it is a model engine that holds no weights.
    pub is_empty: bool,
    /// Milliseconds since the Unix epoch at its start, which tells its lives apart.
    pub born_ms: u64,
}

/// How long a target that came back counts as one that every process turns to.
const RETURN_TIME: Duration = Duration::from_millis(1200);

/// How long what an agent said goes before the list. Agents say it again every five seconds.
const TOLD_FOR: Duration = Duration::from_secs(8);

/// Requests that a cold target may still get from this process.
#[derive(Clone, Copy, Debug, Default)]
struct ColdAllowance {
    left: f64,
    at: Duration,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the list says.
    pub entry: TargetEntry,
    /// When it stops being cold.
    pub cold_until: Duration,
    /// What it has to do.
    pub load: Load,
    /// Whether it answers well.
    pub health: Health,
    /// It takes nothing new until it has changed its weights.
    pub is_switching: bool,
    /// Processes that may send to it, as far as its agent knows.
    pub watchers: u32,
    /// When it came, or came back from changing its weights.
    pub returned_at: Duration,
    /// Until when its agent, which did not answer, is not asked for places.
    pub agent_rests_until: Duration,
    /// Whether its agent did not answer when it was last asked for a place.
    pub agent_is_lost: bool,
    /// When its agent last said what it runs.
    pub told_at: Option<Duration>,
    /// Until when it is used although its entry is missing, which may be the list's fault.
    pub lapses_at: Option<Duration>,
    cold: ColdAllowance,
}

impl Target {
    fn new(now: Duration, entry: TargetEntry) -> Self {
        Self {
            cold_until: now + entry.cold_for,
            entry,
            load: Load::default(),
            health: Health::default(),
            is_switching: false,
            watchers: 1,
            returned_at: now,
            agent_rests_until: Duration::ZERO,
            agent_is_lost: false,
            told_at: None,
            lapses_at: None,
            cold: ColdAllowance::default(),
        }
    }

    /// How many times more the target has to read than this process has sent it. A target that has
    /// just come back is empty for every process at once; later its answers tell.
    pub fn crowd(&self, now: Duration) -> f64 {
        let most = f64::from(self.watchers.max(1));
        if now.saturating_sub(self.returned_at) < RETURN_TIME {
            return most;
        }
        let own = f64::from(self.load.own().max(1));
        (self.load.total(now) / own).clamp(1.0, most)
    }

    /// Whether the target is in cold start.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Whether this process may send a cold target one more request, at `rate` a second.
    pub fn has_cold_allowance(&self, now: Duration, rate: f64) -> bool {
        self.cold_left(now, rate) >= 1.0
    }

    /// Takes one request out of the allowance of a cold target.
    pub fn spend_cold_allowance(&mut self, now: Duration, rate: f64) {
        self.cold.left = self.cold_left(now, rate) - 1.0;
        self.cold.at = now;
    }

    fn cold_left(&self, now: Duration, rate: f64) -> f64 {
        let passed = now.saturating_sub(self.cold.at).as_secs_f64();
        // A tenth of a second's worth may be saved up, and never less than one request.
        let most = (rate / 10.0).max(1.0);
        (self.cold.left + passed * rate).min(most)
    }
}

/// How an entry of the list changed what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target that was not known.
    Found,
    /// It leaves, turned cold, changed its weights or started anew.
    Changed,
    /// Nothing that matters.
    None,
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    by_id: BTreeMap<Name, Target>,
}

impl Targets {
    /// Takes an entry of the list that was written `age` ago.
    pub fn take(&mut self, now: Duration, entry: TargetEntry) -> Change {
        let Some(known) = self.by_id.get_mut(&entry.id) else {
            let id = entry.id.clone();
            self.by_id.insert(id, Target::new(now, entry));
            return Change::Found;
        };
        // An entry of an earlier life may be written late.
        if entry.born_ms < known.entry.born_ms {
            return Change::None;
        }
        known.lapses_at = None;
        if known.entry.born_ms != entry.born_ms || known.entry.address != entry.address {
            *known = Target::new(now, entry);
            return Change::Changed;
        }
        let was_cold = known.is_cold(now);
        let mut entry = entry;
        // The list is seconds behind what an agent says.
        let is_told = |at: Duration| now.saturating_sub(at) < TOLD_FOR;
        if known.told_at.is_some_and(is_told) {
            entry.version = known.entry.version;
            entry.is_empty = known.entry.is_empty;
        }
        let old = std::mem::replace(&mut known.entry, entry);
        // Cold time only counts down by itself; a longer one is a new cold start.
        let cold_until = now + known.entry.cold_for;
        if cold_until > known.cold_until || !known.entry.cold_for.is_zero() {
            known.cold_until = cold_until;
        }
        let new = &known.entry;
        let changed = old.is_draining != new.is_draining
            || old.version != new.version
            || old.service != new.service
            || was_cold != known.is_cold(now);
        if changed {
            Change::Changed
        } else {
            Change::None
        }
    }

    /// The entry of a target is gone. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.by_id.remove(id).is_some()
    }

    /// The entry of a target is missing, which may be the list's fault.
    pub fn lapse(&mut self, until: Duration, id: &str) {
        if let Some(target) = self.by_id.get_mut(id) {
            target.lapses_at.get_or_insert(until);
        }
    }

    /// Drops the targets whose entries have been missing too long, and returns their names.
    pub fn drop_lapsed(&mut self, now: Duration) -> Vec<Name> {
        let late = |target: &Target| target.lapses_at.is_some_and(|until| now >= until);
        let gone: Vec<Name> = self
            .by_id
            .values()
            .filter(|target| late(target))
            .map(|target| target.entry.id.clone())
            .collect();
        for id in &gone {
            self.by_id.remove(id);
        }
        gone
    }

    /// The target of a name.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.by_id.get(id)
    }

    /// The target of a name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.by_id.get_mut(id)
    }

    /// Every target.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.by_id.values()
    }

    /// The targets of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> + 'a {
        let all = self.by_id.values();
        all.filter(move |target| &*target.entry.service == service)
    }
}
