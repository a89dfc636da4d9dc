//! The entry's handling of requests: routing, retries, resumed streams and error responses.

use std::time::Duration;

use protocol::{
    Crash,
    Fingerprint,
    Guard,
    KeyState,
    Outcome,
    Refusal,
    Work, //
};
use rand::Rng;
use record::{
    Decision,
    RouteRule, //
};
use utils::Name;

use super::choice::{
    Choice,
    Chooser, //
};
use super::state::State;
use super::Effect;
use crate::agent::key_issue_time;

/// A request as received from a caller.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Identifies the request in this process until it ends.
    pub token: u64,
    /// Identifies the request in records.
    pub request: u64,
    /// The model or service that the request is for.
    pub work: Work,
    /// The caller's team.
    pub team: Name,
    /// Hash of the start of the prompt, or of the path. Selects the point on the ring.
    pub prefix: u64,
    /// How the request is protected against running more than once.
    pub guard: Guard,
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// The time until the caller's deadline.
    pub timeout: Duration,
}

/// An error response of this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// Whether it is certain that the request has not run, even if the caller sent it several
    /// times.
    pub not_run: bool,
}

/// A request that has not ended yet.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    incoming: IncomingRequest,
    pub(super) deadline: Duration,
    /// The target of the attempt in progress.
    pub(super) target: Option<Name>,
    /// The silent target whose exchange stays open while another one is asked to continue its response.
    pub(super) silent_target: Option<Name>,
    /// The targets that were tried in this round.
    tried: Vec<Name>,
    /// Whether the caller has received a part of the response.
    pub(super) has_response_started: bool,
    pub(super) is_resumable: bool,
    is_suspect: bool,
    /// Whether an attempt ended with an unknown outcome, so that it may have run.
    pub(super) may_have_run: bool,
    /// When the next round over the targets starts for an interrupted stream.
    pub(super) retry_at: Option<Duration>,
    /// The number of rounds over the targets that were scheduled to resume an interrupted stream.
    resume_rounds: u32,
    /// The last refusal by an agent; [`Refusal::NoTarget`] before the first one.
    last_refusal: Refusal,
}

/// The maximum number of rounds over the targets to resume an interrupted stream.
const MAX_RESUME_ROUNDS: u32 = 5;

/// The mean delay before the first of these rounds; doubles with each further one.
const INITIAL_RESUME_DELAY: Duration = Duration::from_millis(100);

/// The maximum number of targets that a request is sent to in each round.
const MAX_ATTEMPTS: usize = 6;

impl State {
    pub(super) fn handle_arrival(
        &mut self,
        now: Duration,
        incoming: IncomingRequest,
        effects: &mut Vec<Effect>,
    ) {
        self.budget.record_request();
        let token = incoming.token;
        let may_be_retried_elsewhere = self
            .suspects
            .may_be_retried_elsewhere(now, incoming.fingerprint);
        let pending = PendingRequest {
            deadline: now + incoming.timeout,
            target: None,
            silent_target: None,
            tried: Vec::new(),
            has_response_started: false,
            is_resumable: false,
            may_have_run: false,
            retry_at: None,
            resume_rounds: 0,
            is_suspect: self.suspects.is_suspect(incoming.fingerprint),
            last_refusal: Refusal::NoTarget,
            incoming,
        };
        self.pending.insert(token, pending);
        if self.is_draining {
            self.reject_not_run(token, Refusal::Draining, effects);
            return;
        }
        if may_be_retried_elsewhere {
            self.reject_not_run(token, Refusal::SuspectRunning, effects);
            return;
        }
        self.send(now, token, effects);
    }

    pub(super) fn handle_response_start(&mut self, now: Duration, token: u64, resumable: bool) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.has_response_started = true;
            pending.is_resumable = resumable;
            if let Some(target) = &pending.target {
                self.hints.record_success(now, target);
            }
        }
    }

    pub(super) fn handle_send_failure(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.release_target(now, token) else {
            return;
        };
        self.hints.record_unreachable(now, &target);
        if self.has_home(token) {
            let outcome = Outcome::NotRun(Refusal::HomeUnreachable);
            self.reject(token, outcome, false, effects);
            return;
        }
        self.retry(now, token, effects);
    }

    pub(super) fn handle_outcome(
        &mut self,
        now: Duration,
        token: u64,
        outcome: Outcome,
        start_count: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.release_target(now, token) else {
            return;
        };
        self.record_crash(now, token, &target, outcome, start_count, effects);
        match outcome {
            Outcome::Ran { .. } => {
                self.hints.record_success(now, &target);
                self.release_silent_target(now, token);
                if let Some(pending) = self.pending.remove(&token) {
                    self.clear_suspect(now, pending.incoming.fingerprint, effects);
                }
                effects.push(Effect::CompleteResponse(token));
            }
            Outcome::NotRun(refusal) => self.handle_refusal(now, token, &target, refusal, effects),
            Outcome::Before(state) => {
                self.reject(token, Outcome::Before(state), false, effects);
            }
            Outcome::Unknown { crashed } => {
                self.handle_unknown_outcome(now, token, &target, crashed, effects)
            }
        }
    }

    pub(super) fn record_crash(
        &mut self,
        now: Duration,
        token: u64,
        target: &Name,
        outcome: Outcome,
        start_count: u64,
        effects: &mut Vec<Effect>,
    ) {
        let (Outcome::Unknown { crashed: true }, Some(pending)) =
            (outcome, self.pending.get(&token))
        else {
            return;
        };
        let fingerprint = pending.incoming.fingerprint;
        let crash = Crash::of_request(fingerprint, target.clone(), start_count);
        self.record_crashes(now, &[crash], effects);
    }

    pub(super) fn handle_caller_disconnect(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) {
        let had_silent_target = self.release_silent_target(now, token).is_some();
        if self.release_target(now, token).is_some() || had_silent_target {
            effects.push(Effect::StopWaiting(token));
        }
        self.pending.remove(&token);
    }

    /// Starts the next round over the targets for interrupted streams whose delay has passed.
    pub(super) fn resume_deferred(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_due =
            |pending: &PendingRequest| pending.retry_at.is_some_and(|retry_at| retry_at <= now);
        let due_requests = self
            .pending
            .iter_mut()
            .filter(|(_, pending)| is_due(pending));
        let mut due_tokens = Vec::new();
        for (token, pending) in due_requests {
            pending.retry_at = None;
            pending.tried.clear();
            due_tokens.push(*token);
        }
        for token in due_tokens {
            self.send(now, token, effects);
        }
    }

    /// Schedules another round for an interrupted stream, since a target may have capacity by then.
    /// The caller has a part of the response already, so a delayed remainder is better than an
    /// error. Returns whether a round was scheduled.
    fn defer_resume(&mut self, now: Duration, token: u64) -> bool {
        let Some(pending) = self.pending.get_mut(&token) else {
            return false;
        };
        if !pending.has_response_started
            || !pending.is_resumable
            || pending.resume_rounds >= MAX_RESUME_ROUNDS
        {
            return false;
        }
        let delay = INITIAL_RESUME_DELAY * (1 << pending.resume_rounds);
        pending.resume_rounds += 1;
        pending.retry_at = Some(now + delay.mul_f64(self.rng.random_range(0.5..1.5)));
        true
    }

    /// Ends requests whose deadline has passed.
    pub(super) fn expire_requests(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in expired {
            // The agent knows the deadline too and ends a running request itself.
            let had_silent_target = self.release_silent_target(now, token).is_some();
            let was_sent = self.release_target(now, token).is_some();
            if was_sent || had_silent_target {
                effects.push(Effect::StopWaiting(token));
                self.reject(token, Outcome::Unknown { crashed: false }, false, effects);
            } else {
                self.reject_not_run(token, Refusal::Expired, effects);
            }
        }
    }

    fn handle_refusal(
        &mut self,
        now: Duration,
        token: u64,
        target: &Name,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        self.hints.record_refusal(now, target, refusal);
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        pending.last_refusal = refusal;
        if self.has_home(token) {
            // Only the home of a request knows whether an earlier attempt ran; these refusals may
            // come from another process.
            let may_be_another_process = matches!(
                refusal,
                Refusal::NotHome | Refusal::WrongTarget | Refusal::SheetTooOld
            );
            self.reject(
                token,
                Outcome::NotRun(refusal),
                !may_be_another_process,
                effects,
            );
        } else if refusal.may_succeed_elsewhere() {
            self.retry(now, token, effects);
        } else {
            self.give_up(now, token, refusal, effects);
        }
    }

    fn handle_unknown_outcome(
        &mut self,
        now: Duration,
        token: u64,
        target: &Name,
        crashed: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.hints.record_unreachable(now, target);
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        pending.is_suspect |= crashed;
        pending.may_have_run = true;
        if pending.may_be_sent_again() {
            self.retry(now, token, effects);
        } else {
            self.reject(token, Outcome::Unknown { crashed }, false, effects);
        }
    }

    /// Sends a request that did not run, or that is repeatable, to another target.
    pub(super) fn retry(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let last_refusal = pending.last_refusal;
        let is_exhausted = pending.tried.len() >= MAX_ATTEMPTS;
        if is_exhausted && self.defer_resume(now, token) {
            return;
        }
        if is_exhausted || !self.budget.try_take_retry() {
            let refusal = if last_refusal == Refusal::NoTarget {
                Refusal::RetryBudget
            } else {
                last_refusal
            };
            self.give_up(now, token, refusal, effects);
            return;
        }
        self.send(now, token, effects);
    }

    fn send(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        if self.suspects.is_quarantined(pending.incoming.fingerprint) {
            self.give_up(now, token, Refusal::Quarantined, effects);
            return;
        }
        if pending.deadline <= now {
            self.give_up(now, token, Refusal::Expired, effects);
            return;
        }
        let choice = match self.choose_target(now, token) {
            Ok(choice) => choice,
            Err(refusal) => {
                if !self.defer_resume(now, token) {
                    self.give_up(now, token, refusal, effects);
                }
                return;
            }
        };
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        pending.tried.push(choice.target.clone());
        pending.target = Some(choice.target.clone());
        self.hints.record_sent(now, &choice.target);
        effects.push(Effect::Record(Decision::Route {
            request: pending.incoming.request,
            work: pending.incoming.work.name().clone(),
            team: pending.incoming.team.clone(),
            rule: choice.rule,
            target: choice.target.clone(),
            considered: choice.considered.clone(),
            attempt: u32::try_from(pending.tried.len()).unwrap_or(u32::MAX),
        }));
        effects.push(Effect::Send {
            token,
            target: choice.target,
            is_suspect: pending.is_suspect,
            timeout: pending.deadline.saturating_sub(now),
        });
        self.probe(now, &choice.considered, effects);
    }

    fn choose_target(&mut self, now: Duration, token: u64) -> Result<Choice, Refusal> {
        let Some(pending) = self.pending.get(&token) else {
            return Err(Refusal::NoTarget);
        };
        if let Some(home) = self.home_target(&pending.incoming)? {
            return Ok(Choice {
                considered: vec![home.clone()],
                target: home,
                rule: RouteRule::Home,
            });
        }
        let name = pending.incoming.work.name();
        let ring = self.rings.get(name).ok_or(Refusal::NoTarget)?;
        let chooser = Chooser {
            now,
            ring,
            hints: &self.hints,
            instances: self.follower.instances(),
            ramp_ups: &self.ramp_ups,
            ramp_time: self.options.ramp_time,
        };
        let last_refusal = pending.last_refusal;
        chooser
            .choose(&mut self.rng, pending.incoming.prefix, &pending.tried)
            .ok_or(if ring.is_empty() {
                Refusal::NoTarget
            } else if last_refusal == Refusal::NoTarget {
                Refusal::NotReady
            } else {
                last_refusal
            })
    }

    /// The only target that may run a request with a ticket or key; `None` if any target may.
    fn home_target(&self, incoming: &IncomingRequest) -> Result<Option<Name>, Refusal> {
        match &incoming.guard {
            Guard::Repeatable | Guard::Unmarked => Ok(None),
            Guard::Ticket(ticket) => Ok(Some(ticket.agent.clone())),
            Guard::Key(key) => {
                let sheet = self.follower.sheet().ok_or(Refusal::NoTarget)?;
                let service = sheet.services.get(incoming.work.name());
                let issued_at = key_issue_time(key).ok_or(Refusal::NotHome)?;
                if issued_at > sheet.published + sheet.home_horizon {
                    return Err(Refusal::SheetTooOld);
                }
                let home = service.and_then(|s| s.home_of_key(key.as_u128(), issued_at));
                home.map(Some).ok_or(Refusal::NotHome)
            }
        }
    }

    fn has_home(&self, token: u64) -> bool {
        self.pending
            .get(&token)
            .is_some_and(|pending| pending.has_home())
    }

    /// Probes candidates whose status is old, at most `Options::probes_per_request` of them for
    /// each request.
    fn probe(&mut self, now: Duration, considered: &[Name], effects: &mut Vec<Effect>) {
        let outdated_names = considered
            .iter()
            .filter(|name| !self.hints.has_recent_status(now, name));
        let probes = outdated_names
            .take(self.options.probes_per_request)
            .cloned()
            .map(Effect::Probe);
        effects.extend(probes);
    }

    /// Ends the attempt at the request's current target. Returns this target.
    pub(super) fn release_target(&mut self, now: Duration, token: u64) -> Option<Name> {
        let target = self.pending.get_mut(&token)?.target.take()?;
        self.hints.record_ended(now, &target);
        Some(target)
    }

    /// Rejects a request that no other target can be asked to run, or waits for its silent target.
    fn give_up(&mut self, now: Duration, token: u64, refusal: Refusal, effects: &mut Vec<Effect>) {
        if self.keep_silent_target(now, token, effects) {
            self.record_kept_target(token, effects);
        } else {
            self.release_silent_target(now, token);
            self.reject_not_run(token, refusal, effects);
        }
    }

    fn record_kept_target(&self, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        if let Some(target) = &pending.target {
            effects.push(Effect::Record(Decision::Silent {
                request: pending.request_name(),
                target: target.clone(),
                kept: true,
                begun: pending.has_response_started,
            }));
        }
    }

    /// Rejects a request that no target is running now. It is reported as not run unless an attempt
    /// may have run, or it has a ticket or key, with which another entry may have sent it.
    fn reject_not_run(&mut self, token: u64, refusal: Refusal, effects: &mut Vec<Effect>) {
        let not_run = !self.has_home(token) && !self.may_have_run(token);
        let outcome = Outcome::NotRun(refusal);
        self.reject(token, outcome, not_run, effects);
    }

    /// Whether an attempt of this entry may have run.
    fn may_have_run(&self, token: u64) -> bool {
        self.pending
            .get(&token)
            .is_some_and(|pending| pending.may_have_run)
    }

    fn reject(&mut self, token: u64, outcome: Outcome, not_run: bool, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        effects.push(Effect::Record(Decision::Reject {
            request: pending.incoming.request,
            work: pending.incoming.work.name().clone(),
            team: pending.incoming.team,
            outcome,
            not_run,
        }));
        effects.push(Effect::Reject(token, Rejection { outcome, not_run }));
    }
}

impl PendingRequest {
    /// The request's id as in the response header.
    pub(super) fn request_name(&self) -> Name {
        self.incoming.request.to_string().into()
    }

    /// Whether another target may be asked after an attempt that may have run.
    pub(super) fn may_be_sent_again(&self) -> bool {
        let may_be_replaced = !self.has_response_started || self.is_resumable;
        self.incoming.guard == Guard::Repeatable && may_be_replaced
    }

    fn has_home(&self) -> bool {
        matches!(self.incoming.guard, Guard::Ticket(_) | Guard::Key(_))
    }
}

impl Rejection {
    /// The code of the outcome in responses.
    pub fn code(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun(refusal) => refusal.code(),
            Outcome::Before(KeyState::Running) => "running",
            Outcome::Before(KeyState::Ran { .. }) | Outcome::Ran { .. } => "ran",
            Outcome::Before(KeyState::Unknown) | Outcome::Unknown { .. } => "unknown",
        }
    }
}
