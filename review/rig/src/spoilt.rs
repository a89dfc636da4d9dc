//! An engine loads a piece that turned bad, and an entry that starts while the agent is away uses it.

use std::path::Path;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::clients::send_text;
use crate::record::{
    now_ms,
    Record, //
};
use crate::standin::engine::{
    Delays,
    Runs,
    Target, //
};
use crate::standin::publish::{
    prompt_request_text,
    publish_config,
    publish_version,
    request_id,
    API_KEYS, //
};
use crate::standin::{
    listen,
    listen_with_delay,
    target_document,
    ReceivedRequest,
    Store, //
};
use crate::system::{
    has_trouble,
    pause,
    Process,
    Site, //
};

pub const ENTRIES: [usize; 2] = [1, 2];
pub const ENGINES: [usize; 5] = [11, 12, 13, 14, 15];

/// How long the engine that is updated first is silent from its order on.
const SILENCE_MS: u64 = 3200;

/// The steps after that order: the agent and an entry are killed at the same moment. The entry is back after 0.3 s,
/// the machine of the agent after 2 s.
const KILLED_MS: u64 = 3300;
const ENTRY_STARTS_MS: u64 = 3600;
const AGENT_STARTS_MS: u64 = 5300;

/// The requests of this time are sent after the agent is back.
const REST_MS: u64 = 6000;

/// How long an update may take until its order.
const MAX_UPDATE_MS: u64 = 20_000;

const HEARTBEAT_MS: u64 = 1200;

pub async fn run(folder: &Path) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::default();
    let origin = listen(crate::standin::engine::handle_origin_request).await;
    publish_config(&store, 1, &API_KEYS, origin);
    let site = Arc::new(Site::new(store.start().await));
    let runs = Runs::default();
    let mut engines = Vec::new();
    for host in ENGINES {
        let id = format!("i-{host}");
        let engine = Target::engine(&id, &runs);
        let (delays, responder, log) = (engine.clone(), engine.clone(), record.clone());
        let name = id.clone();
        let address = site.address(host, 8001).to_string();
        let address = listen_with_delay(
            &address,
            move |request| delay_of_cut(&delays, request),
            move |request| {
                if request.path == "/order" {
                    log.line(&format!("order reaches {name}"));
                } else if request.path.starts_with("/chat/") && !responder.rejects(request) {
                    let version = responder.version().unwrap_or_default();
                    log.line(&format!(
                        "run {} on version {version} of {name}",
                        request_id(request)
                    ));
                }
                responder.respond(request)
            },
        )
        .await;
        let is_leaving = Arc::default();
        tokio::spawn(write_entry(
            store.clone(),
            id,
            address,
            engine.clone(),
            is_leaving,
        ));
        engines.push(engine);
    }
    pause(300).await;
    let mut agents: Vec<Process> = ENGINES.iter().map(|host| site.start_agent(*host)).collect();
    let mut entries: Vec<Process> = ENTRIES.iter().map(|host| site.start_entry(*host)).collect();
    pause(2500).await;
    let sender = tokio::spawn(send_requests(record.clone(), site.clone()));
    if has_trouble() {
        for engine in &engines {
            let silence_at_order = Duration::from_millis(SILENCE_MS);
            engine.set_delays(Delays {
                silence_at_order,
                ..Delays::NONE
            });
        }
    }
    publish_version(&store, 2);
    record.line("step version 2 is named");
    let named = now_ms();
    let first = loop {
        pause(5).await;
        let first = engines.iter().position(Target::has_received_order);
        match first {
            Some(first) => break first,
            None if now_ms() > named + MAX_UPDATE_MS => return 2,
            None => {}
        }
    };
    // The faults are those of the engine which is updated first.
    for (i, engine) in engines.iter().enumerate() {
        if i != first {
            engine.end_delays();
        }
    }
    if has_trouble() {
        engines[first].replace_staged_piece(0, b"corrupt".to_vec());
    }
    let ordered = now_ms();
    record.line(&format!(
        "step the first order was received, by i-{}",
        ENGINES[first]
    ));
    let mut steps: Vec<(u64, &str)> = vec![(AGENT_STARTS_MS + REST_MS, "end")];
    if has_trouble() {
        steps.splice(
            0..0,
            [
                (KILLED_MS, "kill agent and entry"),
                (ENTRY_STARTS_MS, "start entry"),
                (AGENT_STARTS_MS, "start agent"),
            ],
        );
    }
    for (at, step) in steps {
        pause((ordered + at).saturating_sub(now_ms())).await;
        match step {
            "kill agent and entry" => {
                agents[first].kill();
                entries[1].kill();
            }
            "start entry" => entries[1].restart(),
            "start agent" => agents[first].restart(),
            _ => {}
        }
        record.line(&format!("step {step}"));
    }
    sender.abort();
    drop((agents, entries));
    let all = runs.all();
    let spoilt = all.iter().filter(|run| run.is_spoilt).count();
    record.line(&format!(
        "result: {spoilt} of {} requests ran with a layer that was taken more than 3 s after a piece of it had turned bad",
        all.len()
    ));
    if all.len() < 50 {
        return 2;
    }
    i32::from(spoilt > 0)
}

/// How long an engine that is cut off from its agent and the store, but not from entries, takes to handle a call.
pub fn delay_of_cut(engine: &Target, request: &ReceivedRequest) -> Duration {
    if request.path.starts_with("/chat/") {
        Duration::ZERO
    } else {
        engine.delay(request)
    }
}

/// Writes the entry of an engine, at once when it changes and with each heartbeat.
pub async fn write_entry(
    store: Store,
    id: String,
    address: std::net::SocketAddr,
    engine: Target,
    is_leaving: Arc<AtomicBool>,
) {
    let mut entry = target_document("engines", address);
    entry["born"] = json!(now_ms());
    entry["slots"] = json!(16);
    let (mut written, mut written_at, mut sequence) = (None, 0, 0);
    loop {
        let version = (1..=2).find(|version| engine.runs(*version));
        let state = (version, is_leaving.load(Ordering::Relaxed));
        if written != Some(state) || now_ms() >= written_at + HEARTBEAT_MS {
            sequence += 1;
            let models =
                version.map(|version| json!({ "name": "m", "version": version, "adapters": [] }));
            entry["models"] = json!(models.into_iter().collect::<Vec<_>>());
            entry["state"] = json!(if state.1 { "draining" } else { "ready" });
            entry["sequence"] = json!(sequence);
            store.put(&format!("servers/{id}"), &entry);
            (written, written_at) = (Some(state), now_ms());
        }
        pause(20).await;
    }
}

pub async fn send_requests(record: Record, site: Arc<Site>) {
    for number in 0_usize.. {
        let entry = site.address(ENTRIES[number % ENTRIES.len()], 8005);
        let (id, own) = (format!("r-{number}"), format!("a{number:x}"));
        let text = prompt_request_text(&id, "k1", &["5", &own]);
        let record = record.clone();
        tokio::spawn(async move { send_text(record, entry, &text, &id, 3000).await });
        pause(20).await;
    }
}
