//! A small site: three engines of a plain service, an entry and a store.

use std::net::SocketAddr;
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::callers::config;
use crate::fleet::{
    listen,
    loopback,
    Failure,
    Folder,
    Ports,
    Process,
    Record, //
};
use crate::service::{
    Common,
    Engine,
    Runs, //
};
use crate::store::Store;
use crate::wire::name;

/// Three engines, an entry and a store.
pub struct Site {
    _folder: Folder,
    pub runs: Runs,
    pub store: Store,
    pub engines: Vec<Engine>,
    pub entry: Process,
}

impl Site {
    /// Starts all, with this time of work on an order.
    pub fn start(record: &Record, work: Duration) -> Result<Self, Failure> {
        let folder = Folder::create()?;
        let runs = Runs::default();
        let (store, store_address): (Store, SocketAddr) = Store::start(listen(loopback(1))?);
        store.put(name("config-key"), &config(3, true));
        let common = Common {
            service: "desk",
            zone: "accra-a",
            work,
            runs: runs.clone(),
            record: record.clone(),
        };
        let mut engines = Vec::new();
        for number in 0..3 {
            let ip = loopback(100 + number);
            engines.push(Engine::start(&format!("i-{number}"), ip, &store, &common)?);
        }
        let ip = loopback(10);
        let ports = Ports::find(&[ip])?;
        let entry = Process::entry(
            folder.path(),
            "frontend-accra-a-1",
            ip,
            ports,
            store_address,
        )?;
        entry.wait_until_ready(Duration::from_secs(10))?;
        record.line("the entry is ready");
        Ok(Self {
            _folder: folder,
            runs,
            store,
            engines,
            entry,
        })
    }
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
