//! What happens on a connection of a caller, as its stream, its requests and their answers show it.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    AtomicUsize,
    Ordering::Relaxed, //
};
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::task::{
    ready,
    Context,
    Poll, //
};

use bytes::Bytes;
use control::router::connection_limit::Stage;
use hyper::body::{
    Body as HttpBody,
    Frame,
    SizeHint, //
};
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};
use tokio::net::TcpStream;

/// What happens on one connection.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    stage: Mutex<Stage>,
    /// Rises with each change of the stage, and with each part of an answer that is written after its last part
    /// was buffered.
    changes: AtomicU64,
    /// Bytes of the head that is being received, or of the next one while an answer is being delivered.
    head_bytes: AtomicUsize,
    max_head_bytes: AtomicUsize,
    requests: AtomicU64,
    /// Whether the caller has closed its side.
    has_caller_closed: AtomicBool,
    /// Whether the caller knows the end of an answer without a length by the end of the connection.
    is_end_by_close: AtomicBool,
}

impl Activity {
    pub fn stage(&self) -> Stage {
        *self.stage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn changes(&self) -> u64 {
        self.changes.load(Relaxed)
    }

    /// The number of requests whose head was received.
    pub fn requests(&self) -> u64 {
        self.requests.load(Relaxed)
    }

    pub fn has_caller_closed(&self) -> bool {
        self.has_caller_closed.load(Relaxed)
    }

    pub fn is_end_by_close(&self) -> bool {
        self.is_end_by_close.load(Relaxed)
    }

    pub fn set_end_by_close(&self, is_end_by_close: bool) {
        self.is_end_by_close.store(is_end_by_close, Relaxed);
    }

    /// Whether more bytes than allowed came without the end of a head.
    pub fn is_head_too_long(&self) -> bool {
        self.stage() == Stage::Head && self.has_too_many_head_bytes()
    }

    fn has_too_many_head_bytes(&self) -> bool {
        self.head_bytes.load(Relaxed) > self.max_head_bytes.load(Relaxed)
    }

    pub fn set_max_head_bytes(&self, bytes: usize) {
        self.max_head_bytes.store(bytes, Relaxed);
    }

    /// Begins a request whose head was received.
    pub fn begin_request(self: &Arc<Self>, is_head: bool) -> RequestInProgress {
        self.requests.fetch_add(1, Relaxed);
        self.head_bytes.store(0, Relaxed);
        self.enter(Stage::Request);
        RequestInProgress {
            activity: self.clone(),
            is_head,
            end: RequestEnd::ConnectionEnded,
        }
    }

    fn enter(&self, stage: Stage) {
        *self.stage.lock().unwrap_or_else(PoisonError::into_inner) = stage;
        self.record_change();
    }

    fn record_change(&self) {
        self.changes.fetch_add(1, Relaxed);
    }

    fn record_read(&self, bytes: usize) {
        if bytes == 0 {
            self.has_caller_closed.store(true, Relaxed);
            return;
        }
        match self.stage() {
            Stage::Request => return,
            Stage::Head | Stage::Delivery => {}
            Stage::Idle => self.enter(Stage::Head),
        }
        self.head_bytes.fetch_add(bytes, Relaxed);
    }

    fn record_written(&self) {
        if self.stage() == Stage::Delivery {
            self.record_change();
        }
    }

    /// Records that nothing is buffered any more.
    fn record_flushed(&self) {
        if self.stage() == Stage::Delivery {
            let has_next_head = self.head_bytes.load(Relaxed) > 0;
            self.enter(if has_next_head {
                Stage::Head
            } else {
                Stage::Idle
            });
        }
    }
}

/// How a request ended on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    Answered,
    AnswerBrokenOff,
    /// The caller closed the connection, or it failed.
    ConnectionEnded,
}

/// A request from its head to the end of its answer. Dropping it ends it, and counts it if it got no whole
/// answer.
#[derive(Debug)]
pub(crate) struct RequestInProgress {
    activity: Arc<Activity>,
    /// Whether its answer has no body, whatever the body says.
    is_head: bool,
    end: RequestEnd,
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.activity.enter(Stage::Delivery);
        let cause = match self.end {
            RequestEnd::Answered => return,
            RequestEnd::AnswerBrokenOff => "answer_broken_off",
            RequestEnd::ConnectionEnded => "connection_ended",
        };
        metrics::counter!("medlarproxy_requests_unanswered_total", "cause" => cause).increment(1);
    }
}

/// The body of an answer, which ends its request when it is dropped.
pub(crate) struct AnswerBody<B: HttpBody> {
    body: B,
    request: RequestInProgress,
}

impl<B: HttpBody> AnswerBody<B> {
    pub fn new(body: B, request: RequestInProgress) -> Self {
        Self { body, request }
    }
}

impl<B: HttpBody> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        // The end of a body of known length is not read.
        let is_read = self.body.is_end_stream() || self.request.is_head;
        if is_read && self.request.end == RequestEnd::ConnectionEnded {
            self.request.end = RequestEnd::Answered;
        }
    }
}

impl<B: HttpBody<Data = Bytes> + Unpin> HttpBody for AnswerBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.request.end = RequestEnd::AnswerBrokenOff,
            None => self.request.end = RequestEnd::Answered,
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The stream of a connection, which records what is read and written.
#[derive(Debug)]
pub(crate) struct ObservedStream {
    tcp: TcpStream,
    activity: Arc<Activity>,
}

impl ObservedStream {
    pub fn new(tcp: TcpStream, activity: Arc<Activity>) -> Self {
        Self { tcp, activity }
    }

    pub fn into_inner(self) -> TcpStream {
        self.tcp
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The connection is closed with what has arrived so far.
        if self.activity.stage() != Stage::Request && self.activity.has_too_many_head_bytes() {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        self.activity.record_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.tcp).poll_write(cx, buf))?;
        self.activity.record_written();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs))?;
        self.activity.record_written();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    /// Called when all that was buffered is written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_flush(cx))?;
        self.activity.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
