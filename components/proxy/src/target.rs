//! HTTP client of the target on an agent's instance: a model engine or a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use control::agent::{
    EngineState,
    ModelVersion, //
};
use http::header::CONTENT_TYPE;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use protocol::ServeRequest;
use serde::{
    Deserialize,
    Serialize, //
};
use utils::digest::Digest;
use utils::run_time::timeout;
use utils::Name;
use weights::Piece;

use crate::error::ProxyError;
use crate::platform_client::{
    request,
    send,
    HttpClient, //
};

/// Carries the request's id to the target. If an engine returns it, the response can be matched to
/// the request.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Tells an engine how many events of the stream the caller has already received.
const RESUME_EVENTS: &str = "x-resume-events";

/// How long a target may take to report its state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a target may take to accept a piece or an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// The longest response to a call of the agent itself.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The body of an engine's response about its state.
#[derive(Debug, Deserialize)]
struct EngineStateBody {
    version: Option<Name>,
    loading: bool,
    starts: u64,
}

/// The body of an order to load a version.
#[derive(Debug, Serialize)]
struct LoadOrderBody<'a> {
    model: &'a Name,
    version: &'a Name,
    manifest: &'a Digest,
    fence: u64,
    /// The time until which the engine may accept the order, in milliseconds since the Unix epoch.
    accept_until_ms: u64,
}

/// What an engine holds of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StagedPiece {
    /// The same bytes.
    Same,
    /// Other bytes, or the engine does not answer.
    Differs,
    /// Nothing, or the engine does not return pieces.
    NotReadable,
}

/// The client of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetClient {
    pub http: HttpClient,
    pub address: SocketAddr,
}

impl TargetClient {
    /// Reads the state of a model engine.
    pub async fn engine_state(&self) -> Result<EngineState, ProxyError> {
        let request = request(Method::GET, self.address, "/engine/state", Bytes::new())?;
        let text = self.call(request, STATE_TIMEOUT).await?;
        let state: EngineStateBody =
            serde_json::from_slice(&text).map_err(|e| ProxyError::Decode(e.to_string()))?;
        Ok(EngineState {
            version: state.version,
            is_loading: state.loading,
            start_count: state.starts,
        })
    }

    /// Checks that a plain service responds.
    pub async fn service_state(&self) -> Result<EngineState, ProxyError> {
        let request = request(Method::GET, self.address, "/health", Bytes::new())?;
        self.call(request, STATE_TIMEOUT).await?;
        Ok(EngineState {
            version: None,
            is_loading: false,
            start_count: 0,
        })
    }

    /// Sends a piece to the engine.
    pub async fn stage(
        &self,
        manifest: &Digest,
        piece: Piece,
        data: Bytes,
    ) -> Result<(), ProxyError> {
        let path = format!("/engine/weights/{manifest}/{piece}");
        let request = request(Method::PUT, self.address, &path, data)?;
        self.call(request, ORDER_TIMEOUT).await.map(drop)
    }

    /// Compares a piece that the engine holds with these bytes.
    pub async fn staged(&self, manifest: &Digest, piece: Piece, data: &Bytes) -> StagedPiece {
        let path = format!("/engine/weights/{manifest}/{piece}");
        let Ok(request) = request(Method::GET, self.address, &path, Bytes::new()) else {
            return StagedPiece::Differs;
        };
        match self.call_with(request, ORDER_TIMEOUT, data.len()).await {
            Ok(held) if held == *data => StagedPiece::Same,
            Err(ProxyError::Status(404 | 405)) => StagedPiece::NotReadable,
            // A piece that cannot be read is written again.
            Ok(_) | Err(_) => StagedPiece::Differs,
        }
    }

    /// Orders the engine to load a version, if it accepts the order until `accept_until_ms` of its instance's
    /// wall clock, in milliseconds since the Unix epoch.
    pub async fn order_load(
        &self,
        version: &ModelVersion,
        fencing_number: u64,
        accept_until_ms: u64,
    ) -> Result<(), ProxyError> {
        let order = LoadOrderBody {
            model: &version.model,
            version: &version.version,
            manifest: &version.manifest,
            fence: fencing_number,
            accept_until_ms,
        };
        let text = serde_json::to_vec(&order).map_err(|e| ProxyError::Decode(e.to_string()))?;
        let request = request(Method::POST, self.address, "/engine/load", text.into())?;
        self.call(request, ORDER_TIMEOUT).await.map(drop)
    }

    /// Sends a caller's request and waits for the head of the response.
    pub async fn send(
        &self,
        serve_request: &ServeRequest,
    ) -> Result<Response<Incoming>, ProxyError> {
        let mut builder = Request::builder()
            .method(serve_request.method.as_str())
            .uri(format!("http://{}{}", self.address, serve_request.path))
            .header(REQUEST_ID, serve_request.id);
        if let Some(content_type) = &serve_request.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        if let Some(resume) = &serve_request.resume {
            builder = builder.header(RESUME_EVENTS, resume.received_events);
        }
        let request = builder
            .body(Full::new(serve_request.body.clone()))
            .map_err(|e| ProxyError::Decode(e.to_string()))?;
        send(&self.http, request).await
    }

    /// Sends a request of the agent itself, and reads the whole response.
    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout_after: Duration,
    ) -> Result<Bytes, ProxyError> {
        self.call_with(request, timeout_after, MAX_RESPONSE_BYTES)
            .await
    }

    /// Sends a request of the agent itself, and reads a response of up to `max_bytes`.
    async fn call_with(
        &self,
        request: Request<Full<Bytes>>,
        timeout_after: Duration,
        max_bytes: usize,
    ) -> Result<Bytes, ProxyError> {
        let exchange = async {
            let response = send(&self.http, request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), max_bytes);
            let collected = body.collect().await;
            let collected = collected.map_err(|e| ProxyError::CallFailed(e.to_string()))?;
            if status == StatusCode::OK || status == StatusCode::ACCEPTED {
                Ok(collected.to_bytes())
            } else {
                Err(ProxyError::Status(status.as_u16()))
            }
        };
        let result = timeout(timeout_after, exchange).await;
        result.unwrap_or_else(|_| Err(ProxyError::CallFailed("no answer in time".into())))
    }
}
