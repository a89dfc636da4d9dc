//! The I/O of an agent that keeps one model engine at the version that operators name.

mod backends;
mod crashes;
mod peers;
mod reservations;
mod staging;

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use control::controller::{
    Controller,
    Effect,
    Event,
    Reserved, //
};
use protocol::{
    EngineStatus,
    WeightSource, //
};
use tokio::sync::{
    oneshot,
    watch, //
};
use tokio::task::AbortHandle;
use utils::clock::Clock;
use utils::digest::Digest;
use utils::standstill::Standstill;
use utils::Name;
use weights::{
    Denial,
    Member,
    Piece,
    Source, //
};
use wire::Pool;

use crate::capacity_metrics;
use crate::feed::{
    FeedEvent,
    PublishedValue, //
};
use crate::links::Pacer;
use crate::record_writer::RecordWriter;
use crate::store::PieceStore;
use crate::watch_value::send_if_changed;

pub use backends::{
    BackendError,
    Backends,
    EngineLocation,
    OnProgress, //
};

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::keeper";

/// How often the reducer gets a tick event while the agent downloads or switches a version.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How often the reducer gets a tick event otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time between two ticks of a process that runs.
const MAX_TICK_GAP: Duration = Duration::from_millis(1500);

/// The flow control window of the download of one piece. Twenty instances may send at once; all
/// their windows together take 170 ms on an instance's link.
const PIECE_WINDOW_BYTES: u32 = 8 << 10;

/// The options of an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// The service that the engine belongs to.
    pub service: Name,
    /// The region of each data centre.
    pub regions: BTreeMap<Name, Name>,
    /// The data centre of this agent.
    pub data_centre: Name,
    /// The address on which this agent listens. It is also the agent's name among agents.
    pub address: SocketAddr,
    /// The port on which agents listen.
    pub peer_port: u16,
    /// Bytes per second that may be sent to other agents. The engine's streams share the link.
    pub upload_bytes_per_second: f64,
    /// Bytes per second that may be received from other agents. The engine's requests share the
    /// link.
    pub download_bytes_per_second: f64,
}

/// An agent that keeps one model engine at the named version.
pub struct Agent {
    options: AgentOptions,
    state: Mutex<Controller>,
    /// The time of the start of this process, in milliseconds since the Unix epoch.
    incarnation: u64,
    clock: Arc<dyn Clock>,
    record_writer: Arc<RecordWriter>,
    backends: Backends,
    pool: Pool,
    upload_pacer: Pacer,
    download_pacer: Pacer,
    store: PieceStore,
    /// Held while pieces are written to the engine, which keeps one piece of each number.
    staging: tokio::sync::Mutex<()>,
    /// When each piece was last read from the engine as it should be, by key of the version and piece.
    read_intact_at: Mutex<HashMap<(Digest, Piece), Duration>>,
    /// The address and region of the origin.
    origin: Mutex<Option<(SocketAddr, Name)>>,
    /// The tasks that download pieces, by key of the version and piece.
    downloads: Mutex<HashMap<(Digest, Piece), AbortHandle>>,
    /// The requests of other agents for pieces that wait for a decision of the reducer, by token.
    upload_requests: Mutex<HashMap<u64, oneshot::Sender<Result<(), Denial>>>>,
    /// The reservation requests that wait, by their number.
    waiting: Mutex<HashMap<u64, oneshot::Sender<Option<Reserved>>>>,
    next_token: Mutex<u64>,
    engine_status: watch::Sender<EngineStatus>,
    /// The revision of the crashes that the reducer knows of.
    crash_revision: watch::Sender<u64>,
    /// Processes that asked for the state of the engine, and when they last asked.
    watchers: Mutex<HashMap<Name, Duration>>,
    config_version: Mutex<u64>,
    /// Whether messages may have waited while this process stood still.
    standstill: Mutex<Standstill>,
}

impl std::fmt::Debug for Agent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Agent")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Agent {
    /// Creates an agent. It does nothing until `serve` and `run_timer` are polled.
    pub fn new(
        options: AgentOptions,
        controller: Controller,
        clock: Arc<dyn Clock>,
        record_writer: Arc<RecordWriter>,
        backends: Backends,
    ) -> Arc<Self> {
        let (engine_status, _) = watch::channel(EngineStatus::default());
        let upload_pacer = Pacer::new(clock.clone(), options.upload_bytes_per_second);
        let download_pacer = Pacer::new(clock.clone(), options.download_bytes_per_second);
        Arc::new(Self {
            state: Mutex::new(controller),
            incarnation: clock.now().unix_ms(),
            clock,
            record_writer,
            backends,
            pool: Pool::new(wire::PoolOptions {
                window_bytes: PIECE_WINDOW_BYTES,
                ..wire::PoolOptions::default()
            }),
            upload_pacer,
            download_pacer,
            store: PieceStore::default(),
            staging: tokio::sync::Mutex::default(),
            read_intact_at: Mutex::default(),
            origin: Mutex::default(),
            downloads: Mutex::default(),
            upload_requests: Mutex::default(),
            waiting: Mutex::default(),
            next_token: Mutex::default(),
            engine_status,
            crash_revision: watch::Sender::new(0),
            watchers: Mutex::default(),
            config_version: Mutex::default(),
            standstill: Mutex::new(Standstill::new(MAX_TICK_GAP)),
            options,
        })
    }

    /// Sends ticks to the reducer while the future is polled.
    pub async fn run_timer(self: Arc<Self>) {
        loop {
            lock(&self.standstill).tick(self.clock.now().elapsed);
            self.handle_event(Event::Tick);
            self.update_limit_gauges();
            let now = self.clock.now().elapsed;
            let is_busy = {
                let state = lock(&self.state);
                state.is_updating() || state.is_following_speed(now)
            };
            let interval = if is_busy {
                BUSY_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            };
            tokio::time::sleep(interval).await;
        }
    }

    fn update_limit_gauges(&self) {
        let now = self.clock.now().elapsed;
        let status = lock(&self.state).learned_limit_status(now);
        if let Some(status) = status {
            let name = self.options.address.to_string().into();
            capacity_metrics::update_gauges(&name, &status);
        }
    }

    /// Handles an event of the feed.
    pub fn handle_feed_event(self: &Arc<Self>, event: FeedEvent) {
        if let Some(decision) = event.to_decision() {
            self.record(decision);
        }
        if let FeedEvent::Answered(answer) = &event {
            answer.count_bytes_to(self.region());
        }
        if let FeedEvent::Published {
            value,
            published_after,
            ..
        } = event
        {
            self.handle_value(value, published_after);
        }
    }

    fn handle_value(self: &Arc<Self>, value: PublishedValue, published_after: Option<Duration>) {
        if let PublishedValue::ModelVersion(model, version) = value {
            self.handle_event(Event::VersionNamed {
                model,
                version,
                // A version found at the start may have been named at any earlier time.
                age: published_after.map(|_| Duration::ZERO),
                published_after,
            });
        }
    }

    /// Applies what a router reports about the origin and the model.
    fn handle_weight_source(self: &Arc<Self>, config_version: u64, weight_source: WeightSource) {
        let mut newest_config_version = lock(&self.config_version);
        *newest_config_version = config_version.max(*newest_config_version);
        drop(newest_config_version);
        let region = self
            .options
            .regions
            .get(&weight_source.data_centre)
            .cloned();
        *lock(&self.origin) = Some((weight_source.origin, region.unwrap_or_default()));
        if let Some(rate) = weight_source.bytes_per_second {
            self.handle_event(Event::OriginRate(rate));
        }
        self.handle_event(Event::Model(weight_source.model));
    }

    /// Passes an event to the reducer and executes the effects.
    fn handle_event(self: &Arc<Self>, event: Event) {
        let now = self.clock.now().elapsed;
        let (effects, status, crash_revision, waiting) = {
            let mut state = lock(&self.state);
            let effects = state.step(now, event);
            let waiting = state.condition().waiting;
            (effects, state.status(), state.crash_revision(), waiting)
        };
        if waiting > 0 {
            self.end_waits();
        }
        send_if_changed(&self.crash_revision, crash_revision);
        send_if_changed(&self.engine_status, status);
        for effect in effects {
            self.execute(effect);
        }
    }

    fn execute(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Transfer(model_version, effect) => self.execute_transfer(model_version, effect),
            Effect::RetainVersions(keys) => {
                self.store.keep_only(&keys);
                lock(&self.read_intact_at).retain(|(key, _), _| keys.contains(key));
            }
            Effect::CheckEngine(model_version) => {
                self.spawn(move |agent| agent.check_engine(model_version))
            }
            Effect::Stage(load) => self.spawn(move |agent| agent.stage(load)),
            Effect::CheckLoaded(load) => self.spawn(move |agent| agent.check_loaded(load)),
            Effect::OrderLoad {
                number,
                load,
                sequence,
                valid_until,
            } => self.spawn(move |agent| agent.order_load(number, load, sequence, valid_until)),
            Effect::ReadEngine => self.spawn(Self::read_engine),
            Effect::ReadMembers => self.spawn(Self::read_members),
            Effect::Record(decision) => self.record(decision),
        }
    }

    fn spawn<F>(self: &Arc<Self>, work: impl FnOnce(Arc<Self>) -> F)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        let _detached = tokio::spawn(work(self.clone()));
    }

    fn record(&self, decision: record::Decision) {
        let config_version = *lock(&self.config_version);
        self.record_writer.record(config_version, decision);
    }

    async fn read_engine(self: Arc<Self>) {
        let report = (self.backends.read_state)().await;
        if let Err(e) = &report {
            log::debug!(target: LOG_TARGET, "cannot read the state of the engine: {e}");
        }
        self.handle_event(Event::Engine(report.ok()));
    }

    async fn read_members(self: Arc<Self>) {
        let engines = match (self.backends.list_engines)(self.options.service.clone()).await {
            Ok(engines) => engines,
            Err(e) => {
                log::info!(target: LOG_TARGET, "cannot read the list of engines: {e}");
                return;
            }
        };
        let Some(origin_region) = lock(&self.origin)
            .as_ref()
            .map(|(_, region)| region.clone())
        else {
            return;
        };
        let mut members: Vec<Member> = engines
            .into_iter()
            .filter_map(|(address, data_centre)| self.member(address, data_centre))
            .collect();
        // Adds this agent itself, because the list is a second or two behind and the download must
        // not wait for it.
        let data_centre = self.options.data_centre.clone();
        members.extend(self.member(self.options.address, data_centre));
        members.sort();
        members.dedup_by(|a, b| a.name == b.name);
        self.handle_event(Event::Members {
            members,
            origin_region,
        });
    }

    /// The region of this agent, or its data centre if the region is not known.
    pub(super) fn region(&self) -> &Name {
        let data_centre = &self.options.data_centre;
        self.options.regions.get(data_centre).unwrap_or(data_centre)
    }

    /// The region of a source of pieces, if that is another one than the own.
    pub(super) fn remote_region_of(&self, source: &Source) -> Option<Name> {
        let region = match source {
            Source::Origin => lock(&self.origin)
                .as_ref()
                .map(|(_, region)| region.clone()),
            Source::Peer(name) => lock(&self.state).region_of(name).cloned(),
        };
        region.filter(|region| !region.is_empty() && region != self.region())
    }

    fn member(&self, engine: SocketAddr, data_centre: Name) -> Option<Member> {
        let region = self.options.regions.get(&data_centre)?.clone();
        let address = SocketAddr::new(engine.ip(), self.options.peer_port);
        Some(Member {
            name: address.to_string().into(),
            data_centre,
            region,
        })
    }
}
