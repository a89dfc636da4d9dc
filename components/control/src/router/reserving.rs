//! Places at model engines, reserved with the agents beside them before a request is sent.
//!
//! Answers the load of many processes before the same engines: each knows its own requests only,
//! so all would turn to an engine that comes back empty. The agent counts for all of them.

use std::time::Duration;

use protocol::Backlog;
use record::Decision;
use utils::Name;

use super::place;
use super::refusals::Reason;
use super::state::State;
use super::{
    Effect,
    Offer,
    Reserve, //
};

/// Agents that are asked for a place for one request before it waits for room. Each answer tells
/// what the next choice needs, so that more questions find little.
const ASKED_AT_ONCE: u32 = 4;

/// Agents that are asked for a place for one request altogether.
const MOST_ASKED: u32 = 12;

/// How long an agent that did not answer is not asked for places.
const AGENT_REST: Duration = Duration::from_secs(1);

/// Stands for the word of an agent that does not answer.
const UNKNOWN: Offer = Offer {
    ahead: Backlog {
        requests: 0,
        unread: 0,
    },
    is_open: true,
};

impl State {
    /// Asks the agent of a model engine for a place, if there is one to ask.
    pub(super) fn reserve(
        &mut self,
        now: Duration,
        token: u64,
        id: &Name,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let (Some(pending), Some(target)) = (self.pending.get_mut(&token), self.targets.get(id))
        else {
            return false;
        };
        let has_agent = self.options.reserves && pending.service.engine.is_some();
        // The caller of a stream that goes on sees a pause already.
        if !has_agent || pending.started || now < target.agent_rests_until {
            return false;
        }
        pending.is_reserving = true;
        pending.asked += 1;
        let reserve = Reserve {
            address: target.entry.address,
            tokens: pending.tokens,
            cold_rate: place::fleet_cold_rate(now, target, &pending.service),
        };
        self.begin(now, token, id);
        effects.push(Effect::Reserve(token, reserve));
        true
    }

    /// An agent reserved a place, or did not answer in time, in which case the request is sent on
    /// what this process knows by itself.
    pub(super) fn reserved(
        &mut self,
        now: Duration,
        token: u64,
        offer: Option<Offer>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if !std::mem::take(&mut pending.is_reserving) {
            return;
        }
        let Some((id, _)) = pending.at.clone() else {
            return;
        };
        let tokens = pending.tokens;
        let request = pending.id.clone();
        if let Some(target) = self.targets.get_mut(&id) {
            match offer {
                Some(offer) => target.load.hear_backlog(now, offer.ahead, tokens),
                None => target.agent_rests_until = now + AGENT_REST,
            }
        }
        self.note_agent(&id, offer.is_some(), effects);
        let Offer { ahead, is_open } = offer.unwrap_or(UNKNOWN);
        if !self.may_send(now, token) {
            self.release(token);
            self.reject(now, token, Reason::StaleConfiguration, effects);
        } else if is_open && self.is_fit(now, token, &id) {
            self.forward(now, token, &id, effects);
        } else {
            effects.push(Effect::Record(Decision::NoPlace {
                request,
                target: id,
                open: is_open,
                requests: ahead.requests,
                unread: ahead.unread,
            }));
            self.release(token);
            self.look_elsewhere(now, token, effects);
        }
    }

    /// Notes that an agent was lost or is back.
    fn note_agent(&mut self, id: &Name, answers: bool, effects: &mut Vec<Effect>) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.agent_is_lost != answers {
            return;
        }
        target.agent_is_lost = !answers;
        effects.push(Effect::Record(Decision::Dependency {
            name: format!("agent of {id}").into(),
            up: answers,
            detail: "asked for a place".into(),
        }));
    }

    /// Whether a request may go to the target at which it has a place.
    fn is_fit(&mut self, now: Duration, token: u64, id: &Name) -> bool {
        // The request itself must not count as one that stands before it.
        self.release(token);
        let fits = match (self.pending.get(&token), self.targets.get(id)) {
            (Some(pending), Some(target)) => {
                let wish = self.wish(now, pending);
                place::is_fit(now, target, &self.options.location, &self.out, &wish)
            }
            _ => false,
        };
        self.expect(now, token, id);
        self.begin(now, token, id);
        fits
    }

    /// Asks another target. After a few the request waits for room; after many it is refused, since
    /// no engine can serve it in time.
    fn look_elsewhere(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        if pending.asked >= MOST_ASKED {
            self.reject(now, token, Reason::Overload, effects);
        } else if pending.asked.is_multiple_of(ASKED_AT_ONCE) {
            self.wait(now, token, effects);
        } else {
            self.place_or_wait(now, token, effects);
        }
    }
}
