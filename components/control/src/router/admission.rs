//! Admits new requests: finds their route, team and service, or rejects them.

use std::time::Duration;

use protocol::AcceptableBacklog;
use record::Decision;
use utils::millis::millis;
use utils::Name;

use super::access::Access;
use super::config::Service;
use super::pending::Pending;
use super::rejection::{
    RejectionReason,
    RETRY_LATER_DELAY, //
};
use super::selection::RateLimits;
use super::state::State;
use super::table::choose_service;
use super::{
    Effect,
    IncomingRequest,
    Rejection, //
};

/// Batch iterations from sending a request to a model engine until its first event, besides the
/// prefill: one until the engine admits the request, one until it has written an event.
const ITERATIONS_TO_FIRST_EVENT: u32 = 2;

/// Assumed time of a plain target to answer.
const PLAIN_ANSWER_TIME: Duration = Duration::from_millis(25);

/// The longest wait of a request that competes with others and whose answer is late anyway, and the
/// part of its time left that it may wait, as a divisor.
const MAX_OVERDUE_WAIT: Duration = Duration::from_secs(1);
const OVERDUE_WAIT_DIVISOR: u32 = 4;

impl State {
    /// Admits a new request and dispatches it, or rejects it.
    pub(super) fn handle_request(
        &mut self,
        now: Duration,
        request: IncomingRequest,
        effects: &mut Vec<Effect>,
    ) {
        let token = request.token;
        match self.admit(now, &request) {
            Ok(pending) => {
                let service = pending.service.name.clone();
                let ends_in_time = self.ends_in_time(now, &pending);
                self.retry_share(now, &service).record_request();
                self.record_demand(now, &pending);
                self.pending.insert(token, pending);
                if ends_in_time {
                    self.dispatch_or_queue(now, token, effects);
                } else {
                    self.reject(now, token, RejectionReason::Stopping, effects);
                }
            }
            Err((reason, route)) => {
                let rejection = Rejection {
                    reason,
                    not_run: true,
                    retry_after: self.retry_after(reason),
                };
                effects.push(Effect::Record(Decision::TurnAway {
                    request: request.request_id,
                    route,
                    reason: reason.as_str().into(),
                    not_run: true,
                    retry_after_ms: rejection.retry_after.map(millis),
                    held_ms: 0,
                    attempts: 0,
                    returned: false,
                    lease_ms: self.lease_age_ms(now),
                }));
                effects.push(Effect::Reject(token, rejection));
            }
        }
    }

    /// Finds the route, team and service of a request, or the reason to reject it and its route.
    fn admit(
        &mut self,
        now: Duration,
        request: &IncomingRequest,
    ) -> Result<Pending, (RejectionReason, Option<Name>)> {
        if self.is_stopping {
            return Err((RejectionReason::Stopping, None));
        }
        let Some(table) = &self.table else {
            return Err((RejectionReason::NoConfiguration, None));
        };
        // A configuration that is too old may lack the route or the key.
        let is_current = self.lease.is_current(now);
        let unless_stale = |reason| {
            if is_current {
                reason
            } else {
                RejectionReason::StaleConfiguration
            }
        };
        let Some(route) = table.route(&request.host, &request.path) else {
            return Err((unless_stale(RejectionReason::NoRoute), None));
        };
        let route_name = Some(route.name.clone());
        let access = table.access(route, request.api_key.as_deref());
        if !self.lease.allows(now, access.depends_on_keys()) {
            return Err((RejectionReason::StaleConfiguration, route_name));
        }
        if access == Access::Denied {
            return Err((unless_stale(RejectionReason::UnknownKey), route_name));
        }
        let service = choose_service(route, &request.request_id)
            .and_then(|service| table.config().services.get(service));
        let Some(service) = service else {
            return Err((RejectionReason::NoTarget, route_name));
        };
        let parts = &request.shared_prompt_parts;
        if let Some(reason) = self.quarantine_reason(now, None, request.fingerprint, parts) {
            return Err((reason, route_name));
        }
        let caller_timeout = request.timeout.unwrap_or(route.timeout);
        let timeout = caller_timeout.min(route.timeout);
        let answer_time = answer_time(service, request);
        let team = access.team();
        let team_priority = team.and_then(|team| team.priority);
        let level = table.priority_level(&service.name, route.priority, team_priority);
        let priority_level = level.filter(|_| service.engine_profile.is_some());
        let team_name = team.map(|team| &team.name);
        let is_return = self
            .first_attempts
            .is_return(now, &route.name, team_name, caller_timeout);
        // A longer objective may still be met after the shortest delay.
        let has_returned = is_return && route.latency_objective <= RETRY_LATER_DELAY;
        let due = if has_returned {
            now
        } else {
            now + route.latency_objective
        };
        let max_wait = if has_returned && priority_level.is_some() {
            MAX_OVERDUE_WAIT.min(timeout / OVERDUE_WAIT_DIVISOR)
        } else {
            let max_wait = route.latency_objective.saturating_sub(answer_time);
            max_wait.min(timeout)
        };
        Ok(Pending {
            id: request.request_id.clone(),
            route: route.clone(),
            service: service.clone(),
            priority_level,
            arrived: now,
            deadline: now + timeout,
            due,
            has_returned,
            prompt_tokens: request
                .prompt_and_max_answer_tokens
                .map_or(0, |(prompt, _)| prompt),
            answer_tokens: answer_tokens(service, request),
            dispatch_by: now + max_wait,
            fingerprint: request.fingerprint,
            shared_prompt_parts: parts.clone(),
            sent_parts: Vec::new(),
            tests: Vec::new(),
            answering_since: None,
            was_silent: false,
            tried_targets: Vec::new(),
            may_have_run: false,
            assignment: None,
            target_started_at_ms: 0,
            counted_in: RateLimits::default(),
            is_reserving: false,
            reservation_attempts: 0,
            may_wait_at_agent: false,
            reservation_round_trip: None,
            api_key: request.api_key.clone(),
            access,
            full_targets: Vec::new(),
            acceptable_backlog: AcceptableBacklog::ANY,
            expected_response_time: Duration::ZERO,
            reported_slowness: None,
            version: None,
            is_prefill_pending: false,
            time_to_first_event: None,
            requests_at_start: 0,
            requests_at_answer: None,
            slowness_percent: None,
            response_started: false,
            silent: None,
        })
    }
}

/// The expected tokens of the answer: the caller's estimate, or else those of a typical answer.
fn answer_tokens(service: &Service, request: &IncomingRequest) -> u32 {
    let profile = service.engine_profile.as_ref();
    let typical = profile.map_or(0, |engine| engine.typical_answer_tokens);
    let max = request.prompt_and_max_answer_tokens.map(|(_, max)| max);
    let expected = request.answer_tokens_hint.unwrap_or(typical);
    expected.min(max.unwrap_or(u32::MAX))
}

/// The assumed time from sending a request until its answer, or the first event of a stream.
fn answer_time(service: &Service, request: &IncomingRequest) -> Duration {
    let Some(engine) = &service.engine_profile else {
        return PLAIN_ANSWER_TIME;
    };
    let prompt = request
        .prompt_and_max_answer_tokens
        .map_or(0, |(prompt, _)| prompt);
    let prefill = f64::from(prompt) / engine.prefill_tokens_per_second.max(1.0);
    let iteration_time = engine.step_time * engine.steps_per_iteration.max(1);
    Duration::try_from_secs_f64(prefill).unwrap_or_default()
        + iteration_time * ITERATIONS_TO_FIRST_EVENT
}
