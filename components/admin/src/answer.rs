//! JSON and text answers.

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

use crate::source::AdminError;

/// An answer in JSON, or an error.
pub(crate) fn json_or_error(result: Result<Value, AdminError>) -> Response<Body> {
    match result {
        Ok(value) => respond(200, "application/json", value.to_string()),
        Err(e) => {
            let (status, code) = e.status();
            let body = json!({ "error": { "code": code, "message": e.to_string() } });
            respond(status, "application/json", body.to_string())
        }
    }
}

/// An answer of any kind.
pub(crate) fn respond(status: u16, kind: &'static str, text: String) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|never| -> io::Error { match never {} });
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
