//! Handles the outcomes of requests at targets: target health, retries and rejections.

use std::time::Duration;

use protocol::AgedLimit;
use record::Decision;
use utils::millis::millis;
use utils::Name;

use crate::grace::Grace;
use crate::notice::{
    Notice,
    TargetNotice, //
};

use super::crashes::TargetRun;
use super::learned::AnsweredRequest;
use super::load::LoadReport;
use super::pending::Pending;
use super::rejection::RejectionReason;
use super::retry_share::RetryShare;
use super::selection::{
    self,
    Choice, //
};
use super::state::State;
use super::{
    Effect,
    Outcome,
    Rejection,
    Sending, //
};

/// How long a target is kept after its address turned out to belong to another instance, unless the
/// list renews its entry.
const WRONG_INSTANCE_GRACE: Duration = Duration::from_millis(1500);

impl State {
    /// Updates the load, cold start and version of a target from the head of its answer.
    pub(super) fn handle_response_head(
        &mut self,
        now: Duration,
        token: u64,
        load: Option<LoadReport>,
        cold_remaining: Option<Duration>,
        version: Option<u64>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if !pending.response_started {
            pending.version = version;
        }
        pending.answering_since = Some(now);
        let Some((id, since)) = pending.assignment.clone() else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if let Some(load) = load {
            target.load.apply_report(now, load);
        }
        pending.requests_at_answer = Some(target.load.total_requests(now).round() as u32);
        pending.slowness_percent = load.and_then(|load| load.slowness_percent);
        if let Some(cold_remaining) = cold_remaining {
            target.cold_until = target.cold_until.max(now + cold_remaining);
        }
        if version.is_some() && target.entry.version < version {
            target.entry.version = version;
            target.capacity.forget();
        }
        if load.is_some_and(|load| load.slowness_percent.is_some()) {
            self.activate_learning(now, &id, now.saturating_sub(since));
        }
    }

    /// Adds what the target of a request says of itself.
    pub(super) fn handle_notice(
        &mut self,
        now: Duration,
        token: u64,
        notice: Notice,
        effects: &mut Vec<Effect>,
    ) {
        if notice.is_leaving {
            self.remember_unlisted_left(now, token);
        }
        self.update_notice(now, token, effects, |known| known.update(now, notice));
    }

    /// Remembers that the target of a request leaves, if its entry was removed while it answered. A restored
    /// list may name it again.
    fn remember_unlisted_left(&mut self, now: Duration, token: u64) {
        let pending = self.pending.get(&token);
        let assignment = pending.and_then(|pending| pending.assignment.as_ref());
        if let (Some(pending), Some((id, _))) = (pending, assignment) {
            if self.targets.get(id).is_none() {
                let started_at_ms = pending.target_started_at_ms;
                self.targets.remember_left(now, id, started_at_ms);
            }
        }
    }

    /// Adds the limit that an agent knows the target of a request to name, from a reply to a call that
    /// was sent at `called_at`.
    pub(super) fn handle_limit(
        &mut self,
        now: Duration,
        called_at: Duration,
        token: u64,
        limit: AgedLimit,
        effects: &mut Vec<Effect>,
    ) {
        self.update_notice(now, token, effects, |known| known.merge(called_at, limit));
    }

    /// Changes what is known of the target of a request, and records it if `change` returns true.
    fn update_notice(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
        change: impl FnOnce(&mut TargetNotice) -> bool,
    ) {
        let random = self.random_fraction();
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let Some((id, _)) = &pending.assignment else {
            return;
        };
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.update_notice(now, random, change) {
            effects.push(Effect::Record(Decision::TargetNotice {
                target: id.clone(),
                request: pending.id.clone(),
                requests_per_second: target.notice.requests_per_second(),
                age_ms: millis(target.notice.limit_age(now)),
                is_leaving: target.notice.is_leaving(),
                pause_ms: millis(target.notice.pause(now)),
            }));
        }
    }

    /// Records that the caller got the first part of an answer.
    pub(super) fn handle_response_started(&mut self, now: Duration, token: u64) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.response_started = true;
            let assignment = pending
                .assignment
                .as_ref()
                .filter(|_| pending.is_prefill_pending);
            let target = assignment.and_then(|(id, _)| self.targets.get_mut(id));
            if let (Some((_, since)), Some(target)) = (assignment, target) {
                let elapsed = now.saturating_sub(*since);
                pending.time_to_first_event = Some(elapsed);
                // A standstill of this process says nothing of the target.
                if !self.standstill.ended_after(*since) {
                    target.load.record_first_event(
                        pending.expected_response_time,
                        elapsed,
                        pending.reported_slowness,
                    );
                }
            }
        }
        self.mark_prefilled(token);
    }

    /// Removes the prompt of a request from the prompts that its target has yet to prefill: it is
    /// prefilled now, or never will be.
    pub(super) fn mark_prefilled(&mut self, token: u64) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let was_pending = std::mem::take(&mut pending.is_prefill_pending);
        let Some((id, _)) = pending.assignment.as_ref().filter(|_| was_pending) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(id) {
            target.load.remove_prompt(pending.prompt_tokens);
        }
    }

    /// Handles the end of an exchange: retries or rejects the request unless it was answered.
    pub(super) fn handle_exchange_ended(
        &mut self,
        now: Duration,
        token: u64,
        outcome: Outcome,
        longest_pause: Duration,
        sending: Sending,
        effects: &mut Vec<Effect>,
    ) {
        let ended = self.end_exchange(now, token, outcome, longest_pause, sending, effects);
        let Some(run) = ended else {
            return;
        };
        match outcome {
            Outcome::Answered { is_error } => {
                self.record_answer_time(now, token);
                // A failing target may answer with an error before it runs the request.
                if !is_error {
                    self.clear_suspects(now, run, outcome_name(outcome), effects);
                }
                self.pending.remove(&token);
            }
            Outcome::DeadlineExceeded => {
                self.reject(now, token, RejectionReason::TimedOut, effects)
            }
            Outcome::Withheld => self.dispatch_again(now, token, effects),
            _ => self.retry(now, token, effects),
        }
    }

    /// Ends the exchange with the target of a request: updates what is known of the target. Returns the run,
    /// or `None` if the request has no target.
    pub(super) fn end_exchange(
        &mut self,
        now: Duration,
        token: u64,
        outcome: Outcome,
        longest_pause: Duration,
        sending: Sending,
        effects: &mut Vec<Effect>,
    ) -> Option<TargetRun> {
        self.mark_prefilled(token);
        let pending = self.pending.get_mut(&token)?;
        let answered = AnsweredRequest::new(now, pending, longest_pause);
        let run = TargetRun::of_pending(now, pending)?;
        let (id, since) = pending.assignment.take()?;
        effects.push(Effect::Record(Decision::Exchange {
            request: pending.id.clone(),
            target: id.clone(),
            outcome: outcome_name(outcome).into(),
            took_ms: millis(now.saturating_sub(since)),
            sent_after_ms: sending.sent_at.map(|at| millis(at.saturating_sub(since))),
            connected_ms: sending.connected_in.map(millis),
            first_ms: pending.time_to_first_event.take().map(millis),
            pause_ms: millis(longest_pause),
        }));
        let service = pending.service.clone();
        let timed_out = Outcome::IdleTimeout == outcome || Outcome::DeadlineExceeded == outcome;
        if timed_out || matches!(outcome, Outcome::Broken { .. }) {
            pending.may_have_run = true;
        }
        self.queues
            .entry(service.name.clone())
            .or_default()
            .record_departure(now);
        self.account_share(now, &run.target, &service);
        let is_measured = !self.standstill.ended_after(since);
        match (outcome, answered.as_ref().filter(|_| is_measured)) {
            (Outcome::Answered { is_error: false }, Some(answered)) => {
                self.learn_from_answer(now, answered, effects)
            }
            (Outcome::Busy, Some(refused)) => self.learn_from_refusal(now, refused, effects),
            // Failures count for the health of the target alone.
            _ => {}
        }
        self.update_target_after_exchange(now, &run, outcome, effects);
        Some(run)
    }

    fn record_answer_time(&mut self, now: Duration, token: u64) {
        if let Some(pending) = self.pending.get(&token) {
            let times = self.answer_times.entry(pending.route.name.clone());
            let time = now.saturating_sub(pending.arrived);
            times.or_default().record(now, time);
        }
    }

    /// Updates the health, load and version of a target after an exchange with it.
    fn update_target_after_exchange(
        &mut self,
        now: Duration,
        run: &TargetRun,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        match outcome {
            Outcome::Broken {
                connection_lost: true,
            } => self.observe_crash(now, run.clone(), effects),
            Outcome::DeadlineExceeded | Outcome::IdleTimeout => {
                self.unended_runs.add(now, run.clone());
            }
            _ => {}
        }
        let Some(target) = self.targets.get_mut(&run.target) else {
            return;
        };
        target.load.remove_request();
        let was_ejected = target.health.is_ejected(now);
        match outcome {
            Outcome::Answered { is_error: false } => target.health.record_success(),
            Outcome::Answered { is_error: true } => {}
            Outcome::Broken { .. } => {
                target.health.record_failure(now);
            }
            Outcome::NotSent => target.health.record_unreachable(now),
            Outcome::Withheld | Outcome::Superseded => {}
            Outcome::DeadlineExceeded | Outcome::IdleTimeout => {
                target.health.record_failure(now);
            }
            // Assumes that all slots are taken.
            Outcome::Busy => {
                let slots = target.entry.slots.unwrap_or_default();
                let running = slots.max(target.load.own_requests());
                let report = LoadReport {
                    running,
                    queued: 0,
                    slowness_percent: None,
                };
                target.load.apply_report(now, report);
            }
            Outcome::WrongVersion => {
                // It is not used until its agent says what it holds. Plain services have no version.
                target.entry.has_no_weights |= target.entry.version.take().is_some();
            }
            Outcome::WrongInstance => {
                target.set_missing(now, Grace::of(WRONG_INSTANCE_GRACE));
                target.health.record_unreachable(now);
            }
        }
        if !was_ejected && target.health.is_ejected(now) {
            let failing_percent = (target.health.failure_rate() * 100.0).round() as u32;
            effects.push(Effect::Record(Decision::Rest {
                target: run.target.clone(),
                request: run.request.clone(),
                failing_percent,
            }));
        }
    }

    /// Sends a request to another target if it may run again and attempts and budget are left, or
    /// rejects it.
    pub(super) fn retry(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let service = pending.service.name.clone();
        let reason = self.reason_not_to_retry(now, token, pending.may_have_run);
        let is_out_of_retries = reason.is_none() && !self.try_take_retry(now, &service);
        match reason.or(is_out_of_retries.then_some(RejectionReason::OutOfRetries)) {
            Some(reason) => self.reject(now, token, reason, effects),
            None => self.dispatch_or_queue(now, token, effects),
        }
    }

    /// Why a request must not be sent to another target, if so, apart from the retry budget.
    fn reason_not_to_retry(
        &self,
        now: Duration,
        token: u64,
        may_have_run: bool,
    ) -> Option<RejectionReason> {
        let pending = self.pending.get(&token)?;
        let may_run_again = !may_have_run || pending.route.repeatability.may_run_again();
        let attempt_limit = pending.route.attempt_limit.max(1);
        if !may_run_again || self.cannot_resume(now, pending) {
            Some(RejectionReason::MayHaveRun)
        } else if pending.attempts() >= attempt_limit {
            Some(RejectionReason::OutOfAttempts)
        } else if pending.is_denied() {
            Some(RejectionReason::UnknownKey)
        } else if let Some(reason) = self.quarantine_reason(
            now,
            Some(token),
            pending.fingerprint,
            &pending.shared_prompt_parts,
        ) {
            Some(reason)
        } else if now >= pending.deadline || self.arrives_after_caller_left(now, token) {
            Some(RejectionReason::TimedOut)
        } else {
            None
        }
    }

    /// Decides whether a request leaves a target that has been silent for as long as it may be: only if
    /// another one can go on with it, as the answer may still come. Returns that, and the line for the record
    /// if the target was not silent before.
    pub fn handle_silence(&mut self, now: Duration, token: u64) -> (bool, Option<Decision>) {
        let may_leave = self.can_go_on_elsewhere(now, token);
        let Some(pending) = self.pending.get_mut(&token) else {
            return (true, None);
        };
        let Some((id, _)) = &pending.assignment else {
            return (true, None);
        };
        if std::mem::replace(&mut pending.was_silent, true) {
            return (may_leave, None);
        }
        if let Some(target) = self.targets.get_mut(id).filter(|_| !may_leave) {
            target.health.record_failure(now);
        }
        let decision = Decision::Silent {
            request: pending.id.clone(),
            target: id.clone(),
            kept: !may_leave,
            begun: pending.response_started,
        };
        (may_leave, Some(decision))
    }

    /// Whether another target can go on with a request that may have run.
    fn can_go_on_elsewhere(&mut self, now: Duration, token: u64) -> bool {
        let Some(pending) = self.pending.get(&token) else {
            return false;
        };
        let response_started = pending.response_started;
        let service = pending.service.name.clone();
        if self.reason_not_to_retry(now, token, true).is_some()
            || self.reason_not_to_send(now, token).is_some()
        {
            return false;
        }
        let process_count = self.process_count.get();
        let has_retry = self
            .retry_share(now, &service)
            .has_retry(now, process_count);
        // A caller that has a part of the answer does not wait until a target has capacity.
        has_retry
            && match self.choose(now, token) {
                Some(Choice::Target(_)) => true,
                Some(Choice::Full) => !response_started,
                Some(Choice::NoTarget) | None => false,
            }
    }

    /// Rejects a request that is still queued when its queueing time is over.
    pub(super) fn handle_queue_timeout(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let queue = self.queues.get_mut(&pending.service.name);
        if queue.is_some_and(|queue| queue.remove(token)) {
            self.reject(now, token, RejectionReason::WaitedTooLong, effects);
        }
    }

    /// Forgets the request of a caller that has disconnected.
    pub(super) fn handle_caller_disconnected(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&pending.service.name) {
            queue.remove(token);
            if pending.assignment.is_some() {
                queue.record_departure(now);
            }
        }
        effects.push(Effect::Record(Decision::CallerLeft {
            request: pending.id.clone(),
            held_ms: millis(now.saturating_sub(pending.arrived)),
            running: pending.assignment.is_some() || pending.silent.is_some(),
        }));
        self.release_load(now, &pending);
        self.keep_unended_run(now, &pending);
        if let Some(silent) = &pending.silent {
            self.release_load(now, silent);
            self.keep_unended_run(now, silent);
        }
    }

    /// Remembers the run of a request that is given up, since its target may still run it and crash.
    fn keep_unended_run(&mut self, now: Duration, pending: &Pending) {
        if pending.is_reserving {
            return;
        }
        if let Some(run) = TargetRun::of_pending(now, pending) {
            self.unended_runs.add(now, run);
        }
    }

    /// Removes a request that has ended from the load of its target.
    fn release_load(&mut self, now: Duration, pending: &Pending) {
        let Some((id, _)) = &pending.assignment else {
            return;
        };
        if let Some(target) = self
            .targets
            .get_mut(id)
            .filter(|_| pending.is_prefill_pending)
        {
            target.load.remove_prompt(pending.prompt_tokens);
        }
        self.account_share(now, id, &pending.service);
        if let Some(target) = self.targets.get_mut(id) {
            target.load.remove_request();
        }
    }

    /// Ends a request with a rejection, unless a silent target may still go on with its answer.
    pub(super) fn reject(
        &mut self,
        now: Duration,
        token: u64,
        reason: RejectionReason,
        effects: &mut Vec<Effect>,
    ) {
        if self.keep_silent_target(now, token, effects) {
            return;
        }
        let pause = Duration::ZERO;
        let sending = Sending::default();
        let outcome = Outcome::DeadlineExceeded;
        self.end_silent_exchange(now, token, outcome, pause, sending, effects);
        let pause = self.shortest_pause(now, token);
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&pending.service.name) {
            queue.remove(token);
        }
        let is_overload = matches!(
            reason,
            RejectionReason::Overload | RejectionReason::WaitedTooLong
        );
        if let Some(demand) = self.demand.get_mut(&pending.service.name) {
            if is_overload && !pending.has_returned {
                demand.record_rejected(now);
            }
        }
        let not_run = !pending.may_have_run;
        let retry_after = self.retry_after(reason).filter(|_| not_run);
        let retry_after = retry_after.map(|after| after.max(pause));
        effects.push(Effect::Record(Decision::TurnAway {
            request: pending.id.clone(),
            route: Some(pending.route.name.clone()),
            reason: reason.as_str().into(),
            not_run,
            retry_after_ms: retry_after.map(millis),
            held_ms: millis(now.saturating_sub(pending.arrived)),
            attempts: pending.attempts(),
            returned: pending.has_returned,
            lease_ms: self.lease_age_ms(now),
        }));
        let rejection = Rejection {
            reason,
            not_run,
            retry_after,
        };
        effects.push(Effect::Reject(token, rejection));
    }

    /// How long all targets that may serve a request want none, or zero.
    fn shortest_pause(&self, now: Duration, token: u64) -> Duration {
        let pause = self.pending.get(&token).and_then(|pending| {
            selection::shortest_pause(
                now,
                &self.targets,
                &self.options.location,
                &self.out_data_centres,
                &self.requirements(now, pending),
            )
        });
        pause.unwrap_or_default()
    }

    /// The share of this process in the retries of a service.
    pub(super) fn retry_share(&mut self, now: Duration, service: &Name) -> &mut RetryShare {
        let limit = &self.options.retry_limit;
        self.retry_shares
            .entry(service.clone())
            .or_insert_with(|| RetryShare::new(now, limit.clone()))
    }

    fn try_take_retry(&mut self, now: Duration, service: &Name) -> bool {
        let process_count = self.process_count.get();
        self.retry_share(now, service)
            .try_take_retry(now, process_count)
    }

    /// Upper bound of the configuration's age, for the record.
    pub(super) fn lease_age_ms(&self, now: Duration) -> u64 {
        self.lease.age(now).map_or(u64::MAX, millis)
    }
}

/// The name of an outcome in the record.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { is_error: false } => "answered",
        Outcome::Answered { is_error: true } => "target_failed",
        Outcome::Busy => "busy",
        Outcome::WrongInstance => "other_instance",
        Outcome::WrongVersion => "other_version",
        Outcome::NotSent => "not_sent",
        Outcome::Withheld => "withheld",
        Outcome::Broken {
            connection_lost: true,
        } => "lost",
        Outcome::Broken {
            connection_lost: false,
        } => "broken",
        Outcome::IdleTimeout => "silent",
        Outcome::DeadlineExceeded => "timed_out",
        Outcome::Superseded => "superseded",
    }
}
