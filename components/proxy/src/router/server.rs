//! Connections of callers, the readiness check, and the graceful shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::{
    connection,
    Router, //
};

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::router::serving";

/// The delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// The process serves callers.
    Serving,
    /// Connections are closed after their current request.
    Closing,
    /// The listener is closed.
    Ended,
}

/// Counts connections.
#[derive(Clone, Debug, Default)]
struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    fn add(&self) -> OpenConnection {
        self.0.set(self.0.get() + 1);
        OpenConnection(self.clone())
    }

    fn is_zero(&self) -> bool {
        self.0.get() == 0
    }
}

/// Counts as a connection until it is dropped.
#[derive(Debug)]
struct OpenConnection(ConnectionCount);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let count = &self.0 .0;
        count.set(count.get() - 1);
    }
}

/// Tells the listener and the connections of callers to close when the process shuts down, and counts the
/// connections.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    phase: Rc<watch::Sender<Phase>>,
    open_connections: ConnectionCount,
    /// Connections that were accepted when the others were closed already.
    late_connections: ConnectionCount,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self {
            phase: Rc::new(watch::Sender::new(Phase::Serving)),
            open_connections: ConnectionCount::default(),
            late_connections: ConnectionCount::default(),
        }
    }
}

impl ShutdownSignal {
    fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    pub(super) async fn wait_for(&self, phase: Phase) {
        let mut current = self.phase.subscribe();
        // Cannot fail: this value holds the sender.
        let _entered = current.wait_for(|current| *current >= phase).await;
    }

    /// Counts a connection that was accepted now. A process that is about to stop does not run on for
    /// connections that only get rejections.
    fn count_connection(&self) -> OpenConnection {
        if *self.phase.borrow() == Phase::Serving {
            self.open_connections.add()
        } else {
            self.late_connections.add()
        }
    }
}

/// Serves callers while the future is polled. Callers that connect to a process that is about to stop are told
/// to come back, since a connection that is closed without an answer tells them nothing.
pub async fn serve_callers(router: Router, listener: TcpListener, shutdown: ShutdownSignal) {
    loop {
        let accepted = tokio::select! {
            // What has arrived is accepted before the listener is closed.
            biased;
            accepted = listener.accept() => accepted,
            () = shutdown.wait_for(Phase::Ended) => return,
        };
        match accepted {
            Ok((tcp, _)) => {
                let counted = shutdown.count_connection();
                let connection = connection::serve(router.clone(), tcp, shutdown.clone());
                tokio::task::spawn_local(async move {
                    let _counted = counted;
                    connection.await;
                });
            }
            Err(e) => {
                log::warn!(target: LOG_TARGET, "cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the readiness check at `path` while the future is polled: whether the process accepts new
/// connections.
pub async fn serve_readiness(router: Router, listener: TcpListener, path: &'static str) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let router = router.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let is_ready = router.summary().is_ready();
            let status = match (request.uri().path() == path, is_ready) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            let mut response = Response::new(Full::<Bytes>::default());
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let connection = Builder::new().serve_connection(TokioIo::new(tcp), service);
            if let Err(e) = connection.await {
                log::debug!(target: LOG_TARGET, "the connection of a readiness check failed: {e}");
            }
        });
    }
}

/// How long a process that shuts down still accepts connections: until the platform has noticed
/// that it is not ready, which takes two checks at an interval of one second.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2200);

/// How long before its end a process answers the requests that are still in progress.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// How often a process that shuts down checks whether requests are still pending.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts the router down gracefully. The readiness check fails, so that new connections go to other
/// processes; then connections are closed between requests, and get at most `grace` until the last
/// answers are delivered. What does not end by then gets an error, or is cut off if its answer has begun.
pub async fn shut_down(router: Router, shutdown: ShutdownSignal, grace: Duration) {
    let until = router.elapsed() + grace;
    let ends_at = until.saturating_sub(FINAL_ANSWERS_TIME);
    router.handle_event(control::router::Event::DrainRequested { ends_at });
    tokio::time::sleep(READINESS_NOTICE_TIME.min(grace)).await;
    router.handle_event(control::router::Event::StopAccepting);
    shutdown.enter(Phase::Closing);
    let open = &shutdown.open_connections;
    wait_until(&router, ends_at, || open.is_zero()).await;
    router.end();
    wait_until(&router, until, || open.is_zero()).await;
    // A process that is short of processor time takes a while to end, in which nobody should connect to it.
    shutdown.enter(Phase::Ended);
    let rejected_until = until.min(router.elapsed() + FINAL_ANSWERS_TIME);
    // What has arrived is accepted first.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    let late = &shutdown.late_connections;
    wait_until(&router, rejected_until, || late.is_zero()).await;
}

/// Waits until a condition holds, at most until `latest`.
async fn wait_until(router: &Router, latest: Duration, is_met: impl Fn() -> bool) {
    while router.elapsed() < latest && !is_met() {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
