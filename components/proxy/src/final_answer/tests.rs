//! What agents take what a target sends for.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    Method,
    StatusCode, //
};
use http_body_util::BodyExt;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpListener;

use super::is_no_answer;
use crate::platform_client::{
    http_client,
    request,
    send, //
};
use crate::ProxyError;

/// What became of an exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Taken {
    Answer(u16),
    /// The target lives, but did not answer.
    NoAnswer,
    /// The target may have crashed.
    ConnectionLost,
}

struct Case {
    name: &'static str,
    /// What the target writes before it closes the connection.
    written: &'static [u8],
    taken: Taken,
}

/// Writes the same bytes on each connection when it has received something.
async fn listen(written: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let mut buf = [0; 1024];
            if tcp.read(&mut buf).await.is_ok_and(|n| n > 0) {
                tcp.write_all(written).await.unwrap();
            }
        }
    });
    address
}

async fn exchange(written: &'static [u8]) -> Taken {
    let address = listen(written).await;
    let request = request(Method::GET, address, "/x", Bytes::new()).unwrap();
    let response = match send(&http_client(), request).await {
        Ok(response) => response,
        Err(ProxyError::NoAnswer(_)) => return Taken::NoAnswer,
        Err(_) => return Taken::ConnectionLost,
    };
    let status: StatusCode = response.status();
    match response.into_body().collect().await {
        Ok(_) => Taken::Answer(status.as_u16()),
        Err(e) if is_no_answer(&e) => Taken::NoAnswer,
        Err(_) => Taken::ConnectionLost,
    }
}

/// Guards against answers that are none in the protocol, and against targets that count as crashed since they
/// sent one.
#[tokio::test]
async fn answers_that_end_no_request_are_neither_passed_on_nor_crashes() {
    let case = |name, written, taken| Case {
        name,
        written,
        taken,
    };
    let cases = [
        case(
            "success",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" as &[u8],
            Taken::Answer(200),
        ),
        case(
            "after an interim answer",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            Taken::Answer(200),
        ),
        case(
            "highest status",
            b"HTTP/1.1 599 Own\r\ncontent-length: 2\r\n\r\nok",
            Taken::Answer(599),
        ),
        case(
            "status 000",
            b"HTTP/1.1 000 \r\ncontent-length: 2\r\n\r\nok",
            Taken::NoAnswer,
        ),
        case(
            "status 600",
            b"HTTP/1.1 600 Own\r\ncontent-length: 2\r\n\r\nok",
            Taken::NoAnswer,
        ),
        case(
            "another protocol",
            b"HTTP/1.1 101 Switching Protocols\r\nupgrade: other\r\nconnection: upgrade\r\n\r\n",
            Taken::NoAnswer,
        ),
        case(
            "no first line",
            b"content-length: 2\r\n\r\nok",
            Taken::NoAnswer,
        ),
        case("zero bytes", b"\x00\x00\x00\x00\r\n\r\n", Taken::NoAnswer),
        case(
            "chunk without a size",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nno size\r\n",
            Taken::NoAnswer,
        ),
        case("nothing", b"", Taken::ConnectionLost),
        case(
            "a part of the head",
            b"HTTP/1.1 200 OK\r\ncont",
            Taken::ConnectionLost,
        ),
        case(
            "a part of the body",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
            Taken::ConnectionLost,
        ),
        case(
            "a part of a chunk",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nok",
            Taken::ConnectionLost,
        ),
    ];
    for case in cases {
        assert_eq!(exchange(case.written).await, case.taken, "{}", case.name);
    }
}
