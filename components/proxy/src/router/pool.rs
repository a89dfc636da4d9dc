//! Connections to targets, which are kept open between requests.

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
use utils::clock::Clock;
use utils::run_time::timeout;

use crate::final_answer::is_no_answer;

/// How long opening a connection may take. Data centres are milliseconds apart, and a lost SYN
/// packet is resent only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an idle connection is kept if the target does not announce its own timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// How much earlier than the target this process closes an idle connection, so that no request is
/// sent while the target closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// The longest head of a response.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Why no response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// The request was not handed to a connection, since its target may not get it any more.
    Withheld,
    /// The target sent something that is no answer in the protocol. It may have received the request.
    NoAnswer,
    /// The connection was lost; the target may have received the request.
    ConnectionLost,
}

/// A connection that carries one request at a time. It is closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// The task that reads from and writes to the connection.
    driver: AbortHandle,
    /// Until when the idle connection may be used.
    usable_until: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut e| {
            // The error contains the request if none of it was sent.
            if e.take_message().is_some() {
                ExchangeError::NotSent
            } else if is_no_answer(e.error()) {
                ExchangeError::NoAnswer
            } else {
                ExchangeError::ConnectionLost
            }
        })
    }
}

/// The idle connections to all targets.
#[derive(Clone)]
pub(super) struct ConnectionPool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    clock: std::sync::Arc<dyn Clock>,
}

impl ConnectionPool {
    pub fn new(clock: std::sync::Arc<dyn Clock>) -> Self {
        Self {
            idle: Rc::default(),
            clock,
        }
    }

    /// Takes an idle connection to this address, if one is still open.
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
        // Without this option the connection is only slower.
        let _ignored = tcp.set_nodelay(true);
        let handshake = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(tcp))
            .await;
        let (sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
        let driver = tokio::task::spawn_local(async move {
            // The result is not needed: `send` reports the error of a lost connection.
            let _ended = connection.await;
        });
        Ok(Connection {
            address,
            sender,
            driver: driver.abort_handle(),
            usable_until: Duration::ZERO,
        })
    }

    /// Keeps a connection for reuse after a complete response. `target_timeout` is how long the
    /// target keeps it open.
    pub fn release(&self, mut connection: Connection, target_timeout: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_timeout = target_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        let now = self.clock.now().elapsed;
        connection.usable_until = now + idle_timeout;
        let mut idle = self.idle.borrow_mut();
        idle.entry(connection.address).or_default().push(connection);
    }

    /// Closes idle connections that may no longer be used.
    pub fn close_expired(&self) {
        let now = self.clock.now().elapsed;
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| now < c.usable_until && !c.sender.is_closed());
            !connections.is_empty()
        });
    }
}

/// How long a target keeps an idle connection open, from its `Keep-Alive` header.
pub(super) fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
