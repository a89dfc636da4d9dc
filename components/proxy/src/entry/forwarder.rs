//! Forwards one request to an agent, or to several in turn, and relays the response to the caller.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use control::entry::{
    Event,
    Rejection, //
};
use gotham::helpers::http::Body;
use http::header::CONTENT_TYPE;
use http::{
    HeaderValue,
    Response,
    StatusCode, //
};
use http_body_util::channel::Sender;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::Channel;
use protocol::{
    Outcome,
    Reply,
    Request,
    ResponseFrame,
    ResponseHead,
    ResumePoint,
    ServeRequest, //
};
use tokio::sync::oneshot;
use utils::millis::millis;
use utils::run_time::timeout;
use utils::Name;
use wire::{
    MessageReader,
    WireError, //
};

use super::error_response::{
    rejection_response,
    rejection_text,
    ErrorBody, //
};
use super::{
    ActiveRequest,
    Command,
    Inner, //
};
use crate::event_stream::{
    is_stream_type,
    MAX_EVENT_BYTES, //
};

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::entry::pump";

/// The maximum number of chunks of a response body that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The response header with the model version that made the response.
const VERSION_HEADER: &str = "x-model-version";

/// The response header with the id of the request in the record.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// An agent that sends nothing for this long, not even a keep-alive, is considered gone.
const AGENT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long writing the last event of an incomplete stream may take.
const ERROR_EVENT_WRITE_TIME: Duration = Duration::from_millis(250);

/// The response to the caller.
enum CallerResponse {
    /// Nothing was sent yet.
    NotStarted(oneshot::Sender<Response<Body>>),
    /// The head was sent.
    Streaming {
        body: Sender<Bytes, io::Error>,
        /// Set if the body is an event stream.
        events: Option<EventSplitter>,
    },
    /// The response has ended, or the caller has disconnected.
    Ended,
}

/// Splits an event stream into complete events. The caller gets complete events only, so that
/// another target can resume the stream after the last one.
struct EventSplitter {
    /// The model version that makes the response.
    version: Option<Name>,
    /// Complete events sent to the caller.
    complete_events: u64,
    /// The start of an event that is not complete yet.
    partial_event: Vec<u8>,
}

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

impl EventSplitter {
    /// Adds bytes of the response. Returns the events that are complete now.
    fn add(&mut self, data: &[u8]) -> Bytes {
        // The end of an event may be split between the buffered and the new bytes.
        let mut position = self.partial_event.len().saturating_sub(EVENT_END.len() - 1);
        self.partial_event.extend_from_slice(data);
        let mut complete_bytes = 0;
        while position + EVENT_END.len() <= self.partial_event.len() {
            if self.partial_event[position..].starts_with(EVENT_END) {
                position += EVENT_END.len();
                complete_bytes = position;
                self.complete_events += 1;
            } else {
                position += 1;
            }
        }
        let partial_event = self.partial_event.split_off(complete_bytes);
        std::mem::replace(&mut self.partial_event, partial_event).into()
    }

    /// Whether more bytes than in a valid stream came without the end of an event.
    fn is_too_long(&self) -> bool {
        self.partial_event.len() > MAX_EVENT_BYTES
    }

    /// Returns where another target must resume the stream, `None` if the model version is unknown.
    /// Discards the partial event, which that target sends again.
    fn resume_point(&mut self) -> Option<ResumePoint> {
        self.partial_event.clear();
        Some(ResumePoint {
            version: self.version.clone()?,
            received_events: self.complete_events,
        })
    }
}

/// How one attempt to run the request at an agent ended.
enum AttemptResult {
    /// Nothing was sent to the agent.
    NotSent,
    /// The agent reported an outcome, or the connection to it was lost.
    Outcome {
        outcome: Outcome,
        /// The target's start counter when the request ran; zero if the agent reported none.
        start_count: u64,
    },
    CallerDisconnected,
}

/// Forwards one request until it has ended.
pub(super) struct Forwarder {
    active_request: ActiveRequest,
    agent_request: ServeRequest,
    response: CallerResponse,
}

impl Forwarder {
    pub fn new(
        active_request: ActiveRequest,
        agent_request: ServeRequest,
        response: oneshot::Sender<Response<Body>>,
    ) -> Self {
        Self {
            active_request,
            agent_request,
            response: CallerResponse::NotStarted(response),
        }
    }

    /// Executes the commands of the control thread until the request has ended.
    pub async fn run(mut self) {
        loop {
            let command = tokio::select! {
                command = self.active_request.commands.recv() => command,
                () = caller_disconnected(&mut self.response) => None,
            };
            match command {
                Some(Command::Send {
                    target,
                    suspect,
                    timeout,
                }) => {
                    if !self.try_target(target, suspect, timeout).await {
                        return;
                    }
                }
                Some(Command::Reject(rejection)) => {
                    self.reject(&rejection).await;
                    return;
                }
                Some(Command::Complete) => {
                    self.response = CallerResponse::Ended;
                    return;
                }
                Some(Command::StopWaiting) => {}
                None => return,
            }
        }
    }

    /// Sends the request to an agent and reports the result to the control thread. Returns whether
    /// further commands follow.
    async fn try_target(&mut self, target: Name, suspect: bool, timeout: Duration) -> bool {
        self.agent_request.target = target;
        self.agent_request.is_suspect = suspect;
        self.agent_request.resume = match &mut self.response {
            CallerResponse::Streaming { events, .. } => {
                events.as_mut().and_then(EventSplitter::resume_point)
            }
            _ => None,
        };
        self.agent_request.remaining_ms = millis(timeout);
        let Self {
            active_request,
            agent_request,
            response,
        } = self;
        let token = active_request.token;
        let inner = active_request.inner.clone();
        let sending = send_to_agent(&inner, agent_request, response, token);
        let result = tokio::select! {
            result = sending => result,
            command = active_request.commands.recv() => match command {
                // The deadline has passed; the rejection is the next command.
                Some(Command::StopWaiting) => return true,
                Some(Command::Reject(rejection)) => {
                    self.reject(&rejection).await;
                    return false;
                }
                _ => return false,
            },
        };
        let event = match result {
            AttemptResult::NotSent => Event::SendFailed(token),
            AttemptResult::Outcome {
                outcome,
                start_count,
            } => Event::Outcome {
                token,
                outcome,
                start_count,
            },
            AttemptResult::CallerDisconnected => return false,
        };
        inner.node.control.send(event);
        true
    }

    /// Sends an error response to the caller, or aborts the response if it has started.
    async fn reject(&mut self, rejection: &Rejection) {
        match std::mem::replace(&mut self.response, CallerResponse::Ended) {
            CallerResponse::NotStarted(sender) => {
                let mut response = rejection_response(rejection);
                set_request_id(&mut response, self.agent_request.id);
                // Fails only if the caller has disconnected.
                let _disconnected = sender.send(response);
            }
            CallerResponse::Streaming { mut body, events } => {
                if events.is_some() {
                    let error = rejection_text(rejection);
                    let json = serde_json::to_string(&ErrorBody { error }).unwrap_or_default();
                    let event = format!("event: error\ndata: {json}\n\n");
                    let _disconnected = body.send_data(event.into()).await;
                    // Bytes that are not written when the body is aborted are lost.
                    tokio::time::sleep(ERROR_EVENT_WRITE_TIME).await;
                }
                // Aborts the connection, so that no client takes the response for a complete one.
                body.abort(io::Error::other("the response is incomplete"));
            }
            CallerResponse::Ended => {}
        }
    }
}

/// Waits until the caller has disconnected. Once the response has started, this is noticed when
/// data is sent.
async fn caller_disconnected(response: &mut CallerResponse) {
    match response {
        CallerResponse::NotStarted(sender) => sender.closed().await,
        CallerResponse::Streaming { .. } | CallerResponse::Ended => std::future::pending().await,
    }
}

async fn send_to_agent(
    inner: &Arc<Inner>,
    agent_request: &ServeRequest,
    response: &mut CallerResponse,
    token: u64,
) -> AttemptResult {
    let target = &agent_request.target;
    let message = Request::Serve(agent_request.clone());
    let calling = inner.node.call(target, message, AGENT_IDLE_TIMEOUT);
    let call = tokio::select! {
        call = calling => call,
        () = caller_disconnected(response) => return AttemptResult::CallerDisconnected,
    };
    match call {
        Ok(call) if call.reply.body == Reply::Accepted => {
            relay_frames(inner, agent_request, response, token, call.reader).await
        }
        Ok(call) => {
            log::warn!(target: LOG_TARGET, "unexpected reply of {target}: {:?}", call.reply.body);
            AttemptResult::NotSent
        }
        Err(e) if e.is_not_sent() => {
            log::debug!(target: LOG_TARGET, "cannot reach {target}: {e}");
            AttemptResult::NotSent
        }
        Err(e) => connection_lost(agent_request, &e),
    }
}

fn connection_lost(agent_request: &ServeRequest, e: &WireError) -> AttemptResult {
    log::debug!(
        target: LOG_TARGET,
        "request {}: connection to {} lost: {e}",
        agent_request.id,
        agent_request.target
    );
    unknown_outcome()
}

fn unknown_outcome() -> AttemptResult {
    AttemptResult::Outcome {
        outcome: Outcome::Unknown { crashed: false },
        start_count: 0,
    }
}

/// Whether a response continues a stream that the caller has received a part of.
fn continues_stream(head: &ResponseHead, resume: &ResumePoint) -> bool {
    head.status == StatusCode::OK.as_u16()
        && is_event_stream(head)
        && head.version.as_ref() == Some(&resume.version)
}

/// Relays the response frames of the agent to the caller.
async fn relay_frames(
    inner: &Arc<Inner>,
    agent_request: &ServeRequest,
    response: &mut CallerResponse,
    token: u64,
    mut reader: MessageReader,
) -> AttemptResult {
    let mut received_bytes = 0;
    let mut has_head = false;
    loop {
        let frame = tokio::select! {
            frame = timeout(AGENT_IDLE_TIMEOUT, reader.receive_required()) => frame,
            () = caller_disconnected(response) => return AttemptResult::CallerDisconnected,
        };
        match frame.unwrap_or(Err(WireError::Timeout)) {
            Ok(ResponseFrame::Head(head)) => {
                has_head = true;
                if let Some(resume) = &agent_request.resume {
                    if !continues_stream(&head, resume) {
                        log::warn!(
                            target: LOG_TARGET,
                            "request {}: the stream is not continued by status {} of {}",
                            agent_request.id,
                            head.status,
                            agent_request.target
                        );
                        return unknown_outcome();
                    }
                } else {
                    let resumable = is_event_stream(&head) && head.version.is_some();
                    let response_started = Event::ResponseStarted { token, resumable };
                    inner.node.control.send(response_started);
                    if !start_response(response, head, agent_request.id) {
                        return AttemptResult::CallerDisconnected;
                    }
                }
            }
            Ok(ResponseFrame::KeepAlive) => {}
            Ok(ResponseFrame::Data(_)) if !has_head => return unknown_outcome(),
            Ok(ResponseFrame::Data(data)) => {
                received_bytes += data.len() as u64;
                if !send_data(response, data).await {
                    return AttemptResult::CallerDisconnected;
                }
                if has_endless_event(response) {
                    log::warn!(
                        target: LOG_TARGET,
                        "request {}: {} sends bytes that are no events",
                        agent_request.id,
                        agent_request.target
                    );
                    return unknown_outcome();
                }
            }
            Ok(ResponseFrame::End {
                id,
                outcome,
                bytes,
                start_count,
            }) => {
                let is_complete = id == agent_request.id && bytes == received_bytes;
                if is_complete && !flush_partial_event(response).await {
                    return AttemptResult::CallerDisconnected;
                }
                let outcome = match outcome {
                    Outcome::Ran { .. } if !is_complete => Outcome::Unknown { crashed: false },
                    other => other,
                };
                return AttemptResult::Outcome {
                    outcome,
                    start_count,
                };
            }
            Err(e) => return connection_lost(agent_request, &e),
        }
    }
}

/// Starts the response to the caller. Returns whether the caller is still connected.
fn start_response(response: &mut CallerResponse, head: ResponseHead, id: u64) -> bool {
    let previous = std::mem::replace(response, CallerResponse::Ended);
    let CallerResponse::NotStarted(sender) = previous else {
        return false;
    };
    let (body, channel) = Channel::<Bytes, io::Error>::new(MAX_BUFFERED_CHUNKS);
    let mut http_response = Response::new(UnsyncBoxBody::new(channel));
    *http_response.status_mut() =
        StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_request_id(&mut http_response, id);
    let headers = http_response.headers_mut();
    if let Some(value) = head.content_type.as_ref().and_then(|v| v.parse().ok()) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Some(value) = head.version.as_ref().and_then(|v| v.parse().ok()) {
        headers.insert(VERSION_HEADER, value);
    }
    let events = is_event_stream(&head).then(|| EventSplitter {
        version: head.version.clone(),
        complete_events: 0,
        partial_event: Vec::new(),
    });
    *response = CallerResponse::Streaming { body, events };
    sender.send(http_response).is_ok()
}

/// Sends body bytes to the caller. Returns whether the caller is still connected.
async fn send_data(response: &mut CallerResponse, data: Bytes) -> bool {
    let CallerResponse::Streaming { body, events } = response else {
        return false;
    };
    let data = match events {
        Some(events) => events.add(&data),
        None => data,
    };
    data.is_empty() || body.send_data(data).await.is_ok()
}

fn has_endless_event(response: &CallerResponse) -> bool {
    match response {
        CallerResponse::Streaming { events, .. } => {
            events.as_ref().is_some_and(EventSplitter::is_too_long)
        }
        CallerResponse::NotStarted(_) | CallerResponse::Ended => false,
    }
}

/// Sends the bytes after the last complete event of a response that has ended. Returns whether the
/// caller is still connected.
async fn flush_partial_event(response: &mut CallerResponse) -> bool {
    let CallerResponse::Streaming { body, events } = response else {
        return true;
    };
    let data = events
        .as_mut()
        .map(|events| std::mem::take(&mut events.partial_event));
    let data = data.unwrap_or_default();
    data.is_empty() || body.send_data(data.into()).await.is_ok()
}

fn is_event_stream(head: &ResponseHead) -> bool {
    head.content_type.as_deref().is_some_and(is_stream_type)
}

fn set_request_id(response: &mut Response<Body>, id: u64) {
    let headers = response.headers_mut();
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from(id));
}
