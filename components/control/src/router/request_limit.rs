//! The requests that this process may send to a target that limits those of all processes together.
//!
//! The agent of a model engine counts the requests of all processes and grants no more than the
//! limit. Where no agent counts, each process keeps to its share by itself.

use std::time::Duration;

/// The share is multiplied by this if the target has an agent that does not answer this process: it
/// may still grant the whole limit to others.
const UNCOUNTED_SHARE: f64 = 0.75;

/// Requests per second that a process sends in any case, so that it notices the end of the limit.
const MIN_REQUESTS_PER_SECOND: f64 = 0.02;

/// Bounds of the delay before an agent that refused a request because of the limit is asked again.
const REFUSAL_DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));

/// Who counts the requests of all processes to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// Its agent, which is asked before each request.
    ByAgent,
    /// Its agent for other processes, but it does not answer this one.
    AgentSilent,
    /// Nobody.
    Nobody,
}

/// Requests per second that this process may send to a target that takes `limit` of them from
/// `process_count` processes, if their number is known.
pub fn process_rate(limit: f64, counting: Counting, process_count: Option<u32>) -> f64 {
    let share = match (counting, process_count) {
        (Counting::ByAgent, _) => limit,
        (_, None) => 0.0,
        (Counting::AgentSilent, Some(count)) => UNCOUNTED_SHARE * limit / f64::from(count.max(1)),
        (Counting::Nobody, Some(count)) => limit / f64::from(count.max(1)),
    };
    share.max(MIN_REQUESTS_PER_SECOND)
}

/// How long an agent that refused a request because of the limit is not asked again.
pub(super) fn refusal_delay(limit: f64) -> Duration {
    let (min, max) = REFUSAL_DELAY_BOUNDS;
    let delay = Duration::try_from_secs_f64(1.0 / limit).unwrap_or(max);
    delay.clamp(min, max)
}
