//! A model engine as a process of its own, which ends when it begins to run the crashing request.

use std::time::Duration;

use crate::record::Record;
use crate::standin::engine::{
    Runs,
    Target,
    EVENTS_PER_STREAM, //
};
use crate::standin::publish::{
    has_prompt_part,
    request_id, //
};
use crate::standin::router::stream_head;
use crate::standin::{
    listen_on,
    ReceivedRequest,
    ResponseStep, //
};

/// The path of the request that crashes engines.
pub const CRASHING_PATH: &str = "/chat/crash";

/// The part of prompts that crashes engines.
pub const CRASHING_PART: &str = "bad";

/// Serves until the process is killed or crashes. With `framing` "close", answers to requests have neither a
/// length nor chunks and end with their connection; with "chunked" they have chunks.
///
/// `first_token_ms` is the time from the head of an answer to the first token. It does not drop a request whose
/// connection closes.
pub async fn run(
    address: &str,
    id: &str,
    record: &str,
    framing: &str,
    first_token_ms: &str,
) -> i32 {
    let first_token = Duration::from_millis(first_token_ms.parse().expect("milliseconds"));
    let record = Record::open(record.as_ref());
    let target = Target::engine(id, &Runs::default());
    let (id, is_chunked) = (id.to_owned(), framing == "chunked");
    listen_on(address, move |request| {
        if !request.path.starts_with("/chat/") || target.rejects(request) {
            return target.respond(request);
        }
        record.line(&format!(
            "run {} {} by {id}",
            request_id(request),
            request.path
        ));
        if request.path == CRASHING_PATH || has_prompt_part(request, CRASHING_PART) {
            let (record, id) = (record.clone(), id.clone());
            tokio::spawn(async move {
                tokio::time::sleep(first_token).await;
                record.line(&format!("crash {id}"));
                // The system closes all connections, as after any crash of a process.
                std::process::exit(134);
            });
            return vec![
                head(request, is_chunked),
                ResponseStep::Wait(Duration::from_secs(60)),
            ];
        }
        stream(request, is_chunked, first_token)
    })
    .await;
    std::future::pending().await
}

/// The head of an answer. Without chunks, the end of the connection is that of the answer.
fn head(request: &ReceivedRequest, is_chunked: bool) -> ResponseStep {
    let text = String::from_utf8(stream_head(request)).expect("a head is text");
    let text = if is_chunked {
        text
    } else {
        text.replace("transfer-encoding: chunked", "connection: close")
    };
    ResponseStep::Write(text.into_bytes())
}

/// The events of a sound answer.
fn stream(request: &ReceivedRequest, is_chunked: bool, first_token: Duration) -> Vec<ResponseStep> {
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut steps = vec![head(request, is_chunked), ResponseStep::Wait(first_token)];
    for number in after + 1..=EVENTS_PER_STREAM {
        let event = format!("id: {number}\ndata: {}\n\n", request_id(request));
        let event = if is_chunked {
            format!("{:x}\r\n{event}\r\n", event.len())
        } else {
            event
        };
        steps.push(ResponseStep::Write(event.into_bytes()));
        steps.push(ResponseStep::Wait(Duration::from_millis(30)));
    }
    if is_chunked {
        steps.push(ResponseStep::Write(b"0\r\n\r\n".to_vec()));
    } else {
        steps.push(ResponseStep::Close);
    }
    steps
}
