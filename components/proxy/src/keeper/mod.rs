//! The traffic of an agent that keeps one model engine at the version that operators name.

mod peers;
mod places;
mod port;
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

use control::keeper::{
    Effect,
    Event,
    Keeper, //
};
use protocol::{
    EngineStatus,
    Supply, //
};
use tokio::sync::{
    oneshot,
    watch, //
};
use tokio::task::AbortHandle;
use utils::clock::Clock;
use utils::digest::Digest;
use utils::Name;
use weights::{
    Denial,
    Member,
    Piece, //
};
use wire::Pool;

use crate::feed::{
    Fact,
    Told, //
};
use crate::journal::Journal;
use crate::links::Pacer;
use crate::store::Store;

pub use port::{
    EnginePlace,
    Port,
    PortError, //
};

/// How often the agent looks at the time while it gathers or switches.
const BUSY_TICK: Duration = Duration::from_millis(50);

/// How often it does so otherwise.
const CALM_TICK: Duration = Duration::from_millis(500);

/// Bytes of one piece on their way. Twenty instances may send at once; all of their windows
/// together take 170 ms of an instance's link.
const PIECE_WINDOW_BYTES: u32 = 8 << 10;

/// What an agent is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The service that the engine belongs to.
    pub service: Name,
    /// The region of each data centre.
    pub regions: BTreeMap<Name, Name>,
    /// Its data centre.
    pub data_centre: Name,
    /// Where this agent listens, which is its name among agents.
    pub address: SocketAddr,
    /// The port on which agents listen.
    pub peer_port: u16,
    /// Bytes a second that may go to other agents. The engine's streams leave by the same link.
    pub upload_rate: f64,
    /// Bytes a second that may come from other agents. The engine's requests come by the same link.
    pub download_rate: f64,
}

/// A running agent.
pub struct Agent {
    setup: Setup,
    state: Mutex<Keeper>,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    port: Port,
    pool: Pool,
    uploads: Pacer,
    downloads: Pacer,
    store: Store,
    origin: Mutex<Option<(SocketAddr, Name)>>,
    draws: Mutex<HashMap<(Digest, Piece), AbortHandle>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Result<(), Denial>>>>,
    next_token: Mutex<u64>,
    status: watch::Sender<EngineStatus>,
    /// Processes that asked about the engine, and when.
    watchers: Mutex<HashMap<Name, Duration>>,
    config_version: Mutex<u64>,
}

impl std::fmt::Debug for Agent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Agent")
            .field("setup", &self.setup)
            .finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Agent {
    /// Makes an agent that does nothing yet.
    pub fn new(
        setup: Setup,
        keeper: Keeper,
        clock: Arc<dyn Clock>,
        journal: Arc<Journal>,
        port: Port,
    ) -> Arc<Self> {
        let (status, _) = watch::channel(EngineStatus::default());
        let uploads = Pacer::new(clock.clone(), setup.upload_rate);
        let downloads = Pacer::new(clock.clone(), setup.download_rate);
        Arc::new(Self {
            state: Mutex::new(keeper),
            clock,
            journal,
            port,
            pool: Pool::new(wire::PoolOptions {
                window_bytes: PIECE_WINDOW_BYTES,
                ..wire::PoolOptions::default()
            }),
            uploads,
            downloads,
            store: Store::default(),
            origin: Mutex::default(),
            draws: Mutex::default(),
            waiting: Mutex::default(),
            next_token: Mutex::default(),
            status,
            watchers: Mutex::default(),
            config_version: Mutex::default(),
            setup,
        })
    }

    /// Tells the reducer that time passes, for as long as the future is polled.
    pub async fn keep_time(self: Arc<Self>) {
        loop {
            self.tell(Event::Tick);
            let tick = if lock(&self.state).is_at_work() {
                BUSY_TICK
            } else {
                CALM_TICK
            };
            tokio::time::sleep(tick).await;
        }
    }

    /// Takes what the feed says.
    pub fn hear(self: &Arc<Self>, told: Told) {
        match told {
            Told::Fact { fact, at_start, .. } => self.hear_fact(fact, at_start),
            Told::Source { up, detail } => {
                let name = "platform".into();
                self.record(record::Decision::Dependency { name, up, detail });
            }
            Told::AllTargets { .. } | Told::Current(_) => {}
        }
    }

    fn hear_fact(self: &Arc<Self>, fact: Fact, at_start: bool) {
        if let Fact::Version(model, version) = fact {
            self.tell(Event::Named {
                model,
                version,
                // What was there at the start may have been named at any time before.
                age: (!at_start).then_some(Duration::ZERO),
            });
        }
    }

    /// Takes what an entry says of the origin and the model.
    fn hear_supply(self: &Arc<Self>, sheet: u64, supply: Supply) {
        let mut version = lock(&self.config_version);
        *version = sheet.max(*version);
        drop(version);
        let region = self.setup.regions.get(&supply.data_centre).cloned();
        *lock(&self.origin) = Some((supply.origin, region.unwrap_or_default()));
        self.tell(Event::Model(supply.model));
    }

    /// Tells the reducer of an event and carries out what it asks for.
    fn tell(self: &Arc<Self>, event: Event) {
        let now = self.clock.now().elapsed;
        let (effects, status) = {
            let mut state = lock(&self.state);
            let effects = state.step(now, event);
            (effects, state.status())
        };
        self.status.send_if_modified(|known| {
            let changed = *known != status;
            *known = status;
            changed
        });
        for effect in effects {
            self.apply(effect);
        }
    }

    fn apply(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Transfer(wanted, effect) => self.apply_transfer(wanted, effect),
            Effect::Keep(keys) => self.store.keep_only(&keys),
            Effect::Salvage(wanted) => self.spawn(move |agent| agent.salvage(wanted)),
            Effect::Stage(wanted) => self.spawn(move |agent| agent.stage(wanted)),
            Effect::Order(wanted) => self.spawn(move |agent| agent.order(wanted)),
            Effect::Read => self.spawn(Self::read_engine),
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
        let sheet = *lock(&self.config_version);
        self.journal.record(sheet, decision);
    }

    async fn read_engine(self: Arc<Self>) {
        let report = (self.port.report)().await;
        if let Err(e) = &report {
            log::debug!("the engine tells nothing: {e}");
        }
        self.tell(Event::Engine(report.ok()));
    }

    async fn read_members(self: Arc<Self>) {
        let engines = match (self.port.engines)(self.setup.service.clone()).await {
            Ok(engines) => engines,
            Err(e) => {
                log::info!("the list of engines was not read: {e}");
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
        // The list is a second or two behind, and this agent must not wait for it to begin.
        let data_centre = self.setup.data_centre.clone();
        members.extend(self.member(self.setup.address, data_centre));
        members.sort();
        members.dedup_by(|a, b| a.name == b.name);
        self.tell(Event::Members {
            members,
            origin_region,
        });
    }

    fn member(&self, engine: SocketAddr, data_centre: Name) -> Option<Member> {
        let region = self.setup.regions.get(&data_centre)?.clone();
        let address = SocketAddr::new(engine.ip(), self.setup.peer_port);
        Some(Member {
            name: address.to_string().into(),
            data_centre,
            region,
        })
    }
}
