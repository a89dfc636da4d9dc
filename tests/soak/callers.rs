//! Callers that send requests one after the other and keep their connections open until the process
//! closes them. Some read their answers slowly.

use std::sync::atomic::{
    AtomicBool,
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
use tokio::net::TcpStream;
use tokio::time::{
    timeout,
    Instant, //
};

use crate::standin::engine::EVENTS_PER_STREAM;
use crate::standin::publish::{
    prompt_request_text,
    request_text,
    CALLERS_PORT, //
};

/// How long a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4500);

/// The pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);

/// The pause of a slow caller before each part of an answer, which it reads in small parts, and how many
/// callers one of which is slow.
const READING_PAUSE: Duration = Duration::from_millis(40);
const SLOW_READER_INTERVAL: usize = 4;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Stream,
    Lookup,
    Order,
}

impl RequestKind {
    /// The text of a request. Each stream has a prompt of its own, as engines that have read a prompt before
    /// are preferred for it.
    fn text(self, id: &str, key: &str) -> String {
        match self {
            Self::Stream => prompt_request_text(id, key, &[id]),
            Self::Lookup => request_text("GET", "/look/x", id, key),
            Self::Order => request_text("POST", "/order/x", id, key),
        }
    }
}

/// The result of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// A response with this status and body.
    Response(u16, String),
    /// The connection ended or the response timed out.
    NoResponse,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct LoggedRequest {
    pub id: String,
    pub kind: RequestKind,
    pub key: &'static str,
    pub sent: Instant,
    pub ended: Instant,
    /// The number of the entry that got it.
    pub entry: usize,
    pub result: RequestResult,
}

/// The requests of all callers.
#[derive(Clone, Debug, Default)]
pub struct RequestLog(Arc<Mutex<Vec<LoggedRequest>>>);

impl RequestLog {
    pub fn all(&self) -> Vec<LoggedRequest> {
        self.0.lock().unwrap().clone()
    }
}

/// Sends requests to one entry until `stopped` is set.
pub async fn run_caller(
    requests: RequestLog,
    entry: usize,
    number: usize,
    ip: String,
    key: &'static str,
    stopped: Arc<AtomicBool>,
) {
    let kinds = [RequestKind::Stream, RequestKind::Lookup, RequestKind::Order];
    let reading_pause = if number % SLOW_READER_INTERVAL == 1 {
        READING_PAUSE
    } else {
        Duration::ZERO
    };
    let mut connection: Option<TcpStream> = None;
    let mut count = 0;
    while !stopped.load(Ordering::Relaxed) {
        let kind = kinds[(number + count) % kinds.len()];
        let id = format!("c{number}-{count}");
        count += 1;
        if connection.is_none() {
            connection = TcpStream::connect((ip.as_str(), CALLERS_PORT)).await.ok();
        }
        let Some(tcp) = &mut connection else {
            tokio::time::sleep(REQUEST_PAUSE * 4).await;
            continue;
        };
        let sent = Instant::now();
        let text = kind.text(&id, key);
        let (result, keep_alive) =
            match timeout(RESPONSE_TIMEOUT, exchange(tcp, &text, reading_pause)).await {
                Ok(Some((status, body, keep_alive))) => {
                    (RequestResult::Response(status, body), keep_alive)
                }
                _ => (RequestResult::NoResponse, false),
            };
        if !keep_alive {
            connection = None;
        }
        requests.0.lock().unwrap().push(LoggedRequest {
            id,
            kind,
            key,
            sent,
            ended: Instant::now(),
            entry,
            result,
        });
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
}

/// Sends a request and reads the whole response. Returns the status, the body and whether the
/// connection stays open.
async fn exchange(
    tcp: &mut TcpStream,
    text: &str,
    reading_pause: Duration,
) -> Option<(u16, String, bool)> {
    tcp.write_all(text.as_bytes()).await.ok()?;
    let mut buf = Vec::new();
    let end = loop {
        if let Some(position) = find(&buf, b"\r\n\r\n") {
            break position + 4;
        }
        tokio::time::sleep(reading_pause).await;
        if tcp.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    let mut body = buf.split_off(end);
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    let keep_alive = !head.contains("connection: close");
    if head.contains("transfer-encoding: chunked") {
        while !body.ends_with(b"0\r\n\r\n") {
            tokio::time::sleep(reading_pause).await;
            if tcp.read_buf(&mut body).await.ok()? == 0 {
                return None;
            }
        }
    } else {
        let length = head.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.split("\r\n").next());
        let length: usize = length.map_or(Some(0), |length| length.parse().ok())?;
        while body.len() < length {
            if tcp.read_buf(&mut body).await.ok()? == 0 {
                return None;
            }
        }
    }
    Some((
        status,
        String::from_utf8_lossy(&body).into_owned(),
        keep_alive,
    ))
}

fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len())
        .position(|window| window == pattern)
}

/// Whether `body` is the complete body of a successful response to this request.
pub fn is_complete(request: &LoggedRequest, body: &str) -> bool {
    match request.kind {
        RequestKind::Stream => {
            let ids: Vec<&str> = body
                .lines()
                .filter(|line| line.starts_with("id: "))
                .collect();
            let expected_ids: Vec<String> = (1..=EVENTS_PER_STREAM)
                .map(|n| format!("id: {n}"))
                .collect();
            let expected_data = format!("data: {}", request.id);
            let data = body.lines().filter(|line| line.starts_with("data: "));
            ids == expected_ids
                && data.clone().count() == ids.len()
                && data.clone().all(|line| line == expected_data)
        }
        RequestKind::Lookup | RequestKind::Order => body == format!("whole {}", request.id),
    }
}
