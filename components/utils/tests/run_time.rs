//! Timeouts of a process that stands still.

use std::io::Write;
use std::net::TcpListener as BlockingListener;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use utils::run_time::{
    timeout,
    timeout_by_clock,
    Elapsed, //
};

const LIMIT: Duration = Duration::from_millis(500);

struct Case {
    name: &'static str,
    /// When the other side sends a message, if it does.
    message_at: Option<Duration>,
    /// When this process stands still, and for how long.
    standstill_at: Duration,
    standstill: Duration,
    is_received: bool,
}

/// Guards against a standstill of this process that counts as silence of the other side, whose message waits
/// in the socket meanwhile.
#[test]
fn own_standstill_is_no_silence_of_the_other_side() {
    let ms = Duration::from_millis;
    let cases = [
        Case {
            name: "a message during a long standstill",
            message_at: Some(ms(300)),
            standstill_at: ms(100),
            standstill: ms(1700),
            is_received: true,
        },
        Case {
            name: "a message after a standstill that is longer than the limit",
            message_at: Some(ms(950)),
            standstill_at: ms(100),
            standstill: ms(700),
            is_received: true,
        },
        Case {
            name: "a standstill as the limit is reached",
            message_at: Some(ms(480)),
            standstill_at: ms(450),
            standstill: ms(700),
            is_received: true,
        },
        Case {
            name: "silence before and after a standstill",
            message_at: None,
            standstill_at: ms(100),
            standstill: ms(300),
            is_received: false,
        },
        Case {
            name: "silence",
            message_at: Some(ms(2500)),
            standstill_at: ms(0),
            standstill: ms(0),
            is_received: false,
        },
    ];
    for case in cases {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let received = runtime.block_on(async {
            let mut messages = start_other_side(case.message_at).await;
            tokio::spawn(async move {
                tokio::time::sleep(case.standstill_at).await;
                // Blocks the only thread, so that nothing runs.
                std::thread::sleep(case.standstill);
            });
            timeout(LIMIT, messages.recv()).await
        });
        assert_eq!(received.is_ok(), case.is_received, "{}", case.name);
    }
}

/// Guards against a message that is thrown away since the clock ran on during a standstill.
#[tokio::test]
async fn message_that_arrived_before_the_limit_is_received_after_a_standstill() {
    let mut messages = start_other_side(Some(Duration::from_millis(200))).await;
    tokio::spawn(async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        std::thread::sleep(Duration::from_millis(900));
    });
    let received = timeout_by_clock(LIMIT, messages.recv()).await;
    assert_eq!(received, Ok(Some(1)));
    let silence = timeout_by_clock(LIMIT, std::future::pending::<()>()).await;
    assert_eq!(silence, Err(Elapsed));
}

/// Connects to another thread, which sends a byte, and passes it on through a task, as clients do.
async fn start_other_side(message_at: Option<Duration>) -> mpsc::Receiver<u8> {
    let listener = BlockingListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    std::thread::spawn(move || {
        let (mut peer, _) = listener.accept().unwrap();
        std::thread::sleep(message_at.unwrap_or(Duration::from_secs(30)));
        // The reader may be gone.
        let _sent = peer.write_all(&[1]);
    });
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(async move {
        if let Ok(byte) = stream.read_u8().await {
            let _ended = tx.send(byte).await;
        }
    });
    rx
}
