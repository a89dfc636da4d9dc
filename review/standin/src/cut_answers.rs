//! An entry gets SIGTERM while clients with slow links read their answers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use nix::sys::signal::Signal;
use socket2::SockRef;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::{
    TcpSocket,
    TcpStream, //
};
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
    Head,
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
const DEADLINE: Duration = Duration::from_millis(3000);
const LATENCY_OBJECTIVE_MS: u64 = 300;

/// The time for which a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(60);

/// The size of an answer, and the speed of a client's link: 20 Mbit/s. An answer takes 2.1 s.
const ANSWER_BYTES: usize = 5 << 20;
const CLIENT_BYTES_PER_S: usize = 2_500_000;

/// How much a client reads at once.
const READ_BYTES: usize = 8 << 10;

/// The segment size of a link over Ethernet, and a client's receive buffer.
const SEGMENT_BYTES: u32 = 1460;
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;

const CLIENTS: usize = 6;

/// The time between the first requests of two clients.
const CLIENT_STAGGER: Duration = Duration::from_millis(350);

const TARGETS: [&str; 3] = ["i-1", "i-2", "i-3"];
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// When SIGTERM is sent, and for how long clients send requests.
const TERM_AFTER: Duration = Duration::from_secs(4);
const TRAFFIC_TIME: Duration = Duration::from_secs(12);

/// How long after SIGTERM the platform may still give the process new connections: two checks.
const ROTATION_TIME: Duration = Duration::from_secs(2);

/// `grace_period_s`.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

#[derive(Default)]
struct Observed {
    /// The requests that targets ran.
    ran: BTreeSet<String>,
    /// The requests whose connection ended without a complete answer before their deadline, with the
    /// bytes of the body that the client got.
    cut: Vec<(String, Instant, usize)>,
    answered: usize,
}

type Shared = Arc<Mutex<Observed>>;

/// The end of an exchange, as the client sees it.
enum Exchange {
    Answered { status: u16, may_reuse: bool },
    Cut(usize),
    DeadlinePassed,
}

pub async fn run(case: Case) -> Result<Verdict, String> {
    let observed = Shared::default();
    let store = Store::default();
    let store_address = store.start().await;
    store.put(
        name("config_key"),
        &config(1, DEADLINE.as_millis() as u64, LATENCY_OBJECTIVE_MS),
    );
    for id in TARGETS {
        start_target(id, &store, &observed, &case.record).await;
    }
    let entry = Entry::start(store_address).await;
    let mut entry = entry.ok_or("the entry did not become ready")?;
    let start = Instant::now();
    let term_at = start + TERM_AFTER;
    let stop_at = if case.has_trouble {
        term_at + ROTATION_TIME
    } else {
        start + TRAFFIC_TIME
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (observed, record) = (observed.clone(), case.record.clone());
            tokio::spawn(run_client(client, entry.address, stop_at, observed, record))
        })
        .collect();
    if case.has_trouble {
        sleep_until(term_at).await;
        case.record.line("SIGTERM to the entry");
        entry.process.signal(Signal::SIGTERM);
        let ended = entry
            .process
            .wait(GRACE_PERIOD + Duration::from_secs(1))
            .await;
        case.record.line(format!("the entry ended: {ended}"));
    }
    for client in clients {
        client.await.map_err(|e| e.to_string())?;
    }
    judge(&case, &observed, term_at)
}

fn judge(case: &Case, observed: &Shared, term_at: Instant) -> Result<Verdict, String> {
    let observed = observed.lock().unwrap();
    let mut lost = 0;
    for (id, ended_at, bytes) in &observed.cut {
        let after_term = ended_at.saturating_duration_since(term_at);
        let is_planned = case.has_trouble && after_term <= GRACE_PERIOD + Duration::from_secs(1);
        let counts = observed.ran.contains(id) && is_planned;
        lost += usize::from(counts);
        case.record.line(format!(
            "{id}: cut {} ms after SIGTERM with {bytes} of {ANSWER_BYTES} bytes, counts: {counts}",
            after_term.as_millis(),
        ));
    }
    case.record.line(format!(
        "{} answers were complete, {} were cut, of which {lost} count as lost",
        observed.answered,
        observed.cut.len()
    ));
    if observed.answered < CLIENTS {
        return Err("too few requests were answered".into());
    }
    if !case.has_trouble && !observed.cut.is_empty() {
        return Err("answers were cut without the disruption".into());
    }
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

async fn start_target(id: &'static str, store: &Store, observed: &Shared, record: &Record) {
    let (observed, record) = (observed.clone(), record.clone());
    let address = serve("127.0.0.1", move |request| {
        let (observed, record) = (observed.clone(), record.clone());
        async move { Some(answer(id, &request, &observed, &record).await) }
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

async fn answer(target: &str, request: &Request, observed: &Shared, record: &Record) -> Vec<u8> {
    let id = request.header(name("request_id"));
    if let Some(refusal) = misdirected(request, target) {
        return refusal;
    }
    record.line(format!(
        "{target} runs {id} ({} {})",
        request.method, request.target
    ));
    observed.lock().unwrap().ran.insert(id.to_owned());
    sleep(WORK_TIME).await;
    let body = vec![b'x'; ANSWER_BYTES];
    response(
        "200 OK",
        &[(name("request_id"), id), (name("signature"), target)],
        &body,
    )
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
            None => match connect(entry).await {
                Ok(tcp) => tcp,
                Err(e) => {
                    record.line(format!("client {client} cannot connect: {e}"));
                    return;
                }
            },
        };
        let id = format!("c{client}-{number}");
        record.line(format!("client {client} sends {id}"));
        let exchange = exchange(&mut tcp, &id).await;
        let mut observed = observed.lock().unwrap();
        match exchange {
            Exchange::Answered { status, may_reuse } => {
                record.line(format!("{id}: complete answer, status {status}"));
                observed.answered += usize::from(status == 200);
                connection = Some(tcp).filter(|_| may_reuse);
            }
            Exchange::Cut(bytes) => {
                record.line(format!(
                    "{id}: the connection ended, {bytes} bytes of the body came"
                ));
                observed.cut.push((id, Instant::now(), bytes));
            }
            Exchange::DeadlinePassed => record.line(format!("{id}: the deadline passed")),
        }
    }
}

async fn connect(entry: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(entry).await
}

async fn exchange(tcp: &mut TcpStream, id: &str) -> Exchange {
    let deadline = Instant::now() + DEADLINE;
    let reading = async {
        let text = request("POST", "/order/1", id, DEADLINE.as_millis() as u64);
        if tcp.write_all(&text).await.is_err() {
            return Exchange::Cut(0);
        }
        let mut buf = Vec::new();
        match read_head(tcp, &mut buf).await {
            Some(head) => read_body(tcp, &head, buf.len()).await,
            None => Exchange::Cut(0),
        }
    };
    timeout_at(deadline, reading)
        .await
        .unwrap_or(Exchange::DeadlinePassed)
}

/// Reads a body no faster than the client's link carries it.
async fn read_body(tcp: &mut TcpStream, head: &Head, already_read: usize) -> Exchange {
    let start = Instant::now();
    let mut received = already_read;
    let mut buf = vec![0; READ_BYTES];
    while received < head.content_length() {
        match tcp.read(&mut buf).await {
            Ok(count) if count > 0 => received += count,
            Ok(_) | Err(_) => return Exchange::Cut(received),
        }
        let seconds = received as f64 / CLIENT_BYTES_PER_S as f64;
        sleep_until(start + Duration::from_secs_f64(seconds)).await;
    }
    Exchange::Answered {
        status: head.status,
        may_reuse: head.header("connection") != "close",
    }
}
