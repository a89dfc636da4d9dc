//! The reservation requests that wait at an agent until its engine has capacity.
//!
//! Answers an overload in which requests of different priorities and teams come to many entries. Each
//! entry sees only its own requests, so a slot would go to whichever entry asks first. The agent sees
//! the requests of all entries for its engine and grants a free slot to the one that comes first by
//! priority and team.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use protocol::{
    Claim,
    ReservationTerms, //
};

use crate::decaying_count::DecayingCount;

/// Time constant of the departure rate.
const DEPARTURE_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Time constant of the recent work of a team.
const TEAM_WORK_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// How long less urgent requests leave more slots free after a more urgent one found no capacity. It is
/// about the time that such a request can wait.
const SHORTAGE_TIME: Duration = Duration::from_millis(300);

/// How many times as much of the recent work as another team a team may get while the other one finds
/// no capacity.
const MAX_WORK_RATIO: f64 = 2.0;

/// Number of requests ahead up to which a request may wait before the departure rate is known.
const MAX_AHEAD_WITHOUT_RATE: usize = 1;

/// Recent work of a team, in tokens, below which the team is forgotten.
const MIN_TEAM_WORK: f64 = 1.0;

fn is_shortage_recent(now: Duration, at: Duration) -> bool {
    now.saturating_sub(at) < SHORTAGE_TIME
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    /// Identifies it among those that wait at this agent; later ones have higher numbers.
    pub number: u64,
    pub prompt_tokens: u32,
    pub terms: ReservationTerms,
    pub claim: Claim,
}

/// The requests that wait at an agent.
#[derive(Clone, Debug)]
pub(super) struct WaitQueue {
    requests: Vec<WaitingRequest>,
    last_number: u64,
    departures: DecayingCount,
    /// When a request of a priority level and a team last found no capacity at once.
    shortages: BTreeMap<(u8, Option<u64>), Duration>,
    /// The recent work of each team, in tokens.
    team_work: BTreeMap<Option<u64>, DecayingCount>,
}

impl Default for WaitQueue {
    fn default() -> Self {
        Self {
            requests: Vec::new(),
            last_number: 0,
            departures: DecayingCount::new(DEPARTURE_RATE_TIME_CONSTANT),
            shortages: BTreeMap::new(),
            team_work: BTreeMap::new(),
        }
    }
}

impl WaitQueue {
    /// Adds a request and returns its number.
    pub fn push(&mut self, prompt_tokens: u32, terms: &ReservationTerms, claim: Claim) -> u64 {
        self.last_number += 1;
        self.requests.push(WaitingRequest {
            number: self.last_number,
            prompt_tokens,
            terms: *terms,
            claim,
        });
        self.last_number
    }

    /// Removes a request. Returns whether it was waiting.
    pub fn remove(&mut self, number: u64) -> bool {
        let old_length = self.requests.len();
        self.requests.retain(|request| request.number != number);
        self.requests.len() != old_length
    }

    /// Removes all requests and returns their numbers.
    pub fn clear(&mut self) -> Vec<u64> {
        let requests = std::mem::take(&mut self.requests);
        requests.iter().map(|request| request.number).collect()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The request that gets capacity first.
    pub fn first(&self, now: Duration) -> Option<&WaitingRequest> {
        let order = |a: &&WaitingRequest, b: &&WaitingRequest| {
            self.compare(now, &a.claim, &b.claim)
                .then(a.number.cmp(&b.number))
        };
        self.requests.iter().min_by(order)
    }

    /// Whether a waiting request gets capacity before a new one with this claim. Requests without a
    /// claim take part in no order, so waiting requests go first.
    pub fn has_earlier(&self, now: Duration, claim: Option<&Claim>) -> bool {
        match claim {
            Some(claim) => self.ahead_of(now, claim) > 0,
            None => !self.requests.is_empty(),
        }
    }

    /// Whether a new request may wait: it is expected to get capacity in time.
    pub fn accepts(&self, now: Duration, claim: &Claim) -> bool {
        if claim.max_wait_ms == 0 {
            return false;
        }
        let ahead = self.ahead_of(now, claim);
        let rate = self.departures.per_second(now);
        let max_wait = Duration::from_millis(claim.max_wait_ms.into());
        ahead <= MAX_AHEAD_WITHOUT_RATE || (ahead + 1) as f64 <= rate * max_wait.as_secs_f64()
    }

    /// Records that a request found no capacity at once.
    pub fn record_shortage(&mut self, now: Duration, claim: &Claim) {
        self.shortages.retain(|_, at| is_shortage_recent(now, *at));
        let requester = (claim.rank.priority_level, claim.team);
        self.shortages.insert(requester, now);
    }

    /// Whether a more urgent request, or one of a team that got much less of the engine's recent work,
    /// found no capacity just before. One more slot is then left free for such requests, of which the
    /// next may come to any other entry.
    pub fn yields_to_others(&self, now: Duration, claim: &Claim) -> bool {
        let own_level = claim.rank.priority_level;
        let own_work = self.work_of(now, claim.team);
        let goes_first = |level: u8, team: Option<u64>| {
            level < own_level
                || (level == own_level && self.work_of(now, team) * MAX_WORK_RATIO < own_work)
        };
        let mut recent = self
            .shortages
            .iter()
            .filter(|(_, at)| is_shortage_recent(now, **at));
        !claim.is_below_minimum && recent.any(|((level, team), _)| goes_first(*level, *team))
    }

    /// The recent work of a team, in tokens.
    fn work_of(&self, now: Duration, team: Option<u64>) -> f64 {
        let work = self.team_work.get(&team);
        work.map_or(0.0, |work| work.get(now))
    }

    /// Records that a request has left the engine.
    pub fn record_departure(&mut self, now: Duration) {
        self.departures.add(now, 1.0);
    }

    /// Records work that the engine was given for a team.
    pub fn record_work(&mut self, now: Duration, team: Option<u64>, tokens: u32) {
        let work = self.team_work.entry(team);
        let work = work.or_insert_with(|| DecayingCount::new(TEAM_WORK_TIME_CONSTANT));
        work.add(now, f64::from(tokens));
        self.team_work
            .retain(|_, work| work.get(now) >= MIN_TEAM_WORK);
    }

    fn ahead_of(&self, now: Duration, claim: &Claim) -> usize {
        let is_ahead = |request: &&WaitingRequest| self.compare(now, &request.claim, claim).is_le();
        self.requests.iter().filter(is_ahead).count()
    }

    fn compare(&self, now: Duration, a: &Claim, b: &Claim) -> Ordering {
        let work = |claim: &Claim| self.work_of(now, claim.team);
        b.is_below_minimum
            .cmp(&a.is_below_minimum)
            .then(a.rank.cmp(&b.rank))
            .then_with(|| work(a).total_cmp(&work(b)))
    }
}
