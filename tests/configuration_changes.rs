//! Changes of the configuration while callers use kept connections to an entry that is a real process on the
//! real clock, and targets that fall silent. Guards against requests that get neither an answer nor a refusal.

mod kept_connections;
#[path = "soak/processes.rs"]
mod processes;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kept_connections::{
    Caller,
    End,
    Observed,
    LOSS_SLACK,
    TIMEOUT, //
};
use nix::sys::signal::Signal;
use processes::Process;
use serde_json::{
    json,
    Value, //
};
use standin::publish::{
    delete_target,
    publish_changed_config,
    ProcessAddresses,
    CALLERS_PORT, //
};
use standin::Store;
use tokio::task::JoinSet;
use tokio::time::{
    sleep,
    Instant, //
};

const STARTUP_TIME: Duration = Duration::from_secs(2);

const CALLERS: usize = 24;

/// The targets of each of the two services.
const TARGETS: usize = 3;

/// What happens while callers send requests.
#[derive(Clone, Copy)]
enum Change {
    /// A configuration with this limit on callers is published.
    Limit(&'static str, u64),
    /// A configuration with this timeout of all routes is published.
    Timeout(u64),
    /// A configuration with this number of further routes is published.
    Routes(usize),
    /// A configuration that sends the streams to other targets is published.
    Route,
    /// All targets are replaced.
    Targets,
    /// The process gets SIGHUP.
    Reload,
    /// The process stands still for this long.
    Standstill(Duration),
    /// Callers pause for this long between two requests.
    CallersPause(Duration),
}

struct Case {
    name: &'static str,
    callers: &'static [Caller],
    /// The changes, and how long after the one before each of them comes.
    changes: &'static [(u64, Change)],
    /// How long callers send requests after the last change.
    last: Duration,
}

const STREAM: Caller = Caller::new("/talk/8-60-0/");
const RESUMABLE_STREAM: Caller = Caller::new("/chat/30-100-0/");
const ORDER: Caller = Caller::new("/order/1-300-0/");
const BRIEFLY_SILENT: Caller = Caller::new("/chat/8-60-1200/");
const SILENT: Caller = Caller::new("/chat/8-60-2700/");
const SILENT_AND_REFUSED: Caller = Caller::new("/chat/8-60-2700/refuse/");
const SHORT_REQUEST: Caller = Caller::new("/order/1-20-0/");
const SLOW_HEAD: Caller = Caller {
    head_time: Duration::from_millis(2000),
    ..SHORT_REQUEST
};
const IDLE: &str = "idle_timeout_ms";

const CASES: &[Case] = &[
    Case {
        name: "calm",
        callers: &[STREAM, ORDER, RESUMABLE_STREAM],
        changes: &[],
        last: Duration::from_secs(4),
    },
    Case {
        name: "a longer idle time",
        callers: &[SHORT_REQUEST],
        changes: &[
            (0, Change::Limit(IDLE, 3000)),
            (1500, Change::Limit(IDLE, 8000)),
            (1500, Change::CallersPause(Duration::from_millis(5000))),
        ],
        last: Duration::from_secs(12),
    },
    Case {
        name: "a shorter idle time, while callers pause under the longer one",
        callers: &[SHORT_REQUEST],
        changes: &[
            (0, Change::Limit(IDLE, 8000)),
            (500, Change::CallersPause(Duration::from_millis(2300))),
            (3000, Change::Limit(IDLE, 3000)),
        ],
        last: Duration::from_secs(6),
    },
    Case {
        name: "a head that begins late in the idle time",
        callers: &[SLOW_HEAD],
        changes: &[
            (0, Change::Limit(IDLE, 3500)),
            (500, Change::CallersPause(Duration::from_millis(2500))),
        ],
        last: Duration::from_secs(8),
    },
    Case {
        name: "silent targets, and others that refuse the rest",
        callers: &[SILENT_AND_REFUSED],
        changes: &[],
        last: Duration::from_secs(8),
    },
    Case {
        name: "silent targets beside changes of routes and of timeouts",
        callers: &[BRIEFLY_SILENT, SILENT, SILENT_AND_REFUSED, ORDER],
        changes: &[
            (500, Change::Routes(900)),
            (400, Change::Route),
            (400, Change::Timeout(5000)),
            (400, Change::Reload),
            (400, Change::Routes(1900)),
            (400, Change::Route),
            (400, Change::Timeout(6000)),
        ],
        last: Duration::from_secs(5),
    },
    Case {
        name: "large configurations, and targets that are replaced",
        callers: &[STREAM, ORDER, RESUMABLE_STREAM],
        changes: &[
            (500, Change::Routes(1900)),
            (400, Change::Targets),
            (400, Change::Routes(3000)),
            (400, Change::Reload),
            (1500, Change::Targets),
            (400, Change::Route),
        ],
        last: Duration::from_secs(5),
    },
    Case {
        name: "the process stands still between configurations",
        callers: &[STREAM, ORDER, RESUMABLE_STREAM, BRIEFLY_SILENT],
        changes: &[
            (500, Change::Routes(900)),
            (300, Change::Standstill(Duration::from_millis(1700))),
            (300, Change::Limit(IDLE, 5000)),
            (300, Change::Standstill(Duration::from_millis(1700))),
            (300, Change::Route),
        ],
        last: Duration::from_secs(5),
    },
];

#[test]
fn no_request_is_lost_beside_a_change_of_the_configuration() {
    let cases = CASES.iter().enumerate();
    let cases: Vec<_> = cases
        .map(|(number, case)| std::thread::spawn(move || run_case(number, case)))
        .collect();
    let losses: Vec<String> = cases
        .into_iter()
        .flat_map(|case| case.join().unwrap())
        .collect();
    assert!(losses.is_empty(), "{}: {losses:#?}", losses.len());
}

/// The operators' side of a case.
struct Operators {
    store: Store,
    version: u64,
    timeout: Duration,
    routes: usize,
    is_route_changed: bool,
    limits: Vec<(&'static str, u64)>,
    /// How often the targets were replaced.
    target_round: usize,
}

impl Operators {
    fn publish(&mut self) {
        self.version += 1;
        publish_changed_config(&self.store, self.version, self.timeout, |config| {
            for (name, value) in &self.limits {
                config["limits"][name] = json!(value);
            }
            let routes = config["routes"].as_array_mut().unwrap();
            let new_routes = (0..self.routes).map(|number| new_route(&routes[0], number));
            let new_routes: Vec<Value> = new_routes.collect();
            routes.extend(new_routes);
            if self.is_route_changed {
                routes[0]["service"] = json!("engines-b");
                let mut service = config["services"][0].clone();
                service["name"] = json!("engines-b");
                config["services"].as_array_mut().unwrap().push(service);
            }
        });
    }

    async fn list_targets(&self, observed: &Observed) {
        for service in ["engines", "engines-b", "desk"] {
            for number in 0..TARGETS {
                let id = self.target_id(service, number);
                observed.start_target(&self.store, &id, service).await;
            }
        }
    }

    async fn replace_targets(&mut self, observed: &Observed) {
        let old = ["engines", "engines-b", "desk"]
            .into_iter()
            .flat_map(|service| (0..TARGETS).map(move |number| (service, number)));
        let old: Vec<String> = old
            .map(|(service, number)| self.target_id(service, number))
            .collect();
        self.target_round += 1;
        self.list_targets(observed).await;
        for id in old {
            delete_target(&self.store, &id);
        }
    }

    fn target_id(&self, service: &str, number: usize) -> String {
        format!("{service}-{}-{number}", self.target_round)
    }
}

fn new_route(model: &Value, number: usize) -> Value {
    let mut route = model.clone();
    route["name"] = json!(format!("new-{number}"));
    route["prefix"] = json!(format!("/new-{number}/"));
    route
}

/// Changes the configuration while callers send requests, and returns what was lost.
#[tokio::main(flavor = "multi_thread", worker_threads = 1)]
async fn run_case(number: usize, case: &Case) -> Vec<String> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("changes-{number}"));
    std::fs::create_dir_all(&folder).unwrap();
    let run = std::process::id() % 200 + 20;
    let ip = format!("127.{run}.{}.10", 230 + number);
    let mut operators = Operators {
        store: Store::default(),
        version: 0,
        timeout: TIMEOUT,
        routes: 0,
        is_route_changed: false,
        limits: Vec::new(),
        target_round: 0,
    };
    let observed = Observed::default();
    let mut changes = case.changes;
    // What comes at once is in force from the start.
    while let [(0, Change::Limit(name, value)), rest @ ..] = changes {
        operators.limits.push((name, *value));
        changes = rest;
    }
    operators.publish();
    operators.list_targets(&observed).await;
    let addresses = ProcessAddresses {
        name: "entry".into(),
        ip: ip.clone(),
        store: operators.store.start().await,
        engine: None,
        seeds: Vec::new(),
    };
    let mut entry = Process::start(&folder, "entry", addresses);
    sleep(STARTUP_TIME).await;
    let mut callers = JoinSet::new();
    for i in 0..CALLERS {
        let caller = case.callers[i % case.callers.len()];
        let address = format!("{ip}:{CALLERS_PORT}");
        callers.spawn(caller.run(i, address, observed.clone()));
    }
    let began_at = Instant::now();
    for (after, change) in changes {
        sleep(Duration::from_millis(*after)).await;
        apply(*change, &mut operators, &mut entry, &observed).await;
    }
    sleep(case.last).await;
    observed.is_over.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    let losses = find_losses(&observed, began_at);
    let of_case = |loss| format!("{}: {loss}", case.name);
    losses.into_iter().map(of_case).collect()
}

async fn apply(
    change: Change,
    operators: &mut Operators,
    entry: &mut Process,
    observed: &Observed,
) {
    match change {
        Change::Limit(name, value) => operators.limits.push((name, value)),
        Change::Timeout(millis) => operators.timeout = Duration::from_millis(millis),
        Change::Routes(count) => operators.routes = count,
        Change::Route => operators.is_route_changed = !operators.is_route_changed,
        Change::Targets => return operators.replace_targets(observed).await,
        Change::Reload => return entry.signal(Signal::SIGHUP),
        Change::Standstill(time) => {
            entry.signal(Signal::SIGSTOP);
            sleep(time).await;
            return entry.signal(Signal::SIGCONT);
        }
        Change::CallersPause(pause) => {
            let millis = u64::try_from(pause.as_millis()).unwrap();
            return observed.pause_ms.store(millis, Ordering::Relaxed);
        }
    }
    operators.publish();
}

fn find_losses(observed: &Observed, began_at: Instant) -> Vec<String> {
    let requests = observed.requests.lock().unwrap();
    let passed_on = observed.passed_on.lock().unwrap();
    let served = requests.iter().filter(|r| r.end == End::Answer(200));
    let mut losses = Vec::new();
    if served.count() < CALLERS {
        losses.push(format!("only a few of {} were served", requests.len()));
    }
    for request in requests.iter() {
        let was_passed_on = passed_on.contains_key(&request.id);
        let held = request.ended_at - request.sent_at;
        let is_loss = match request.end {
            End::Answer(200) => false,
            // A failure is an answer, but none that sound targets and a change call for.
            End::Answer(503) => was_passed_on,
            End::Answer(_) => held + LOSS_SLACK < TIMEOUT,
            // Callers pause for less than four fifths of the idle time in force.
            End::Cut { .. } => true,
            End::TimedOut => held + LOSS_SLACK < TIMEOUT,
        };
        if is_loss {
            losses.push(format!(
                "{} {} sent after {:?}: {:?} after {held:?}, passed on: {was_passed_on}",
                request.id,
                request.path,
                request.sent_at.saturating_duration_since(began_at),
                request.end,
            ));
        }
    }
    losses
}
