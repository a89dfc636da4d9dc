//! Timeouts that count only the time in which this process runs.
//!
//! A process that is short of processor time, or was stopped for a while, finds expired timers and unread
//! messages at the same moment when it goes on. An ordinary timeout then blames the other side for a silence
//! that was the process's own.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;
use tokio::time;

/// Parts into which a timeout is divided. A standstill counts as one part at most.
const PARTS: u32 = 5;

/// How long messages that arrived during a standstill take to reach the task that waits for them.
const MIN_CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// no answer in time
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub struct Elapsed;

/// Waits for `future` for at most `limit` of the time in which this process runs, and a tenth of that more, in
/// which messages are handled that arrived during a standstill.
///
/// Returns an error if the future is not ready by then.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    for _ in 0..PARTS {
        if let Ok(output) = time::timeout(limit / PARTS, future.as_mut()).await {
            return Ok(output);
        }
    }
    let catch_up_time = MIN_CATCH_UP_TIME.max(limit / (2 * PARTS));
    time::timeout(catch_up_time, future)
        .await
        .map_err(|_| Elapsed)
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
