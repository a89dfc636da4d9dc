//! Admission control: how many requests a target runs at once and how many wait for it.
//!
//! The concurrency limit starts at the sheet's cold limit, stays there for the sheet's cold time,
//! and then rises with each successful response while responses are not slow. Any sign of a new
//! cold start resets it to the cold limit at once. Responses do not raise it earlier: a cold target
//! answers the few requests that it can handle as fast as a warm one, and any further request
//! overloads it.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use protocol::{
    Fingerprint,
    Guard,
    Refusal, //
};
use utils::millis::millis;
use utils::Name;

use super::fair_queue::{
    FairQueue,
    QueuedRequest, //
};

/// Settings of admission control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// How long a request may wait in the queue.
    pub max_queue_time: Duration,
    /// The queue length as a multiple of the concurrency limit.
    pub queue_per_slot: u32,
    /// The maximum age of the last report of the target. When it is older, the cold limit applies.
    pub max_report_age: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            max_queue_time: Duration::from_secs(1),
            queue_per_slot: 1,
            max_report_age: Duration::from_secs(2),
        }
    }
}

/// The maximum number of waiting requests that are suspected of crashing targets.
const MAX_WAITING_SUSPECTS: usize = 8;

/// A first byte that takes this many times longer than the average is slow.
const SLOW_FIRST_BYTE_FACTOR: f64 = 4.0;

/// The number of consecutive slow responses that indicates a new cold start.
const SLOW_RESPONSES_OF_COLD_START: u32 = 3;

/// The weight of a new sample in the exponential moving averages.
const MOVING_AVERAGE_WEIGHT: f64 = 0.1;

/// The increase of the limit with each successful response.
const LIMIT_INCREASE: f64 = 0.5;

/// The request duration that is assumed for retry times before any request has ended.
const ASSUMED_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Below this duration a first byte is never slow, in seconds.
const MIN_SLOW_FIRST_BYTE_SECONDS: f64 = 0.05;

/// The shortest retry time reported to callers, in seconds.
const MIN_RETRY_SECONDS: f64 = 0.05;

/// The longest retry time reported to callers, in seconds.
const MAX_RETRY_SECONDS: f64 = 60.0;

/// A request that an entry asks the agent to run.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedRequest {
    /// Identifies the request within this process until it ends.
    pub token: u64,
    /// Identifies the request in the record.
    pub request: u64,
    /// The requested model or service.
    pub work: Name,
    /// The caller's team.
    pub team: Name,
    /// The priority: 0 is low, 1 normal and 2 high.
    pub priority: u8,
    /// The caller's deadline.
    pub deadline: Duration,
    /// How the request is protected against running more than once.
    pub guard: Guard,
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// Whether a target has crashed while running the request.
    pub is_suspect: bool,
    /// The version that must continue an interrupted response.
    pub version: Option<Name>,
}

/// A running request.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request as it was offered.
    pub offered: OfferedRequest,
    /// When it started.
    pub started_at: Duration,
    /// When the first byte of the response was received.
    pub first_byte_at: Option<Duration>,
    /// The start counter of the target when the request started.
    pub start_count: u64,
}

/// The state of admission control.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    cold_limit: u32,
    full_limit: u32,
    cold_time: Duration,
    limit: f64,
    cold_since: Duration,
    last_report: Option<Duration>,
    running: BTreeMap<u64, Running>,
    queue: FairQueue,
    queued: BTreeMap<u64, OfferedRequest>,
    /// Suspected requests that wait for the running one to end, each with the time at which it is
    /// removed unless it has started. At most one of them runs at a time.
    waiting_suspects: VecDeque<(OfferedRequest, Duration)>,
    average_first_byte_seconds: Option<f64>,
    average_request_seconds: Option<f64>,
    slow_responses: u32,
}

impl Admission {
    /// Creates the state of a target whose limits are not known yet.
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            options,
            cold_limit: 0,
            full_limit: 0,
            cold_time: Duration::ZERO,
            limit: 0.0,
            cold_since: Duration::ZERO,
            last_report: None,
            running: BTreeMap::new(),
            queue: FairQueue::default(),
            queued: BTreeMap::new(),
            waiting_suspects: VecDeque::new(),
            average_first_byte_seconds: None,
            average_request_seconds: None,
            slow_responses: 0,
        }
    }

    /// Sets the limits and the cold time of the sheet.
    pub fn set_limits(
        &mut self,
        now: Duration,
        cold_limit: u32,
        full_limit: u32,
        cold_time: Duration,
    ) {
        self.cold_time = cold_time;
        if (cold_limit, full_limit) == (self.cold_limit, self.full_limit) {
            return;
        }
        let was_unset = self.full_limit == 0;
        self.cold_limit = cold_limit;
        self.full_limit = full_limit;
        self.limit = self
            .limit
            .clamp(f64::from(cold_limit), f64::from(full_limit));
        if was_unset {
            self.enter_cold_start(now);
        }
    }

    /// Resets the limit to the cold limit and starts the cold time.
    pub fn enter_cold_start(&mut self, now: Duration) {
        self.limit = f64::from(self.cold_limit);
        self.cold_since = now;
        self.slow_responses = 0;
        self.average_first_byte_seconds = None;
    }

    /// Records that the target reported itself healthy.
    pub fn record_report(&mut self, now: Duration) {
        self.last_report = Some(now);
    }

    /// Whether the cold time has passed since the last cold start.
    pub fn is_warm(&self, now: Duration) -> bool {
        now.saturating_sub(self.cold_since) >= self.cold_time
    }

    /// The number of requests that may run at once now.
    pub fn limit(&self, now: Duration) -> u32 {
        let is_fresh = self.last_report.is_some_and(|reported_at| {
            now.saturating_sub(reported_at) <= self.options.max_report_age
        });
        if !is_fresh {
            return self.cold_limit;
        }
        self.limit as u32
    }

    /// The number of running requests.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// The number of waiting requests.
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len() + self.waiting_suspects.len()).unwrap_or(u32::MAX)
    }

    /// Whether no further suspected request may wait.
    pub fn is_suspect_queue_full(&self) -> bool {
        self.waiting_suspects.len() >= MAX_WAITING_SUSPECTS
    }

    /// The guard of a running request.
    pub fn running_guard(&self, token: u64) -> Option<&Guard> {
        Some(&self.running.get(&token)?.offered.guard)
    }

    /// Adds a request to the queue. Returns the request that is shed for it, which may be the same.
    pub fn enqueue(
        &mut self,
        now: Duration,
        offered: OfferedRequest,
        share: u32,
    ) -> Option<OfferedRequest> {
        let expires_at = offered.deadline.min(now + self.options.max_queue_time);
        if offered.is_suspect {
            self.waiting_suspects.push_back((offered, expires_at));
            return None;
        }
        let queue_limit = self.limit(now).saturating_mul(self.options.queue_per_slot);
        // The queue may exceed its limit by one if a request can start at once, since every request
        // passes through the queue.
        let spare_slots = u32::from(self.running() < self.limit(now));
        let shed = self.queue.push(
            offered.token,
            offered.team.clone(),
            share,
            offered.priority,
            expires_at,
            queue_limit.max(1).saturating_add(spare_slots) as usize,
        );
        self.queued.insert(offered.token, offered);
        self.remove_queued(shed)
    }

    /// Starts the next request if the limit allows. `start_count` is the target's start counter.
    pub fn start_next(&mut self, now: Duration, start_count: u64) -> Option<&Running> {
        if self.running() >= self.limit(now) {
            return None;
        }
        let offered = match self.next_suspect() {
            Some(suspect) => suspect,
            None => {
                let next = self.queue.pop()?;
                self.queued.remove(&next.token)?
            }
        };
        let token = offered.token;
        self.running.insert(
            token,
            Running {
                offered,
                started_at: now,
                first_byte_at: None,
                start_count,
            },
        );
        self.running.get(&token)
    }

    /// The next suspected request. At most one runs at a time, so that a crash can be attributed.
    fn next_suspect(&mut self) -> Option<OfferedRequest> {
        if self.running.values().any(|r| r.offered.is_suspect) {
            return None;
        }
        self.waiting_suspects
            .pop_front()
            .map(|(offered, _)| offered)
    }

    /// Removes and returns the requests whose waiting time is over.
    pub fn expire(&mut self, now: Duration) -> Vec<OfferedRequest> {
        let expired = self.queue.expire(now);
        let mut expired = self.remove_all_queued(expired);
        expired.extend(self.remove_suspects(|_, expires_at| expires_at <= now));
        expired
    }

    /// Removes and returns every waiting request.
    pub fn clear_queue(&mut self) -> Vec<OfferedRequest> {
        let all = self.queue.clear();
        let mut all = self.remove_all_queued(all);
        all.extend(self.remove_suspects(|_, _| true));
        all
    }

    /// Removes and returns the waiting requests of these teams.
    pub fn remove_teams(&mut self, is_removed: impl Fn(&Name) -> bool) -> Vec<OfferedRequest> {
        let removed = self.queue.remove_teams(&is_removed);
        let mut removed = self.remove_all_queued(removed);
        removed.extend(self.remove_suspects(|offered, _| is_removed(&offered.team)));
        removed
    }

    fn remove_suspects(
        &mut self,
        predicate: impl Fn(&OfferedRequest, Duration) -> bool,
    ) -> Vec<OfferedRequest> {
        let suspects = std::mem::take(&mut self.waiting_suspects).into_iter();
        let (removed, kept): (Vec<_>, Vec<_>) =
            suspects.partition(|(offered, expires_at)| predicate(offered, *expires_at));
        self.waiting_suspects = kept.into();
        removed.into_iter().map(|(offered, _)| offered).collect()
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn withdraw(&mut self, token: u64) -> Option<OfferedRequest> {
        let suspect = self
            .remove_suspects(|offered, _| offered.token == token)
            .pop();
        if suspect.is_some() {
            return suspect;
        }
        let removed = self.queue.remove(token);
        self.remove_queued(removed)
    }

    /// Records the first byte of a response. Returns whether this started a new cold start.
    pub fn first_byte(&mut self, now: Duration, token: u64) -> bool {
        let Some(running) = self.running.get_mut(&token) else {
            return false;
        };
        running.first_byte_at = Some(now);
        let seconds = now.saturating_sub(running.started_at).as_secs_f64();
        let average = *self.average_first_byte_seconds.get_or_insert(seconds);
        let is_slow =
            seconds > average * SLOW_FIRST_BYTE_FACTOR && seconds > MIN_SLOW_FIRST_BYTE_SECONDS;
        if !is_slow {
            self.slow_responses = 0;
            self.average_first_byte_seconds =
                Some(average + MOVING_AVERAGE_WEIGHT * (seconds - average));
            return false;
        }
        self.slow_responses += 1;
        if self.slow_responses < SLOW_RESPONSES_OF_COLD_START
            || self.limit <= f64::from(self.cold_limit)
        {
            return false;
        }
        self.enter_cold_start(now);
        true
    }

    /// Removes a running request. A successful response may raise the limit.
    pub fn end(&mut self, now: Duration, token: u64, is_success: bool) -> Option<Running> {
        let running = self.running.remove(&token)?;
        let seconds = now.saturating_sub(running.started_at).as_secs_f64();
        let average = *self.average_request_seconds.get_or_insert(seconds);
        self.average_request_seconds = Some(average + MOVING_AVERAGE_WEIGHT * (seconds - average));
        if is_success && self.slow_responses == 0 && self.is_warm(now) {
            self.limit = (self.limit + LIMIT_INCREASE).min(f64::from(self.full_limit));
        }
        Some(running)
    }

    /// The refusal of a request when the queue is full, with the time after which the caller
    /// should retry.
    pub fn busy_refusal(&self, now: Duration) -> Refusal {
        let slots = f64::from(self.limit(now).max(1));
        let rounds = f64::from(self.queued() + 1) / slots;
        let average = self
            .average_request_seconds
            .unwrap_or(ASSUMED_REQUEST_TIME.as_secs_f64());
        let wait =
            Duration::from_secs_f64((average * rounds).clamp(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS));
        Refusal::Busy {
            retry_after_ms: millis(wait),
        }
    }

    fn remove_queued(&mut self, removed: Option<QueuedRequest>) -> Option<OfferedRequest> {
        self.queued.remove(&removed?.token)
    }

    fn remove_all_queued(&mut self, removed: Vec<QueuedRequest>) -> Vec<OfferedRequest> {
        let tokens = removed.into_iter().map(|request| request.token);
        tokens
            .filter_map(|token| self.queued.remove(&token))
            .collect()
    }
}
