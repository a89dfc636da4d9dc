//! Decides which parts of prompts are quarantined.
//!
//! An engine that crashes was running requests with many parts, most of them innocent, and several
//! engines may crash together for another reason. So a part is quarantined only after crashes in a
//! row: each under a request that was sent when the crash before it was known, without a request
//! with the part that ran to completion in between. And a crash that a quarantined part explains
//! is no evidence against the other parts of the requests that were running.

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
use super::CrashSuspects;

/// The number of crashes in a row after which a part is quarantined.
const QUARANTINE_ROUNDS: usize = 3;

/// The number of crashes, in a row or not, after which a part is quarantined if they happened at
/// `QUARANTINE_ROUNDS` different times: requests that come often crash most targets before the
/// first crash is known everywhere.
const QUARANTINE_CRASHES: usize = 5;

/// The share of all targets whose crashes at the same time have a common cause: one in this number.
const JOINT_CRASH_DIVISOR: usize = 2;

/// The maximum number of other parts in one line of the record.
const MAX_RECORDED_RIVALS: usize = 8;

/// The minimum number of such targets.
const MIN_JOINT_CRASHES: usize = 3;

impl CrashSuspects {
    /// Whether requests whose prompt has this part are not sent to targets.
    pub fn is_part_quarantined(&self, part: PromptPartId) -> bool {
        self.quarantined_parts.contains(&part)
    }

    /// The round of a crash under a request with this part that is sent now.
    pub fn next_round(&self, now: Duration, part: PromptPartId) -> u32 {
        let Some(evidence) = self.by_suspect.get(&Suspect::PromptPart(part)) else {
            return 1;
        };
        let crashes = evidence.unexplained(&self.explained);
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
            self.update_quarantined_parts()
        } else {
            Vec::new()
        }
    }

    /// Determines the quarantined parts and the crashes that they explain. Returns the decisions to
    /// write to the record.
    pub(super) fn update_quarantined_parts(&mut self) -> Vec<Decision> {
        let mut quarantined = BTreeSet::new();
        let mut explained = BTreeSet::new();
        let candidates = self.candidates();
        if !candidates.is_empty() {
            let joint = self.joint_crashes();
            while let Some((part, crashes)) = self.next_culprit(&candidates, &explained, &joint) {
                quarantined.insert(part);
                explained.extend(crashes);
            }
        }
        let before = std::mem::replace(&mut self.quarantined_parts, quarantined);
        self.explained = explained;
        let changed: Vec<_> = before
            .symmetric_difference(&self.quarantined_parts)
            .copied()
            .collect();
        for part in &changed {
            self.report_again(Suspect::PromptPart(*part));
        }
        changed
            .iter()
            .map(|part| self.part_decision(*part))
            .collect()
    }

    fn part_decision(&self, part: PromptPartId) -> Decision {
        let evidence = self.by_suspect.get(&Suspect::PromptPart(part));
        let rivals = evidence.map_or_else(Vec::new, |evidence| self.rivals(part, evidence));
        let completed_rivals = rivals.iter().filter(|(_, has_completed)| *has_completed);
        Decision::PromptPart {
            part,
            quarantined: self.is_part_quarantined(part),
            crashes: evidence.map_or(0, |evidence| evidence.uncleared().count()),
            completed: evidence.is_some_and(|evidence| evidence.has_completed),
            completed_rivals: completed_rivals.map(|(part, _)| *part).collect(),
            rivals: rivals.into_iter().map(|(part, _)| part).collect(),
        }
    }

    /// Other parts that have enough crashes in common with this one to have caused them, and whether
    /// requests with them had run to completion before.
    fn rivals(&self, part: PromptPartId, evidence: &Evidence) -> Vec<(PromptPartId, bool)> {
        let candidates = self.candidates().into_iter();
        let shares_crashes = |other: &Evidence| {
            let shared = evidence.uncleared().filter(|id| other.is_uncleared(id));
            shared.count() >= QUARANTINE_ROUNDS
        };
        let rivals = candidates.filter(|(other, e)| *other != part && shares_crashes(e));
        rivals
            .map(|(other, evidence)| (other, evidence.has_completed))
            .take(MAX_RECORDED_RIVALS)
            .collect()
    }

    /// The parts under which enough targets crashed, whatever the cause.
    fn candidates(&self) -> Vec<(PromptPartId, &Evidence)> {
        let parts = self
            .by_suspect
            .iter()
            .filter_map(|(suspect, evidence)| match suspect {
                Suspect::PromptPart(part) => Some((*part, evidence)),
                Suspect::Request(_) => None,
            });
        let has_enough =
            |evidence: &Evidence| evidence.uncleared().nth(QUARANTINE_ROUNDS - 1).is_some();
        parts.filter(|(_, evidence)| has_enough(evidence)).collect()
    }

    /// A part that crashed enough targets in a row, and the crashes under it beyond those that are
    /// `explained`. Of several parts it is the last in its prompt, which the fewest requests share.
    fn next_culprit(
        &self,
        candidates: &[(PromptPartId, &Evidence)],
        explained: &BTreeSet<CrashId>,
        joint: &BTreeSet<&CrashId>,
    ) -> Option<(PromptPartId, Vec<CrashId>)> {
        let culprits = candidates.iter().filter_map(|(part, evidence)| {
            let crashes: Vec<CrashId> = evidence.unexplained(explained).cloned().collect();
            let counted: Vec<_> = crashes.iter().filter(|id| !joint.contains(id)).collect();
            let rounds: BTreeSet<u32> = counted.iter().map(|id| evidence.round(id)).collect();
            let is_culprit = rounds.len() >= QUARANTINE_ROUNDS
                || (counted.len() >= QUARANTINE_CRASHES
                    && self.count_times(&counted) >= QUARANTINE_ROUNDS);
            is_culprit.then_some((evidence.position, counted.len(), *part, crashes))
        });
        let (.., part, crashes) =
            culprits.max_by_key(|(position, count, part, _)| (*position, *count, *part))?;
        Some((part, crashes))
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
    fn joint_crashes(&self) -> BTreeSet<&CrashId> {
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
