//! The processes, stand-in targets and links of one run, and the injection of faults.

mod faults;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use nix::sys::signal::Signal;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::callers::{
    Caller,
    IdleTime,
    RequestLog, //
};
use crate::configuration::{
    Configuration,
    DESKS, //
};
use crate::engine_faults::{
    Case,
    EngineFaults, //
};
use crate::history::{
    EntryEvent,
    History, //
};
use crate::processes::Process;
use crate::proxy::{
    Link,
    Proxy, //
};
use crate::stalls::Stalls;
use crate::standin::engine::{
    handle_origin_request,
    Runs,
    Target, //
};
use crate::standin::publish::{
    publish_target,
    ProcessAddresses,
    API_KEYS, //
};
use crate::standin::{
    listen,
    listen_with_delay,
    Store,
    StoreFault, //
};

pub const ENTRIES: usize = 3;
const ENGINES: usize = 3;
const SERVICES: usize = 3;

/// The targets of the second service of requests without prompts.
const OTHER_SERVICES: usize = 2;

/// The number of callers of each entry.
const CALLERS_PER_ENTRY: usize = 6;

/// The number of callers that make sure that all engines get requests, at the end of a run.
const ADDITIONAL_CALLERS: usize = 60;

/// How long the processes have to start.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// How often scheduled faults are looked at.
const TICK: Duration = Duration::from_millis(10);

/// The pauses between two faults, and between two series of faults of engines. Each seed draws a factor for
/// both, since engines load seldom while there are many faults, and faults seldom overlap while there are few.
const PAUSE_FACTORS: [u64; 3] = [1, 3, 9];
const FAULT_PAUSE_MS: std::ops::Range<u64> = 50..900;
const ENGINE_SERIES_PAUSE_MS: std::ops::Range<u64> = 100..1500;

/// The pauses between two series of planned work, which is a change of the configuration, several of them, SIGHUP
/// or SIGTERM. Some pauses are longer than a configuration takes, as losses beside configurations are compared with
/// those at other times.
const WORK_PAUSE_MS: std::ops::Range<u64> = 300..7000;

/// How long operators' bounds allow requests to begin on an older version.
const VERSION_TIME: Duration = Duration::from_secs(8);

/// How long a run goes on after all engines must serve the newest version.
const SERVING_TIME: Duration = Duration::from_secs(2);

/// A target in the store, and the proxy in front of it.
struct ListedTarget {
    id: String,
    service: &'static str,
    target: Target,
    address: SocketAddr,
    proxy: Proxy,
}

/// What was seen of an engine in a run.
pub struct ObservedEngine {
    pub id: String,
    /// Whether its calls were delayed, it started anew or pieces became corrupt there.
    pub is_disturbed: bool,
    /// How often it was ordered to load corrupt pieces.
    pub incomplete_loads: u64,
    /// When it was first seen to run the newest version after the faults.
    pub updated_at: Option<Instant>,
    /// What it runs at the end.
    pub version: Option<u64>,
    pub runs_newest: bool,
}

/// Everything that one run uses.
pub struct Environment {
    pub runs: Runs,
    pub requests: RequestLog,
    /// When the number of callers was raised.
    pub full_load_at: Instant,
    /// Requests that only serve to use all engines.
    additional_requests: RequestLog,
    /// Revoked API keys, and when they were revoked.
    pub revoked_keys: Vec<(&'static str, Instant)>,
    /// When the last fault ended.
    pub faults_ended_at: Instant,
    /// Versions that operators named, and when.
    pub named_versions: Vec<(u64, Instant)>,
    /// The target that says that it leaves, and since when.
    pub leaving: Option<(String, Instant)>,
    /// When the callers began.
    pub callers_began_at: Instant,
    pub history: History,
    /// Entries that were stopped, paused or restarted, and when.
    pub disturbed_entries: Vec<(usize, Instant)>,
    /// When a process that had exited was last restarted.
    restarted_at: Option<Instant>,
    /// When each engine was first seen to run the newest version after the faults.
    updated_at: BTreeMap<usize, Instant>,
    /// Processes that exited without being asked to stop, or with an error after they were asked.
    pub unexpected_exits: Vec<String>,
    folder: PathBuf,
    seed: u64,
    rng: Pcg64Mcg,
    store: Store,
    origin: SocketAddr,
    store_proxies: Vec<Proxy>,
    targets: Vec<ListedTarget>,
    processes: Vec<Process>,
    /// Indexes of the processes that were asked to stop.
    asked_to_stop: BTreeSet<usize>,
    /// Indexes of the processes that stand still until they are resumed.
    paused: BTreeSet<usize>,
    stalls: Stalls,
    /// Indexes of the targets that were removed from the store.
    unlisted: BTreeSet<usize>,
    engine_faults: EngineFaults,
    /// When versions are to be named.
    namings: Vec<Instant>,
    callers_stopped: Arc<AtomicBool>,
    config_version: u64,
    configuration: Configuration,
    /// Draws planned work, apart from the faults: these stay the same for a seed when the work changes.
    work_rng: Pcg64Mcg,
    /// When configurations are to be published.
    publications: Vec<Instant>,
    idle_time: IdleTime,
}

impl Environment {
    pub async fn start(seed: u64) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // The directory may be left over from an earlier run, or may not exist.
        let _result = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::default();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let case = Case::draw(&mut rng);
        let mut environment = Self {
            runs: Runs::default(),
            requests: RequestLog::default(),
            additional_requests: RequestLog::default(),
            revoked_keys: Vec::new(),
            faults_ended_at: Instant::now(),
            callers_began_at: Instant::now(),
            history: History::default(),
            full_load_at: Instant::now(),
            named_versions: Vec::new(),
            leaving: None,
            disturbed_entries: Vec::new(),
            unexpected_exits: Vec::new(),
            restarted_at: None,
            updated_at: BTreeMap::new(),
            origin: listen(handle_origin_request).await,
            folder,
            seed,
            rng,
            store_proxies: Vec::new(),
            targets: Vec::new(),
            processes: Vec::new(),
            asked_to_stop: BTreeSet::new(),
            paused: BTreeSet::new(),
            stalls: Stalls::default(),
            unlisted: BTreeSet::new(),
            engine_faults: EngineFaults::new(case),
            namings: Vec::new(),
            callers_stopped: Arc::default(),
            config_version: 0,
            configuration: Configuration::default(),
            work_rng: Pcg64Mcg::seed_from_u64(!seed),
            publications: Vec::new(),
            idle_time: IdleTime::default(),
            store,
        };
        environment.publish();
        let store = environment.store.start().await;
        for i in 0..SERVICES {
            environment
                .add_target(format!("d-{i}"), "desk", "127.0.0.1:0".into())
                .await;
        }
        for i in 0..ENGINES {
            let ip = environment.ip(100 + i);
            let engine = environment
                .add_target(format!("e-{i}"), "engines", format!("{ip}:8001"))
                .await;
            environment
                .add_process("agent", format!("agent-{i}"), ip, store, Some(engine))
                .await;
        }
        for i in 0..OTHER_SERVICES {
            environment
                .add_target(format!("b-{i}"), DESKS[1], "127.0.0.1:0".into())
                .await;
        }
        for i in 0..ENTRIES {
            let ip = environment.ip(10 + i);
            environment
                .add_process("entry", format!("entry-{i}"), ip, store, None)
                .await;
        }
        tokio::time::sleep(STARTUP_TIME).await;
        environment
    }

    /// A loopback address that only this run uses. Every instance has its own, so that all can use
    /// the same ports.
    fn ip(&self, host: usize) -> String {
        let run = std::process::id() % 200 + 20;
        format!("127.{run}.{}.{host}", self.seed % 250)
    }

    async fn add_target(
        &mut self,
        id: String,
        service: &'static str,
        address: String,
    ) -> SocketAddr {
        let target = match service {
            "engines" => Target::engine(&id, &self.runs),
            _ => Target::service(&id, &self.runs),
        };
        let (delays, responder) = (target.clone(), target.clone());
        let server_address = listen_with_delay(
            &address,
            move |request| delays.delay(request),
            move |request| responder.respond(request),
        )
        .await;
        let proxy = Proxy::start(server_address).await;
        // Entries find agents by the address of their engine, so engines are listed without a
        // proxy.
        let published_address = if service == "engines" {
            server_address
        } else {
            proxy.address()
        };
        publish_target(&self.store, &id, service, published_address, false);
        self.targets.push(ListedTarget {
            id,
            service,
            target,
            address: server_address,
            proxy,
        });
        server_address
    }

    async fn add_process(
        &mut self,
        role: &'static str,
        name: String,
        ip: String,
        store: SocketAddr,
        engine: Option<SocketAddr>,
    ) {
        let proxy = Proxy::start(store).await;
        let addresses = ProcessAddresses {
            name,
            ip,
            store: proxy.address(),
            engine,
            seeds: (0..ENTRIES.min(3)).map(|i| self.ip(10 + i)).collect(),
        };
        self.store_proxies.push(proxy);
        self.processes
            .push(Process::start(&self.folder, role, addresses));
    }

    fn publish(&mut self) {
        self.config_version += self.rng.random_range(1..4);
        self.publish_again();
    }

    /// Publishes the current configuration.
    fn publish_again(&mut self) {
        self.configuration
            .publish(&self.store, self.config_version, self.origin);
        self.idle_time.set(self.configuration.idle_time);
        let published = (Instant::now(), self.configuration.clone());
        self.history.configurations.push(published);
        self.log(&format!("configuration {}", self.config_version));
    }

    /// Runs the callers and injects random faults, which may overlap, for `time`. The callers run
    /// on until the end of the run.
    pub async fn run_with_faults(&mut self, time: Duration) {
        let begin = Instant::now();
        let until = begin + time;
        self.callers_began_at = begin;
        for number in 0..ENTRIES * CALLERS_PER_ENTRY {
            let key = API_KEYS[number % API_KEYS.len()];
            self.start_caller(number, key, &self.requests);
        }
        // Engines are ordered to load some seconds after a version was named, which the faults must outlast.
        let second = begin + time.mul_f64(self.rng.random_range(0.1..1.0));
        self.namings = vec![begin, second];
        self.engine_faults.schedule_delays(&mut self.rng, ENGINES);
        let factor = PAUSE_FACTORS[self.rng.random_range(0..PAUSE_FACTORS.len())];
        let mut next_fault = begin;
        let mut next_series = begin;
        let mut next_work = begin;
        while Instant::now() < until {
            let now = Instant::now();
            if now >= next_fault {
                self.inject_fault();
                let pause = self.rng.random_range(FAULT_PAUSE_MS);
                next_fault = now + Duration::from_millis(pause * factor);
            }
            if now >= next_series {
                let engine = self.rng.random_range(0..ENGINES);
                self.engine_faults.schedule_series(&mut self.rng, engine);
                let pause = self.rng.random_range(ENGINE_SERIES_PAUSE_MS);
                next_series = now + Duration::from_millis(pause * factor);
            }
            if now >= next_work {
                self.start_work();
                let pause = self.work_rng.random_range(WORK_PAUSE_MS);
                next_work = now + Duration::from_millis(pause);
            }
            self.inject_scheduled(now);
            self.restart_exited();
            tokio::time::sleep(TICK).await;
        }
    }

    fn start_caller(&self, number: usize, key: &'static str, requests: &RequestLog) {
        let entry = number % ENTRIES;
        let caller = Caller {
            number,
            entry,
            ip: self.ip(10 + entry),
            key,
            idle_time: self.idle_time.clone(),
            requests: requests.clone(),
        };
        tokio::spawn(caller.run(self.callers_stopped.clone()));
    }

    /// Carries out what is due of series of faults.
    fn inject_scheduled(&mut self, now: Instant) {
        let engines = self.engine_targets();
        for description in self.engine_faults.inject_due(&engines) {
            self.log(&description);
        }
        let due = self.publications.extract_if(.., |at| *at <= now).count();
        for _ in 0..due {
            let change = self.configuration.change(&mut self.work_rng);
            self.log(&format!("change of the configuration: {change}"));
            self.publish();
        }
        let due = self.namings.extract_if(.., |at| *at <= now).count();
        for _ in 0..due {
            self.name_next_version();
            let faults = &mut self.engine_faults;
            faults.schedule_corruption(&mut self.rng, ENGINES);
        }
        for (i, process) in self.processes.iter_mut().enumerate() {
            let is_stopped = self.paused.contains(&i) || self.stalls.is_stopped(i, now);
            if is_stopped != process.is_paused {
                if i >= ENGINES && is_stopped {
                    self.history.entries.begin(i - ENGINES);
                } else if i >= ENGINES {
                    self.history.entries.end(i - ENGINES);
                }
                process.signal(if is_stopped {
                    Signal::SIGSTOP
                } else {
                    Signal::SIGCONT
                });
            }
        }
    }

    /// Ends every fault and lets the callers run on until all engines must have been serving the newest
    /// version for a while, and at least for `time`.
    pub async fn run_without_faults(&mut self, time: Duration) {
        self.store.set_fault(StoreFault::None);
        for proxy in &self.store_proxies {
            proxy.set_link(Link::Healthy);
        }
        for (number, listed) in self.targets.iter().enumerate() {
            listed.proxy.set_link(Link::Healthy);
            self.history.links.end(number);
            listed.target.set_silence(Duration::ZERO);
            listed.target.refuse_rest(false);
        }
        self.list_all_targets();
        self.publications.clear();
        self.configuration.restore_routes();
        self.publish();
        let engines = self.engine_targets();
        self.engine_faults.end(&engines);
        self.namings.clear();
        self.paused.clear();
        self.stalls.end_all();
        for process in &mut self.processes {
            process.signal(Signal::SIGCONT);
        }
        (0..ENTRIES).for_each(|entry| self.history.entries.end(entry));
        self.faults_ended_at = Instant::now();
        self.log("the faults end");
        let until = self.faults_ended_at + time;
        while Instant::now() < until.max(self.update_limit()) {
            self.wait_without_faults(&engines).await;
        }
        self.start_full_load();
        let until = self.full_load_at + SERVING_TIME;
        while Instant::now() < until {
            self.wait_without_faults(&engines).await;
        }
        self.callers_stopped.store(true, Ordering::Relaxed);
        self.log_orders();
    }

    async fn wait_without_faults(&mut self, engines: &[Target]) {
        self.restart_exited();
        self.observe_updates(engines);
        tokio::time::sleep(TICK).await;
    }

    /// Sends as many requests at once that no engine is left out.
    fn start_full_load(&mut self) {
        self.full_load_at = Instant::now();
        let first = ENTRIES * CALLERS_PER_ENTRY;
        for number in first..first + ADDITIONAL_CALLERS {
            self.start_caller(number, API_KEYS[0], &self.additional_requests);
        }
    }

    /// When all engines must serve the newest version: within the bound after the last fault had its effect,
    /// which is later than its end if a call was still held or a process was still stopping.
    pub fn update_limit(&self) -> Instant {
        let engines = self.engine_targets();
        let held = engines.iter().filter_map(Target::held_until).max();
        let disturbed_until = held.max(self.restarted_at);
        disturbed_until.map_or(self.faults_ended_at, |at| at.max(self.faults_ended_at))
            + VERSION_TIME
    }

    fn observe_updates(&mut self, engines: &[Target]) {
        let newest = self.newest_version();
        for (i, engine) in engines.iter().enumerate() {
            if !self.updated_at.contains_key(&i) && engine.runs(newest) {
                self.updated_at.insert(i, Instant::now());
            }
        }
    }

    /// The newest version that was named.
    pub fn newest_version(&self) -> u64 {
        self.named_versions
            .last()
            .map_or(1, |(version, _)| *version)
    }

    fn engine_targets(&self) -> Vec<Target> {
        let targets = self.targets.iter();
        let engines = targets.filter(|target| target.service == "engines");
        engines.map(|engine| engine.target.clone()).collect()
    }

    /// Writes a line to the log of faults, which is kept beside those of the processes.
    fn log(&self, text: &str) {
        self.log_at(Instant::now(), text);
    }

    fn log_at(&self, at: Instant, text: &str) {
        let at = SystemTime::now() - at.elapsed();
        let at = at.duration_since(UNIX_EPOCH).unwrap().as_millis();
        let file = self.folder.join("faults.log");
        let mut options = std::fs::OpenOptions::new();
        let mut file = options.create(true).append(true).open(file).unwrap();
        writeln!(file, "{at} {text}").unwrap();
    }

    fn log_orders(&self) {
        for (i, engine) in self.engine_targets().iter().enumerate() {
            for order in engine.orders() {
                let text = format!(
                    "engine {i}: order for version {}, layers {:?}: {}, spoilt {:?}",
                    order.version, order.layers, order.status, order.spoilt_layers
                );
                self.log_at(order.handled_at, &text);
            }
        }
    }

    /// Restarts processes that have exited, and collects unexpected exits.
    fn restart_exited(&mut self) {
        for (i, process) in self.processes.iter_mut().enumerate() {
            let Some(succeeded) = process.exit_success() else {
                continue;
            };
            let was_asked_to_stop = self.asked_to_stop.remove(&i);
            if i >= ENGINES {
                self.disturbed_entries.push((i - ENGINES, Instant::now()));
            }
            if !was_asked_to_stop || !succeeded {
                self.unexpected_exits.push(process.addresses.name.clone());
            }
            process.restart();
            if i >= ENGINES {
                self.history.add_event(i - ENGINES, EntryEvent::Start);
            }
            self.paused.remove(&i);
            self.restarted_at = Some(Instant::now());
        }
    }

    /// What was seen of each engine.
    pub fn engines(&self) -> Vec<ObservedEngine> {
        let newest = self.newest_version();
        let engines = self.targets.iter();
        let engines = engines.filter(|target| target.service == "engines");
        let observe = |(i, engine): (usize, &ListedTarget)| ObservedEngine {
            id: engine.id.clone(),
            is_disturbed: self.engine_faults.is_disturbed(i),
            incomplete_loads: engine.target.incomplete_loads(),
            updated_at: self.updated_at.get(&i).copied(),
            version: engine.target.version(),
            runs_newest: engine.target.runs(newest),
        };
        engines.enumerate().map(observe).collect()
    }

    /// The targets behind links that are disturbed, with their numbers.
    pub fn targets_behind_links(&self) -> impl Iterator<Item = (usize, &str)> {
        let targets = self.targets.iter().enumerate().take(SERVICES);
        targets.map(|(number, listed)| (number, &*listed.id))
    }

    /// The name of the case that the seed drew.
    pub fn case_name(&self) -> &'static str {
        self.engine_faults.case.name
    }

    /// Keeps the logs of the processes if `keep`, and deletes them otherwise.
    pub fn keep_or_delete_logs(&self, keep: bool) {
        if keep {
            println!(
                "logs of seed {} are in {}",
                self.seed,
                self.folder.display()
            );
        } else {
            // Files that cannot be deleted do no harm.
            let _result = std::fs::remove_dir_all(&self.folder);
        }
    }
}
