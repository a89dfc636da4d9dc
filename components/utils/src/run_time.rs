//! Timeouts that count only the time in which this process runs.
//!
//! A process that is short of processor time, or was stopped for a while, finds expired timers and unread
//! messages at the same moment when it goes on. An ordinary timeout then blames the other side for a silence
//! that was the process's own.

use std::cell::{
    Cell,
    RefCell, //
};
use std::future::Future;
use std::pin::{
    pin,
    Pin, //
};
use std::rc::{
    Rc,
    Weak, //
};
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;
use tokio::time::{
    self,
    Instant, //
};

/// Parts into which a timeout is divided. A standstill counts as one part at most.
const PARTS: u32 = 5;

/// How long messages that arrived during a standstill take to reach the task that waits for them.
const MIN_CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// A tick that is late by less shows no standstill. A shorter delay is usual on an instance that is short of
/// processor time.
const MIN_STANDSTILL: Duration = Duration::from_millis(100);

/// no answer in time
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub struct Elapsed;

thread_local! {
    /// What the ticker of this thread measures.
    static MEASURE: RefCell<Weak<Cell<Measure>>> = RefCell::default();
}

/// How long a thread stood still.
#[derive(Clone, Copy, Debug)]
struct Measure {
    interval: Duration,
    ticked_at: Instant,
    /// The length of all standstills until the last tick.
    stood_still: Duration,
}

impl Measure {
    /// The length of all standstills until now. The time of a standstill until its first tick is due counts as
    /// time in which the thread ran.
    fn stood_still(&self, now: Instant) -> Duration {
        let delay = now.saturating_duration_since(self.ticked_at + self.interval);
        if delay < MIN_STANDSTILL {
            self.stood_still
        } else {
            self.stood_still + delay
        }
    }
}

/// Measures how long a thread stands still. Without one, each timeout finds that out with timers of its own.
///
/// It holds for the thread that created it, whose runtime must have no other threads, until it is dropped.
#[derive(Debug)]
pub struct Ticker(Rc<Cell<Measure>>);

impl Ticker {
    /// Creates a ticker that is called each `interval` while the thread runs.
    pub fn new(interval: Duration) -> Self {
        let measure = Rc::new(Cell::new(Measure {
            interval,
            ticked_at: Instant::now(),
            stood_still: Duration::ZERO,
        }));
        MEASURE.set(Rc::downgrade(&measure));
        Self(measure)
    }

    /// Records that the thread runs.
    pub fn tick(&self) {
        let now = Instant::now();
        let measure = self.0.get();
        self.0.set(Measure {
            ticked_at: now,
            stood_still: measure.stood_still(now),
            ..measure
        });
    }
}

/// How long this thread has stood still, if that is measured exactly enough for a timeout of `limit`.
fn measured_standstill(limit: Duration) -> Option<Duration> {
    let measure = MEASURE.with_borrow(Weak::upgrade)?.get();
    let is_exact = limit / PARTS >= measure.interval + MIN_STANDSTILL;
    is_exact.then(|| measure.stood_still(Instant::now()))
}

/// Waits for `future` for at most `limit` of the time in which this process runs, and a tenth of that more, in
/// which messages are handled that arrived during a standstill.
///
/// Returns an error if the future is not ready by then.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let waited = match measured_standstill(limit) {
        Some(stood_still) => wait_measured(limit, stood_still, future.as_mut()).await,
        None => wait_in_parts(limit, future.as_mut()).await,
    };
    if let Some(output) = waited {
        return Ok(output);
    }
    let catch_up_time = MIN_CATCH_UP_TIME.max(limit / (2 * PARTS));
    time::timeout(catch_up_time, future)
        .await
        .map_err(|_| Elapsed)
}

/// Sets one timer, and another one only for the time in which the thread stood still meanwhile.
async fn wait_measured<F: Future>(
    limit: Duration,
    stood_still: Duration,
    mut future: Pin<&mut F>,
) -> Option<F::Output> {
    let began = Instant::now();
    let mut time_left = limit;
    while time_left > Duration::ZERO {
        if let Ok(output) = time::timeout(time_left, future.as_mut()).await {
            return Some(output);
        }
        // If the ticker is gone, nothing more is added.
        let total = measured_standstill(limit).unwrap_or(stood_still);
        let lost = total.saturating_sub(stood_still);
        time_left = (limit + lost).saturating_sub(began.elapsed());
    }
    None
}

/// Sets a timer for each part, so that a standstill can make only one of them run out.
async fn wait_in_parts<F: Future>(limit: Duration, mut future: Pin<&mut F>) -> Option<F::Output> {
    for _ in 0..PARTS {
        if let Ok(output) = time::timeout(limit / PARTS, future.as_mut()).await {
            return Some(output);
        }
    }
    None
}

/// Waits for `future` until `limit` has passed on the clock. If the process stood still at that time, the
/// messages that had arrived are still handled.
///
/// Returns an error if the future is not ready by then.
pub async fn timeout_by_clock<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    if let Ok(output) = time::timeout(limit, future.as_mut()).await {
        return Ok(output);
    }
    time::timeout(MIN_CATCH_UP_TIME, future)
        .await
        .map_err(|_| Elapsed)
}
