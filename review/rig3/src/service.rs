//! A stand-in for the engines of a plain service.

use std::io::Write;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::sync::atomic::{
    AtomicBool,
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
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use crate::fleet::{
    listen,
    Failure,
    Record, //
};
use crate::http::{
    answer,
    serve,
    Request, //
};
use crate::store::Store;
use crate::wire::fill;
use crate::wire::name;

/// A request that an engine began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub id: String,
    pub at: Instant,
}

/// All runs of all engines.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// One engine.
#[derive(Clone)]
pub struct Engine(Arc<Inner>);

struct Inner {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    slots: u32,
    work: Duration,
    sequence: AtomicU64,
    /// Whether it says in its answers that it leaves.
    is_leaving: AtomicBool,
    /// Whether it has an entry in the store and writes it.
    is_listed: AtomicBool,
    /// Whether it has exited.
    is_gone: AtomicBool,
    runs: Runs,
    record: Record,
}

/// What is the same for all engines of a service.
#[derive(Clone)]
pub struct Common {
    pub service: &'static str,
    pub zone: &'static str,
    pub work: Duration,
    pub runs: Runs,
    pub record: Record,
}

/// How often an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

impl Engine {
    pub fn start(id: &str, ip: IpAddr, store: &Store, common: &Common) -> Result<Self, Failure> {
        let listener = listen(ip)?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH)?;
        let engine = Self(Arc::new(Inner {
            id: id.to_owned(),
            service: common.service.to_owned(),
            zone: common.zone.to_owned(),
            address: listener.local_addr()?,
            born: since_epoch.as_millis() as u64,
            slots: 6,
            work: common.work,
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_listed: AtomicBool::new(true),
            is_gone: AtomicBool::new(false),
            runs: common.runs.clone(),
            record: common.record.clone(),
        }));
        let serving = engine.clone();
        serve(listener, move |request, tcp| {
            let is_gone = || serving.0.is_gone.load(Ordering::Relaxed);
            if is_gone() {
                return Ok(false);
            }
            let answer = serving.respond(request);
            if is_gone() {
                return Ok(false);
            }
            tcp.write_all(&answer).map(|()| true)
        });
        engine.write_entry(store);
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if beating.0.is_listed.load(Ordering::Relaxed) {
                beating.write_entry(&store);
            }
        });
        Ok(engine)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    fn key(&self) -> String {
        format!("servers/{}", self.0.id)
    }

    fn write_entry(&self, store: &Store) {
        let engine = &*self.0;
        let sequence = engine.sequence.fetch_add(1, Ordering::Relaxed);
        let (address, slots) = (engine.address.to_string(), engine.slots.to_string());
        let (sequence, born) = (sequence.to_string(), engine.born.to_string());
        let values = [
            ("service", engine.service.as_str()),
            ("address", &address),
            ("zone", &engine.zone),
            ("slots", &slots),
            ("sequence", &sequence),
            ("born", &born),
        ];
        let entry = fill(include_str!("../wire/entry.json"), &values);
        store.put(&self.key(), &entry);
    }

    /// Begins to leave without a report that it drains: the entry goes, all answers say that it leaves, and it
    /// serves on.
    pub fn leave(&self, store: &Store) {
        self.0.is_listed.store(false, Ordering::Relaxed);
        self.0.is_leaving.store(true, Ordering::Relaxed);
        store.delete(&self.key());
    }

    /// Exits: what it still runs gets no answer.
    pub fn exit(&self) {
        self.0.is_gone.store(true, Ordering::Relaxed);
    }

    /// Removes the entry again, which a restored store has back.
    pub fn remove_entry(&self, store: &Store) {
        store.delete(&self.key());
    }

    fn respond(&self, request: &Request) -> Vec<u8> {
        let engine = &*self.0;
        let id = request.header(name("id-header"));
        let expected = request.header(name("expected-header"));
        let mut headers = vec![
            (name("instance-header"), engine.id.as_str()),
            (name("id-header"), id),
            ("Keep-Alive", "timeout=5"),
        ];
        if engine.is_leaving.load(Ordering::Relaxed) {
            headers.push((name("leaving-header"), "1"));
        }
        if request.path() == "/health" {
            return answer("200 OK", &headers, b"");
        }
        if !expected.is_empty() && expected != engine.id {
            return answer("421 Misdirected Request", &headers, b"");
        }
        engine.record.line(&format!("{} runs {id}", engine.id));
        engine.runs.lock().unwrap().push(Run {
            engine: engine.id.clone(),
            id: id.to_owned(),
            at: Instant::now(),
        });
        thread::sleep(engine.work);
        let signature = format!("sig.{id}");
        headers.push((name("signature-header"), &signature));
        answer("200 OK", &headers, &[b'a'; 800])
    }
}
