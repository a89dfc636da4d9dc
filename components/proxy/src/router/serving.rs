//! Connections of callers, the readiness check, and the planned stop.

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

/// The pause after a connection could not be accepted, for want of file handles say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The least room for the head of a request, in bytes, whatever operators allow: answers of this
/// process to a head that is too long need the head's first line.
const LEAST_HEAD_BYTES: usize = 16 << 10;

/// The stages of a planned stop that connections are told of.
#[derive(Clone, Debug)]
pub struct Stop {
    tx: Rc<watch::Sender<bool>>,
    rx: watch::Receiver<bool>,
}

impl Default for Stop {
    fn default() -> Self {
        let (tx, rx) = watch::channel(false);
        Self {
            tx: Rc::new(tx),
            rx,
        }
    }
}

impl Stop {
    /// Lets each connection end after the request that it carries now.
    fn close_connections(&self) {
        self.tx.send_replace(true);
    }

    async fn asked(&mut self) {
        // The sender lives as long as this value.
        let _asked = self.rx.wait_for(|closing| *closing).await;
    }
}

/// Serves callers until the process takes no more connections, for as long as the future is polled.
pub async fn serve(router: Router, listener: TcpListener, mut stop: Stop) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.asked() => return,
        };
        match accepted {
            Ok((tcp, _)) => {
                tokio::task::spawn_local(connection(router.clone(), tcp, stop.clone()));
            }
            Err(e) => {
                log::warn!("cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(router: Router, tcp: TcpStream, mut stop: Stop) {
    // A connection that cannot be tuned still works.
    let _slower = tcp.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let router = router.clone();
        async move { Ok::<_, Infallible>(router.answer(request).await) }
    });
    let limits = router.caller_limits();
    let connection = Builder::new()
        .timer(TokioTimer::new())
        // One time limit covers both the pause before a head and the head.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(tcp), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.asked() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!("a caller's connection ended: {e}");
    }
}

/// Answers whether the process takes new connections, for as long as the future is polled. Other
/// paths than `path` are unknown.
pub async fn serve_ready(router: Router, listener: TcpListener, path: &'static str) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
                log::debug!("a readiness check ended: {e}");
            }
        });
    }
}

/// How long a stopping process takes connections on: until the platform has noticed that it is not
/// ready, which takes two checks a second apart.
const NOTICE_TIME: Duration = Duration::from_millis(2200);

/// How often a stopping process looks whether its connections have ended.
const DRAIN_CHECK: Duration = Duration::from_millis(50);

/// Ends the router in good order: new connections go elsewhere, connections end between requests,
/// and requests under way are finished for `grace` at most.
pub async fn drain(router: Router, stop: Stop, grace: Duration) {
    router.tell(control::router::Event::Drain);
    let until = router.elapsed() + grace;
    tokio::time::sleep(NOTICE_TIME.min(grace)).await;
    router.tell(control::router::Event::Close);
    stop.close_connections();
    while router.elapsed() < until && router.summary().pending > 0 {
        tokio::time::sleep(DRAIN_CHECK).await;
    }
    // The last answers are still on their way out of the sockets' buffers.
    tokio::time::sleep(DRAIN_CHECK * 2).await;
}
