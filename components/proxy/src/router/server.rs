//! Connections of callers, the readiness check, and the graceful shutdown.

use std::convert::Infallible;
use std::future::{
    poll_fn,
    Future, //
};
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
use tokio::time::timeout;

use super::Router;

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::router::serving";

/// The delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The smallest buffer for the head of a request, even if operators allow less: the response to a
/// head that is too long needs the first line of that head.
const MIN_HEAD_BUFFER_BYTES: usize = 16 << 10;

/// The longest time to wait until a caller has received the end of its last answer. A process that ends
/// earlier may take unsent bytes with it.
const MAX_LINGER_TIME: Duration = Duration::from_secs(5);

/// How long after the signal idle connections are closed.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Tells the connections of callers to close when the process shuts down, and counts them.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    tx: Rc<watch::Sender<bool>>,
    rx: watch::Receiver<bool>,
    /// Held by each open connection, and by each copy of this value.
    open_connections: Rc<()>,
    /// The same for connections that were accepted when the others were closed already.
    late_connections: Rc<()>,
    ended: Rc<watch::Sender<bool>>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        let (tx, rx) = watch::channel(false);
        Self {
            tx: Rc::new(tx),
            rx,
            open_connections: Rc::new(()),
            late_connections: Rc::new(()),
            ended: Rc::new(watch::Sender::new(false)),
        }
    }
}

impl ShutdownSignal {
    /// Closes each connection after its current request.
    fn close_connections(&self) {
        self.tx.send_replace(true);
    }

    fn is_closing(&self) -> bool {
        *self.rx.borrow()
    }

    fn has_open_connections(&self) -> bool {
        Rc::strong_count(&self.open_connections) > Rc::strong_count(&self.tx)
    }

    fn has_late_connections(&self) -> bool {
        Rc::strong_count(&self.late_connections) > Rc::strong_count(&self.tx)
    }

    /// Closes the listener.
    fn close_listener(&self) {
        self.ended.send_replace(true);
    }

    async fn wait_for_end(&mut self) {
        let mut ended = self.ended.subscribe();
        // Cannot fail: this value holds the sender.
        let _ended = ended.wait_for(|ended| *ended).await;
    }
}

/// Serves callers while the future is polled. Callers that connect to a process that is about to stop are told
/// to come back, since a connection that is closed without an answer tells them nothing.
pub async fn serve_callers(router: Router, listener: TcpListener, mut shutdown: ShutdownSignal) {
    loop {
        let accepted = tokio::select! {
            // What has arrived is accepted before the listener is closed.
            biased;
            accepted = listener.accept() => accepted,
            () = shutdown.wait_for_end() => return,
        };
        match accepted {
            Ok((tcp, _)) => {
                // A process that is about to stop does not run on for connections that only get rejections.
                let open = if shutdown.is_closing() {
                    shutdown.late_connections.clone()
                } else {
                    shutdown.open_connections.clone()
                };
                let connection = serve_connection(router.clone(), tcp, shutdown.rx.clone());
                tokio::task::spawn_local(async move {
                    connection.await;
                    drop(open);
                });
            }
            Err(e) => {
                log::warn!(target: LOG_TARGET, "cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(router: Router, tcp: TcpStream, mut closing: watch::Receiver<bool>) {
    // Without this option the connection is only slower.
    let _ignored = tcp.set_nodelay(true);
    let limits = router.caller_limits();
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        Box::pin(async move { Ok::<_, Infallible>(router.handle_request(request).await) })
    });
    let mut connection = Builder::new()
        .timer(TokioTimer::new())
        // This timeout covers both the idle time before a head and the time to receive it.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(tcp), service);
    let mut was_idle = false;
    let result = tokio::select! {
        // A request that has arrived is read before its connection is closed.
        biased;
        result = &mut connection => result,
        () = close_after_reading(&mut closing) => {
            let mut connection = Pin::new(&mut connection);
            connection.as_mut().graceful_shutdown();
            was_idle = true;
            poll_fn(|cx| {
                let result = connection.as_mut().poll(cx);
                was_idle &= result.is_ready();
                result
            })
            .await
        }
    };
    if let Err(e) = result {
        log::debug!(target: LOG_TARGET, "the connection of a caller failed: {e}");
        return;
    }
    let tcp = connection.into_parts().io.into_inner();
    if !was_idle {
        // The caller has the whole answer when it closes the connection or sends another request, which
        // is not read.
        let _passed = timeout(MAX_LINGER_TIME, tcp.peek(&mut [0])).await;
    }
}

/// Waits until the connections are to be closed, and until requests are read that had arrived before, also if
/// the process stood still.
async fn close_after_reading(closing: &mut watch::Receiver<bool>) {
    // Fails if the signal is gone, as the process ends.
    let _closing = closing.wait_for(|closing| *closing).await;
    tokio::time::sleep(CLOSE_DELAY).await;
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
    shutdown.close_connections();
    while router.elapsed() < ends_at && shutdown.has_open_connections() {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    router.end();
    while router.elapsed() < until && shutdown.has_open_connections() {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // A process that is short of processor time takes a while to end, in which nobody should connect to it.
    shutdown.close_listener();
    let rejections_end = until.min(router.elapsed() + FINAL_ANSWERS_TIME);
    loop {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        if router.elapsed() >= rejections_end || !shutdown.has_late_connections() {
            return;
        }
    }
}
