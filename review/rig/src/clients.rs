//! Clients: one request on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::record::{
    now_ms,
    Record, //
};
use crate::standin::publish::request_text;

/// Sends a request and records when it was sent and how it was answered. The client closes its connection
/// after `patience_ms`.
pub async fn send(
    record: Record,
    entry: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    patience_ms: u64,
) {
    let text = request_text(method, path, id, key);
    record.line(&format!("sent {id} {path} key {key} to {entry}"));
    send_text(record, entry, &text, id, patience_ms).await;
}

/// Sends the text of a request and records how it was answered.
pub async fn send_text(record: Record, entry: SocketAddr, text: &str, id: &str, patience_ms: u64) {
    let began = now_ms();
    let answer = timeout(Duration::from_millis(patience_ms), exchange(entry, text)).await;
    let answer = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => format!("failed {:?}", e.kind()),
        Err(_) => "left".to_owned(),
    };
    record.line(&format!(
        "answered {id} {answer} after {} ms",
        now_ms() - began
    ));
}

/// Returns the status of the answer, and whether it was whole.
async fn exchange(entry: SocketAddr, text: &str) -> std::io::Result<String> {
    let mut tcp = TcpStream::connect(entry).await?;
    tcp.write_all(text.as_bytes()).await?;
    let mut answer = Vec::new();
    loop {
        if let Some(end) = find(&answer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
            let status = head.split(' ').nth(1).unwrap_or("?").to_owned();
            let body = &answer[end + 4..];
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length: "));
            let is_whole = match length.and_then(|length| length.trim().parse().ok()) {
                Some(length) => body.len() >= length,
                None => body.ends_with(b"0\r\n\r\n"),
            };
            if is_whole {
                return Ok(format!("{status} whole"));
            }
        }
        if tcp.read_buf(&mut answer).await? == 0 {
            let text = String::from_utf8_lossy(&answer);
            let status = text.split(' ').nth(1).unwrap_or("none");
            return Ok(format!("{status} cut"));
        }
    }
}

fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).position(|w| w == pattern)
}
