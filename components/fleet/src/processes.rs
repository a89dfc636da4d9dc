//! Starts, reconfigures and stops the processes of a fleet.

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

use control::agent::State;
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
    HttpClient,
    Identity,
    LineSink,
    ProcessOptions,
    ProxyError, //
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
    ClockReading,
    SystemClock, //
};
use utils::digest::Digest;
use utils::Name;

use crate::initial_sheet::{
    entry_name,
    initial_sheet,
    service_name,
    target_name,
    MODEL, //
};
use crate::layout::Layout;
use crate::network::Network;

/// Interval at which the control threads check their timers.
const CONTROL_TICK: Duration = Duration::from_millis(20);

/// A model engine with its agent.
#[derive(Clone, Debug)]
pub struct TargetNode {
    /// The engine.
    pub engine: Engine,
    /// The agent, or nothing if it was killed.
    pub agent: Option<Agent>,
}

/// An instance of the plain service with its agent.
#[derive(Clone, Debug)]
pub struct ServiceNode {
    /// The service.
    pub service: PlainService,
    /// The agent, or nothing if it was killed.
    pub agent: Option<Agent>,
}

/// A running entry.
#[derive(Clone, Debug)]
struct EntryNode {
    entry: Entry,
    caller_address: SocketAddr,
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
    published_sheets: Mutex<Vec<Sheet>>,
    targets: Mutex<BTreeMap<Name, TargetNode>>,
    services: Mutex<BTreeMap<Name, ServiceNode>>,
    entries: Mutex<BTreeMap<Name, EntryNode>>,
    next_incarnation: AtomicU64,
    sink: LineSink,
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
    /// Starts all processes. `sink` receives the record lines of all of them.
    pub async fn start(layout: Layout, sink: LineSink) -> io::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let network = Network::new(&layout, clock.clone());
        let platform = Platform::start().await?;
        let origin = Origin::start(network.origin_throttle()).await?;
        let weights = random_bytes(layout.weight_bytes, layout.seed);
        let manifest = origin.add_version(MODEL, "v1", weights, layout.chunk_bytes);
        let sheet = initial_sheet(&layout, manifest, clock.now().wall_clock);
        platform.publish(&sheet);
        let fleet = Self {
            clock,
            http: http_client(),
            platform,
            origin,
            network,
            published_sheets: Mutex::new(vec![sheet.clone()]),
            sheet: Mutex::new(sheet),
            targets: Mutex::default(),
            services: Mutex::default(),
            entries: Mutex::default(),
            next_incarnation: AtomicU64::new(1),
            sink,
            layout,
        };
        fleet.start_processes().await?;
        Ok(fleet)
    }

    async fn start_processes(&self) -> io::Result<()> {
        for index in 0..self.layout.targets {
            let version = self.layout.starts_loaded.then(|| Name::from("v1"));
            let options = self.layout.engine.clone();
            let engine = Engine::start(options, self.clock.clone(), version).await?;
            let name = target_name(index);
            let node = TargetNode {
                engine,
                agent: None,
            };
            lock(&self.targets).insert(name.clone(), node);
            self.start_agent(&name).await?;
        }
        for index in 0..self.layout.services {
            let service = PlainService::start().await?;
            let name = service_name(index);
            let node = ServiceNode {
                service,
                agent: None,
            };
            lock(&self.services).insert(name.clone(), node);
            self.start_agent(&name).await?;
        }
        for index in 0..self.layout.entries {
            self.start_entry(&entry_name(index)).await?;
        }
        Ok(())
    }

    /// Returns the layout.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns the clock that all processes use.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Returns the stand-in platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the stand-in weight store.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Returns the network between the processes.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Returns the HTTP client that all processes share.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Returns the sheet that was published last.
    pub fn sheet(&self) -> Sheet {
        lock(&self.sheet).clone()
    }

    /// Returns the model targets by name.
    pub fn targets(&self) -> BTreeMap<Name, TargetNode> {
        lock(&self.targets).clone()
    }

    /// Returns the instances of the plain service by name.
    pub fn services(&self) -> BTreeMap<Name, ServiceNode> {
        lock(&self.services).clone()
    }

    /// Returns the entries by name.
    pub fn entries(&self) -> BTreeMap<Name, Entry> {
        let entries = lock(&self.entries);
        let pairs = entries.iter();
        pairs
            .map(|(name, node)| (name.clone(), node.entry.clone()))
            .collect()
    }

    /// Returns the addresses on which the entries accept callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.entries)
            .values()
            .map(|node| node.caller_address)
            .collect()
    }

    /// Applies a change to the latest sheet and publishes it as the next version.
    pub fn publish(&self, change: impl FnOnce(&mut Sheet)) {
        let mut sheet = lock(&self.sheet);
        change(&mut sheet);
        sheet.version += 1;
        sheet.published = self.clock.now().wall_clock;
        self.platform.publish(&sheet);
        lock(&self.published_sheets).push(sheet.clone());
    }

    /// Returns all published sheets, oldest first.
    pub fn published_sheets(&self) -> Vec<Sheet> {
        lock(&self.published_sheets).clone()
    }

    /// Stores a new version of the model and publishes a sheet that names it. Returns the digest
    /// of its manifest.
    pub fn roll_out(&self, version: &str, seed: u64) -> Digest {
        let weights = random_bytes(self.layout.weight_bytes, seed);
        let chunk_bytes = self.layout.chunk_bytes;
        let manifest = self
            .origin
            .add_version(MODEL, version, weights, chunk_bytes);
        self.publish(|sheet| {
            if let Some(model) = sheet.models.get_mut(MODEL) {
                model.version = version.into();
                model.manifest = manifest;
            }
        });
        manifest
    }

    /// Publishes a sheet that takes a data centre out of service or puts it back.
    pub fn set_data_centre_state(&self, name: &str, state: DataCentreState) {
        self.publish(|sheet| {
            if let Some(data_centre) = sheet.data_centres.get_mut(name) {
                data_centre.state = state;
            }
        });
    }

    /// Starts an agent for an instance, or a new one if the instance had one before.
    pub async fn start_agent(&self, name: &Name) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let target = self.target_address(name);
        let (data_centre, region) = self.location(name);
        self.network.register_process(address, name, &region);
        let setup = agent::Setup {
            process_options: self.process_options(name, &data_centre, &region),
            options: self.layout.agent.clone(),
            target_address: target,
            origin_address: Some(self.origin.server().address()),
            links: self.network.instance_links(),
        };
        let agent = Agent::start(setup, listener, self.http.clone()).map_err(to_io_error)?;
        if let Some(node) = lock(&self.targets).get_mut(name) {
            node.agent = Some(agent);
        } else if let Some(node) = lock(&self.services).get_mut(name) {
            node.agent = Some(agent);
        }
        self.register_instance(name, address, &data_centre, Role::Agent);
        Ok(())
    }

    /// Starts an entry, or a new one if there was one with this name before.
    pub async fn start_entry(&self, name: &Name) -> io::Result<()> {
        let peer_listener = TcpListener::bind("127.0.0.1:0").await?;
        let caller_listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = peer_listener.local_addr()?;
        let caller_address = caller_listener.local_addr()?;
        let (data_centre, region) = self.location(name);
        self.network.register_process(address, name, &region);
        let setup = entry::Setup {
            process_options: self.process_options(name, &data_centre, &region),
            options: self.layout.entry.clone(),
            callers: CallerOptions {
                max_body_bytes: 1 << 20,
                max_buffer_bytes: 8 << 20,
                receive_timeout: Duration::from_secs(5),
                default_timeout: Duration::from_secs(20),
                max_timeout: Duration::from_secs(60),
                prefix_bytes: 64,
            },
        };
        let entry = Entry::start(setup, peer_listener, caller_listener, self.http.clone())
            .map_err(to_io_error)?;
        let node = EntryNode {
            entry,
            caller_address,
        };
        lock(&self.entries).insert(name.clone(), node);
        self.register_instance(name, address, &data_centre, Role::Entry);
        Ok(())
    }

    /// Kills the agent of an instance. Its target keeps running.
    pub fn kill_agent(&self, name: &str) {
        let mut targets = lock(&self.targets);
        let mut services = lock(&self.services);
        let target = targets.get_mut(name).and_then(|node| node.agent.take());
        let service = services.get_mut(name).and_then(|node| node.agent.take());
        if let Some(agent) = target.or(service) {
            agent.kill();
        }
    }

    /// Kills the agent and the engine of an instance and marks it as gone in the list of instances.
    pub fn kill_instance(&self, name: &str) {
        self.kill_agent(name);
        if let Some(node) = lock(&self.targets).get(name) {
            node.engine.kill();
        }
        self.platform.set_instance_state(name, InstanceState::Gone);
    }

    /// Returns the status of each model target that has an agent.
    pub async fn statuses(&self) -> BTreeMap<Name, TargetStatus> {
        self.query_agents(|state, now| state.status(now.elapsed))
            .await
    }

    /// Returns what the agent of each model target knows of the sheet, for messages of failed tests.
    pub async fn sheet_states(&self) -> BTreeMap<Name, String> {
        let describe = |state: &State, _| {
            let follower = state.follower();
            let collector = follower.sheet_collector();
            format!(
                "sheet {}, rejected {:?}, missing {:?}, pending {:?}, neighbours {:?}",
                collector.version(),
                collector.rejection(),
                collector.missing_sections(),
                follower.pending_requests(),
                follower.neighbours(),
            )
        };
        self.query_agents(describe).await
    }

    /// Runs a query on the state of the agent of each model target.
    async fn query_agents<R: Send + 'static>(
        &self,
        query: impl Fn(&State, ClockReading) -> R + Copy + Send + 'static,
    ) -> BTreeMap<Name, R> {
        let mut results = BTreeMap::new();
        for (name, node) in self.targets() {
            let Some(agent) = node.agent else {
                continue;
            };
            if let Some(result) = agent.control().query(query).await {
                results.insert(name, result);
            }
        }
        results
    }

    /// Waits until every target with an agent is warm at `version` and every entry is ready.
    /// Returns whether this happened before the timeout.
    pub async fn wait_ready(&self, version: &str, timeout: Duration) -> bool {
        let deadline = self.clock.now().elapsed + timeout;
        while self.clock.now().elapsed < deadline {
            if self.all_ready(version).await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    async fn all_ready(&self, version: &str) -> bool {
        let statuses = self.statuses().await;
        let agent_count = self
            .targets()
            .values()
            .filter(|n| n.agent.is_some())
            .count();
        let is_ready = |status: &TargetStatus| {
            status.phase == Phase::Warm && status.version.as_deref() == Some(version)
        };
        if statuses.len() < agent_count || !statuses.values().all(is_ready) {
            return false;
        }
        for entry in self.entries().values() {
            if entry.control().query(|s, _| s.is_ready()).await != Some(true) {
                return false;
            }
        }
        true
    }

    /// Kills all agents and entries.
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

    /// Returns the data centre and region of an instance. They follow from the number at the end of
    /// its name.
    fn location(&self, name: &str) -> (Name, Name) {
        let digits = name.rsplit('-').next().unwrap_or_default();
        let index = digits.parse().unwrap_or(0);
        let data_centre = self.layout.data_centre(index).clone();
        let region = self.layout.region(&data_centre);
        (data_centre, region)
    }

    /// Returns the options of a new process on an instance.
    fn process_options(&self, name: &Name, data_centre: &Name, region: &Name) -> ProcessOptions {
        let identity = Identity {
            instance: name.clone(),
            data_centre: data_centre.clone(),
            incarnation: self.next_incarnation.fetch_add(1, Ordering::Relaxed),
        };
        ProcessOptions {
            identity,
            config_service: self.platform.server().address(),
            instance_list: self.platform.server().address(),
            tick_interval: CONTROL_TICK,
            clock: self.clock.clone(),
            pool_options: self.network.pool_options(name, region),
            line_sink: self.sink.clone(),
        }
    }

    /// Adds an instance to the list of instances, or replaces its entry.
    fn register_instance(&self, name: &Name, address: SocketAddr, data_centre: &Name, role: Role) {
        self.platform.put_instance(Instance {
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

fn to_io_error(e: ProxyError) -> io::Error {
    io::Error::other(e.to_string())
}

/// Returns random bytes that depend on the seed.
fn random_bytes(length: usize, seed: u64) -> Vec<u8> {
    let mut data = vec![0; length];
    Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut data);
    data
}
