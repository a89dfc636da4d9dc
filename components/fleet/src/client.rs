//! An HTTP client for callers, which checks that each streamed completion is complete.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::rt::TokioExecutor;
use proxy::HttpClient;
use utils::clock::Clock;

use crate::initial_sheet::{
    MODEL,
    SERVICE, //
};

/// A client for callers of the entries, or of the targets directly.
#[derive(Clone)]
pub struct Client {
    http: HttpClient,
    clock: Arc<dyn Clock>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

/// A complete streamed completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The label of each token: the version that generated it, with a suffix if that version was
    /// incomplete.
    pub token_labels: Vec<String>,
    /// Time to the first token.
    pub first_token: Duration,
    /// Times between consecutive tokens.
    pub token_intervals: Vec<Duration>,
}

/// Reason why a request got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// An error response that says that the request was not run.
    NotRun {
        /// The error code.
        code: String,
        /// Time after which the caller may retry.
        retry_after_ms: Option<u64>,
    },
    /// An error response that says that the request ran or may have run.
    ErrorResponse {
        /// The HTTP status.
        status: u16,
        /// The error code.
        code: String,
    },
    /// The connection failed, or the response was incomplete or malformed.
    Incomplete(String),
}

impl Completion {
    /// Whether the tokens come from several versions or from incomplete weights.
    pub fn is_mixed(&self) -> bool {
        let first = self.token_labels.first();
        self.token_labels
            .iter()
            .any(|label| Some(label) != first || label.contains("partial") || label.is_empty())
    }
}

impl Client {
    /// Creates a client with its own connection pool.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            http: HyperClient::builder(TokioExecutor::new()).build_http(),
            clock,
        }
    }

    /// Requests a streamed completion of `tokens` tokens from an entry.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        team: &str,
        prompt: &str,
        tokens: usize,
    ) -> Result<Completion, Failure> {
        let body = serde_json::json!({
            "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/v1/completions"))
            .header("content-type", "application/json")
            .header("x-team", team)
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|e| Failure::Incomplete(e.to_string()))?;
        let started = self.clock.now().elapsed;
        let response = self.send(request).await?;
        let mut body = response.into_body();
        let mut text = String::new();
        let mut arrivals = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Failure::Incomplete(e.to_string()))?;
            let data = frame.into_data().unwrap_or_default();
            let part = String::from_utf8_lossy(&data).into_owned();
            let now = self.clock.now().elapsed;
            arrivals.extend(part.matches("data: {\"choices\"").map(|_| now));
            text.push_str(&part);
        }
        if !text.ends_with("data: [DONE]\n\n") {
            return Err(Failure::Incomplete("no end mark".to_owned()));
        }
        let token_labels = parse_token_labels(&text);
        if token_labels.len() != tokens {
            return Err(Failure::Incomplete(format!(
                "{} of {tokens} tokens",
                token_labels.len()
            )));
        }
        let first = arrivals.first().copied().unwrap_or(started);
        Ok(Completion {
            token_labels,
            first_token: first.saturating_sub(started),
            token_intervals: arrivals.windows(2).map(|pair| pair[1] - pair[0]).collect(),
        })
    }

    /// Calls the plain service and returns the body of a successful response.
    pub async fn call_service(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<String, Failure> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{entry}/services/{SERVICE}{path}"))
            .header("x-team", "head-office");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .map_err(|e| Failure::Incomplete(e.to_string()))?;
        self.send_and_read(request).await
    }

    /// Requests a ticket for the plain service.
    pub async fn request_ticket(&self, entry: SocketAddr) -> Result<String, Failure> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/v1/tickets/{SERVICE}"))
            .body(Full::default())
            .map_err(|e| Failure::Incomplete(e.to_string()))?;
        let text = self.send_and_read(request).await?;
        let json: serde_json::Value =
            serde_json::from_str(&text).map_err(|e| Failure::Incomplete(e.to_string()))?;
        let ticket = json["ticket"].as_str().map(str::to_owned);
        ticket.ok_or_else(|| Failure::Incomplete("no ticket".to_owned()))
    }

    async fn send_and_read(&self, request: Request<Full<Bytes>>) -> Result<String, Failure> {
        let response = self.send(request).await?;
        let collected = response.into_body().collect().await;
        let bytes = collected
            .map_err(|e| Failure::Incomplete(e.to_string()))?
            .to_bytes();
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends a request and turns an error response into a failure.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<hyper::body::Incoming>, Failure> {
        let response = self.http.request(request).await;
        let response = response.map_err(|e| Failure::Incomplete(e.to_string()))?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let collected = response.into_body().collect().await;
        let bytes = collected
            .map_err(|e| Failure::Incomplete(e.to_string()))?
            .to_bytes();
        let json: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let error = &json["error"];
        let code = error["code"].as_str().unwrap_or_default().to_owned();
        if error["outcome"] == "not_run" {
            return Err(Failure::NotRun {
                code,
                retry_after_ms: error["retry_after_ms"].as_u64(),
            });
        }
        Err(Failure::ErrorResponse { status, code })
    }
}

fn parse_token_labels(text: &str) -> Vec<String> {
    let events = text.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
    let tokens = events.filter_map(|e| serde_json::from_str::<serde_json::Value>(e).ok());
    tokens
        .filter_map(|t| {
            t["choices"][0]["text"]
                .as_str()
                .map(|s| s.trim().to_owned())
        })
        .collect()
}
