//! Running callers' requests at the target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use control::agent::{
    Ended,
    Event,
    Offered, //
};
use http::header::CONTENT_TYPE;
use http::{
    Response,
    StatusCode, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use protocol::{
    Frame,
    Guard,
    Head,
    Outcome,
    Refusal,
    Reply,
    Serve,
    Work, //
};
use tokio::sync::Notify;
use utils::Name;
use wire::Responder;

use super::{
    lock,
    Inner,
    Pending,
    Verdict, //
};
use crate::error::ProxyError;
use crate::target::REQUEST_ID;

/// The last event of a streamed answer of a model engine.
const STREAM_END: &[u8] = b"data: [DONE]";

/// How often an entry that waits hears that the agent is alive.
const ALIVE_EVERY: Duration = Duration::from_millis(500);

/// The content type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";

/// The sending half towards an entry, which may have gone away.
struct Answer {
    responder: Option<Responder>,
    bytes: u64,
    start: u64,
}

impl Answer {
    async fn send(&mut self, frame: &Frame) {
        let Some(responder) = &mut self.responder else {
            return;
        };
        if let Err(e) = responder.send(frame).await {
            log::debug!("the entry went away: {e}");
            self.responder = None;
        }
    }

    /// Tells the entry that the agent is alive. Not said while the control thread stands still:
    /// the entry then asks elsewhere, as it would if the whole process did.
    async fn alive(&mut self, inner: &Inner) {
        if inner.node.control.is_awake(&*inner.node.clock) {
            self.send(&Frame::Alive).await;
        }
    }

    async fn finish(mut self, id: u64, outcome: Outcome) {
        let end = Frame::End {
            id,
            outcome,
            bytes: self.bytes,
            start: self.start,
        };
        self.send(&end).await;
        if let Some(responder) = self.responder.take() {
            if let Err(e) = responder.end() {
                log::debug!("the entry went away: {e}");
            }
        }
    }
}

/// A cancel switch that leaves the table when it is dropped.
struct CancelGuard {
    inner: Arc<Inner>,
    token: u64,
    notify: Arc<Notify>,
}

impl CancelGuard {
    fn new(inner: &Arc<Inner>, token: u64) -> Self {
        let notify = Arc::new(Notify::new());
        lock(&inner.cancels).insert(token, notify.clone());
        Self {
            inner: inner.clone(),
            token,
            notify,
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        lock(&self.inner.cancels).remove(&self.token);
    }
}

/// Tells the control thread how a run ended, also when the task that runs it is dropped.
struct RunGuard {
    inner: Arc<Inner>,
    token: u64,
    ended: Ended,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let event = Event::Ended(self.token, self.ended);
        self.inner.node.control.send(event);
    }
}

impl Inner {
    /// Answers an entry that hands over a caller's request.
    pub(super) async fn serve(self: Arc<Self>, serve: Serve, mut responder: Responder) {
        let mut pending = self.pend(Some(Event::Withdraw));
        let token = pending.token;
        let now = self.node.clock.now().elapsed;
        let deadline = now + Duration::from_millis(serve.timeout_ms);
        if responder
            .send(&self.node.envelope(Reply::Serving))
            .await
            .is_err()
        {
            return;
        }
        if serve.target != self.node.identity.instance {
            // The address was given to another instance since the entry learned of it.
            let answer = Answer::new(responder);
            let outcome = Outcome::NotRun(Refusal::WrongTarget);
            answer.finish(serve.id, outcome).await;
            return;
        }
        let offered = offered(token, deadline, &serve);
        self.node.control.send(Event::Offer(offered));
        let mut answer = Answer::new(responder);
        let verdict = self.await_verdict(&mut pending, &mut answer).await;
        pending.on_drop = None;
        match verdict {
            Some(Verdict::Run { version, start }) => {
                answer.start = start;
                self.run(token, serve, version, deadline, answer).await;
            }
            Some(Verdict::Refuse(outcome)) => answer.finish(serve.id, outcome).await,
            _ => {}
        }
    }

    async fn await_verdict(&self, pending: &mut Pending, answer: &mut Answer) -> Option<Verdict> {
        let mut withdrawn = false;
        loop {
            tokio::select! {
                verdict = &mut pending.rx => return verdict.ok(),
                () = answer.closed(), if !withdrawn => {
                    // The control thread still answers, since the request may just have started.
                    withdrawn = true;
                    self.node.control.send(Event::Withdraw(pending.token));
                }
                () = tokio::time::sleep(ALIVE_EVERY) => answer.alive(self).await,
            }
        }
    }

    async fn run(
        self: Arc<Self>,
        token: u64,
        serve: Serve,
        version: Option<Name>,
        deadline: Duration,
        mut answer: Answer,
    ) {
        let cancel = CancelGuard::new(&self, token);
        let mut run = RunGuard {
            inner: self.clone(),
            token,
            ended: Ended::Cancelled,
        };
        let left = deadline.saturating_sub(self.node.clock.now().elapsed);
        let may_cancel = serve.guard == Guard::Repeatable;
        let ended = {
            let relay = self.relay(token, &serve, version, &mut answer);
            tokio::select! {
                ended = relay => ended,
                () = tokio::time::sleep(left) => Ended::TimedOut,
                () = cancel.notify.notified(), if may_cancel => Ended::Cancelled,
            }
        };
        run.ended = ended;
        drop(run);
        answer.finish(serve.id, ended.outcome()).await;
    }

    /// Passes the request to the target and its answer to the entry.
    async fn relay(
        &self,
        token: u64,
        serve: &Serve,
        version: Option<Name>,
        answer: &mut Answer,
    ) -> Ended {
        let began = self.node.clock.now().elapsed;
        let mut running = std::pin::pin!(self.target.run(serve));
        let response = loop {
            tokio::select! {
                response = &mut running => break response,
                () = tokio::time::sleep(ALIVE_EVERY) => answer.alive(self).await,
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(ProxyError::Connect(_) | ProxyError::Decode(_)) => return Ended::NotSent,
            Err(e) => {
                log::warn!("request {}: the target broke off: {e}", serve.id);
                return Ended::Lost;
            }
        };
        if !is_own_answer(&response, serve.id) {
            log::warn!("request {}: the target answered another request", serve.id);
            return Ended::Crossed;
        }
        if response.status() == StatusCode::SERVICE_UNAVAILABLE && is_model(&serve.work) {
            // An engine says so before it starts, so nothing was run.
            return Ended::Declined;
        }
        let first_byte = self.node.clock.now().elapsed.saturating_sub(began);
        metrics::histogram!("medlarproxy_head_seconds").record(first_byte);
        self.relay_body(token, serve, version, response, answer)
            .await
    }

    async fn relay_body(
        &self,
        token: u64,
        serve: &Serve,
        version: Option<Name>,
        response: Response<Incoming>,
        answer: &mut Answer,
    ) -> Ended {
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let is_stream = content_type
            .as_ref()
            .is_some_and(|value| value.starts_with(EVENT_STREAM));
        let head = Head {
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
                () = tokio::time::sleep(ALIVE_EVERY) => {
                    answer.alive(self).await;
                    continue;
                }
            };
            let data = match frame {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(e)) => {
                    log::warn!("request {}: the answer broke off: {e}", serve.id);
                    return Ended::Lost;
                }
            };
            if let Some(head) = head.take() {
                self.node.control.send(Event::FirstByte(token));
                answer.send(&Frame::Head(head)).await;
            }
            remember_tail(&mut tail, &data);
            self.links.note_live(data.len());
            answer.bytes += data.len() as u64;
            answer.send(&Frame::Data(data)).await;
        }
        if let Some(head) = head.take() {
            answer.send(&Frame::Head(head)).await;
        }
        // A stream without its last event was cut, even if the connection closed in order.
        if is_stream && !tail.windows(STREAM_END.len()).any(|w| w == STREAM_END) {
            return Ended::Lost;
        }
        Ended::Answered { status }
    }
}

impl Answer {
    /// Waits until the entry has gone away.
    async fn closed(&mut self) {
        match &mut self.responder {
            Some(responder) => responder.closed().await,
            None => std::future::pending().await,
        }
    }

    fn new(responder: Responder) -> Self {
        Self {
            responder: Some(responder),
            bytes: 0,
            start: 0,
        }
    }
}

fn offered(token: u64, deadline: Duration, serve: &Serve) -> Offered {
    Offered {
        token,
        request: serve.id,
        work: serve.work.name().clone(),
        team: serve.team.clone(),
        priority: serve.priority,
        deadline,
        guard: serve.guard.clone(),
        fingerprint: serve.fingerprint,
        suspect: serve.suspect,
        version: serve.resume.as_ref().map(|resume| resume.version.clone()),
    }
}

fn is_model(work: &Work) -> bool {
    matches!(work, Work::Model(_))
}

/// Whether the answer carries the request's own id, or none.
fn is_own_answer(response: &Response<Incoming>, id: u64) -> bool {
    response
        .headers()
        .get(REQUEST_ID)
        .is_none_or(|value| value.to_str().is_ok_and(|value| value == id.to_string()))
}

/// Keeps the last bytes of an answer, in which a stream's last event must stand.
fn remember_tail(tail: &mut Vec<u8>, data: &Bytes) {
    const TAIL_BYTES: usize = 64;
    tail.extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
    let surplus = tail.len().saturating_sub(TAIL_BYTES);
    tail.drain(..surplus);
}
