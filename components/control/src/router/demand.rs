//! The demand for a service by priority, and how much of it is served.
//!
//! Answers the load in which requests of several priorities compete for the engines of a service for
//! longer than a moment. Less urgent requests then get what the urgent ones leave, which may be
//! nothing. A priority that falls below its minimum share is therefore treated like the most urgent
//! one until it is served often enough again.

use std::collections::BTreeMap;
use std::ops::RangeBounds;
use std::time::Duration;

use crate::decaying_count::DecayingCount;

/// Time constant of the counts.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// A priority is below its minimum while it is served less than this share as often as all requests.
/// It is one and a half times the quarter that operators require, as the counts follow the load only
/// with a delay.
const MIN_RELATIVE_SHARE: f64 = 0.375;

/// Number of recent requests of a priority below which its share says nothing.
const MIN_REQUESTS: f64 = 4.0;

/// Requests of one priority.
#[derive(Clone, Copy, Debug)]
struct Requests {
    received: DecayingCount,
    served: DecayingCount,
    prompt_tokens: DecayingCount,
    /// The shortest latency objective of any of them.
    latency_objective: Duration,
}

/// A typical request of more urgent priorities.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UrgentRequest {
    /// Its latency objective.
    pub latency_objective: Duration,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            received: DecayingCount::new(TIME_CONSTANT),
            served: DecayingCount::new(TIME_CONSTANT),
            prompt_tokens: DecayingCount::new(TIME_CONSTANT),
            latency_objective: Duration::MAX,
        }
    }
}

/// The recent requests for one service that this process received, by the number of more urgent
/// priorities.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    by_level: BTreeMap<u8, Requests>,
}

impl Demand {
    /// Records a request.
    pub fn record_received(
        &mut self,
        now: Duration,
        level: u8,
        latency_objective: Duration,
        prompt_tokens: u32,
    ) {
        let requests = self.by_level.entry(level).or_default();
        requests.received.add(now, 1.0);
        requests.prompt_tokens.add(now, f64::from(prompt_tokens));
        requests.latency_objective = latency_objective.min(requests.latency_objective);
    }

    /// A typical request of the `levels` that were requested recently, with the shortest latency
    /// objective and the longest mean prompt among them.
    pub fn typical_request(
        &self,
        now: Duration,
        levels: impl RangeBounds<u8>,
    ) -> Option<UrgentRequest> {
        let mut typical: Option<UrgentRequest> = None;
        for requests in self.by_level.range(levels).map(|(_, r)| r) {
            let received = requests.received.get(now);
            if received < MIN_REQUESTS {
                continue;
            }
            let mean = (requests.prompt_tokens.get(now) / received) as u32;
            let others = typical.unwrap_or(UrgentRequest {
                latency_objective: Duration::MAX,
                prompt_tokens: 0,
            });
            typical = Some(UrgentRequest {
                latency_objective: requests.latency_objective.min(others.latency_objective),
                prompt_tokens: mean.max(others.prompt_tokens),
            });
        }
        typical
    }

    /// Records that a request was sent to a target for the first time.
    pub fn record_served(&mut self, now: Duration, level: u8) {
        let requests = self.by_level.entry(level).or_default();
        requests.served.add(now, 1.0);
    }

    /// Whether the requests of `level` are served less often than their minimum share.
    pub fn is_below_minimum(&self, now: Duration, level: u8) -> bool {
        let Some(requests) = self.by_level.get(&level) else {
            return false;
        };
        let received = requests.received.get(now);
        if received < MIN_REQUESTS {
            return false;
        }
        let sum = |count: fn(&Requests) -> &DecayingCount| -> f64 {
            let all = self.by_level.values();
            all.map(|requests| count(requests).get(now)).sum()
        };
        let total_received = sum(|requests| &requests.received);
        let total_served = sum(|requests| &requests.served);
        let own_share = requests.served.get(now) / received;
        own_share < MIN_RELATIVE_SHARE * total_served / total_received
    }
}
