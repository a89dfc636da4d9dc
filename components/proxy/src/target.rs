//! The target beside an agent: a model engine or a plain service, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use control::agent::{
    EngineState,
    Version, //
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
use protocol::Serve;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::timeout;
use utils::digest::Digest;
use utils::Name;
use weights::Piece;

use crate::error::ProxyError;
use crate::platform::{
    request,
    send,
    HttpClient, //
};

/// Carries the request's id to the target; an engine that returns it lets answers be matched.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Tells an engine how many events of the answer the caller has already.
const RESUME_EVENTS: &str = "x-resume-events";

/// How long a target may take to tell its state.
const STATE_PATIENCE: Duration = Duration::from_secs(1);

/// How long a target may take to take a piece or an order.
const ORDER_PATIENCE: Duration = Duration::from_secs(30);

/// The longest state that is read, in bytes.
const STATE_LIMIT: usize = 64 << 10;

/// What an engine says of itself.
#[derive(Debug, Deserialize)]
struct StateText {
    version: Option<Name>,
    loading: bool,
    starts: u64,
}

/// An order to load a version.
#[derive(Debug, Serialize)]
struct LoadText<'a> {
    model: &'a Name,
    version: &'a Name,
    manifest: &'a Digest,
    fence: u64,
}

/// The client of one target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub http: HttpClient,
    pub address: SocketAddr,
}

impl Target {
    /// Asks an engine what it runs.
    pub async fn engine_state(&self) -> Result<EngineState, ProxyError> {
        let request = request(Method::GET, self.address, "/engine/state", Bytes::new())?;
        let text = self.short(request, STATE_PATIENCE).await?;
        let state: StateText =
            serde_json::from_slice(&text).map_err(|e| ProxyError::Decode(e.to_string()))?;
        Ok(EngineState {
            version: state.version,
            loading: state.loading,
            start: state.starts,
        })
    }

    /// Asks whether a plain service answers at all.
    pub async fn service_state(&self) -> Result<EngineState, ProxyError> {
        let request = request(Method::GET, self.address, "/health", Bytes::new())?;
        self.short(request, STATE_PATIENCE).await?;
        Ok(EngineState {
            version: None,
            loading: false,
            start: 0,
        })
    }

    /// Hands a piece to the engine.
    pub async fn stage(
        &self,
        manifest: &Digest,
        piece: Piece,
        data: Bytes,
    ) -> Result<(), ProxyError> {
        let path = format!("/engine/weights/{manifest}/{piece}");
        let request = request(Method::PUT, self.address, &path, data)?;
        self.short(request, ORDER_PATIENCE).await.map(drop)
    }

    /// Orders the engine to load a version.
    pub async fn load(&self, version: &Version, fence: u64) -> Result<(), ProxyError> {
        let order = LoadText {
            model: &version.model,
            version: &version.version,
            manifest: &version.manifest,
            fence,
        };
        let text = serde_json::to_vec(&order).map_err(|e| ProxyError::Decode(e.to_string()))?;
        let request = request(Method::POST, self.address, "/engine/load", text.into())?;
        self.short(request, ORDER_PATIENCE).await.map(drop)
    }

    /// Sends a caller's request and waits for the head of the answer.
    pub async fn run(&self, serve: &Serve) -> Result<Response<Incoming>, ProxyError> {
        let mut builder = Request::builder()
            .method(serve.method.as_str())
            .uri(format!("http://{}{}", self.address, serve.path))
            .header(REQUEST_ID, serve.id);
        if let Some(content_type) = &serve.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        if let Some(resume) = &serve.resume {
            builder = builder.header(RESUME_EVENTS, resume.events);
        }
        let request = builder
            .body(Full::new(serve.body.clone()))
            .map_err(|e| ProxyError::Decode(e.to_string()))?;
        send(&self.http, request).await
    }

    async fn short(
        &self,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Result<Bytes, ProxyError> {
        let exchange = async {
            let response = send(&self.http, request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), STATE_LIMIT);
            let collected = body.collect().await;
            let collected = collected.map_err(|e| ProxyError::Broken(e.to_string()))?;
            if status == StatusCode::OK || status == StatusCode::ACCEPTED {
                Ok(collected.to_bytes())
            } else {
                Err(ProxyError::Status(status.as_u16()))
            }
        };
        let result = timeout(patience, exchange).await;
        result.unwrap_or_else(|_| Err(ProxyError::Broken("no answer in time".into())))
    }
}
