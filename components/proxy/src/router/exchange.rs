//! Sends a request to a target and receives the response.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use control::router::{
    Event,
    ForwardRequest,
    Outcome,
    Sending, //
};
use http::response::Parts;
use http::{
    HeaderMap,
    Method,
    Request,
    Uri,
    Version, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use tokio::task::yield_now;
use tokio::time::timeout;
use utils::run_time;
use utils::Name;

use crate::buffers::BodyBuffer;
use crate::final_answer::{
    is_final_status,
    is_no_answer, //
};

use super::header_codec::{
    ExecutionStatus,
    ForwardParameters, //
};
use super::pool::{
    keep_alive_timeout,
    Connection,
    ExchangeError, //
};
use super::Router;

/// The longest response that is buffered before it is forwarded.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The longest body of a refusal that is read so that its connection can be used again.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// How long the body of a refusal may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// A caller's request. It may be sent to several targets in turn.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub id: Name,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When the present attempt left this process. Kept here because an exchange may be given up.
    pub sending: Cell<Sending>,
}

/// The head of a target's response, and the connection that delivers the body.
pub(super) struct TargetResponse {
    pub parts: Parts,
    pub body: Incoming,
    pub connection: Connection,
    pub is_signed: bool,
}

impl TargetResponse {
    /// Whether the status reports an error of the target.
    pub fn is_server_error(&self) -> bool {
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

    /// Waits for a target's next message, `is_first` if the caller has received nothing yet.
    ///
    /// Returns [`Outcome::IdleTimeout`] if the target is silent and another one may be asked. A request whose answer
    /// has not begun is then sent elsewhere; a begun answer keeps the silent target while the other one is asked.
    pub(super) async fn wait_for_target<F: Future>(
        &self,
        token: u64,
        forward_request: &ForwardRequest,
        is_first: bool,
        message: F,
    ) -> Result<F::Output, Outcome> {
        let mut message = pin!(message);
        let idle_timeout = if is_first {
            forward_request.idle_timeout
        } else {
            forward_request.pause_timeout
        };
        loop {
            let time_left = self.time_left(forward_request.deadline);
            let first_event_deadline = forward_request.first_event_deadline.filter(|_| is_first);
            let first_event_time = first_event_deadline.map(|deadline| self.time_left(deadline));
            let limit = first_event_time.map_or(time_left, |time| time.min(time_left));
            let idle = run_time::timeout(idle_timeout, message.as_mut());
            let waited = tokio::select! {
                // Most messages are ready at once, so that nothing subscribes to the end.
                biased;
                waited = run_time::timeout_by_clock(limit, idle) => waited,
                // Callers get an answer as long as the process can give one.
                () = self.wait_for_end() => return Err(Outcome::DeadlineExceeded),
            };
            match waited {
                Ok(Ok(message)) => return Ok(message),
                Ok(Err(_)) if self.may_leave_silent_target(token) => {
                    return Err(Outcome::IdleTimeout)
                }
                Ok(Err(_)) => {}
                Err(_) if limit < time_left => return Err(Outcome::IdleTimeout),
                Err(_) => return Err(Outcome::DeadlineExceeded),
            }
        }
    }

    /// Sends a request and reads the head of the response.
    pub(super) async fn exchange(
        &self,
        token: u64,
        caller_request: &CallerRequest,
        forward_request: &ForwardRequest,
        last_event_id: Option<u64>,
    ) -> Result<TargetResponse, Outcome> {
        let sending = self.send_request(token, caller_request, forward_request, last_event_id);
        let result = self.wait_for_target(token, forward_request, true, sending);
        let (response, connection) = match result.await? {
            Ok(received) => received,
            Err(ExchangeError::NotSent) => return Err(Outcome::NotSent),
            Err(ExchangeError::Withheld) => return Err(Outcome::Withheld),
            Err(ExchangeError::NoAnswer) => {
                return Err(Outcome::Broken {
                    connection_lost: false,
                })
            }
            Err(ExchangeError::ConnectionLost) => {
                return Err(Outcome::Broken {
                    connection_lost: true,
                })
            }
        };
        if !is_final_status(response.status()) {
            log::warn!(
                "target {} sent the status {}, which ends no request",
                forward_request.target,
                response.status().as_u16()
            );
            return Err(Outcome::Broken {
                connection_lost: false,
            });
        }
        let (mut parts, body) = response.into_parts();
        // The version is that of each connection.
        parts.version = Version::HTTP_11;
        let head = (self.inner.header_codec.read_response)(&parts, &forward_request.target);
        // Targets return the id of the request. A response without it may be one that was sent before.
        if head.id.as_ref() != Some(&caller_request.id) {
            return Err(Outcome::Broken {
                connection_lost: false,
            });
        }
        self.handle_event(Event::ResponseHead {
            token,
            load: head.load,
            cold_remaining: head.cold_remaining,
            version: head.version,
            notice: (head.execution != ExecutionStatus::WrongInstance).then_some(head.notice),
        });
        let refused = match head.execution {
            ExecutionStatus::Ran => None,
            ExecutionStatus::Busy => Some(Outcome::Busy),
            ExecutionStatus::WrongInstance => Some(Outcome::WrongInstance),
            ExecutionStatus::WrongVersion => Some(Outcome::WrongVersion),
        };
        let response = TargetResponse {
            parts,
            body,
            connection,
            is_signed: head.is_signed,
        };
        if let Some(outcome) = refused {
            self.discard_body(response);
            return Err(outcome);
        }
        // A response without a signature did not come from the target, whatever its status.
        if !response.is_signed {
            return Err(Outcome::Broken {
                connection_lost: false,
            });
        }
        Ok(response)
    }

    /// Sends a request on an idle connection, or on a new one if there is none. It is withheld if its
    /// target may not get it any more when the connection is there.
    async fn send_request(
        &self,
        token: u64,
        caller_request: &CallerRequest,
        forward_request: &ForwardRequest,
        last_event_id: Option<u64>,
    ) -> Result<(http::Response<Incoming>, Connection), ExchangeError> {
        let sending = &caller_request.sending;
        sending.take();
        loop {
            let (mut connection, connected_in) = self.connect(forward_request.address).await?;
            let now = self.elapsed();
            if !self.may_send(now, token, forward_request) {
                self.inner.pool.release(connection, None);
                return Err(ExchangeError::Withheld);
            }
            let request =
                self.build_request(caller_request, forward_request, last_event_id, now)?;
            sending.set(Sending {
                sent_at: Some(now),
                connected_in,
            });
            match connection.send(request).await {
                // The target closed the connection while it was idle.
                Err(ExchangeError::NotSent) if connected_in.is_none() => {
                    sending.take();
                }
                result => return result.map(|response| (response, connection)),
            }
        }
    }

    /// Returns an idle connection, or else a new one and how long it took to open it.
    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<(Connection, Option<Duration>), ExchangeError> {
        if let Some(connection) = self.inner.pool.reuse(address).await {
            return Ok((connection, None));
        }
        let opened_at = self.elapsed();
        let connection = self.inner.pool.open(address).await?;
        // What arrived meanwhile is handled first: the caller may have left.
        yield_now().await;
        let connected_in = self.elapsed().saturating_sub(opened_at);
        Ok((connection, Some(connected_in)))
    }

    fn build_request(
        &self,
        caller_request: &CallerRequest,
        forward_request: &ForwardRequest,
        last_event_id: Option<u64>,
        now: Duration,
    ) -> Result<Request<Full<Bytes>>, ExchangeError> {
        let mut headers = caller_request.headers.clone();
        let parameters = ForwardParameters {
            forward: forward_request,
            time_left: forward_request.deadline.saturating_sub(now),
            last_event_id,
        };
        (self.inner.header_codec.write_request)(&mut headers, &parameters);
        let mut request = Request::new(Full::new(caller_request.body.clone()));
        *request.method_mut() = caller_request.method.clone();
        *request.uri_mut() = caller_request.uri.clone();
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Reads the body of a refusal, only so that the connection can be used again. The request does
    /// not wait for that: the body may never end.
    fn discard_body(&self, response: TargetResponse) {
        let router = self.clone();
        tokio::task::spawn_local(async move {
            let body = Limited::new(response.body, MAX_REFUSAL_BYTES).collect();
            if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, body).await {
                router.release_connection(response.connection, &response.parts);
            }
        });
    }

    /// Reads the body of a response and returns the connection to the pool.
    pub(super) async fn read_to_end(
        &self,
        token: u64,
        response: TargetResponse,
        forward_request: &ForwardRequest,
    ) -> Result<(Parts, Bytes), Outcome> {
        let TargetResponse {
            parts,
            mut body,
            connection,
            ..
        } = response;
        let mut buffer = BodyBuffer::new(&self.inner.buffers);
        while let Some(part) = self.read_part(token, &mut body, forward_request).await? {
            let is_too_long = buffer.len() + part.len() > MAX_RESPONSE_BYTES;
            if is_too_long || buffer.push(&part).is_err() {
                return Err(Outcome::Broken {
                    connection_lost: false,
                });
            }
        }
        self.release_connection(connection, &parts);
        Ok((parts, buffer.into_bytes()))
    }

    /// Reads the next part of the body of a response, or `None` at its end. A target that sends nothing is left.
    async fn read_part(
        &self,
        token: u64,
        body: &mut Incoming,
        forward_request: &ForwardRequest,
    ) -> Result<Option<Bytes>, Outcome> {
        let part = self.next_part(body, forward_request.deadline);
        self.wait_for_target(token, forward_request, false, part)
            .await?
    }

    /// Waits for the next part of the body of a response, which is `None` at its end.
    pub(super) async fn next_part(
        &self,
        body: &mut Incoming,
        deadline: Duration,
    ) -> Result<Option<Bytes>, Outcome> {
        loop {
            // While a target always has bytes ready, no timeout around this expires.
            if self.time_left(deadline).is_zero() {
                return Err(Outcome::DeadlineExceeded);
            }
            let frame = match body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => frame,
                Some(Err(e)) => {
                    return Err(Outcome::Broken {
                        connection_lost: !is_no_answer(&e),
                    })
                }
            };
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn release_connection(&self, connection: Connection, parts: &Parts) {
        let idle_timeout = keep_alive_timeout(&parts.headers);
        self.inner.pool.release(connection, idle_timeout);
    }
}
