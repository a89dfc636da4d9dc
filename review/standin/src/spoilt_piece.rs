//! A piece of new weights turns bad at an engine whose agent waits for its turn to load them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use serde_json::{
    json,
    Value, //
};
use sha2::{
    Digest,
    Sha256, //
};
use tokio::time::{
    sleep,
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
    misdirected,
    model_config,
    model_target,
    name,
    refuse_misdirected,
    request_head, //
};
use crate::process::{
    free_port_pair,
    start_agent,
    Entry, //
};
use crate::record::Record;
use crate::store::Store;
use crate::{
    Case,
    Verdict, //
};

const MODEL: &str = "m";
const PIECES: usize = 16;
const PIECE_BYTES: usize = 4096;

/// Two engines of one data centre, each beside an agent on an instance of its own.
const ENGINES: [(&str, &str); 2] = [("i-1", "127.0.0.2"), ("i-2", "127.0.0.3")];

/// The time in which an engine loads staged pieces.
const LOAD_TIME: Duration = Duration::from_millis(300);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
const DEADLINE: Duration = Duration::from_millis(6000);

/// When the new version is named, and how long after that requests are observed.
const NAME_AFTER: Duration = Duration::from_secs(3);
const OBSERVED_TIME: Duration = Duration::from_secs(12);
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// The time in which an engine answers a request.
const WORK_TIME: Duration = Duration::from_millis(500);

/// How long after all pieces are staged one of them turns bad.
const TIME_TO_ROT: Duration = Duration::from_millis(300);

/// A layer may be taken from a piece that turned bad in the last 3 s.
const EXCUSED_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Engine {
    version: u64,
    staged: BTreeMap<usize, Vec<u8>>,
    orders: u64,
    /// The version that is being loaded, and when that ends.
    loading: Option<(u64, Option<Instant>)>,
    /// When a piece turned bad.
    rotten_since: Option<Instant>,
    /// Whether the weights were taken while a piece had been bad for longer than is excused.
    is_spoilt: bool,
}

impl Engine {
    fn holds(&self, version: u64) -> bool {
        (0..PIECES).all(|number| self.staged.get(&number) == Some(&piece(version, number)))
    }

    fn finish_loading(&mut self) {
        if let Some((version, Some(at))) = self.loading {
            if Instant::now() >= at {
                self.version = version;
                self.loading = None;
            }
        }
    }
}

#[derive(Debug, Default)]
struct Observed {
    engines: [Engine; ENGINES.len()],
    answered: usize,
    /// Requests with tokens that were made with a spoilt layer.
    spoilt: Vec<String>,
}

type Shared = Arc<Mutex<Observed>>;

pub async fn run(case: Case) -> Result<Verdict, String> {
    let observed = Shared::default();
    let store = Store::default();
    let store_address = store.start().await;
    let origin = serve(
        "127.0.0.1",
        |request| async move { answer_origin(&request) },
    )
    .await;
    store.put(name("config_key"), &model_config(origin));
    let internal = free_port_pair();
    let mut agents = Vec::new();
    for index in 0..ENGINES.len() {
        let app = start_engine(index, &store, &observed, &case.record).await;
        let agent = start_agent(app, internal, store_address);
        agents.push(agent.ok_or("an agent could not be started")?);
    }
    let entry = Entry::start_with(store_address, internal).await;
    let entry = entry.ok_or("the entry did not become ready")?;
    sleep(NAME_AFTER).await;
    case.record.line("version 2 is named");
    let named = json!({ "model": MODEL, "version": 2 });
    store.put(&format!("{}{MODEL}", name("version_prefix")), &named);
    let rot = tokio::spawn(spoil_waiting_engine(
        observed.clone(),
        case.record.clone(),
        case.has_trouble,
    ));
    let until = Instant::now() + OBSERVED_TIME;
    let mut requests = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let (observed, record) = (observed.clone(), case.record.clone());
        requests.push(tokio::spawn(request(
            number,
            entry.address,
            observed,
            record,
        )));
        sleep(REQUEST_INTERVAL).await;
    }
    for request in requests {
        request.await.map_err(|e| e.to_string())?;
    }
    let has_waited = timeout(Duration::from_millis(10), rot).await;
    let has_waited = has_waited.is_ok_and(|ended| ended.is_ok());
    judge(&case, &observed, has_waited)
}

fn judge(case: &Case, observed: &Shared, has_waited: bool) -> Result<Verdict, String> {
    let observed = observed.lock().unwrap();
    let versions: Vec<u64> = observed
        .engines
        .iter()
        .map(|engine| engine.version)
        .collect();
    case.record.line(format!(
        "{} requests were answered, {} with a spoilt layer; the engines run versions {versions:?}",
        observed.answered,
        observed.spoilt.len()
    ));
    if observed.answered == 0 || !has_waited {
        return Err("no request was answered, or no engine waited with staged pieces".into());
    }
    Ok(if observed.spoilt.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Waits until the pieces are staged at an engine while the other one has its order already, and spoils
/// one of them.
async fn spoil_waiting_engine(observed: Shared, record: Record, has_trouble: bool) {
    let index = loop {
        sleep(Duration::from_millis(20)).await;
        let observed = observed.lock().unwrap();
        let engines = &observed.engines;
        let is_one_ordered = engines.iter().any(|engine| engine.orders > 0);
        let waiting = engines.iter().position(|e| e.orders == 0 && e.holds(2));
        if let Some(index) = waiting.filter(|_| is_one_ordered) {
            break index;
        }
    };
    sleep(TIME_TO_ROT).await;
    if !has_trouble {
        return;
    }
    let mut observed = observed.lock().unwrap();
    let engine = &mut observed.engines[index];
    if let Some(byte) = engine
        .staged
        .get_mut(&5)
        .and_then(|piece| piece.first_mut())
    {
        *byte ^= 1;
        engine.rotten_since = Some(Instant::now());
        record.line(format!("piece 5 turns bad at {}", ENGINES[index].0));
    }
}

fn piece(version: u64, number: usize) -> Vec<u8> {
    let seed = version as usize * 1000 + number;
    (0..PIECE_BYTES)
        .map(|i| (seed * 31 + i * 7) as u8)
        .collect()
}

fn answer_origin(request: &Request) -> Option<Vec<u8>> {
    let version: u64 = request.query("version")?.parse().ok()?;
    if request.target.starts_with("/manifest/") {
        let digest = |number| hex::encode(Sha256::digest(piece(version, number)));
        let digests: Vec<String> = (0..PIECES).map(digest).collect();
        let body = json!({
            "model": MODEL, "version": version, "chunk_bytes": PIECE_BYTES, "layers": 16,
            "digests": digests,
        });
        return Some(json_response("200 OK", &body));
    }
    let number: usize = request.query("number")?.parse().ok()?;
    Some(response("200 OK", &[], &piece(version, number)))
}

fn json_response(status: &str, body: &Value) -> Vec<u8> {
    let headers = [("Content-Type", "application/json")];
    response(status, &headers, body.to_string().as_bytes())
}

async fn start_engine(
    index: usize,
    store: &Store,
    observed: &Shared,
    record: &Record,
) -> SocketAddr {
    {
        let mut observed = observed.lock().unwrap();
        let engine = &mut observed.engines[index];
        engine.version = 1;
        engine.staged = (0..PIECES)
            .map(|number| (number, piece(1, number)))
            .collect();
    }
    let shared = (observed.clone(), record.clone());
    let (id, ip) = ENGINES[index];
    let address = serve(ip, move |request| {
        let (observed, record) = shared.clone();
        async move { answer_engine(index, &request, &observed, &record).await }
    })
    .await;
    let (store, observed) = (store.clone(), observed.clone());
    let write = move |sequence| {
        let version = observed.lock().unwrap().engines[index].version;
        store.put(
            &format!("servers/{id}"),
            &model_target(address, MODEL, version, sequence),
        );
    };
    write(1);
    tokio::spawn(async move {
        for sequence in 2.. {
            sleep(HEARTBEAT_INTERVAL).await;
            write(sequence);
        }
    });
    address
}

async fn answer_engine(
    index: usize,
    request: &Request,
    observed: &Shared,
    record: &Record,
) -> Option<Vec<u8>> {
    let path = request.target.split('?').next()?;
    if path == "/report"
        || path.starts_with(name("stage_put_path"))
        || path.starts_with(name("stage_get_path"))
        || path == "/order"
    {
        let mut observed = observed.lock().unwrap();
        return answer_agent(index, path, request, &mut observed.engines[index], record);
    }
    let (id, target) = (request.header(name("request_id")), ENGINES[index].0);
    let version = {
        let mut observed = observed.lock().unwrap();
        let engine = &mut observed.engines[index];
        engine.finish_loading();
        let expected = request.header(name("expected_version"));
        let is_other_version = !expected.is_empty() && expected != engine.version.to_string();
        if let Some(refusal) = misdirected(request, target) {
            return Some(refusal);
        }
        if is_other_version {
            return Some(refuse_misdirected(request, target));
        }
        if engine.loading.is_some() {
            let headers = [(name("not_run"), "1"), (name("request_id"), id)];
            return Some(response("503 Service Unavailable", &headers, b""));
        }
        let (version, is_spoilt) = (engine.version, engine.is_spoilt);
        if is_spoilt {
            observed.spoilt.push(id.to_owned());
        }
        record.line(format!(
            "{target} runs {id} on version {version}, spoilt: {is_spoilt}"
        ));
        version.to_string()
    };
    sleep(WORK_TIME).await;
    let headers = [
        (name("request_id"), id),
        (name("signature"), target),
        ("Content-Type", "text/event-stream"),
        (name("weight_version"), version.as_str()),
    ];
    let body = format!("id: 1\ndata: {id}\n\n");
    Some(response("200 OK", &headers, body.as_bytes()))
}

/// Answers the calls of the engine's agent.
fn answer_agent(
    index: usize,
    path: &str,
    request: &Request,
    engine: &mut Engine,
    record: &Record,
) -> Option<Vec<u8>> {
    engine.finish_loading();
    let number = request
        .query("number")
        .and_then(|number| number.parse().ok());
    if path == "/report" {
        let body = json!({
            "stage": "combined", "busy": engine.loading.is_some(), "sequence": engine.orders,
            "models": [{ "name": MODEL, "version": engine.version, "adapters": [] }],
            "layers": { "from": 0, "target": 16, "version": engine.version },
            "waiting": 0, "running": 0, "kv_cache_used": 0, "kv_cache_total": 90000, "handles": 0,
        });
        return Some(json_response("200 OK", &body));
    }
    if path.starts_with(name("stage_put_path")) {
        engine.staged.insert(number?, request.body.clone());
        if engine.holds(2) {
            record.line(format!(
                "{} holds all pieces of version 2",
                ENGINES[index].0
            ));
        }
        return Some(json_response("200 OK", &json!({})));
    }
    if path.starts_with(name("stage_get_path")) {
        return Some(
            match number.and_then(|number: usize| engine.staged.get(&number)) {
                Some(piece) => response("200 OK", &[], piece),
                None => json_response("404 Not Found", &json!({})),
            },
        );
    }
    let order: Value = serde_json::from_slice(&request.body).ok()?;
    let version = order["version"].as_u64()?;
    let rotten_for = engine.rotten_since.map(|since| since.elapsed());
    engine.is_spoilt = !engine.holds(version) && rotten_for.is_none_or(|time| time > EXCUSED_TIME);
    engine.orders += 1;
    engine.loading = Some((version, Some(Instant::now() + LOAD_TIME)));
    record.line(format!(
        "{} accepts the order to load version {version}; a piece is bad for {rotten_for:?}",
        ENGINES[index].0
    ));
    Some(json_response("202 Accepted", &json!({})))
}

async fn request(number: usize, entry: SocketAddr, observed: Shared, record: Record) {
    let id = format!("r-{number}");
    let prompt = format!("a1:40,b{number:x}:60");
    let headers = [
        (name("model"), MODEL),
        (name("token_counts"), "100,20"),
        (name("prompt_parts"), prompt.as_str()),
    ];
    let deadline_ms = DEADLINE.as_millis() as u64;
    let text = request_head("POST", "/draft/1", &id, deadline_ms, 0, &headers);
    let status = read_status(entry, &text).await;
    record.line(format!("{id}: status {status:?}"));
    observed.lock().unwrap().answered += usize::from(status == Some(200));
}

async fn read_status(entry: SocketAddr, text: &[u8]) -> Option<u16> {
    let answer = timeout(DEADLINE, exchange(entry, text)).await.ok()??;
    Some(answer.0.status)
}
