//! Contract of calls between two processes over a real socket.

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

const PATIENCE: Duration = Duration::from_secs(10);

fn envelope<T>(body: T) -> Envelope<T> {
    Envelope {
        from: "test".into(),
        sheet: 3,
        list: 4,
        body,
    }
}

async fn answer(request: Envelope<Request>, mut responder: Responder) {
    match request.body {
        Request::Index => {
            let reply = envelope(Reply::Index(Some(Bytes::from_static(b"index"))));
            responder.finish(&reply).await.unwrap();
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

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(wire::serve(listener, answer));
    address
}

#[tokio::test]
async fn a_reply_comes_back_with_its_envelope() {
    let address = start().await;
    let pool = Pool::new(PoolOptions::default());
    let call = pool
        .call(address, &envelope(Request::Index), PATIENCE)
        .await;
    let reply = call.unwrap().reply;
    assert_eq!(reply, envelope(Reply::Index(Some(b"index"[..].into()))));
}

#[tokio::test]
async fn raw_bytes_larger_than_the_window_arrive_whole() {
    let address = start().await;
    let pool = Pool::new(PoolOptions::default());
    let request = envelope(Request::Piece {
        manifest: utils::digest::Digest::ZERO,
        piece: 1,
        wait: false,
    });
    let mut call = pool.call(address, &request, PATIENCE).await.unwrap();
    assert_eq!(call.reply.body, Reply::Piece(5_000_000));
    let mut count = 0;
    while let Some(part) = call.frames.raw(1 << 20).await.unwrap() {
        count += part.len();
    }
    assert_eq!(count, 5_000_000);
}

#[tokio::test]
async fn a_dropped_answer_is_lost_and_not_unsent() {
    let address = start().await;
    let pool = Pool::new(PoolOptions::default());
    let result = pool
        .call(address, &envelope(Request::Status), PATIENCE)
        .await;
    assert!(!result.unwrap_err().is_not_sent());
}

#[tokio::test]
async fn an_address_without_a_listener_or_behind_a_cut_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gone = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(PoolOptions::default());
    let result = pool.call(gone, &envelope(Request::Index), PATIENCE).await;
    assert!(matches!(result, Err(WireError::NotSent(_))));

    let address = start().await;
    let options = PoolOptions {
        gate: Arc::new(|_| false),
        ..PoolOptions::default()
    };
    let result = Pool::new(options)
        .call(address, &envelope(Request::Index), PATIENCE)
        .await;
    assert!(matches!(result, Err(WireError::NotSent(_))));
}

#[tokio::test]
async fn a_message_over_the_limit_is_refused_before_it_is_sent() {
    let address = start().await;
    let pool = Pool::new(PoolOptions::default());
    let heartbeat = protocol::Heartbeat {
        report: None,
        crashes: vec![
            protocol::Crash {
                fingerprint: 1,
                target: "t".repeat(1 << 20).into(),
                start: 1,
                cleared: false,
            };
            20
        ],
    };
    let result = pool
        .call(address, &envelope(Request::Heartbeat(heartbeat)), PATIENCE)
        .await;
    assert!(matches!(result, Err(WireError::TooLarge(_))));
}
