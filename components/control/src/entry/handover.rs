//! Lets another target continue a response whose agent is silent. The silent one is left only when the other
//! has begun, since any other one may still refuse, and a sound agent continues after a while.

use std::time::Duration;

use protocol::Outcome;
use record::Decision;
use utils::Name;

use super::state::State;
use super::Effect;

impl State {
    /// Asks another target to continue a response, while its silent agent keeps the request. Waits for the
    /// silent agent if no other target may continue it.
    pub(super) fn handle_silence(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if pending.silent_target.is_some() {
            return;
        }
        let Some(target) = pending.target.take() else {
            return;
        };
        pending.may_have_run = true;
        pending.silent_target = Some(target.clone());
        let may_be_sent_again = pending.may_be_sent_again();
        let request = pending.request_name();
        let begun = pending.has_response_started;
        self.hints.record_unreachable(now, &target);
        effects.push(Effect::Record(Decision::Silent {
            request,
            target,
            kept: !may_be_sent_again,
            begun,
        }));
        if may_be_sent_again {
            self.retry(now, token, effects);
        } else {
            self.keep_silent_target(now, token, effects);
        }
    }

    /// Continues with the silent target, since it was the first to send something. The other one is left.
    pub(super) fn handle_silent_target_spoke(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) {
        let silent_target = self.pending.get(&token).map(|p| p.silent_target.clone());
        let Some(Some(silent_target)) = silent_target else {
            // The reducer has returned to it already.
            return;
        };
        self.release_target(now, token);
        self.hints.record_success(now, &silent_target);
        self.keep_silent_target(now, token, effects);
    }

    /// Handles the end of an exchange with a silent target that did not complete the response.
    pub(super) fn handle_silent_target_outcome(
        &mut self,
        now: Duration,
        token: u64,
        outcome: Outcome,
        start_count: u64,
        effects: &mut Vec<Effect>,
    ) {
        match self.release_silent_target(now, token) {
            Some(target) => self.record_crash(now, token, &target, outcome, start_count, effects),
            // The reducer has returned to it already.
            None => self.handle_outcome(now, token, outcome, start_count, effects),
        }
    }

    /// Leaves the silent target, since another one has begun to continue the response.
    pub(super) fn handle_resumed_response(&mut self, now: Duration, token: u64) {
        self.release_silent_target(now, token);
        let target = self.pending.get(&token).and_then(|p| p.target.clone());
        if let Some(target) = target {
            self.hints.record_success(now, &target);
        }
    }

    /// Returns to the silent target of a request that no other target continues. Returns whether there is one
    /// and its response may still come.
    pub(super) fn keep_silent_target(
        &mut self,
        now: Duration,
        token: u64,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(pending) = self.pending.get_mut(&token) else {
            return false;
        };
        if pending.deadline <= now || pending.silent_target.is_none() {
            return false;
        }
        pending.target = pending.silent_target.take();
        pending.retry_at = None;
        effects.push(Effect::KeepTarget(token));
        true
    }

    /// Ends the exchange with the silent target of a request. Returns this target.
    pub(super) fn release_silent_target(&mut self, now: Duration, token: u64) -> Option<Name> {
        let target = self.pending.get_mut(&token)?.silent_target.take()?;
        self.hints.record_ended(now, &target);
        Some(target)
    }
}
