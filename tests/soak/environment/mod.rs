//! The processes, stand-in targets and links of one run, and the injection of faults.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::callers::{
    self,
    RequestLog, //
};
use crate::processes::Process;
use crate::proxy::{
    Link,
    Proxy, //
};
use crate::standin::engine::{
    handle_origin_request,
    Runs,
    Target, //
};
use crate::standin::publish::{
    delete_target,
    publish_config,
    publish_target,
    publish_version,
    ProcessAddresses,
    API_KEYS, //
};
use crate::standin::{
    listen,
    listen_on,
    Store,
    StoreFault, //
};

const ENTRIES: usize = 3;
const ENGINES: usize = 3;
const SERVICES: usize = 3;

/// The number of callers of each entry.
const CALLERS_PER_ENTRY: usize = 4;

/// How long the processes have to start.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// A target in the store, and the proxy in front of it.
struct ListedTarget {
    id: String,
    service: &'static str,
    target: Target,
    address: SocketAddr,
    proxy: Proxy,
}

/// Everything that one run uses.
pub struct Environment {
    pub runs: Runs,
    pub requests: RequestLog,
    /// Revoked API keys, and when they were revoked.
    pub revoked_keys: Vec<(&'static str, Instant)>,
    /// When the last fault ended.
    pub faults_ended_at: Instant,
    /// Versions that operators named, and when.
    pub named_versions: Vec<(u64, Instant)>,
    /// The target that says that it leaves, and since when.
    pub leaving: Option<(String, Instant)>,
    /// Entries that were stopped, paused or restarted, and when.
    pub disturbed_entries: Vec<(usize, Instant)>,
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
    config_version: u64,
    keys: Vec<&'static str>,
}

impl Environment {
    pub async fn start(seed: u64) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // The directory may be left over from an earlier run, or may not exist.
        let _result = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::default();
        let mut environment = Self {
            runs: Runs::default(),
            requests: RequestLog::default(),
            revoked_keys: Vec::new(),
            faults_ended_at: Instant::now(),
            named_versions: Vec::new(),
            leaving: None,
            disturbed_entries: Vec::new(),
            unexpected_exits: Vec::new(),
            origin: listen(handle_origin_request).await,
            folder,
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            store_proxies: Vec::new(),
            targets: Vec::new(),
            processes: Vec::new(),
            asked_to_stop: BTreeSet::new(),
            config_version: 0,
            keys: API_KEYS.to_vec(),
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
        let responder = target.clone();
        let server_address = listen_on(&address, move |request| responder.respond(request)).await;
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
        publish_config(&self.store, self.config_version, &self.keys, self.origin);
    }

    /// Runs the callers and injects random faults, which may overlap, for `time`. The callers run
    /// on until the end of the recovery time.
    pub async fn run_with_faults(&mut self, time: Duration) {
        let until = Instant::now() + time;
        let callers_end = until + crate::RECOVERY_TIME;
        for entry in 0..ENTRIES {
            for i in 0..CALLERS_PER_ENTRY {
                let ip = self.ip(10 + entry);
                let number = entry * CALLERS_PER_ENTRY + i;
                let key = API_KEYS[i % API_KEYS.len()];
                let requests = self.requests.clone();
                tokio::spawn(callers::run_caller(
                    requests,
                    entry,
                    number,
                    ip,
                    key,
                    callers_end,
                ));
            }
        }
        while Instant::now() < until {
            self.inject_fault().await;
            self.restart_exited();
            let pause = self.rng.random_range(50..900);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Ends every fault and lets the callers run on for `time`.
    pub async fn run_without_faults(&mut self, time: Duration) {
        self.store.set_fault(StoreFault::None);
        for proxy in &self.store_proxies {
            proxy.set_link(Link::Healthy);
        }
        for listed in &self.targets {
            listed.proxy.set_link(Link::Healthy);
            listed.target.set_silence(Duration::ZERO);
        }
        for process in &mut self.processes {
            process.signal(Signal::SIGCONT);
        }
        self.faults_ended_at = Instant::now();
        let until = self.faults_ended_at + time;
        while Instant::now() < until {
            self.restart_exited();
            tokio::time::sleep(Duration::from_millis(100)).await;
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
        }
    }

    async fn inject_fault(&mut self) {
        match self.rng.random_range(0..17) {
            0 | 1 => self.change_store_link(),
            2 | 3 => self.change_target_link(),
            4 => self.pause_or_resume(),
            5 => self.kill_and_restart(),
            6 => self.request_stop(),
            7 => self.request_reload(),
            8 => self.change_store_fault(),
            9 => self.name_next_version(),
            10 => self.change_configuration(),
            11 => self.restore_store(),
            12 => self.announce_leaving(),
            13 | 14 => self.change_silence(),
            15 => self.starve_process().await,
            _ => self.list_or_unlist_target(),
        }
    }

    fn random_link(&mut self) -> Link {
        let delay = Duration::from_millis(self.rng.random_range(5..300));
        let links = [
            Link::Healthy,
            Link::Delayed(delay),
            Link::DropResponses,
            Link::DropAll,
            Link::Reset,
        ];
        links[self.rng.random_range(0..links.len())]
    }

    fn change_store_link(&mut self) {
        let link = self.random_link();
        let index = self.rng.random_range(0..self.store_proxies.len());
        self.store_proxies[index].set_link(link);
    }

    fn change_target_link(&mut self) {
        let link = self.random_link();
        let index = self.rng.random_range(0..SERVICES);
        self.targets[index].proxy.set_link(link);
    }

    /// Picks a process for a fault that excuses it from what it knew before.
    fn disturb_process(&mut self) -> usize {
        let index = self.rng.random_range(0..self.processes.len());
        if index >= ENGINES {
            self.disturbed_entries
                .push((index - ENGINES, Instant::now()));
        }
        index
    }

    /// Restores the store from its last copy, or takes one. Operators and targets write again what
    /// was lost.
    fn restore_store(&mut self) {
        if !self.store.has_copy() || self.rng.random_bool(0.4) {
            self.store.take_copy();
            return;
        }
        self.store.restore();
        publish_config(&self.store, self.config_version, &self.keys, self.origin);
        if let Some((version, _)) = self.named_versions.last() {
            publish_version(&self.store, *version);
        }
        for listed in &self.targets {
            let address = match listed.service {
                "engines" => listed.address,
                _ => listed.proxy.address(),
            };
            publish_target(&self.store, &listed.id, listed.service, address, false);
        }
    }

    /// Lets one target say that it leaves, until the end of the run.
    fn announce_leaving(&mut self) {
        if self.leaving.is_none() {
            let leaving = &self.targets[0];
            leaving.target.announce_leaving();
            self.leaving = Some((leaving.id.clone(), Instant::now()));
        }
    }

    /// Lets a target fall silent for a second or so in its answers, or no longer. That is no fault of a sound
    /// target.
    fn change_silence(&mut self) {
        let index = self.rng.random_range(0..self.targets.len());
        let silence = match self.rng.random_range(0..3) {
            0 => Duration::ZERO,
            _ => Duration::from_millis(self.rng.random_range(200..1500)),
        };
        self.targets[index].target.set_silence(silence);
    }

    /// Lets a process run for a part of each tenth of a second only, as on an instance with a share of a
    /// core.
    async fn starve_process(&mut self) {
        const PERIOD: Duration = Duration::from_millis(100);
        let index = self.disturb_process();
        let process = &mut self.processes[index];
        if process.is_paused {
            return;
        }
        let running = Duration::from_millis(self.rng.random_range(10..40));
        for _ in 0..self.rng.random_range(5..15) {
            process.signal(Signal::SIGSTOP);
            tokio::time::sleep(PERIOD - running).await;
            process.signal(Signal::SIGCONT);
            tokio::time::sleep(running).await;
        }
    }

    fn pause_or_resume(&mut self) {
        let index = self.disturb_process();
        let signal = if self.processes[index].is_paused {
            Signal::SIGCONT
        } else {
            Signal::SIGSTOP
        };
        self.processes[index].signal(signal);
    }

    fn kill_and_restart(&mut self) {
        let index = self.disturb_process();
        self.asked_to_stop.remove(&index);
        self.processes[index].restart();
    }

    fn request_stop(&mut self) {
        let index = self.disturb_process();
        self.asked_to_stop.insert(index);
        self.processes[index].signal(Signal::SIGTERM);
    }

    fn request_reload(&mut self) {
        let index = self.rng.random_range(0..self.processes.len());
        self.processes[index].signal(Signal::SIGHUP);
    }

    fn change_store_fault(&mut self) {
        let faults = [
            StoreFault::None,
            StoreFault::None,
            StoreFault::Busy,
            StoreFault::Unresponsive,
        ];
        self.store
            .set_fault(faults[self.rng.random_range(0..faults.len())]);
        if self.rng.random_bool(0.3) {
            self.store.compact();
        }
    }

    fn name_next_version(&mut self) {
        let version = self
            .named_versions
            .last()
            .map_or(2, |(version, _)| version + 1);
        if version > 3 {
            return;
        }
        publish_version(&self.store, version);
        self.named_versions.push((version, Instant::now()));
    }

    fn change_configuration(&mut self) {
        if self.keys.len() > 1 && self.rng.random_bool(0.3) {
            let key = self.keys.remove(1);
            self.publish();
            self.revoked_keys.push((key, Instant::now()));
        } else {
            self.publish();
        }
    }

    /// Removes the target of a service from the store, or adds it again.
    fn list_or_unlist_target(&mut self) {
        let index = self.rng.random_range(0..SERVICES);
        let listed = &self.targets[index];
        if self.rng.random_bool(0.4) {
            delete_target(&self.store, &listed.id);
        } else {
            let is_draining = self.rng.random_bool(0.2);
            let address = listed.proxy.address();
            publish_target(
                &self.store,
                &listed.id,
                listed.service,
                address,
                is_draining,
            );
        }
    }

    /// The id of each engine, the version that it runs, and how often it was ordered to load
    /// corrupt pieces.
    pub fn engines(&self) -> Vec<(String, Option<u64>, u64)> {
        let engines = self
            .targets
            .iter()
            .filter(|target| target.service == "engines");
        engines
            .map(|engine| {
                let target = &engine.target;
                (
                    engine.id.clone(),
                    target.version(),
                    target.incomplete_loads(),
                )
            })
            .collect()
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
