//! Answers of the process's own, and what is passed on of a target's.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use control::router::{
    Reason,
    Rejection, //
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

/// The body of an answer to a caller. An error cuts the connection, so that an answer that ends
/// early does not look complete.
pub(super) type Body = BoxBody<Bytes, CutShort>;

/// The answer cannot be completed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(super) enum CutShort {
    /// the answer cannot be completed
    Broken,
}

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 9] = [
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

/// A body of known bytes.
pub(super) fn full(data: impl Into<Bytes>) -> Body {
    let body = Full::new(data.into());
    BoxBody::new(body.map_err(|never: Infallible| match never {}))
}

/// An answer without a body.
pub(super) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The answer to a request that ends without one of a target.
pub(super) fn rejection(rejection: &Rejection) -> Response<Body> {
    let mut response = empty(status(rejection));
    if let Some(after) = rejection.retry_after {
        let value = retry_after(after);
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    let body = full(format!("{}\n", rejection.reason.word()));
    *response.body_mut() = body;
    response
}

/// A status that promises that the request has not run is given only where that is known.
fn status(rejection: &Rejection) -> StatusCode {
    match rejection.reason {
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::UnknownKey => StatusCode::UNAUTHORIZED,
        _ if rejection.not_run => StatusCode::SERVICE_UNAVAILABLE,
        Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Seconds with three digits after the point; callers read fractions.
fn retry_after(after: Duration) -> HeaderValue {
    let text = format!("{:.3}", after.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"))
}

/// Takes out headers that concern one connection, those that `Connection` names included.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
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
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}
