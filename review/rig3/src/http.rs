//! A small HTTP/1.1 server and client on blocking sockets.

use std::collections::BTreeMap;
use std::io::{
    self,
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A received request.
#[derive(Clone, Debug)]
pub struct Request {
    target: String,
    /// The headers, by name in lower case.
    headers: BTreeMap<String, String>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(&name.to_lowercase())
            .map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The decoded value of a query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = text
            .get(i + 1..i + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                i += 1;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read too far.
pub struct Connection {
    pub tcp: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(tcp: TcpStream) -> Self {
        let _slower_without = tcp.set_nodelay(true);
        Self {
            tcp,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.tcp.read(&mut part)?;
        self.buf.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads the first line and the headers of a message, or `None` at the end of the connection.
    fn read_head(&mut self) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break end + 4;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        Ok(Some((first, headers.collect())))
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_body(&mut self, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
        if headers
            .get("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
        {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.read_exact(size)?);
                self.read_exact(2)?;
            }
        }
        let length = headers.get("content-length").and_then(|v| v.parse().ok());
        self.read_exact(length.unwrap_or(0))
    }

    /// Reads a request, or `None` at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.read_head()? else {
            return Ok(None);
        };
        let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
        self.read_body(&headers)?;
        Ok(Some(Request { target, headers }))
    }

    /// Reads an answer.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let head = self.read_head()?;
        let (first, headers) = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or(io::Error::from(io::ErrorKind::InvalidData))?;
        self.read_body(&headers)?;
        Ok(Answer { status })
    }
}

/// A received answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection on a thread. `handler` writes the answer, and returns whether the connection stays
/// open.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(tcp);
                while let Ok(Some(request)) = connection.read_request() {
                    if !handler(&request, &mut connection.tcp).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let tcp = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    tcp.set_read_timeout(Some(limit))?;
    let mut connection = Connection::new(tcp);
    connection.tcp.write_all(request)?;
    connection.read_answer()
}
