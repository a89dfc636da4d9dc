//! The server side of calls between processes.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{
    RecvStream,
    SendStream, //
};
use http::Response;
use protocol::{
    Envelope,
    Reply,
    Request, //
};
use serde::Serialize;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::task::JoinSet;

use crate::error::WireError;
use crate::framing::{
    encode,
    send_all,
    MessageReader, //
};
use crate::DEFAULT_WINDOW_BYTES;

/// Delay after a failed accept, which may be due to exhausted file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 4096;

/// Accepts connections and passes each request to `handler`. Runs until the future is dropped,
/// which closes all connections.
pub async fn serve<F>(
    listener: TcpListener,
    handler: impl Fn(Envelope<Request>, Responder) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_ended) = connections.join_next() => continue,
        };
        match accepted {
            Ok((tcp, _)) => {
                connections.spawn(serve_connection(tcp, handler.clone()));
            }
            Err(e) => {
                log::warn!("failed to accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F>(
    tcp: TcpStream,
    handler: impl Fn(Envelope<Request>, Responder) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    // Without TCP_NODELAY the connection is only slower, so an error is ignored.
    let _result = tcp.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(DEFAULT_WINDOW_BYTES)
        .initial_connection_window_size(4 * DEFAULT_WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .handshake(tcp);
    let mut connection = match handshake.await {
        Ok(connection) => connection,
        Err(e) => {
            log::debug!("HTTP/2 handshake failed: {e}");
            return;
        }
    };
    let mut streams = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            Some(_ended) = streams.join_next() => continue,
        };
        let Some(Ok((request, response))) = accepted else {
            // The client has disconnected, but handlers that have started must still complete.
            streams.detach_all();
            return;
        };
        let handler = handler.clone();
        streams.spawn(async move {
            if let Err(e) = serve_stream(request.into_body(), response, handler).await {
                log::debug!("failed to receive a request: {e}");
            }
        });
    }
}

async fn serve_stream<F>(
    body: RecvStream,
    mut response: SendResponse<Bytes>,
    handler: impl Fn(Envelope<Request>, Responder) -> F,
) -> Result<(), WireError>
where
    F: Future<Output = ()>,
{
    let request = MessageReader::new(body).receive_required().await?;
    let stream = response.send_response(Response::new(()), false)?;
    handler(request, Responder { stream }).await;
    Ok(())
}

/// Sends the reply to one request.
#[derive(Debug)]
pub struct Responder {
    stream: SendStream<Bytes>,
}

impl Responder {
    /// Sends the last message and ends the reply.
    pub async fn send_last(mut self, message: &Envelope<Reply>) -> Result<(), WireError> {
        send_all(&mut self.stream, encode(message)?, true).await
    }

    /// Sends a message without ending the reply.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), WireError> {
        send_all(&mut self.stream, encode(message)?, false).await
    }

    /// Sends raw bytes without ending the reply.
    pub async fn send_raw(&mut self, data: Bytes) -> Result<(), WireError> {
        send_all(&mut self.stream, data, false).await
    }

    /// Ends a reply that was sent in several parts.
    pub fn end(mut self) -> Result<(), WireError> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    /// Waits until the client resets the stream or the connection closes.
    pub async fn wait_closed(&mut self) {
        // A reset and a connection error both mean that the reply is no longer read.
        let _result = std::future::poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }
}
