//! Callers that send requests on kept connections to a real process, targets whose answers the path of a
//! request describes, and how each request ended.

#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::collections::BTreeMap;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

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
    timeout,
    Instant, //
};

use crate::standin::publish::{
    publish_target,
    request_id,
    timed_request_text, //
};
use crate::standin::router::{
    chunk,
    event,
    signed_response,
    stream_head,
    ID,
    NOT_RUN, //
};
use crate::standin::{
    http_response,
    listen,
    ReceivedRequest,
    ResponseStep,
    Store, //
};

/// The timeout of callers and of all routes, as on the users' small sites.
pub const TIMEOUT: Duration = Duration::from_secs(6);

/// A request that is not passed on and gets no answer must have been sent this shortly before the end of its
/// connection.
pub const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Between two parts of an answer a slow caller pauses for this fraction of its first pause.
const READING_PAUSE_DIVISOR: u32 = 64;

const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// What a target does with a request, as its path says: `/ROUTE/EVENTS-INTERVAL-SILENCE/` for streams and
/// `/ROUTE/KILOBYTES-DELAY-0/` otherwise, times in milliseconds. With `refuse` at the end, targets refuse the
/// rest of a stream that began elsewhere.
fn respond(request: &ReceivedRequest) -> Vec<ResponseStep> {
    let mut parts = request.path.split('/').skip(2);
    let numbers: Vec<u64> = parts
        .next()
        .unwrap()
        .split('-')
        .map(|number| number.parse().unwrap())
        .collect();
    let [count, time, silence] = numbers[..] else {
        panic!("{}", request.path);
    };
    let wait = |millis| ResponseStep::Wait(Duration::from_millis(millis));
    if request.path.starts_with("/order") {
        let body = "x".repeat(count as usize * 1024);
        return vec![
            wait(time),
            ResponseStep::Write(signed_response(request, "200 OK", &body)),
        ];
    }
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    if after > 0 && parts.next() == Some("refuse") {
        let headers = [(ID, request.header(ID)), (NOT_RUN, "full")];
        let response = http_response("503 Service Unavailable", &headers, b"");
        return vec![ResponseStep::Write(response)];
    }
    let mut steps = vec![ResponseStep::Write(stream_head(request))];
    for number in after + 1..=count {
        if number == 3 {
            steps.push(wait(silence));
        }
        steps.push(ResponseStep::Write(chunk(&event(number))));
        steps.push(wait(time));
    }
    steps.push(ResponseStep::Write(b"0\r\n\r\n".to_vec()));
    steps
}

/// How a request of a caller ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Answer(u16),
    /// The connection ended before the answer was complete, or before it began.
    Cut {
        has_begun: bool,
    },
    /// The caller's timeout passed.
    TimedOut,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub sent_at: Instant,
    /// When the caller began to read the answer.
    pub read_at: Instant,
    pub ended_at: Instant,
    pub end: End,
}

/// What callers and targets saw.
#[derive(Clone, Default)]
pub struct Observed {
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// When each request reached a target for the first time.
    pub passed_on: Arc<Mutex<BTreeMap<String, Instant>>>,
    /// How long callers pause between two requests, in milliseconds.
    pub pause_ms: Arc<AtomicU64>,
    /// Whether callers send nothing more.
    pub is_over: Arc<AtomicBool>,
}

impl Observed {
    /// Starts a target that is listed in the store.
    pub async fn start_target(&self, store: &Store, id: &str, service: &str) {
        let passed_on = self.passed_on.clone();
        let address = listen(move |request| {
            let id = request_id(request).to_owned();
            passed_on
                .lock()
                .unwrap()
                .entry(id)
                .or_insert_with(Instant::now);
            respond(request)
        })
        .await;
        publish_target(store, id, service, address, false);
    }
}

/// A caller's behaviour.
#[derive(Clone, Copy)]
pub struct Caller {
    pub path: &'static str,
    /// How long it waits before it reads an answer. Between two parts it waits for a fraction of this.
    pub reading_pause: Duration,
    /// How long sending the head of a request takes.
    pub head_time: Duration,
    /// Bytes of an additional header.
    pub head_bytes: usize,
    /// How long sending the body of a request takes.
    pub sending_time: Duration,
}

impl Caller {
    pub const fn new(path: &'static str) -> Self {
        Self {
            path,
            reading_pause: Duration::ZERO,
            head_time: Duration::ZERO,
            head_bytes: 0,
            sending_time: Duration::ZERO,
        }
    }

    /// Sends requests on kept connections until the process accepts none any more, or callers are to end.
    pub async fn run(self, number: usize, entry: String, observed: Observed) {
        let mut connection = None;
        for count in 0.. {
            if observed.is_over.load(Ordering::Relaxed) {
                return;
            }
            if connection.is_none() {
                connection = connect(&entry).await.ok();
            }
            let Some(tcp) = &mut connection else {
                return;
            };
            let id = format!("r-{number}-{count}");
            let mut sent_at = Instant::now();
            let exchange = self.exchange(tcp, &id, &mut sent_at);
            let (end, keeps_open) = timeout(TIMEOUT + Duration::from_secs(1), exchange)
                .await
                .unwrap_or((End::TimedOut, false));
            if !keeps_open {
                connection = None;
            }
            observed.requests.lock().unwrap().push(Request {
                id,
                path: self.path.to_owned(),
                sent_at,
                read_at: sent_at + self.reading_pause,
                ended_at: Instant::now(),
                end,
            });
            let pause = observed.pause_ms.load(Ordering::Relaxed) + number as u64;
            sleep(Duration::from_millis(20 + pause)).await;
        }
    }

    async fn exchange(self, tcp: &mut TcpStream, id: &str, sent_at: &mut Instant) -> (End, bool) {
        let cut = |has_begun| (End::Cut { has_begun }, false);
        let body = [b'x'; 100];
        let mut head = timed_request_text(self.path, id, TIMEOUT, body.len());
        if self.head_bytes > 0 {
            let header = format!("\r\nX-Padding: {}\r\n\r\n", "x".repeat(self.head_bytes));
            head.replace_range(head.len() - 4.., &header);
        }
        let (mut start, mut rest) = (head.as_str(), "");
        if !self.head_time.is_zero() {
            (start, rest) = head.split_at(head.len() / 2);
        }
        if tcp.write_all(start.as_bytes()).await.is_err() {
            return cut(false);
        }
        sleep(self.head_time).await;
        if tcp.write_all(rest.as_bytes()).await.is_err() {
            return cut(false);
        }
        sleep(self.sending_time).await;
        *sent_at = Instant::now();
        if tcp.write_all(&body).await.is_err() {
            return cut(false);
        }
        sleep(self.reading_pause).await;
        let mut answer = Vec::new();
        let mut buf = vec![0; 256 << 10];
        loop {
            match tcp.read(&mut buf).await {
                Ok(0) | Err(_) => return cut(!answer.is_empty()),
                Ok(count) => answer.extend_from_slice(&buf[..count]),
            }
            if let Some((status, keeps_open)) = parse_answer(&answer) {
                return (End::Answer(status), keeps_open);
            }
            sleep(self.reading_pause / READING_PAUSE_DIVISOR).await;
        }
    }
}

/// Connects with a receive buffer so small that a caller that reads slowly holds up the process.
async fn connect(entry: &str) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(entry.parse().unwrap()).await
}

/// The status of a complete answer, and whether the connection stays open after it.
fn parse_answer(answer: &[u8]) -> Option<(u16, bool)> {
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let keeps_open = !head.contains("connection: close");
    let length = head.split("content-length: ").nth(1);
    let is_complete = match length.and_then(|rest| rest.split("\r\n").next()) {
        Some(length) => answer.len() - end >= length.parse::<usize>().ok()?,
        None => answer.ends_with(b"0\r\n\r\n"),
    };
    is_complete.then_some((status, keeps_open))
}
