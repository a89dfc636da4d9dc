//! Requests of one service that wait for room, and when waiting makes no sense.
//!
//! Answers the load of heavy days: more requests come than targets bear. A request waits only as
//! long as its answer can still be on time. Once the line is so long that it would not be, new
//! requests are refused at once instead of after a wait.

use std::collections::VecDeque;
use std::time::Duration;

/// The time over which the rate of departures is averaged.
const RATE_MEMORY: Duration = Duration::from_secs(2);

/// A line as short as this says nothing of an overload: room comes unevenly.
const SHORT_LINE: usize = 3;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub token: u64,
    /// Zero goes first.
    pub rank: u8,
    /// When it stops waiting.
    pub until: Duration,
}

/// The line of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: VecDeque<Waiting>,
    departures: f64,
    counted_at: Duration,
}

impl Queue {
    /// Takes a request in, behind those of its rank.
    pub fn push(&mut self, request: Waiting) {
        let at = self.waiting.partition_point(|w| w.rank <= request.rank);
        self.waiting.insert(at, request);
    }

    /// Takes a request in before all others.
    pub fn push_front(&mut self, request: Waiting) {
        self.waiting.push_front(request);
    }

    /// Takes a request out.
    pub fn remove(&mut self, token: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.token != token);
        self.waiting.len() != before
    }

    /// The requests in the order in which they go.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A request of this process has left a target of the service.
    pub fn departed(&mut self, now: Duration) {
        self.departures = self.decayed(now) + 1.0;
        self.counted_at = now;
    }

    /// Departures a second.
    pub fn rate(&self, now: Duration) -> f64 {
        self.decayed(now) / RATE_MEMORY.as_secs_f64()
    }

    fn decayed(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.departures * (-passed / RATE_MEMORY.as_secs_f64()).exp()
    }

    /// How long a request of `rank` that comes now would wait.
    pub fn expected_wait(&self, now: Duration, rank: u8) -> Duration {
        let ahead = self.waiting.partition_point(|w| w.rank <= rank);
        if ahead < SHORT_LINE {
            return Duration::ZERO;
        }
        let rate = self.rate(now);
        Duration::try_from_secs_f64(ahead as f64 / rate).unwrap_or(Duration::MAX)
    }
}
