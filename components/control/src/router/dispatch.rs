//! Dispatches requests to targets and queues those for which no target has capacity.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use record::Decision;
use utils::millis::millis;
use utils::Name;

use super::demand::TypicalRequest;
use super::pending::Pending;
use super::queue::QueuedRequest;
use super::region_path::{
    remote_region,
    RemoteTerms, //
};
use super::rejection::RejectionReason;
use super::selection::{
    self,
    Choice,
    Requirements,
    VersionConstraint, //
};
use super::state::State;
use super::{
    Effect,
    ForwardRequest, //
};

/// The maximum time that a stream to be resumed is queued. It is short because the caller has
/// already received a part of the answer and sees a pause.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(400);

impl State {
    /// Sends a request to a target, queues it, or rejects it.
    pub(super) fn dispatch_or_queue(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let service = pending.service.name.clone();
        let rank = pending.queue_rank();
        let response_started = pending.response_started;
        let queue = self.queues.entry(service.clone()).or_default();
        let is_next = response_started || queue.iter().all(|queued| queued.rank > rank);
        if is_next && self.try_dispatch(now, token, effects) {
            return;
        }
        if self.choose(now, token) == Some(Choice::NoTarget) {
            let reason = if self.arrives_after_caller_left(now, token) {
                RejectionReason::TimedOut
            } else {
                RejectionReason::NoTarget
            };
            self.reject(now, token, reason, effects);
            return;
        }
        if self.wait_at_agent(now, token, effects) {
            return;
        }
        self.enqueue(now, token, effects);
    }

    /// Counts a new request if it competes with others.
    pub(super) fn record_demand(&mut self, now: Duration, pending: &Pending) {
        let Some(level) = pending.priority_level else {
            return;
        };
        let demand = self.demand.entry(pending.service.name.clone());
        demand.or_default().record_received(
            now,
            level,
            pending.route.latency_objective,
            pending.prompt_tokens,
        );
    }

    /// How much less urgent a request is than the most urgent ones that it competes with now, if there
    /// is overload.
    pub(super) fn claim_level(&self, pending: &Pending) -> Option<u8> {
        let demand = self.demand.get(&pending.service.name)?;
        pending.claim_level().filter(|_| demand.is_overloaded())
    }

    /// A typical request of those for which this one leaves room. One that is too late for an answer
    /// on time leaves room for the next less urgent priority as well.
    fn urgent_request(&self, now: Duration, pending: &Pending) -> Option<TypicalRequest> {
        let demand = self.demand.get(&pending.service.name)?;
        let level = self.claim_level(pending)?;
        if pending.is_overdue() {
            demand.typical_request(now, ..=level)
        } else {
            demand.typical_request(now, ..level)
        }
    }

    /// Whether the priority of a request is served less often than its minimum share.
    fn is_below_minimum(&self, now: Duration, pending: &Pending) -> bool {
        let demand = self.demand.get(&pending.service.name);
        let level = pending.priority_level;
        level.is_some_and(|level| demand.is_some_and(|d| d.is_below_minimum(now, level)))
    }

    /// Queues a request, or rejects it at once if it is expected to wait too long.
    pub(super) fn enqueue(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let service = pending.service.name.clone();
        let rank = pending.queue_rank();
        let (response_started, dispatch_by) = (pending.response_started, pending.dispatch_by);
        let until = if response_started {
            now + MAX_RESUME_WAIT
        } else {
            dispatch_by
        };
        let queue = self.queues.entry(service).or_default();
        let wait = queue.expected_wait(now, rank);
        // A caller that returns while others wait is told at once to come back later.
        let is_hopeless = rank.is_overdue && !queue.is_empty();
        if !response_started && (is_hopeless || now.saturating_add(wait) > until) {
            self.reject(now, token, RejectionReason::Overload, effects);
            return;
        }
        let request = QueuedRequest { token, rank, until };
        if response_started {
            queue.push_front(request);
        } else {
            queue.push(request);
        }
        effects.push(Effect::ScheduleQueueTimeout(token, until));
    }

    /// Dispatches queued requests in order until no target has capacity.
    pub(super) fn dispatch_queued(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let services: Vec<Name> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            while let Some(token) = self.first_queued(&service) {
                if !self.try_dispatch(now, token, effects) {
                    break;
                }
                if let Some(queue) = self.queues.get_mut(&service) {
                    queue.remove(token);
                }
            }
        }
    }

    fn first_queued(&self, service: &Name) -> Option<u64> {
        let queue = self.queues.get(service)?;
        queue.iter().next().map(|request| request.token)
    }

    /// What a request requires of its target now.
    pub(super) fn requirements<'a>(
        &'a self,
        now: Duration,
        pending: &'a Pending,
    ) -> Requirements<'a> {
        let team = pending.access.team();
        let team_regions = team.map(|team| team.allowed_regions.as_slice());
        let model = pending.service.engine_profile.as_ref().map(|e| &e.model);
        let oldest = model.and_then(|model| self.oldest_version(now, model));
        let versions = match (pending.version.filter(|_| pending.response_started), oldest) {
            (Some(version), _) => VersionConstraint::Exactly(version),
            (None, Some(oldest)) => VersionConstraint::AtLeast(oldest),
            (None, None) => VersionConstraint::Any,
        };
        let named_versions = model.and_then(|model| self.required_versions.get(model));
        Requirements {
            service: &pending.service,
            allowed_regions: [
                &pending.route.allowed_regions,
                team_regions.unwrap_or_default(),
            ],
            versions,
            tried_targets: &pending.tried_targets,
            prompt_tokens: pending.prompt_tokens,
            time_left: if pending.response_started || pending.service.engine_profile.is_none() {
                Duration::MAX
            } else {
                pending.due.saturating_sub(now)
            },
            is_overdue: pending.is_overdue(),
            may_wait: if pending.response_started {
                Duration::ZERO
            } else {
                pending.dispatch_by.saturating_sub(now)
            },
            claim_level: self.claim_level(pending),
            is_below_minimum: self.is_below_minimum(now, pending),
            urgent_request: self.urgent_request(now, pending),
            uses_reservations: self.options.uses_reservations,
            process_count: self.process_count.get(),
            learned_capacity: self.capacity_terms(),
            remote: RemoteTerms {
                paths: &self.paths,
                required_versions: named_versions.map_or(&[], Vec::as_slice),
                version_grace: self.options.version_grace,
                caller_leaves_at: pending.caller_leaves_at(),
                is_resumed: pending.response_started,
            },
        }
    }

    /// Selects a target for a request, without sending it.
    pub(super) fn choose(&mut self, now: Duration, token: u64) -> Option<Choice> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let service = self.pending.get(&token)?.service.name.clone();
        let mut spillover = self.spillovers.remove(&service).unwrap_or_default();
        let pending = self.pending.get(&token)?;
        let requirements = self.requirements(now, pending);
        let choice = selection::choose(
            now,
            &self.targets,
            &self.options.location,
            &self.out_data_centres,
            &requirements,
            &mut spillover,
            || rng.random(),
        );
        self.spillovers.insert(service, spillover);
        Some(choice)
    }

    /// Sends a request, or reserves capacity for it, if a target has capacity. Rejects it if the
    /// configuration's lease has expired. Returns whether one of these was done, so that the
    /// request need not be queued.
    fn try_dispatch(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) -> bool {
        let Some(Choice::Target(id)) = self.choose(now, token) else {
            return false;
        };
        if let Some(reason) = self.reason_not_to_send(now, token) {
            self.reject(now, token, reason, effects);
            return true;
        }
        if self.reserve(now, token, &id, effects) {
            return true;
        }
        self.set_expected_response_time(now, token, &id);
        self.assign(now, token, &id);
        self.forward(now, token, &id, effects);
        true
    }

    /// Why a request must not be sent to any target, if so: its time is over, or that of the version of its
    /// answer, it would not end before this process, the configuration is too old, its caller may not have it
    /// run any more or the request was quarantined while it waited. Streams that are resumed began under a
    /// configuration that was in force.
    pub(super) fn reason_not_to_send(&self, now: Duration, token: u64) -> Option<RejectionReason> {
        let pending = self.pending.get(&token)?;
        // The timers for it may be late if the process stood still.
        if now >= pending.deadline {
            return Some(RejectionReason::TimedOut);
        }
        if self.cannot_resume(now, pending) {
            return Some(RejectionReason::MayHaveRun);
        }
        if !pending.response_started && !self.ends_in_time(now, pending) {
            return Some(RejectionReason::Stopping);
        }
        if !pending.response_started && !self.lease.allows(now, pending.access.depends_on_keys()) {
            return Some(RejectionReason::StaleConfiguration);
        }
        if pending.is_denied() {
            return Some(RejectionReason::UnknownKey);
        }
        self.quarantine_reason(
            now,
            Some(token),
            pending.fingerprint,
            &pending.shared_prompt_parts,
        )
    }

    /// Whether no target may go on with the answer that the caller has a part of: its version is not known,
    /// or may not begin answers any more.
    pub(super) fn cannot_resume(&self, now: Duration, pending: &Pending) -> bool {
        let engine = pending.service.engine_profile.as_ref();
        let oldest = engine.and_then(|engine| self.oldest_version(now, &engine.model));
        pending.response_started && (pending.version.is_none() || pending.version < oldest)
    }

    /// Stores the expected response time of a request at the target that it will be sent to.
    pub(super) fn set_expected_response_time(&mut self, now: Duration, token: u64, id: &Name) {
        let (Some(pending), Some(target)) = (self.pending.get(&token), self.targets.get(id)) else {
            return;
        };
        let expected =
            selection::expected_response_time(now, target, &self.requirements(now, pending));
        let reported_slowness = target.load.reported_slowness(now);
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.expected_response_time = expected;
            pending.reported_slowness = reported_slowness;
        }
    }

    /// Assigns a request to a target and counts it in the target's load.
    pub(super) fn assign(&mut self, now: Duration, token: u64, id: &Name) {
        let service = self.pending.get(&token).map(|p| p.service.clone());
        if let Some(service) = service {
            self.account_share(now, id, &service);
        }
        let (Some(pending), Some(target)) =
            (self.pending.get_mut(&token), self.targets.get_mut(id))
        else {
            return;
        };
        target.load.add_request(pending.prompt_tokens);
        pending.is_prefill_pending = true;
        pending.target_started_at_ms = target.entry.started_at_ms;
        pending.assignment = Some((id.clone(), now));
    }

    /// Cancels the assignment of a request that was not sent, and removes it from the load of the
    /// target.
    pub(super) fn unassign(&mut self, token: u64) {
        self.mark_prefilled(token);
        let assignment = self
            .pending
            .get_mut(&token)
            .and_then(|pending| pending.assignment.take());
        let target = assignment.and_then(|(id, _)| self.targets.get_mut(&id));
        if let Some(target) = target {
            target.load.remove_request();
        }
    }

    /// Sends a request to a target.
    pub(super) fn forward(
        &mut self,
        now: Duration,
        token: u64,
        id: &Name,
        effects: &mut Vec<Effect>,
    ) {
        let lease_ms = self.lease_age_ms(now);
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let sent_parts = self.sent_parts(now, pending);
        self.record_test(now, token, id, effects);
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let model = pending
            .service
            .engine_profile
            .as_ref()
            .map(|engine| &engine.model);
        let version = self.targets.get(id).and_then(|target| target.entry.version);
        let first_event_deadline =
            model.and_then(|model| self.first_event_deadline(model, version));
        let requirements = self.requirements(now, pending);
        let target = self.targets.get(id);
        let required_version = target.and_then(selection::required_version);
        let limits = target.map(|target| selection::rate_limits(now, target, &requirements));
        let limits = limits.unwrap_or_default();
        let location = &self.options.location;
        let path = target.and_then(|target| requirements.remote.known_path(now, target, location));
        let (Some(pending), Some(target)) =
            (self.pending.get_mut(&token), self.targets.get_mut(id))
        else {
            return;
        };
        if let Some(rate) = limits.cold {
            target.spend_cold_allowance(now, rate);
        }
        if let Some(rate) = limits.own {
            target.spend_limit_allowance(now, rate);
        }
        let missing_since = target.missing.map(|period| period.began_at);
        let load = target.load.total_requests(now);
        let notice_age = millis(target.notice.limit_age(now));
        let limit = target
            .notice
            .requests_per_second()
            .map(|rate| (rate, notice_age));
        let demand = self.demand.get_mut(&pending.service.name);
        if let (Some(level), Some(demand), true) = (
            pending.priority_level,
            demand,
            pending.tried_targets.is_empty(),
        ) {
            demand.record_served(now, level);
        }
        pending.counted_in = limits;
        pending.tried_targets.push(id.clone());
        pending.sent_parts = sent_parts;
        pending.answering_since = None;
        pending.was_silent = false;
        pending.requests_at_start = load.round() as u32;
        pending.requests_at_answer = None;
        pending.slowness_percent = None;
        pending.assignment = Some((id.clone(), now));
        let request = ForwardRequest {
            target: id.clone(),
            address: target.entry.address,
            remote_region: remote_region(target, location).cloned(),
            team: pending.access.team().map(|team| team.name.clone()),
            version: required_version,
            attempt: pending.attempts(),
            priority: pending.target_priority(),
            deadline: pending.deadline,
            idle_timeout: pending.idle_timeout(),
            pause_timeout: pending.pause_timeout(),
            first_event_deadline,
            is_stream: pending.route.repeatability.is_stream(),
        };
        effects.push(Effect::Record(Decision::Forward {
            request: pending.id.clone(),
            route: pending.route.name.clone(),
            service: pending.service.name.clone(),
            team: request.team.clone(),
            target: id.clone(),
            attempt: request.attempt,
            waited_ms: millis(now.saturating_sub(pending.arrived)),
            lease_ms,
            load: load.round() as u32,
            asked: pending.reservation_attempts,
            way_ms: pending.reservation_round_trip.take().map(millis),
            path_ms: path.map(|path| millis(path.round_trip)),
            path_age_ms: path.and_then(|path| path.age).map(millis),
            limit,
            version: request.version,
            without_key: pending.access.reason_without_key(),
            missing_ms: missing_since.map(|since| millis(now.saturating_sub(since))),
        }));
        effects.push(Effect::Forward(token, request));
    }
}
