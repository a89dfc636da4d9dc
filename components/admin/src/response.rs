//! HTTP responses of the administration API.

use std::io;

use gotham::helpers::http::Body;
use http::header::CONTENT_TYPE;
use http::{
    HeaderValue,
    Response,
    StatusCode, //
};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{
    BodyExt,
    Full, //
};
use serde_json::{
    json,
    Value, //
};

use crate::queries::AdminError;

/// Returns a JSON response with the value or with the error.
pub(crate) fn json_response(result: Result<Value, AdminError>) -> Response<Body> {
    match result {
        Ok(value) => response_with_body(200, "application/json", value.to_string()),
        Err(e) => {
            let (status, code) = e.status_and_code();
            let body = json!({ "error": { "code": code, "message": e.to_string() } });
            response_with_body(status, "application/json", body.to_string())
        }
    }
}

/// Returns a response with this status, content type and body.
pub(crate) fn response_with_body(
    status: u16,
    content_type: &'static str,
    body: String,
) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| -> io::Error { match never {} });
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
