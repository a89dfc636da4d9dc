//! Requests that come: whether they may be taken, and what is known of them.

use std::time::Duration;

use record::Decision;
use utils::Name;

use super::beliefs::millis;
use super::config::Service;
use super::pending::Pending;
use super::refusals::Reason;
use super::state::State;
use super::table::choose_service;
use super::{
    Arrival,
    Effect,
    Rejection, //
};

/// The time from sending a request to a model engine until its first event, beyond the reading of
/// the prompt, in strides: one until the engine takes it in, one until it has written an event.
const STRIDES_TO_FIRST_EVENT: u32 = 2;

/// The time that a plain target takes for an answer, before anything better is known.
const PLAIN_ANSWER_TIME: Duration = Duration::from_millis(25);

impl State {
    pub(super) fn arrive(&mut self, now: Duration, arrival: Arrival, effects: &mut Vec<Effect>) {
        let token = arrival.token;
        match self.read_arrival(now, &arrival) {
            Ok(pending) => {
                let service = pending.service.name.clone();
                self.budget(&service).earn();
                self.pending.insert(token, pending);
                self.place_or_wait(now, token, effects);
            }
            Err((reason, route)) => {
                let rejection = Rejection {
                    reason,
                    not_run: true,
                    retry_after: self.retry_after(reason),
                };
                effects.push(Effect::Record(Decision::TurnAway {
                    request: arrival.id,
                    route,
                    reason: reason.word().into(),
                    not_run: true,
                    retry_after_ms: rejection.retry_after.map(millis),
                    held_ms: 0,
                    attempts: 0,
                    lease_ms: self.lease_ms(now),
                }));
                effects.push(Effect::Reject(token, rejection));
            }
        }
    }

    /// Finds route, team and service of a request, or why it cannot be taken.
    fn read_arrival(
        &self,
        now: Duration,
        arrival: &Arrival,
    ) -> Result<Pending, (Reason, Option<Name>)> {
        if self.closing {
            return Err((Reason::Stopping, None));
        }
        let Some(table) = &self.table else {
            return Err((Reason::NoConfiguration, None));
        };
        let fresh = self.lease.is_valid(now);
        let final_if_fresh = |reason| {
            if fresh {
                reason
            } else {
                Reason::StaleConfiguration
            }
        };
        let Some(route) = table.route(&arrival.host, &arrival.path) else {
            return Err((final_if_fresh(Reason::NoRoute), None));
        };
        let name = Some(route.name.clone());
        let needs_key = table.has_teams() && !route.is_open;
        let team = arrival.key.as_deref().and_then(|key| table.team(key));
        if needs_key && !fresh {
            return Err((Reason::StaleConfiguration, name));
        }
        if needs_key && team.is_none() {
            return Err((Reason::UnknownKey, name));
        }
        let service = choose_service(route, &arrival.id)
            .and_then(|service| table.config().services.get(service));
        let Some(service) = service else {
            return Err((Reason::NoTarget, name));
        };
        if self.suspects.is_quarantined(arrival.fingerprint) {
            return Err((Reason::Quarantined, name));
        }
        let patience = arrival.timeout.unwrap_or(route.timeout).min(route.timeout);
        let answer_time = answer_time(service, arrival);
        Ok(Pending {
            id: arrival.id.clone(),
            route: route.clone(),
            service: service.clone(),
            team: team.cloned(),
            arrived: now,
            deadline: now + patience,
            due: now + route.objective,
            tokens: arrival.tokens.map_or(0, |(prompt, _)| prompt),
            start_by: now + route.objective.saturating_sub(answer_time).min(patience),
            fingerprint: arrival.fingerprint,
            tried: Vec::new(),
            may_have_run: false,
            at: None,
            is_reserving: false,
            asked: 0,
            expected: Duration::ZERO,
            version: None,
            is_unread: false,
            first: None,
            started: false,
        })
    }
}

/// The time from sending a request until the part of the answer that must be on time.
fn answer_time(service: &Service, arrival: &Arrival) -> Duration {
    let Some(engine) = &service.engine else {
        return PLAIN_ANSWER_TIME;
    };
    let prompt = arrival.tokens.map_or(0, |(prompt, _)| prompt);
    let reading = f64::from(prompt) / engine.read_rate.max(1.0);
    let stride = engine.step * engine.stride.max(1);
    Duration::try_from_secs_f64(reading).unwrap_or_default() + stride * STRIDES_TO_FIRST_EVENT
}
