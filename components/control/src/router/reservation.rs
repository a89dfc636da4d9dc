//! Reserves capacity for requests with the agents of model engines before the requests are sent.
//!
//! Each process knows only its own requests, so many processes would all send to an engine that
//! has just returned without load. The engine's agent counts the requests of all processes.

use std::time::Duration;

use protocol::{
    Backlog,
    Claim,
    ClaimRank,
    EngineCondition,
    ReservationTerms, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use record::Decision;
use utils::{
    rank,
    Name, //
};

use super::pending::Pending;

use super::rejection::RejectionReason;
use super::request_limit;
use super::selection::{
    self,
    Requirements, //
};
use super::state::State;
use super::timing;
use super::{
    Effect,
    ReservationReply,
    ReservationRequest, //
};

/// Reservation attempts of a request after which it is queued. Each reply updates the load that the
/// next choice uses, so further attempts rarely succeed.
const ATTEMPTS_BEFORE_QUEUEING: u32 = 4;

/// Reservation attempts of a request after which it is rejected.
const MAX_ATTEMPTS: u32 = 12;

/// Reservation attempts of a request that competes with others after which it waits at an agent.
const ATTEMPTS_BEFORE_WAITING: u32 = 2;

/// How long a request waits at one agent before it tries another one. While it waits, it misses the
/// slots that become free at other engines.
const MAX_AGENT_WAIT: Duration = Duration::from_millis(30);

/// Number of agents that did not let a request wait long enough after which it waits in the queue of
/// this process.
const MAX_FULL_AGENTS: usize = 4;

/// A shorter wait is not worth a call to an agent of another region.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// How long no reservation is requested from an agent that did not answer.
const AGENT_BACKOFF: Duration = Duration::from_secs(1);

/// Assumed reply of an agent of the own region that does not answer.
const ASSUMED_REPLY: ReservationReply = ReservationReply {
    backlog: Backlog {
        requests: 0,
        unprefilled_tokens: 0,
    },
    accepts_requests: true,
    limit: None,
    condition: EngineCondition {
        slowness_percent: None,
        learned_limit: None,
        waiting: 0,
    },
};

/// What became of a reservation request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AgentAnswer {
    /// The agent replied.
    Reply(ReservationReply),
    /// The instance answered that there is no agent.
    Refused,
    /// Nothing was received.
    Silent,
}

impl AgentAnswer {
    fn reply(self) -> Option<ReservationReply> {
        match self {
            Self::Reply(reply) => Some(reply),
            Self::Refused | Self::Silent => None,
        }
    }
}

impl State {
    /// Requests a reservation from the agent of the target if the target is a model engine, unless
    /// the agent did not answer just before. Returns whether a reservation was requested.
    pub(super) fn reserve(
        &mut self,
        now: Duration,
        token: u64,
        id: &Name,
        effects: &mut Vec<Effect>,
    ) -> bool {
        self.request_reservation(now, token, id, Duration::ZERO, effects)
    }

    /// Lets a request that competes with others wait for capacity at the agent of an engine. The
    /// agent sees the requests of all processes and gives a slot that becomes free to the first of
    /// them by minimum share, priority, team and arrival. Returns whether the request waits or was
    /// rejected, so that it need not be queued.
    pub(super) fn wait_at_agent(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let is_competing = self.pending.get(&token).is_some_and(|pending| {
            self.claim_level(pending).is_some() && !pending.response_started
        });
        if !is_competing || !self.options.uses_reservations {
            return false;
        }
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let Some(pending) = self.pending.get(&token) else {
            return false;
        };
        let time_left = pending.dispatch_by.saturating_sub(now);
        let max_wait = time_left.min(MAX_AGENT_WAIT);
        if max_wait < MIN_WAIT || pending.full_targets.len() >= MAX_FULL_AGENTS {
            return false;
        }
        if let Some(reason) = self.reason_not_to_send(now, token) {
            self.reject(now, token, reason, effects);
            return true;
        }
        let id = selection::choose_to_wait(
            now,
            &self.targets,
            &self.options.location,
            &self.out_data_centres,
            &self.requirements(now, pending),
            &pending.full_targets,
            || rng.random(),
        );
        id.is_some_and(|id| self.request_reservation(now, token, &id, max_wait, effects))
    }

    fn request_reservation(
        &mut self,
        now: Duration,
        token: u64,
        id: &Name,
        max_wait: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let (Some(pending), Some(target)) = (self.pending.get(&token), self.targets.get(id)) else {
            return false;
        };
        let requirements = self.requirements(now, pending);
        if !requirements.needs_agent(target) || now < target.agent_backoff_until {
            return false;
        }
        let claim = claim(pending, &requirements, max_wait);
        let request = ReservationRequest {
            address: target.entry.address,
            prompt_tokens: pending.prompt_tokens,
            terms: ReservationTerms {
                cold_rate_per_second: selection::fleet_cold_rate(now, target, &pending.service),
                limit: target.notice.limit_for_others(now),
                acceptable: selection::acceptable_backlog(now, target, &requirements),
                claim,
                timing: timing::timing(now, target, pending, &requirements),
            },
        };
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.is_reserving = true;
            pending.reservation_attempts += 1;
            pending.acceptable_backlog = request.terms.acceptable;
            pending.may_wait_at_agent = !max_wait.is_zero();
        }
        self.assign(now, token, id);
        effects.push(Effect::Reserve(token, request));
        true
    }

    /// Handles the reply of an agent, or its absence. Without a reply the request is sent in the own
    /// region if what this process knows of the target allows it. The agent of another region may be
    /// behind a full link, so this counts as a refusal.
    pub(super) fn handle_reservation_reply(
        &mut self,
        now: Duration,
        token: u64,
        answer: AgentAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let reply = answer.reply();
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if !std::mem::take(&mut pending.is_reserving) {
            return;
        }
        let Some((id, requested_at)) = pending.assignment.clone() else {
            return;
        };
        let prompt_tokens = pending.prompt_tokens;
        let acceptable = pending.acceptable_backlog;
        let request = pending.id.clone();
        let has_waited = pending.may_wait_at_agent;
        let is_answered = answer != AgentAnswer::Silent;
        self.update_path(now, &id, requested_at, is_answered, has_waited, effects);
        if let Some(limit) = reply.and_then(|reply| reply.limit) {
            self.handle_limit(now, requested_at, token, limit, effects);
        }
        if let Some(target) = self.targets.get_mut(&id) {
            match reply {
                Some(reply) => {
                    target.has_agent_ended = false;
                    target.load.apply_backlog(now, reply.backlog, prompt_tokens);
                    let slowness = reply.condition.slowness_percent;
                    target.load.apply_agent_slowness(now, slowness);
                    target.load.apply_waiting(now, reply.condition.waiting);
                    let learned_limit = reply.condition.learned_limit;
                    target.capacity.set_agent_limit(now, learned_limit);
                }
                None => {
                    target.agent_backoff_until = now + AGENT_BACKOFF;
                    if is_answered {
                        target.has_agent_ended = true;
                    } else {
                        target.agent_silent_until = target.agent_backoff_until;
                    }
                }
            }
            let limit = target.notice.requests_per_second();
            let is_refused = |reply: ReservationReply| {
                !reply.accepts_requests && acceptable.includes(reply.backlog)
            };
            if let (Some(limit), true) = (limit, reply.is_some_and(is_refused)) {
                target.limit_refused_until = now + request_limit::refusal_delay(limit);
            }
        }
        self.record_agent_reachability(&id, reply.is_some(), effects);
        let ReservationReply {
            backlog,
            accepts_requests,
            ..
        } = reply.unwrap_or(ReservationReply {
            accepts_requests: self.may_send_without_reply(token, &id, answer),
            ..ASSUMED_REPLY
        });
        if let Some(reason) = self.reason_not_to_send(now, token) {
            self.unassign(token);
            self.reject(now, token, reason, effects);
        } else if accepts_requests && self.can_accept_reserved(now, token, &id) {
            if let Some(pending) = self.pending.get_mut(&token) {
                let round_trip = now.saturating_sub(requested_at);
                pending.reservation_round_trip = reply.map(|_| round_trip);
            }
            self.forward(now, token, &id, effects);
        } else {
            effects.push(Effect::Record(Decision::NoPlace {
                request,
                target: id.clone(),
                open: accepts_requests,
                requests: backlog.requests,
                unread: backlog.unprefilled_tokens,
            }));
            self.unassign(token);
            self.try_other_target(now, token, id, effects);
        }
    }

    /// Whether a request may be sent although the agent of its target did not reply. An agent that is
    /// silent may be behind a full link, of its region or its instance. A first attempt in the own
    /// region still arrives in time for its caller, a second one may not.
    fn may_send_without_reply(&self, token: u64, id: &Name, answer: AgentAnswer) -> bool {
        let pending = self.pending.get(&token);
        let is_first = pending.is_some_and(|pending| pending.tried_targets.is_empty());
        !self.is_remote(id) && (is_first || answer == AgentAnswer::Refused)
    }

    /// Records that an agent stopped answering or answers again.
    fn record_agent_reachability(&mut self, id: &Name, answers: bool, effects: &mut Vec<Effect>) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.is_agent_unreachable != answers {
            return;
        }
        target.is_agent_unreachable = !answers;
        effects.push(Effect::Record(Decision::Dependency {
            name: format!("agent of {id}").into(),
            up: answers,
            detail: "asked for a place".into(),
        }));
    }

    /// Whether a request may be sent to the target where it has a reservation.
    fn can_accept_reserved(&mut self, now: Duration, token: u64, id: &Name) -> bool {
        // The request itself must not count as load ahead of it.
        self.unassign(token);
        let can_accept = match (self.pending.get(&token), self.targets.get(id)) {
            (Some(pending), Some(target)) => {
                let mut requirements = self.requirements(now, pending);
                // The agent has applied the order among requests that compete.
                requirements.is_below_minimum = true;
                selection::can_accept(
                    now,
                    target,
                    &self.options.location,
                    &self.out_data_centres,
                    &requirements,
                )
            }
            _ => false,
        };
        self.set_expected_response_time(now, token, id);
        self.assign(now, token, id);
        can_accept
    }

    /// Tries another target. After a few attempts the request is queued; after many it is rejected,
    /// since no engine can serve it in time.
    fn try_other_target(
        &mut self,
        now: Duration,
        token: u64,
        refused_by: Name,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if std::mem::take(&mut pending.may_wait_at_agent) {
            pending.full_targets.push(refused_by);
        }
        let is_waiting_next = pending.reservation_attempts >= ATTEMPTS_BEFORE_WAITING;
        if is_waiting_next && self.wait_at_agent(now, token, effects) {
            return;
        }
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        if pending.reservation_attempts >= MAX_ATTEMPTS {
            self.reject(now, token, RejectionReason::Overload, effects);
        } else if pending
            .reservation_attempts
            .is_multiple_of(ATTEMPTS_BEFORE_QUEUEING)
        {
            self.enqueue(now, token, effects);
        } else {
            self.dispatch_or_queue(now, token, effects);
        }
    }
}

/// How a request competes with others, if it does.
fn claim(pending: &Pending, requirements: &Requirements<'_>, max_wait: Duration) -> Option<Claim> {
    let team = pending.access.team();
    Some(Claim {
        rank: ClaimRank {
            level: requirements.claim_level?,
            is_overdue: pending.is_overdue(),
        },
        is_below_minimum: requirements.is_below_minimum,
        team: team.map(|team| rank::hash_key(team.name.as_bytes())),
        max_wait_ms: u32::try_from(max_wait.as_millis()).unwrap_or(u32::MAX),
    })
}
