//! The connections of callers: the limits that each of them follows while it is open, and why it ends.

use std::convert::Infallible;
use std::future::{
    poll_fn,
    Future, //
};
use std::panic::AssertUnwindSafe;
use std::pin::{
    pin,
    Pin, //
};
use std::sync::Arc;
use std::task::{
    Context,
    Poll, //
};
use std::time::Duration;

use control::router::config::CallerLimits;
use control::router::connection_limit::{
    Stage,
    StageLimit, //
};
use futures_util::FutureExt;
use http::{
    Method,
    Request,
    Response,
    StatusCode,
    Version, //
};
use hyper::body::Incoming;
use hyper::server::conn::http1::{
    Builder,
    Connection, //
};
use hyper::service::{
    service_fn,
    Service, //
};
use hyper_util::rt::TokioIo;
use record::Decision;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::time::{
    sleep,
    timeout,
    Sleep, //
};
use utils::millis::millis;

use super::activity::{
    Activity,
    AnswerBody,
    ObservedStream,
    RequestInProgress, //
};
use super::answers::{
    empty_response,
    Body, //
};
use super::server::{
    Phase,
    ShutdownSignal, //
};
use super::Router;

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::router::serving";

/// The buffer for the head of a request is at least this large, so that a connection can follow a
/// configuration that allows longer heads. The same bound holds for what is buffered of an answer.
const MIN_HEAD_BUFFER_BYTES: usize = 32 << 10;

/// The longest time to wait until a caller has received the end of its last answer. A process that ends
/// earlier may take unsent bytes with it.
const MAX_LINGER_TIME: Duration = Duration::from_secs(5);

/// How long after its time is over a connection is closed. What has arrived is read first, also if the process
/// stood still.
pub(crate) const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// How many bytes are discarded at once while a caller receives the end of its last answer.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The caller closed it, or cannot be reached any more.
    Caller,
    /// The last answer said that it is the last one.
    LastAnswer,
    /// The caller sent nothing for the idle time in force.
    Idle,
    /// The head of a request took too long.
    SlowHead,
    /// The head of a request is longer than allowed.
    LongHead,
    /// The caller received nothing of its answer for too long.
    SlowReader,
    /// The process is about to stop.
    Stop,
    /// An answer could not be completed.
    AnswerBrokenOff,
    /// The caller did not speak the protocol.
    Failed,
}

impl Cause {
    /// The name in metrics and in the record.
    fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::LastAnswer => "last_answer",
            Self::Idle => "idle",
            Self::SlowHead => "slow_head",
            Self::LongHead => "long_head",
            Self::SlowReader => "slow_reader",
            Self::Stop => "stop",
            Self::AnswerBrokenOff => "answer_broken_off",
            Self::Failed => "failed",
        }
    }

    /// Why a connection ended that the library has closed.
    pub(crate) fn of_result(result: hyper::Result<()>, activity: &Activity) -> Self {
        match result {
            Ok(()) if activity.has_caller_closed() => Self::Caller,
            Ok(()) => Self::LastAnswer,
            Err(e) if e.is_user() => Self::AnswerBrokenOff,
            Err(e) => {
                log::debug!(target: LOG_TARGET, "the connection of a caller failed: {e}");
                if e.is_parse() {
                    Self::Failed
                } else {
                    Self::Caller
                }
            }
        }
    }

    /// Counts a connection that ended for this cause.
    pub(crate) fn count(self) {
        let cause = self.as_str();
        metrics::counter!("medlarproxy_caller_connections_ended_total", "cause" => cause)
            .increment(1);
    }

    fn of_expired(stage: Stage) -> Self {
        match stage {
            Stage::Idle => Self::Idle,
            Stage::Head => Self::SlowHead,
            // Requests have no limit here.
            Stage::Request | Stage::Delivery => Self::SlowReader,
        }
    }

    /// What a caller is told whose request was not read as a whole. None of these requests has run.
    fn rejection(self) -> Option<StatusCode> {
        match self {
            Self::Idle | Self::SlowHead => Some(StatusCode::REQUEST_TIMEOUT),
            Self::LongHead => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Self::Stop => Some(StatusCode::SERVICE_UNAVAILABLE),
            Self::Caller
            | Self::LastAnswer
            | Self::SlowReader
            | Self::AnswerBrokenOff
            | Self::Failed => None,
        }
    }
}

/// A timer that is set again only if it must expire earlier.
struct LazyTimer {
    sleep: Pin<Box<Sleep>>,
    /// When it expires, `None` if it is not set.
    at: Option<Duration>,
}

impl LazyTimer {
    fn new() -> Self {
        Self {
            sleep: Box::pin(sleep(Duration::ZERO)),
            at: None,
        }
    }

    /// Lets it expire at `at` at the latest.
    fn set(&mut self, now: Duration, at: Duration) {
        if self.at.is_none_or(|old| at < old) {
            self.sleep.set(sleep(at.saturating_sub(now)));
            self.at = Some(at);
        }
    }

    /// Whether it has expired. It is not set any more then.
    fn has_expired(&mut self, cx: &mut Context<'_>) -> bool {
        let has_expired = self.at.is_some() && self.sleep.as_mut().poll(cx).is_ready();
        if has_expired {
            self.at = None;
        }
        has_expired
    }
}

/// Decides when a connection has been in its present stage for too long.
struct Watch<'a> {
    router: &'a Router,
    activity: &'a Activity,
    /// The limits in force.
    limits: CallerLimits,
    limit: StageLimit,
    seen_changes: u64,
    timer: LazyTimer,
    /// Whether the time is over, and what has arrived until then is read.
    is_closing: bool,
}

impl<'a> Watch<'a> {
    fn new(router: &'a Router, activity: &'a Activity) -> Self {
        let limits = router.caller_limits();
        let mut watch = Self {
            router,
            activity,
            limits,
            limit: StageLimit::new(router.elapsed(), Stage::Idle, &limits),
            seen_changes: activity.changes(),
            timer: LazyTimer::new(),
            is_closing: false,
        };
        watch.apply_limits();
        watch
    }

    /// Applies the limits in force.
    fn apply_limits(&mut self) {
        let now = self.router.elapsed();
        self.limits = self.router.caller_limits();
        self.activity.set_max_head_bytes(self.limits.max_head_bytes);
        self.limit.change(now, &self.limits);
        self.set_timer(now);
    }

    /// Begins to count anew if something happened on the connection.
    fn update_stage(&mut self) {
        if self.activity.changes() != self.seen_changes {
            self.seen_changes = self.activity.changes();
            let now = self.router.elapsed();
            self.limit = StageLimit::new(now, self.activity.stage(), &self.limits);
            self.set_timer(now);
        }
    }

    fn set_timer(&mut self, now: Duration) {
        self.is_closing = false;
        if let Some(ends_at) = self.limit.ends_at() {
            self.timer.set(now, ends_at);
        }
    }

    /// Whether the time of the present stage is over.
    fn has_expired(&mut self, cx: &mut Context<'_>) -> bool {
        while self.timer.has_expired(cx) {
            let now = self.router.elapsed();
            match self.limit.ends_at() {
                None => {}
                Some(ends_at) if now < ends_at => self.timer.set(now, ends_at),
                Some(_) if !self.is_closing => {
                    self.is_closing = true;
                    self.timer.set(now, now + CLOSE_DELAY);
                }
                Some(_) => return true,
            }
        }
        false
    }
}

type Handling = Pin<Box<dyn Future<Output = Result<Response<AnswerBody<Body>>, Infallible>>>>;

/// Serves one connection until it ends.
pub(super) async fn serve(router: Router, tcp: TcpStream, shutdown: ShutdownSignal) {
    // Without this option the connection is only slower.
    let _ignored = tcp.set_nodelay(true);
    let opened_at = router.elapsed();
    let opened_under = router.inner.state.borrow().config_version();
    let activity = Arc::new(Activity::default());
    let service = service_fn(|request: Request<Incoming>| {
        activity.set_end_by_close(request.version() < Version::HTTP_11);
        let in_progress = activity.begin_request(request.method() == Method::HEAD);
        handle_request(router.clone(), in_progress, request)
    });
    let head_buffer_bytes = router
        .caller_limits()
        .max_head_bytes
        .max(MIN_HEAD_BUFFER_BYTES);
    let mut connection = Builder::new()
        // The limits of time follow the configuration, which those of the library cannot.
        .header_read_timeout(None)
        .max_buf_size(head_buffer_bytes)
        .serve_connection(
            TokioIo::new(ObservedStream::new(tcp, activity.clone())),
            service,
        );
    let mut watch = Watch::new(&router, &activity);
    let cause = run(&mut connection, &mut watch, &shutdown, head_buffer_bytes).await;
    let now = router.elapsed();
    let (stage, began_at) = (watch.limit.stage(), watch.limit.began_at());
    let parts = connection.into_parts();
    let tcp = parts.io.into_inner().into_inner();
    let ended = EndedConnection {
        cause,
        stage,
        in_stage: now.saturating_sub(began_at),
        age: now.saturating_sub(opened_at),
        requests: activity.requests(),
        opened_under,
        has_unread: !parts.read_buf.is_empty() || has_unread_bytes(&tcp),
        is_end_by_close: activity.is_end_by_close(),
    };
    ended.report(&router);
    close(tcp, &ended).await;
}

/// Handles a request. A caller whose request was read gets an answer also if the handler panics.
fn handle_request(
    router: Router,
    in_progress: RequestInProgress,
    request: Request<Incoming>,
) -> Handling {
    Box::pin(async move {
        let handling = AssertUnwindSafe(router.handle_request(request)).catch_unwind();
        let response = handling.await.unwrap_or_else(|_| {
            // The panic hook has written the message.
            log::error!(target: LOG_TARGET, "the handler of a request panicked");
            metrics::counter!("medlarproxy_handler_panics_total").increment(1);
            // A target may have run the request.
            empty_response(StatusCode::BAD_GATEWAY)
        });
        Ok(response.map(|body| AnswerBody::new(body, in_progress)))
    })
}

/// Drives a connection until it ends, and returns why it did.
async fn run<S>(
    connection: &mut Connection<TokioIo<ObservedStream>, S>,
    watch: &mut Watch<'_>,
    shutdown: &ShutdownSignal,
    head_buffer_bytes: usize,
) -> Cause
where
    S: Service<
        Request<Incoming>,
        Response = Response<AnswerBody<Body>>,
        Error = Infallible,
        Future = Handling,
    >,
    Connection<TokioIo<ObservedStream>, S>: Future<Output = hyper::Result<()>> + Unpin,
{
    let mut limits = watch.router.inner.caller_limits.subscribe();
    let mut stop = pin!(close_after_reading(shutdown));
    let mut is_stopping = false;
    let mut is_last_request = false;
    loop {
        let mut change = pin!(limits.changed());
        let ended = poll_fn(|cx| {
            // What has arrived is read before anything else is decided.
            if let Poll::Ready(result) = Pin::new(&mut *connection).poll(cx) {
                return Poll::Ready(Some(Cause::of_result(result, watch.activity)));
            }
            watch.update_stage();
            if watch.activity.is_head_too_long() {
                return Poll::Ready(Some(Cause::LongHead));
            }
            is_stopping = is_stopping || stop.as_mut().poll(cx).is_ready();
            if is_stopping && watch.limit.stage() == Stage::Idle {
                return Poll::Ready(Some(Cause::Stop));
            }
            // A connection that cannot follow the limits ends with its present answer.
            let is_outgrown = watch.limits.max_head_bytes > head_buffer_bytes;
            let is_answering = matches!(watch.limit.stage(), Stage::Request | Stage::Delivery);
            let is_last = (is_stopping || is_outgrown) && is_answering;
            if is_last && !std::mem::replace(&mut is_last_request, true) {
                Pin::new(&mut *connection).graceful_shutdown();
                cx.waker().wake_by_ref();
            }
            if watch.has_expired(cx) {
                return Poll::Ready(Some(Cause::of_expired(watch.limit.stage())));
            }
            change.as_mut().poll(cx).map(|_| None)
        })
        .await;
        match ended {
            Some(cause) => return cause,
            None => watch.apply_limits(),
        }
    }
}

/// Waits until the connections are to be closed, and until requests are read that had arrived before, also if
/// the process stood still.
async fn close_after_reading(shutdown: &ShutdownSignal) {
    shutdown.wait_for(Phase::Closing).await;
    sleep(CLOSE_DELAY).await;
}

/// A connection that has ended.
struct EndedConnection {
    cause: Cause,
    stage: Stage,
    /// How long it was in this stage.
    in_stage: Duration,
    age: Duration,
    requests: u64,
    /// The version of the configuration under which it was opened.
    opened_under: u64,
    /// Whether the caller had sent bytes that were not read as a request.
    has_unread: bool,
    /// Whether the end of an answer without a length is shown by the end of the connection.
    is_end_by_close: bool,
}

impl EndedConnection {
    /// Counts the connection. It has a line in the record unless it ended as callers expect.
    fn report(&self, router: &Router) {
        self.cause.count();
        if self.cause == Cause::Idle {
            metrics::histogram!("medlarproxy_caller_connection_idle_seconds")
                .record(self.in_stage.as_secs_f64());
        }
        let is_expected = match self.cause {
            Cause::Idle | Cause::Stop | Cause::LastAnswer => !self.has_unread,
            Cause::Caller => true,
            Cause::SlowHead
            | Cause::LongHead
            | Cause::SlowReader
            | Cause::AnswerBrokenOff
            | Cause::Failed => false,
        };
        if !is_expected {
            router.record(Decision::ConnectionEnded {
                cause: self.cause.as_str().into(),
                stage: self.stage.as_str().into(),
                stage_ms: millis(self.in_stage),
                age_ms: millis(self.age),
                requests: self.requests,
                opened_under: self.opened_under,
                unread: self.has_unread,
            });
        }
    }
}

/// Prepares the close of a connection whose answer breaks off. Without chunks, only a reset tells the caller that
/// the answer is not complete.
pub(crate) fn break_off(tcp: &TcpStream, is_end_by_close: bool) {
    if is_end_by_close {
        let _best_effort = tcp.set_zero_linger();
    }
}

pub(crate) fn has_unread_bytes(tcp: &TcpStream) -> bool {
    matches!(tcp.try_read(&mut [0]), Ok(count) if count > 0)
}

/// Closes a connection so that its caller receives what was written to it.
async fn close(tcp: TcpStream, ended: &EndedConnection) {
    let is_between_requests = matches!(ended.cause, Cause::Idle | Cause::Stop);
    let is_lost = matches!(
        ended.cause,
        Cause::AnswerBrokenOff | Cause::Caller | Cause::SlowReader
    );
    if ended.cause == Cause::AnswerBrokenOff {
        break_off(&tcp, ended.is_end_by_close);
    }
    if is_lost || (is_between_requests && !ended.has_unread) {
        return;
    }
    let rejection = ended.cause.rejection().map(|status| {
        format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
    });
    deliver_rest(tcp, rejection.unwrap_or_default().as_bytes()).await;
}

/// Writes the last bytes of a connection and closes it. A close with unread bytes resets a connection, which
/// takes along what the caller has not received, so they are discarded until the caller has closed.
pub(crate) async fn deliver_rest(mut tcp: TcpStream, last_bytes: &[u8]) {
    let closing = async {
        tcp.write_all(last_bytes).await?;
        tcp.shutdown().await?;
        let mut buf = [0; DISCARD_BUFFER_BYTES];
        while tcp.read(&mut buf).await? > 0 {}
        std::io::Result::Ok(())
    };
    if let Ok(Err(e)) = timeout(MAX_LINGER_TIME, closing).await {
        log::debug!(target: LOG_TARGET, "a connection of a caller failed at its end: {e}");
    }
}
