//! The HTTP server under every stand-in.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A running server; it ends when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
    cut: Arc<Notify>,
}

impl Server {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts every connection that is open now.
    pub fn cut_connections(&self) {
        self.cut.notify_waiters();
    }

    /// Stops listening and cuts every connection.
    pub fn stop(&self) {
        self.task.abort();
        self.cut.notify_waiters();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a server. A handler that fails cuts its connection.
pub(crate) async fn start<F>(
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) -> io::Result<Server>
where
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let cut = Arc::new(Notify::new());
    let task = tokio::spawn(accept(listener, cut.clone(), handle));
    Ok(Server { address, task, cut })
}

async fn accept<F>(
    listener: TcpListener,
    cut: Arc<Notify>,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    while let Ok((tcp, _)) = listener.accept().await {
        tokio::spawn(connection(tcp, cut.clone(), handle.clone()));
    }
}

async fn connection<F>(
    tcp: TcpStream,
    cut: Arc<Notify>,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    // A connection that cannot be tuned still works.
    let _slower = tcp.set_nodelay(true);
    let serve = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(tcp), service_fn(handle));
    tokio::select! {
        result = serve => {
            if let Err(e) = result {
                log::debug!("a connection ended: {e}");
            }
        }
        () = cut.notified() => {}
    }
}

/// A body of known bytes.
pub(crate) fn full(data: impl Into<Bytes>) -> Body {
    let body = Full::new(data.into());
    UnsyncBoxBody::new(body.map_err(|never| -> io::Error { match never {} }))
}

/// An answer of known bytes.
pub(crate) fn answer(status: StatusCode, data: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(data));
    *response.status_mut() = status;
    response
}

/// The value of a field of a query.
pub(crate) fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let fields = request.uri().query()?.split('&');
    fields
        .filter_map(|field| field.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Receives the whole body of a request.
pub(crate) async fn collect(request: Request<Incoming>) -> io::Result<Bytes> {
    let collected = request.into_body().collect().await;
    Ok(collected.map_err(io::Error::other)?.to_bytes())
}
