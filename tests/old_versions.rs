//! Requests that travel for so long that they reach an engine when its version may no longer begin answers.
//! The entry and the agent are real processes, the path between them is simulated.

#[path = "soak/processes.rs"]
mod processes;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::sync::Arc;
use std::time::Duration;

use processes::Process;
use standin::engine::{
    handle_origin_request,
    Runs,
    Target, //
};
use standin::publish::{
    publish_config,
    publish_target,
    publish_version,
    request_text,
    ProcessAddresses,
    API_KEYS,
    CALLERS_PORT, //
};
use standin::{
    http_response,
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
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::mpsc;
use tokio::time::{
    sleep,
    sleep_until,
    timeout,
    Instant, //
};

/// How long processes have to start, and agents to learn of each other.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// How long after a version was published requests may begin on the one before.
const VERSION_TIME: Duration = Duration::from_secs(8);

/// How long the update of an engine may take once all pieces are available.
const UPDATE_TIME: Duration = Duration::from_secs(6);

/// The path of bytes from an entry to an engine, which they take some time for.
#[derive(Clone, Default)]
struct Path(Arc<AtomicU64>);

impl Path {
    fn set_delay(&self, delay: Duration) {
        self.0.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::SeqCst))
    }

    /// Forwards connections from `address` to `engine`.
    async fn serve(self, address: &str, engine: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                tokio::spawn(self.clone().forward(tcp, engine));
            }
        });
        address
    }

    async fn forward(self, from: TcpStream, engine: SocketAddr) {
        let to = TcpStream::connect(engine).await.unwrap();
        let (mut from_rx, mut from_tx) = from.into_split();
        let (mut to_rx, mut to_tx) = to.into_split();
        let (tx, mut rx) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
        tokio::spawn(async move {
            while let Some((at, bytes)) = rx.recv().await {
                sleep_until(at).await;
                if to_tx.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            // Fails if either side has closed.
            let _closed = tokio::io::copy(&mut to_rx, &mut from_tx).await;
        });
        let mut buf = vec![0; 64 << 10];
        while let Ok(length @ 1..) = from_rx.read(&mut buf).await {
            let arrival = Instant::now() + self.delay();
            if tx.send((arrival, buf[..length].to_vec())).is_err() {
                return;
            }
        }
        // The close travels behind the bytes.
        sleep(self.delay()).await;
    }
}

struct Case {
    name: &'static str,
    /// The pieces of version 2 that the origin lacks at first.
    missing_pieces: Range<u64>,
    /// When the origin has them after version 2 was published.
    available_after: Duration,
    /// When the request is sent after version 2 was published, and how long it travels.
    sent_after: Duration,
    delay: Duration,
}

const CASES: [Case; 4] = [
    Case {
        name: "the last layer does not arrive",
        missing_pieces: 7..8,
        available_after: Duration::from_millis(8800),
        sent_after: Duration::from_millis(6900),
        delay: Duration::from_millis(1400),
    },
    Case {
        name: "the first layer does not arrive",
        missing_pieces: 0..1,
        available_after: Duration::from_millis(9900),
        sent_after: Duration::from_millis(6900),
        delay: Duration::from_millis(2500),
    },
    Case {
        name: "no layer arrives",
        missing_pieces: 0..8,
        available_after: Duration::from_millis(8800),
        sent_after: Duration::from_millis(6900),
        delay: Duration::from_millis(1400),
    },
    Case {
        name: "the last layer arrives just before",
        missing_pieces: 6..7,
        available_after: Duration::from_millis(7900),
        sent_after: Duration::from_millis(6900),
        delay: Duration::from_millis(1250),
    },
];

/// Guards against answers of an old version after its time, which no entry can prevent once it has sent a request.
#[test]
fn request_that_travels_beyond_the_time_of_its_version_does_not_begin() {
    let cases = CASES
        .iter()
        .enumerate()
        .map(|(number, case)| std::thread::spawn(move || run_case(number, case)));
    let cases: Vec<_> = cases.collect();
    let results: Vec<_> = cases.into_iter().map(|case| case.join()).collect();
    assert!(results.iter().all(Result::is_ok));
}

#[tokio::main(flavor = "current_thread")]
async fn run_case(number: usize, case: &'static Case) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("old-versions-{number}"));
    std::fs::create_dir_all(&folder).unwrap();
    let run = std::process::id() % 200 + 20;
    let ip = |host: usize| format!("127.{run}.{}.{host}", 210 + number);
    let is_available = Arc::new(AtomicBool::new(false));
    let has_piece = is_available.clone();
    let origin = move |request: &ReceivedRequest| {
        let number: Option<u64> = request
            .query_parameter("number")
            .and_then(|n| n.parse().ok());
        let is_new = request.query_parameter("version").as_deref() == Some("2");
        let is_asked = is_new && number.is_some_and(|n| case.missing_pieces.contains(&n));
        if is_asked && !has_piece.load(Ordering::SeqCst) {
            let response = http_response("404 Not Found", &[], b"");
            return vec![ResponseStep::Write(response)];
        }
        handle_origin_request(request)
    };
    let store = Store::default();
    publish_config(&store, 1, &API_KEYS, listen(origin).await);
    let store_address = store.start().await;
    let process = |role, name: &str, own_ip, engine| {
        let addresses = ProcessAddresses {
            name: name.into(),
            ip: own_ip,
            store: store_address,
            engine,
            seeds: vec![ip(10)],
        };
        Process::start(&folder, role, addresses)
    };
    let runs = Runs::default();
    let engine = Target::engine("e-0", &runs);
    let responder = engine.clone();
    let engine_address = format!("{}:8001", ip(100));
    let address = listen_on(&engine_address, move |request| responder.respond(request)).await;
    let path = Path::default();
    let path_address = format!("{}:8002", ip(100));
    let path_address = path.clone().serve(&path_address, address).await;
    publish_target(&store, "e-0", "engines", path_address, false);
    let _agent = process("agent", "agent", ip(100), Some(address));
    let _entry = process("entry", "entry", ip(10), None);
    sleep(STARTUP_TIME).await;

    publish_version(&store, 2);
    let published_at = Instant::now();
    tokio::spawn(async move {
        sleep_until(published_at + case.available_after).await;
        is_available.store(true, Ordering::SeqCst);
    });
    sleep_until(published_at + case.sent_after).await;
    path.set_delay(case.delay);
    let address = format!("{}:{CALLERS_PORT}", ip(10));
    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = request_text("POST", "/chat/x", "late", API_KEYS[0]);
    caller.write_all(request.as_bytes()).await.unwrap();
    let arrival = published_at + case.sent_after + case.delay;
    sleep_until(arrival + Duration::from_millis(500)).await;
    let late = runs.all().into_iter().find(|run| {
        run.id == "late" && run.version == 1 && run.started_at >= published_at + VERSION_TIME
    });
    assert!(late.is_none(), "{}: {late:?}", case.name);

    let updated = async {
        while !engine.runs(2) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(UPDATE_TIME, updated).await.expect(case.name);
    assert_eq!(engine.incomplete_loads(), 0, "{}", case.name);
}
