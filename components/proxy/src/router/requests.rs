//! Handles a caller's request, from reading its body to the end of the response.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use control::router::{
    Event,
    ForwardRequest,
    IncomingRequest,
    Outcome,
    Sending, //
};
use http::header::{
    HeaderValue,
    CONNECTION,
    RETRY_AFTER, //
};
use http::request::Parts;
use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::body::{
    Body as _,
    Incoming, //
};
use tokio::sync::mpsc;
use utils::run_time::timeout;
use utils::{
    rank,
    Name, //
};

use crate::buffers::{
    BodyBuffer,
    ReceiveError, //
};
use crate::region_bytes::{
    self,
    Kind, //
};

use super::answers::{
    empty_response,
    full_body,
    rejection_response,
    remove_hop_by_hop_headers,
    Body, //
};
use super::exchange::{
    CallerRequest,
    TargetResponse, //
};
use super::{
    Command,
    Reservation,
    Router, //
};

/// When a caller may come back for whose body there was no memory, in seconds.
const OUT_OF_MEMORY_RETRY_SECONDS: u32 = 1;

/// How long a caller may take to send the body of a request.
const BODY_RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a line end, of a header beside its name and value, and of the first line of a head beside method
/// and target.
const LINE_END_BYTES: usize = 2;
const HEADER_EXTRA_BYTES: usize = 4;
const FIRST_LINE_EXTRA_BYTES: usize = 12;

/// A caller's request until its response is complete. Dropping it earlier reports to the reducer
/// that the caller disconnected.
pub(super) struct PendingRequest {
    pub router: Router,
    pub token: u64,
    pub request: CallerRequest,
    /// The number of the last event that the caller received.
    pub last_event_id: Option<u64>,
    /// When the last part of the response was received.
    pub last_part_at: Option<Duration>,
    /// The longest time between two parts of the response.
    pub longest_pause: Duration,
    /// Capacity that is reserved for the request at a model engine.
    pub reservation: Option<Reservation>,
    /// Bytes of the body of the present target's answer that were read.
    pub answer_bytes: u64,
    /// The region of the present target, if it is another one.
    remote_region: Option<Name>,
    /// When the whole request was received.
    received_at: Duration,
    rx: mpsc::UnboundedReceiver<Command>,
    is_ended: bool,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.count_region_bytes();
        self.router.inner.requests.borrow_mut().remove(&self.token);
        if !self.is_ended {
            self.router
                .handle_event(Event::CallerDisconnected(self.token));
        }
    }
}

/// What the task of a request does next.
pub(super) enum NextStep {
    Forward(ForwardRequest),
    Respond(Response<Body>),
    /// Goes on with the silent target.
    KeepTarget,
}

/// What belongs to the exchange with a silent target, while another one is asked.
pub(super) struct SilentExchange {
    reservation: Option<Reservation>,
    remote_region: Option<Name>,
    request_bytes: u64,
    answer_bytes: u64,
    sending: Sending,
}

impl PendingRequest {
    /// Executes commands of the reducer until one forwards the request to a target or rejects it.
    pub async fn next_step(&mut self) -> NextStep {
        let mut wait_until = None;
        loop {
            let command = match wait_until {
                None => self.rx.recv().await,
                Some(until) => {
                    let time_left = self.router.time_left(until);
                    match tokio::time::timeout(time_left, self.rx.recv()).await {
                        Ok(command) => command,
                        Err(_) => {
                            wait_until = None;
                            self.router.handle_event(Event::QueueTimeout(self.token));
                            continue;
                        }
                    }
                }
            };
            match command {
                Some(Command::Reserve(request)) => {
                    wait_until = None;
                    self.reservation = None;
                    self.reservation = self.router.reserve(self.token, &request).await;
                }
                Some(Command::Forward(forward_request)) => {
                    self.remote_region = forward_request.remote_region.clone();
                    return NextStep::Forward(forward_request);
                }
                Some(Command::WaitUntil(until)) => {
                    self.reservation = None;
                    wait_until = Some(until);
                }
                Some(Command::Reject(rejection)) => {
                    self.reservation = None;
                    self.is_ended = true;
                    count_answer(rejection.reason.as_str());
                    let response = self.add_response_headers(rejection_response(&rejection));
                    return NextStep::Respond(response);
                }
                Some(Command::KeepTarget) => {
                    self.reservation = None;
                    return NextStep::KeepTarget;
                }
                // Not reached: the router keeps the sender until this value is dropped.
                None => {
                    self.is_ended = true;
                    return NextStep::Respond(empty_response(StatusCode::BAD_GATEWAY));
                }
            }
        }
    }

    /// Reports the outcome of an exchange to the reducer.
    pub fn report_outcome(&mut self, outcome: Outcome) {
        self.is_ended = matches!(outcome, Outcome::Answered { .. });
        self.reservation = None;
        self.count_region_bytes();
        let token = self.token;
        let longest_pause = self.longest_pause;
        self.router.handle_event(Event::ExchangeEnded {
            token,
            outcome,
            longest_pause,
            sending: self.request.sending.take(),
        });
    }

    /// Sets the exchange with the silent target aside.
    pub fn set_exchange_aside(&mut self) -> SilentExchange {
        SilentExchange {
            reservation: self.reservation.take(),
            remote_region: self.remote_region.take(),
            request_bytes: self.request.body.len() as u64,
            answer_bytes: std::mem::take(&mut self.answer_bytes),
            sending: self.request.sending.take(),
        }
    }

    /// Goes on with the exchange that was set aside. What the reducer had decided about another one does not
    /// apply any more.
    pub fn return_to_exchange(&mut self, exchange: SilentExchange) {
        self.count_region_bytes();
        while self.rx.try_recv().is_ok() {}
        self.reservation = exchange.reservation;
        self.remote_region = exchange.remote_region;
        self.answer_bytes = exchange.answer_bytes;
        self.request.sending.set(exchange.sending);
    }

    /// Counts the bytes of the present exchange if its target is in another region.
    fn count_region_bytes(&mut self) {
        let answer_bytes = std::mem::take(&mut self.answer_bytes);
        let request_bytes = self.request.body.len();
        if let Some(remote) = self.remote_region.take() {
            let sending = self.request.sending.get();
            let request_bytes = sending.sent_at.map_or(0, |_| request_bytes as u64);
            self.router
                .count_bytes(&remote, request_bytes, answer_bytes);
        }
    }

    /// Records the time from receiving the request to the first part of the response.
    pub fn observe_first_part(&self) {
        let elapsed = self.router.elapsed().saturating_sub(self.received_at);
        metrics::histogram!("medlarproxy_first_answer_seconds").record(elapsed.as_secs_f64());
    }

    fn add_response_headers(&self, mut response: Response<Body>) -> Response<Body> {
        let write_response = self.router.inner.header_codec.write_response;
        write_response(response.headers_mut(), &self.request.id);
        response
    }
}

fn count_answer(outcome: &'static str) {
    metrics::counter!("medlarproxy_answers_total", "outcome" => outcome).increment(1);
}

impl Router {
    /// Ends the exchange with a silent target that was set aside.
    pub(super) fn end_silent_exchange(
        &self,
        token: u64,
        exchange: SilentExchange,
        longest_pause: Duration,
        outcome: Outcome,
    ) {
        if let Some(remote) = &exchange.remote_region {
            self.count_bytes(remote, exchange.request_bytes, exchange.answer_bytes);
        }
        self.handle_event(Event::SilentTargetEnded {
            token,
            outcome,
            longest_pause,
            sending: exchange.sending,
        });
    }

    /// Counts bytes of a request to another region and of its answer.
    fn count_bytes(&self, remote: &Name, request_bytes: u64, answer_bytes: u64) {
        let state = self.inner.state.borrow();
        if request_bytes > 0 {
            region_bytes::count(Kind::Request, state.region(), remote, request_bytes);
        }
        region_bytes::count(Kind::Answer, remote, state.region(), answer_bytes);
    }

    /// Handles a request of a caller. A process that is about to stop lets its callers close their
    /// connections, so that none sends a request as the connection is closed.
    pub(super) async fn handle_request(self, request: Request<Incoming>) -> Response<Body> {
        let router = self.clone();
        let mut response = self.respond(request).await;
        if router.is_draining() {
            response = last_response(response);
        }
        response
    }

    async fn respond(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let limits = self.caller_limits();
        if head_bytes(&parts) > limits.max_head_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return last_response(empty_response(status));
        }
        let limit = limits.max_body_bytes;
        // Reading a body that is declared as too long is useless: the bytes would be discarded.
        let declared_bytes = body.size_hint().lower();
        if usize::try_from(declared_bytes).map_or(true, |bytes| bytes > limit) {
            return last_response(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
        }
        if !self.inner.buffers.has_room_for(declared_bytes as usize) {
            return last_response(out_of_memory_response());
        }
        // A body that was allowed when it began stays allowed.
        let limit_in_force = || limit.max(self.caller_limits().max_body_bytes);
        let receiving = BodyBuffer::receive(&self.inner.buffers, body, limit_in_force);
        let response = match timeout(BODY_RECEIVE_TIMEOUT, receiving).await {
            Ok(Ok(body)) => return self.handle_whole_request(parts, body).await,
            Ok(Err(ReceiveError::TooLong)) => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
            Ok(Err(ReceiveError::Incomplete)) => empty_response(StatusCode::BAD_REQUEST),
            Ok(Err(ReceiveError::OutOfMemory)) => out_of_memory_response(),
            Err(_) => empty_response(StatusCode::REQUEST_TIMEOUT),
        };
        last_response(response)
    }

    async fn handle_whole_request(&self, parts: Parts, body: Bytes) -> Response<Body> {
        match self.register(parts, body) {
            Ok(request) => request.run().await,
            Err(status) => empty_response(status),
        }
    }

    /// Registers a request and reports it to the reducer.
    fn register(&self, parts: Parts, body: Bytes) -> Result<PendingRequest, StatusCode> {
        let head = (self.inner.header_codec.read_request)(&parts);
        let id = head.id.ok_or(StatusCode::BAD_REQUEST)?;
        let host = parts.headers.get(http::header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let host = Name::from(host.ok_or(StatusCode::BAD_REQUEST)?);
        let path = Name::from(parts.uri.path());
        let fingerprint = fingerprint(&parts, head.api_key.as_deref(), &body);
        let token = self.inner.next_token.get();
        self.inner.next_token.set(token + 1);
        let (tx, rx) = mpsc::unbounded_channel();
        self.inner.requests.borrow_mut().insert(token, tx);
        let mut headers = parts.headers;
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::EXPECT);
        let request = PendingRequest {
            router: self.clone(),
            token,
            request: CallerRequest {
                id: id.clone(),
                method: parts.method,
                uri: parts.uri,
                headers,
                body,
                sending: Cell::default(),
            },
            last_event_id: head.last_event_id,
            received_at: self.elapsed(),
            last_part_at: None,
            longest_pause: Duration::ZERO,
            reservation: None,
            answer_bytes: 0,
            remote_region: None,
            rx,
            is_ended: false,
        };
        self.handle_event(Event::RequestReceived(IncomingRequest {
            token,
            request_id: id,
            host,
            path,
            api_key: head.api_key,
            timeout: head.timeout,
            prompt_and_max_answer_tokens: head.prompt_and_max_answer_tokens,
            answer_tokens_hint: head.answer_tokens_hint,
            last_event_id: head.last_event_id,
            fingerprint,
            shared_prompt_parts: head.shared_prompt_parts,
        }));
        Ok(request)
    }
}

impl PendingRequest {
    async fn run(mut self) -> Response<Body> {
        loop {
            let forward_request = match self.next_step().await {
                NextStep::Forward(forward_request) => forward_request,
                NextStep::Respond(response) => return response,
                // Not reached: no answer has begun.
                NextStep::KeepTarget => continue,
            };
            if forward_request.attempt == 1 {
                let waited = self.router.elapsed().saturating_sub(self.received_at);
                metrics::histogram!("medlarproxy_wait_seconds").record(waited.as_secs_f64());
            }
            let result = self
                .router
                .exchange(
                    self.token,
                    &self.request,
                    &forward_request,
                    self.last_event_id,
                )
                .await;
            let outcome = match result {
                Ok(response) if forward_request.is_stream && response.parts.status.is_success() => {
                    match self.start_stream(response, &forward_request).await {
                        Ok(response) => return response,
                        Err((request, outcome)) => {
                            self = request;
                            outcome
                        }
                    }
                }
                Ok(response) => match self.forward_response(response, &forward_request).await {
                    Ok(response) => return response,
                    Err(outcome) => outcome,
                },
                Err(outcome) => outcome,
            };
            self.report_outcome(outcome);
        }
    }

    /// Reads the whole response before it is forwarded to the caller.
    async fn forward_response(
        &mut self,
        response: TargetResponse,
        forward_request: &ForwardRequest,
    ) -> Result<Response<Body>, Outcome> {
        let is_error = response.is_server_error();
        let (mut parts, body) = self
            .router
            .read_to_end(self.token, response, forward_request)
            .await?;
        self.answer_bytes = body.len() as u64;
        remove_hop_by_hop_headers(&mut parts.headers);
        // The server sets the length of the forwarded body itself. A response to HEAD has no body,
        // and keeps the length that the target declared.
        let is_head = self.request.method == http::Method::HEAD;
        if !is_head {
            parts.headers.remove(http::header::CONTENT_LENGTH);
        }
        self.observe_first_part();
        self.report_outcome(Outcome::Answered { is_error });
        count_answer(if is_error {
            "target_failed"
        } else {
            "answered"
        });
        Ok(Response::from_parts(parts, full_body(body)))
    }
}

/// The length of the head of a request.
fn head_bytes(parts: &Parts) -> usize {
    let uri = &parts.uri;
    let target = uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let first_line = parts.method.as_str().len() + target + FIRST_LINE_EXTRA_BYTES;
    let headers = parts.headers.iter();
    let headers =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA_BYTES);
    first_line + headers.sum::<usize>() + LINE_END_BYTES
}

/// Hashes the method, path, API key and body, to recognise repeated requests of a caller.
fn fingerprint(parts: &Parts, key: Option<&str>, body: &Bytes) -> u64 {
    rank::hash_parts([
        parts.method.as_str().as_bytes(),
        parts.uri.path().as_bytes(),
        &[0],
        key.unwrap_or_default().as_bytes(),
        &[0],
        body,
    ])
}

/// Marks a response to a request whose body was not read as the last one of its connection.
fn last_response(mut response: Response<Body>) -> Response<Body> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// The response to a request for whose body there is no memory. It has not run.
fn out_of_memory_response() -> Response<Body> {
    log::debug!("a request is rejected, since there is no memory for its body");
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let after = HeaderValue::from(OUT_OF_MEMORY_RETRY_SECONDS);
    response.headers_mut().insert(RETRY_AFTER, after);
    response
}
