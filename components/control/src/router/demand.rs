//! The demand for a service by priority, and how much of it is served.
//!
//! Answers the load in which requests of several priorities compete for the engines of a service for
//! longer than a moment. Less urgent requests then get what the urgent ones leave, which may be
//! nothing. A priority that falls below its minimum share is therefore treated like the most urgent
//! one until it is served often enough again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decaying_count::DecayingCount;

/// Time constant of the counts.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// A priority is below its minimum while it is served less than this share as often as all requests.
/// It is twice the share that operators require, as the counts follow the load only with a delay.
const MIN_RELATIVE_SHARE: f64 = 0.5;

/// Number of recent requests of a priority below which its share says nothing.
const MIN_REQUESTS: f64 = 4.0;

/// Requests of one priority.
#[derive(Clone, Copy, Debug)]
struct Requests {
    received: DecayingCount,
    served: DecayingCount,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            received: DecayingCount::new(TIME_CONSTANT),
            served: DecayingCount::new(TIME_CONSTANT),
        }
    }
}

/// The recent requests for one service that this process received, by priority.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    by_priority: BTreeMap<u8, Requests>,
}

impl Demand {
    /// Records a request.
    pub fn record_received(&mut self, now: Duration, priority: u8) {
        let requests = self.by_priority.entry(priority).or_default();
        requests.received.add(now, 1.0);
    }

    /// Records that a request was sent to a target for the first time.
    pub fn record_served(&mut self, now: Duration, priority: u8) {
        let requests = self.by_priority.entry(priority).or_default();
        requests.served.add(now, 1.0);
    }

    /// Whether the requests of `priority` are served less often than their minimum share.
    pub fn is_below_minimum(&self, now: Duration, priority: u8) -> bool {
        let Some(requests) = self.by_priority.get(&priority) else {
            return false;
        };
        let received = requests.received.get(now);
        if received < MIN_REQUESTS {
            return false;
        }
        let sum = |count: fn(&Requests) -> &DecayingCount| -> f64 {
            let all = self.by_priority.values();
            all.map(|requests| count(requests).get(now)).sum()
        };
        let total_received = sum(|requests| &requests.received);
        let total_served = sum(|requests| &requests.served);
        let own_share = requests.served.get(now) / received;
        own_share < MIN_RELATIVE_SHARE * total_served / total_received
    }
}
