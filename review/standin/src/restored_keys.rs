//! An entry is restarted in a planned way while the store comes back from a copy in which a revoked key
//! is still valid.

use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::{
    sleep,
    sleep_until,
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
use crate::store::Store;
use crate::{
    Case,
    Verdict, //
};

const DEADLINE_MS: u64 = 3000;
const LATENCY_OBJECTIVE_MS: u64 = 300;
const TARGETS: [&str; 2] = ["i-1", "i-2"];
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// `revoke_timeout_ms`.
const REVOKE_TIME: Duration = Duration::from_millis(5000);

/// After the start: when the copy is taken, the key is revoked, SIGTERM is sent, and the store is away
/// and back.
const COPY_AT: Duration = Duration::from_millis(2000);
const REVOKE_AT: Duration = Duration::from_millis(3000);
const TERM_AT: Duration = Duration::from_millis(5500);
const AWAY_AT: Duration = Duration::from_millis(8000);
const BACK_AT: Duration = Duration::from_millis(8500);

/// When the operator and the targets have written again what they wrote.
const REWRITTEN_AT: Duration = Duration::from_millis(10500);
const END_AT: Duration = Duration::from_millis(13000);

/// The longest time in which the stopped process ends.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

type Runs = Arc<Mutex<Vec<String>>>;

pub async fn run(case: Case) -> Result<Verdict, String> {
    let runs = Runs::default();
    let store = Store::default();
    let store_address = store.start().await;
    let valid = config(1, DEADLINE_MS, LATENCY_OBJECTIVE_MS);
    let mut revoked = config(2, DEADLINE_MS, LATENCY_OBJECTIVE_MS);
    revoked["tenants"][0]["api_keys"] = serde_json::json!(["k2"]);
    store.put(name("config_key"), &valid);
    for id in TARGETS {
        start_target(id, &store, &runs).await;
    }
    let mut entry = Entry::start(store_address)
        .await
        .ok_or("the entry did not become ready")?;
    let start = Instant::now();
    sleep_until(start + COPY_AT).await;
    store.take_copy();
    sleep_until(start + REVOKE_AT).await;
    store.put(name("config_key"), &revoked);
    let revoked_at = Instant::now();
    case.record
        .line("version 2 without the key k1 is acknowledged");
    sleep_until(start + TERM_AT).await;
    case.record.line("SIGTERM to the entry");
    entry.process.signal(Signal::SIGTERM);
    let ended = entry.process.wait(GRACE_PERIOD).await;
    case.record.line(format!("the entry ended: {ended}"));
    sleep_until(start + AWAY_AT).await;
    if case.has_trouble {
        case.record.line("the store is away");
        store.go_away();
    }
    sleep_until(start + BACK_AT).await;
    if case.has_trouble {
        store.restore();
        case.record
            .line("the store is back from a copy of version 1");
    }
    let rewriting = store.clone();
    let (record, has_trouble) = (case.record.clone(), case.has_trouble);
    tokio::spawn(async move {
        sleep_until(start + REWRITTEN_AT).await;
        if has_trouble {
            rewriting.put(name("config_key"), &revoked);
            record.line("the operator has written version 2 again");
        }
    });
    let entry = Entry::start(store_address)
        .await
        .ok_or("the entry did not become ready again")?;
    case.record.line("the entry is started again and ready");
    let mut sent = Vec::new();
    for number in 0.. {
        if start.elapsed() >= END_AT {
            break;
        }
        let id = format!("r-{number}");
        let text = request("POST", "/order/1", &id, DEADLINE_MS);
        sent.push((id.clone(), Instant::now()));
        let status = exchange(entry.address, &text)
            .await
            .map(|(head, _)| head.status);
        case.record
            .line(format!("{id} with the key k1: status {status:?}"));
        sleep(REQUEST_INTERVAL).await;
    }
    let runs = runs.lock().unwrap();
    let is_late = |at: Instant| at.saturating_duration_since(revoked_at) > REVOKE_TIME;
    let late = sent
        .iter()
        .filter(|(id, at)| is_late(*at) && runs.contains(id))
        .count();
    case.record.line(format!(
        "{late} of {} requests ran with the key later than {} ms after it was taken away",
        sent.len(),
        REVOKE_TIME.as_millis()
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

async fn start_target(id: &'static str, store: &Store, runs: &Runs) {
    let runs = runs.clone();
    let address = serve("127.0.0.1", move |request| {
        let answer = answer(id, &request, &runs);
        async move { Some(answer) }
    })
    .await;
    let store = store.clone();
    let write = move |sequence| store.put(&format!("servers/{id}"), &target(address, sequence));
    write(1);
    tokio::spawn(async move {
        for sequence in 2.. {
            sleep(HEARTBEAT_INTERVAL).await;
            write(sequence);
        }
    });
}

fn answer(target: &str, request: &Request, runs: &Runs) -> Vec<u8> {
    let id = request.header(name("request_id"));
    if let Some(refusal) = misdirected(request, target) {
        return refusal;
    }
    runs.lock().unwrap().push(id.to_owned());
    response(
        "200 OK",
        &[(name("request_id"), id), (name("signature"), target)],
        b"done",
    )
}
