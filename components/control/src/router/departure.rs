//! Whether a request may still leave for the target that was chosen for it.
//!
//! After the choice a connection may have to be opened, and the process may stand still, for longer than
//! what decided the choice holds. So all of it is checked again at the last moment before the request is
//! sent.

use std::time::Duration;

use super::selection;
use super::state::State;
use super::{
    Effect,
    ForwardRequest, //
};

impl State {
    /// Whether a request may be sent now, with these instructions, to the target that was chosen for it.
    /// If not, nothing may be sent, and the exchange ends with [`super::Outcome::Withheld`].
    pub fn may_send(&self, now: Duration, token: u64, request: &ForwardRequest) -> bool {
        let pending = self.pending.get(&token);
        let (Some(pending), Some(target)) = (pending, self.targets.get(&request.target)) else {
            return false;
        };
        if self.reason_not_to_send(now, token).is_some() {
            return false;
        }
        // The key may have moved to another team, which the target must be told.
        if pending.access.team().map(|team| &team.name) != request.team.as_ref() {
            return false;
        }
        let entry = &target.entry;
        let is_same_start = entry.started_at_ms == pending.target_started_at_ms
            && entry.address == request.address
            && entry.service == pending.service.name;
        let mut requirements = self.requirements(now, pending);
        requirements.tried_targets = pending.targets_tried_before();
        is_same_start
            && selection::rate_limits(now, target, &requirements).are_counted_in(pending.counted_in)
            && selection::required_version(target) == request.version
            && selection::may_serve(
                now,
                target,
                &self.options.location,
                &self.out_data_centres,
                &requirements,
            )
    }

    /// Chooses again for a request that was not sent to the target that was chosen for it. This is no
    /// retry: no target has received the request meanwhile.
    pub(super) fn dispatch_again(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.tried_targets.pop();
        }
        match self.reason_not_to_send(now, token) {
            Some(reason) => self.reject(now, token, reason, effects),
            None => self.dispatch_or_queue(now, token, effects),
        }
    }
}
