//! Decides which crashes count against parts of prompts.
//!
//! An engine that crashes was running requests with many parts, most of them innocent, and several
//! engines may crash together for another reason. So a part is quarantined only after crashes in a
//! row: each under a request that was sent when the crash before it was known, without a request
//! with the part that ran to completion in between.

use std::collections::BTreeSet;
use std::time::Duration;

use protocol::{
    PromptPartId,
    Suspect, //
};
use record::Decision;

use super::evidence::{
    CrashId,
    Evidence,
    SEPARATE_CRASH_TIME, //
};
use super::quarantine::Candidate;
use super::CrashSuspects;

/// The number of crashes in a row after which a part is quarantined.
const QUARANTINE_ROUNDS: usize = 3;

/// The number of crashes, in a row or not, after which a part is quarantined if they happened at
/// `QUARANTINE_ROUNDS` different times: requests that come often crash most targets before the
/// first crash is known everywhere.
const QUARANTINE_CRASHES: usize = 5;

/// The share of all targets whose crashes at the same time have a common cause: one in this number.
const JOINT_CRASH_DIVISOR: usize = 2;

/// The minimum number of such targets.
const MIN_JOINT_CRASHES: usize = 3;

/// The maximum number of other parts in a list of a line of the record.
const MAX_RECORDED_PARTS: usize = 8;

impl CrashSuspects {
    /// Whether no request whose prompt has this part is sent to targets.
    pub fn is_part_quarantined(&self, part: PromptPartId) -> bool {
        self.is_quarantined_alone(Suspect::PromptPart(part))
    }

    /// The round of a crash under a request with this part that is sent now.
    pub fn next_round(&self, now: Duration, part: PromptPartId) -> u32 {
        let suspect = Suspect::PromptPart(part);
        let Some(evidence) = self.by_suspect.get(&suspect) else {
            return 1;
        };
        let crashes = evidence.uncleared();
        let crashes = crashes.filter(|id| !self.is_explained(suspect, id));
        let rounds = crashes.map(|id| evidence.round_after(now, id));
        rounds.max().unwrap_or(1)
    }

    /// Clears the parts of the prompt of a request that ran to completion. Returns the decisions to
    /// write to the record.
    pub fn clear_parts(&mut self, now: Duration, parts: &[PromptPartId]) -> Vec<Decision> {
        let mut is_changed = false;
        for part in parts {
            let suspect = Suspect::PromptPart(*part);
            self.completions.add(now, suspect);
            let evidence = self.by_suspect.get_mut(&suspect);
            if let Some(evidence) = evidence.filter(|e| e.uncleared().next().is_some()) {
                // After one crash others need not be told at once: they clear the part themselves.
                let is_urgent = evidence.uncleared().nth(1).is_some();
                evidence.is_clearing_urgent = is_urgent;
                evidence.is_first_hand |= is_urgent;
                self.clear(now, suspect);
                is_changed = true;
            }
        }
        if is_changed {
            self.update_quarantines(now)
        } else {
            Vec::new()
        }
    }

    /// The line of the record for a part whose quarantine began, changed or ended.
    pub(super) fn part_decision(&self, part: PromptPartId) -> Decision {
        let evidence = self.by_suspect.get(&Suspect::PromptPart(part));
        let rivals = evidence.map_or_else(Vec::new, |evidence| self.rivals(part, evidence));
        let completed_rivals = rivals.iter().filter(|(_, has_completed)| *has_completed);
        Decision::PromptPart {
            part,
            quarantined: self.is_in_quarantine(Suspect::PromptPart(part)),
            together: self.quarantined_together(part),
            crashes: evidence.map_or(0, |evidence| evidence.uncleared().count()),
            completed: evidence.is_some_and(|evidence| evidence.has_completed),
            completed_rivals: completed_rivals.map(|(part, _)| *part).collect(),
            rivals: rivals.into_iter().map(|(part, _)| part).collect(),
        }
    }

    /// Other parts that have enough crashes in common with this one to have caused them, and whether
    /// requests with them had run to completion before.
    fn rivals(&self, part: PromptPartId, evidence: &Evidence) -> Vec<(PromptPartId, bool)> {
        let candidates = self.part_candidates().into_iter();
        let shares_crashes = |other: &Evidence| {
            let shared = evidence.uncleared().filter(|id| other.is_uncleared(id));
            shared.count() >= QUARANTINE_ROUNDS
        };
        let rivals = candidates.filter_map(|candidate| match candidate.suspect {
            Suspect::PromptPart(other) if other != part && shares_crashes(candidate.evidence) => {
                Some((other, candidate.evidence.has_completed))
            }
            _ => None,
        });
        rivals.take(MAX_RECORDED_PARTS).collect()
    }

    /// The other parts that requests must have as well not to be sent.
    fn quarantined_together(&self, part: PromptPartId) -> Vec<PromptPartId> {
        let suspect = Suspect::PromptPart(part);
        let mut all = self.quarantines.iter();
        let Some(quarantine) = all.find(|quarantine| quarantine.suspects.contains(&suspect)) else {
            return Vec::new();
        };
        let others = quarantine.suspects.iter().filter_map(|other| match other {
            Suspect::PromptPart(other) if *other != part => Some(*other),
            _ => None,
        });
        others.take(MAX_RECORDED_PARTS).collect()
    }

    /// The parts under which enough targets crashed, whatever the cause.
    pub(super) fn part_candidates(&self) -> Vec<Candidate<'_>> {
        let is_part = |suspect: &Suspect| matches!(suspect, Suspect::PromptPart(_));
        self.candidates(is_part, QUARANTINE_ROUNDS)
    }

    /// The crashes under candidates that never completed, which therefore do not count against parts that
    /// did.
    pub(super) fn charged_crashes<'a>(
        &self,
        candidates: &[Candidate<'a>],
    ) -> BTreeSet<&'a CrashId> {
        let unproven = candidates.iter().filter(|c| !c.evidence.has_completed);
        unproven
            .flat_map(|candidate| candidate.evidence.uncleared())
            .collect()
    }

    /// The number of crashes that count against a part, if they are enough.
    pub(super) fn count_against_part(
        &self,
        evidence: &Evidence,
        crashes: &BTreeSet<CrashId>,
        joint: &BTreeSet<&CrashId>,
        charged: &BTreeSet<&CrashId>,
    ) -> Option<usize> {
        let has_completed = evidence.has_completed;
        let is_charged = |id: &CrashId| has_completed && charged.contains(id);
        let counts = |id: &&CrashId| !(joint.contains(id) || is_charged(id));
        let counted: Vec<_> = crashes.iter().filter(counts).collect();
        let rounds: BTreeSet<u32> = counted.iter().map(|id| evidence.round(id)).collect();
        let is_in_a_row = !has_completed && rounds.len() >= QUARANTINE_ROUNDS;
        let is_often =
            counted.len() >= QUARANTINE_CRASHES && self.count_times(&counted) >= QUARANTINE_ROUNDS;
        (is_in_a_row || is_often).then_some(counted.len())
    }

    /// The number of different times at which these crashes happened.
    fn count_times(&self, ids: &[&CrashId]) -> usize {
        let mut times: Vec<Duration> = ids
            .iter()
            .filter_map(|id| self.ended_at.get(*id).copied())
            .collect();
        times.sort_unstable();
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
        let separate = gaps.filter(|gap| *gap >= SEPARATE_CRASH_TIME);
        separate.count() + usize::from(!times.is_empty())
    }

    /// The crashes at whose time a large share of all targets crashed. These have a common cause, for
    /// example a loss of power.
    pub(super) fn joint_crashes(&self) -> BTreeSet<&CrashId> {
        let joint_count = self
            .known_targets
            .div_ceil(JOINT_CRASH_DIVISOR)
            .max(MIN_JOINT_CRASHES);
        let mut by_time: Vec<_> = self.ended_at.iter().map(|(id, at)| (*at, id)).collect();
        by_time.sort_unstable();
        let mut joint = BTreeSet::new();
        for window in by_time.windows(joint_count) {
            let (first, last) = (window[0].0, window[joint_count - 1].0);
            if last - first < SEPARATE_CRASH_TIME {
                joint.extend(window.iter().map(|(_, id)| *id));
            }
        }
        joint
    }
}
