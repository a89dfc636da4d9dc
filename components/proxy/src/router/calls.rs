//! A caller's request, from its body to the end of its answer.

use std::time::Duration;

use bytes::Bytes;
use control::router::{
    Arrival,
    Event,
    Outcome,
    Send, //
};
use http::request::Parts;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::{
    Body as _,
    Incoming, //
};
use tokio::sync::mpsc;
use utils::{
    rank,
    Name, //
};

use super::answers::{
    empty,
    full,
    rejection,
    strip_hop_headers,
    Body, //
};
use super::exchange::{
    Original,
    Reply, //
};
use super::{
    Command,
    Place,
    Router, //
};

/// How long a caller may take to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request under way. Dropping it before it has ended tells the reducer that the caller left.
pub(super) struct Call {
    pub router: Router,
    pub token: u64,
    pub original: Original,
    /// The last event that the caller has.
    pub after_event: Option<u64>,
    /// When the last part of the answer came, and the longest pause before one.
    pub last_part: Option<Duration>,
    pub longest_pause: Duration,
    /// The place that is reserved for it at a model engine.
    pub place: Option<Place>,
    /// When the request was whole here.
    begun: Duration,
    rx: mpsc::UnboundedReceiver<Command>,
    ended: bool,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.router.inner.calls.borrow_mut().remove(&self.token);
        if !self.ended {
            self.router.tell(Event::Left(self.token));
        }
    }
}

/// What a request is to do next.
pub(super) enum Next {
    Send(Send),
    End(Response<Body>),
}

impl Call {
    /// Waits for what the reducer decides.
    pub async fn next(&mut self) -> Next {
        let mut wait = None;
        loop {
            let command = match wait {
                None => self.rx.recv().await,
                Some(until) => {
                    let left = self.router.time_left(until);
                    match tokio::time::timeout(left, self.rx.recv()).await {
                        Ok(command) => command,
                        Err(_) => {
                            wait = None;
                            self.router.tell(Event::WaitOver(self.token));
                            continue;
                        }
                    }
                }
            };
            match command {
                Some(Command::Reserve(reserve)) => {
                    wait = None;
                    self.place = None;
                    self.place = self.router.reserve(self.token, &reserve).await;
                }
                Some(Command::Send(send)) => return Next::Send(send),
                Some(Command::Wait(until)) => {
                    self.place = None;
                    wait = Some(until);
                }
                Some(Command::Reject(reason)) => {
                    self.place = None;
                    self.ended = true;
                    count_answer(reason.reason.word());
                    return Next::End(self.mark(rejection(&reason)));
                }
                // The sender lives as long as the call, so this is never reached while it runs.
                None => {
                    self.ended = true;
                    return Next::End(empty(StatusCode::BAD_GATEWAY));
                }
            }
        }
    }

    /// Tells the reducer what came of an exchange.
    pub fn end(&mut self, outcome: Outcome) {
        self.ended = matches!(outcome, Outcome::Answered { .. });
        self.place = None;
        let token = self.token;
        let pause = self.longest_pause;
        self.router.tell(Event::Ended {
            token,
            outcome,
            pause,
        });
    }

    /// Counts the time from the arrival to the first part of the answer.
    pub fn observe_first(&self) {
        let passed = self.router.elapsed().saturating_sub(self.begun);
        metrics::histogram!("medlarproxy_first_answer_seconds").record(passed.as_secs_f64());
    }

    fn mark(&self, mut response: Response<Body>) -> Response<Body> {
        let mark = self.router.inner.dialect.mark_answer;
        mark(response.headers_mut(), &self.original.id);
        response
    }
}

fn count_answer(reason: &'static str) {
    metrics::counter!("medlarproxy_answers_total", "outcome" => reason).increment(1);
}

impl Router {
    /// Answers a caller.
    pub(super) async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let limit = self.caller_limits().body_bytes;
        // Nothing is gained by reading on: the rest of the body would only be thrown away.
        let declared = body.size_hint().lower();
        if usize::try_from(declared).map_or(true, |bytes| bytes > limit) {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let body = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return empty(StatusCode::PAYLOAD_TOO_LARGE)
            }
            Ok(Err(_)) => return empty(StatusCode::BAD_REQUEST),
            Err(_) => return empty(StatusCode::REQUEST_TIMEOUT),
        };
        match self.begin(parts, body) {
            Ok(call) => call.run().await,
            Err(status) => empty(status),
        }
    }

    /// Registers a request and tells the reducer of it.
    fn begin(&self, parts: Parts, body: Bytes) -> Result<Call, StatusCode> {
        let head = (self.inner.dialect.read_request)(&parts);
        let id = head.id.ok_or(StatusCode::BAD_REQUEST)?;
        let host = parts.headers.get(http::header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let host = Name::from(host.ok_or(StatusCode::BAD_REQUEST)?);
        let path = Name::from(parts.uri.path());
        let fingerprint = fingerprint(&parts, head.key.as_deref(), &body);
        let token = self.inner.next_token.get();
        self.inner.next_token.set(token + 1);
        let (tx, rx) = mpsc::unbounded_channel();
        self.inner.calls.borrow_mut().insert(token, tx);
        let mut headers = parts.headers;
        strip_hop_headers(&mut headers);
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::EXPECT);
        let call = Call {
            router: self.clone(),
            token,
            original: Original {
                id: id.clone(),
                method: parts.method,
                uri: parts.uri,
                headers,
                body,
            },
            after_event: head.after_event,
            begun: self.elapsed(),
            last_part: None,
            longest_pause: Duration::ZERO,
            place: None,
            rx,
            ended: false,
        };
        self.tell(Event::Arrive(Arrival {
            token,
            id,
            host,
            path,
            key: head.key,
            timeout: head.timeout,
            tokens: head.tokens,
            after_event: head.after_event,
            fingerprint,
        }));
        Ok(call)
    }
}

impl Call {
    async fn run(mut self) -> Response<Body> {
        loop {
            let send = match self.next().await {
                Next::Send(send) => send,
                Next::End(response) => return response,
            };
            if send.attempt == 1 {
                let waited = self.router.elapsed().saturating_sub(self.begun);
                metrics::histogram!("medlarproxy_wait_seconds").record(waited.as_secs_f64());
            }
            let reply = self
                .router
                .exchange(self.token, &self.original, &send, self.after_event)
                .await;
            let outcome = match reply {
                Ok(reply) if send.is_stream && reply.parts.status.is_success() => {
                    match self.start_stream(reply, &send).await {
                        Ok(response) => return response,
                        Err((call, outcome)) => {
                            self = call;
                            outcome
                        }
                    }
                }
                Ok(reply) => match self.pass_on(reply, &send).await {
                    Ok(response) => return response,
                    Err(outcome) => outcome,
                },
                Err(outcome) => outcome,
            };
            self.end(outcome);
        }
    }

    /// Reads a whole answer before any of it is passed on.
    async fn pass_on(&mut self, reply: Reply, send: &Send) -> Result<Response<Body>, Outcome> {
        let failed = reply.is_failure();
        let (mut parts, body) = self.router.collect(reply, send.deadline).await?;
        strip_hop_headers(&mut parts.headers);
        // The length is written anew for the bytes that are passed on.
        let is_head = self.original.method == http::Method::HEAD;
        if !is_head {
            parts.headers.remove(http::header::CONTENT_LENGTH);
        }
        self.observe_first();
        self.end(Outcome::Answered { failed });
        count_answer(if failed { "target_failed" } else { "answered" });
        Ok(Response::from_parts(parts, full(body)))
    }
}

/// Identifies requests with the same content of the same caller.
fn fingerprint(parts: &Parts, key: Option<&str>, body: &Bytes) -> u64 {
    let mut text = Vec::with_capacity(body.len() + 128);
    text.extend_from_slice(parts.method.as_str().as_bytes());
    text.extend_from_slice(parts.uri.path().as_bytes());
    text.push(0);
    text.extend_from_slice(key.unwrap_or_default().as_bytes());
    text.push(0);
    text.extend_from_slice(body);
    rank::key(&text)
}
