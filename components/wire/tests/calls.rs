//! Tests calls between two processes over real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use protocol::{
    Envelope,
    Reply,
    Request, //
};
use tokio::net::TcpListener;
use wire::{
    Pool,
    PoolOptions,
    Responder,
    WireError, //
};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn envelope<T>(body: T) -> Envelope<T> {
    Envelope {
        sender: "test".into(),
        sheet_version: 3,
        list_revision: 4,
        body,
    }
}

async fn handle(request: Envelope<Request>, mut responder: Responder) {
    match request.body {
        Request::Index => {
            let reply = envelope(Reply::Index(Some(Bytes::from_static(b"index"))));
            responder.send_last(&reply).await.unwrap();
        }
        Request::Piece { .. } => {
            let reply = envelope(Reply::Piece(5_000_000));
            responder.send(&reply).await.unwrap();
            for _ in 0..50 {
                let part = Bytes::from(vec![1; 100_000]);
                responder.send_raw(part).await.unwrap();
            }
            responder.end().unwrap();
        }
        _ => drop(responder),
    }
}

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(wire::serve(listener, handle));
    address
}

#[tokio::test]
async fn call_returns_the_reply_envelope() {
    let address = start_server().await;
    let pool = Pool::new(PoolOptions::default());
    let call = pool
        .call(address, &envelope(Request::Index), CALL_TIMEOUT)
        .await;
    let reply = call.unwrap().reply;
    assert_eq!(reply, envelope(Reply::Index(Some(b"index"[..].into()))));
}

#[tokio::test]
async fn raw_bytes_larger_than_the_window_arrive_completely() {
    let address = start_server().await;
    let pool = Pool::new(PoolOptions::default());
    let request = envelope(Request::Piece {
        manifest: utils::digest::Digest::ZERO,
        piece: 1,
        wait: false,
    });
    let mut call = pool.call(address, &request, CALL_TIMEOUT).await.unwrap();
    assert_eq!(call.reply.body, Reply::Piece(5_000_000));
    let mut count = 0;
    while let Some(part) = call.reader.receive_raw(1 << 20).await.unwrap() {
        count += part.len();
    }
    assert_eq!(count, 5_000_000);
}

#[tokio::test]
async fn dropped_reply_is_not_reported_as_unsent() {
    let address = start_server().await;
    let pool = Pool::new(PoolOptions::default());
    let result = pool
        .call(address, &envelope(Request::Status), CALL_TIMEOUT)
        .await;
    assert!(!result.unwrap_err().is_not_sent());
}

#[tokio::test]
async fn call_to_a_closed_port_or_blocked_link_is_reported_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_address = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(PoolOptions::default());
    let result = pool
        .call(closed_address, &envelope(Request::Index), CALL_TIMEOUT)
        .await;
    let e = result.unwrap_err();
    assert!(e.is_not_sent() && e.is_refused());

    let address = start_server().await;
    let options = PoolOptions {
        is_reachable: Arc::new(|_| false),
        ..PoolOptions::default()
    };
    let result = Pool::new(options)
        .call(address, &envelope(Request::Index), CALL_TIMEOUT)
        .await;
    assert!(matches!(result, Err(WireError::NotSent(_))));
}

#[tokio::test]
async fn message_over_the_size_limit_is_rejected_before_sending() {
    let address = start_server().await;
    let pool = Pool::new(PoolOptions::default());
    let heartbeat = protocol::Heartbeat {
        report: None,
        crashes: vec![protocol::Crash::of_request(1, "t".repeat(1 << 20).into(), 1); 20],
    };
    let result = pool
        .call(
            address,
            &envelope(Request::Heartbeat(heartbeat)),
            CALL_TIMEOUT,
        )
        .await;
    assert!(matches!(result, Err(WireError::TooLarge(_))));
}
