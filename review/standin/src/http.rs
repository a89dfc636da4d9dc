//! A small HTTP/1.1 server and client, which show each byte as it is.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::time::sleep;

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut parameters = form_urlencoded::parse(query.as_bytes());
        parameters
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }
}

/// Bytes of a response, and the time to wait before they are written.
pub type Part = (Duration, Vec<u8>);

/// Serves connections on a free port until the program ends. `answer` returns the whole response, or
/// `None` to close the connection.
pub async fn serve<F>(
    ip: &str,
    answer: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = Option<Vec<u8>>> + Send + 'static,
{
    serve_parts(ip, move |request| {
        let whole = answer(request);
        async move { Some(vec![(Duration::ZERO, whole.await?)]) }
    })
    .await
}

/// Does the same with responses that are written in parts.
pub async fn serve_parts<F>(
    ip: &str,
    answer: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = Option<Vec<Part>>> + Send + 'static,
{
    let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            tokio::spawn(serve_connection(tcp, answer.clone()));
        }
    });
    address
}

async fn serve_connection<F>(mut tcp: TcpStream, answer: impl Fn(Request) -> F + Send)
where
    F: Future<Output = Option<Vec<Part>>> + Send,
{
    let mut buf = Vec::new();
    while let Some(request) = read_request(&mut tcp, &mut buf).await {
        let Some(parts) = answer(request).await else {
            return;
        };
        for (delay, bytes) in parts {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            if tcp.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }
}

async fn read_request(tcp: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let end = loop {
        if let Some(position) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break position + 4;
        }
        if tcp.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buf.drain(..end).collect()).ok()?;
    let mut lines = head.split("\r\n");
    let mut request_line = lines.next()?.split(' ');
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|n| n.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buf.len() < length {
        if tcp.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    Some(Request {
        method: request_line.next()?.to_owned(),
        target: request_line.next()?.to_owned(),
        headers,
        body: buf.drain(..length).collect(),
    })
}

/// A response with a content length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The head of a response that a client received.
#[derive(Clone, Debug)]
pub struct Head {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }
}

/// Reads the head of a response. Bytes of the body stay in `buf`. `None` if the connection ends before.
pub async fn read_head(tcp: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Head> {
    let end = loop {
        if let Some(position) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break position + 4;
        }
        if tcp.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buf.drain(..end).collect()).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    Some(Head { status, headers })
}

/// Sends a request on a connection of its own and reads the whole response.
pub async fn exchange(address: SocketAddr, request: &[u8]) -> Option<(Head, Vec<u8>)> {
    let mut tcp = TcpStream::connect(address).await.ok()?;
    tcp.write_all(request).await.ok()?;
    let mut buf = Vec::new();
    let head = read_head(&mut tcp, &mut buf).await?;
    while buf.len() < head.content_length() {
        if tcp.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    Some((head, buf))
}
