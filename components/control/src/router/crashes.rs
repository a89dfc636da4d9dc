//! Decides which crashes of targets this process's requests may have caused, and which requests are
//! no longer sent.

use std::collections::VecDeque;
use std::time::Duration;

use protocol::{
    Crash,
    Fingerprint,
    PromptPartId,
    Suspect, //
};
use record::Decision;
use utils::{
    rank,
    Name, //
};

use super::pending::Pending;
use super::rejection::RejectionReason;
use super::state::State;
use super::Effect;
use crate::crash_suspects::Quarantine;

/// How long after a run was given up the end of its target counts as a crash. The list drops a dead target after
/// three heartbeats, and is read with a delay.
const GIVEN_UP_BEFORE_END: Duration = Duration::from_secs(10);

/// The maximum number of runs that were given up and are remembered.
const MAX_UNENDED_RUNS: usize = 256;

/// How long a request has been writing its answer when its prompt is known not to crash targets. Those
/// that do crash a target do so when they begin to write.
pub(super) const WRITING_PROOF_TIME: Duration = Duration::from_secs(1);

/// A part of the prompt of a request, as known when the request was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentPart {
    pub id: PromptPartId,
    /// The round of a crash under this request.
    pub round: u32,
}

/// One run of a request at one start of a target.
#[derive(Clone, Debug)]
pub(super) struct TargetRun {
    pub fingerprint: Fingerprint,
    pub shared_prompt_parts: Vec<SentPart>,
    /// Whether it had been writing its answer for so long that no part of its prompt crashes targets.
    pub are_parts_proven: bool,
    pub request: Name,
    pub target: Name,
    /// When the target started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

impl TargetRun {
    /// The run of a request at its present target, if it has one.
    pub fn of_pending(now: Duration, pending: &Pending) -> Option<Self> {
        let (target, _) = pending.assignment.as_ref()?;
        Some(Self {
            fingerprint: pending.fingerprint,
            shared_prompt_parts: pending.sent_parts.clone(),
            are_parts_proven: pending.has_proven_parts(now),
            request: pending.id.clone(),
            target: target.clone(),
            started_at_ms: pending.target_started_at_ms,
        })
    }

    fn is_same_run(&self, other: &Self) -> bool {
        self.request == other.request
            && self.target == other.target
            && self.started_at_ms == other.started_at_ms
    }
}

/// The latest runs that were given up, since the target fell silent or the caller left, with the time.
#[derive(Clone, Debug, Default)]
pub(super) struct UnendedRuns(VecDeque<(Duration, TargetRun)>);

impl UnendedRuns {
    /// Adds a run that was given up while its connection was still open.
    pub fn add(&mut self, now: Duration, run: TargetRun) {
        self.0.retain(|(_, known)| !known.is_same_run(&run));
        if self.0.len() >= MAX_UNENDED_RUNS {
            self.0.pop_front();
        }
        self.0.push_back((now, run));
    }

    /// Removes and returns those of a start of a target that has now ended.
    fn take(&mut self, now: Duration, target: &Name, started_at_ms: u64) -> Vec<TargetRun> {
        let is_recent = |at: Duration| now.saturating_sub(at) < GIVEN_UP_BEFORE_END;
        self.0.retain(|(at, _)| is_recent(*at));
        let is_of_target =
            |run: &TargetRun| run.target == *target && run.started_at_ms == started_at_ms;
        let all = std::mem::take(&mut self.0).into_iter();
        let (taken, kept): (VecDeque<_>, VecDeque<_>) = all.partition(|(_, run)| is_of_target(run));
        self.0 = kept;
        taken.into_iter().map(|(_, run)| run).collect()
    }
}

impl State {
    /// Records that a target crashed while it ran a request of this process.
    pub(super) fn observe_crash(
        &mut self,
        now: Duration,
        run: TargetRun,
        effects: &mut Vec<Effect>,
    ) {
        let crash = Crash::of_request(run.fingerprint, run.target.clone(), run.started_at_ms);
        let mut crashes = vec![crash.clone()];
        if !run.are_parts_proven {
            let parts = (0..).zip(&run.shared_prompt_parts);
            crashes.extend(parts.map(|(position, part)| Crash {
                suspect: Suspect::PromptPart(part.id),
                round: part.round,
                position,
                ..crash.clone()
            }));
        }
        let part_decisions = self.suspects.observe_crashes(now, &crashes);
        let parts = run.shared_prompt_parts.iter().map(|part| part.id);
        let decision = self.suspects.decision(
            run.fingerprint,
            &run.target,
            Some(run.request),
            parts.collect(),
        );
        effects.push(Effect::Record(decision));
        effects.extend(part_decisions.into_iter().map(Effect::Record));
    }

    /// Records that a request ran to completion, so that neither it nor its prompt crashes targets.
    pub(super) fn clear_suspects(
        &mut self,
        now: Duration,
        run: TargetRun,
        outcome: &str,
        effects: &mut Vec<Effect>,
    ) {
        let parts: Vec<PromptPartId> = run.shared_prompt_parts.iter().map(|p| p.id).collect();
        let part_decisions = self.suspects.clear_parts(now, &parts);
        effects.extend(part_decisions.into_iter().map(Effect::Record));
        if self.suspects.clear_request(now, run.fingerprint) {
            effects.push(Effect::Record(Decision::SuspectCleared {
                fingerprint: run.fingerprint,
                request: run.request,
                outcome: outcome.into(),
            }));
        }
    }

    /// The parts of a request's prompt, with the rounds of crashes if it is sent now.
    pub(super) fn sent_parts(&self, now: Duration, pending: &Pending) -> Vec<SentPart> {
        let parts = pending.shared_prompt_parts.iter();
        let sent = parts.map(|part| SentPart {
            id: *part,
            round: self.suspects.next_round(now, *part),
        });
        sent.collect()
    }

    /// Why a request is not sent to any target now because it, or parts of its prompt, crashed several. A
    /// request that may show which of them does is sent, one at a time. `token` is that of the request,
    /// unless it is still to be admitted.
    pub(super) fn quarantine_reason(
        &self,
        now: Duration,
        token: Option<u64>,
        fingerprint: Fingerprint,
        parts: &[PromptPartId],
    ) -> Option<RejectionReason> {
        let pending = token.and_then(|token| self.pending.get(&token));
        let sent = pending.filter(|pending| pending.assignment.is_some());
        let may_send = |quarantine: &Quarantine| {
            let turn = self.test_turn(quarantine);
            let suspects = &self.suspects;
            sent.is_some_and(|pending| pending.tests.contains(&quarantine.key()))
                || (suspects.may_test(now, quarantine, fingerprint, parts, turn)
                    && !self.is_under_test(quarantine, token))
        };
        let mut quarantines = self.suspects.quarantines_of(fingerprint, parts);
        let quarantine = quarantines.find(|quarantine| !may_send(quarantine))?;
        Some(if !quarantine.has_all(fingerprint, parts) {
            RejectionReason::SuspectUnderTest
        } else if quarantine.is_of_requests() {
            RejectionReason::Quarantined
        } else {
            RejectionReason::PartQuarantined
        })
    }

    /// The place of this process among those that share the tests of a quarantine, and their number.
    fn test_turn(&self, quarantine: &Quarantine) -> (f64, u32) {
        let hash = rank::hash_key(&(self.options.seed ^ quarantine.key()).to_le_bytes());
        let turn = hash as f64 / u64::MAX as f64;
        // If it is not known, the longest turn applies.
        (turn, self.process_count.get().unwrap_or(u32::MAX))
    }

    /// Whether a target has another request that a quarantine concerns.
    fn is_under_test(&self, quarantine: &Quarantine, token: Option<u64>) -> bool {
        self.pending.iter().any(|(other, pending)| {
            pending.assignment.is_some()
                && Some(*other) != token
                && quarantine.concerns(pending.fingerprint, &pending.shared_prompt_parts)
        })
    }

    /// Records that a request is sent although a quarantine concerns it.
    pub(super) fn record_test(
        &mut self,
        now: Duration,
        token: u64,
        target: &Name,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let parts = &pending.shared_prompt_parts;
        let quarantines = self.suspects.quarantines_of(pending.fingerprint, parts);
        pending.tests = quarantines.map(Quarantine::key).collect();
        let tested = self.suspects.note_test(now, pending.fingerprint, parts);
        if tested.is_empty() {
            return;
        }
        let parts = tested.into_iter().filter_map(|suspect| match suspect {
            Suspect::PromptPart(part) => Some(part),
            Suspect::Request(_) => None,
        });
        effects.push(Effect::Record(Decision::QuarantineTest {
            request: pending.id.clone(),
            target: target.clone(),
            prompt_parts: parts.collect(),
        }));
    }

    /// Handles the unplanned end of a target's start: it may have crashed during the runs that were given up
    /// before.
    pub(super) fn handle_target_end(
        &mut self,
        now: Duration,
        target: &Name,
        started_at_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        for run in self.unended_runs.take(now, target, started_at_ms) {
            self.observe_crash(now, run, effects);
        }
    }

    /// Adds crashes that other processes observed.
    pub(super) fn add_crashes(
        &mut self,
        now: Duration,
        crashes: &[Crash],
        effects: &mut Vec<Effect>,
    ) {
        let decisions = self.suspects.add_reported(now, crashes);
        effects.extend(decisions.into_iter().map(Effect::Record));
    }
}
