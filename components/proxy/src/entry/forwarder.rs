//! Forwards one request to an agent, or to several in turn, and relays the response to the caller.

use std::future::{
    pending,
    Future, //
};
use std::io;
use std::pin::Pin;
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
use http_body_util::channel::{
    SendError,
    Sender, //
};
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
    CallReply,
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
    Command, //
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

/// After an agent has sent nothing for this long, not even a keep-alive, another one is asked.
const AGENT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long writing the last event of an incomplete stream may take.
const ERROR_EVENT_WRITE_TIME: Duration = Duration::from_millis(250);

/// The response to the caller.
enum CallerResponse {
    /// Nothing was sent yet.
    NotStarted(oneshot::Sender<Response<Body>>),
    /// The head was sent.
    Streaming {
        body: CallerBody,
        /// Set if the body is an event stream.
        events: Option<EventSplitter>,
    },
    /// The response has ended, or the caller has disconnected.
    Ended,
}

/// The body of a response. It is cut off on drop, so that it looks complete only if it is.
struct CallerBody(Option<Sender<Bytes, io::Error>>);

impl CallerBody {
    async fn send(&mut self, data: Bytes) -> Result<(), SendError> {
        match &mut self.0 {
            Some(sender) => sender.send_data(data).await,
            None => Ok(()),
        }
    }

    /// Ends the body, which is complete.
    fn complete(mut self) {
        self.0 = None;
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if let Some(sender) = self.0.take() {
            sender.abort(io::Error::other("the response is incomplete"));
        }
    }
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
    /// That target sends the partial event again.
    fn resume_point(&self) -> Option<ResumePoint> {
        Some(ResumePoint {
            version: self.version.clone()?,
            received_events: self.complete_events,
        })
    }

    /// Returns a splitter for the bytes from `resume` on.
    fn resuming(resume: &ResumePoint) -> Self {
        Self {
            version: Some(resume.version.clone()),
            complete_events: resume.received_events,
            partial_event: Vec::new(),
        }
    }
}

/// A call to an agent that has not replied yet.
type Calling = Pin<Box<dyn Future<Output = Result<CallReply, WireError>> + Send>>;

/// The attempt in progress.
enum Attempt {
    None,
    Calling(Calling),
    Relaying(Exchange),
}

/// An exchange with an agent that has accepted the request.
struct Exchange {
    target: Name,
    /// The point from which it continues the response of another target, until it has begun to.
    resume: Option<ResumePoint>,
    /// The events of a continued response that has not begun yet.
    resumed_events: Option<EventSplitter>,
    reader: MessageReader,
    has_head: bool,
    received_bytes: u64,
    /// Whether it is waited for however long it is silent.
    is_kept: bool,
}

impl Exchange {
    fn new(target: Name, resume: Option<ResumePoint>, reader: MessageReader) -> Self {
        Self {
            resumed_events: resume.as_ref().map(EventSplitter::resuming),
            target,
            resume,
            reader,
            has_head: false,
            received_bytes: 0,
            is_kept: false,
        }
    }

    /// Whether the caller has a part of its response.
    fn has_begun(&self) -> bool {
        self.has_head && self.resume.is_none()
    }

    /// Receives the next frame. Fails if the agent is silent for too long.
    async fn next_frame(&mut self) -> Result<ResponseFrame, WireError> {
        if self.is_kept {
            return self.reader.receive_required().await;
        }
        let frame = timeout(AGENT_IDLE_TIMEOUT, self.reader.receive_required()).await;
        frame.unwrap_or(Err(WireError::Timeout))
    }
}

/// What a forwarder reacts to.
enum Input {
    Command(Option<Command>),
    CallerDisconnected,
    /// The caller has taken the bytes that were to be sent.
    Sent(Result<(), SendError>),
    Called(Result<CallReply, WireError>),
    Frame(Result<ResponseFrame, WireError>),
    SilentFrame(Result<ResponseFrame, WireError>),
}

/// Forwards one request until it has ended.
pub(super) struct Forwarder {
    active_request: ActiveRequest,
    agent_request: ServeRequest,
    response: CallerResponse,
    attempt: Attempt,
    /// The exchange with a silent agent, while another one is asked to continue its response.
    silent: Option<Exchange>,
    /// Whether the silent agent has spoken and the control thread has not confirmed it yet. Its commands
    /// before that concern targets that are left.
    awaits_confirmation: bool,
    /// Bytes that the caller has not taken yet.
    unsent: Bytes,
    /// What to report when the caller has taken all bytes.
    end: Option<Event>,
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
            attempt: Attempt::None,
            silent: None,
            awaits_confirmation: false,
            unsent: Bytes::new(),
            end: None,
        }
    }

    /// Executes the commands of the control thread until the request has ended.
    pub async fn run(mut self) {
        loop {
            let goes_on = match self.next_input().await {
                Input::Command(Some(command)) => self.execute(command).await,
                Input::Command(None) | Input::CallerDisconnected | Input::Sent(Err(_)) => false,
                Input::Sent(Ok(())) => {
                    self.unsent.clear();
                    if let Some(event) = self.end.take() {
                        self.report(event);
                    }
                    true
                }
                Input::Called(result) => {
                    self.handle_call(result);
                    true
                }
                Input::Frame(frame) => self.handle_frame(frame),
                Input::SilentFrame(frame) => self.handle_silent_frame(frame),
            };
            if !goes_on {
                return;
            }
        }
    }

    async fn next_input(&mut self) -> Input {
        let Self {
            active_request,
            response,
            attempt,
            silent,
            unsent,
            ..
        } = self;
        let is_sending = !unsent.is_empty();
        tokio::select! {
            command = active_request.commands.recv() => Input::Command(command),
            input = wait_for_caller(response, unsent) => input,
            input = wait_for_agent(attempt), if !is_sending => input,
            frame = next_silent_frame(silent), if !is_sending => Input::SilentFrame(frame),
        }
    }

    /// Executes a command. Returns whether further ones follow.
    async fn execute(&mut self, command: Command) -> bool {
        match command {
            Command::Send { .. } if self.awaits_confirmation => {}
            Command::Send {
                target,
                suspect,
                timeout,
            } => self.call(target, suspect, timeout),
            Command::KeepTarget if self.awaits_confirmation => self.awaits_confirmation = false,
            Command::KeepTarget => {
                // Without one, its end was reported before this command was executed.
                if let Some(mut exchange) = self.silent.take() {
                    exchange.is_kept = true;
                    self.attempt = Attempt::Relaying(exchange);
                }
            }
            Command::StopWaiting => {
                // The deadline has passed; the rejection is the next command.
                self.attempt = Attempt::None;
                self.silent = None;
            }
            Command::Reject(rejection) => {
                self.reject(&rejection).await;
                return false;
            }
            Command::Complete => {
                let response = std::mem::replace(&mut self.response, CallerResponse::Ended);
                if let CallerResponse::Streaming { body, .. } = response {
                    body.complete();
                }
                return false;
            }
        }
        true
    }

    fn report(&self, event: Event) {
        self.active_request.inner.node.control.send(event);
    }

    /// Ends the attempt in progress with an outcome.
    fn end_attempt(&mut self, outcome: Outcome, start_count: u64) {
        self.attempt = Attempt::None;
        let event = Event::Outcome {
            token: self.active_request.token,
            outcome,
            start_count,
        };
        if self.unsent.is_empty() {
            self.report(event);
        } else {
            self.end = Some(event);
        }
    }

    fn end_with_unknown_outcome(&mut self) {
        self.end_attempt(Outcome::Unknown { crashed: false }, 0);
    }

    /// Sends the request to an agent.
    fn call(&mut self, target: Name, suspect: bool, timeout: Duration) {
        self.agent_request.target = target.clone();
        self.agent_request.is_suspect = suspect;
        self.agent_request.resume = match &self.response {
            CallerResponse::Streaming { events, .. } => {
                events.as_ref().and_then(EventSplitter::resume_point)
            }
            _ => None,
        };
        self.agent_request.remaining_ms = millis(timeout);
        let message = Request::Serve(self.agent_request.clone());
        let inner = self.active_request.inner.clone();
        self.attempt = Attempt::Calling(Box::pin(async move {
            inner.node.call(&target, message, AGENT_IDLE_TIMEOUT).await
        }));
    }

    fn handle_call(&mut self, result: Result<CallReply, WireError>) {
        let target = self.agent_request.target.clone();
        match result {
            Ok(call) if call.reply.body == Reply::Accepted => {
                let resume = self.agent_request.resume.clone();
                self.attempt = Attempt::Relaying(Exchange::new(target, resume, call.reader));
                return;
            }
            Ok(call) => {
                let reply = call.reply.body;
                log::warn!(target: LOG_TARGET, "unexpected reply of {target}: {reply:?}");
            }
            Err(e) if e.is_not_sent() => {
                log::debug!(target: LOG_TARGET, "cannot reach {target}: {e}");
            }
            Err(e) => {
                self.log_lost_connection(&target, &e);
                self.end_with_unknown_outcome();
                return;
            }
        }
        self.attempt = Attempt::None;
        self.report(Event::SendFailed(self.active_request.token));
    }

    fn log_lost_connection(&self, target: &Name, e: &WireError) {
        log::debug!(
            target: LOG_TARGET,
            "request {}: connection to {target} lost: {e}",
            self.agent_request.id
        );
    }

    /// Handles a frame of the attempt in progress. Returns whether the caller is still connected.
    fn handle_frame(&mut self, frame: Result<ResponseFrame, WireError>) -> bool {
        let Attempt::Relaying(exchange) = &mut self.attempt else {
            return true;
        };
        exchange.is_kept = false;
        match frame {
            Ok(ResponseFrame::Head(head)) => self.handle_head(head),
            Ok(ResponseFrame::KeepAlive) => true,
            Ok(ResponseFrame::Data(data)) => {
                self.handle_data(&data);
                true
            }
            Ok(ResponseFrame::End {
                id,
                outcome,
                bytes,
                start_count,
            }) => {
                let is_complete = id == self.agent_request.id && bytes == exchange.received_bytes;
                self.handle_end(outcome, is_complete, start_count);
                true
            }
            Err(WireError::Timeout) if exchange.has_begun() && self.silent.is_none() => {
                self.set_silent_exchange_aside();
                true
            }
            Err(e) => {
                let target = exchange.target.clone();
                self.log_lost_connection(&target, &e);
                self.end_with_unknown_outcome();
                true
            }
        }
    }

    /// Keeps the exchange with a silent agent open while another one is asked, which may refuse.
    fn set_silent_exchange_aside(&mut self) {
        if let Attempt::Relaying(exchange) = std::mem::replace(&mut self.attempt, Attempt::None) {
            log::debug!(
                target: LOG_TARGET,
                "request {}: {} is silent",
                self.agent_request.id,
                exchange.target
            );
            self.silent = Some(exchange);
            self.report(Event::AgentSilent(self.active_request.token));
        }
    }

    fn handle_head(&mut self, head: ResponseHead) -> bool {
        let Attempt::Relaying(exchange) = &mut self.attempt else {
            return true;
        };
        exchange.has_head = true;
        if let Some(resume) = &exchange.resume {
            if !continues_stream(&head, resume) {
                log::warn!(
                    target: LOG_TARGET,
                    "request {}: the stream is not continued by status {} of {}",
                    self.agent_request.id,
                    head.status,
                    exchange.target
                );
                self.end_with_unknown_outcome();
            }
            return true;
        }
        let resumable = is_event_stream(&head) && head.version.is_some();
        self.report(Event::ResponseStarted {
            token: self.active_request.token,
            resumable,
        });
        start_response(&mut self.response, head, self.agent_request.id)
    }

    fn handle_data(&mut self, data: &Bytes) {
        let Attempt::Relaying(exchange) = &mut self.attempt else {
            return;
        };
        exchange.received_bytes += data.len() as u64;
        if !exchange.has_head {
            self.end_with_unknown_outcome();
            return;
        }
        let is_too_long = if let Some(events) = &mut exchange.resumed_events {
            self.unsent = events.add(data);
            events.is_too_long()
        } else if let CallerResponse::Streaming { events, .. } = &mut self.response {
            match events {
                Some(events) => {
                    self.unsent = events.add(data);
                    events.is_too_long()
                }
                None => {
                    self.unsent = data.clone();
                    false
                }
            }
        } else {
            false
        };
        if !self.unsent.is_empty() {
            self.leave_silent_exchange();
        }
        if is_too_long {
            log::warn!(
                target: LOG_TARGET,
                "request {}: {} sends bytes that are no events",
                self.agent_request.id,
                self.agent_request.target
            );
            self.end_with_unknown_outcome();
        }
    }

    /// Continues the response with the exchange in progress, which has begun, instead of an earlier one.
    fn leave_silent_exchange(&mut self) {
        let Attempt::Relaying(exchange) = &mut self.attempt else {
            return;
        };
        let Some(resumed_events) = exchange.resumed_events.take() else {
            return;
        };
        exchange.resume = None;
        if let CallerResponse::Streaming { events, .. } = &mut self.response {
            *events = Some(resumed_events);
        }
        self.silent = None;
        self.report(Event::ResponseResumed(self.active_request.token));
    }

    fn handle_end(&mut self, outcome: Outcome, is_complete: bool, start_count: u64) {
        let Attempt::Relaying(exchange) = &self.attempt else {
            return;
        };
        // An empty rest does not show that the stream was complete when it broke off.
        let is_empty_rest = exchange
            .resumed_events
            .as_ref()
            .is_some_and(|events| events.partial_event.is_empty());
        let outcome = match outcome {
            Outcome::Ran { .. } if !is_complete || is_empty_rest => {
                Outcome::Unknown { crashed: false }
            }
            other => other,
        };
        if matches!(outcome, Outcome::Ran { .. }) {
            self.leave_silent_exchange();
            // The bytes after the last complete event.
            if let CallerResponse::Streaming {
                events: Some(events),
                ..
            } = &mut self.response
            {
                self.unsent = std::mem::take(&mut events.partial_event).into();
            }
        }
        self.end_attempt(outcome, start_count);
    }

    /// Handles a frame of an agent that was silent. The first agent that continues the response goes on.
    fn handle_silent_frame(&mut self, frame: Result<ResponseFrame, WireError>) -> bool {
        let token = self.active_request.token;
        let (outcome, start_count) = match &frame {
            Ok(ResponseFrame::KeepAlive) => return true,
            Ok(ResponseFrame::End {
                outcome,
                start_count,
                ..
            }) if !matches!(outcome, Outcome::Ran { .. }) => (*outcome, *start_count),
            Ok(_) => {
                if let Some(exchange) = self.silent.take() {
                    self.attempt = Attempt::Relaying(exchange);
                    self.awaits_confirmation = true;
                    self.report(Event::SilentAgentSpoke(token));
                }
                return self.handle_frame(frame);
            }
            Err(_) => (Outcome::Unknown { crashed: false }, 0),
        };
        self.silent = None;
        self.report(Event::SilentAgentEnded {
            token,
            outcome,
            start_count,
        });
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
                    // A caller that does not read gets no event.
                    let sending = body.send(event.into());
                    let _sent = tokio::time::timeout(ERROR_EVENT_WRITE_TIME, sending).await;
                    // Bytes that are not written when the body is aborted are lost.
                    tokio::time::sleep(ERROR_EVENT_WRITE_TIME).await;
                }
                // Dropping the body cuts off the connection, so that no client takes the response for a
                // complete one.
            }
            CallerResponse::Ended => {}
        }
    }
}

/// Sends bytes to the caller, or waits until it has disconnected. Once the response has started, that is
/// noticed when data is sent.
async fn wait_for_caller(response: &mut CallerResponse, unsent: &Bytes) -> Input {
    match response {
        CallerResponse::NotStarted(sender) => {
            sender.closed().await;
            Input::CallerDisconnected
        }
        CallerResponse::Streaming { body, .. } if !unsent.is_empty() => {
            Input::Sent(body.send(unsent.clone()).await)
        }
        CallerResponse::Streaming { .. } | CallerResponse::Ended => pending().await,
    }
}

async fn wait_for_agent(attempt: &mut Attempt) -> Input {
    match attempt {
        Attempt::None => pending().await,
        Attempt::Calling(calling) => Input::Called(calling.await),
        Attempt::Relaying(exchange) => Input::Frame(exchange.next_frame().await),
    }
}

async fn next_silent_frame(silent: &mut Option<Exchange>) -> Result<ResponseFrame, WireError> {
    match silent {
        Some(exchange) => exchange.reader.receive_required().await,
        None => pending().await,
    }
}

/// Whether a response continues a stream that the caller has received a part of.
fn continues_stream(head: &ResponseHead, resume: &ResumePoint) -> bool {
    head.status == StatusCode::OK.as_u16()
        && is_event_stream(head)
        && head.version.as_ref() == Some(&resume.version)
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
    let body = CallerBody(Some(body));
    *response = CallerResponse::Streaming { body, events };
    sender.send(http_response).is_ok()
}

fn is_event_stream(head: &ResponseHead) -> bool {
    head.content_type.as_deref().is_some_and(is_stream_type)
}

fn set_request_id(response: &mut Response<Body>, id: u64) {
    let headers = response.headers_mut();
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from(id));
}
