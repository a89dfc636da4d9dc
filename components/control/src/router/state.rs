//! The state of the reducer and its one function.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};
use std::net::SocketAddr;
use std::time::Duration;

use protocol::{
    NamedVersion,
    Supply, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use utils::clock::Now;
use utils::Name;

use super::beliefs::{
    millis,
    EngineNews, //
};
use super::config::Config;
use super::lease::Lease;
use super::pending::Pending;
use super::place::Location;
use super::queue::Queue;
use super::table::Table;
use super::targets::Targets;
use super::{
    Effect,
    Event, //
};
use crate::budget::{
    Budget,
    BudgetOptions, //
};
use crate::Suspects;

/// Settings of the reducer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the process stands.
    pub location: Location,
    /// How long the configuration may be acted on after it was last known to be current.
    pub lease: Duration,
    /// How long after a version was named requests may still run on an older one.
    pub version_grace: Duration,
    /// How much later than that a request that was sent to an older version must have begun.
    pub begin_grace: Duration,
    /// Retries, for each service.
    pub budget: BudgetOptions,
    /// Whether places at model engines are reserved with their agents.
    pub reserves: bool,
    /// Seeds the choices that are left to chance.
    pub seed: u64,
}

/// A version that is to be served.
#[derive(Clone, Copy, Debug)]
pub(super) struct Named {
    pub version: u64,
    /// Whether it is known for how long it has been named.
    pub has_age: bool,
    /// When this process must send nothing to older versions any more: a grace after the naming,
    /// which itself may lie before the start of the clock.
    pub only_from: Duration,
}

/// What is known and under way.
#[derive(Debug)]
pub struct State {
    pub(super) options: Options,
    pub(super) table: Option<Table>,
    pub(super) lease: Lease,
    pub(super) out: BTreeSet<Name>,
    pub(super) versions: BTreeMap<Name, Vec<Named>>,
    pub(super) targets: Targets,
    pub(super) queues: BTreeMap<Name, Queue>,
    pub(super) budgets: BTreeMap<Name, Budget>,
    pub(super) pending: HashMap<u64, Pending>,
    pub(super) suspects: Suspects,
    pub(super) draining: bool,
    pub(super) closing: bool,
    pub(super) rng: Pcg64Mcg,
}

/// A target that is a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnginePlace {
    /// The target.
    pub target: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Where its weights come from.
    pub supply: Option<Supply>,
}

fn supply(config: &Config, model: Name) -> Option<Supply> {
    Some(Supply {
        model,
        origin: config.origin?,
        data_centre: config.origin_data_centre.clone()?,
    })
}

/// A view of the state for gauges and readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The version of the configuration in force.
    pub config: Option<u64>,
    /// How old the configuration may be.
    pub lease_age: Option<Duration>,
    /// Whether requests with a key are answered.
    pub lease_valid: bool,
    /// Known targets.
    pub targets: usize,
    /// Requests under way.
    pub pending: usize,
    /// Requests that wait for room.
    pub waiting: usize,
    /// Whether the process is in its planned stop.
    pub draining: bool,
}

impl Summary {
    /// Whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.lease_valid && !self.draining
    }
}

impl State {
    /// Starts without any belief.
    pub fn new(options: Options) -> Self {
        Self {
            table: None,
            lease: Lease::new(options.lease),
            out: BTreeSet::new(),
            versions: BTreeMap::new(),
            targets: Targets::default(),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            pending: HashMap::new(),
            suspects: Suspects::default(),
            draining: false,
            closing: false,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            options,
        }
    }

    /// Handles one event.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Effect> {
        let now = now.elapsed;
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Config(config) => self.take_config(config, &mut effects),
            Event::Listed(entry) => self.take_entry(now, entry, &mut effects),
            Event::Unlisted { id, grace } => self.unlist(now, &id, grace, &mut effects),
            Event::ListedAll { names, grace } => self.take_whole_list(now, &names, grace),
            Event::DataCentre { name, out } => self.take_data_centre(name, out, &mut effects),
            Event::Version {
                model,
                version,
                age,
            } => self.take_version(now, model, version, age, &mut effects),
            Event::Current(sent) => self.lease.renew(sent),
            Event::Engine {
                id,
                version,
                is_switching,
                watchers,
            } => {
                let told = EngineNews {
                    version,
                    is_switching,
                    watchers,
                };
                self.take_engine(now, &id, told, &mut effects);
            }
            Event::Arrive(arrival) => self.arrive(now, arrival, &mut effects),
            Event::Head {
                token,
                load,
                cold_for,
                version,
            } => self.take_head(now, token, load, cold_for, version),
            Event::Started(token) => self.start(now, token),
            Event::Ended {
                token,
                outcome,
                pause,
            } => self.end(now, token, outcome, pause, &mut effects),
            Event::Reserved { token, offer } => self.reserved(now, token, offer, &mut effects),
            Event::WaitOver(token) => self.wait_over(now, token, &mut effects),
            Event::Left(token) => self.leave(now, token, &mut effects),
            Event::Close => self.closing = true,
            Event::Drain => {
                self.draining = true;
                effects.push(Effect::Record(record::Decision::Drain));
            }
        }
        self.place_waiting(now, &mut effects);
        effects
    }

    /// What gauges and the readiness check show.
    pub fn summary(&self, now: Duration) -> Summary {
        Summary {
            config: self.table.as_ref().map(|table| table.config().version),
            lease_age: self.lease.age(now),
            lease_valid: self.lease.is_valid(now),
            targets: self.targets.iter().count(),
            pending: self.pending.len(),
            waiting: self.queues.values().map(Queue::len).sum(),
            draining: self.draining,
        }
    }

    /// The limits on callers in force.
    pub fn caller_limits(&self) -> super::config::CallerLimits {
        let table = self.table.as_ref();
        table.map(|table| table.config().limits).unwrap_or_default()
    }

    /// The version of the configuration in force, zero before the first.
    pub fn config_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.config().version)
    }

    /// The newest named version of each model.
    pub fn named_versions(&self, now: Duration) -> Vec<NamedVersion> {
        let newest = self.versions.iter().filter_map(|(model, named)| {
            let newest = named.last()?;
            let age = (now + self.options.version_grace).saturating_sub(newest.only_from);
            let age = newest.has_age.then_some(age);
            Some(NamedVersion {
                model: model.clone(),
                version: newest.version,
                age_ms: age.map(millis),
            })
        });
        newest.collect()
    }

    /// The targets that are model engines, with their addresses and where their weights come from.
    pub fn engines(&self) -> Vec<EnginePlace> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let config = table.config();
        let places = self.targets.iter().filter_map(|target| {
            let service = config.services.get(&target.entry.service)?;
            let model = service.engine.as_ref()?.model.clone();
            Some(EnginePlace {
                target: target.entry.id.clone(),
                address: target.entry.address,
                supply: supply(config, model),
            })
        });
        places.collect()
    }

    /// The known targets.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    pub(super) fn chance(&mut self) -> f64 {
        self.rng.random()
    }
}
