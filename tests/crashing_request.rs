//! A request that crashes each target that runs it, sent by its caller to one entry after the other.
//! The entries and agents are real processes.

#[path = "soak/processes.rs"]
#[expect(dead_code, reason = "the soak also signals processes")]
mod processes;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::path::PathBuf;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use processes::Process;
use standin::engine::{
    Runs,
    Target, //
};
use standin::publish::{
    delete_target,
    publish_config,
    publish_target,
    request_text,
    ProcessAddresses,
    API_KEYS,
    CALLERS_PORT, //
};
use standin::{
    listen,
    listen_on,
    ReceivedRequest,
    ResponseStep,
    Store, //
};
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::time::{
    sleep,
    timeout, //
};

const ENTRIES: usize = 5;
const ENGINES: usize = 3;
const DESKS: usize = 4;

/// The request that crashes targets, on a route whose requests run at most once.
const CRASHING_ORDER: (&str, &str) = ("POST", "/order/crash");

/// The same on a route whose requests are sent to a second target after a crash.
const CRASHING_LOOKUP: (&str, &str) = ("GET", "/look/crash");

/// `touch_ms` of the platform: what a process must have learned within this time counts for it.
const TOUCH_TIME: Duration = Duration::from_secs(3);

/// The sends that the platform allows later than that after the third crash.
const ALLOWED_LATE_SENDS: usize = 3;

/// How long processes may take to start, and callers wait for an answer.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// A plain target that crashes when it gets the crashing request and starts again under a new name.
#[derive(Clone)]
struct Desk {
    store: Store,
    number: usize,
    starts: Arc<Mutex<usize>>,
    crashes: Arc<Mutex<usize>>,
}

impl Desk {
    fn name(&self, start: usize) -> String {
        format!("d-{}-{start}", self.number)
    }

    async fn start(store: &Store, number: usize, crashes: &Arc<Mutex<usize>>) {
        let desk = Self {
            store: store.clone(),
            number,
            starts: Arc::default(),
            crashes: crashes.clone(),
        };
        let address = Arc::new(Mutex::new(None));
        let own_address = address.clone();
        let responder = desk.clone();
        let bound = listen(move |request| {
            let address = own_address.lock().unwrap().unwrap();
            responder.respond(request, address)
        })
        .await;
        *address.lock().unwrap() = Some(bound);
        publish_target(store, &desk.name(0), "desk", bound, false);
    }

    fn respond(
        &self,
        request: &ReceivedRequest,
        address: std::net::SocketAddr,
    ) -> Vec<ResponseStep> {
        let mut starts = self.starts.lock().unwrap();
        let target = Target::service(&self.name(*starts), &Runs::default());
        if !request.path.ends_with("/crash") || target.rejects(request) {
            return target.respond(request);
        }
        *self.crashes.lock().unwrap() += 1;
        delete_target(&self.store, &self.name(*starts));
        *starts += 1;
        publish_target(&self.store, &self.name(*starts), "desk", address, false);
        vec![ResponseStep::Reset]
    }
}

struct Fleet {
    entries: Vec<Process>,
    agents: Vec<Process>,
    crashes: Arc<Mutex<usize>>,
}

impl Fleet {
    async fn start(number: u8) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crashing-{number}"));
        std::fs::create_dir_all(&folder).unwrap();
        let run = std::process::id() % 200 + 20;
        let ip = |host: usize| format!("127.{run}.{}.{host}", 251 + number);
        let store = Store::default();
        let origin = listen(standin::engine::handle_origin_request).await;
        publish_config(&store, 1, &API_KEYS, origin);
        let crashes = Arc::default();
        for desk in 0..DESKS {
            Desk::start(&store, desk, &crashes).await;
        }
        let store_address = store.start().await;
        let process = |role, name: String, ip, engine| {
            let addresses = ProcessAddresses {
                name,
                ip,
                store: store_address,
                engine,
            };
            Process::start(&folder, role, addresses)
        };
        let mut agents = Vec::new();
        for i in 0..ENGINES {
            let id = format!("e-{i}");
            let engine = Target::engine(&id, &Runs::default());
            let responder = move |request: &ReceivedRequest| engine.respond(request);
            let address = listen_on(&format!("{}:8001", ip(100 + i)), responder).await;
            publish_target(&store, &id, "engines", address, false);
            agents.push(process(
                "agent",
                format!("agent-{i}"),
                ip(100 + i),
                Some(address),
            ));
        }
        let entries = (0..ENTRIES)
            .map(|i| process("entry", format!("entry-{i}"), ip(10 + i), None))
            .collect();
        let mut fleet = Self {
            entries,
            agents,
            crashes,
        };
        for entry in 0..ENTRIES {
            fleet.wait_until_serving(entry).await;
        }
        fleet
    }

    fn crash_count(&self) -> usize {
        *self.crashes.lock().unwrap()
    }

    /// Sends a request to an entry and returns its answer, or nothing if there is none.
    async fn send(&self, entry: usize, (method, path): (&str, &str)) -> String {
        let ip = &self.entries[entry].addresses.ip;
        let Ok(mut tcp) = TcpStream::connect(format!("{ip}:{CALLERS_PORT}")).await else {
            return String::new();
        };
        let text = request_text(method, path, "r-1", API_KEYS[0]);
        let mut buf = vec![0; 4096];
        let exchange = async {
            tcp.write_all(text.as_bytes()).await?;
            tcp.read(&mut buf).await
        };
        let length = timeout(TIME_LIMIT, exchange).await.unwrap().unwrap_or(0);
        String::from_utf8_lossy(&buf[..length]).into_owned()
    }

    async fn wait_until_serving(&mut self, entry: usize) {
        let serving = async {
            while !self
                .send(entry, ("POST", "/order/x"))
                .await
                .contains("200 OK")
            {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(TIME_LIMIT, serving)
            .await
            .expect("the entry serves");
    }

    /// Restarts the entries in turn, and waits until the last one counts as in touch again.
    async fn restart_entries(&mut self) {
        for entry in 0..ENTRIES {
            self.entries[entry].restart();
            self.wait_until_serving(entry).await;
        }
        sleep(TOUCH_TIME).await;
    }

    /// Restarts the agents, and waits until the entries have found them again.
    async fn restart_agents(&mut self) {
        for agent in &mut self.agents {
            agent.restart();
        }
        sleep(TOUCH_TIME).await;
    }
}

struct Case {
    name: &'static str,
    request: (&'static str, &'static str),
    restarts_agents: bool,
    restarts_entries: bool,
}

const CASES: [Case; 4] = [
    Case {
        name: "no restart",
        request: CRASHING_ORDER,
        restarts_agents: false,
        restarts_entries: false,
    },
    Case {
        name: "repeatable, no restart",
        request: CRASHING_LOOKUP,
        restarts_agents: false,
        restarts_entries: false,
    },
    Case {
        name: "entries restarted in turn",
        request: CRASHING_ORDER,
        restarts_agents: false,
        restarts_entries: true,
    },
    Case {
        name: "agents restarted, then entries in turn",
        request: CRASHING_ORDER,
        restarts_agents: true,
        restarts_entries: true,
    },
];

/// Returns how often the request was sent to targets after the time allowed for learning of it.
async fn run_case(number: u8, case: &Case) -> usize {
    let mut fleet = Fleet::start(number).await;
    let mut entry = 0;
    while fleet.crash_count() < 3 && entry < 3 * ENTRIES {
        fleet.send(entry % ENTRIES, case.request).await;
        entry += 1;
    }
    sleep(TOUCH_TIME).await;
    let before = fleet.crash_count();
    if case.restarts_agents {
        fleet.restart_agents().await;
    }
    if case.restarts_entries {
        fleet.restart_entries().await;
    }
    for entry in 0..3 * ENTRIES {
        fleet.send(entry % ENTRIES, case.request).await;
    }
    fleet.crash_count() - before
}

#[test]
fn request_that_crashed_three_targets_is_not_sent_on_by_any_entry() {
    let runs: Vec<_> = (0..)
        .zip(&CASES)
        .map(|(number, case)| {
            std::thread::spawn(move || {
                let runtime = tokio::runtime::Runtime::new().unwrap();
                (case.name, runtime.block_on(run_case(number, case)))
            })
        })
        .collect();
    let late_sends: Vec<_> = runs.into_iter().map(|run| run.join().unwrap()).collect();
    let too_many = late_sends.iter().any(|(_, n)| *n > ALLOWED_LATE_SENDS);
    assert!(!too_many, "late sends: {late_sends:?}");
}
