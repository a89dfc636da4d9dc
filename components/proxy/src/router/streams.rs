//! Streams: events passed on as they come, and gone on with by another target after a cut.

use bytes::Bytes;
use control::router::{
    Event,
    Outcome,
    Send, //
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
    strip_hop_headers,
    Body,
    CutShort, //
};
use super::calls::{
    Call,
    Next, //
};
use super::events::{
    Cut,
    Events, //
};
use super::exchange::Reply;

/// Events that may wait for a slow caller before the target is made to wait.
const EVENTS_AHEAD: usize = 16;

type Piece = Result<Frame<Bytes>, CutShort>;

/// What reading the next events of a stream yields.
enum Read {
    Events(Cut),
    End,
    Failed(Outcome),
}

impl Call {
    /// Waits for the first events, and then passes them and all others on beside this task.
    pub(super) async fn start_stream(
        mut self,
        mut reply: Reply,
        send: &Send,
    ) -> Result<Response<Body>, (Self, Outcome)> {
        let mut events = Events::default();
        let first = match self.read(&mut reply.body, &mut events, send).await {
            Read::Events(cut) => Some(cut),
            Read::End => None,
            Read::Failed(outcome) => return Err((self, outcome)),
        };
        self.router.tell(Event::Started(self.token));
        if let Some(place) = &self.place {
            self.router.note_prompt_read(place);
        }
        self.observe_first();
        let (tx, rx) = mpsc::channel(EVENTS_AHEAD);
        let mut parts = reply.parts.clone();
        strip_hop_headers(&mut parts.headers);
        parts.headers.remove(http::header::CONTENT_LENGTH);
        match first {
            Some(cut) => {
                self.note(&cut);
                // The receiver is still here, and there is room for the first piece.
                let _fits = tx.try_send(Ok(Frame::data(cut.bytes)));
                let send = send.clone();
                tokio::task::spawn_local(self.relay(reply, send, events, tx));
            }
            None => self.finish(reply),
        }
        let pieces = as_stream(rx);
        Ok(Response::from_parts(
            parts,
            BoxBody::new(StreamBody::new(pieces)),
        ))
    }

    /// Passes a stream on until it is whole, cannot go on, or the caller leaves.
    async fn relay(
        mut self,
        mut reply: Reply,
        mut send: Send,
        mut events: Events,
        tx: mpsc::Sender<Piece>,
    ) {
        loop {
            let read = tokio::select! {
                read = self.read(&mut reply.body, &mut events, &send) => read,
                () = tx.closed() => return,
            };
            let outcome = match read {
                Read::Events(cut) => {
                    self.note(&cut);
                    if tx.send(Ok(Frame::data(cut.bytes))).await.is_err() {
                        return;
                    }
                    continue;
                }
                Read::End => {
                    self.finish(reply);
                    return;
                }
                Read::Failed(outcome) => outcome,
            };
            drop(reply);
            events.clear();
            let resumed = tokio::select! {
                resumed = self.resume(outcome) => resumed,
                () = tx.closed() => return,
            };
            match resumed {
                Some(next) => (reply, send) = next,
                None => {
                    // The caller left if nobody hears this.
                    let _left = tx.send(Err(CutShort::Broken)).await;
                    return;
                }
            }
        }
    }

    /// Asks other targets to go on with the stream.
    async fn resume(&mut self, mut outcome: Outcome) -> Option<(Reply, Send)> {
        loop {
            self.end(outcome);
            let Next::Send(send) = self.next().await else {
                return None;
            };
            let reply = self
                .router
                .exchange(self.token, &self.original, &send, self.after_event)
                .await;
            match reply {
                Ok(reply) if reply.parts.status.is_success() => return Some((reply, send)),
                Ok(_) => outcome = Outcome::Broken { lost: false },
                Err(failed) => outcome = failed,
            }
        }
    }

    fn note(&mut self, cut: &Cut) {
        let now = self.router.elapsed();
        if let Some(last) = self.last_part.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(last));
        }
        self.after_event = cut.last.or(self.after_event);
    }

    /// The stream is whole.
    fn finish(mut self, reply: Reply) {
        self.router.keep(reply.connection, &reply.parts);
        self.end(Outcome::Answered { failed: false });
        metrics::counter!("medlarproxy_answers_total", "outcome" => "streamed").increment(1);
    }

    async fn read(&self, body: &mut Incoming, events: &mut Events, send: &Send) -> Read {
        loop {
            let left = self.router.time_left(send.deadline);
            let patience = self.router.patience(send, left, self.last_part.is_none());
            let frame = match timeout(patience, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Read::Failed(Outcome::Broken { lost: true }),
                Ok(None) if events.has_rest() => {
                    return Read::Failed(Outcome::Broken { lost: true })
                }
                Ok(None) => return Read::End,
                Err(_) if patience < left => return Read::Failed(Outcome::Silent),
                Err(_) => return Read::Failed(Outcome::TimedOut),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Some(cut) = events.push(&data) {
                return Read::Events(cut);
            }
            if events.is_too_long() {
                return Read::Failed(Outcome::Broken { lost: false });
            }
        }
    }
}

/// The receiver as a stream of pieces.
fn as_stream(
    mut rx: mpsc::Receiver<Piece>,
) -> impl futures_util::Stream<Item = Piece> + std::marker::Send + Sync {
    futures_util::stream::poll_fn(move |cx| rx.poll_recv(cx))
}
