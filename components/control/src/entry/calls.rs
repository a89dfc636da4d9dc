//! The requests of callers on their way through an entry.

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

use super::choose::{
    Choice,
    Chooser, //
};
use super::state::State;
use super::Effect;
use crate::agent::key_stamp;

/// A request as it came from a caller.
#[derive(Clone, Debug)]
pub struct Arrived {
    /// Names the request until it ends.
    pub token: u64,
    /// Names the request in records.
    pub request: u64,
    /// What is asked for.
    pub work: Work,
    /// The caller's team.
    pub team: Name,
    /// Hash of the start of the prompt, or of the path.
    pub prefix: u64,
    /// How often it may run.
    pub guard: Guard,
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// Time until the caller's deadline.
    pub timeout: Duration,
}

/// What a caller is told instead of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// What came of the request.
    pub outcome: Outcome,
    /// Whether it is known that the request, however often the caller sent it, has not run.
    pub not_run: bool,
}

/// A request that is under way.
#[derive(Clone, Debug)]
pub(super) struct Call {
    arrived: Arrived,
    deadline: Duration,
    target: Option<Name>,
    tried: Vec<Name>,
    committed: bool,
    resumable: bool,
    suspect: bool,
    /// Whether an attempt reached a target and broke.
    broke: bool,
    /// When a cut stream is tried again, after no target took it.
    retry_at: Option<Duration>,
    /// Rounds over the targets to go on with a cut stream.
    rounds: u32,
    last_refusal: Refusal,
}

/// Rounds over the targets that a cut stream is given.
const MOST_ROUNDS: u32 = 5;

/// The wait before the second round; doubles with each.
const FIRST_ROUND_WAIT: Duration = Duration::from_millis(100);

/// Targets that one request is sent to at most.
const ATTEMPTS: usize = 6;

impl State {
    pub(super) fn arrive(&mut self, now: Duration, arrived: Arrived, out: &mut Vec<Effect>) {
        self.budget.earn();
        let token = arrived.token;
        let is_unsettled = self.suspects.is_unsettled(now, arrived.fingerprint);
        let call = Call {
            deadline: now + arrived.timeout,
            target: None,
            tried: Vec::new(),
            committed: false,
            resumable: false,
            broke: false,
            retry_at: None,
            rounds: 0,
            suspect: self.suspects.is_suspect(arrived.fingerprint),
            last_refusal: Refusal::NoTarget,
            arrived,
        };
        self.calls.insert(token, call);
        if self.draining {
            self.reject_untold(token, Refusal::Draining, out);
            return;
        }
        if is_unsettled {
            self.reject_untold(token, Refusal::SuspectRunning, out);
            return;
        }
        self.send(now, token, out);
    }

    pub(super) fn committed(&mut self, now: Duration, token: u64, resumable: bool) {
        if let Some(call) = self.calls.get_mut(&token) {
            call.committed = true;
            call.resumable = resumable;
            if let Some(target) = &call.target {
                self.hints.worked(now, target);
            }
        }
    }

    pub(super) fn not_sent(&mut self, now: Duration, token: u64, out: &mut Vec<Effect>) {
        let Some(target) = self.release(now, token) else {
            return;
        };
        self.hints.unreachable(now, &target);
        if self.is_homed(token) {
            let outcome = Outcome::NotRun(Refusal::HomeUnreachable);
            self.reject(token, outcome, false, out);
            return;
        }
        self.retry(now, token, out);
    }

    pub(super) fn outcome(
        &mut self,
        now: Duration,
        token: u64,
        outcome: Outcome,
        start: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.release(now, token) else {
            return;
        };
        self.note_crash(now, token, &target, outcome, start, out);
        match outcome {
            Outcome::Ran { .. } => {
                self.hints.worked(now, &target);
                if let Some(call) = self.calls.remove(&token) {
                    self.clear_suspect(now, call.arrived.fingerprint, out);
                }
                out.push(Effect::Done(token));
            }
            Outcome::NotRun(refusal) => self.refused(now, token, &target, refusal, out),
            Outcome::Before(state) => {
                self.reject(token, Outcome::Before(state), false, out);
            }
            Outcome::Unknown { crashed } => self.broken(now, token, &target, crashed, out),
        }
    }

    fn note_crash(
        &mut self,
        now: Duration,
        token: u64,
        target: &Name,
        outcome: Outcome,
        start: u64,
        out: &mut Vec<Effect>,
    ) {
        let (Outcome::Unknown { crashed: true }, Some(call)) = (outcome, self.calls.get(&token))
        else {
            return;
        };
        let crash = Crash {
            fingerprint: call.arrived.fingerprint,
            target: target.clone(),
            start,
            cleared: false,
        };
        self.note_crashes(now, &[crash], out);
    }

    pub(super) fn gone(&mut self, now: Duration, token: u64, out: &mut Vec<Effect>) {
        if self.release(now, token).is_some() {
            out.push(Effect::Abandon(token));
        }
        self.calls.remove(&token);
    }

    /// Tries cut streams again that no target took.
    pub(super) fn retry_waiting(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let is_due = |call: &Call| call.retry_at.is_some_and(|at| at <= now);
        let calls = self.calls.iter_mut().filter(|(_, call)| is_due(call));
        let mut due = Vec::new();
        for (token, call) in calls {
            call.retry_at = None;
            call.tried.clear();
            due.push(*token);
        }
        for token in due {
            self.send(now, token, out);
        }
    }

    /// Puts a cut stream off until targets may have room again. Its caller has a part of the answer
    /// and is better served by the rest a little later than by an error now.
    fn put_off(&mut self, now: Duration, token: u64) -> bool {
        let Some(call) = self.calls.get_mut(&token) else {
            return false;
        };
        if !call.committed || !call.resumable || call.rounds >= MOST_ROUNDS {
            return false;
        }
        let wait = FIRST_ROUND_WAIT * (1 << call.rounds);
        call.rounds += 1;
        call.retry_at = Some(now + wait.mul_f64(self.rng.random_range(0.5..1.5)));
        true
    }

    /// Ends requests whose deadline has passed.
    pub(super) fn expire_calls(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let late: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.deadline <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            // The agent has the deadline too, so a running request ends there as well.
            let was_sent = self.release(now, token).is_some();
            if was_sent {
                out.push(Effect::Abandon(token));
                self.reject(token, Outcome::Unknown { crashed: false }, false, out);
            } else {
                self.reject_untold(token, Refusal::Expired, out);
            }
        }
    }

    fn refused(
        &mut self,
        now: Duration,
        token: u64,
        target: &Name,
        refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        self.hints.refused(now, target, refusal);
        let Some(call) = self.calls.get_mut(&token) else {
            return;
        };
        call.last_refusal = refusal;
        if self.is_homed(token) {
            // Only a process that knows itself to be the home knows that no earlier sending ran.
            let is_other = matches!(
                refusal,
                Refusal::NotHome | Refusal::WrongTarget | Refusal::SheetTooOld
            );
            self.reject(token, Outcome::NotRun(refusal), !is_other, out);
        } else if refusal.try_elsewhere() {
            self.retry(now, token, out);
        } else {
            self.reject_untold(token, refusal, out);
        }
    }

    fn broken(
        &mut self,
        now: Duration,
        token: u64,
        target: &Name,
        crashed: bool,
        out: &mut Vec<Effect>,
    ) {
        self.hints.unreachable(now, target);
        let Some(call) = self.calls.get_mut(&token) else {
            return;
        };
        call.suspect |= crashed;
        call.broke = true;
        let repeatable = call.arrived.guard == Guard::Repeatable;
        if repeatable && (!call.committed || call.resumable) {
            self.retry(now, token, out);
        } else {
            self.reject(token, Outcome::Unknown { crashed }, false, out);
        }
    }

    /// Sends a request that did not run, or may run again, to another target.
    fn retry(&mut self, now: Duration, token: u64, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&token) else {
            return;
        };
        let last = call.last_refusal;
        let is_last = call.tried.len() >= ATTEMPTS;
        if is_last && self.put_off(now, token) {
            return;
        }
        if is_last || !self.budget.spend() {
            let refusal = if last == Refusal::NoTarget {
                Refusal::RetryBudget
            } else {
                last
            };
            self.reject_untold(token, refusal, out);
            return;
        }
        self.send(now, token, out);
    }

    fn send(&mut self, now: Duration, token: u64, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&token) else {
            return;
        };
        if self.suspects.is_quarantined(call.arrived.fingerprint) {
            self.reject_untold(token, Refusal::Quarantined, out);
            return;
        }
        if call.deadline <= now {
            self.reject_untold(token, Refusal::Expired, out);
            return;
        }
        let choice = match self.choose(now, token) {
            Ok(choice) => choice,
            Err(refusal) => {
                if !self.put_off(now, token) {
                    self.reject_untold(token, refusal, out);
                }
                return;
            }
        };
        let Some(call) = self.calls.get_mut(&token) else {
            return;
        };
        call.tried.push(choice.target.clone());
        call.target = Some(choice.target.clone());
        self.hints.sent(now, &choice.target);
        out.push(Effect::Record(Decision::Route {
            request: call.arrived.request,
            work: call.arrived.work.name().clone(),
            team: call.arrived.team.clone(),
            rule: choice.rule,
            target: choice.target.clone(),
            considered: choice.considered.clone(),
            attempt: u32::try_from(call.tried.len()).unwrap_or(u32::MAX),
        }));
        out.push(Effect::Send {
            token,
            target: choice.target,
            suspect: call.suspect,
            timeout: call.deadline.saturating_sub(now),
        });
        self.probe(now, &choice.considered, out);
    }

    fn choose(&mut self, now: Duration, token: u64) -> Result<Choice, Refusal> {
        let Some(call) = self.calls.get(&token) else {
            return Err(Refusal::NoTarget);
        };
        if let Some(home) = self.home(&call.arrived)? {
            return Ok(Choice {
                considered: vec![home.clone()],
                target: home,
                rule: RouteRule::Home,
            });
        }
        let name = call.arrived.work.name();
        let ring = self.rings.get(name).ok_or(Refusal::NoTarget)?;
        let chooser = Chooser {
            now,
            ring,
            hints: &self.hints,
            members: self.follow.members(),
            ramps: &self.ramps,
            ramp: self.options.ramp,
        };
        let last = call.last_refusal;
        chooser
            .choose(&mut self.rng, call.arrived.prefix, &call.tried)
            .ok_or(if ring.is_empty() {
                Refusal::NoTarget
            } else if last == Refusal::NoTarget {
                Refusal::NotReady
            } else {
                last
            })
    }

    /// The one target that may run a request with a ticket or key.
    fn home(&self, arrived: &Arrived) -> Result<Option<Name>, Refusal> {
        match &arrived.guard {
            Guard::Repeatable | Guard::Unmarked => Ok(None),
            Guard::Ticket(ticket) => Ok(Some(ticket.agent.clone())),
            Guard::Key(key) => {
                let sheet = self.follow.sheet().ok_or(Refusal::NoTarget)?;
                let service = sheet.services.get(arrived.work.name());
                let stamp = key_stamp(key).ok_or(Refusal::NotHome)?;
                if stamp > sheet.published + sheet.home_horizon {
                    return Err(Refusal::SheetTooOld);
                }
                let home = service.and_then(|s| s.home(key.as_u128(), stamp));
                home.map(Some).ok_or(Refusal::NotHome)
            }
        }
    }

    fn is_homed(&self, token: u64) -> bool {
        self.calls.get(&token).is_some_and(|call| call.is_homed())
    }

    /// Asks for the state of candidates whose last report is old, a few for each request.
    fn probe(&mut self, now: Duration, considered: &[Name], out: &mut Vec<Effect>) {
        let stale = considered
            .iter()
            .filter(|name| !self.hints.is_fresh(now, name));
        let probes = stale.take(self.options.probes).cloned().map(Effect::Probe);
        out.extend(probes);
    }

    /// Takes the request from its target.
    fn release(&mut self, now: Duration, token: u64) -> Option<Name> {
        let target = self.calls.get_mut(&token)?.target.take()?;
        self.hints.ended(now, &target);
        Some(target)
    }

    /// Rejects a request of which this entry knows that none of its own sendings ran. What other
    /// entries sent with the same ticket or key it does not know.
    fn reject_untold(&mut self, token: u64, refusal: Refusal, out: &mut Vec<Effect>) {
        let not_run = !self.is_homed(token) && !self.may_have_run(token);
        let outcome = Outcome::NotRun(refusal);
        self.reject(token, outcome, not_run, out);
    }

    /// Whether a target crashed with it, so that an attempt did run.
    fn may_have_run(&self, token: u64) -> bool {
        self.calls.get(&token).is_some_and(|call| call.broke)
    }

    fn reject(&mut self, token: u64, outcome: Outcome, not_run: bool, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.remove(&token) else {
            return;
        };
        out.push(Effect::Record(Decision::Reject {
            request: call.arrived.request,
            work: call.arrived.work.name().clone(),
            team: call.arrived.team,
            outcome,
            not_run,
        }));
        out.push(Effect::Reject(token, Rejection { outcome, not_run }));
    }
}

impl Call {
    fn is_homed(&self) -> bool {
        matches!(self.arrived.guard, Guard::Ticket(_) | Guard::Key(_))
    }
}

impl Rejection {
    /// The word for the outcome in answers.
    pub fn code(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun(refusal) => refusal.code(),
            Outcome::Before(KeyState::Running) => "running",
            Outcome::Before(KeyState::Ran { .. }) | Outcome::Ran { .. } => "ran",
            Outcome::Before(KeyState::Unknown) | Outcome::Unknown { .. } => "unknown",
        }
    }
}
