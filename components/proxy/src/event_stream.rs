//! Recognises streams of server-sent events.

use http::header::{
    HeaderMap,
    CONTENT_TYPE, //
};
use http::StatusCode;

/// The longest event of a valid stream. A faulty target may send bytes without end that are no events.
pub(crate) const MAX_EVENT_BYTES: usize = 256 << 10;

const STREAM_TYPE: &str = "text/event-stream";

/// Whether a content type is that of a stream.
pub(crate) fn is_stream_type(content_type: &str) -> bool {
    content_type.starts_with(STREAM_TYPE)
}

/// Whether a response may continue a stream. An error, or a success of another kind, may not.
pub(crate) fn may_continue_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    status == StatusCode::OK && content_type.is_some_and(is_stream_type)
}
