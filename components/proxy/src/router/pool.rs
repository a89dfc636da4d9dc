//! Connections to targets, kept open between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{
    Builder,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use utils::clock::Clock;

/// How long a new connection may take. Data centres are milliseconds apart, and a lost opening
/// packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a connection is kept whose target does not say how long it keeps it.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(800);

/// How much sooner than its target a connection is given up, so that no request crosses its end.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// The longest head of an answer, in bytes.
const HEAD_BYTES: usize = 32 << 10;

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke.
    Broken,
}

/// A connection that carries one request at a time. It is closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Until when it may be used again.
    usable_until: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let answer = self.sender.try_send_request(request).await;
        answer.map_err(|mut e| {
            // The request comes back if nothing of it was written.
            if e.take_message().is_some() {
                ExchangeError::NotSent
            } else {
                ExchangeError::Broken
            }
        })
    }
}

/// The idle connections to all targets.
#[derive(Clone)]
pub(super) struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    clock: std::sync::Arc<dyn Clock>,
}

impl Pool {
    pub fn new(clock: std::sync::Arc<dyn Clock>) -> Self {
        Self {
            idle: Rc::default(),
            clock,
        }
    }

    /// A connection that was used before, if one is still open.
    pub async fn reuse(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let now = self.clock.now().elapsed;
            let mut connection = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            if now >= connection.usable_until {
                continue;
            }
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    /// Opens a connection.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        metrics::counter!("medlarproxy_target_connections_total").increment(1);
        let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let tcp = tcp.map_err(|_| ExchangeError::NotSent)?;
        let tcp = tcp.map_err(|_| ExchangeError::NotSent)?;
        // A connection that cannot be tuned still works.
        let _slower = tcp.set_nodelay(true);
        let handshake = Builder::new()
            .max_buf_size(HEAD_BYTES)
            .handshake(TokioIo::new(tcp))
            .await;
        let (sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
        let driver = tokio::task::spawn_local(async move {
            // The exchange on the connection reports its end, so nothing is lost here.
            let _ended = connection.await;
        });
        Ok(Connection {
            address,
            sender,
            driver: driver.abort_handle(),
            usable_until: Duration::ZERO,
        })
    }

    /// Keeps a connection whose answer is whole. `idle_time` is what the target grants.
    pub fn keep(&self, mut connection: Connection, idle_time: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_time = idle_time.map_or(DEFAULT_IDLE_TIME, |t| t.saturating_sub(IDLE_MARGIN));
        let now = self.clock.now().elapsed;
        connection.usable_until = now + idle_time;
        let mut idle = self.idle.borrow_mut();
        idle.entry(connection.address).or_default().push(connection);
    }

    /// Closes connections that may no longer be used.
    pub fn expire(&self) {
        let now = self.clock.now().elapsed;
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| now < c.usable_until && !c.sender.is_closed());
            !connections.is_empty()
        });
    }
}

/// How long a target keeps an idle connection, from its header.
pub(super) fn idle_time(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
