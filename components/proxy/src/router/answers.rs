//! Responses that the process itself makes, and the filter for headers of forwarded messages.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use control::router::{
    Rejection,
    RejectionReason, //
};
use http::header::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    RETRY_AFTER, //
};
use http::{
    Response,
    StatusCode, //
};
use http_body_util::combinators::BoxBody;
use http_body_util::{
    BodyExt,
    Full, //
};

/// The body of a response to a caller. An error closes the connection, so that a truncated response
/// does not look complete.
pub(super) type Body = BoxBody<Bytes, BodyError>;

/// Why a response body ends early.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(super) enum BodyError {
    /// the answer cannot be completed
    Incomplete,
}

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Makes a body of the given bytes.
pub(super) fn full_body(data: impl Into<Bytes>) -> Body {
    let body = Full::new(data.into());
    BoxBody::new(body.map_err(|never: Infallible| match never {}))
}

/// Makes a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Makes the response to a request that the reducer rejected.
pub(super) fn rejection_response(rejection: &Rejection) -> Response<Body> {
    let mut response = empty_response(rejection_status(rejection));
    if let Some(after) = rejection.retry_after {
        let value = retry_after_value(after);
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    let body = full_body(format!("{}\n", rejection.reason.as_str()));
    *response.body_mut() = body;
    response
}

/// The status of a rejection. 503 tells the caller that the request did not run, so it is returned
/// only if that is certain.
fn rejection_status(rejection: &Rejection) -> StatusCode {
    match rejection.reason {
        RejectionReason::NoRoute => StatusCode::NOT_FOUND,
        RejectionReason::UnknownKey => StatusCode::UNAUTHORIZED,
        _ if rejection.not_run => StatusCode::SERVICE_UNAVAILABLE,
        RejectionReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Formats seconds with three decimal places; callers accept fractions.
fn retry_after_value(after: Duration) -> HeaderValue {
    let text = format!("{:.3}", after.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"))
}

/// Removes hop-by-hop headers, including those that the `Connection` header names.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
