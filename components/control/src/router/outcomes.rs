//! What comes of requests at targets, and what follows from it.

use std::time::Duration;

use protocol::{
    Crash,
    Fingerprint, //
};
use record::Decision;
use utils::Name;

use super::beliefs::millis;
use super::load::LoadReport;
use super::refusals::Reason;
use super::state::State;
use super::{
    Effect,
    Outcome,
    Rejection, //
};
use crate::budget::Budget;

/// How long the entry of a target whose address another one has may still be renewed.
const OTHER_INSTANCE_GRACE: Duration = Duration::from_millis(1500);

impl State {
    pub(super) fn take_head(
        &mut self,
        now: Duration,
        token: u64,
        load: Option<LoadReport>,
        cold_for: Option<Duration>,
        version: Option<u64>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if !pending.started {
            pending.version = version;
        }
        let Some((id, _)) = &pending.at else {
            return;
        };
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if let Some(load) = load {
            target.load.hear(now, load);
        }
        if let Some(cold_for) = cold_for {
            target.cold_until = target.cold_until.max(now + cold_for);
        }
        if version.is_some() && target.entry.version < version {
            target.entry.version = version;
        }
    }

    /// The caller gets the first part of an answer.
    pub(super) fn start(&mut self, now: Duration, token: u64) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.started = true;
            let sent = pending.at.as_ref().filter(|_| pending.is_unread);
            let target = sent.and_then(|(id, _)| self.targets.get_mut(id));
            if let (Some((_, since)), Some(target)) = (sent, target) {
                let took = now.saturating_sub(*since);
                pending.first = Some(took);
                target.load.learn(pending.expected, took);
            }
        }
        self.take_read(token);
    }

    /// The target has read the prompt of a request, or never will.
    pub(super) fn take_read(&mut self, token: u64) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let unread = std::mem::take(&mut pending.is_unread);
        let Some((id, _)) = pending.at.as_ref().filter(|_| unread) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(id) {
            target.load.read(pending.tokens);
        }
    }

    pub(super) fn end(
        &mut self,
        now: Duration,
        token: u64,
        outcome: Outcome,
        pause: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.take_read(token);
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let Some((id, since)) = pending.at.take() else {
            return;
        };
        effects.push(Effect::Record(Decision::Exchange {
            request: pending.id.clone(),
            target: id.clone(),
            outcome: word(outcome).into(),
            took_ms: millis(now.saturating_sub(since)),
            first_ms: pending.first.take().map(millis),
            pause_ms: millis(pause),
        }));
        let request = pending.id.clone();
        let fingerprint = pending.fingerprint;
        let service = pending.service.name.clone();
        let unclear = Outcome::Silent == outcome || Outcome::TimedOut == outcome;
        if unclear || matches!(outcome, Outcome::Broken { .. }) {
            pending.may_have_run = true;
        }
        self.queues.entry(service).or_default().departed(now);
        self.judge_target(now, &id, &request, fingerprint, outcome, effects);
        match outcome {
            Outcome::Answered { .. } => {
                self.suspects.clear(now, fingerprint);
                self.pending.remove(&token);
            }
            Outcome::TimedOut => self.reject(now, token, Reason::TimedOut, effects),
            _ => self.send_again(now, token, effects),
        }
    }

    /// Learns from the end of an exchange about the target.
    fn judge_target(
        &mut self,
        now: Duration,
        id: &Name,
        request: &Name,
        fingerprint: Fingerprint,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.load.end();
        let rested = target.health.rests(now);
        match outcome {
            Outcome::Answered { failed: false } => target.health.succeeded(),
            Outcome::Answered { failed: true } => {}
            Outcome::Broken { lost } => {
                target.health.failed(now);
                if lost {
                    let crash = Crash {
                        fingerprint,
                        target: id.clone(),
                        start: target.entry.born_ms,
                        cleared: false,
                    };
                    self.suspects.note(now, &crash);
                }
            }
            Outcome::NotSent => target.health.lost(now),
            Outcome::TimedOut | Outcome::Silent => {
                target.health.failed(now);
            }
            Outcome::Busy => {
                let slots = target.entry.slots.unwrap_or_default();
                let running = slots.max(target.load.own());
                target.load.hear(
                    now,
                    LoadReport {
                        running,
                        waiting: 0,
                    },
                );
            }
            Outcome::OtherVersion => target.entry.version = None,
            Outcome::OtherInstance => {
                target.lapses_at.get_or_insert(now + OTHER_INSTANCE_GRACE);
                target.health.lost(now);
            }
        }
        if !rested && target.health.rests(now) {
            let failing_percent = (target.health.failing_share() * 100.0).round() as u32;
            effects.push(Effect::Record(Decision::Rest {
                target: id.clone(),
                request: request.clone(),
                failing_percent,
            }));
        }
    }

    /// Sends a request to another target, if it may run there.
    fn send_again(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let attempts = pending.attempts();
        let may_run = !pending.may_have_run || pending.route.repeat.may_run_again();
        let most = pending.route.attempts.max(1);
        let model = pending.service.engine.as_ref().map(|engine| &engine.model);
        let oldest = model.and_then(|model| self.oldest_version(now, model));
        // Nobody may go on any more with the version that began the answer.
        let is_outdated = pending.version < oldest;
        let lacks_version = pending.started && (pending.version.is_none() || is_outdated);
        let service = pending.service.name.clone();
        let reason = if !may_run || lacks_version {
            Some(Reason::MayHaveRun)
        } else if attempts >= most {
            Some(Reason::OutOfAttempts)
        } else if self.suspects.is_quarantined(pending.fingerprint) {
            Some(Reason::Quarantined)
        } else if now >= pending.deadline {
            Some(Reason::TimedOut)
        } else if !self.budget(&service).spend() {
            Some(Reason::OutOfRetries)
        } else {
            None
        };
        match reason {
            Some(reason) => self.reject(now, token, reason, effects),
            None => self.place_or_wait(now, token, effects),
        }
    }

    pub(super) fn wait_over(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let queue = self.queues.get_mut(&pending.service.name);
        if queue.is_some_and(|queue| queue.remove(token)) {
            self.reject(now, token, Reason::WaitedTooLong, effects);
        }
    }

    pub(super) fn leave(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        self.take_read(token);
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&pending.service.name) {
            queue.remove(token);
            if pending.at.is_some() {
                queue.departed(now);
            }
        }
        effects.push(Effect::Record(Decision::CallerLeft {
            request: pending.id.clone(),
            held_ms: millis(now.saturating_sub(pending.arrived)),
            running: pending.at.is_some(),
        }));
        if let Some((id, _)) = pending.at {
            if let Some(target) = self.targets.get_mut(&id) {
                target.load.end();
            }
        }
    }

    pub(super) fn reject(
        &mut self,
        now: Duration,
        token: u64,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&pending.service.name) {
            queue.remove(token);
        }
        let not_run = !pending.may_have_run;
        let retry_after = self.retry_after(reason).filter(|_| not_run);
        effects.push(Effect::Record(Decision::TurnAway {
            request: pending.id.clone(),
            route: Some(pending.route.name.clone()),
            reason: reason.word().into(),
            not_run,
            retry_after_ms: retry_after.map(millis),
            held_ms: millis(now.saturating_sub(pending.arrived)),
            attempts: pending.attempts(),
            lease_ms: self.lease_ms(now),
        }));
        let rejection = Rejection {
            reason,
            not_run,
            retry_after,
        };
        effects.push(Effect::Reject(token, rejection));
    }

    pub(super) fn budget(&mut self, service: &Name) -> &mut Budget {
        let options = &self.options.budget;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(options.clone()))
    }

    pub(super) fn lease_ms(&self, now: Duration) -> u64 {
        self.lease.age(now).map_or(u64::MAX, millis)
    }
}

fn word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { failed: false } => "answered",
        Outcome::Answered { failed: true } => "target_failed",
        Outcome::Busy => "busy",
        Outcome::OtherInstance => "other_instance",
        Outcome::OtherVersion => "other_version",
        Outcome::NotSent => "not_sent",
        Outcome::Broken { lost: true } => "lost",
        Outcome::Broken { lost: false } => "broken",
        Outcome::Silent => "silent",
        Outcome::TimedOut => "timed_out",
    }
}
