//! Calls to other processes over pooled connections.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{
    Method,
    Request as HttpRequest, //
};
use protocol::{
    Envelope,
    Reply,
    Request, //
};
use tokio::net::TcpStream;
use utils::run_time::timeout;

use crate::error::WireError;
use crate::framing::{
    encode,
    send_all,
    MessageReader, //
};
use crate::DEFAULT_WINDOW_BYTES;

type AddressFilter = dyn Fn(SocketAddr) -> bool + Send + Sync;

/// Settings of a [`Pool`].
#[derive(Clone)]
pub struct PoolOptions {
    /// Time limit for establishing a new connection.
    pub connect_timeout: Duration,
    /// HTTP/2 flow control window of one reply. A small window limits the queue at the link of the
    /// receiving instance when many processes send to it at once.
    pub window_bytes: u32,
    /// Returns whether an address may be contacted. Fault injection tests use it to cut links.
    pub is_reachable: Arc<AddressFilter>,
}

impl fmt::Debug for PoolOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PoolOptions")
            .field("connect_timeout", &self.connect_timeout)
            .field("window_bytes", &self.window_bytes)
            .finish_non_exhaustive()
    }
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            window_bytes: DEFAULT_WINDOW_BYTES,
            is_reachable: Arc::new(|_| true),
        }
    }
}

/// The connection to one address, or `None` until it is established.
type ConnectionSlot = Arc<tokio::sync::Mutex<Option<SendRequest<Bytes>>>>;

/// A pool that keeps one connection to each process that was called.
#[derive(Clone, Debug)]
pub struct Pool {
    options: PoolOptions,
    connections: Arc<Mutex<HashMap<SocketAddr, ConnectionSlot>>>,
}

/// The reply to a call.
#[derive(Debug)]
pub struct CallReply {
    /// The first message of the reply.
    pub reply: Envelope<Reply>,
    /// Reads the messages or raw bytes that follow it.
    pub reader: MessageReader,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(options: PoolOptions) -> Self {
        Self {
            options,
            connections: Arc::default(),
        }
    }

    /// Sends `message` and waits for the first message of the reply.
    ///
    /// `call_timeout` applies to obtaining a connection and to the exchange separately, so a call
    /// can take twice as long. A failed exchange removes the connection from the pool.
    pub async fn call(
        &self,
        address: SocketAddr,
        message: &Envelope<Request>,
        call_timeout: Duration,
    ) -> Result<CallReply, WireError> {
        let body = encode(message)?;
        let sender = timeout(call_timeout, self.ready_sender(address))
            .await
            .map_err(|_| WireError::NotSent("timed out waiting for a connection".into()))??;
        let exchange = send_request(sender, body);
        let result = timeout(call_timeout, exchange).await;
        let result = result.unwrap_or(Err(WireError::Timeout));
        if result.is_err() {
            self.remove_connection(address);
        }
        if !(self.options.is_reachable)(address) {
            return Err(WireError::ConnectionLost(
                "the link is blocked by fault injection".into(),
            ));
        }
        result
    }

    /// Returns a sender that is ready for a request, connecting first if necessary.
    async fn ready_sender(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, WireError> {
        if !(self.options.is_reachable)(address) {
            return Err(WireError::NotSent(
                "the link is blocked by fault injection".into(),
            ));
        }
        let slot = self.connection_slot(address);
        let mut connection = slot.lock().await;
        if let Some(sender) = connection.clone() {
            if let Ok(ready) = sender.ready().await {
                return Ok(ready);
            }
        }
        *connection = None;
        let connect = connect(address, self.options.window_bytes);
        let sender = timeout(self.options.connect_timeout, connect)
            .await
            .map_err(|_| WireError::NotSent("connecting timed out".into()))??;
        *connection = Some(sender.clone());
        sender
            .ready()
            .await
            .map_err(|e| WireError::NotSent(e.to_string()))
    }

    fn connection_slot(&self, address: SocketAddr) -> ConnectionSlot {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.entry(address).or_default().clone()
    }

    /// Removes the connection, so that the next call establishes a new one.
    pub fn remove_connection(&self, address: SocketAddr) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.remove(&address);
    }
}

async fn connect(address: SocketAddr, window_bytes: u32) -> Result<SendRequest<Bytes>, WireError> {
    let not_sent = |e: &dyn fmt::Display| WireError::NotSent(e.to_string());
    let tcp = TcpStream::connect(address).await.map_err(|e| {
        if e.kind() == io::ErrorKind::ConnectionRefused {
            WireError::Refused(e.to_string())
        } else {
            not_sent(&e)
        }
    })?;
    tcp.set_nodelay(true).map_err(|e| not_sent(&e))?;
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(window_bytes)
        .initial_connection_window_size(4 * DEFAULT_WINDOW_BYTES)
        .handshake(tcp)
        .await
        .map_err(|e| not_sent(&e))?;
    tokio::spawn(async move {
        // A connection error is also reported by each stream, so it can be ignored here.
        let _result = connection.await;
    });
    Ok(sender)
}

/// Sends an encoded request and waits for the first message of the reply.
async fn send_request(mut sender: SendRequest<Bytes>, body: Bytes) -> Result<CallReply, WireError> {
    let request = HttpRequest::builder()
        .method(Method::POST)
        .uri("http://medlarproxy/")
        .body(())
        .map_err(|e| WireError::NotSent(e.to_string()))?;
    let (response, mut stream) = sender
        .send_request(request, false)
        .map_err(|e| WireError::NotSent(e.to_string()))?;
    send_all(&mut stream, body, true).await?;
    let response = response.await?;
    let mut reader = MessageReader::new(response.into_body());
    let reply = reader.receive_required().await?;
    Ok(CallReply { reply, reader })
}
