//! An engine that was added loads a spoilt piece of the first version, and its agent starts after that.

use std::path::Path;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::Arc;
use std::time::Duration;

use crate::record::{
    now_ms,
    Record, //
};
use crate::spoilt::{
    delay_of_cut,
    send_requests,
    write_entry,
    ENGINES,
    ENTRIES, //
};
use crate::standin::engine::{
    Delays,
    Runs,
    Target,
    PIECES_PER_VERSION, //
};
use crate::standin::publish::{
    publish_config,
    API_KEYS, //
};
use crate::standin::{
    listen,
    listen_with_delay,
    Store, //
};
use crate::system::{
    has_trouble,
    pause,
    Process,
    Site, //
};

/// The machine of the engine that is added.
const ADDED: usize = 16;

/// How long the engine is silent from its order on.
const SILENCE: Duration = Duration::from_millis(3200);

/// When the agent is killed after the order, and when it starts again.
const KILLED_MS: u64 = 1500;
const STARTED_MS: u64 = 3700;

/// When the former engines drain, as in a release.
const RELEASE_MS: u64 = 2000;

/// How long requests are sent then.
const REST_MS: u64 = 4000;

const MAX_UPDATE_MS: u64 = 20_000;

fn engine_id(host: usize) -> String {
    format!("i-{host}")
}

pub async fn run(folder: &Path) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::default();
    let origin = listen(crate::standin::engine::handle_origin_request).await;
    publish_config(&store, 1, &API_KEYS, origin);
    let site = Arc::new(Site::new(store.start().await));
    let runs = Runs::default();
    let is_released = Arc::new(AtomicBool::new(false));
    let serve = |host: usize, engine: Target, is_leaving: Arc<AtomicBool>| {
        let (store, site) = (store.clone(), site.clone());
        async move {
            let (delays, responder) = (engine.clone(), engine.clone());
            let address = listen_with_delay(
                &site.address(host, 8001).to_string(),
                move |request| delay_of_cut(&delays, request),
                move |request| responder.respond(request),
            )
            .await;
            tokio::spawn(write_entry(
                store,
                engine_id(host),
                address,
                engine,
                is_leaving,
            ));
        }
    };
    for host in ENGINES {
        let engine = Target::engine(&engine_id(host), &runs);
        serve(host, engine, is_released.clone()).await;
    }
    pause(300).await;
    let agents: Vec<Process> = ENGINES.iter().map(|host| site.start_agent(*host)).collect();
    let entries: Vec<Process> = ENTRIES.iter().map(|host| site.start_entry(*host)).collect();
    pause(4000).await;
    let sender = tokio::spawn(send_requests(record.clone(), site.clone()));
    pause(1000).await;
    let engine = Target::engine(&engine_id(ADDED), &runs);
    engine.restart();
    for number in 0..PIECES_PER_VERSION {
        engine.drop_staged_piece(number);
    }
    if has_trouble() {
        engine.set_delays(Delays {
            silence_at_order: SILENCE,
            ..Delays::NONE
        });
    }
    serve(ADDED, engine.clone(), Arc::default()).await;
    let mut agent = site.start_agent(ADDED);
    record.line("step an engine is added, without layers and pieces");
    let added = now_ms();
    while !engine.has_received_order() {
        if now_ms() > added + MAX_UPDATE_MS {
            return 2;
        }
        pause(5).await;
    }
    let ordered = now_ms();
    record.line("step the order was received");
    if has_trouble() {
        engine.replace_staged_piece(0, b"corrupt".to_vec());
        record.line("step a piece turned bad");
        pause((ordered + KILLED_MS).saturating_sub(now_ms())).await;
        agent.kill();
        record.line("step kill agent");
        pause((ordered + STARTED_MS).saturating_sub(now_ms())).await;
        agent.restart();
        record.line("step start agent");
    }
    pause(RELEASE_MS).await;
    is_released.store(true, Ordering::Relaxed);
    record.line("step the engines of the start are drained");
    pause(REST_MS).await;
    sender.abort();
    drop((agents, agent, entries));
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
