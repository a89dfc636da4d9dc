//! The store comes back from a copy that still lists a target which left and has said so.

use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use tokio::time::{
    sleep,
    sleep_until,
    timeout,
    Instant, //
};

use crate::http::{
    exchange,
    response,
    serve,
    Request, //
};
use crate::platform::{
    config,
    misdirected,
    name,
    request,
    target, //
};
use crate::process::Entry;
use crate::record::Record;
use crate::store::Store;
use crate::{
    Case,
    Verdict, //
};

const DEADLINE: Duration = Duration::from_millis(6000);
const LATENCY_OBJECTIVE_MS: u64 = 3000;

/// The time for which a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(900);

const TARGETS: [&str; 3] = ["i-1", "i-2", "i-3"];
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// `drain_timeout_ms`.
const DRAIN_TIME: Duration = Duration::from_millis(2000);

/// Clients at the start, and those that come when the store is back.
const EARLY_CLIENTS: usize = 2;
const LATE_CLIENTS: usize = 8;

/// When the copy is taken that the store comes back from, and from when on a target may leave.
const COPY_AFTER: Duration = Duration::from_secs(2);
const LEAVE_AFTER: Duration = Duration::from_secs(3);

/// How long after it got a request the target leaves.
const LEAVE_DELAY: Duration = Duration::from_millis(50);

/// From when a target leaves until the store is away, and how long it is away.
const TIME_TO_OUTAGE: Duration = Duration::from_millis(2500);
const OUTAGE: Duration = Duration::from_millis(500);

/// The time after the return in which operator and targets write again what they wrote.
const REWRITE_TIME: Duration = Duration::from_millis(2000);

/// For how long a target goes on serving after its entry was removed.
const SERVING_TIME: Duration = Duration::from_secs(10);

/// How long after the return of the store clients send requests.
const OBSERVED_TIME: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
struct Observed {
    start: Option<Instant>,
    /// Requests that each target works on.
    running: [usize; TARGETS.len()],
    /// The target that leaves, and since when.
    leaving: Option<(usize, Instant)>,
    /// When a client first got an answer of the leaving target that says so.
    passed_on_at: Option<Instant>,
    /// The requests that reached the leaving target after it left.
    reached: Vec<String>,
    /// When clients sent their requests.
    sent: Vec<(String, Instant)>,
    answered: usize,
}

type Shared = Arc<Mutex<Observed>>;

pub async fn run(case: Case) -> Result<Verdict, String> {
    let observed = Shared::default();
    let store = Store::default();
    let store_address = store.start().await;
    let configuration = config(1, DEADLINE.as_millis() as u64, LATENCY_OBJECTIVE_MS);
    store.put(name("config_key"), &configuration);
    for index in 0..TARGETS.len() {
        start_target(index, &store, &observed, &case.record).await;
    }
    let entry = Entry::start(store_address).await;
    let entry = entry.ok_or("the entry did not become ready")?;
    let start = Instant::now();
    observed.lock().unwrap().start = Some(start);
    let mut clients: Vec<_> = (0..EARLY_CLIENTS)
        .map(|client| spawn_client(client, entry.address, &observed, &case.record))
        .collect();
    sleep_until(start + COPY_AFTER).await;
    store.take_copy();
    case.record.line("the copy of the store is taken");
    let (leaving, left_at) = wait_for_leaving(&observed).await?;
    sleep_until(left_at + TIME_TO_OUTAGE).await;
    if case.has_trouble {
        case.record.line("the store is away");
        store.go_away();
        sleep(OUTAGE).await;
        store.restore();
        case.record.line("the store is back from the copy");
    } else {
        sleep(OUTAGE).await;
    }
    let back_at = Instant::now();
    let late = EARLY_CLIENTS..EARLY_CLIENTS + LATE_CLIENTS;
    clients.extend(late.map(|client| spawn_client(client, entry.address, &observed, &case.record)));
    if case.has_trouble {
        sleep_until(back_at + REWRITE_TIME).await;
        store.put(name("config_key"), &configuration);
        store.delete(&format!("servers/{}", TARGETS[leaving]));
        case.record
            .line("operator and leaving target have written again");
    }
    sleep_until(back_at + OBSERVED_TIME).await;
    for client in clients {
        client.abort();
    }
    judge(&case, &observed)
}

async fn wait_for_leaving(observed: &Shared) -> Result<(usize, Instant), String> {
    let wait = async {
        loop {
            if let Some(leaving) = observed.lock().unwrap().leaving {
                return leaving;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    let limit = LEAVE_AFTER + DEADLINE;
    timeout(limit, wait)
        .await
        .map_err(|_| "no target left".to_owned())
}

fn judge(case: &Case, observed: &Shared) -> Result<Verdict, String> {
    let observed = observed.lock().unwrap();
    let passed_on_at = observed
        .passed_on_at
        .ok_or("no answer said that its target leaves")?;
    let mut late = 0;
    for id in &observed.reached {
        let sent = observed.sent.iter().find(|(sent, _)| sent == id);
        let (_, sent_at) = sent.ok_or("a target got a request that nobody sent")?;
        let after = sent_at.saturating_duration_since(passed_on_at);
        let counts = after > DRAIN_TIME;
        late += usize::from(counts);
        case.record.line(format!(
            "{id} reached the leaving target, sent {} ms after the answer that said so, counts: {counts}",
            after.as_millis()
        ));
    }
    case.record.line(format!(
        "{} requests were answered, {late} reached the leaving target too late",
        observed.answered
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

async fn start_target(index: usize, store: &Store, observed: &Shared, record: &Record) {
    let shared = (store.clone(), observed.clone(), record.clone());
    let address = serve("127.0.0.1", move |request| {
        let (store, observed, record) = shared.clone();
        async move { answer(index, &request, &store, &observed, &record).await }
    })
    .await;
    let (store, observed) = (store.clone(), observed.clone());
    let key = format!("servers/{}", TARGETS[index]);
    store.put(&key, &target(address, 1));
    tokio::spawn(async move {
        for sequence in 2.. {
            sleep(HEARTBEAT_INTERVAL).await;
            if has_left(&observed, index).is_some() {
                return;
            }
            store.put(&key, &target(address, sequence));
        }
    });
}

/// Since when a target leaves.
fn has_left(observed: &Shared, index: usize) -> Option<Instant> {
    let leaving = observed.lock().unwrap().leaving;
    leaving
        .filter(|(leaving, _)| *leaving == index)
        .map(|(_, at)| at)
}

async fn answer(
    index: usize,
    request: &Request,
    store: &Store,
    observed: &Shared,
    record: &Record,
) -> Option<Vec<u8>> {
    let (id, target) = (request.header(name("request_id")), TARGETS[index]);
    let left_at = has_left(observed, index);
    if left_at.is_some_and(|at| at.elapsed() >= SERVING_TIME) {
        return None;
    }
    if let Some(refusal) = misdirected(request, target) {
        return Some(refusal);
    }
    record.line(format!(
        "{target} runs {id} ({} {})",
        request.method, request.target
    ));
    let may_leave = {
        let mut observed = observed.lock().unwrap();
        if left_at.is_some() {
            observed.reached.push(id.to_owned());
        }
        observed.running[index] += 1;
        let is_time = observed
            .start
            .is_some_and(|start| start.elapsed() >= LEAVE_AFTER);
        is_time && observed.leaving.is_none() && observed.running[index] == 1
    };
    if may_leave {
        sleep(LEAVE_DELAY).await;
        leave(index, store, observed, record);
    }
    sleep(WORK_TIME).await;
    observed.lock().unwrap().running[index] -= 1;
    let mut headers = vec![(name("request_id"), id), (name("signature"), target)];
    if has_left(observed, index).is_some() {
        headers.push((name("leaving"), "1"));
    }
    Some(response("200 OK", &headers, b"done"))
}

/// A target leaves without reporting `draining`: its entry is removed, and it goes on serving.
fn leave(index: usize, store: &Store, observed: &Shared, record: &Record) {
    let mut observed = observed.lock().unwrap();
    if observed.leaving.is_none() && observed.running[index] == 1 {
        observed.leaving = Some((index, Instant::now()));
        store.delete(&format!("servers/{}", TARGETS[index]));
        record.line(format!("{} leaves: its entry is removed", TARGETS[index]));
    }
}

fn spawn_client(
    client: usize,
    entry: SocketAddr,
    observed: &Shared,
    record: &Record,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(run_client(client, entry, observed.clone(), record.clone()))
}

/// Sends one request after the other, each on a connection of its own.
async fn run_client(client: usize, entry: SocketAddr, observed: Shared, record: Record) {
    for number in 0.. {
        let id = format!("c{client}-{number}");
        let path = format!("/look/{client}/{number}");
        let text = request("GET", &path, &id, DEADLINE.as_millis() as u64);
        let sent_at = Instant::now();
        observed.lock().unwrap().sent.push((id.clone(), sent_at));
        record.line(format!("client {client} sends {id}"));
        let Ok(Some((head, _))) = timeout(DEADLINE, exchange(entry, &text)).await else {
            record.line(format!("{id}: no answer"));
            continue;
        };
        let says_leaving = head.header(name("leaving")) == "1";
        record.line(format!(
            "{id}: status {}, leaving: {says_leaving}",
            head.status
        ));
        {
            let mut observed = observed.lock().unwrap();
            observed.answered += usize::from(head.status == 200);
            if says_leaving {
                observed.passed_on_at.get_or_insert(Instant::now());
            }
        }
        if head.status != 200 {
            sleep(Duration::from_millis(300)).await;
        }
    }
}
