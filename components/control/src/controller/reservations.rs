//! The reservations of requests at one engine.
//!
//! Each process that sends requests to an engine knows only its own requests. The engine's agent
//! counts the requests of all processes, so each process learns the exact queue ahead of its next
//! request.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use protocol::{
    limit_for_level,
    AgedLimit,
    Backlog,
    ReservationTerms, //
};

use crate::capacity::Change;
use crate::notice::TargetNotice;
use crate::speed_judge::SpeedJudge;

use super::learned::EngineCapacity;
use super::timing::{
    self,
    EngineSpeed,
    ReservedWork, //
};
use super::waiting::WaitQueue;

/// The window over which the rate of reservations is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The longer window for limits that an engine names, which may be under one request per second.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// How long a limit holds for processes that have not heard of it, after another process has heard
/// it from the engine.
const MAX_LIMIT_AGE: Duration = Duration::from_secs(5);

/// What is expected of a request with a reservation.
#[derive(Clone, Copy, Debug)]
struct Expectation {
    /// Tokens of its prompt and of the expected answer.
    memory_tokens: u32,
    reserved_at: Duration,
    /// Time to its first event at the usual speed, until that is measured.
    first_event: Option<Duration>,
    /// The slowness that the engine reported before, as a factor.
    slowness: Option<f64>,
}

/// The answer to a reservation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// Capacity is reserved.
    Reserved(Reserved),
    /// The request waits until there is capacity; this is its number among the waiting ones.
    Waiting(u64),
    /// There is no capacity.
    Refused,
}

/// A reservation that was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reserved {
    /// Its number.
    pub number: u64,
    /// The work ahead of it.
    pub backlog: Backlog,
}

/// The end of the wait of a reservation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitResult {
    /// The number of the request among the waiting ones.
    pub number: u64,
    /// The reservation, or `None` if the request is refused.
    pub reserved: Option<Reserved>,
}

/// The active reservations at an engine.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    next_number: u64,
    /// The prompt tokens that the engine has not prefilled yet, by reservation number.
    unprefilled_tokens: BTreeMap<u64, u32>,
    /// What is expected of the requests, by reservation number.
    expected: BTreeMap<u64, Expectation>,
    /// What the engine said of itself recently.
    speed: EngineSpeed,
    /// Whether the engine's speed agrees with the measured times to first events.
    judge: SpeedJudge,
    /// When the reservations of the last [`LIMIT_WINDOW`] were made.
    recent: VecDeque<Duration>,
    /// The latest limit that any process knows the engine to name.
    notice: TargetNotice,
    waiting: WaitQueue,
    /// How many requests at once the engine handles well.
    capacity: EngineCapacity,
}

impl Reservations {
    /// How many requests at once the engine handles well.
    pub(super) fn capacity(&self) -> &EngineCapacity {
        &self.capacity
    }

    /// The same, to set it up and to tell it of the engine's reports.
    pub(super) fn capacity_mut(&mut self) -> &mut EngineCapacity {
        &mut self.capacity
    }

    /// Sets what the engine said of itself recently.
    pub fn set_speed(&mut self, speed: EngineSpeed) {
        self.speed = speed;
    }

    /// How long work takes at the engine now, in percent of the usual time: what it says, or what was
    /// measured if that contradicts it. `None` if it says nothing or nothing was measured.
    pub fn slowness_percent(&self) -> Option<u16> {
        let measured = (self.judge.measured_slowdown() * 100.0).round() as u16;
        let is_measured = self.judge.is_judged() && self.speed.slowness_percent.is_some();
        self.reported_slowness_percent()
            .or(is_measured.then_some(measured))
    }

    /// How long work takes by the report of the engine, unless the measured times contradict it.
    fn reported_slowness_percent(&self) -> Option<u16> {
        let is_credible = self.judge.is_credible();
        self.speed.slowness_percent.filter(|_| is_credible)
    }

    /// Adds what the requester knows, and decides whether one more reservation for a prompt of
    /// `prompt_tokens` is allowed. Those released since count as well, so none is made that the
    /// process would not use.
    pub fn is_allowed(
        &mut self,
        now: Duration,
        prompt_tokens: u32,
        terms: &ReservationTerms,
    ) -> bool {
        self.capacity.observe_terms(terms);
        if let Some(limit) = terms.limit {
            self.notice.merge(now, limit);
        }
        self.has_capacity(now, prompt_tokens, terms)
    }

    fn has_capacity(&self, now: Duration, prompt_tokens: u32, terms: &ReservationTerms) -> bool {
        let made_in_last_second = self.made_within(now, RATE_WINDOW);
        let is_below_cold_rate = terms
            .cold_rate_per_second
            .is_none_or(|rate| made_in_last_second < rate as usize);
        let limit = self.notice.requests_per_second();
        let is_known = terms.limit.is_some() || self.notice.limit_age(now) < MAX_LIMIT_AGE;
        let is_below_limit = limit.filter(|_| is_known).is_none_or(|rate| {
            let allowed = (rate * LIMIT_WINDOW.as_secs_f64()).max(1.0) as usize;
            (made_in_last_second as f64) < rate.ceil().max(1.0)
                && self.made_within(now, LIMIT_WINDOW) < allowed
        });
        is_below_cold_rate
            && is_below_limit
            && self.is_acceptable(terms)
            && self.is_on_time(prompt_tokens, terms)
    }

    /// Whether the answer is predicted to be on time, if the requester gave what that depends on.
    fn is_on_time(&self, prompt_tokens: u32, terms: &ReservationTerms) -> bool {
        let Some(timing) = &terms.timing else {
            return true;
        };
        let memory_tokens = self.expected.values().map(|e| u64::from(e.memory_tokens));
        let work = ReservedWork {
            backlog: self.backlog(),
            memory_tokens: memory_tokens.sum(),
            slots: terms.acceptable.requests.saturating_add(1),
        };
        let speed = EngineSpeed {
            slowness_percent: self.reported_slowness_percent(),
            ..self.speed
        };
        timing::should_accept(timing, &speed, &work, prompt_tokens)
    }

    /// Whether the request would be sent with the present backlog.
    fn is_acceptable(&self, terms: &ReservationTerms) -> bool {
        let mut acceptable = terms.acceptable;
        // Less urgent requests leave slots free of those that the engine handles well.
        if let Some(limit) = self.capacity.limit_for(terms) {
            acceptable.requests = acceptable.requests.min(limit.saturating_sub(1));
        }
        if let Some(claim) = terms.claim.filter(|claim| !claim.is_below_minimum) {
            let limit = acceptable.requests.saturating_add(1);
            acceptable.requests = limit_for_level(limit, claim.rank.level) - 1;
        }
        acceptable.includes(self.backlog())
    }

    /// Makes a reservation, lets the request wait for one, or refuses it.
    pub fn request(
        &mut self,
        now: Duration,
        prompt_tokens: u32,
        terms: &ReservationTerms,
    ) -> ReservationAnswer {
        let claim = terms.claim.as_ref();
        if !self.waiting.has_earlier(now, claim) && self.is_allowed(now, prompt_tokens, terms) {
            let reserved = self.reserve_for(now, prompt_tokens, terms);
            return ReservationAnswer::Reserved(reserved);
        }
        match terms.claim.filter(|claim| self.waiting.accepts(now, claim)) {
            Some(claim) => {
                let number = self.waiting.push(prompt_tokens, terms, claim);
                ReservationAnswer::Waiting(number)
            }
            None => ReservationAnswer::Refused,
        }
    }

    /// Makes reservations for waiting requests, in their order, as far as there is capacity.
    pub fn grant_waiting(&mut self, now: Duration) -> Vec<WaitResult> {
        let mut results = Vec::new();
        while let Some(first) = self.waiting.first(now).copied() {
            if !self.has_capacity(now, first.prompt_tokens, &first.terms) {
                break;
            }
            self.waiting.remove(first.number);
            let reserved = self.reserve_for(now, first.prompt_tokens, &first.terms);
            results.push(WaitResult {
                number: first.number,
                reserved: Some(reserved),
            });
        }
        results
    }

    /// Refuses all waiting requests.
    pub fn refuse_waiting(&mut self) -> Vec<WaitResult> {
        let numbers = self.waiting.clear().into_iter();
        let refuse = |number| WaitResult {
            number,
            reserved: None,
        };
        numbers.map(refuse).collect()
    }

    /// Ends the wait of a request whose time is over or whose caller has left.
    pub fn stop_waiting(&mut self, number: u64) {
        self.waiting.remove(number);
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn reserve_for(
        &mut self,
        now: Duration,
        prompt_tokens: u32,
        terms: &ReservationTerms,
    ) -> Reserved {
        if let Some(claim) = terms.claim {
            let answer_tokens = terms.timing.map_or(0, |timing| timing.answer_tokens);
            let tokens = prompt_tokens.saturating_add(answer_tokens);
            self.waiting.record_work(now, claim.team, tokens);
        }
        let (number, backlog) = self.reserve(now, prompt_tokens, terms);
        Reserved { number, backlog }
    }

    /// The latest limit that any process knows the engine to name, if it limits its requests or has
    /// done so.
    pub fn limit(&self, now: Duration) -> Option<AgedLimit> {
        self.notice.limit_for_others(now)
    }

    fn made_within(&self, now: Duration, window: Duration) -> usize {
        let is_recent = |at: &&Duration| now.saturating_sub(**at) < window;
        self.recent.iter().rev().take_while(is_recent).count()
    }

    fn forget_old(&mut self, now: Duration) {
        let is_outdated = |at: &Duration| now.saturating_sub(*at) >= LIMIT_WINDOW;
        while self.recent.front().is_some_and(is_outdated) {
            self.recent.pop_front();
        }
    }

    /// Reserves capacity for a prompt of `prompt_tokens`. Returns the number of the reservation and
    /// the backlog ahead of it.
    pub fn reserve(
        &mut self,
        now: Duration,
        prompt_tokens: u32,
        terms: &ReservationTerms,
    ) -> (u64, Backlog) {
        let backlog = self.backlog();
        let number = self.next_number;
        self.next_number += 1;
        self.forget_old(now);
        self.recent.push_back(now);
        self.unprefilled_tokens.insert(number, prompt_tokens);
        let first_event = |timing| timing::predict(timing, 1.0, backlog, prompt_tokens).first_event;
        let answer_tokens = terms.timing.map_or(0, |timing| timing.answer_tokens);
        let expectation = Expectation {
            memory_tokens: prompt_tokens.saturating_add(answer_tokens),
            reserved_at: now,
            first_event: terms.timing.as_ref().map(first_event),
            slowness: self.speed.slowness_percent.map(|p| f64::from(p) / 100.0),
        };
        self.expected.insert(number, expectation);
        self.capacity
            .record_grant(now, number, prompt_tokens, backlog.requests + 1, terms);
        (number, backlog)
    }

    /// Records that the engine has prefilled the prompt. Does nothing if the reservation was
    /// released. Returns the change of the learned limit if it is to be recorded.
    pub fn record_prompt_prefilled(&mut self, now: Duration, number: u64) -> Option<Change> {
        if let Some(expectation) = self.expected.get_mut(&number) {
            let actual = now.saturating_sub(expectation.reserved_at);
            if let Some(expected) = expectation.first_event.take() {
                self.judge.record(expected, actual, expectation.slowness);
            }
        }
        if let Some(tokens) = self.unprefilled_tokens.get_mut(&number) {
            *tokens = 0;
        }
        let requests = self.backlog().requests;
        self.capacity.record_prefilled(now, number, requests)
    }

    /// Releases a reservation.
    pub fn release(&mut self, number: u64) {
        self.expected.remove(&number);
        self.capacity.release(number);
        self.unprefilled_tokens.remove(&number);
    }

    /// The reserved requests and the prompt tokens that the engine has not prefilled yet.
    pub fn backlog(&self) -> Backlog {
        let tokens = self.unprefilled_tokens.values().copied();
        Backlog {
            requests: u32::try_from(self.unprefilled_tokens.len()).unwrap_or(u32::MAX),
            unprefilled_tokens: tokens.fold(0, u32::saturating_add),
        }
    }
}
