//! Bytes without end from targets and callers, to a process with little memory. The processes are real ones.

#[path = "soak/processes.rs"]
mod processes;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::path::PathBuf;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::Arc;
use std::time::Duration;

use processes::Process;
use standin::publish::{
    publish_config_for_long_requests,
    publish_target,
    timed_request_text,
    ProcessAddresses,
    CALLERS_PORT,
    MEMORY_MB, //
};
use standin::router::{
    healthy_response,
    signed_response,
    stream_head, //
};
use standin::{
    listen,
    listen_on,
    ReceivedRequest,
    ResponseStep,
    Store, //
};
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{
    sleep,
    timeout,
    Instant, //
};

const TIMEOUT: Duration = Duration::from_secs(6);
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// How long the flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(5);

const FLOODED_CALLERS: usize = 120;
const SMALL_BODY: &str = "/order/small";
const UPLOAD_BYTES: usize = 4 << 20;

/// Reacts to the paths of the flood with bytes without end, and to others properly.
fn respond(request: &ReceivedRequest) -> Vec<ResponseStep> {
    let kilobyte = vec![b'x'; 16 << 10];
    let chunked = |bytes: &[u8]| [b"4000\r\n".as_slice(), bytes, b"\r\n"].concat();
    let head = |framing: &str| {
        let whole = signed_response(request, "200 OK", "");
        let text = String::from_utf8(whole).unwrap();
        text.replace("content-length: 0\r\n", framing).into_bytes()
    };
    match request.path.rsplit('/').next() {
        Some("body") => vec![
            ResponseStep::Write(head("connection: close\r\n")),
            ResponseStep::WriteWithoutEnd(kilobyte),
        ],
        Some("large") => vec![
            ResponseStep::Write(head("content-length: 8000000\r\n")),
            ResponseStep::WriteWithoutEnd(kilobyte),
        ],
        Some("head") => vec![
            ResponseStep::Write(b"HTTP/1.1 200 OK\r\n".to_vec()),
            ResponseStep::WriteWithoutEnd(b"a: b\r\n".repeat(1000)),
        ],
        Some("event") => vec![
            ResponseStep::Write(stream_head(request)),
            ResponseStep::WriteWithoutEnd(chunked(&kilobyte)),
        ],
        Some("events") => {
            let mut event = b"id: 1\ndata: ".to_vec();
            event.resize(kilobyte.len() - 2, b'x');
            event.extend_from_slice(b"\n\n");
            vec![
                ResponseStep::Write(stream_head(request)),
                ResponseStep::Write(chunked(&event)),
                ResponseStep::WriteWithoutEnd(chunked(
                    &b"data: x\n\n".repeat(1821)[..kilobyte.len()],
                )),
            ]
        }
        _ => healthy_response(request),
    }
}

/// The memory that a process uses, in bytes.
fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes.map_or(0, |kilobytes| kilobytes.parse::<u64>().unwrap() * 1024)
}

/// Returns the highest memory use of a process until `is_over` is set.
async fn watch_memory(pid: u32, is_over: Arc<AtomicBool>) -> u64 {
    let mut peak = 0;
    while !is_over.load(Ordering::SeqCst) {
        peak = peak.max(resident_bytes(pid));
        sleep(Duration::from_millis(5)).await;
    }
    peak
}

/// Sends a request again and again, and reads the answers slowly.
async fn flood(entry: String, number: usize, until: Instant) {
    let paths = [
        "/order/body",
        "/order/large",
        "/order/head",
        "/chat/event",
        "/chat/events",
    ];
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let path = paths[number % paths.len()];
        let id = format!("f-{number}-{count}");
        let text = timed_request_text(path, &id, TIMEOUT, 0);
        let exchange = async {
            let mut tcp = TcpStream::connect(&entry).await?;
            tcp.write_all(text.as_bytes()).await?;
            let mut buf = [0; 1024];
            while tcp.read(&mut buf).await? > 0 {
                sleep(Duration::from_millis(50)).await;
            }
            std::io::Result::Ok(())
        };
        // A cut answer is what is expected.
        let _ended = timeout(TIMEOUT, exchange).await;
    }
}

/// Sends a body of the allowed size, and keeps the connection open.
async fn upload(entry: String, number: usize) {
    let text = timed_request_text(
        "/order/upload",
        &format!("u-{number}"),
        TIMEOUT,
        UPLOAD_BYTES,
    );
    let exchange = async {
        let mut tcp = TcpStream::connect(&entry).await?;
        tcp.write_all(text.as_bytes()).await?;
        let part = vec![b'x'; 64 << 10];
        for _ in 0..UPLOAD_BYTES / part.len() {
            tcp.write_all(&part).await?;
            sleep(Duration::from_millis(20)).await;
        }
        tcp.read_to_end(&mut Vec::new()).await
    };
    // The process may reject it.
    let _ended = timeout(TIMEOUT * 2, exchange).await;
}

/// Sends a small request, and returns the status of its answer.
async fn send_small(entry: &str, id: &str) -> Option<u16> {
    let exchange = async {
        let mut tcp = TcpStream::connect(entry).await.ok()?;
        let text = timed_request_text(SMALL_BODY, id, TIMEOUT, 0);
        tcp.write_all(text.as_bytes()).await.ok()?;
        let mut buf = [0; 1024];
        let count = tcp.read(&mut buf).await.ok()?;
        let answer = String::from_utf8_lossy(&buf[..count]).into_owned();
        answer.split(' ').nth(1)?.parse().ok()
    };
    timeout(TIMEOUT, exchange).await.ok().flatten()
}

/// Guards against a process that runs out of memory, and takes the requests of all its callers with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entry_serves_others_while_bytes_without_end_arrive() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("endless-entry");
    std::fs::create_dir_all(&folder).unwrap();
    let ip = format!("127.{}.205.10", std::process::id() % 200 + 20);
    let store = Store::default();
    publish_config_for_long_requests(&store, 1, TIMEOUT);
    for i in 0..4 {
        let address = listen(respond).await;
        let service = if i % 2 == 0 { "engines" } else { "desk" };
        publish_target(&store, &format!("i-{i}"), service, address, false);
    }
    let addresses = ProcessAddresses {
        name: "entry".into(),
        ip: ip.clone(),
        store: store.start().await,
        engine: None,
        seeds: Vec::new(),
    };
    let mut entry = Process::start(&folder, "entry", addresses);
    sleep(STARTUP_TIME).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let memory = tokio::spawn(watch_memory(entry.id(), is_over.clone()));
    let address = format!("{ip}:{CALLERS_PORT}");
    let until = Instant::now() + FLOOD_TIME;
    let mut callers = JoinSet::new();
    for number in 0..FLOODED_CALLERS {
        callers.spawn(flood(address.clone(), number, until));
    }
    for number in 0..40 {
        callers.spawn(upload(address.clone(), number));
    }
    let mut answers = Vec::new();
    while Instant::now() < until {
        let id = format!("s-{}", answers.len());
        answers.push(send_small(&address, &id).await);
        sleep(Duration::from_millis(20)).await;
    }
    while callers.join_next().await.is_some() {}
    is_over.store(true, Ordering::SeqCst);
    let peak = memory.await.unwrap();
    println!("entry: peak {} MB", peak >> 20);
    assert!(entry.exit_success().is_none(), "the entry has ended");
    assert!(peak > 0, "its memory could be read");
    assert!(
        peak <= MEMORY_MB << 20,
        "{} MB of {MEMORY_MB} MB",
        peak >> 20
    );
    // Every request gets an answer; while targets are put to rest, it may be a rejection.
    let unanswered = answers.iter().filter(|status| status.is_none()).count();
    assert_eq!(unanswered, 0, "{answers:?}");
    let status = send_small(&address, "s-last").await;
    assert!(status.is_some(), "{status:?}");
}

/// The memory of an instance that runs an agent.
const AGENT_MEMORY_MB: u64 = 128;

/// The same for an agent, whose engine sends bytes without end whatever it is asked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_outlives_an_engine_that_sends_bytes_without_end() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("endless-agent");
    std::fs::create_dir_all(&folder).unwrap();
    let run = std::process::id() % 200 + 20;
    struct Case {
        name: &'static str,
        reaction: fn() -> Vec<ResponseStep>,
    }
    let cases = [
        Case {
            name: "head",
            reaction: || {
                vec![
                    ResponseStep::Write(b"HTTP/1.1 200 OK\r\n".to_vec()),
                    ResponseStep::WriteWithoutEnd(b"a: b\r\n".repeat(1000)),
                ]
            },
        },
        Case {
            name: "body",
            reaction: || {
                vec![
                    ResponseStep::Write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".to_vec()),
                    ResponseStep::WriteWithoutEnd(vec![b'x'; 16 << 10]),
                ]
            },
        },
    ];
    for (number, case) in cases.iter().enumerate() {
        let store = Store::default();
        publish_config_for_long_requests(&store, 1, TIMEOUT);
        let ip = format!("127.{run}.206.{}", 100 + number);
        let reaction = case.reaction;
        let engine = listen_on(&format!("{ip}:8001"), move |_| reaction()).await;
        publish_target(&store, "e-1", "engines", engine, false);
        let addresses = ProcessAddresses {
            name: format!("agent-{number}"),
            ip,
            store: store.start().await,
            engine: Some(engine),
            seeds: Vec::new(),
        };
        let mut agent = Process::start(&folder, "agent", addresses);
        let is_over = Arc::new(AtomicBool::new(false));
        let memory = tokio::spawn(watch_memory(agent.id(), is_over.clone()));
        sleep(FLOOD_TIME).await;
        is_over.store(true, Ordering::SeqCst);
        let peak = memory.await.unwrap();
        assert!(agent.exit_success().is_none(), "{}", case.name);
        let is_within = peak <= AGENT_MEMORY_MB << 20;
        assert!(is_within, "{}: {} MB", case.name, peak >> 20);
        println!("{}: peak {} MB", case.name, peak >> 20);
    }
}
