//! Streams of server-sent events: forwards events as they are received, and resumes an interrupted
//! stream at another target.

use std::time::Duration;

use bytes::Bytes;
use control::router::{
    Event,
    ForwardRequest,
    Outcome, //
};
use http::header::{
    CONTENT_LENGTH,
    TRANSFER_ENCODING, //
};
use http::response::Parts;
use http::{
    Response,
    StatusCode, //
};
use http_body_util::combinators::BoxBody;
use http_body_util::StreamBody;
use hyper::body::{
    Frame,
    Incoming, //
};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

use super::answers::{
    remove_hop_by_hop_headers,
    Body,
    BodyError, //
};
use super::events::{
    EventBatch,
    EventSplitter, //
};
use super::exchange::TargetResponse;
use super::requests::{
    NextStep,
    PendingRequest, //
};
use crate::buffers::OutOfMemory;
use crate::event_stream::may_continue_stream;

/// How many batches of events are buffered for a slow caller before reading from the target stops.
const MAX_BUFFERED_BATCHES: usize = 16;

/// The outcome of a stream that ends without any event, which sound targets do not send.
const NO_EVENTS: Outcome = Outcome::Broken {
    connection_lost: false,
};

type BodyPart = Result<Frame<Bytes>, BodyError>;

/// The result of reading the next events of a stream.
enum ReadResult {
    Events(EventBatch),
    End,
    Failed(Outcome),
}

impl PendingRequest {
    /// Waits for the first events and returns the response. A separate task forwards the events.
    pub(super) async fn start_stream(
        mut self,
        mut response: TargetResponse,
        forward_request: &ForwardRequest,
    ) -> Result<Response<Body>, (Self, Outcome)> {
        let mut splitter = EventSplitter::default();
        let first = match self
            .read(&mut response.body, &mut splitter, forward_request)
            .await
        {
            ReadResult::Events(batch) => Some(batch),
            ReadResult::End if self.may_be_empty(&response.parts) => None,
            ReadResult::End => return Err((self, NO_EVENTS)),
            ReadResult::Failed(outcome) => return Err((self, outcome)),
        };
        self.router.handle_event(Event::ResponseStarted(self.token));
        if let Some(reservation) = &self.reservation {
            self.router.report_prompt_prefilled(reservation);
        }
        self.observe_first_part();
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_BATCHES);
        let mut parts = response.parts.clone();
        remove_hop_by_hop_headers(&mut parts.headers);
        parts.headers.remove(http::header::CONTENT_LENGTH);
        match first {
            Some(batch) => {
                let has_events = batch.count > 0;
                self.record_events(&batch);
                // Cannot fail: the receiver exists and the channel is empty.
                let _sent = tx.try_send(Ok(Frame::data(batch.bytes)));
                let forward_request = forward_request.clone();
                tokio::task::spawn_local(self.forward_events(
                    response,
                    forward_request,
                    splitter,
                    tx,
                    has_events,
                ));
            }
            None => self.complete(response),
        }
        let body_parts = as_stream(rx);
        Ok(Response::from_parts(
            parts,
            BoxBody::new(StreamBody::new(body_parts)),
        ))
    }

    /// Forwards a stream until it is complete, cannot be resumed, or the caller disconnects.
    async fn forward_events(
        mut self,
        mut response: TargetResponse,
        mut forward_request: ForwardRequest,
        mut splitter: EventSplitter,
        tx: mpsc::Sender<BodyPart>,
        // Whether the present target has sent an event of the stream.
        mut has_events: bool,
    ) {
        loop {
            let result = tokio::select! {
                result = self.read(&mut response.body, &mut splitter, &forward_request) => result,
                () = tx.closed() => return,
            };
            let outcome = match result {
                ReadResult::Events(batch) => {
                    has_events |= batch.count > 0;
                    self.record_events(&batch);
                    if self.send_events(&tx, batch.bytes).await.is_err() {
                        return;
                    }
                    continue;
                }
                ReadResult::End if has_events => {
                    self.complete(response);
                    return;
                }
                // An empty rest does not show that the stream was complete when it broke off.
                ReadResult::End => NO_EVENTS,
                ReadResult::Failed(outcome) => outcome,
            };
            drop(response);
            splitter.clear();
            let resumed = tokio::select! {
                biased;
                () = tx.closed() => return,
                resumed = self.resume(outcome) => resumed,
            };
            match resumed {
                Some(resumed) => {
                    (response, forward_request) = resumed;
                    has_events = false;
                }
                None => {
                    // Fails only if the caller has disconnected.
                    let _disconnected = tx.send(Err(BodyError::Incomplete)).await;
                    return;
                }
            }
        }
    }

    /// Requests the rest of the stream from other targets. Returns `None` if none can continue it.
    async fn resume(&mut self, mut outcome: Outcome) -> Option<(TargetResponse, ForwardRequest)> {
        loop {
            self.report_outcome(outcome);
            let NextStep::Forward(forward_request) = self.next_step().await else {
                return None;
            };
            let result = self
                .router
                .exchange(
                    self.token,
                    &self.request,
                    &forward_request,
                    self.last_event_id,
                )
                .await;
            match result {
                Ok(response)
                    if may_continue_stream(response.parts.status, &response.parts.headers) =>
                {
                    return Some((response, forward_request))
                }
                Ok(_) => {
                    outcome = Outcome::Broken {
                        connection_lost: false,
                    }
                }
                Err(failure) => outcome = failure,
            }
        }
    }

    /// Whether a stream without any event is complete: only if its caller has events already and the answer
    /// says by its framing that it is whole, or if it says that it has no content.
    fn may_be_empty(&self, parts: &Parts) -> bool {
        let headers = &parts.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        parts.status == StatusCode::NO_CONTENT || (self.last_event_id.is_some() && is_framed)
    }

    /// Passes events on to the caller, which may read more slowly than the target writes. Without memory for
    /// more events they wait until the caller has taken all earlier ones.
    ///
    /// Returns an error if the caller has disconnected.
    async fn send_events(
        &self,
        tx: &mpsc::Sender<BodyPart>,
        events: Bytes,
    ) -> Result<(), SendError<()>> {
        match self.router.inner.buffers.hold_bytes(events.clone()) {
            Ok(held) => tx.reserve().await?.send(Ok(Frame::data(held))),
            Err(OutOfMemory) => {
                let mut permits = tx.reserve_many(tx.max_capacity()).await?;
                if let Some(permit) = permits.next() {
                    permit.send(Ok(Frame::data(events)));
                }
            }
        }
        Ok(())
    }

    fn record_events(&mut self, batch: &EventBatch) {
        let now = self.router.elapsed();
        if let Some(last) = self.last_part_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(last));
        }
        self.last_event_id = batch.last_id.or(self.last_event_id);
    }

    /// Ends the request after a complete stream.
    fn complete(mut self, response: TargetResponse) {
        self.router
            .release_connection(response.connection, &response.parts);
        self.report_outcome(Outcome::Answered { is_error: false });
        metrics::counter!("medlarproxy_answers_total", "outcome" => "streamed").increment(1);
    }

    /// Reads from the target until at least one event is complete. A target that does not complete one counts as
    /// silent, also if it sends bytes.
    async fn read(
        &mut self,
        body: &mut Incoming,
        splitter: &mut EventSplitter,
        forward_request: &ForwardRequest,
    ) -> ReadResult {
        let is_first = self.last_part_at.is_none();
        let (router, token) = (self.router.clone(), self.token);
        let reading = self.read_events(body, splitter, forward_request.deadline);
        let result = router.wait_for_target(token, forward_request, is_first, reading);
        result.await.unwrap_or_else(ReadResult::Failed)
    }

    /// Reads parts until at least one event is complete, or until the deadline.
    async fn read_events(
        &mut self,
        body: &mut Incoming,
        splitter: &mut EventSplitter,
        deadline: Duration,
    ) -> ReadResult {
        loop {
            let part = match self.router.next_part(body, deadline).await {
                Ok(Some(part)) => part,
                Ok(None) if splitter.has_partial_event() => {
                    return ReadResult::Failed(Outcome::Broken {
                        connection_lost: true,
                    })
                }
                Ok(None) => return ReadResult::End,
                Err(outcome) => return ReadResult::Failed(outcome),
            };
            self.answer_bytes += part.len() as u64;
            let batch = splitter.push(&part);
            let first_id = batch.as_ref().and_then(|batch| batch.first_id);
            let repeats_events = first_id.is_some() && first_id <= self.last_event_id;
            let has_memory = self.partial_event.resize(splitter.partial_bytes()).is_ok();
            if splitter.is_too_long() || repeats_events || !has_memory {
                return ReadResult::Failed(Outcome::Broken {
                    connection_lost: false,
                });
            }
            if let Some(batch) = batch {
                return ReadResult::Events(batch);
            }
        }
    }
}

/// Turns the receiver into a stream of body parts.
fn as_stream(
    mut rx: mpsc::Receiver<BodyPart>,
) -> impl futures_util::Stream<Item = BodyPart> + Send + Sync {
    futures_util::stream::poll_fn(move |cx| rx.poll_recv(cx))
}
