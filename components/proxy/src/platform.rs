//! The platform's services: configuration, list of instances, weight store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use protocol::News;
use tokio::time::timeout;
use utils::digest::Digest;

use crate::error::ProxyError;

/// An HTTP client with pooled connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Makes an HTTP client that keeps connections open between requests.
pub fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build(connector())
}

/// Makes an HTTP client that closes each connection after its request, for servers that bear few.
pub fn closing_http_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build(connector())
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    connector
}

/// Values of the configuration service hold up to a megabyte; the list may be longer.
const ANSWER_LIMIT: usize = 8 << 20;

/// How long the platform may take to answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// How long a watch is held before it is made again.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// The clients of the configuration service and the list.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub http: HttpClient,
    pub service: SocketAddr,
    pub list: SocketAddr,
}

impl Platform {
    /// Waits for an index with another digest than `known`. `Ok(None)` if none came in time.
    pub async fn watch(&self, known: Option<Digest>) -> Result<Option<Bytes>, ProxyError> {
        let known = known.map(|digest| digest.to_string()).unwrap_or_default();
        let wait = WATCH_TIME.as_millis();
        let path = format!("/v1/index?known={known}&wait_ms={wait}");
        match self.get(self.service, &path, WATCH_TIME + PATIENCE).await {
            Ok(text) => Ok(Some(text)),
            Err(ProxyError::Status(status)) if status == StatusCode::NOT_MODIFIED.as_u16() => {
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }

    /// Reads the index.
    pub async fn index(&self) -> Result<Bytes, ProxyError> {
        self.get(self.service, "/v1/index", PATIENCE).await
    }

    /// Reads a section.
    pub async fn section(&self, digest: &Digest) -> Result<Bytes, ProxyError> {
        let path = format!("/v1/sections/{digest}");
        self.get(self.service, &path, PATIENCE).await
    }

    /// Reads the changes of the list after a revision.
    pub async fn instances(&self, after: u64) -> Result<News, ProxyError> {
        let path = format!("/v1/instances?after={after}");
        let text = self.get(self.list, &path, PATIENCE).await?;
        serde_json::from_slice(&text).map_err(|e| ProxyError::Decode(e.to_string()))
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        patience: Duration,
    ) -> Result<Bytes, ProxyError> {
        let request = request(Method::GET, address, path, Bytes::new())?;
        let exchange = async {
            let response = send(&self.http, request).await?;
            let status = response.status();
            if status != StatusCode::OK {
                return Err(ProxyError::Status(status.as_u16()));
            }
            let body = Limited::new(response.into_body(), ANSWER_LIMIT);
            let collected = body.collect().await;
            let collected = collected.map_err(|e| ProxyError::Broken(e.to_string()))?;
            Ok(collected.to_bytes())
        };
        let result = timeout(patience, exchange).await;
        result.unwrap_or_else(|_| Err(ProxyError::Broken("no answer in time".into())))
    }
}

/// Builds a request to `address`.
pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ProxyError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(body))
        .map_err(|e| ProxyError::Decode(e.to_string()))
}

/// Sends a request and waits for the head of the answer.
pub(crate) async fn send(
    http: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<http::Response<Incoming>, ProxyError> {
    http.request(request).await.map_err(|e| {
        if e.is_connect() {
            ProxyError::Connect(e.to_string())
        } else {
            ProxyError::Broken(e.to_string())
        }
    })
}
