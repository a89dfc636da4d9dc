//! Lets another target go on with an answer whose target is silent. The silent one is left only when the other
//! has begun, since any other one may still refuse, and a sound target goes on after a while.

use std::time::Duration;

use record::Decision;

use super::crashes::TargetRun;
use super::pending::Pending;
use super::state::State;
use super::{
    Effect,
    Outcome,
    Sending, //
};

impl State {
    /// Asks another target to go on with an answer, while its silent target keeps the request.
    pub(super) fn ask_another_target(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if pending.silent.is_some() || pending.assignment.is_none() {
            return;
        }
        pending.may_have_run = true;
        // If the target ends while it is silent, that counts as a crash.
        if let Some(run) = TargetRun::of_pending(now, pending) {
            self.unended_runs.add(now, run);
        }
        let silent = Box::new(pending.clone());
        pending.assignment = None;
        pending.time_to_first_event = None;
        pending.silent = Some(silent);
        self.retry(now, token, effects);
    }

    /// Goes on with the target that was silent, since it was the first to send something. The other one is left.
    pub(super) fn handle_silent_target_spoke(
        &mut self,
        now: Duration,
        token: u64,
        sending: Sending,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        if pending.silent.is_none() {
            return;
        }
        if pending.assignment.is_some() && !pending.is_reserving {
            let pause = Duration::ZERO;
            self.end_exchange(now, token, Outcome::Superseded, pause, sending, effects);
        }
        self.return_to_silent_target(token);
    }

    /// Returns to the silent target of a request for which no other target was found. Returns whether there is
    /// one and its answer may still come.
    pub(super) fn keep_silent_target(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let pending = self.pending.get(&token);
        if !pending.is_some_and(|pending| now < pending.deadline && pending.silent.is_some()) {
            return false;
        }
        self.return_to_silent_target(token);
        if let Some(pending) = self.pending.get(&token) {
            if let Some((id, _)) = &pending.assignment {
                effects.push(Effect::Record(Decision::Silent {
                    request: pending.id.clone(),
                    target: id.clone(),
                    kept: true,
                    begun: pending.response_started,
                }));
            }
        }
        effects.push(Effect::KeepTarget(token));
        true
    }

    fn return_to_silent_target(&mut self, token: u64) {
        self.unassign(token);
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&pending.service.name) {
            queue.remove(token);
        }
        if let Some(silent) = pending.silent.take() {
            *pending = Pending {
                tried_targets: std::mem::take(&mut pending.tried_targets),
                ..*silent
            };
        }
    }

    /// Ends the exchange with the silent target of a request that another target goes on with, or may.
    pub(super) fn end_silent_exchange(
        &mut self,
        now: Duration,
        token: u64,
        outcome: Outcome,
        longest_pause: Duration,
        sending: Sending,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let Some(silent) = pending.silent.take() else {
            return;
        };
        let current = std::mem::replace(pending, *silent);
        self.end_exchange(now, token, outcome, longest_pause, sending, effects);
        self.pending.insert(token, current);
    }
}
