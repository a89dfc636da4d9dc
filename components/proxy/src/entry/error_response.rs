//! The responses to callers that the entry makes itself, without a response of a target.

use std::io;

use bytes::Bytes;
use control::entry::Rejection;
use gotham::helpers::http::Body;
use http::header::{
    CONTENT_TYPE,
    RETRY_AFTER, //
};
use http::{
    Response,
    StatusCode, //
};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{
    BodyExt,
    Full, //
};
use protocol::{
    KeyState,
    Outcome,
    Refusal, //
};
use serde::Serialize;

use super::request::BadRequest;

/// The body of every error response that the entry makes.
#[derive(Debug, Serialize)]
pub(super) struct ErrorBody {
    pub error: ErrorText,
}

/// The description of an error.
#[derive(Debug, Serialize)]
pub(super) struct ErrorText {
    /// The error code, for programs.
    pub code: &'static str,
    /// Whether the request was run: `not_run`, `running`, `ran` or `unknown`.
    pub outcome: &'static str,
    /// The error message, for people.
    pub message: String,
    /// The HTTP status of the earlier run, if the request ran.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub earlier_status: Option<u16>,
    /// The time after which to retry the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The retry delay for refusals that name none.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// The response to a request that is invalid or cannot be accepted.
pub(super) fn bad_request_response(e: &BadRequest) -> Response<Body> {
    let (status, code) = e.status();
    let text = ErrorText {
        code,
        outcome: "not_run",
        message: e.to_string(),
        earlier_status: None,
        retry_after_ms: (status == 503).then_some(DEFAULT_RETRY_AFTER_MS),
    };
    error_response(status, text)
}

/// The response to a request that was rejected.
pub(super) fn rejection_response(rejection: &Rejection) -> Response<Body> {
    error_response(rejection_status(rejection), rejection_text(rejection))
}

/// The description of a rejection, also sent as an event in a stream that has started.
pub(super) fn rejection_text(rejection: &Rejection) -> ErrorText {
    let (outcome, message, earlier_status) = match rejection.outcome {
        Outcome::NotRun(refusal) if rejection.not_run => ("not_run", refusal.to_string(), None),
        Outcome::NotRun(refusal) => (
            "unknown",
            format!("{refusal}; whether an earlier sending ran is not known"),
            None,
        ),
        Outcome::Before(KeyState::Running) => {
            ("running", "an earlier sending runs now".to_owned(), None)
        }
        Outcome::Before(KeyState::Ran { status }) | Outcome::Ran { status } => {
            ("ran", "an earlier sending ran".to_owned(), Some(status))
        }
        Outcome::Before(KeyState::Unknown) => (
            "unknown",
            "an earlier sending may have run".to_owned(),
            None,
        ),
        Outcome::Unknown { crashed: true } => (
            "unknown",
            "the target broke off while the request ran".to_owned(),
            None,
        ),
        Outcome::Unknown { crashed: false } => (
            "unknown",
            "no whole answer came from the target".to_owned(),
            None,
        ),
    };
    ErrorText {
        code: rejection.code(),
        outcome,
        message,
        earlier_status,
        retry_after_ms: retry_after_ms(rejection),
    }
}

/// The response to a request whose handling failed, after which it may have run.
pub(super) fn failure_response() -> Response<Body> {
    rejection_response(&Rejection {
        outcome: Outcome::Unknown { crashed: false },
        not_run: false,
    })
}

/// The last response on a connection whose caller has sent only a part of its request, or did so too late.
pub(super) fn raw_rejection(rejection: &Rejection) -> Vec<u8> {
    let status = StatusCode::from_u16(rejection_status(rejection)).unwrap_or_default();
    let body = ErrorBody {
        error: rejection_text(rejection),
    };
    let json = serde_json::to_string(&body).unwrap_or_default();
    let text = format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{json}",
        json.len()
    );
    text.into_bytes()
}

fn rejection_status(rejection: &Rejection) -> u16 {
    match rejection.outcome {
        Outcome::NotRun(Refusal::Busy { .. }) => 429,
        Outcome::NotRun(Refusal::TeamRemoved) => 403,
        Outcome::NotRun(Refusal::Quarantined) => 422,
        Outcome::NotRun(Refusal::StampAhead | Refusal::NotHome) => 400,
        Outcome::NotRun(Refusal::Expired) => 504,
        Outcome::NotRun(_) => 503,
        Outcome::Before(_) | Outcome::Ran { .. } => 409,
        Outcome::Unknown { .. } => 502,
    }
}

fn retry_after_ms(rejection: &Rejection) -> Option<u64> {
    match rejection.outcome {
        Outcome::NotRun(Refusal::Busy { retry_after_ms }) => Some(retry_after_ms),
        Outcome::NotRun(
            Refusal::Quarantined | Refusal::NotHome | Refusal::Expired | Refusal::TeamRemoved,
        ) => None,
        Outcome::NotRun(_) | Outcome::Before(KeyState::Running) => Some(DEFAULT_RETRY_AFTER_MS),
        _ => None,
    }
}

fn error_response(status: u16, text: ErrorText) -> Response<Body> {
    let retry_after_ms = text.retry_after_ms;
    let body = ErrorBody { error: text };
    let json = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(full_body(json.into()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    if let Some(millis) = retry_after_ms {
        // The header has whole seconds only; the body has the exact time.
        headers.insert(RETRY_AFTER, millis.div_ceil(1000).max(1).into());
    }
    response
}

/// A response body that consists of `data`.
pub(super) fn full_body(data: Bytes) -> Body {
    UnsyncBoxBody::new(Full::new(data).map_err(|never| -> io::Error { match never {} }))
}
