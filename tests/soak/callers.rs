//! Callers that keep their connections open until the process is gone.

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
    request_text,
    CALLERS_PORT, //
};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(4500);

/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Stream,
    Lookup,
    Order,
}

impl Kind {
    fn line(self) -> (&'static str, &'static str) {
        match self {
            Self::Stream => ("POST", "/chat/x"),
            Self::Lookup => ("GET", "/look/x"),
            Self::Order => ("POST", "/order/x"),
        }
    }
}

/// What came of one try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Got {
    /// A whole answer with this status and body.
    Answer(u16, String),
    /// The connection ended or went silent.
    Nothing,
}

/// One try of a caller.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    pub kind: Kind,
    pub key: &'static str,
    pub sent: Instant,
    pub got: Got,
}

/// All tries of all callers.
#[derive(Clone, Debug, Default)]
pub struct Tries(Arc<Mutex<Vec<Try>>>);

impl Tries {
    pub fn all(&self) -> Vec<Try> {
        self.0.lock().unwrap().clone()
    }
}

/// Asks one entry again and again until `until`.
pub async fn call(tries: Tries, number: usize, ip: String, key: &'static str, until: Instant) {
    let kinds = [Kind::Stream, Kind::Lookup, Kind::Order];
    let mut connection: Option<TcpStream> = None;
    let mut count = 0;
    while Instant::now() < until {
        let kind = kinds[(number + count) % kinds.len()];
        let id = format!("c{number}-{count}");
        count += 1;
        if connection.is_none() {
            connection = TcpStream::connect((ip.as_str(), CALLERS_PORT)).await.ok();
        }
        let Some(tcp) = &mut connection else {
            tokio::time::sleep(PAUSE * 4).await;
            continue;
        };
        let sent = Instant::now();
        let (method, path) = kind.line();
        let text = request_text(method, path, &id, key);
        let (got, keeps) = match timeout(PATIENCE, exchange(tcp, &text)).await {
            Ok(Some((status, body, keeps))) => (Got::Answer(status, body), keeps),
            _ => (Got::Nothing, false),
        };
        if !keeps {
            connection = None;
        }
        tries.0.lock().unwrap().push(Try {
            id,
            kind,
            key,
            sent,
            got,
        });
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends a request and reads the whole answer. Tells whether the connection stays.
async fn exchange(tcp: &mut TcpStream, text: &str) -> Option<(u16, String, bool)> {
    tcp.write_all(text.as_bytes()).await.ok()?;
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = find(&buf, b"\r\n\r\n") {
            break at + 4;
        }
        if tcp.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    let mut body = buf.split_off(end);
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    let keeps = !head.contains("connection: close");
    if head.contains("transfer-encoding: chunked") {
        while !body.ends_with(b"0\r\n\r\n") {
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
    Some((status, String::from_utf8_lossy(&body).into_owned(), keeps))
}

fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).position(|w| w == pattern)
}

/// Whether the body of a success is the whole answer to the request.
pub fn is_whole(one: &Try, body: &str) -> bool {
    match one.kind {
        Kind::Stream => {
            let ids: Vec<&str> = body
                .lines()
                .filter(|line| line.starts_with("id: "))
                .collect();
            let wanted: Vec<String> = (1..=EVENTS_PER_STREAM)
                .map(|n| format!("id: {n}"))
                .collect();
            let own = format!("data: {}", one.id);
            let data = body.lines().filter(|line| line.starts_with("data: "));
            ids == wanted && data.clone().count() == ids.len() && data.clone().all(|d| d == own)
        }
        Kind::Lookup | Kind::Order => body == format!("whole {}", one.id),
    }
}
