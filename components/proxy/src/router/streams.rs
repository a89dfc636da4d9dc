//! Streams of server-sent events: forwards events as they are received, and resumes an interrupted
//! stream at another target.

use bytes::Bytes;
use control::router::{
    Event,
    ForwardRequest,
    Outcome, //
};
use http::Response;
use http_body_util::combinators::BoxBody;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use tokio::sync::mpsc;
use tokio::time::timeout;

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

/// How many batches of events are buffered for a slow caller before reading from the target stops.
const MAX_BUFFERED_BATCHES: usize = 16;

/// How many bytes of comments and events without an id may come in a row. Targets send a few to keep
/// a connection open.
const MAX_BYTES_WITHOUT_EVENT: usize = 16 << 10;

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
            ReadResult::End => None,
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
                self.record_events(&batch);
                // Cannot fail: the receiver exists and the channel is empty.
                let _sent = tx.try_send(Ok(Frame::data(batch.bytes)));
                let forward_request = forward_request.clone();
                tokio::task::spawn_local(self.forward_events(
                    response,
                    forward_request,
                    splitter,
                    tx,
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
    ) {
        loop {
            let result = tokio::select! {
                result = self.read(&mut response.body, &mut splitter, &forward_request) => result,
                () = tx.closed() => return,
            };
            let outcome = match result {
                ReadResult::Events(batch) => {
                    self.record_events(&batch);
                    if tx.send(Ok(Frame::data(batch.bytes))).await.is_err() {
                        return;
                    }
                    continue;
                }
                ReadResult::End => {
                    self.complete(response);
                    return;
                }
                ReadResult::Failed(outcome) => outcome,
            };
            drop(response);
            splitter.clear();
            self.bytes_without_event = 0;
            let resumed = tokio::select! {
                resumed = self.resume(outcome) => resumed,
                () = tx.closed() => return,
            };
            match resumed {
                Some(resumed) => (response, forward_request) = resumed,
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
                Ok(response) if response.parts.status.is_success() => {
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

    fn record_events(&mut self, batch: &EventBatch) {
        let now = self.router.elapsed();
        if let Some(last) = self.last_part_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(last));
        }
        self.bytes_without_event = if batch.count == 0 {
            self.bytes_without_event + batch.bytes.len()
        } else {
            0
        };
        self.last_event_id = batch.last_id.or(self.last_event_id);
    }

    /// Ends the request after a complete stream.
    fn complete(mut self, response: TargetResponse) {
        self.router
            .release_connection(response.connection, &response.parts);
        self.report_outcome(Outcome::Answered { is_error: false });
        metrics::counter!("medlarproxy_answers_total", "outcome" => "streamed").increment(1);
    }

    /// Reads from the target until at least one event is complete.
    async fn read(
        &self,
        body: &mut Incoming,
        splitter: &mut EventSplitter,
        forward_request: &ForwardRequest,
    ) -> ReadResult {
        loop {
            let time_left = self.router.time_left(forward_request.deadline);
            // A target that always has bytes ready would never let the timeout below expire.
            if time_left.is_zero() {
                return ReadResult::Failed(Outcome::DeadlineExceeded);
            }
            let is_first = self.last_part_at.is_none();
            let idle_timeout = self
                .router
                .idle_timeout(forward_request, time_left, is_first);
            let frame = match timeout(idle_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => {
                    return ReadResult::Failed(Outcome::Broken {
                        connection_lost: true,
                    })
                }
                Ok(None) if splitter.has_partial_event() => {
                    return ReadResult::Failed(Outcome::Broken {
                        connection_lost: true,
                    })
                }
                Ok(None) => return ReadResult::End,
                Err(_) if idle_timeout < time_left => {
                    return ReadResult::Failed(Outcome::IdleTimeout)
                }
                Err(_) => return ReadResult::Failed(Outcome::DeadlineExceeded),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let batch = splitter.push(&data);
            let bytes_without_event = match &batch {
                Some(batch) if batch.count == 0 => self.bytes_without_event + batch.bytes.len(),
                _ => 0,
            };
            if splitter.is_too_long() || bytes_without_event > MAX_BYTES_WITHOUT_EVENT {
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
