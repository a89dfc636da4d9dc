//! One request on its way: to an agent, maybe to another, and its answer to the caller.

use std::io;
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
    Frame,
    Head,
    Outcome,
    Reply,
    Request,
    Resume,
    Serve, //
};
use tokio::sync::oneshot;
use tokio::time::timeout;
use utils::Name;
use wire::{
    Frames,
    WireError, //
};

use super::answer::{
    rejected,
    rejection_text,
    ErrorBody, //
};
use super::{
    Command,
    Ongoing, //
};

/// Parts of an answer that wait for the caller to take them.
const BUFFERED_PARTS: usize = 16;

/// Names the model version that answered.
const VERSION: &str = "x-model-version";

/// Names the request in the record.
const REQUEST_ID: &str = "x-request-id";

/// An agent that gives no sign of life for this long is taken for gone.
const SILENCE: Duration = Duration::from_secs(2);

type BodySender = Sender<Bytes, io::Error>;

/// The way back to the caller.
enum Caller {
    /// Nothing was answered yet.
    Waiting(oneshot::Sender<Response<Body>>),
    /// The answer has begun.
    Streaming {
        body: BodySender,
        /// The events so far, if it is a stream of events.
        events: Option<Events>,
    },
    /// The answer has ended, or the caller is gone.
    Ended,
}

/// A stream of events on its way to the caller, who gets whole ones only, so that another target
/// can go on after the last.
struct Events {
    /// The version that makes the answer.
    version: Option<Name>,
    /// Whole events passed on.
    passed: u64,
    /// The start of an event that is not whole yet.
    rest: Vec<u8>,
}

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

impl Events {
    /// Takes bytes of the answer. Returns the events that became whole.
    fn split(&mut self, data: &[u8]) -> Bytes {
        // An end may lie across the old and the new bytes.
        let from = self.rest.len().saturating_sub(EVENT_END.len() - 1);
        self.rest.extend_from_slice(data);
        let mut whole = 0;
        let mut at = from;
        while at + EVENT_END.len() <= self.rest.len() {
            if self.rest[at..].starts_with(EVENT_END) {
                at += EVENT_END.len();
                whole = at;
                self.passed += 1;
            } else {
                at += 1;
            }
        }
        let rest = self.rest.split_off(whole);
        std::mem::replace(&mut self.rest, rest).into()
    }

    /// Where another target must go on. What is not whole of an event is sent again by it.
    fn resume(&mut self) -> Option<Resume> {
        self.rest.clear();
        Some(Resume {
            version: self.version.clone()?,
            events: self.passed,
        })
    }
}

/// How one sending ended.
enum Sent {
    /// Nothing went out.
    Nothing,
    /// The agent said so, or its connection broke.
    Outcome {
        outcome: Outcome,
        /// How often the target had started.
        start: u64,
    },
    /// The caller went away.
    CallerGone,
}

/// Carries a request until its end.
pub(super) struct Pump {
    ongoing: Ongoing,
    serve: Serve,
    caller: Caller,
}

impl Pump {
    pub fn new(ongoing: Ongoing, serve: Serve, tx: oneshot::Sender<Response<Body>>) -> Self {
        Self {
            ongoing,
            serve,
            caller: Caller::Waiting(tx),
        }
    }

    /// Follows the control thread's commands until the request has ended.
    pub async fn run(mut self) {
        loop {
            let command = tokio::select! {
                command = self.ongoing.rx.recv() => command,
                () = caller_gone(&mut self.caller) => None,
            };
            match command {
                Some(Command::Send {
                    target,
                    suspect,
                    timeout,
                }) => {
                    if !self.send_until_told(target, suspect, timeout).await {
                        return;
                    }
                }
                Some(Command::Reject(rejection)) => {
                    self.reject(&rejection).await;
                    return;
                }
                Some(Command::Done) => {
                    self.caller = Caller::Ended;
                    return;
                }
                Some(Command::Abandon) => {}
                None => return,
            }
        }
    }

    /// Sends the request, and tells the control thread how that ended. Returns whether to go on.
    async fn send_until_told(&mut self, target: Name, suspect: bool, timeout: Duration) -> bool {
        self.serve.target = target;
        self.serve.suspect = suspect;
        self.serve.resume = match &mut self.caller {
            Caller::Streaming { events, .. } => events.as_mut().and_then(Events::resume),
            _ => None,
        };
        self.serve.timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let Self {
            ongoing,
            serve,
            caller,
        } = self;
        let token = ongoing.token;
        let inner = ongoing.inner.clone();
        let sending = send(&inner, serve, caller, token);
        let sent = tokio::select! {
            sent = sending => sent,
            command = ongoing.rx.recv() => match command {
                // The deadline passed; what follows is the rejection.
                Some(Command::Abandon) => return true,
                Some(Command::Reject(rejection)) => {
                    self.reject(&rejection).await;
                    return false;
                }
                _ => return false,
            },
        };
        let event = match sent {
            Sent::Nothing => Event::NotSent(token),
            Sent::Outcome { outcome, start } => Event::Outcome {
                token,
                outcome,
                start,
            },
            Sent::CallerGone => return false,
        };
        inner.node.control.send(event);
        true
    }

    /// Tells the caller that there is no answer, or no whole one.
    async fn reject(&mut self, rejection: &Rejection) {
        match std::mem::replace(&mut self.caller, Caller::Ended) {
            Caller::Waiting(tx) => {
                let mut response = rejected(rejection);
                note_request(&mut response, self.serve.id);
                // A caller that left does not need the answer.
                let _left = tx.send(response);
            }
            Caller::Streaming { mut body, events } => {
                if events.is_some() {
                    let error = rejection_text(rejection);
                    let json = serde_json::to_string(&ErrorBody { error }).unwrap_or_default();
                    let event = format!("event: error\ndata: {json}\n\n");
                    let _left = body.send_data(event.into()).await;
                }
                // The connection is cut, so that no client takes the answer for a whole one.
                body.abort(io::Error::other("the answer is not whole"));
            }
            Caller::Ended => {}
        }
    }
}

/// Waits until the caller has gone.
async fn caller_gone(caller: &mut Caller) {
    match caller {
        Caller::Waiting(tx) => tx.closed().await,
        Caller::Streaming { .. } | Caller::Ended => std::future::pending().await,
    }
}

async fn send(
    inner: &std::sync::Arc<super::Inner>,
    serve: &Serve,
    caller: &mut Caller,
    token: u64,
) -> Sent {
    let request = Request::Serve(serve.clone());
    let asking = inner.node.ask(&serve.target, request, SILENCE);
    let call = tokio::select! {
        call = asking => call,
        () = caller_gone(caller) => return Sent::CallerGone,
    };
    match call {
        Ok(call) if call.reply.body == Reply::Serving => {
            receive(inner, serve, caller, token, call.frames).await
        }
        Ok(call) => {
            log::warn!(
                "unexpected answer of {}: {:?}",
                serve.target,
                call.reply.body
            );
            Sent::Nothing
        }
        Err(e) if e.is_not_sent() => {
            log::debug!("{} is not reached: {e}", serve.target);
            Sent::Nothing
        }
        Err(e) => lost(serve, &e),
    }
}

fn lost(serve: &Serve, e: &WireError) -> Sent {
    log::debug!("request {}: {} broke off: {e}", serve.id, serve.target);
    Sent::Outcome {
        outcome: Outcome::Unknown { crashed: false },
        start: 0,
    }
}

/// Passes the agent's frames on to the caller.
async fn receive(
    inner: &std::sync::Arc<super::Inner>,
    serve: &Serve,
    caller: &mut Caller,
    token: u64,
    mut frames: Frames,
) -> Sent {
    let mut count = 0;
    loop {
        let frame = tokio::select! {
            frame = timeout(SILENCE, frames.expect()) => frame,
            () = caller_gone(caller) => return Sent::CallerGone,
        };
        match frame.unwrap_or(Err(WireError::Timeout)) {
            Ok(Frame::Head(head)) => {
                if serve.resume.is_none() {
                    let resumable = is_events(&head) && head.version.is_some();
                    let committed = Event::Committed { token, resumable };
                    inner.node.control.send(committed);
                    if !begin_answer(caller, head, serve.id) {
                        return Sent::CallerGone;
                    }
                }
            }
            Ok(Frame::Alive) => {}
            Ok(Frame::Data(data)) => {
                count += data.len() as u64;
                if !pass_on(caller, data).await {
                    return Sent::CallerGone;
                }
            }
            Ok(Frame::End {
                id,
                outcome,
                bytes,
                start,
            }) => {
                let whole = id == serve.id && bytes == count;
                if whole && !flush(caller).await {
                    return Sent::CallerGone;
                }
                let outcome = match outcome {
                    Outcome::Ran { .. } if !whole => Outcome::Unknown { crashed: false },
                    other => other,
                };
                return Sent::Outcome { outcome, start };
            }
            Err(e) => return lost(serve, &e),
        }
    }
}

/// Starts the answer to the caller. Returns whether the caller is still there.
fn begin_answer(caller: &mut Caller, head: Head, id: u64) -> bool {
    let Caller::Waiting(tx) = std::mem::replace(caller, Caller::Ended) else {
        return false;
    };
    let (body, channel) = Channel::<Bytes, io::Error>::new(BUFFERED_PARTS);
    let mut response = Response::new(UnsyncBoxBody::new(channel));
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    note_request(&mut response, id);
    let headers = response.headers_mut();
    if let Some(value) = head.content_type.as_ref().and_then(|v| v.parse().ok()) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Some(value) = head.version.as_ref().and_then(|v| v.parse().ok()) {
        headers.insert(VERSION, value);
    }
    let events = is_events(&head).then(|| Events {
        version: head.version.clone(),
        passed: 0,
        rest: Vec::new(),
    });
    *caller = Caller::Streaming { body, events };
    tx.send(response).is_ok()
}

/// Passes bytes to the caller. Returns whether the caller is still there.
async fn pass_on(caller: &mut Caller, data: Bytes) -> bool {
    let Caller::Streaming { body, events } = caller else {
        return false;
    };
    let part = match events {
        Some(events) => events.split(&data),
        None => data,
    };
    part.is_empty() || body.send_data(part).await.is_ok()
}

/// Passes on what follows the last whole event of an answer that ended.
async fn flush(caller: &mut Caller) -> bool {
    let Caller::Streaming { body, events } = caller else {
        return true;
    };
    let rest = events
        .as_mut()
        .map(|events| std::mem::take(&mut events.rest));
    let rest = rest.unwrap_or_default();
    rest.is_empty() || body.send_data(rest.into()).await.is_ok()
}

fn is_events(head: &Head) -> bool {
    let content_type = head.content_type.as_deref().unwrap_or_default();
    content_type.starts_with("text/event-stream")
}

fn note_request(response: &mut Response<Body>, id: u64) {
    let headers = response.headers_mut();
    headers.insert(REQUEST_ID, HeaderValue::from(id));
}
