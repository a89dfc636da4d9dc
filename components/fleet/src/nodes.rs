//! Starting, changing and breaking the processes of a fleet.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use protocol::{
    Instance,
    InstanceState,
    Phase,
    Role,
    TargetStatus, //
};
use proxy::agent::{
    self,
    Agent, //
};
use proxy::entry::{
    self,
    CallerOptions,
    Entry, //
};
use proxy::{
    http_client,
    Base,
    HttpClient,
    Identity,
    ProxyError,
    Sink, //
};
use rand::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use sheet::{
    DataCentreState,
    Sheet, //
};
use standins::{
    Engine,
    Origin,
    PlainService,
    Platform, //
};
use tokio::net::TcpListener;
use utils::clock::{
    Clock,
    SystemClock, //
};
use utils::digest::Digest;
use utils::Name;

use crate::layout::Layout;
use crate::network::Network;
use crate::sheets::{
    self,
    MODEL, //
};

/// How often the control threads look at the time.
const TICK: Duration = Duration::from_millis(20);

/// A model engine and the agent beside it.
#[derive(Clone, Debug)]
pub struct TargetNode {
    /// The engine.
    pub engine: Engine,
    /// The agent, unless it was killed.
    pub agent: Option<Agent>,
}

/// A plain service and the agent beside it.
#[derive(Clone, Debug)]
pub struct ServiceNode {
    /// The service.
    pub service: PlainService,
    /// The agent, unless it was killed.
    pub agent: Option<Agent>,
}

/// A running entry.
#[derive(Clone, Debug)]
struct EntryNode {
    entry: Entry,
    callers: SocketAddr,
}

/// A running fleet.
pub struct Fleet {
    layout: Layout,
    clock: Arc<dyn Clock>,
    http: HttpClient,
    platform: Platform,
    origin: Origin,
    network: Network,
    sheet: Mutex<Sheet>,
    published: Mutex<Vec<Sheet>>,
    targets: Mutex<BTreeMap<Name, TargetNode>>,
    services: Mutex<BTreeMap<Name, ServiceNode>>,
    entries: Mutex<BTreeMap<Name, EntryNode>>,
    incarnations: AtomicU64,
    sink: Sink,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet")
            .field("layout", &self.layout)
            .finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Starts everything. `sink` takes the lines of every process's record.
    pub async fn start(layout: Layout, sink: Sink) -> io::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let network = Network::new(&layout, clock.clone());
        let platform = Platform::start().await?;
        let origin = Origin::start(network.origin()).await?;
        let content = content(layout.weight_bytes, layout.seed);
        let manifest = origin.add(MODEL, "v1", content, layout.chunk_bytes);
        let sheet = sheets::first_sheet(&layout, manifest, clock.now().wall_clock);
        platform.publish(&sheet);
        let fleet = Self {
            clock,
            http: http_client(),
            platform,
            origin,
            network,
            published: Mutex::new(vec![sheet.clone()]),
            sheet: Mutex::new(sheet),
            targets: Mutex::default(),
            services: Mutex::default(),
            entries: Mutex::default(),
            incarnations: AtomicU64::new(1),
            sink,
            layout,
        };
        fleet.start_nodes().await?;
        Ok(fleet)
    }

    async fn start_nodes(&self) -> io::Result<()> {
        for index in 0..self.layout.targets {
            let version = self.layout.loaded.then(|| Name::from("v1"));
            let options = self.layout.engine.clone();
            let engine = Engine::start(options, self.clock.clone(), version).await?;
            let name = sheets::target_name(index);
            let node = TargetNode {
                engine,
                agent: None,
            };
            lock(&self.targets).insert(name.clone(), node);
            self.start_agent(&name).await?;
        }
        for index in 0..self.layout.services {
            let service = PlainService::start().await?;
            let name = sheets::service_name(index);
            let node = ServiceNode {
                service,
                agent: None,
            };
            lock(&self.services).insert(name.clone(), node);
            self.start_agent(&name).await?;
        }
        for index in 0..self.layout.entries {
            self.start_entry(&sheets::entry_name(index)).await?;
        }
        Ok(())
    }

    /// The layout.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The clock of every process.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// The platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The weight store.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// The links.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// The HTTP client of the fleet.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// The sheet that was published last.
    pub fn sheet(&self) -> Sheet {
        lock(&self.sheet).clone()
    }

    /// The model targets.
    pub fn targets(&self) -> BTreeMap<Name, TargetNode> {
        lock(&self.targets).clone()
    }

    /// The plain services.
    pub fn services(&self) -> BTreeMap<Name, ServiceNode> {
        lock(&self.services).clone()
    }

    /// The entries.
    pub fn entries(&self) -> BTreeMap<Name, Entry> {
        let entries = lock(&self.entries);
        let pairs = entries.iter();
        pairs
            .map(|(name, node)| (name.clone(), node.entry.clone()))
            .collect()
    }

    /// The addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.entries)
            .values()
            .map(|node| node.callers)
            .collect()
    }

    /// Publishes the last sheet with a change.
    pub fn publish(&self, change: impl FnOnce(&mut Sheet)) {
        let mut sheet = lock(&self.sheet);
        change(&mut sheet);
        sheet.version += 1;
        sheet.published = self.clock.now().wall_clock;
        self.platform.publish(&sheet);
        lock(&self.published).push(sheet.clone());
    }

    /// Every sheet that was published, the oldest first.
    pub fn published(&self) -> Vec<Sheet> {
        lock(&self.published).clone()
    }

    /// Stores a new version of the model and publishes a sheet that names it.
    pub fn roll_out(&self, version: &str, seed: u64) -> Digest {
        let content = content(self.layout.weight_bytes, seed);
        let chunk = self.layout.chunk_bytes;
        let manifest = self.origin.add(MODEL, version, content, chunk);
        self.publish(|sheet| {
            if let Some(model) = sheet.models.get_mut(MODEL) {
                model.version = version.into();
                model.manifest = manifest;
            }
        });
        manifest
    }

    /// Takes a data centre out of service or back in.
    pub fn set_data_centre(&self, name: &str, state: DataCentreState) {
        self.publish(|sheet| {
            if let Some(data_centre) = sheet.data_centres.get_mut(name) {
                data_centre.state = state;
            }
        });
    }

    /// Starts the agent of an instance, anew if it ran before.
    pub async fn start_agent(&self, name: &Name) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let target = self.target_address(name);
        let (data_centre, region) = self.place(name);
        self.network.place(address, name, &region);
        let setup = agent::Setup {
            base: self.base(name, &data_centre, &region),
            options: self.layout.agent.clone(),
            target,
            origin: Some(self.origin.server().address()),
            links: self.network.links(),
        };
        let agent = Agent::start(setup, listener, self.http.clone()).map_err(to_io)?;
        if let Some(node) = lock(&self.targets).get_mut(name) {
            node.agent = Some(agent);
        } else if let Some(node) = lock(&self.services).get_mut(name) {
            node.agent = Some(agent);
        }
        self.announce(name, address, &data_centre, Role::Agent);
        Ok(())
    }

    /// Starts an entry, anew if it ran before.
    pub async fn start_entry(&self, name: &Name) -> io::Result<()> {
        let peers = TcpListener::bind("127.0.0.1:0").await?;
        let callers = TcpListener::bind("127.0.0.1:0").await?;
        let address = peers.local_addr()?;
        let caller_address = callers.local_addr()?;
        let (data_centre, region) = self.place(name);
        self.network.place(address, name, &region);
        let setup = entry::Setup {
            base: self.base(name, &data_centre, &region),
            options: self.layout.entry.clone(),
            callers: CallerOptions {
                body_limit: 1 << 20,
                receive_timeout: Duration::from_secs(5),
                default_timeout: Duration::from_secs(20),
                longest_timeout: Duration::from_secs(60),
                prefix_bytes: 64,
            },
        };
        let entry = Entry::start(setup, peers, callers, self.http.clone()).map_err(to_io)?;
        let node = EntryNode {
            entry,
            callers: caller_address,
        };
        lock(&self.entries).insert(name.clone(), node);
        self.announce(name, address, &data_centre, Role::Entry);
        Ok(())
    }

    /// Kills the agent of an instance. Its target stays.
    pub fn kill_agent(&self, name: &str) {
        let mut targets = lock(&self.targets);
        let mut services = lock(&self.services);
        let target = targets.get_mut(name).and_then(|node| node.agent.take());
        let service = services.get_mut(name).and_then(|node| node.agent.take());
        if let Some(agent) = target.or(service) {
            agent.kill();
        }
    }

    /// Kills an instance: its agent and its engine.
    pub fn kill_instance(&self, name: &str) {
        self.kill_agent(name);
        if let Some(node) = lock(&self.targets).get(name) {
            node.engine.die();
        }
        self.platform.set_state(name, InstanceState::Gone);
    }

    /// The state of each model target that has an agent.
    pub async fn statuses(&self) -> BTreeMap<Name, TargetStatus> {
        let mut statuses = BTreeMap::new();
        for (name, node) in self.targets() {
            let Some(agent) = node.agent else {
                continue;
            };
            let status = agent
                .control()
                .query(|state, now| state.status(now.elapsed));
            if let Some(status) = status.await {
                statuses.insert(name, status);
            }
        }
        statuses
    }

    /// Waits until every living target is warm at `version` and every entry is ready.
    pub async fn wait_ready(&self, version: &str, patience: Duration) -> bool {
        let until = self.clock.now().elapsed + patience;
        while self.clock.now().elapsed < until {
            if self.all_ready(version).await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    async fn all_ready(&self, version: &str) -> bool {
        let statuses = self.statuses().await;
        let living = self
            .targets()
            .values()
            .filter(|n| n.agent.is_some())
            .count();
        let serves = |status: &TargetStatus| {
            status.phase == Phase::Warm && status.version.as_deref() == Some(version)
        };
        if statuses.len() < living || !statuses.values().all(serves) {
            return false;
        }
        for entry in self.entries().values() {
            if entry.control().query(|s, _| s.is_ready()).await != Some(true) {
                return false;
            }
        }
        true
    }

    /// Ends every process.
    pub fn stop(&self) {
        let targets: Vec<Name> = lock(&self.targets).keys().cloned().collect();
        let services: Vec<Name> = lock(&self.services).keys().cloned().collect();
        for name in targets.iter().chain(&services) {
            self.kill_agent(name);
        }
        for node in lock(&self.entries).values() {
            node.entry.kill();
        }
    }

    fn target_address(&self, name: &Name) -> SocketAddr {
        if let Some(node) = lock(&self.targets).get(name) {
            return node.engine.server().address();
        }
        let services = lock(&self.services);
        let service = services
            .get(name)
            .map(|node| node.service.server().address());
        service.unwrap_or_else(|| self.origin.server().address())
    }

    /// The data centre and region of an instance, by the number at the end of its name.
    fn place(&self, name: &str) -> (Name, Name) {
        let digits = name.rsplit('-').next().unwrap_or_default();
        let index = digits.parse().unwrap_or(0);
        let data_centre = self.layout.data_centre(index).clone();
        let region = self.layout.region(&data_centre);
        (data_centre, region)
    }

    /// What a new process on an instance is started with.
    fn base(&self, name: &Name, data_centre: &Name, region: &Name) -> Base {
        let identity = Identity {
            instance: name.clone(),
            data_centre: data_centre.clone(),
            incarnation: self.incarnations.fetch_add(1, Ordering::Relaxed),
        };
        Base {
            identity,
            service: self.platform.server().address(),
            list: self.platform.server().address(),
            tick: TICK,
            clock: self.clock.clone(),
            pool: self.network.pool(name, region),
            sink: self.sink.clone(),
        }
    }

    fn announce(&self, name: &Name, address: SocketAddr, data_centre: &Name, role: Role) {
        self.platform.list(Instance {
            name: name.clone(),
            address,
            data_centre: data_centre.clone(),
            role,
            state: InstanceState::Live,
            revision: 0,
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

fn to_io(e: ProxyError) -> io::Error {
    io::Error::other(e.to_string())
}

/// Bytes of weights that no two seeds share.
fn content(bytes: usize, seed: u64) -> Vec<u8> {
    let mut content = vec![0; bytes];
    Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut content);
    content
}
