//! Client of the administration API of another process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::header::AUTHORIZATION;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use serde_json::Value;
use thiserror::Error;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a request to the administration API.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// {0}: cannot be reached: {1}
    Unreachable(SocketAddr, String),
    /// {0}: {1}
    Refused(SocketAddr, String),
    /// {0}: the answer cannot be read: {1}
    Decode(SocketAddr, String),
}

/// Sends a GET request to the administration API at `address` and returns the JSON response.
pub async fn get_json(
    address: SocketAddr,
    path: &str,
    query: &[(&str, &str)],
    token: Option<&str>,
) -> Result<Value, ClientError> {
    let query = form_urlencoded::Serializer::new(String::new())
        .extend_pairs(query)
        .finish();
    let mut builder = Request::get(format!("http://{address}{path}?{query}"));
    if let Some(token) = token {
        builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let unreachable = |e: String| ClientError::Unreachable(address, e);
    let request = builder
        .body(Full::<Bytes>::default())
        .map_err(|e| unreachable(e.to_string()))?;
    let response = async {
        let response = proxy::http_client().request(request).await;
        let response = response.map_err(|e| unreachable(e.to_string()))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| unreachable(e.to_string()))?;
        Ok((status, body.to_bytes()))
    };
    let result = tokio::time::timeout(REQUEST_TIMEOUT, response).await;
    let (status, text) = result.map_err(|_| unreachable("no answer in time".to_owned()))??;
    let value: Value =
        serde_json::from_slice(&text).map_err(|e| ClientError::Decode(address, e.to_string()))?;
    if status.is_success() {
        return Ok(value);
    }
    let message = value["error"]["message"].as_str().unwrap_or("refused");
    Err(ClientError::Refused(address, message.to_owned()))
}
