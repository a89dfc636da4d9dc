//! An entry gets SIGTERM while streams are under way, and a target interrupts some of them for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::time::{
    sleep,
    sleep_until,
    timeout_at,
    Instant, //
};

use crate::http::{
    read_head,
    serve_parts,
    Part,
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

/// The route's timeout and the clients' deadline.
const DEADLINE: Duration = Duration::from_millis(6000);
const LATENCY_OBJECTIVE_MS: u64 = 500;

/// A stream has this many events at this interval, and takes 1.6 s.
const EVENTS: usize = 16;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// A target that preempts a stream is silent for this time behind this event. Clients abandon a stream
/// after a gap of 3.2 s: eight times `gap_target_ms`.
const PAUSE: Duration = Duration::from_millis(2200);
const PAUSE_AFTER: usize = 5;

/// Every third stream is preempted.
const PREEMPTED: usize = 3;

const CLIENTS: usize = 6;
const CLIENT_STAGGER: Duration = Duration::from_millis(270);
const TARGETS: [&str; 3] = ["i-1", "i-2", "i-3"];
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// When SIGTERM is sent. Clients send new requests for one second more.
const TERM_AFTER: Duration = Duration::from_secs(4);
const LAST_REQUEST_AFTER_TERM: Duration = Duration::from_secs(1);

/// `grace_period_s`, and its last sixth, in which a target may still be at work.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
const LAST_SIXTH: Duration = Duration::from_millis(1333);

#[derive(Debug)]
struct Cut {
    id: String,
    sent_at: Instant,
    ended_at: Instant,
    events: usize,
}

#[derive(Debug, Default)]
struct Observed {
    runs: usize,
    /// The target that ran each request.
    ran: BTreeMap<String, &'static str>,
    cut: Vec<Cut>,
    answered: usize,
}

type Shared = Arc<Mutex<Observed>>;

pub async fn run(case: Case) -> Result<Verdict, String> {
    let observed = Shared::default();
    let store = Store::default();
    let store_address = store.start().await;
    let configuration = config(1, DEADLINE.as_millis() as u64, LATENCY_OBJECTIVE_MS);
    store.put(name("config_key"), &configuration);
    for id in TARGETS {
        start_target(id, &store, &observed, &case).await;
    }
    let entry = Entry::start(store_address).await;
    let mut entry = entry.ok_or("the entry did not become ready")?;
    let term_at = Instant::now() + TERM_AFTER;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (observed, record) = (observed.clone(), case.record.clone());
            let stop_at = term_at + LAST_REQUEST_AFTER_TERM;
            tokio::spawn(run_client(client, entry.address, stop_at, observed, record))
        })
        .collect();
    sleep_until(term_at).await;
    case.record.line("SIGTERM to the entry");
    entry.process.signal(Signal::SIGTERM);
    let ended = entry
        .process
        .wait(GRACE_PERIOD + Duration::from_secs(1))
        .await;
    case.record.line(format!("the entry ended: {ended}"));
    for client in clients {
        client.await.map_err(|e| e.to_string())?;
    }
    judge(&case, &observed, term_at)
}

fn judge(case: &Case, observed: &Shared, term_at: Instant) -> Result<Verdict, String> {
    let observed = observed.lock().unwrap();
    let mut lost = 0;
    for cut in &observed.cut {
        let ran = observed.ran.get(&cut.id);
        let is_late = cut.ended_at >= term_at + GRACE_PERIOD - LAST_SIXTH;
        let is_after_term = cut.ended_at >= term_at;
        let counts = ran.is_some() && is_after_term && !is_late;
        lost += usize::from(counts);
        case.record.line(format!(
            "{}: cut {} ms after it was sent, with {} of {EVENTS} events, counts: {counts}",
            cut.id,
            (cut.ended_at - cut.sent_at).as_millis(),
            cut.events
        ));
    }
    case.record.line(format!(
        "{} streams were complete, {} were cut, of which {lost} count as lost",
        observed.answered,
        observed.cut.len()
    ));
    if observed.answered < CLIENTS {
        return Err("too few streams were complete".into());
    }
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

async fn start_target(id: &'static str, store: &Store, observed: &Shared, case: &Case) {
    let (observed, record, may_pause) = (observed.clone(), case.record.clone(), case.has_trouble);
    let address = serve_parts("127.0.0.1", move |request| {
        let parts = answer(id, &request, &observed, &record, may_pause);
        async move { Some(parts) }
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

fn answer(
    target: &'static str,
    request: &Request,
    observed: &Shared,
    record: &Record,
    may_pause: bool,
) -> Vec<Part> {
    let id = request.header(name("request_id"));
    if let Some(refusal) = misdirected(request, target) {
        return vec![(Duration::ZERO, refusal)];
    }
    let mut observed = observed.lock().unwrap();
    observed.runs += 1;
    observed.ran.insert(id.to_owned(), target);
    let is_preempted = may_pause && observed.runs % PREEMPTED == 0;
    record.line(format!("{target} runs {id}, preempted: {is_preempted}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\
         {}: {id}\r\n{}: {target}\r\n\r\n",
        name("request_id"),
        name("signature"),
    );
    let mut parts = vec![(EVENT_INTERVAL, head.into_bytes())];
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len()).into_bytes();
        let is_resumed = is_preempted && number == PAUSE_AFTER + 1;
        parts.push((if is_resumed { PAUSE } else { EVENT_INTERVAL }, chunk));
    }
    parts.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
    parts
}

/// Sends one request after the other on an open connection, or on a new one if that was closed.
async fn run_client(
    client: usize,
    entry: SocketAddr,
    stop_at: Instant,
    observed: Shared,
    record: Record,
) {
    sleep(CLIENT_STAGGER * client as u32).await;
    let mut connection = None;
    for number in 0.. {
        if Instant::now() >= stop_at {
            return;
        }
        let mut tcp = match connection.take() {
            Some(tcp) => tcp,
            None => match TcpStream::connect(entry).await {
                Ok(tcp) => tcp,
                Err(e) => {
                    record.line(format!("client {client} cannot connect: {e}"));
                    return;
                }
            },
        };
        let id = format!("c{client}-{number}");
        record.line(format!("client {client} sends {id}"));
        let sent_at = Instant::now();
        let exchange = timeout_at(sent_at + DEADLINE, exchange(&mut tcp, &id)).await;
        let mut observed = observed.lock().unwrap();
        match exchange {
            Ok(Ok(may_reuse)) => {
                record.line(format!("{id}: complete"));
                observed.answered += 1;
                connection = Some(tcp).filter(|_| may_reuse);
            }
            Ok(Err(events)) => {
                record.line(format!("{id}: the connection ended behind event {events}"));
                observed.cut.push(Cut {
                    id,
                    sent_at,
                    ended_at: Instant::now(),
                    events,
                });
            }
            Err(_) => record.line(format!("{id}: the deadline passed")),
        }
    }
}

/// Reads a stream. Returns whether the connection may be used again, or the number of events that came
/// if the connection ended before the stream did.
async fn exchange(tcp: &mut TcpStream, id: &str) -> Result<bool, usize> {
    let text = request("POST", "/draft/1", id, DEADLINE.as_millis() as u64);
    tcp.write_all(&text).await.map_err(|_| 0_usize)?;
    let mut buf = Vec::new();
    let head = read_head(tcp, &mut buf).await.ok_or(0_usize)?;
    if head.status != 200 {
        // A refusal is an answer; its connection is not used again.
        return Ok(false);
    }
    loop {
        if buf.ends_with(b"0\r\n\r\n") {
            return Ok(head.header("connection") != "close");
        }
        match tcp.read_buf(&mut buf).await {
            Ok(count) if count > 0 => {}
            Ok(_) | Err(_) => return Err(count_events(&buf)),
        }
    }
}

fn count_events(bytes: &[u8]) -> usize {
    bytes.windows(4).filter(|w| *w == b"id: ").count()
}
