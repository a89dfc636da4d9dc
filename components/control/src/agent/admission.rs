//! How much work a target bears.
//!
//! The limit starts at the sheet's cold limit, stays there for the cold time of the sheet, and then
//! rises with answers that come in good time. Any sign of a new cold start takes it back to the
//! cold limit at once. Answers do not raise it earlier: a target in cold start answers the few
//! requests that it bears as well as a warm one, and falls over under the next.

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
use utils::Name;

use super::fair::{
    Fair,
    Waiting, //
};

/// Settings of admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// How long a request may wait for room.
    pub queue_time: Duration,
    /// Requests that may wait for each one that may run.
    pub queue_per_slot: u32,
    /// How long a report of the engine counts; after that only the cold limit is used.
    pub report_age: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            queue_time: Duration::from_secs(1),
            queue_per_slot: 1,
            report_age: Duration::from_secs(2),
        }
    }
}

/// Suspects that may wait.
const MOST_SUSPECTS: usize = 8;

/// A first token this many times later than usual is slow.
const SLOW_FACTOR: f64 = 4.0;

/// Slow answers in a row that mean a new cold start.
const SLOW_IN_A_ROW: u32 = 3;

/// The part of a new reading in the running averages.
const AVERAGE_GAIN: f64 = 0.1;

/// The rise of the limit with each good answer.
const RISE: f64 = 0.5;

/// The retry time told before any request has ended.
const FIRST_RETRY: Duration = Duration::from_millis(500);

/// A request that an entry offers.
#[derive(Clone, Debug, PartialEq)]
pub struct Offered {
    /// Names the request until it ends.
    pub token: u64,
    /// Names the request in records.
    pub request: u64,
    /// The model or service.
    pub work: Name,
    /// The caller's team.
    pub team: Name,
    /// Low, normal or high, as 0, 1 or 2.
    pub priority: u8,
    /// When the caller's deadline passes.
    pub deadline: Duration,
    /// How often it may run.
    pub guard: Guard,
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// Whether a target crashed while it ran.
    pub suspect: bool,
    /// The version that must go on with an answer that was cut.
    pub version: Option<Name>,
}

/// A request that runs.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request.
    pub offered: Offered,
    /// When it started.
    pub started: Duration,
    /// When the first byte of the answer came.
    pub first_byte: Option<Duration>,
    /// How often the target had started by then.
    pub start: u64,
}

/// The state of admission.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    cold: u32,
    full: u32,
    cold_time: Duration,
    limit: f64,
    cold_since: Duration,
    reported: Option<Duration>,
    running: BTreeMap<u64, Running>,
    queue: Fair,
    waiting: BTreeMap<u64, Offered>,
    /// Suspects that wait until the one that runs has ended, and until when.
    suspects: VecDeque<(Offered, Duration)>,
    usual_first_byte: Option<f64>,
    usual_time: Option<f64>,
    slow: u32,
}

impl Admission {
    /// Makes the state of a target that bears nothing yet.
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            options,
            cold: 0,
            full: 0,
            cold_time: Duration::ZERO,
            limit: 0.0,
            cold_since: Duration::ZERO,
            reported: None,
            running: BTreeMap::new(),
            queue: Fair::default(),
            waiting: BTreeMap::new(),
            suspects: VecDeque::new(),
            usual_first_byte: None,
            usual_time: None,
            slow: 0,
        }
    }

    /// Takes the limits of the sheet.
    pub fn set_limits(&mut self, now: Duration, cold: u32, full: u32, cold_time: Duration) {
        self.cold_time = cold_time;
        if (cold, full) == (self.cold, self.full) {
            return;
        }
        let was_unset = self.full == 0;
        self.cold = cold;
        self.full = full;
        self.limit = self.limit.clamp(f64::from(cold), f64::from(full));
        if was_unset {
            self.turn_cold(now);
        }
    }

    /// Falls back to the cold limit.
    pub fn turn_cold(&mut self, now: Duration) {
        self.limit = f64::from(self.cold);
        self.cold_since = now;
        self.slow = 0;
        self.usual_first_byte = None;
    }

    /// Notes that the target said that it is well.
    pub fn report(&mut self, now: Duration) {
        self.reported = Some(now);
    }

    /// Whether the cold start is over.
    pub fn is_warm(&self, now: Duration) -> bool {
        now.saturating_sub(self.cold_since) >= self.cold_time
    }

    /// Requests that may run at once now.
    pub fn limit(&self, now: Duration) -> u32 {
        let fresh = self
            .reported
            .is_some_and(|at| now.saturating_sub(at) <= self.options.report_age);
        if !fresh {
            return self.cold;
        }
        self.limit as u32
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests that wait.
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len() + self.suspects.len()).unwrap_or(u32::MAX)
    }

    /// Whether as many suspects wait as may.
    pub fn is_full_of_suspects(&self) -> bool {
        self.suspects.len() >= MOST_SUSPECTS
    }

    /// How often a running request may run.
    pub fn running_guard(&self, token: u64) -> Option<&Guard> {
        Some(&self.running.get(&token)?.offered.guard)
    }

    /// Puts a request in line. Returns the request that is shed for it, maybe itself.
    pub fn enqueue(&mut self, now: Duration, offered: Offered, share: u32) -> Option<Offered> {
        let until = offered.deadline.min(now + self.options.queue_time);
        if offered.suspect {
            self.suspects.push_back((offered, until));
            return None;
        }
        let limit = self.limit(now).saturating_mul(self.options.queue_per_slot);
        // One more may wait than the queue holds, since one may start at once.
        let room = u32::from(self.running() < self.limit(now));
        let shed = self.queue.push(
            offered.token,
            offered.team.clone(),
            share,
            offered.priority,
            until,
            limit.max(1).saturating_add(room) as usize,
        );
        self.waiting.insert(offered.token, offered);
        self.take_waiting(shed)
    }

    /// Starts the next request if there is room.
    pub fn start(&mut self, now: Duration, start: u64) -> Option<&Running> {
        if self.running() >= self.limit(now) {
            return None;
        }
        let offered = match self.next_suspect() {
            Some(suspect) => suspect,
            None => {
                let next = self.queue.pop()?;
                self.waiting.remove(&next.token)?
            }
        };
        let token = offered.token;
        self.running.insert(
            token,
            Running {
                offered,
                started: now,
                first_byte: None,
                start,
            },
        );
        self.running.get(&token)
    }

    /// The next suspect, if none runs: a crash then tells which one it was.
    fn next_suspect(&mut self) -> Option<Offered> {
        if self.running.values().any(|r| r.offered.suspect) {
            return None;
        }
        self.suspects.pop_front().map(|(offered, _)| offered)
    }

    /// Takes out requests that have waited long enough.
    pub fn expire(&mut self, now: Duration) -> Vec<Offered> {
        let expired = self.queue.expire(now);
        let mut expired = self.take_all(expired);
        expired.extend(self.take_suspects(|_, until| until <= now));
        expired
    }

    /// Takes out every waiting request.
    pub fn clear_queue(&mut self) -> Vec<Offered> {
        let all = self.queue.clear();
        let mut all = self.take_all(all);
        all.extend(self.take_suspects(|_, _| true));
        all
    }

    fn take_suspects(&mut self, chosen: impl Fn(&Offered, Duration) -> bool) -> Vec<Offered> {
        let all = std::mem::take(&mut self.suspects).into_iter();
        let (taken, kept): (Vec<_>, Vec<_>) = all.partition(|(o, until)| chosen(o, *until));
        self.suspects = kept.into();
        taken.into_iter().map(|(offered, _)| offered).collect()
    }

    /// Takes out a waiting request whose caller went away.
    pub fn withdraw(&mut self, token: u64) -> Option<Offered> {
        let suspect = self.take_suspects(|o, _| o.token == token).pop();
        if suspect.is_some() {
            return suspect;
        }
        let removed = self.queue.remove(token);
        self.take_waiting(removed)
    }

    /// Notes the first byte of an answer. Returns whether the target turned cold.
    pub fn first_byte(&mut self, now: Duration, token: u64) -> bool {
        let Some(running) = self.running.get_mut(&token) else {
            return false;
        };
        running.first_byte = Some(now);
        let took = now.saturating_sub(running.started).as_secs_f64();
        let usual = *self.usual_first_byte.get_or_insert(took);
        let is_slow = took > usual * SLOW_FACTOR && took > 0.05;
        if !is_slow {
            self.slow = 0;
            self.usual_first_byte = Some(usual + AVERAGE_GAIN * (took - usual));
            return false;
        }
        self.slow += 1;
        if self.slow < SLOW_IN_A_ROW || self.limit <= f64::from(self.cold) {
            return false;
        }
        self.turn_cold(now);
        true
    }

    /// Ends a request. A good answer raises the limit.
    pub fn end(&mut self, now: Duration, token: u64, good: bool) -> Option<Running> {
        let running = self.running.remove(&token)?;
        let took = now.saturating_sub(running.started).as_secs_f64();
        let usual = *self.usual_time.get_or_insert(took);
        self.usual_time = Some(usual + AVERAGE_GAIN * (took - usual));
        if good && self.slow == 0 && self.is_warm(now) {
            self.limit = (self.limit + RISE).min(f64::from(self.full));
        }
        Some(running)
    }

    /// When a refused caller should come back.
    pub fn busy(&self, now: Duration) -> Refusal {
        let slots = f64::from(self.limit(now).max(1));
        let turns = f64::from(self.queued() + 1) / slots;
        let usual = self.usual_time.unwrap_or(FIRST_RETRY.as_secs_f64());
        let wait = Duration::from_secs_f64((usual * turns).clamp(0.05, 60.0));
        Refusal::Busy {
            retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn take_waiting(&mut self, removed: Option<Waiting>) -> Option<Offered> {
        self.waiting.remove(&removed?.token)
    }

    fn take_all(&mut self, removed: Vec<Waiting>) -> Vec<Offered> {
        let tokens = removed.into_iter().map(|w| w.token);
        tokens.filter_map(|t| self.waiting.remove(&t)).collect()
    }
}
