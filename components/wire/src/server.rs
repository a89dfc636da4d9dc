//! Answers to calls of other processes.

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
    Frames, //
};
use crate::WINDOW_BYTES;

/// The pause after a connection could not be accepted, for want of file handles say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Questions at once on one connection.
const MOST_STREAMS: u32 = 4096;

/// Accepts connections for as long as the future is polled, and hands each question to `answer`.
/// Dropping the future cuts every connection.
pub async fn serve<F>(
    listener: TcpListener,
    answer: impl Fn(Envelope<Request>, Responder) -> F + Clone + Send + Sync + 'static,
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
                connections.spawn(serve_connection(tcp, answer.clone()));
            }
            Err(e) => {
                log::warn!("cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<F>(
    tcp: TcpStream,
    answer: impl Fn(Envelope<Request>, Responder) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    // A connection that cannot be tuned still works.
    let _slower = tcp.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(4 * WINDOW_BYTES)
        .max_concurrent_streams(MOST_STREAMS)
        .handshake(tcp);
    let mut connection = match handshake.await {
        Ok(connection) => connection,
        Err(e) => {
            log::debug!("a connection did not start: {e}");
            return;
        }
    };
    let mut streams = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            Some(_ended) = streams.join_next() => continue,
        };
        let Some(Ok((request, respond))) = accepted else {
            // Whoever asked is gone, but what was begun must still be ended in order.
            streams.detach_all();
            return;
        };
        let answer = answer.clone();
        streams.spawn(async move {
            if let Err(e) = serve_stream(request.into_body(), respond, answer).await {
                log::debug!("a question could not be read: {e}");
            }
        });
    }
}

async fn serve_stream<F>(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    answer: impl Fn(Envelope<Request>, Responder) -> F,
) -> Result<(), WireError>
where
    F: Future<Output = ()>,
{
    let request = Frames::new(body).expect().await?;
    let stream = respond.send_response(Response::new(()), false)?;
    answer(request, Responder { stream }).await;
    Ok(())
}

/// The sending half of an answer.
#[derive(Debug)]
pub struct Responder {
    stream: SendStream<Bytes>,
}

impl Responder {
    /// Sends a message that ends the answer.
    pub async fn finish(mut self, message: &Envelope<Reply>) -> Result<(), WireError> {
        send_all(&mut self.stream, encode(message)?, true).await
    }

    /// Sends a message that others follow.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), WireError> {
        send_all(&mut self.stream, encode(message)?, false).await
    }

    /// Sends raw bytes.
    pub async fn send_raw(&mut self, data: Bytes) -> Result<(), WireError> {
        send_all(&mut self.stream, data, false).await
    }

    /// Ends an answer whose parts were sent one by one.
    pub fn end(mut self) -> Result<(), WireError> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    /// Waits until the other side has gone away.
    pub async fn closed(&mut self) {
        // Either way of closing means that nobody reads the answer.
        let _reason = std::future::poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }
}
