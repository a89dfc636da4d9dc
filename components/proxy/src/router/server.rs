//! Connections of callers, the readiness check, and the graceful shutdown.

use std::convert::Infallible;
use std::pin::pin;
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
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;

use super::Router;

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::router::serving";

/// The delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The smallest buffer for the head of a request, even if operators allow less: the response to a
/// head that is too long needs the first line of that head.
const MIN_HEAD_BUFFER_BYTES: usize = 16 << 10;

/// Tells the listener and the connections of callers to close when the process shuts down.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    tx: Rc<watch::Sender<bool>>,
    rx: watch::Receiver<bool>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        let (tx, rx) = watch::channel(false);
        Self {
            tx: Rc::new(tx),
            rx,
        }
    }
}

impl ShutdownSignal {
    /// Stops accepting connections, and closes each open one after its current request.
    fn close_connections(&self) {
        self.tx.send_replace(true);
    }

    async fn wait_for_close(&mut self) {
        // Cannot fail: this value holds the sender.
        let _closing = self.rx.wait_for(|closing| *closing).await;
    }
}

/// Serves callers while the future is polled, until the process accepts no more connections.
pub async fn serve_callers(router: Router, listener: TcpListener, mut shutdown: ShutdownSignal) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.wait_for_close() => return,
        };
        match accepted {
            Ok((tcp, _)) => {
                tokio::task::spawn_local(serve_connection(router.clone(), tcp, shutdown.clone()));
            }
            Err(e) => {
                log::warn!(target: LOG_TARGET, "cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(router: Router, tcp: TcpStream, mut shutdown: ShutdownSignal) {
    // Without this option the connection is only slower.
    let _ignored = tcp.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let router = router.clone();
        async move { Ok::<_, Infallible>(router.handle_request(request).await) }
    });
    let limits = router.caller_limits();
    let connection = Builder::new()
        .timer(TokioTimer::new())
        // This timeout covers both the idle time before a head and the time to receive it.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(tcp), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = shutdown.wait_for_close() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!(target: LOG_TARGET, "the connection of a caller failed: {e}");
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

/// How often a process that shuts down checks whether requests are still pending.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts the router down gracefully. The readiness check fails, so that new connections go to other
/// processes; then connections are closed between requests, and pending requests get at most
/// `grace` to complete.
pub async fn shut_down(router: Router, shutdown: ShutdownSignal, grace: Duration) {
    router.handle_event(control::router::Event::DrainRequested);
    let until = router.elapsed() + grace;
    tokio::time::sleep(READINESS_NOTICE_TIME.min(grace)).await;
    router.handle_event(control::router::Event::StopAccepting);
    shutdown.close_connections();
    while router.elapsed() < until && router.summary().pending_requests > 0 {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // Socket buffers may still hold the last responses.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL * 2).await;
}
