//! Clients that send one request on each connection.

use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::fleet::{
    Failure,
    Record, //
};
use crate::http::exchange;
use crate::wire::fill;

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    /// `None` without an answer.
    pub status: Option<u16>,
}

/// The clients of a route with one key. Clones share their requests.
#[derive(Clone)]
pub struct Callers {
    key: &'static str,
    path: &'static str,
    next: Arc<AtomicU64>,
    sent: Arc<Mutex<Vec<Sent>>>,
    record: Record,
}

impl Callers {
    pub fn new(key: &'static str, path: &'static str, record: &Record) -> Self {
        Self {
            key,
            path,
            next: Arc::default(),
            sent: Arc::default(),
            record: record.clone(),
        }
    }

    /// Sends one request that may run once.
    pub fn order(&self, address: SocketAddr) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}{number:010x}", &self.key[..6]);
        let values = [("path", self.path), ("id", &id), ("key", self.key)];
        let request = fill(include_str!("../wire/order.txt"), &values).replace('\n', "\r\n");
        let at = Instant::now();
        self.record
            .line(&format!("{id} sent with the key {}", self.key));
        let answer = exchange(address, request.as_bytes(), Duration::from_secs(2));
        let status = answer.as_ref().ok().map(|answer| answer.status);
        let shown = answer.map(|answer| answer.status.to_string());
        let shown = shown.unwrap_or_else(|e| format!("with no answer: {e}"));
        self.record.line(&format!("{id} answered {shown}"));
        self.sent.lock().unwrap().push(Sent { id, at, status });
    }

    /// Sends requests one after the other for some time.
    pub fn order_for(&self, address: SocketAddr, time: Duration, pause: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.order(address);
            thread::sleep(pause);
        }
    }

    /// Sends requests at the same moment.
    pub fn order_at_once(&self, address: SocketAddr, count: usize) -> Result<(), Failure> {
        let start = || {
            let callers = self.clone();
            thread::spawn(move || callers.order(address))
        };
        let started: Vec<_> = (0..count).map(|_| start()).collect();
        for caller in started {
            caller.join().map_err(|_| "a caller panicked")?;
        }
        Ok(())
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }
}

/// A configuration with one route for orders, and one tenant unless that was removed.
pub fn config(version: u64, has_tenant: bool) -> String {
    let tenant = fill(include_str!("../wire/tenant.json"), &[("key", KEY)]);
    let tenants = if has_tenant { &tenant } else { "" };
    let version = version.to_string();
    let values = [("version", version.as_str()), ("tenants", tenants)];
    fill(include_str!("../wire/config.json"), &values)
}

/// The key of the tenant.
pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";
