//! Streams of server-sent events: forwards events as they are received, and resumes an interrupted
//! stream at another target.

use std::pin::pin;
use std::task::{
    ready,
    Poll, //
};
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
use hyper::body::Frame;
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
use super::Router;
use crate::buffers::{
    Held,
    OutOfMemory, //
};
use crate::event_stream::may_continue_stream;

/// How many batches of events are buffered for a slow caller before reading from the target stops.
const MAX_BUFFERED_BATCHES: usize = 16;

/// Whether the end of the body is that of its connection only if it is cut off.
fn is_framed(parts: &Parts) -> bool {
    let headers = &parts.headers;
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// A part of the answer to the caller.
enum StreamPart {
    Events(Bytes),
    /// The stream is complete. Without it the answer breaks off, whatever became of its task.
    End,
}

/// The result of reading the next events of a stream.
enum ReadResult {
    Events(EventBatch),
    End,
    Failed(Outcome),
}

/// What became of asking another target to go on with the answer of a silent one.
enum Handover {
    /// The next events of one of them.
    Read(ReadResult),
    /// No other target goes on with it, and the silent one is waited for.
    TargetKept,
    /// The time of the request is over.
    Rejected,
}

/// What another target did that was asked to go on with a stream.
enum Resumed {
    /// It began with these events.
    Begun(Box<StreamAnswer>, EventBatch),
    /// No target goes on with it, and the silent one is waited for.
    TargetKept,
    /// No target goes on with it.
    Rejected,
}

/// The answer of one target.
pub(super) struct StreamAnswer {
    forward_request: ForwardRequest,
    reader: EventReader,
    /// Whether it has an event of the stream.
    has_events: bool,
}

impl StreamAnswer {
    fn new(router: &Router, response: TargetResponse, forward_request: ForwardRequest) -> Self {
        Self {
            forward_request,
            reader: EventReader {
                response,
                splitter: EventSplitter::default(),
                partial_event: router.inner.buffers.hold(),
                bytes: 0,
            },
            has_events: false,
        }
    }

    fn record_events(&mut self, batch: &EventBatch) {
        self.has_events |= batch.count > 0;
    }
}

/// Reads the events of one answer.
struct EventReader {
    response: TargetResponse,
    splitter: EventSplitter,
    /// The memory of the event that is being received.
    partial_event: Held,
    /// Bytes of the body that were read.
    bytes: u64,
}

impl EventReader {
    /// Reads parts until at least one event is complete, or until the deadline.
    async fn read(
        &mut self,
        router: &Router,
        last_event_id: Option<u64>,
        deadline: Duration,
    ) -> ReadResult {
        loop {
            let part = match router.next_part(&mut self.response.body, deadline).await {
                Ok(Some(part)) => part,
                Ok(None) if self.splitter.has_partial_event() => {
                    return ReadResult::Failed(Outcome::Broken {
                        connection_lost: true,
                    })
                }
                Ok(None) => return ReadResult::End,
                Err(outcome) => return ReadResult::Failed(outcome),
            };
            self.bytes += part.len() as u64;
            let batch = self.splitter.push(&part);
            let first_id = batch.as_ref().and_then(|batch| batch.first_id);
            let repeats_events = first_id.is_some() && first_id <= last_event_id;
            let partial_bytes = self.splitter.partial_bytes();
            let has_memory = self.partial_event.resize(partial_bytes).is_ok();
            if self.splitter.is_too_long() || repeats_events || !has_memory {
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

impl PendingRequest {
    /// Waits for the first events and returns the response. A separate task forwards the events.
    pub(super) async fn start_stream(
        mut self,
        response: TargetResponse,
        forward_request: &ForwardRequest,
    ) -> Result<Response<Body>, (Self, Outcome)> {
        let mut parts = response.parts.clone();
        let mut answer = StreamAnswer::new(&self.router, response, forward_request.clone());
        let first = match self.read(&mut answer).await {
            ReadResult::Events(batch) => Some(batch),
            ReadResult::End if self.may_be_empty(&parts) => None,
            ReadResult::End => {
                let outcome = self.no_events(&parts);
                return Err((self, outcome));
            }
            ReadResult::Failed(outcome) => return Err((self, outcome)),
        };
        self.router.handle_event(Event::ResponseStarted(self.token));
        if let Some(reservation) = &self.reservation {
            self.router.report_prompt_prefilled(reservation);
        }
        self.observe_first_part();
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_BATCHES);
        remove_hop_by_hop_headers(&mut parts.headers);
        parts.headers.remove(http::header::CONTENT_LENGTH);
        // Sending cannot fail: the receiver exists and the channel is empty.
        match first {
            Some(batch) => {
                answer.record_events(&batch);
                self.record_events(&batch);
                let _sent = tx.try_send(StreamPart::Events(batch.bytes));
                tokio::task::spawn_local(self.forward_events(answer, tx));
            }
            None => {
                self.complete(answer);
                let _sent = tx.try_send(StreamPart::End);
            }
        }
        let body_parts = as_stream(rx);
        Ok(Response::from_parts(
            parts,
            BoxBody::new(StreamBody::new(body_parts)),
        ))
    }

    /// Forwards a stream until it is complete, cannot be resumed, or the caller disconnects.
    async fn forward_events(mut self, mut answer: StreamAnswer, tx: mpsc::Sender<StreamPart>) {
        loop {
            let result = tokio::select! {
                result = self.read_from_any(&mut answer) => result,
                () = tx.closed() => return,
            };
            match result {
                Some(ReadResult::Events(batch)) => {
                    answer.record_events(&batch);
                    self.record_events(&batch);
                    if self.send_events(&tx, batch.bytes).await.is_err() {
                        return;
                    }
                }
                Some(ReadResult::End) => {
                    self.complete(answer);
                    // Fails only if the caller has disconnected.
                    let _disconnected = tx.send(StreamPart::End).await;
                    return;
                }
                // The answer breaks off, since its end is not sent.
                Some(ReadResult::Failed(_)) | None => return,
            }
        }
    }

    /// Reads the next events, from the present target or from one that goes on with its answer. Returns `None`
    /// if none does.
    async fn read_from_any(&mut self, answer: &mut StreamAnswer) -> Option<ReadResult> {
        loop {
            let mut result = self.read(answer).await;
            if let ReadResult::Failed(Outcome::IdleTimeout) = result {
                result = match self.read_from_first(answer).await {
                    Handover::Read(result) => result,
                    Handover::TargetKept => continue,
                    Handover::Rejected => return None,
                };
            }
            let outcome = match result {
                ReadResult::Failed(outcome) => outcome,
                // An empty rest does not show that the stream was complete when it broke off.
                ReadResult::End if !answer.has_events => {
                    self.no_events(&answer.reader.response.parts)
                }
                result => return Some(result),
            };
            self.report_outcome(outcome);
            return match self.resume().await {
                Resumed::Begun(other, batch) => {
                    *answer = *other;
                    Some(ReadResult::Events(batch))
                }
                Resumed::TargetKept | Resumed::Rejected => None,
            };
        }
    }

    /// Asks another target to go on with the answer of a silent one, and reads from the first that sends
    /// something.
    async fn read_from_first(&mut self, answer: &mut StreamAnswer) -> Handover {
        let (router, token) = (self.router.clone(), self.token);
        let (last_event_id, longest_pause) = (self.last_event_id, self.longest_pause);
        let deadline = answer.forward_request.deadline;
        let mut aside = Some(self.set_exchange_aside());
        let mut end_aside = |outcome| {
            if let Some(exchange) = aside.take() {
                router.end_silent_exchange(token, exchange, longest_pause, outcome);
            }
        };
        router.handle_event(Event::AskAnotherTarget(token));
        let mut lost = None;
        let first = {
            let silent = answer.reader.read(&router, last_event_id, deadline);
            let mut resuming = pin!(self.resume());
            tokio::select! {
                biased;
                result = silent => match result {
                    ReadResult::Failed(outcome) => {
                        end_aside(outcome);
                        lost = Some(outcome);
                        Err(resuming.await)
                    }
                    result => Ok(result),
                },
                resumed = &mut resuming => Err(resumed),
            }
        };
        match first {
            Ok(result) => {
                let sending = self.request.sending.get();
                router.handle_event(Event::SilentTargetSpoke { token, sending });
                aside.map_or(Handover::Rejected, |exchange| {
                    self.return_to_exchange(exchange);
                    Handover::Read(result)
                })
            }
            Err(Resumed::Begun(other, batch)) => {
                end_aside(Outcome::IdleTimeout);
                *answer = *other;
                Handover::Read(ReadResult::Events(batch))
            }
            Err(Resumed::TargetKept) => match (aside, lost) {
                (Some(exchange), _) => {
                    self.return_to_exchange(exchange);
                    Handover::TargetKept
                }
                // The reducer had returned to the silent target before it was lost.
                (None, Some(outcome)) => Handover::Read(ReadResult::Failed(outcome)),
                (None, None) => Handover::Rejected,
            },
            Err(Resumed::Rejected) => Handover::Rejected,
        }
    }

    /// Requests the rest of the stream from other targets until one has begun.
    async fn resume(&mut self) -> Resumed {
        loop {
            let forward_request = match self.next_step().await {
                NextStep::Forward(forward_request) => forward_request,
                NextStep::KeepTarget => return Resumed::TargetKept,
                NextStep::Respond(_) => return Resumed::Rejected,
            };
            match self.begin_rest(forward_request).await {
                Ok((answer, batch)) => return Resumed::Begun(Box::new(answer), batch),
                Err(outcome) => self.report_outcome(outcome),
            }
        }
    }

    /// Requests the rest of the stream from a target, and waits for its first events.
    async fn begin_rest(
        &mut self,
        forward_request: ForwardRequest,
    ) -> Result<(StreamAnswer, EventBatch), Outcome> {
        let exchange = self.router.exchange(
            self.token,
            &self.request,
            &forward_request,
            self.last_event_id,
        );
        let response = exchange.await?;
        if !may_continue_stream(response.parts.status, &response.parts.headers) {
            return Err(Outcome::Broken {
                connection_lost: false,
            });
        }
        let mut answer = StreamAnswer::new(&self.router, response, forward_request);
        loop {
            match self.read(&mut answer).await {
                // Comments do not show that the target goes on.
                ReadResult::Events(batch) if batch.count == 0 => {}
                ReadResult::Events(batch) => return Ok((answer, batch)),
                ReadResult::End => return Err(self.no_events(&answer.reader.response.parts)),
                ReadResult::Failed(outcome) => return Err(outcome),
            }
        }
    }

    /// The outcome of a stream that ends without any event, which sound targets do not send unless there is
    /// nothing to go on with. Without a framing it ended with its connection, as it does if the target
    /// crashes.
    fn no_events(&self, parts: &Parts) -> Outcome {
        Outcome::Broken {
            connection_lost: self.last_event_id.is_none() && !is_framed(parts),
        }
    }

    /// Whether a stream without any event is complete: only if its caller has events already and the answer
    /// says by its framing that it is whole, or if it says that it has no content.
    fn may_be_empty(&self, parts: &Parts) -> bool {
        parts.status == StatusCode::NO_CONTENT || (self.last_event_id.is_some() && is_framed(parts))
    }

    /// Passes events on to the caller, which may read more slowly than the target writes. Without memory for
    /// more events they wait until the caller has taken all earlier ones.
    ///
    /// Returns an error if the caller has disconnected.
    async fn send_events(
        &self,
        tx: &mpsc::Sender<StreamPart>,
        events: Bytes,
    ) -> Result<(), SendError<()>> {
        match self.router.inner.buffers.hold_bytes(events.clone()) {
            Ok(held) => tx.reserve().await?.send(StreamPart::Events(held)),
            Err(OutOfMemory) => {
                let mut permits = tx.reserve_many(tx.max_capacity()).await?;
                if let Some(permit) = permits.next() {
                    permit.send(StreamPart::Events(events));
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
    fn complete(mut self, answer: StreamAnswer) {
        let response = answer.reader.response;
        self.router
            .release_connection(response.connection, &response.parts);
        self.report_outcome(Outcome::Answered { is_error: false });
        metrics::counter!("medlarproxy_answers_total", "outcome" => "streamed").increment(1);
    }

    /// Reads from the target until at least one event is complete. A target that does not complete one counts as
    /// silent, also if it sends bytes.
    async fn read(&mut self, answer: &mut StreamAnswer) -> ReadResult {
        let is_first = self.last_part_at.is_none();
        let (router, token) = (self.router.clone(), self.token);
        let forward_request = &answer.forward_request;
        let deadline = forward_request.deadline;
        let reading = answer.reader.read(&router, self.last_event_id, deadline);
        let result = router.wait_for_target(token, forward_request, is_first, reading);
        let result = result.await.unwrap_or_else(ReadResult::Failed);
        self.answer_bytes = answer.reader.bytes;
        result
    }
}

/// Turns the receiver into a stream of body parts, which fails if it ends before the stream is complete.
fn as_stream(
    mut rx: mpsc::Receiver<StreamPart>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, BodyError>> + Send + Sync {
    let mut is_over = false;
    futures_util::stream::poll_fn(move |cx| {
        if is_over {
            return Poll::Ready(None);
        }
        let part = match ready!(rx.poll_recv(cx)) {
            Some(StreamPart::Events(events)) => return Poll::Ready(Some(Ok(Frame::data(events)))),
            Some(StreamPart::End) => None,
            None => Some(Err(BodyError::Incomplete)),
        };
        is_over = true;
        Poll::Ready(part)
    })
}
