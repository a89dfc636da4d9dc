//! The processes, stand-ins and links of one run, and the faults that shake them.

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
    Tries, //
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

/// Callers of each entry.
const CALLERS: usize = 4;

/// How long the processes have to come up.
const START_TIME: Duration = Duration::from_secs(2);

struct Listed {
    id: String,
    service: &'static str,
    target: Target,
    proxy: Proxy,
}

/// One run.
pub struct World {
    pub runs: Runs,
    pub tries: Tries,
    /// Keys that were taken away, and when.
    pub revoked: Vec<(&'static str, Instant)>,
    /// When the last fault ended.
    pub calm_at: Instant,
    /// Versions that were named, and when.
    pub named: Vec<(u64, Instant)>,
    /// Processes that ended although nobody ended them.
    pub own_ends: Vec<String>,
    folder: PathBuf,
    seed: u64,
    rng: Pcg64Mcg,
    store: Store,
    origin: SocketAddr,
    store_proxies: Vec<Proxy>,
    targets: Vec<Listed>,
    processes: Vec<Process>,
    stopping: BTreeSet<usize>,
    config_version: u64,
    keys: Vec<&'static str>,
}

impl World {
    pub async fn start(seed: u64) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // Left over from an earlier run, or not there.
        let _cleared = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::default();
        let mut world = Self {
            runs: Runs::default(),
            tries: Tries::default(),
            revoked: Vec::new(),
            calm_at: Instant::now(),
            named: Vec::new(),
            own_ends: Vec::new(),
            origin: listen(handle_origin_request).await,
            folder,
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            store_proxies: Vec::new(),
            targets: Vec::new(),
            processes: Vec::new(),
            stopping: BTreeSet::new(),
            config_version: 0,
            keys: API_KEYS.to_vec(),
            store,
        };
        world.publish();
        let store = world.store.start().await;
        for i in 0..SERVICES {
            world
                .add_target(format!("d-{i}"), "desk", "127.0.0.1:0".into())
                .await;
        }
        for i in 0..ENGINES {
            let ip = world.ip(100 + i);
            let engine = world
                .add_target(format!("e-{i}"), "engines", format!("{ip}:8001"))
                .await;
            world
                .add_process("agent", format!("agent-{i}"), ip, store, Some(engine))
                .await;
        }
        for i in 0..ENTRIES {
            let ip = world.ip(10 + i);
            world
                .add_process("entry", format!("entry-{i}"), ip, store, None)
                .await;
        }
        tokio::time::sleep(START_TIME).await;
        world
    }

    /// Loopback addresses of this run's own, so that every instance has the same ports.
    fn ip(&self, place: usize) -> String {
        let run = std::process::id() % 200 + 20;
        format!("127.{run}.{}.{place}", self.seed % 250)
    }

    async fn add_target(&mut self, id: String, service: &'static str, at: String) -> SocketAddr {
        let target = match service {
            "engines" => Target::engine(&id, &self.runs),
            _ => Target::service(&id, &self.runs),
        };
        let answering = target.clone();
        let address = listen_on(&at, move |asked| answering.respond(asked)).await;
        let proxy = Proxy::start(address).await;
        // Agents are found by the address of their engine, so that engines are listed themselves.
        let listed_at = if service == "engines" {
            address
        } else {
            proxy.address()
        };
        publish_target(&self.store, &id, service, listed_at, false);
        self.targets.push(Listed {
            id,
            service,
            target,
            proxy,
        });
        address
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
        };
        self.store_proxies.push(proxy);
        self.processes
            .push(Process::start(&self.folder, role, addresses));
    }

    fn publish(&mut self) {
        self.config_version += self.rng.random_range(1..4);
        publish_config(&self.store, self.config_version, &self.keys, self.origin);
    }

    /// Lets callers call while faults come in series and overlap.
    pub async fn shake(&mut self, time: Duration) {
        let until = Instant::now() + time;
        let callers_end = until + crate::RECOVERY;
        for entry in 0..ENTRIES {
            for i in 0..CALLERS {
                let ip = self.ip(10 + entry);
                let number = entry * CALLERS + i;
                let key = API_KEYS[i % API_KEYS.len()];
                let tries = self.tries.clone();
                tokio::spawn(callers::call(tries, number, ip, key, callers_end));
            }
        }
        while Instant::now() < until {
            self.fault();
            self.look_after();
            let pause = self.rng.random_range(50..900);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Ends every fault, and lets callers call on.
    pub async fn calm(&mut self, time: Duration) {
        self.store.set_fault(StoreFault::None);
        for proxy in &self.store_proxies {
            proxy.set(Link::Well);
        }
        for listed in &self.targets {
            listed.proxy.set(Link::Well);
        }
        for process in &mut self.processes {
            process.signal(Signal::SIGCONT);
        }
        self.calm_at = Instant::now();
        let until = self.calm_at + time;
        while Instant::now() < until {
            self.look_after();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Starts processes again that were stopped, and notes those that ended by themselves.
    fn look_after(&mut self) {
        for (i, process) in self.processes.iter_mut().enumerate() {
            let Some(in_order) = process.has_ended() else {
                continue;
            };
            let asked = self.stopping.remove(&i);
            if !asked || !in_order {
                self.own_ends.push(process.addresses.name.clone());
            }
            process.restart();
        }
    }

    fn fault(&mut self) {
        match self.rng.random_range(0..12) {
            0 | 1 => self.disturb_store_link(),
            2 | 3 => self.disturb_target_link(),
            4 => self.pause_or_wake(),
            5 => self.kill(),
            6 => self.stop(),
            7 => self.hang_up(),
            8 => self.change_store(),
            9 => self.name_next_version(),
            10 => self.change_configuration(),
            _ => self.relist(),
        }
    }

    fn draw_link(&mut self) -> Link {
        let delay = Duration::from_millis(self.rng.random_range(5..300));
        let links = [
            Link::Well,
            Link::Delayed(delay),
            Link::NoAnswers,
            Link::Silent,
            Link::Reset,
        ];
        links[self.rng.random_range(0..links.len())]
    }

    fn disturb_store_link(&mut self) {
        let link = self.draw_link();
        let at = self.rng.random_range(0..self.store_proxies.len());
        self.store_proxies[at].set(link);
    }

    fn disturb_target_link(&mut self) {
        let link = self.draw_link();
        let at = self.rng.random_range(0..SERVICES);
        self.targets[at].proxy.set(link);
    }

    fn pause_or_wake(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        let signal = if self.processes[at].paused {
            Signal::SIGCONT
        } else {
            Signal::SIGSTOP
        };
        self.processes[at].signal(signal);
    }

    fn kill(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        self.stopping.remove(&at);
        self.processes[at].restart();
    }

    fn stop(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        self.stopping.insert(at);
        self.processes[at].signal(Signal::SIGTERM);
    }

    fn hang_up(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        self.processes[at].signal(Signal::SIGHUP);
    }

    fn change_store(&mut self) {
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
        let version = self.named.last().map_or(2, |(version, _)| version + 1);
        if version > 3 {
            return;
        }
        publish_version(&self.store, version);
        self.named.push((version, Instant::now()));
    }

    fn change_configuration(&mut self) {
        if self.keys.len() > 1 && self.rng.random_bool(0.3) {
            let key = self.keys.remove(1);
            self.publish();
            self.revoked.push((key, Instant::now()));
        } else {
            self.publish();
        }
    }

    /// Takes a plain target off the list, or puts it back.
    fn relist(&mut self) {
        let at = self.rng.random_range(0..SERVICES);
        let listed = &self.targets[at];
        if self.rng.random_bool(0.4) {
            delete_target(&self.store, &listed.id);
        } else {
            let draining = self.rng.random_bool(0.2);
            let address = listed.proxy.address();
            publish_target(&self.store, &listed.id, listed.service, address, draining);
        }
    }

    /// The versions that engines run, and loads of spoilt pieces.
    pub fn engines(&self) -> Vec<(String, Option<u64>, u64)> {
        let engines = self.targets.iter().filter(|t| t.service == "engines");
        engines
            .map(|t| {
                (
                    t.id.clone(),
                    t.target.version(),
                    t.target.incomplete_loads(),
                )
            })
            .collect()
    }

    /// Drops the logs of a run that held.
    pub fn keep_logs(&self, keep: bool) {
        if keep {
            println!(
                "logs of seed {} are in {}",
                self.seed,
                self.folder.display()
            );
        } else {
            // Nothing is lost if a file stays.
            let _cleared = std::fs::remove_dir_all(&self.folder);
        }
    }
}
