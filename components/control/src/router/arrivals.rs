//! Admits new requests: finds their route, team and service, or rejects them.

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

/// Strides from sending a request to a model engine until its first event, besides the prefill: one
/// until the engine admits the request, one until it has written an event.
const STRIDES_TO_FIRST_EVENT: u32 = 2;

/// Assumed time of a plain target to answer.
const PLAIN_ANSWER_TIME: Duration = Duration::from_millis(25);

impl State {
    /// Admits a new request and dispatches it, or rejects it.
    pub(super) fn handle_arrival(
        &mut self,
        now: Duration,
        arrival: Arrival,
        effects: &mut Vec<Effect>,
    ) {
        let token = arrival.token;
        match self.admit(now, &arrival) {
            Ok(pending) => {
                let service = pending.service.name.clone();
                self.budget(&service).record_request();
                self.pending.insert(token, pending);
                self.dispatch_or_queue(now, token, effects);
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

    /// Finds the route, team and service of a request, or the reason to reject it and its route.
    fn admit(&self, now: Duration, arrival: &Arrival) -> Result<Pending, (Reason, Option<Name>)> {
        if self.is_closing {
            return Err((Reason::Stopping, None));
        }
        let Some(table) = &self.table else {
            return Err((Reason::NoConfiguration, None));
        };
        let lease_valid = self.lease.is_valid(now);
        let unless_stale = |reason| {
            if lease_valid {
                reason
            } else {
                Reason::StaleConfiguration
            }
        };
        let Some(route) = table.route(&arrival.host, &arrival.path) else {
            return Err((unless_stale(Reason::NoRoute), None));
        };
        let route_name = Some(route.name.clone());
        let needs_key = table.has_teams() && !route.is_open;
        let team = arrival.key.as_deref().and_then(|key| table.team(key));
        if needs_key && !lease_valid {
            return Err((Reason::StaleConfiguration, route_name));
        }
        if needs_key && team.is_none() {
            return Err((Reason::UnknownKey, route_name));
        }
        let service = choose_service(route, &arrival.id)
            .and_then(|service| table.config().services.get(service));
        let Some(service) = service else {
            return Err((Reason::NoTarget, route_name));
        };
        if self.suspects.is_quarantined(arrival.fingerprint) {
            return Err((Reason::Quarantined, route_name));
        }
        let timeout = arrival.timeout.unwrap_or(route.timeout).min(route.timeout);
        let answer_time = answer_time(service, arrival);
        Ok(Pending {
            id: arrival.id.clone(),
            route: route.clone(),
            service: service.clone(),
            team: team.cloned(),
            arrived: now,
            deadline: now + timeout,
            due: now + route.objective,
            prompt_tokens: arrival.tokens.map_or(0, |(prompt, _)| prompt),
            dispatch_by: now + route.objective.saturating_sub(answer_time).min(timeout),
            fingerprint: arrival.fingerprint,
            tried_targets: Vec::new(),
            may_have_run: false,
            assignment: None,
            is_reserving: false,
            reservation_attempts: 0,
            expected_response_time: Duration::ZERO,
            version: None,
            is_prefill_pending: false,
            time_to_first_event: None,
            response_started: false,
        })
    }
}

/// The assumed time from sending a request until its answer, or the first event of a stream.
fn answer_time(service: &Service, arrival: &Arrival) -> Duration {
    let Some(engine) = &service.engine else {
        return PLAIN_ANSWER_TIME;
    };
    let prompt = arrival.tokens.map_or(0, |(prompt, _)| prompt);
    let prefill = f64::from(prompt) / engine.read_rate.max(1.0);
    let stride = engine.step * engine.stride.max(1);
    Duration::try_from_secs_f64(prefill).unwrap_or_default() + stride * STRIDES_TO_FIRST_EVENT
}
