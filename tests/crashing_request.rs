//! A request that crashes each target that runs it, and requests with a part of their prompts that does
//! so, sent by callers to one entry after the other. The entries and agents are real processes.

#[path = "soak/processes.rs"]
mod processes;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
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
    has_prompt_part,
    prompt_request_text,
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

/// The entries whose addresses all processes know.
const SEEDS: usize = 3;

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

/// The part of prompts that crashes engines, and the parts of a sound prompt.
const CRASHING_PART: &str = "bad";
const SOUND_PARTS: [&str; 3] = ["5", "7", "f1"];

/// The delay between two callers that send requests with the crashing part.
const CALLER_INTERVAL: Duration = Duration::from_millis(400);

/// A target that crashes when it gets a crashing request and starts again under a new name.
#[derive(Clone)]
struct CrashingTarget {
    store: Store,
    service: &'static str,
    number: usize,
    starts: Arc<Mutex<usize>>,
    target: Arc<Mutex<Target>>,
    crashes: Arc<Mutex<usize>>,
}

impl CrashingTarget {
    /// Starts a target on an address, and returns the address with its port.
    async fn start(
        store: &Store,
        service: &'static str,
        number: usize,
        crashes: &Arc<Mutex<usize>>,
        address: &str,
    ) -> SocketAddr {
        let crashing = Self {
            store: store.clone(),
            service,
            number,
            starts: Arc::default(),
            target: Arc::new(Mutex::new(new_target(service, number, 0))),
            crashes: crashes.clone(),
        };
        let address_cell = Arc::new(Mutex::new(None));
        let own_address = address_cell.clone();
        let responder = crashing.clone();
        let bound = listen_on(address, move |request| {
            let address = own_address.lock().unwrap().unwrap();
            responder.respond(request, address)
        })
        .await;
        *address_cell.lock().unwrap() = Some(bound);
        publish_target(
            store,
            &target_name(service, number, 0),
            service,
            bound,
            false,
        );
        bound
    }

    fn respond(&self, request: &ReceivedRequest, address: SocketAddr) -> Vec<ResponseStep> {
        let mut starts = self.starts.lock().unwrap();
        let mut target = self.target.lock().unwrap();
        let is_crashing =
            request.path.ends_with("/crash") || has_prompt_part(request, CRASHING_PART);
        if !is_crashing || target.rejects(request) {
            return target.respond(request);
        }
        *self.crashes.lock().unwrap() += 1;
        let name = |start| target_name(self.service, self.number, start);
        delete_target(&self.store, &name(*starts));
        *starts += 1;
        let begun_answer = target.respond(request).into_iter().take(1);
        *target = new_target(self.service, self.number, *starts);
        publish_target(&self.store, &name(*starts), self.service, address, false);
        if self.service == "engines" {
            begun_answer.chain([ResponseStep::Reset]).collect()
        } else {
            vec![ResponseStep::Reset]
        }
    }
}

fn target_name(service: &str, number: usize, start: usize) -> String {
    format!("{service}-{number}-{start}")
}

fn new_target(service: &str, number: usize, start: usize) -> Target {
    let name = target_name(service, number, start);
    if service == "engines" {
        Target::engine(&name, &Runs::default())
    } else {
        Target::service(&name, &Runs::default())
    }
}

struct Fleet {
    entries: Vec<Process>,
    agents: Vec<Process>,
    crashes: Arc<Mutex<usize>>,
}

impl Fleet {
    async fn start(number: u8, has_agents: bool) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crashing-{number}"));
        std::fs::create_dir_all(&folder).unwrap();
        let run = std::process::id() % 200 + 20;
        let ip = |host: usize| format!("127.{run}.{}.{host}", 240 + number);
        let store = Store::default();
        let origin = listen(standin::engine::handle_origin_request).await;
        publish_config(&store, 1, &API_KEYS, origin);
        let crashes = Arc::default();
        for desk in 0..DESKS {
            CrashingTarget::start(&store, "desk", desk, &crashes, "127.0.0.1:0").await;
        }
        let store_address = store.start().await;
        let process = |role, name: String, own_ip, engine| {
            let addresses = ProcessAddresses {
                name,
                ip: own_ip,
                store: store_address,
                engine,
                seeds: (0..SEEDS).map(|i| ip(10 + i)).collect(),
            };
            Process::start(&folder, role, addresses)
        };
        let mut agents = Vec::new();
        for i in 0..ENGINES {
            let address = format!("{}:8001", ip(100 + i));
            let address = CrashingTarget::start(&store, "engines", i, &crashes, &address).await;
            if has_agents {
                let name = format!("agent-{i}");
                agents.push(process("agent", name, ip(100 + i), Some(address)));
            }
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

    /// Sends a request to an entry and returns the beginning of its answer, or nothing if there is none.
    async fn send(&self, entry: usize, (method, path): (&str, &str)) -> String {
        let text = request_text(method, path, "r-1", API_KEYS[0]);
        self.exchange(entry, &text).await
    }

    /// Sends a request whose prompt consists of these parts.
    async fn send_prompt(&self, entry: usize, parts: &[&str]) -> String {
        let text = prompt_request_text("r-1", API_KEYS[0], parts);
        self.exchange(entry, &text).await
    }

    async fn exchange(&self, entry: usize, text: &str) -> String {
        let ip = &self.entries[entry].addresses.ip;
        let Ok(mut tcp) = TcpStream::connect(format!("{ip}:{CALLERS_PORT}")).await else {
            return String::new();
        };
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
            while !self
                .send_prompt(entry, &SOUND_PARTS)
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
    has_agents: bool,
    request: (&'static str, &'static str),
    restarts_agents: bool,
    restarts_entries: bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "no restart",
        has_agents: true,
        request: CRASHING_ORDER,
        restarts_agents: false,
        restarts_entries: false,
    },
    Case {
        name: "repeatable, no restart",
        has_agents: true,
        request: CRASHING_LOOKUP,
        restarts_agents: false,
        restarts_entries: false,
    },
    Case {
        name: "no agents",
        has_agents: false,
        request: CRASHING_ORDER,
        restarts_agents: false,
        restarts_entries: false,
    },
    Case {
        name: "no agents, entries restarted in turn",
        has_agents: false,
        request: CRASHING_ORDER,
        restarts_agents: false,
        restarts_entries: true,
    },
    Case {
        name: "entries restarted in turn",
        has_agents: true,
        request: CRASHING_ORDER,
        restarts_agents: false,
        restarts_entries: true,
    },
    Case {
        name: "agents restarted, then entries in turn",
        has_agents: true,
        request: CRASHING_ORDER,
        restarts_agents: true,
        restarts_entries: true,
    },
];

/// Returns how often the request was sent to targets after the time allowed for learning of it.
async fn run_case(number: u8, case: &Case) -> usize {
    let mut fleet = Fleet::start(number, case.has_agents).await;
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

/// The parts of prompts that crash engines, before the own part of each request.
struct PartCase {
    name: &'static str,
    crashing: &'static [&'static str],
    /// Whether a sound request is answered before.
    is_sound_first: bool,
    restarts_entries: bool,
}

/// Returns how many engines crashed after the time allowed for learning of the part, and how many of
/// the sound requests, one to each entry, were answered.
async fn run_crashing_part(number: u8, case: &PartCase) -> (usize, usize) {
    let mut fleet = Fleet::start(number, true).await;
    let parts = |caller: usize| {
        let own = format!("a{caller}");
        let shared = case.crashing.iter().map(|part| (*part).to_owned());
        shared.chain([own]).collect::<Vec<_>>()
    };
    if case.is_sound_first {
        fleet.send_prompt(0, &SOUND_PARTS).await;
    }
    for caller in 0..3 * ENTRIES {
        let parts = parts(caller);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        fleet.send_prompt(caller % ENTRIES, &parts).await;
        sleep(CALLER_INTERVAL).await;
    }
    sleep(TOUCH_TIME).await;
    let before = fleet.crash_count();
    if case.restarts_entries {
        fleet.restart_entries().await;
    }
    let mut answered = 0;
    for entry in 0..ENTRIES {
        let parts = parts(100 + entry);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        fleet.send_prompt(entry, &parts).await;
        let answer = fleet.send_prompt(entry, &SOUND_PARTS).await;
        answered += usize::from(answer.contains("200 OK"));
    }
    (fleet.crash_count() - before, answered)
}

#[test]
fn part_that_crashed_engines_is_sent_on_by_no_entry_while_sound_requests_are_served() {
    const LAST: &[&str] = &[SOUND_PARTS[0], CRASHING_PART];
    const BETWEEN: &[&str] = &[SOUND_PARTS[0], CRASHING_PART, SOUND_PARTS[1]];
    let cases = [
        PartCase {
            name: "the last shared part",
            crashing: LAST,
            is_sound_first: false,
            restarts_entries: false,
        },
        PartCase {
            name: "the last shared part, entries restarted",
            crashing: LAST,
            is_sound_first: false,
            restarts_entries: true,
        },
        PartCase {
            name: "between parts of sound requests",
            crashing: BETWEEN,
            is_sound_first: false,
            restarts_entries: false,
        },
        PartCase {
            name: "between parts of sound requests that were answered, entries restarted",
            crashing: BETWEEN,
            is_sound_first: true,
            restarts_entries: true,
        },
    ];
    std::thread::scope(|scope| {
        let runs = (8..).zip(&cases).map(|(number, case)| {
            let run = scope.spawn(move || {
                let runtime = tokio::runtime::Runtime::new().unwrap();
                runtime.block_on(run_crashing_part(number, case))
            });
            (case.name, run)
        });
        let runs: Vec<_> = runs.collect();
        for (name, run) in runs {
            let (late_sends, answered) = run.join().unwrap();
            assert!(late_sends <= ALLOWED_LATE_SENDS, "{late_sends}, {name}");
            assert_eq!(answered, ENTRIES, "{name}");
        }
    });
}
