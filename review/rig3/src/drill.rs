//! The store comes back from a copy, which has what was taken away since.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::callers::{config, Callers, KEYS};
use crate::fleet::{listen, loopback, Failure, Folder, Ports, Process, Record};
use crate::service::{Common, Engine, Runs};
use crate::store::Store;
use crate::Verdict;

/// `drain_timeout_ms`, `revoke_timeout_ms` and `touch_ms`.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
const REVOKE_TIMEOUT: Duration = Duration::from_millis(5000);
const TOUCH_TIME: Duration = Duration::from_millis(3000);

/// The store removes an entry after three heartbeat intervals of silence.
const EXPIRY: Duration = Duration::from_millis(3600);

/// How long the store is away in the drill, and how old its copy is when it comes back.
const AWAY: Duration = Duration::from_millis(500);
const COPY_AGE: Duration = Duration::from_millis(5000);

/// When the operator has written again what the store lost.
const WRITTEN_AGAIN: Duration = Duration::from_millis(2000);

/// How long the platform takes to start a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Three engines, an entry and a store.
struct Site {
    _folder: Folder,
    runs: Runs,
    store: Store,
    engines: Vec<Engine>,
    entry: Process,
}

impl Site {
    fn start(record: &Record) -> Result<Self, Failure> {
        let folder = Folder::create()?;
        let runs = Runs::default();
        let (store, store_address): (Store, SocketAddr) = Store::start(listen(loopback(1))?);
        store.put("op/config", &config(3, &KEYS));
        let common = Common {
            service: "desk",
            zone: "accra-a",
            work: Duration::from_millis(15),
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

    /// The store goes away and comes back from its copy.
    fn drill(&self, record: &Record) {
        self.store.set_away(true);
        record.line("drill: the store is away");
        thread::sleep(AWAY);
        self.store.restore();
        self.store.set_away(false);
        record
            .line("drill: the store is back from its copy, and has not got what was written since");
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// An engine that has left, and serves on for a while, is named by the copy.
pub fn leaving_engine(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let site = Site::start(record)?;
    let callers = Callers::new(KEYS[0], "/order/1", record);
    let address = site.entry.callers();
    callers.order_for(address, Duration::from_secs(4), Duration::from_millis(40));
    site.store.take_copy();
    record.line("the store's copy is taken");
    let copied_at = Instant::now();
    // Clients are quiet around the moment, so that no answer tells the entry that the engine leaves.
    thread::sleep(Duration::from_millis(500));
    let leaving = &site.engines[0];
    leaving.leave(&site.store);
    let left_at = Instant::now();
    record.line("i-0 leaves without a report: the store has acknowledged that its entry is gone");
    thread::sleep(Duration::from_millis(1000));
    callers.order_for(
        address,
        Duration::from_millis(500),
        Duration::from_millis(40),
    );
    // A quiet time of the clients.
    sleep_until(copied_at + COPY_AGE - AWAY);
    if has_trouble {
        site.drill(record);
    } else {
        thread::sleep(AWAY);
    }
    let back_at = Instant::now();
    sleep_until(back_at + TOUCH_TIME + Duration::from_millis(150));
    record.line("the store has been without disruption for touch_ms: the entry is in touch");
    let burst_at = Instant::now();
    for _ in 0..3 {
        callers.order_at_once(address, 12)?;
        thread::sleep(Duration::from_millis(50));
    }
    sleep_until(back_at + EXPIRY);
    leaving.remove_entry(&site.store);
    record.line("the entry of i-0 has expired, as i-0 does not write it");
    thread::sleep(Duration::from_millis(500));
    let served = callers
        .sent()
        .iter()
        .filter(|sent| sent.status == Some(200))
        .count();
    if served * 2 < callers.sent().len() {
        return Err("most requests were not served".into());
    }
    let runs = site.runs.lock().unwrap();
    let late = runs.iter().filter(|run| {
        run.engine == leaving.id() && run.at > left_at + DRAIN_TIMEOUT && run.at >= burst_at
    });
    let ids: Vec<&str> = late.map(|run| run.id.as_str()).collect();
    Ok(if ids.is_empty() {
        Verdict::Held
    } else {
        let after = burst_at - left_at;
        Verdict::Broken(format!(
            "{} requests reached i-0 {after:?} after it left: {ids:?}",
            ids.len()
        ))
    })
}

/// A key that was taken away is in the copy, and an entry starts before the operator has written again.
pub fn revoked_key(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let mut site = Site::start(record)?;
    let revoked = Callers::new(KEYS[0], "/order/1", record);
    let address = site.entry.callers();
    revoked.order_for(address, Duration::from_secs(2), Duration::from_millis(100));
    site.store.take_copy();
    record.line("the store's copy is taken");
    let copied_at = Instant::now();
    thread::sleep(Duration::from_millis(500));
    let without_key = config(5, &KEYS[1..]);
    site.store.put("op/config", &without_key);
    let revoked_at = Instant::now();
    record.line("the store has acknowledged a configuration that takes the key away");
    let time = (copied_at + COPY_AGE - AWAY).saturating_duration_since(Instant::now());
    revoked.order_for(address, time, Duration::from_millis(100));
    if has_trouble {
        site.drill(record);
        let back_at = Instant::now();
        site.entry.kill()?;
        record.line("the entry is killed");
        thread::sleep(RESTART_DELAY);
        site.entry.start_again()?;
        record.line("the entry is started again");
        let writing = (site.store.clone(), record.clone());
        thread::spawn(move || {
            sleep_until(back_at + WRITTEN_AGAIN);
            writing.0.put("op/config", &without_key);
            writing
                .1
                .line("the operator has written the configuration again");
        });
    }
    sleep_until(revoked_at + REVOKE_TIMEOUT);
    revoked.order_for(address, Duration::from_secs(4), Duration::from_millis(50));
    let sent = revoked.sent();
    let before = sent.iter().filter(|sent| sent.at < copied_at);
    if !before.clone().any(|sent| sent.status == Some(200)) {
        return Err("no request was served before".into());
    }
    let late = sent
        .iter()
        .filter(|sent| sent.at > revoked_at + REVOKE_TIMEOUT);
    let runs = site.runs.lock().unwrap();
    let ran: Vec<&str> = late
        .filter(|sent| runs.iter().any(|run| run.id == sent.id))
        .map(|sent| sent.id.as_str())
        .collect();
    Ok(if ran.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{} requests that were sent more than {REVOKE_TIMEOUT:?} after the key was taken away ran: {ran:?}",
            ran.len()
        ))
    })
}
