//! The state of the reducer and the function that handles its events.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};
use std::net::SocketAddr;
use std::time::Duration;

use protocol::{
    NamedVersion,
    WeightSource, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use utils::clock::ClockReading;
use utils::standstill::Standstill;
use utils::{
    rank,
    Name, //
};

use super::answer_times::AnswerTimes;
use super::config::Config;
use super::crashes::UnendedRuns;
use super::demand::Demand;
use super::distance::{
    Location,
    Spillover, //
};
use super::first_attempts::FirstAttempts;
use super::lease::{
    AgeLimits,
    Lease, //
};
use super::pending::Pending;
use super::queue::Queue;
use super::region_path::RegionPath;
use super::reservation::AgentAnswer;
use super::retry_share::{
    ProcessCount,
    RetryLimit,
    RetryShare, //
};
use super::table::RoutingTable;
use super::targets::{
    EntrySource,
    Target,
    Targets, //
};
use super::updates::AgentReport;
use super::{
    Effect,
    Event, //
};
use crate::published_version::{
    deciding_versions,
    PublishedVersion, //
};
use crate::CrashSuspects;

/// How long it takes to deliver the end of an answer.
const DELIVERY_TIME: Duration = Duration::from_millis(200);

/// The longest time between two events of a process that runs, which gets several ticks in it.
const MAX_EVENT_GAP: Duration = Duration::from_millis(500);

/// Options of the reducer.
#[derive(Clone, Debug)]
pub struct Options {
    /// The location of the process.
    pub location: Location,
    /// Bounds on the age of the configuration.
    pub config_age_limits: AgeLimits,
    /// How long requests may still be sent to an older version after a newer one was named.
    pub version_grace: Duration,
    /// How long after the end of `version_grace` the answer to a request that was sent to an older
    /// version may still begin.
    pub first_event_grace: Duration,
    /// The retries of each service that all processes together may make.
    pub retry_limit: RetryLimit,
    /// Whether requests to model engines are reserved with their agents before they are sent.
    pub uses_reservations: bool,
    /// How the numbers of requests that targets handle well are learned.
    pub learned_capacity: crate::capacity::Settings,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The state of the reducer: what it knows, and the requests in progress.
#[derive(Debug)]
pub struct State {
    pub(super) options: Options,
    pub(super) table: Option<RoutingTable>,
    pub(super) lease: Lease,
    pub(super) out_data_centres: BTreeSet<Name>,
    /// The versions of each model that operators named, in ascending order.
    pub(super) required_versions: BTreeMap<Name, Vec<PublishedVersion>>,
    /// The models of which a version was named before the process read the store for the first time, so
    /// that it may lack earlier ones.
    pub(super) models_named_at_start: BTreeSet<Name>,
    pub(super) targets: Targets,
    pub(super) queues: BTreeMap<Name, Queue>,
    pub(super) spillovers: BTreeMap<Name, Spillover>,
    /// The paths to other regions.
    pub(super) paths: Vec<RegionPath>,
    /// The demand for the services whose requests compete.
    pub(super) demand: BTreeMap<Name, Demand>,
    pub(super) retry_shares: BTreeMap<Name, RetryShare>,
    pub(super) process_count: ProcessCount,
    pub(super) first_attempts: FirstAttempts,
    pub(super) pending: HashMap<u64, Pending>,
    pub(super) suspects: CrashSuspects,
    pub(super) unended_runs: UnendedRuns,
    pub(super) standstill: Standstill,
    pub(super) answer_times: BTreeMap<Name, AnswerTimes>,
    /// When the process cuts off what is still in progress, if it drains before a planned stop.
    pub(super) ends_at: Option<Duration>,
    pub(super) is_stopping: bool,
    pub(super) rng: Pcg64Mcg,
}

/// A target that is a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTarget {
    /// The target.
    pub target: Name,
    /// Its address.
    pub address: SocketAddr,
    /// The origin of its weights, if one is configured.
    pub weight_source: Option<WeightSource>,
}

fn weight_source(config: &Config, model: Name) -> Option<WeightSource> {
    Some(WeightSource {
        model,
        origin: config.origin?,
        data_centre: config.origin_data_centre.clone()?,
        bytes_per_second: config.origin_bytes_per_second,
    })
}

/// A summary of the state for gauges and the readiness check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The version of the current configuration.
    pub config_version: Option<u64>,
    /// Number of the keys that callers may use.
    pub config_keys: usize,
    /// Whether requests need a key on routes that do not allow anonymous callers.
    pub asks_for_keys: bool,
    /// Upper bound of the configuration's age.
    pub lease_age: Option<Duration>,
    /// Whether requests with a key are served.
    pub is_lease_valid: bool,
    /// Number of known targets.
    pub known_targets: usize,
    /// Groups of requests, and of parts of prompts, that are not sent since they crashed targets.
    pub quarantines: usize,
    /// Requests in progress.
    pub pending_requests: usize,
    /// Queued requests.
    pub queued_requests: usize,
    /// Whether the process is draining before a planned stop.
    pub is_draining: bool,
}

impl Summary {
    /// Whether the process should get new connections.
    pub fn is_ready(&self) -> bool {
        self.config_version.is_some() && self.is_lease_valid && !self.is_draining
    }
}

impl State {
    /// Creates a state without configuration and targets.
    pub fn new(options: Options) -> Self {
        Self {
            table: None,
            lease: Lease::new(options.config_age_limits),
            out_data_centres: BTreeSet::new(),
            required_versions: BTreeMap::new(),
            models_named_at_start: BTreeSet::new(),
            targets: Targets::default(),
            queues: BTreeMap::new(),
            spillovers: BTreeMap::new(),
            paths: Vec::new(),
            demand: BTreeMap::new(),
            retry_shares: BTreeMap::new(),
            process_count: ProcessCount::default(),
            first_attempts: FirstAttempts::default(),
            pending: HashMap::new(),
            suspects: CrashSuspects::default(),
            unended_runs: UnendedRuns::default(),
            standstill: Standstill::new(MAX_EVENT_GAP),
            answer_times: BTreeMap::new(),
            ends_at: None,
            is_stopping: false,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            options,
        }
    }

    /// Handles one event.
    pub fn step(&mut self, now: ClockReading, event: Event) -> Vec<Effect> {
        let now = now.elapsed;
        self.standstill.tick(now);
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::ConfigRead(config) => self.update_config(now, config, &mut effects),
            Event::TargetListed(entry) => {
                self.update_target_entry(now, entry, EntrySource::Target, &mut effects)
            }
            Event::TargetRestored(entry) => {
                self.update_target_entry(now, entry, EntrySource::RestoredCopy, &mut effects)
            }
            Event::TargetUnlisted { id, grace } => {
                self.remove_target_entry(now, &id, grace, &mut effects)
            }
            Event::FullTargetList { names, grace } => {
                self.expire_unlisted_targets(now, &names, grace, &mut effects)
            }
            Event::DataCentreState { name, is_out } => {
                self.update_data_centre(name, is_out, &mut effects)
            }
            Event::VersionNamed {
                model,
                version,
                age,
                published_after,
            } => {
                let named = PublishedVersion::new(now, version, age, published_after);
                self.update_required_version(now, model, named, &mut effects);
            }
            Event::ConfigConfirmed(sent) => self.lease.renew(sent),
            Event::SourceStatus(status) => self.lease.set_source_status(now, status),
            Event::EngineReported {
                id,
                version,
                is_switching,
                process_count,
            } => {
                let report = AgentReport {
                    version,
                    is_switching,
                    process_count,
                };
                self.update_engine(now, &id, report, &mut effects);
            }
            Event::CrashesReported(crashes) => self.add_crashes(now, &crashes, &mut effects),
            Event::CrashExchangeFailed(target) => self.handle_exchange_failed(now, &target),
            Event::RequestReceived(request) => self.handle_request(now, request, &mut effects),
            Event::ResponseHead {
                token,
                load,
                cold_remaining,
                version,
                notice,
            } => {
                self.handle_response_head(now, token, load, cold_remaining, version);
                if let Some(load) = load {
                    self.record_reported_utilization(now, token, load);
                }
                if let Some(notice) = notice {
                    self.handle_notice(now, token, notice, &mut effects);
                }
            }
            Event::ResponseStarted(token) => self.handle_response_started(now, token),
            Event::ExchangeEnded {
                token,
                outcome,
                longest_pause,
                sending,
            } => {
                let pause = longest_pause;
                self.handle_exchange_ended(now, token, outcome, pause, sending, &mut effects)
            }
            Event::AskAnotherTarget(token) => self.ask_another_target(now, token, &mut effects),
            Event::SilentTargetSpoke { token, sending } => {
                self.handle_silent_target_spoke(now, token, sending, &mut effects)
            }
            Event::SilentTargetEnded {
                token,
                outcome,
                longest_pause,
                sending,
            } => {
                let pause = longest_pause;
                self.end_silent_exchange(now, token, outcome, pause, sending, &mut effects)
            }
            Event::ReservationReply { token, reply } => {
                if let Some(reply) = reply {
                    self.record_backlog_utilization(now, token, reply);
                }
                let answer = reply.map_or(AgentAnswer::Silent, AgentAnswer::Reply);
                self.handle_reservation_reply(now, token, answer, &mut effects)
            }
            Event::AgentRefused(token) => {
                self.handle_reservation_reply(now, token, AgentAnswer::Refused, &mut effects)
            }
            Event::QueueTimeout(token) => self.handle_queue_timeout(now, token, &mut effects),
            Event::CallerDisconnected(token) => {
                self.handle_caller_disconnected(now, token, &mut effects)
            }
            Event::StopAccepting => self.is_stopping = true,
            Event::DrainRequested { ends_at } => {
                self.ends_at = Some(ends_at);
                effects.push(Effect::Record(record::Decision::Drain));
            }
        }
        self.record_path_changes(now, &mut effects);
        self.dispatch_queued(now, &mut effects);
        effects
    }

    /// Summarizes the state for gauges and the readiness check.
    pub fn summary(&self, now: Duration) -> Summary {
        Summary {
            config_version: self.table.as_ref().map(|table| table.config().version),
            config_keys: self.table.as_ref().map_or(0, RoutingTable::key_count),
            asks_for_keys: self.table.as_ref().is_some_and(RoutingTable::asks_for_keys),
            lease_age: self.lease.age(now),
            is_lease_valid: self.lease.allows(now, true),
            known_targets: self.targets.iter().count(),
            quarantines: self.suspects.quarantine_count(),
            pending_requests: self.pending.len(),
            queued_requests: self.queues.values().map(Queue::len).sum(),
            is_draining: self.is_draining(),
        }
    }

    /// Whether the process drains before a planned stop.
    pub fn is_draining(&self) -> bool {
        self.ends_at.is_some()
    }

    /// Whether a request is expected to end before this process does, by the longest time that requests of its
    /// route took lately, and by its own timeout at the latest.
    pub(super) fn ends_in_time(&self, now: Duration, pending: &Pending) -> bool {
        let Some(ends_at) = self.ends_at else {
            return true;
        };
        let times = self.answer_times.get(&pending.route.name);
        let expected = times.map_or(Duration::MAX, AnswerTimes::longest);
        let ends = now.saturating_add(expected).min(pending.deadline);
        ends + DELIVERY_TIME <= ends_at
    }

    /// The current limits on callers' requests.
    pub fn caller_limits(&self) -> super::config::CallerLimits {
        let table = self.table.as_ref();
        table.map(|table| table.config().limits).unwrap_or_default()
    }

    /// The version of the current configuration, or zero if there is none.
    pub fn config_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.config().version)
    }

    /// The data centre of the process.
    pub fn data_centre(&self) -> &Name {
        &self.options.location.data_centre
    }

    /// The named versions of each model that still decide which ones requests may run on, the newest
    /// first, and how long ago they were named and learned of.
    pub fn named_versions(&self, now: Duration) -> Vec<NamedVersion> {
        let grace = self.options.version_grace;
        let models = self.required_versions.iter();
        let versions =
            models.flat_map(|(model, named)| deciding_versions(now, model, named, grace));
        versions.collect()
    }

    /// The newest named version of each model.
    pub fn newest_versions(&self) -> Vec<(Name, u64)> {
        let newest = self.required_versions.iter().filter_map(|(model, named)| {
            let newest = named.last()?;
            Some((model.clone(), newest.version))
        });
        newest.collect()
    }

    /// The targets that are model engines, those of near data centres first. Each process has its
    /// own order of the others, so that processes that start together do not all call the same agents
    /// at the same time.
    pub fn engines(&self) -> Vec<EngineTarget> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let config = table.config();
        let location = &self.options.location;
        let mut targets: Vec<&Target> = self.targets.iter().collect();
        targets.sort_by_cached_key(|target| {
            let distance = location.distance(&target.entry.data_centre);
            (distance, rank::weight(self.options.seed, &target.entry.id))
        });
        let engines = targets.into_iter().filter_map(|target| {
            let service = config.services.get(&target.entry.service)?;
            let model = service.engine_profile.as_ref()?.model.clone();
            Some(EngineTarget {
                target: target.entry.id.clone(),
                address: target.entry.address,
                weight_source: weight_source(config, model),
            })
        });
        engines.collect()
    }

    /// The known targets.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    pub(super) fn random_fraction(&mut self) -> f64 {
        self.rng.random()
    }
}
