//! The crashes during the requests of one suspect.

use std::collections::BTreeMap;
use std::time::Duration;

use protocol::{
    Crash,
    Suspect, //
};
use utils::millis::millis;
use utils::Name;

use super::{
    time_of_crash,
    time_since, //
};

/// Crashes that follow each other faster may have a common cause, for example a loss of power, so they
/// count as one.
pub(super) const SEPARATE_CRASH_TIME: Duration = Duration::from_millis(100);

/// Identifies a crash: the target, and the number of the start that ended.
pub(super) type CrashId = (Name, u64);

#[derive(Clone, Copy, Debug)]
struct CrashState {
    round: u32,
    /// Whether this process sent a request with the suspect that was running then.
    is_own: bool,
    /// Whether the suspect did not cause the crash, since it later ran to completion.
    is_cleared: bool,
    /// By [`time_of_crash`].
    ended_at: Duration,
    /// The revision of [`super::CrashSuspects`] in which it last changed.
    revision: u64,
}

/// What is known of one suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    by_id: BTreeMap<CrashId, CrashState>,
    pub position: u32,
    pub learned_at: Duration,
    /// Whether a request with the suspect had run to completion before one of the crashes, here or at
    /// another process.
    pub has_completed: bool,
    /// Whether this process sent a request that was running during one of the crashes, or one that
    /// cleared the suspect.
    pub is_first_hand: bool,
    /// Whether others are told at once that the suspect was cleared here.
    pub is_clearing_urgent: bool,
    /// The revision of [`super::CrashSuspects`] in which it last changed.
    pub revision: u64,
}

impl Evidence {
    /// Adds a crash, which is noted as changed in `revision` if it says anything new. Returns whether
    /// it does.
    pub fn add(&mut self, now: Duration, crash: &Crash, revision: u64) -> bool {
        self.position = self.position.max(crash.position);
        let is_completion_new = crash.has_completed && !self.has_completed;
        self.has_completed |= crash.has_completed || crash.is_cleared;
        let id = (crash.target.clone(), crash.start_count);
        let added = CrashState {
            round: crash.round,
            is_own: false,
            is_cleared: crash.is_cleared,
            ended_at: time_of_crash(now, crash),
            revision,
        };
        let Some(known) = self.by_id.get_mut(&id) else {
            self.by_id.insert(id, added);
            self.learned_at = now;
            self.revision = revision;
            return true;
        };
        let is_cleared_now = added.is_cleared && !known.is_cleared;
        let is_new = is_cleared_now || added.round > known.round || is_completion_new;
        known.is_cleared |= added.is_cleared;
        known.round = known.round.max(added.round);
        known.ended_at = known.ended_at.min(added.ended_at);
        if is_new {
            self.learned_at = now;
            self.revision = revision;
            known.revision = revision;
        }
        is_new
    }

    /// Notes that this process sent a request that was running during a crash.
    pub fn mark_own(&mut self, target: &Name, start_count: u64) {
        self.is_first_hand = true;
        if let Some(state) = self.by_id.get_mut(&(target.clone(), start_count)) {
            state.is_own = true;
        }
    }

    /// When the suspect's last crash happened, by [`time_of_crash`], and whether this process sent a
    /// request that was running then.
    pub fn last_crash(&self) -> Option<(Duration, bool)> {
        let uncleared = self.by_id.values().filter(|state| !state.is_cleared);
        uncleared.map(|state| (state.ended_at, state.is_own)).max()
    }

    /// Removes the crashes that are not to be kept.
    pub fn retain_crashes(&mut self, is_kept: impl Fn(&CrashId) -> bool) {
        self.by_id.retain(|id, _| is_kept(id));
    }

    /// Whether no crash is left.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Marks all crashes as not caused by the suspect.
    pub fn clear(&mut self, now: Duration, revision: u64) {
        self.learned_at = now;
        self.has_completed = true;
        self.revision = revision;
        for state in self.by_id.values_mut().filter(|state| !state.is_cleared) {
            state.is_cleared = true;
            state.revision = revision;
        }
    }

    /// Notes all crashes as changed, so that they are reported again.
    pub fn touch(&mut self, revision: u64) {
        self.revision = revision;
        for state in self.by_id.values_mut() {
            state.revision = revision;
        }
    }

    /// The crashes that the suspect may have caused.
    pub fn uncleared(&self) -> impl Iterator<Item = &CrashId> {
        let all = self.by_id.iter();
        all.filter(|(_, state)| !state.is_cleared).map(|(id, _)| id)
    }

    /// Whether the suspect may have caused this crash.
    pub fn is_uncleared(&self, id: &CrashId) -> bool {
        self.by_id.get(id).is_some_and(|state| !state.is_cleared)
    }

    /// The round of a crash under a request that is sent now, after this crash.
    pub fn round_after(&self, now: Duration, id: &CrashId) -> u32 {
        let Some(state) = self.by_id.get(id) else {
            return 1;
        };
        let is_separate = time_since(now, state.ended_at) >= SEPARATE_CRASH_TIME;
        state.round + u32::from(is_separate)
    }

    /// The round of a crash.
    pub fn round(&self, id: &CrashId) -> u32 {
        self.by_id.get(id).map_or(0, |state| state.round)
    }

    /// The crashes that changed after `revision`, as they are reported.
    pub fn crashes_after(
        &self,
        now: Duration,
        suspect: Suspect,
        revision: u64,
    ) -> impl Iterator<Item = Crash> + '_ {
        let changed = self.by_id.iter();
        let changed = changed.filter(move |(_, state)| state.revision > revision);
        changed.map(move |(id, state)| Crash {
            suspect,
            target: id.0.clone(),
            start_count: id.1,
            is_cleared: state.is_cleared,
            has_completed: self.has_completed,
            round: state.round,
            position: self.position,
            age_ms: millis(time_since(now, state.ended_at)),
        })
    }
}
