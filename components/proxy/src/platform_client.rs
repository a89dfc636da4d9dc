//! HTTP client of the platform's configuration service and list of instances.

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
use protocol::InstanceListUpdate;
use tokio::time::timeout;
use utils::digest::Digest;

use crate::error::ProxyError;
use crate::final_answer::{
    is_final_status,
    is_no_answer, //
};

/// An HTTP client with pooled connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates an HTTP client that keeps connections open between requests.
pub fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build(connector())
}

/// Creates an HTTP client that closes each connection after its request, for servers that can
/// handle only a few connections.
pub fn unpooled_http_client() -> HttpClient {
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

/// The longest response body. Values of the configuration service hold up to 1 MB; the list of
/// instances may be longer.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// How long the platform may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the configuration service holds a watch request if nothing changes.
const MAX_WATCH_TIME: Duration = Duration::from_secs(20);

/// The client of the configuration service and the list of instances.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    pub http: HttpClient,
    pub config_service: SocketAddr,
    pub instance_list: SocketAddr,
}

impl PlatformClient {
    /// Waits for an index whose digest differs from `known`. Returns `Ok(None)` if there was none
    /// in time.
    pub async fn watch(&self, known: Option<Digest>) -> Result<Option<Bytes>, ProxyError> {
        let known = known.map(|digest| digest.to_string()).unwrap_or_default();
        let wait = MAX_WATCH_TIME.as_millis();
        let path = format!("/v1/index?known={known}&wait_ms={wait}");
        match self
            .get(
                self.config_service,
                &path,
                MAX_WATCH_TIME + RESPONSE_TIMEOUT,
            )
            .await
        {
            Ok(text) => Ok(Some(text)),
            Err(ProxyError::Status(status)) if status == StatusCode::NOT_MODIFIED.as_u16() => {
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }

    /// Reads the index.
    pub async fn index(&self) -> Result<Bytes, ProxyError> {
        self.get(self.config_service, "/v1/index", RESPONSE_TIMEOUT)
            .await
    }

    /// Reads a section.
    pub async fn section(&self, digest: &Digest) -> Result<Bytes, ProxyError> {
        let path = format!("/v1/sections/{digest}");
        self.get(self.config_service, &path, RESPONSE_TIMEOUT).await
    }

    /// Reads the changes of the list of instances after a revision.
    pub async fn instances(&self, after: u64) -> Result<InstanceListUpdate, ProxyError> {
        let path = format!("/v1/instances?after={after}");
        let text = self
            .get(self.instance_list, &path, RESPONSE_TIMEOUT)
            .await?;
        InstanceListUpdate::from_json(&text).map_err(|e| ProxyError::Decode(e.to_string()))
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_after: Duration,
    ) -> Result<Bytes, ProxyError> {
        let request = request(Method::GET, address, path, Bytes::new())?;
        let exchange = async {
            let response = send(&self.http, request).await?;
            let status = response.status();
            if status != StatusCode::OK {
                return Err(ProxyError::Status(status.as_u16()));
            }
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let collected = body.collect().await;
            let collected = collected.map_err(|e| ProxyError::CallFailed(e.to_string()))?;
            Ok(collected.to_bytes())
        };
        let result = timeout(timeout_after, exchange).await;
        result.unwrap_or_else(|_| Err(ProxyError::CallFailed("no answer in time".into())))
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

/// Sends a request and waits for the head of the response.
pub(crate) async fn send(
    http: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<http::Response<Incoming>, ProxyError> {
    let response = http.request(request).await.map_err(|e| {
        if e.is_connect() {
            ProxyError::Connect(e.to_string())
        } else if is_no_answer(&e) {
            ProxyError::NoAnswer(e.to_string())
        } else {
            ProxyError::CallFailed(e.to_string())
        }
    })?;
    let status = response.status();
    if is_final_status(status) {
        Ok(response)
    } else {
        Err(ProxyError::NoAnswer(format!("status {}", status.as_u16())))
    }
}
