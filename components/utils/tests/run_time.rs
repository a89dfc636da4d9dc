//! Timeouts of a process that stands still.

use std::cell::Cell;
use std::future::{
    poll_fn,
    Future, //
};
use std::io::Write;
use std::net::TcpListener as BlockingListener;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{
    advance,
    sleep,
    Instant, //
};
use utils::run_time::{
    timeout,
    timeout_by_clock,
    Elapsed,
    Ticker, //
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

const TICK_INTERVAL: Duration = Duration::from_millis(100);

struct TickerCase {
    name: &'static str,
    has_ticker: bool,
    /// When the ticker is dropped, if it is.
    ticker_ends_at: Option<Duration>,
    limit: Duration,
    /// When the answer is there, if there is one.
    answer_after: Option<Duration>,
    /// When the thread stands still, and for how long.
    standstills: &'static [(u64, u64)],
    is_received: bool,
    /// How long the wait takes, in milliseconds, and how often it is woken for nothing.
    wait_ms: std::ops::RangeInclusive<u64>,
    max_wake_ups: u32,
}

impl Default for TickerCase {
    fn default() -> Self {
        Self {
            name: "",
            has_ticker: true,
            ticker_ends_at: None,
            limit: Duration::from_secs(6),
            answer_after: None,
            standstills: &[],
            is_received: false,
            wait_ms: 0..=0,
            max_wake_ups: 0,
        }
    }
}

/// Guards against timers that wake a thread for each part of each wait for a reply that is held for seconds, and
/// against a measure of standstills that ends such waits early or never.
#[test]
fn thread_with_a_ticker_is_woken_once_a_wait_and_counts_no_standstill() {
    let ms = Duration::from_millis;
    let cases = [
        TickerCase {
            name: "a held reply without a ticker",
            has_ticker: false,
            answer_after: Some(ms(5000)),
            is_received: true,
            wait_ms: 5000..=5001,
            max_wake_ups: 4,
            ..TickerCase::default()
        },
        TickerCase {
            name: "a held reply",
            answer_after: Some(ms(5000)),
            is_received: true,
            wait_ms: 5000..=5001,
            ..TickerCase::default()
        },
        TickerCase {
            name: "a held reply that comes after a standstill",
            answer_after: Some(ms(8000)),
            standstills: &[(1050, 3000)],
            is_received: true,
            wait_ms: 8000..=8001,
            max_wake_ups: 1,
            ..TickerCase::default()
        },
        TickerCase {
            name: "silence",
            wait_ms: 6600..=6605,
            max_wake_ups: 2,
            ..TickerCase::default()
        },
        TickerCase {
            name: "silence after a standstill that counts as one interval",
            standstills: &[(1050, 3000)],
            wait_ms: 9500..=9650,
            max_wake_ups: 4,
            ..TickerCase::default()
        },
        TickerCase {
            name: "silence after two standstills, one of them as the limit is reached",
            standstills: &[(1050, 1000), (5980, 3000)],
            wait_ms: 10_400..=10_650,
            max_wake_ups: 5,
            ..TickerCase::default()
        },
        TickerCase {
            name: "a standstill that is shorter than a part",
            standstills: &[(1050, 140)],
            wait_ms: 6600..=6605,
            max_wake_ups: 2,
            ..TickerCase::default()
        },
        TickerCase {
            name: "silence after the end of the ticker",
            ticker_ends_at: Some(ms(1000)),
            wait_ms: 6600..=6605,
            max_wake_ups: 2,
            ..TickerCase::default()
        },
        TickerCase {
            name: "a limit for which the ticker is not exact enough",
            limit: ms(900),
            answer_after: Some(ms(500)),
            is_received: true,
            wait_ms: 500..=501,
            max_wake_ups: 2,
            ..TickerCase::default()
        },
    ];
    for case in cases {
        let (is_received, wait, wake_ups) = run_ticker_case(&case);
        assert_eq!(is_received, case.is_received, "{}", case.name);
        let wait_ms = wait.as_millis() as u64;
        assert!(
            case.wait_ms.contains(&wait_ms),
            "{}: {wait_ms} ms",
            case.name
        );
        assert!(
            wake_ups <= case.max_wake_ups,
            "{}: {wake_ups} wake-ups",
            case.name
        );
    }
}

/// Whether the answer was received, after how long, and how often the task was woken before.
fn run_ticker_case(case: &TickerCase) -> (bool, Duration, u32) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let (answer_after, limit) = (case.answer_after, case.limit);
    let (has_ticker, ticker_ends_at) = (case.has_ticker, case.ticker_ends_at);
    let standstills = case.standstills;
    LocalSet::new().block_on(&runtime, async move {
        let began = Instant::now();
        tokio::task::spawn_local(async move {
            let ticker = has_ticker.then(|| Ticker::new(TICK_INTERVAL));
            while ticker_ends_at.is_none_or(|end| began.elapsed() < end) {
                sleep(TICK_INTERVAL).await;
                if let Some(ticker) = &ticker {
                    ticker.tick();
                }
            }
        });
        tokio::task::spawn_local(async move {
            for (at, length) in standstills {
                let at = began + Duration::from_millis(*at);
                sleep(at.saturating_duration_since(Instant::now())).await;
                // Timers that are due meanwhile fire at the end of it.
                advance(Duration::from_millis(*length)).await;
            }
        });
        // The ticker begins before the wait.
        tokio::task::yield_now().await;
        let (tx, mut rx) = mpsc::channel(1);
        tokio::task::spawn_local(async move {
            if let Some(time) = answer_after {
                sleep(time.saturating_sub(began.elapsed())).await;
                tx.send(()).await.unwrap();
            } else {
                std::future::pending::<()>().await;
            }
        });
        let wake_ups = Rc::new(Cell::new(0));
        let count = wake_ups.clone();
        // In a task of its own, which only the wait wakes.
        let waiting = tokio::task::spawn_local(async move {
            count_wake_ups(count, timeout(limit, rx.recv())).await
        });
        let result = waiting.await.unwrap();
        let received = result.is_ok_and(|answer| answer.is_some());
        (received, began.elapsed(), wake_ups.get())
    })
}

/// Counts how often the task is woken before the future is ready.
async fn count_wake_ups<F: Future>(wake_ups: Rc<Cell<u32>>, future: F) -> F::Output {
    let mut future = std::pin::pin!(future);
    let mut is_first = true;
    poll_fn(|cx| {
        let poll = future.as_mut().poll(cx);
        if poll.is_pending() && !std::mem::take(&mut is_first) {
            wake_ups.set(wake_ups.get() + 1);
        }
        poll
    })
    .await
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
