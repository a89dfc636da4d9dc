//! The queue of one service's requests that wait for capacity, and the expected time in it.
//!
//! Under overload, a request waits only as long as its answer can still be on time. When the
//! expected wait is longer than that, new requests are rejected at once instead of after a wait.
//!
//! Requests of callers that return too late for an answer on time are dispatched after all others.
//! If they took turns, each of them would make another caller late: as many callers would be served,
//! but fewer on time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::decaying_count::DecayingCount;

/// Time constant of the exponential average of the departure rate.
const DEPARTURE_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Number of requests ahead below which the expected wait counts as zero. Capacity becomes free
/// unevenly, so a shorter queue does not indicate overload.
const MIN_QUEUE_LENGTH_FOR_WAIT: usize = 3;

/// The place of a request in the order in which queued requests are dispatched; lower ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// Whether no answer can be on time any more.
    pub is_overdue: bool,
    /// Zero is the most urgent.
    pub priority: u8,
}

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The token of the request.
    pub token: u64,
    /// Its place in the queue.
    pub rank: QueueRank,
    /// When its queueing time is over.
    pub until: Duration,
}

/// The queue of one service, ordered by rank and then by arrival.
#[derive(Clone, Debug)]
pub struct Queue {
    requests: VecDeque<QueuedRequest>,
    departures: DecayingCount,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            requests: VecDeque::new(),
            departures: DecayingCount::new(DEPARTURE_RATE_TIME_CONSTANT),
        }
    }
}

impl Queue {
    /// Adds a request behind those of its rank.
    pub fn push(&mut self, request: QueuedRequest) {
        let position = self.requests.partition_point(|r| r.rank <= request.rank);
        self.requests.insert(position, request);
    }

    /// Adds a request before all others.
    pub fn push_front(&mut self, request: QueuedRequest) {
        self.requests.push_front(request);
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, token: u64) -> bool {
        let old_length = self.requests.len();
        self.requests.retain(|r| r.token != token);
        self.requests.len() != old_length
    }

    /// The requests in the order in which they are dispatched.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.requests.iter()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records that a request of this process has left a target of the service.
    pub fn record_departure(&mut self, now: Duration) {
        self.departures.add(now, 1.0);
    }

    /// Departures per second.
    pub fn departure_rate(&self, now: Duration) -> f64 {
        self.departures.per_second(now)
    }

    /// How long a request of `rank` that arrives now would wait.
    pub fn expected_wait(&self, now: Duration, rank: QueueRank) -> Duration {
        let ahead = self.requests.partition_point(|r| r.rank <= rank);
        if ahead < MIN_QUEUE_LENGTH_FOR_WAIT {
            return Duration::ZERO;
        }
        let rate = self.departure_rate(now);
        Duration::try_from_secs_f64(ahead as f64 / rate).unwrap_or(Duration::MAX)
    }
}
