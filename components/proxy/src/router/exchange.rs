//! One exchange with a target, up to the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use control::router::{
    Event,
    Outcome,
    Send, //
};
use http::response::Parts;
use http::{
    HeaderMap,
    Method,
    Request,
    Uri, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use tokio::time::timeout;
use utils::Name;

use super::dialect::{
    Attempt,
    Verdict, //
};
use super::pool::{
    idle_time,
    Connection,
    ExchangeError, //
};
use super::Router;

/// The longest answer that is held in memory before it is passed on, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// A caller's request that may be sent several times.
#[derive(Clone, Debug)]
pub(super) struct Original {
    pub id: Name,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The head of a target's answer, and the connection that brings the rest.
pub(super) struct Reply {
    pub parts: Parts,
    pub body: Incoming,
    pub connection: Connection,
    pub is_signed: bool,
}

impl Reply {
    /// Whether the answer is a failure of the target's own.
    pub fn is_failure(&self) -> bool {
        self.parts.status.is_server_error()
    }
}

impl Router {
    pub(super) fn elapsed(&self) -> Duration {
        self.inner.clock.now().elapsed
    }

    /// The time until `deadline`.
    pub(super) fn time_left(&self, deadline: Duration) -> Duration {
        deadline.saturating_sub(self.elapsed())
    }

    /// How long a target may stay silent now. `is_first` tells that no part of the answer has come.
    pub(super) fn patience(&self, send: &Send, left: Duration, is_first: bool) -> Duration {
        let patience = left.min(send.patience);
        match send.begin_by.filter(|_| is_first) {
            Some(begin_by) => patience.min(self.time_left(begin_by)),
            None => patience,
        }
    }

    /// Sends a request and reads the head of the answer.
    pub(super) async fn exchange(
        &self,
        token: u64,
        original: &Original,
        send: &Send,
        after_event: Option<u64>,
    ) -> Result<Reply, Outcome> {
        let left = self.time_left(send.deadline);
        let patience = self.patience(send, left, true);
        let result = timeout(patience, self.send(original, send, after_event)).await;
        let (response, connection) = match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeError::NotSent)) => return Err(Outcome::NotSent),
            Ok(Err(ExchangeError::Broken)) => return Err(Outcome::Broken { lost: true }),
            Err(_) if patience < left => return Err(Outcome::Silent),
            Err(_) => return Err(Outcome::TimedOut),
        };
        let (parts, body) = response.into_parts();
        let head = (self.inner.dialect.read_answer)(&parts, &send.target);
        if head.id.as_ref().is_some_and(|id| *id != original.id) {
            return Err(Outcome::Broken { lost: false });
        }
        self.tell(Event::Head {
            token,
            load: head.load,
            cold_for: head.cold_for,
            version: head.version,
        });
        let refused = match head.verdict {
            Verdict::Ran => None,
            Verdict::Busy => Some(Outcome::Busy),
            Verdict::OtherInstance => Some(Outcome::OtherInstance),
            Verdict::OtherVersion => Some(Outcome::OtherVersion),
        };
        let reply = Reply {
            parts,
            body,
            connection,
            is_signed: head.is_signed,
        };
        if let Some(outcome) = refused {
            // Reading the rest saves the connection; what it says is known already.
            let _rest = self.collect(reply, send.deadline).await;
            return Err(outcome);
        }
        // An answer without a signature is not the target's, whatever its status.
        if !reply.is_signed {
            return Err(Outcome::Broken { lost: false });
        }
        Ok(reply)
    }

    async fn send(
        &self,
        original: &Original,
        send: &Send,
        after_event: Option<u64>,
    ) -> Result<(http::Response<Incoming>, Connection), ExchangeError> {
        while let Some(mut connection) = self.inner.pool.reuse(send.address).await {
            let request = self.request(original, send, after_event)?;
            match connection.send(request).await {
                Ok(response) => return Ok((response, connection)),
                // The target closed the connection while it was idle.
                Err(ExchangeError::NotSent) => {}
                Err(e) => return Err(e),
            }
        }
        let mut connection = self.inner.pool.open(send.address).await?;
        let request = self.request(original, send, after_event)?;
        let response = connection.send(request).await?;
        Ok((response, connection))
    }

    fn request(
        &self,
        original: &Original,
        send: &Send,
        after_event: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, ExchangeError> {
        let mut headers = original.headers.clone();
        let attempt = Attempt {
            send,
            time_left: self.time_left(send.deadline),
            after_event,
        };
        (self.inner.dialect.write_attempt)(&mut headers, &attempt);
        let mut request = Request::new(Full::new(original.body.clone()));
        *request.method_mut() = original.method.clone();
        *request.uri_mut() = original.uri.clone();
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Reads the rest of an answer and keeps the connection.
    pub(super) async fn collect(
        &self,
        reply: Reply,
        deadline: Duration,
    ) -> Result<(Parts, Bytes), Outcome> {
        let Reply {
            parts,
            body,
            connection,
            ..
        } = reply;
        let body = Limited::new(body, ANSWER_BYTES).collect();
        let body = timeout(self.time_left(deadline), body).await;
        let body = body.map_err(|_| Outcome::TimedOut)?;
        let body = body.map_err(|_| Outcome::Broken { lost: true })?;
        self.keep(connection, &parts);
        Ok((parts, body.to_bytes()))
    }

    /// Keeps a connection whose answer is whole.
    pub(super) fn keep(&self, connection: Connection, parts: &Parts) {
        self.inner.pool.keep(connection, idle_time(&parts.headers));
    }
}
