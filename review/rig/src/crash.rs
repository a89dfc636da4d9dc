//! A request that crashes the engines that begin to run it.

use std::path::Path;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};

use serde_json::json;

use crate::clients::send;
use crate::engine::CRASHING_PATH;
use crate::record::{
    now_ms,
    Record, //
};
use crate::standin::publish::{
    delete_target,
    publish_config,
    API_KEYS, //
};
use crate::standin::{
    listen,
    target_document,
    Store, //
};
use crate::system::{
    has_trouble,
    pause,
    Process,
    Site, //
};

const ENTRIES: [usize; 2] = [1, 2];
const ENGINES: [usize; 4] = [11, 12, 13, 14];

/// How long an engine is away after a crash.
const AWAY_MS: u64 = 3000;

/// Three heartbeat intervals, after which the store removes an entry that is not written.
const LEASE_MS: u64 = 3600;

const HEARTBEAT_MS: u64 = 1200;
const TOUCH_MS: u64 = 3000;
const LENGTH_MS: u64 = 28_000;

/// How often the sound requests come: the crashing ones are less than 3 in 100 of all.
const SOUND_INTERVAL_MS: u64 = 60;

/// The times that the rule allows the request to reach engines, later than `touch_ms` after the third crash.
const ALLOWED: usize = 3;

/// How engines answer, when the crashing request comes, and how long its caller stays.
pub struct Play {
    framing: &'static str,
    first_token_ms: u64,
    caller_leaves_after_ms: u64,
    /// From when until when the request comes, and how often.
    crashing: &'static [(u64, u64)],
    interval_ms: u64,
}

/// Answers end with their connection. The request comes for 20 s.
pub const UNFRAMED: Play = Play {
    framing: "close",
    first_token_ms: 50,
    caller_leaves_after_ms: 3000,
    crashing: &[(3000, 23_000)],
    interval_ms: 2000,
};

/// The caller leaves while the prompt is being read, after half the objective, in two spans of 5 s. Engines go on
/// with what they have.
pub const CALLER_LEAVES: Play = Play {
    framing: "chunked",
    first_token_ms: 600,
    caller_leaves_after_ms: 250,
    crashing: &[(3000, 8000), (13_000, 18_000)],
    interval_ms: 1000,
};

/// FRAMING=chunked and STAY=1 play the case without what is special in it.
pub async fn run(folder: &Path, play: &Play) -> i32 {
    let framing = std::env::var("FRAMING").unwrap_or_else(|_| play.framing.into());
    let stays = std::env::var_os("STAY").is_some();
    let patience_ms = if stays {
        3000
    } else {
        play.caller_leaves_after_ms
    };
    let first_token_ms = play.first_token_ms;
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::default();
    let origin = listen(crate::standin::engine::handle_origin_request).await;
    publish_config(&store, 1, &API_KEYS, origin);
    let site = Arc::new(Site::new(store.start().await));
    let is_over = Arc::new(AtomicBool::new(false));
    let engines: Vec<_> = ENGINES
        .iter()
        .map(|host| {
            let engine = keep_engine(
                *host,
                (framing.clone(), first_token_ms),
                site.clone(),
                store.clone(),
                record.clone(),
                is_over.clone(),
            );
            tokio::spawn(engine)
        })
        .collect();
    pause(300).await;
    let mut processes: Vec<Process> = ENGINES.iter().map(|host| site.start_agent(*host)).collect();
    processes.extend(ENTRIES.iter().map(|host| site.start_entry(*host)));
    pause(4000).await;
    let began = now_ms();
    let mut sends = Vec::new();
    let (mut number, mut crashes) = (0, 0);
    let spans = play.crashing.iter();
    let mut crashing = spans
        .flat_map(|(from, until)| (*from..*until).step_by(play.interval_ms as usize))
        .peekable();
    while now_ms() < began + LENGTH_MS {
        number += 1;
        let entry = site.address(ENTRIES[number % ENTRIES.len()], 8005);
        let sender = record.clone();
        sends.push(tokio::spawn(async move {
            send(
                sender,
                entry,
                "POST",
                &format!("/chat/sound-{number}"),
                &format!("sound-{number}"),
                "k1",
                3000,
            )
            .await;
        }));
        if crashing.next_if(|at| now_ms() >= began + at).is_some() && has_trouble() {
            crashes += 1;
            let entry = site.address(ENTRIES[crashes % ENTRIES.len()], 8005);
            let (sender, id) = (record.clone(), format!("crash-{crashes}"));
            sends.push(tokio::spawn(async move {
                send(sender, entry, "POST", CRASHING_PATH, &id, "k1", patience_ms).await;
            }));
        }
        pause(SOUND_INTERVAL_MS).await;
    }
    for sending in sends {
        let _sent = sending.await;
    }
    is_over.store(true, Ordering::Relaxed);
    for engine in engines {
        let _ended = engine.await;
    }
    let ended_alone = processes
        .iter_mut()
        .filter_map(|p| p.has_ended().then_some(()))
        .count();
    drop(processes);
    judge(&record, ended_alone)
}

/// Runs an engine on a machine, writes its entry, and starts it again under a new name after each crash.
pub async fn keep_engine(
    host: usize,
    (framing, first_token_ms): (String, u64),
    site: Arc<Site>,
    store: Store,
    record: Record,
    is_over: Arc<AtomicBool>,
) {
    let program = std::env::current_exe().expect("the path of this program");
    let address = site.address(host, 8001);
    let mut start = 0;
    while !is_over.load(Ordering::Relaxed) {
        start += 1;
        let id = format!("i-{host}-{start}");
        let arguments = [
            "engine",
            &address.to_string(),
            &id,
            &record.path().display().to_string(),
            &framing,
            &first_token_ms.to_string(),
        ];
        let arguments = arguments.map(str::to_owned).to_vec();
        let log = site.folder.join(format!("engine-{host}.log"));
        let engine = Mutex::new(Process::start(program.clone(), arguments, log));
        let mut entry = target_document("engines", address);
        entry["born"] = json!(now_ms());
        entry["slots"] = json!(16);
        let mut sequence = 0;
        let mut beat_at = now_ms() + 100;
        loop {
            pause(20).await;
            let has_ended = engine.lock().map_or(true, |mut engine| engine.has_ended());
            if has_ended || is_over.load(Ordering::Relaxed) {
                break;
            }
            if now_ms() >= beat_at {
                beat_at = now_ms() + HEARTBEAT_MS;
                sequence += 1;
                entry["sequence"] = json!(sequence);
                store.put(&format!("servers/{id}"), &entry);
            }
        }
        let (store, id) = (store.clone(), id.clone());
        tokio::spawn(async move {
            pause(LEASE_MS).await;
            delete_target(&store, &id);
        });
        if !is_over.load(Ordering::Relaxed) {
            pause(AWAY_MS).await;
        }
    }
}

/// Applies the rule to the record.
fn judge(record: &Record, ended_alone: usize) -> i32 {
    let lines = record.lines();
    let crashes: Vec<u64> = lines
        .iter()
        .filter(|(_, w)| w[0] == "crash")
        .map(|(at, _)| *at)
        .collect();
    let whole = lines.iter().filter(|(_, w)| {
        w[0] == "answered" && w[1].starts_with("sound-") && w[2] == "200" && w[3] == "whole"
    });
    let whole = whole.count();
    let late = crashes.get(2).map_or(Vec::new(), |third| {
        let runs = lines
            .iter()
            .filter(|(at, w)| w[0] == "run" && w[2] == CRASHING_PATH && *at > third + TOUCH_MS);
        let mut ids: Vec<String> = runs.map(|(_, w)| w[1].clone()).collect();
        ids.dedup();
        ids
    });
    record.line(&format!(
        "result: {} crashes of engines; {} requests of the crashing kind reached engines later than touch_ms \
         after the third, {ALLOWED} are allowed; {whole} sound answers; {ended_alone} processes ended by themselves",
        crashes.len(),
        late.len(),
    ));
    if whole < 200 {
        return 2;
    }
    i32::from(late.len() > ALLOWED)
}
