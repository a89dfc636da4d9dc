//! Many clients send requests with bodies of the allowed size at once, beside others with small ones.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{
    sleep,
    sleep_until,
    timeout_at,
    Instant, //
};

use crate::http::{
    read_head,
    response,
    serve,
    Request, //
};
use crate::platform::{
    config,
    misdirected,
    name,
    request,
    request_head,
    target, //
};
use crate::process::{
    Entry,
    MEMORY_MB, //
};
use crate::record::Record;
use crate::store::Store;
use crate::{
    Case,
    Verdict, //
};

/// The route's timeout and the clients' deadline.
const DEADLINE: Duration = Duration::from_millis(6000);
const LATENCY_OBJECTIVE_MS: u64 = 500;

/// The time for which a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(60);

/// `max_body_bytes`, and the speed of a client's link: 12 Mbit/s. A body takes 2.8 s.
const BODY_BYTES: usize = 4 << 20;
const CLIENT_BYTES_PER_S: usize = 1_500_000;

/// How much a client sends at once.
const SEND_BYTES: usize = 16 << 10;

/// Clients with large bodies at the same time, with and without the disruption.
const UPLOADS: usize = 40;
const UPLOADS_WITHOUT_TROUBLE: usize = 12;

/// Clients with small requests, each on one open connection.
const CLIENTS: usize = 12;

const TARGETS: [&str; 3] = ["i-1", "i-2", "i-3"];
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

const BURST_AFTER: Duration = Duration::from_secs(3);
const TRAFFIC_TIME: Duration = Duration::from_secs(11);
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Observed {
    /// The requests that targets ran.
    ran: BTreeSet<String>,
    /// The requests on open connections that ended without an answer before their deadline.
    cut: Vec<String>,
    answered: usize,
    uploads_answered: usize,
    peak_mb: f64,
    is_killed: bool,
}

type Shared = Arc<Mutex<Observed>>;

pub async fn run(case: Case) -> Result<Verdict, String> {
    let observed = Shared::default();
    let store = Store::default();
    let store_address = store.start().await;
    let configuration = config(1, DEADLINE.as_millis() as u64, LATENCY_OBJECTIVE_MS);
    store.put(name("config_key"), &configuration);
    for id in TARGETS {
        start_target(id, &store, &observed).await;
    }
    let entry = Entry::start(store_address).await;
    let entry = Arc::new(entry.ok_or("the entry did not become ready")?);
    let start = Instant::now();
    let stop_at = start + TRAFFIC_TIME;
    let mut tasks: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (observed, record) = (observed.clone(), case.record.clone());
            tokio::spawn(run_client(client, entry.address, stop_at, observed, record))
        })
        .collect();
    tasks.push(tokio::spawn(limit_memory(
        entry.clone(),
        stop_at,
        observed.clone(),
        case.record.clone(),
    )));
    sleep_until(start + BURST_AFTER).await;
    let uploads = if case.has_trouble {
        UPLOADS
    } else {
        UPLOADS_WITHOUT_TROUBLE
    };
    case.record.line(format!(
        "{uploads} clients send bodies of {BODY_BYTES} bytes"
    ));
    tasks.extend((0..uploads).map(|number| {
        let (observed, record) = (observed.clone(), case.record.clone());
        tokio::spawn(upload(number, entry.address, observed, record))
    }));
    for task in tasks {
        task.await.map_err(|e| e.to_string())?;
    }
    judge(&case, &observed)
}

fn judge(case: &Case, observed: &Shared) -> Result<Verdict, String> {
    let observed = observed.lock().unwrap();
    let lost = observed
        .cut
        .iter()
        .filter(|id| observed.ran.contains(*id))
        .count();
    case.record.line(format!(
        "peak memory {:.1} MB of {MEMORY_MB} MB, killed: {}; {} small and {} large requests were answered, \
         {} small ones were cut, of which targets ran {lost}",
        observed.peak_mb,
        observed.is_killed,
        observed.answered,
        observed.uploads_answered,
        observed.cut.len()
    ));
    if observed.answered < CLIENTS {
        return Err("too few requests were answered".into());
    }
    // LOST: more than three times.
    Ok(if lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Kills the entry when it exceeds its memory, as the platform does.
async fn limit_memory(entry: Arc<Entry>, stop_at: Instant, observed: Shared, record: Record) {
    while Instant::now() < stop_at {
        sleep(MEMORY_CHECK_INTERVAL).await;
        let Some(used_mb) = entry.process.private_memory_mb() else {
            return;
        };
        let mut observed = observed.lock().unwrap();
        observed.peak_mb = observed.peak_mb.max(used_mb);
        if used_mb > f64::from(MEMORY_MB) {
            observed.is_killed = true;
            record.line(format!("the entry uses {used_mb:.1} MB: it is killed"));
            entry.process.signal(Signal::SIGKILL);
            return;
        }
    }
}

async fn start_target(id: &'static str, store: &Store, observed: &Shared) {
    let observed = observed.clone();
    let address = serve("127.0.0.1", move |request| {
        let observed = observed.clone();
        async move { Some(answer(id, &request, &observed).await) }
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

async fn answer(target: &str, request: &Request, observed: &Shared) -> Vec<u8> {
    let id = request.header(name("request_id"));
    if let Some(refusal) = misdirected(request, target) {
        return refusal;
    }
    observed.lock().unwrap().ran.insert(id.to_owned());
    sleep(WORK_TIME).await;
    let body = format!("{} bytes", request.body.len());
    response(
        "200 OK",
        &[(name("request_id"), id), (name("signature"), target)],
        body.as_bytes(),
    )
}

/// Sends small requests one after the other on an open connection.
async fn run_client(
    client: usize,
    entry: SocketAddr,
    stop_at: Instant,
    observed: Shared,
    record: Record,
) {
    let Ok(mut tcp) = TcpStream::connect(entry).await else {
        return;
    };
    for number in 0.. {
        if Instant::now() >= stop_at {
            return;
        }
        let id = format!("c{client}-{number}");
        let text = request("POST", "/order/1", &id, DEADLINE.as_millis() as u64);
        let deadline = Instant::now() + DEADLINE;
        let exchange = async {
            tcp.write_all(&text).await.ok()?;
            let mut buf = Vec::new();
            let head = read_head(&mut tcp, &mut buf).await?;
            while buf.len() < head.content_length() {
                let read = tokio::io::AsyncReadExt::read_buf(&mut tcp, &mut buf).await;
                read.ok().filter(|count| *count > 0)?;
            }
            Some(head)
        };
        let answer = timeout_at(deadline, exchange).await;
        let mut observed = observed.lock().unwrap();
        match answer {
            Ok(Some(head)) => observed.answered += usize::from(head.status == 200),
            Ok(None) => {
                record.line(format!("{id}: the connection ended without an answer"));
                observed.cut.push(id);
                return;
            }
            Err(_) => {
                record.line(format!("{id}: the deadline passed"));
                return;
            }
        }
    }
}

/// Sends one request with a large body, no faster than the client's link carries it.
async fn upload(number: usize, entry: SocketAddr, observed: Shared, record: Record) {
    let id = format!("u{number}");
    let deadline = Instant::now() + DEADLINE;
    let exchange = async {
        let mut tcp = TcpStream::connect(entry).await.ok()?;
        let head = request_head(
            "POST",
            "/order/2",
            &id,
            DEADLINE.as_millis() as u64,
            BODY_BYTES,
            &[],
        );
        tcp.write_all(&head).await.ok()?;
        let start = Instant::now();
        let part = vec![b'x'; SEND_BYTES];
        for sent in (SEND_BYTES..=BODY_BYTES).step_by(SEND_BYTES) {
            tcp.write_all(&part).await.ok()?;
            let seconds = sent as f64 / CLIENT_BYTES_PER_S as f64;
            sleep_until(start + Duration::from_secs_f64(seconds)).await;
        }
        read_head(&mut tcp, &mut Vec::new()).await
    };
    let status = timeout_at(deadline, exchange)
        .await
        .ok()
        .flatten()
        .map(|head| head.status);
    record.line(format!("{id}: status {status:?}"));
    observed.lock().unwrap().uploads_answered += usize::from(status == Some(200));
}
