//! The connections of callers: they end between requests when the entry stops, and callers receive what was
//! written to them.

use std::convert::Infallible;
use std::future::{
    poll_fn,
    Future, //
};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::{
    pin,
    Pin, //
};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use control::router::connection_limit::Stage;
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State as GothamState;
use http::{
    Method,
    Request,
    Response,
    Version, //
};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use protocol::{
    Outcome,
    Refusal, //
};
use tokio::net::TcpStream;
use tokio::time::sleep;

use control::entry::Rejection;

use super::error_response::{
    failure_response,
    raw_rejection, //
};
use super::Inner;
use crate::router::activity::{
    Activity,
    AnswerBody,
    ObservedStream, //
};
use crate::router::connection::{
    break_off,
    deliver_rest,
    has_unread_bytes,
    Cause,
    CLOSE_DELAY, //
};

/// The `source` of the log lines.
const LOG_TARGET: &str = "proxy::entry::caller_server";

/// How long a caller that connects to an entry that stops, or is in the middle of a head, has for its request.
const LATE_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Serves one connection until it ends.
pub(super) async fn serve(
    inner: Arc<Inner>,
    router: Arc<Router>,
    tcp: TcpStream,
    address: SocketAddr,
) {
    let activity = Arc::new(Activity::default());
    let service = service_fn(|request: Request<Incoming>| {
        activity.set_end_by_close(request.version() < Version::HTTP_11);
        let in_progress = activity.begin_request(request.method() == Method::HEAD);
        let router = router.clone();
        async move {
            let response = respond(router, request, address).await;
            Ok::<_, Infallible>(response.map(|body| AnswerBody::new(body, in_progress)))
        }
    });
    let stream = ObservedStream::new(tcp, activity.clone());
    let mut connection = Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    let cause = {
        let mut closing = pin!(wait_until_closing(&inner, Duration::ZERO));
        let mut stop = pin!(wait_until_closing(&inner, CLOSE_DELAY));
        let mut late = pin!(wait_until_closing(&inner, LATE_REQUEST_TIME));
        let is_late_connection = inner.is_closing();
        let (mut is_last_request, mut is_stopping, mut is_over) = (false, false, false);
        poll_fn(|cx| {
            // What has arrived is read before anything else is decided.
            if let Poll::Ready(result) = Pin::new(&mut connection).poll(cx) {
                return Poll::Ready(Cause::of_result(result, &activity));
            }
            is_last_request = is_last_request || closing.as_mut().poll(cx).is_ready();
            is_stopping = is_stopping || stop.as_mut().poll(cx).is_ready();
            is_over = is_over || late.as_mut().poll(cx).is_ready();
            match activity.stage() {
                Stage::Idle if is_over || (is_stopping && !is_late_connection) => {
                    return Poll::Ready(Cause::Stop);
                }
                Stage::Head if is_over => return Poll::Ready(Cause::Stop),
                // The response says that it is the last one, if its head is not written yet.
                Stage::Request | Stage::Delivery if is_last_request => {
                    Pin::new(&mut connection).graceful_shutdown()
                }
                Stage::Idle | Stage::Head | Stage::Request | Stage::Delivery => {}
            }
            Poll::Pending
        })
        .await
    };
    cause.count();
    let parts = connection.into_parts();
    let tcp = parts.io.into_inner().into_inner();
    let has_unread = !parts.read_buf.is_empty() || activity.stage() == Stage::Head;
    if cause == Cause::AnswerBrokenOff {
        break_off(&tcp, activity.is_end_by_close());
    }
    close(tcp, cause, has_unread).await;
}

/// Handles a request. A caller whose request was read gets a response also if its handler fails.
async fn respond(
    router: Arc<Router>,
    request: Request<Incoming>,
    address: SocketAddr,
) -> Response<Body> {
    let state = AssertUnwindSafe(GothamState::from_request(request, address));
    call_handler(router, state).await.unwrap_or_else(|e| {
        log::error!(target: LOG_TARGET, "the handler of a request failed: {e}");
        failure_response()
    })
}

/// Waits until `delay` after the connections are to be closed.
async fn wait_until_closing(inner: &Inner, delay: Duration) {
    let mut closing = inner.closing.subscribe();
    // Cannot fail: `inner` holds the sender.
    drop(closing.wait_for(|is_closing| *is_closing).await);
    sleep(delay).await;
}

/// Closes a connection so that its caller receives what was written to it. A request that has not been read as
/// a whole is told that it has not run.
async fn close(tcp: TcpStream, cause: Cause, has_unread: bool) {
    let has_unread = has_unread || has_unread_bytes(&tcp);
    match cause {
        Cause::Stop if has_unread => {
            let rejection = Rejection {
                outcome: Outcome::NotRun(Refusal::Draining),
                not_run: true,
            };
            deliver_rest(tcp, &raw_rejection(&rejection)).await;
        }
        Cause::LastAnswer | Cause::Failed => deliver_rest(tcp, &[]).await,
        // Connections of this interface have no limits of their own.
        Cause::Idle | Cause::SlowHead | Cause::LongHead | Cause::SlowReader => {}
        Cause::Stop | Cause::Caller | Cause::AnswerBrokenOff => {}
    }
}
