//! The store comes back from a copy, and an entry starts before the operator has written again.

use std::path::Path;
use std::sync::{
    Arc,
    Mutex, //
};

use serde_json::json;

use crate::clients::send;
use crate::record::{
    now_ms,
    Record, //
};
use crate::standin::engine::{
    Runs,
    Target, //
};
use crate::standin::publish::{
    publish_config,
    request_id, //
};
use crate::standin::{
    listen,
    target_document,
    Store,
    StoreFault, //
};
use crate::system::{
    has_trouble,
    pause,
    Site, //
};

const ENTRIES: [usize; 2] = [1, 2];

/// `revoke_timeout_ms`
const REVOKE_MS: u64 = 5000;

/// The steps of the case, in milliseconds from the first request.
const COPY_AT: u64 = 3000;
const REVOKED_AT: u64 = 4000;
const AWAY_AT: u64 = 9500;
const KILLED_AT: u64 = 9700;
const STARTED_AT: u64 = 10_000;
const BACK_AT: u64 = 10_500;
const WRITTEN_AGAIN_AT: u64 = 12_500;
const END_AT: u64 = 17_000;

pub async fn run(folder: &Path) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::default();
    let origin = listen(crate::standin::engine::handle_origin_request).await;
    publish_config(&store, 1, &["k1", "k2"], origin);
    for number in 1..=3 {
        let id = format!("i-desk-{number}");
        let target = Target::service(&id, &Runs::default());
        let (runs, name) = (record.clone(), id.clone());
        let address = listen(move |request| {
            if !target.rejects(request) {
                runs.line(&format!(
                    "run {} {} by {name}",
                    request_id(request),
                    request.path
                ));
            }
            target.respond(request)
        })
        .await;
        let mut entry = target_document("desk", address);
        entry["born"] = json!(now_ms());
        store.put(&format!("servers/{id}"), &entry);
    }
    let site = Arc::new(Site::new(store.start().await));
    let entries: Vec<_> = ENTRIES.iter().map(|host| site.start_entry(*host)).collect();
    let entries = Arc::new(Mutex::new(entries));
    pause(2000).await;
    let began = now_ms();
    let mut sends = Vec::new();
    let mut steps: Vec<(u64, &str)> = vec![(REVOKED_AT, "revoke")];
    if has_trouble() {
        steps.extend([
            (COPY_AT, "copy"),
            (AWAY_AT, "away"),
            (KILLED_AT, "kill"),
            (STARTED_AT, "start"),
            (BACK_AT, "back"),
            (WRITTEN_AGAIN_AT, "again"),
        ]);
    }
    steps.sort_unstable();
    let mut steps = steps.into_iter().peekable();
    let mut acknowledged = u64::MAX;
    let mut number = 0;
    while now_ms() < began + END_AT {
        while let Some((_, step)) = steps.next_if(|(at, _)| now_ms() >= began + at) {
            match step {
                "copy" => store.take_copy(),
                "revoke" => {
                    publish_config(&store, 2, &["k1"], origin);
                    acknowledged = now_ms();
                }
                "away" => store.set_fault(StoreFault::Busy),
                "kill" => entries.lock().expect("entries")[1].kill(),
                "start" => entries.lock().expect("entries")[1].restart(),
                "back" => {
                    store.restore();
                    store.set_fault(StoreFault::None);
                }
                _ => publish_config(&store, 2, &["k1"], origin),
            }
            record.line(&format!("step {step}"));
        }
        number += 1;
        for host in ENTRIES {
            for key in ["k1", "k2"] {
                let (record, entry) = (record.clone(), site.address(host, 8005));
                sends.push(tokio::spawn(async move {
                    let id = format!("{key}-{host}-{number}");
                    send(record, entry, "GET", "/look/x", &id, key, 3000).await;
                }));
            }
        }
        pause(200).await;
    }
    for sending in sends {
        let _sent = sending.await;
    }
    drop(entries);
    judge(&record, acknowledged)
}

fn judge(record: &Record, acknowledged: u64) -> i32 {
    let lines = record.lines();
    let is_late = |id: &String| {
        let sent = lines.iter().find(|(_, w)| w[0] == "sent" && w[1] == *id);
        sent.is_some_and(|(at, _)| *at > acknowledged + REVOKE_MS)
    };
    let runs: Vec<&String> = lines
        .iter()
        .filter(|(_, w)| w[0] == "run")
        .map(|(_, w)| &w[1])
        .collect();
    let sound = runs.iter().filter(|id| id.starts_with("k1-")).count();
    let late = runs
        .iter()
        .filter(|id| id.starts_with("k2-") && is_late(id))
        .count();
    record.line(&format!(
        "result: {late} requests ran with the key that was taken away, sent later than revoke_timeout_ms after \
         the acknowledgement; {sound} with the other key"
    ));
    if sound < 50 {
        return 2;
    }
    i32::from(late > 0)
}
