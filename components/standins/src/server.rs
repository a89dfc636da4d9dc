//! The HTTP server that every stand-in uses.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{
    HeaderValue,
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

/// A running HTTP server on loopback. It stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
    close_connections: Arc<Notify>,
}

impl Server {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all open connections without completing their responses.
    pub fn close_connections(&self) {
        self.close_connections.notify_waiters();
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.accept_task.abort();
        self.close_connections.notify_waiters();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a server on a free port. An error of `handle` closes its connection.
pub(crate) async fn start_server<F>(
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) -> io::Result<Server>
where
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let close_connections = Arc::new(Notify::new());
    let accept_loop = accept_connections(listener, close_connections.clone(), handle);
    let accept_task = tokio::spawn(accept_loop);
    Ok(Server {
        address,
        accept_task,
        close_connections,
    })
}

async fn accept_connections<F>(
    listener: TcpListener,
    close: Arc<Notify>,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    while let Ok((tcp, _)) = listener.accept().await {
        tokio::spawn(serve_connection(tcp, close.clone(), handle.clone()));
    }
}

async fn serve_connection<F>(
    tcp: TcpStream,
    close: Arc<Notify>,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    // Without TCP_NODELAY the connection is slower, but it works.
    let _ignored = tcp.set_nodelay(true);
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(tcp), service_fn(handle));
    tokio::select! {
        result = connection => {
            if let Err(e) = result {
                log::debug!("HTTP connection failed: {e}");
            }
        }
        () = close.notified() => {}
    }
}

/// Returns a body that consists of `data`.
pub(crate) fn full_body(data: impl Into<Bytes>) -> Body {
    let body = Full::new(data.into());
    UnsyncBoxBody::new(body.map_err(|never| -> io::Error { match never {} }))
}

/// Returns a response with `status` and a body of `data`.
pub(crate) fn response(status: StatusCode, data: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(data));
    *response.status_mut() = status;
    response
}

/// The header with the id of a request, which targets return.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Adds the id of the request to a response, if the request had one.
pub(crate) fn with_id(mut response: Response<Body>, id: Option<HeaderValue>) -> Response<Body> {
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Returns the value of a parameter in the query of a request, without percent-decoding.
pub(crate) fn query_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let parameters = request.uri().query()?.split('&');
    parameters
        .filter_map(|parameter| parameter.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Reads the whole body of a request.
pub(crate) async fn read_body(request: Request<Incoming>) -> io::Result<Bytes> {
    let collected = request.into_body().collect().await;
    Ok(collected.map_err(io::Error::other)?.to_bytes())
}
