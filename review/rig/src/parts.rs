//! A part of prompts that crashes engines, with another part behind it that sound requests share.

use std::path::Path;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::Arc;

use crate::clients::send_text;
use crate::crash::keep_engine;
use crate::engine::CRASHING_PART;
use crate::record::{
    now_ms,
    Record, //
};
use crate::standin::publish::{
    prompt_request_text,
    publish_config,
    API_KEYS, //
};
use crate::standin::{
    listen,
    Store, //
};
use crate::system::{
    has_trouble,
    pause,
    Process,
    Site, //
};

const ENTRIES: [usize; 4] = [1, 2, 3, 4];
const ENGINES: [usize; 11] = [11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21];

/// The parts that sound requests share.
const FIRST_PART: &str = "5";
const LAST_PART: &str = "7";

/// How often sound requests come, and those with the crashing part.
const SOUND_INTERVAL_MS: u64 = 1700;
const CRASHING_INTERVAL_MS: u64 = 400;

/// From when on the crashing part comes, in milliseconds from the first request.
const CRASHING_FROM: u64 = 36_000;
const END_AT: u64 = 82_000;

const TOUCH_MS: u64 = 3000;

/// The number of sound requests that the rule wants of each kind.
const MIN_SOUND: usize = 20;

pub async fn run(folder: &Path) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::default();
    let origin = listen(crate::standin::engine::handle_origin_request).await;
    publish_config(&store, 1, &API_KEYS, origin);
    let site = Arc::new(Site::new(store.start().await));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for host in ENGINES {
        let framing = ("chunked".to_owned(), 50);
        let engine = keep_engine(
            host,
            framing,
            site.clone(),
            store.clone(),
            record.clone(),
            is_over.clone(),
        );
        engines.push(tokio::spawn(engine));
    }
    pause(300).await;
    let mut processes: Vec<Process> = ENGINES.iter().map(|host| site.start_agent(*host)).collect();
    processes.extend(ENTRIES.iter().map(|host| site.start_entry(*host)));
    pause(4000).await;
    let began = now_ms();
    let mut sends = Vec::new();
    let mut sound_at = (0..END_AT).step_by(SOUND_INTERVAL_MS as usize).peekable();
    let crashing = CRASHING_FROM + 250..END_AT;
    let mut crashing_at = crashing.step_by(CRASHING_INTERVAL_MS as usize).peekable();
    let mut number = 0;
    while now_ms() < began + END_AT {
        let is_due = |at: &u64| now_ms() >= began + at;
        let mut due = Vec::new();
        due.extend(sound_at.next_if(is_due).map(|_| ("sound", None)));
        let bad = crashing_at.next_if(is_due).filter(|_| has_trouble());
        due.extend(bad.map(|_| ("crashing", Some(CRASHING_PART))));
        for (kind, bad) in due {
            number += 1;
            let own = format!("a{number:x}");
            let parts = [Some(FIRST_PART), bad, Some(LAST_PART), Some(&own)];
            let parts: Vec<&str> = parts.into_iter().flatten().collect();
            let id = format!("{kind}-{number}");
            let text = prompt_request_text(&id, "k1", &parts);
            let entry = site.address(ENTRIES[number % ENTRIES.len()], 8005);
            let record = record.clone();
            record.line(&format!("sent {id} {} to {entry}", parts.join(",")));
            sends.push(tokio::spawn(async move {
                send_text(record, entry, &text, &id, 3000).await;
            }));
        }
        pause(10).await;
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
        .filter_map(|p| p.has_ended().then_some(()));
    let ended_alone = ended_alone.count();
    drop(processes);
    judge(&record, began, ended_alone)
}

/// Applies the rule to the record.
fn judge(record: &Record, began: u64, ended_alone: usize) -> i32 {
    let lines = record.lines();
    let crashes: Vec<u64> = lines
        .iter()
        .filter(|(_, w)| w[0] == "crash")
        .map(|(at, _)| *at)
        .collect();
    let fifth = crashes.get(4).or(crashes.last()).copied();
    let judged_from = fifth.unwrap_or(began + CRASHING_FROM) + 2 * TOUCH_MS;
    // The number of sound requests that were sent in a span, and of those that began to run.
    let count = |from: u64, until: u64| {
        let sent = lines.iter().filter(|(at, w)| {
            w[0] == "sent" && w[1].starts_with("sound-") && (from..until).contains(at)
        });
        let sent: Vec<&String> = sent.map(|(_, w)| &w[1]).collect();
        let has_begun = |id: &&&String| lines.iter().any(|(_, w)| w[0] == "run" && w[1] == ***id);
        (sent.len(), sent.iter().filter(has_begun).count())
    };
    let (sent_before, begun_before) = count(began, began + CRASHING_FROM);
    let (sent_after, begun_after) = count(judged_from, began + END_AT);
    record.line(&format!(
        "result: {} crashes of engines; of sound requests, {begun_before} of {sent_before} began to run before, \
         and {begun_after} of {sent_after} from 2 x touch_ms after the fifth crash on; {ended_alone} processes \
         ended by themselves",
        crashes.len(),
    ));
    if sent_before < MIN_SOUND || sent_after < MIN_SOUND {
        return 2;
    }
    i32::from(2 * begun_after * sent_before < begun_before * sent_after)
}
