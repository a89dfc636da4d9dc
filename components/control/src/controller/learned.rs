//! The number of concurrent requests that the engine handles well, learned from its reservations.
//!
//! The agent grants the reservations of all entries, so it knows the number of requests at the engine
//! exactly, and how long each prompt takes from the grant until it is prefilled.

use std::collections::BTreeMap;
use std::time::Duration;

use protocol::{
    Backlog,
    ReservationTerms, //
};

use crate::capacity::{
    Bounds,
    Change,
    LearnedLimit,
    LimitStatus,
    Sample,
    Settings, //
};

use super::timing;
use super::EngineReport;

/// The time that stands for an answer in its usual time. Any would do, since times are compared.
const REFERENCE_TIME: Duration = Duration::from_millis(100);

/// The largest ratio of an answer time to the usual one that is told apart from larger ones.
const MAX_RATIO: f64 = 1e4;

/// A reservation whose prompt is not prefilled.
#[derive(Clone, Copy, Debug)]
struct Grant {
    granted_at: Duration,
    /// Requests at the engine, including this one.
    requests: u32,
    /// Time to its first event at an idle engine of usual speed, if the requester told what that
    /// depends on.
    usual: Option<Duration>,
    /// Number of more urgent priorities for which it leaves slots free.
    priority_level: u8,
}

/// The learned capacity of the agent's engine.
#[derive(Clone, Debug)]
pub(super) struct EngineCapacity {
    settings: Settings,
    learned: LearnedLimit,
    is_active: bool,
    /// The most requests that an entry would have at the engine at once: its slots, since entries
    /// know these from the configuration and agents do not read it.
    slots: Option<u32>,
    /// The slowness that the engine reported last, in percent.
    slowness_percent: Option<u16>,
    grants: BTreeMap<u64, Grant>,
}

impl Default for EngineCapacity {
    fn default() -> Self {
        Self::new(Settings::OFF)
    }
}

/// Whether the requester knows the engine as cold. Cold engines have a rule of their own, and their
/// answers say nothing about the warm engine.
fn is_cold(terms: &ReservationTerms, slots: u32) -> bool {
    // The rate of a warm engine is only named if it is at least one request per slot and second.
    terms.cold_rate_per_second.is_some_and(|rate| rate < slots)
}

fn priority_level(terms: &ReservationTerms) -> u8 {
    let claim = terms.claim.filter(|claim| !claim.is_below_minimum);
    claim.map_or(0, |claim| claim.rank.level)
}

impl EngineCapacity {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            learned: LearnedLimit::default(),
            is_active: false,
            slots: None,
            slowness_percent: None,
            grants: BTreeMap::new(),
        }
    }

    fn bounds(&self) -> Option<Bounds> {
        let slots = self.slots.filter(|_| self.settings.is_enabled)?;
        Some(Bounds::new(self.settings, slots, slots))
    }

    /// Learns the slots of the engine from what a requester would accept.
    pub fn observe_terms(&mut self, terms: &ReservationTerms) {
        let acceptable = terms.acceptable.requests;
        // The largest number means that the requester sets no limit.
        if acceptable < u32::MAX {
            self.slots = self.slots.max(Some(acceptable + 1));
        }
    }

    /// Takes a report of the engine into account: an engine that was away or runs another version is
    /// learned anew.
    pub fn observe_engine(&mut self, before: Option<EngineReport>, now: Option<EngineReport>) {
        let version = |report: Option<EngineReport>| report.and_then(|report| report.version);
        if now.is_none() || version(before) != version(now) {
            self.learned.forget();
            self.grants.clear();
        }
        self.slowness_percent = now.and_then(|now| now.slowness_percent);
        if self.settings.is_enabled && self.slowness_percent.is_some() {
            self.is_active = true;
            self.learned.activate();
        }
    }

    /// The limit for a requester with these terms, in concurrent requests.
    pub fn limit_for(&self, terms: &ReservationTerms) -> Option<u32> {
        let is_cold = self.slots.is_some_and(|slots| is_cold(terms, slots));
        self.limit().filter(|_| !is_cold)
    }

    /// Notes a reservation with which the engine has `requests`.
    pub fn record_grant(
        &mut self,
        now: Duration,
        number: u64,
        prompt_tokens: u32,
        requests: u32,
        terms: &ReservationTerms,
    ) {
        let is_cold = self.slots.is_some_and(|slots| is_cold(terms, slots));
        if self.is_active && !is_cold {
            let usual = |timing| {
                timing::predict(timing, 1.0, Backlog::default(), prompt_tokens).first_event
            };
            let grant = Grant {
                granted_at: now,
                requests,
                usual: terms.timing.as_ref().map(usual),
                priority_level: priority_level(terms),
            };
            self.grants.insert(number, grant);
        }
    }

    /// Learns that the prompt of a reservation is prefilled while the engine has `requests`.
    pub fn record_prefilled(
        &mut self,
        now: Duration,
        number: u64,
        requests: u32,
    ) -> Option<Change> {
        let grant = self.grants.remove(&number)?;
        let duration = now.saturating_sub(grant.granted_at);
        // Prompts differ in size: answers are compared by their ratio to the usual time.
        let ratio = |usual: Duration| duration.as_secs_f64() / usual.as_secs_f64().max(0.001);
        let relative = grant
            .usual
            .map(|usual| REFERENCE_TIME.mul_f64(ratio(usual).min(MAX_RATIO)));
        let sample = Sample {
            started_at: grant.granted_at,
            // The larger: after a burst the engine is as full for the first request as for the last.
            requests: grant.requests.max(requests),
            duration: relative.unwrap_or(duration),
            slowness_percent: self.slowness_percent,
            priority_level: grant.priority_level,
        };
        self.learned.record_answer(now, self.bounds()?, &sample)
    }

    /// Forgets a reservation that was released.
    pub fn release(&mut self, number: u64) {
        self.grants.remove(&number);
    }

    /// The limit, in concurrent requests.
    pub fn limit(&self) -> Option<u32> {
        Some(self.learned.limit(self.bounds()?)? as u32)
    }

    /// The limit for reports.
    pub fn status(&self, now: Duration) -> Option<LimitStatus> {
        self.learned.status(now, self.bounds()?)
    }
}
