//! Runs callers' requests at the target and relays the responses to the entry.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use control::agent::{
    Event,
    OfferedRequest,
    RunResult, //
};
use http::header::CONTENT_TYPE;
use http::{
    Response,
    StatusCode, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use protocol::{
    Guard,
    Outcome,
    Refusal,
    Reply,
    ResponseFrame,
    ResponseHead,
    ServeRequest,
    Work, //
};
use tokio::sync::Notify;
use utils::Name;
use wire::Responder;

use super::{
    lock,
    ControlReply,
    Inner,
    PendingRequest, //
};
use crate::error::ProxyError;
use crate::event_stream::{
    is_stream_type,
    may_continue_stream, //
};
use crate::final_answer::is_no_answer;
use crate::target::REQUEST_ID;

/// The last event of a streamed response of a model engine.
const STREAM_END_EVENT: &[u8] = b"data: [DONE]";

/// The interval of the keep-alive frames to an entry while there is no other frame to send.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// The stream of response frames to an entry.
struct EntryStream {
    /// `None` once the entry has disconnected.
    responder: Option<Responder>,
    /// Bytes of the response body sent so far.
    body_bytes: u64,
    /// The target's start counter when the request ran; zero if it did not run.
    start_count: u64,
}

impl EntryStream {
    async fn send_frame(&mut self, frame: &ResponseFrame) {
        let Some(responder) = &mut self.responder else {
            return;
        };
        if let Err(e) = responder.send(frame).await {
            log::debug!("the entry disconnected: {e}");
            self.responder = None;
        }
    }

    /// Sends a keep-alive frame, unless the control thread is stalled: the entry then times out and
    /// retries elsewhere, as it would if the whole process were stalled.
    async fn send_keep_alive(&mut self, inner: &Inner) {
        if inner.node.control.is_responsive(&*inner.node.clock) {
            self.send_frame(&ResponseFrame::KeepAlive).await;
        }
    }

    /// Sends the end frame and closes the stream.
    async fn finish(mut self, id: u64, outcome: Outcome) {
        let end = ResponseFrame::End {
            id,
            outcome,
            bytes: self.body_bytes,
            start_count: self.start_count,
        };
        self.send_frame(&end).await;
        if let Some(responder) = self.responder.take() {
            if let Err(e) = responder.end() {
                log::debug!("the entry disconnected: {e}");
            }
        }
    }
}

/// The cancel signal of a running request; unregistered on drop.
struct CancelGuard {
    inner: Arc<Inner>,
    token: u64,
    signal: Arc<Notify>,
}

impl CancelGuard {
    fn new(inner: &Arc<Inner>, token: u64) -> Self {
        let signal = Arc::new(Notify::new());
        lock(&inner.cancel_signals).insert(token, signal.clone());
        Self {
            inner: inner.clone(),
            token,
            signal,
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        lock(&self.inner.cancel_signals).remove(&self.token);
    }
}

/// Reports on drop how a request ended, so that the control thread also learns of a dropped task.
struct RunGuard {
    inner: Arc<Inner>,
    token: u64,
    result: RunResult,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let event = Event::RequestEnded(self.token, self.result);
        self.inner.node.control.send(event);
    }
}

impl Inner {
    /// Handles a request that an entry forwards for a caller.
    pub(super) async fn handle_serve_request(
        self: Arc<Self>,
        request: ServeRequest,
        mut responder: Responder,
    ) {
        let mut pending = self.register_request(Some(Event::RequestWithdrawn));
        let token = pending.token;
        let now = self.node.clock.now().elapsed;
        let deadline = now + Duration::from_millis(request.remaining_ms);
        if responder
            .send(&self.node.envelope(Reply::Accepted))
            .await
            .is_err()
        {
            return;
        }
        if request.target != self.node.identity.instance {
            // The entry used an old address of its target, which now belongs to this instance.
            let stream = EntryStream::new(responder);
            let outcome = Outcome::NotRun(Refusal::WrongTarget);
            stream.finish(request.id, outcome).await;
            return;
        }
        let offered = offered_request(token, deadline, &request);
        self.node.control.send(Event::RequestOffered(offered));
        let mut stream = EntryStream::new(responder);
        let reply = self.wait_for_reply(&mut pending, &mut stream).await;
        pending.drop_event = None;
        match reply {
            Some(ControlReply::Run {
                version,
                start_count,
            }) => {
                stream.start_count = start_count;
                self.run_request(token, request, version, deadline, stream)
                    .await;
            }
            Some(ControlReply::Refuse(outcome)) => stream.finish(request.id, outcome).await,
            _ => {}
        }
    }

    /// Waits for the reply of the control thread. Withdraws the request if the entry disconnects.
    async fn wait_for_reply(
        &self,
        pending: &mut PendingRequest,
        stream: &mut EntryStream,
    ) -> Option<ControlReply> {
        let mut withdrawn = false;
        loop {
            tokio::select! {
                reply = &mut pending.reply => return reply.ok(),
                () = stream.closed(), if !withdrawn => {
                    // The control thread still replies: it may have admitted the request already.
                    withdrawn = true;
                    self.node.control.send(Event::RequestWithdrawn(pending.token));
                }
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => stream.send_keep_alive(self).await,
            }
        }
    }

    async fn run_request(
        self: Arc<Self>,
        token: u64,
        request: ServeRequest,
        version: Option<Name>,
        deadline: Duration,
        mut stream: EntryStream,
    ) {
        let cancel = CancelGuard::new(&self, token);
        let mut run = RunGuard {
            inner: self.clone(),
            token,
            result: RunResult::Cancelled,
        };
        let remaining = deadline.saturating_sub(self.node.clock.now().elapsed);
        let may_cancel = request.guard == Guard::Repeatable;
        let result = {
            let relay = self.relay_request(token, &request, version, &mut stream);
            tokio::select! {
                result = relay => result,
                () = tokio::time::sleep(remaining) => RunResult::TimedOut,
                () = cancel.signal.notified(), if may_cancel => RunResult::Cancelled,
            }
        };
        run.result = result;
        drop(run);
        stream.finish(request.id, result.outcome()).await;
    }

    /// Sends the request to the target and relays the response to the entry.
    async fn relay_request(
        &self,
        token: u64,
        request: &ServeRequest,
        version: Option<Name>,
        stream: &mut EntryStream,
    ) -> RunResult {
        let sent_at = self.node.clock.now().elapsed;
        let mut response = std::pin::pin!(self.target.send(request));
        let response = loop {
            tokio::select! {
                response = &mut response => break response,
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => stream.send_keep_alive(self).await,
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(ProxyError::Connect(_) | ProxyError::Decode(_)) => return RunResult::NotSent,
            Err(e @ ProxyError::NoAnswer(_)) => {
                log::warn!("request {}: the target sent no answer: {e}", request.id);
                return RunResult::WrongResponse;
            }
            Err(e) => {
                log::warn!("request {}: connection to the target lost: {e}", request.id);
                return RunResult::ConnectionLost;
            }
        };
        let is_refusal =
            response.status() == StatusCode::SERVICE_UNAVAILABLE && is_model(&request.work);
        if !self.belongs_to_request(&response, request.id, is_refusal) {
            log::warn!(
                "request {}: the target sent the response to another request",
                request.id
            );
            return RunResult::WrongResponse;
        }
        if is_refusal {
            // An engine sends this status only before it starts a request, so nothing was run.
            return RunResult::Declined;
        }
        let may_continue = may_continue_stream(response.status(), response.headers());
        if request.resume.is_some() && !may_continue {
            log::warn!(
                "request {}: the target answered {} instead of continuing the stream",
                request.id,
                response.status()
            );
            return RunResult::NotContinued;
        }
        let time_to_head = self.node.clock.now().elapsed.saturating_sub(sent_at);
        metrics::histogram!("medlarproxy_head_seconds").record(time_to_head);
        self.relay_body(token, request, version, response, stream)
            .await
    }

    /// Whether a response belongs to the request with this id. A target need not return ids, but one
    /// that has done so returns them always. A refusal without the id may be one that was sent before
    /// on the same connection, and must not be taken as proof that the request has not run.
    fn belongs_to_request(&self, response: &Response<Incoming>, id: u64, is_refusal: bool) -> bool {
        let Some(returned) = response.headers().get(REQUEST_ID) else {
            return !is_refusal && !self.target_returns_ids.load(Ordering::Relaxed);
        };
        self.target_returns_ids.store(true, Ordering::Relaxed);
        returned.to_str().is_ok_and(|text| text == id.to_string())
    }

    async fn relay_body(
        &self,
        token: u64,
        request: &ServeRequest,
        version: Option<Name>,
        response: Response<Incoming>,
        stream: &mut EntryStream,
    ) -> RunResult {
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let is_stream = content_type.as_deref().is_some_and(is_stream_type);
        let head = ResponseHead {
            status,
            content_type,
            version,
        };
        let mut body = response.into_body();
        let mut head = Some(head);
        let mut tail = Vec::new();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => {
                    stream.send_keep_alive(self).await;
                    continue;
                }
            };
            let data = match frame {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(e)) => {
                    log::warn!(
                        "request {}: the response of the target was cut off: {e}",
                        request.id
                    );
                    return if is_no_answer(&e) {
                        RunResult::WrongResponse
                    } else {
                        RunResult::ConnectionLost
                    };
                }
            };
            if let Some(head) = head.take() {
                self.node.control.send(Event::FirstByteReceived(token));
                stream.send_frame(&ResponseFrame::Head(head)).await;
            }
            append_to_tail(&mut tail, &data);
            self.links.record_live_bytes(data.len());
            stream.body_bytes += data.len() as u64;
            stream.send_frame(&ResponseFrame::Data(data)).await;
        }
        if let Some(head) = head.take() {
            stream.send_frame(&ResponseFrame::Head(head)).await;
        }
        // A stream without its last event is incomplete, even if the connection was closed cleanly.
        if is_stream
            && !tail
                .windows(STREAM_END_EVENT.len())
                .any(|window| window == STREAM_END_EVENT)
        {
            return RunResult::ConnectionLost;
        }
        RunResult::Answered { status }
    }
}

impl EntryStream {
    /// Waits until the entry has disconnected.
    async fn closed(&mut self) {
        match &mut self.responder {
            Some(responder) => responder.wait_closed().await,
            None => std::future::pending().await,
        }
    }

    fn new(responder: Responder) -> Self {
        Self {
            responder: Some(responder),
            body_bytes: 0,
            start_count: 0,
        }
    }
}

fn offered_request(token: u64, deadline: Duration, request: &ServeRequest) -> OfferedRequest {
    OfferedRequest {
        token,
        request: request.id,
        work: request.work.name().clone(),
        team: request.team.clone(),
        priority: request.priority,
        deadline,
        guard: request.guard.clone(),
        fingerprint: request.fingerprint,
        is_suspect: request.is_suspect,
        version: request.resume.as_ref().map(|resume| resume.version.clone()),
    }
}

fn is_model(work: &Work) -> bool {
    matches!(work, Work::Model(_))
}

/// Appends to the kept end of a response, which must contain the last event of a stream.
fn append_to_tail(tail: &mut Vec<u8>, data: &Bytes) {
    const TAIL_BYTES: usize = 64;
    tail.extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
    let excess = tail.len().saturating_sub(TAIL_BYTES);
    tail.drain(..excess);
}
