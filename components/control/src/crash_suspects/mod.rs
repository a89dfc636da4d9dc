//! Tracks requests, and parts of prompts, that are suspected of crashing the targets that run them.

mod completions;
mod evidence;
mod prompt_parts;
mod quarantine;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use protocol::{
    Crash,
    Fingerprint,
    PromptPartId,
    Suspect, //
};
use record::Decision;
use utils::Name;

use self::completions::Completions;
use self::evidence::{
    CrashId,
    Evidence, //
};
pub use self::quarantine::Quarantine;

/// The time in which a crash becomes known to all entries. Until then only the entry that already
/// has the request retries it, so that two entries do not each cause a crash without knowing of
/// the other.
const CRASH_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// How long a crash counts.
const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// How long a crash is included in heartbeats.
const MAX_GOSSIP_AGE: Duration = Duration::from_secs(30);

/// The maximum number of crashes in one heartbeat.
const MAX_CRASHES_PER_HEARTBEAT: usize = 64;

/// The number of suspects that are remembered. Beyond it, those whose last crash is oldest are
/// forgotten, quarantined ones last.
const MAX_SUSPECTS: usize = 4096;

/// The number of crashes under a suspect that are usual after other trouble.
const FEW_CRASHES: usize = 2;

/// The time of a crash, which may be before the start of the clock, plus [`SUSPICION_TIME`].
fn time_of_crash(now: Duration, crash: &Crash) -> Duration {
    (now + SUSPICION_TIME).saturating_sub(Duration::from_millis(crash.age_ms))
}

/// The time that has passed since a [`time_of_crash`].
fn time_since(now: Duration, time_of_crash: Duration) -> Duration {
    (now + SUSPICION_TIME).saturating_sub(time_of_crash)
}

/// The requests that were running when a target crashed, the parts of their prompts, and the crashes.
///
/// The crashes of a suspect and the cleared crashes are grow-only sets, so reports that arrive
/// twice, late or in another order make no difference.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    by_suspect: BTreeMap<Suspect, Evidence>,
    completions: Completions,
    quarantines: Vec<Quarantine>,
    /// The time of each crash, by [`time_of_crash`].
    ended_at: BTreeMap<CrashId, Duration>,
    /// Number of targets that may crash.
    known_targets: usize,
    /// Number of changes since the process started.
    revision: u64,
}

impl CrashSuspects {
    /// Adds a crash. Returns whether the report contains anything new.
    fn record_crash(&mut self, now: Duration, crash: &Crash) -> bool {
        if Duration::from_millis(crash.age_ms) >= SUSPICION_TIME {
            return false;
        }
        let revision = self.revision + 1;
        let has_completed = self.completions.contains(now, crash.suspect);
        let evidence = self.by_suspect.entry(crash.suspect).or_default();
        let is_new = evidence.add(now, crash, revision);
        evidence.has_completed |= has_completed;
        if !is_new {
            return false;
        }
        // Others may not know that it had completed.
        evidence.is_first_hand |= has_completed
            && !crash.has_completed
            && evidence.uncleared().nth(FEW_CRASHES).is_some();
        self.revision = revision;
        let id = (crash.target.clone(), crash.start_count);
        let ended_at = time_of_crash(now, crash);
        let known = self.ended_at.entry(id).or_insert(ended_at);
        *known = ended_at.min(*known);
        true
    }

    /// Adds crashes during a request that this process sent. Returns the decisions to write to the
    /// record on parts of its prompt.
    pub fn observe_crashes(&mut self, now: Duration, crashes: &[Crash]) -> Vec<Decision> {
        for crash in crashes {
            self.record_crash(now, crash);
            if let Some(evidence) = self.by_suspect.get_mut(&crash.suspect) {
                evidence.mark_own(&crash.target, crash.start_count);
            }
        }
        self.update_quarantines(now)
    }

    /// Adds crashes that another process reported. Returns the decisions to write to the record.
    pub fn add_reported(&mut self, now: Duration, crashes: &[Crash]) -> Vec<Decision> {
        let new: Vec<&Crash> = crashes
            .iter()
            .filter(|crash| self.record_crash(now, crash))
            .collect();
        if new.is_empty() {
            return Vec::new();
        }
        let part_decisions = self.update_quarantines(now);
        let requests = new.into_iter().filter_map(|crash| match crash.suspect {
            Suspect::Request(fingerprint) => {
                Some(self.decision(fingerprint, &crash.target, None, Vec::new()))
            }
            Suspect::PromptPart(_) => None,
        });
        requests.chain(part_decisions).collect()
    }

    /// The line of the record for a crash, with the request and the shared parts of its prompt if
    /// this process sent it.
    pub fn decision(
        &self,
        fingerprint: Fingerprint,
        target: &Name,
        request: Option<Name>,
        prompt_parts: Vec<PromptPartId>,
    ) -> Decision {
        Decision::Suspect {
            fingerprint,
            target: target.clone(),
            quarantined: self.is_quarantined(fingerprint),
            request,
            crashes: self.uncleared_crashes(fingerprint),
            prompt_parts,
        }
    }

    /// Whether a target crashed while running the request, which has not run to completion since.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.uncleared_crashes(fingerprint) > 0
    }

    /// Whether the last crash is so recent that another entry may still be retrying the request. A
    /// second crash caused by that retry may not be known here yet.
    pub fn may_be_retried_elsewhere(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let evidence = self.by_suspect.get(&Suspect::Request(fingerprint));
        evidence.is_some_and(|e| now.saturating_sub(e.learned_at) < CRASH_PROPAGATION_TIME)
            && self.is_suspect(fingerprint)
            && !self.is_quarantined(fingerprint)
    }

    /// Whether the request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.is_quarantined_alone(Suspect::Request(fingerprint))
    }

    /// Clears a request that ran to completion. Returns whether it was suspected.
    pub fn clear_request(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let suspect = Suspect::Request(fingerprint);
        self.completions.add(now, suspect);
        if !self.is_suspect(fingerprint) {
            return false;
        }
        self.clear(now, suspect);
        self.update_quarantines(now);
        true
    }

    /// The number of crashes that a request may have caused.
    pub fn uncleared_crashes(&self, fingerprint: Fingerprint) -> usize {
        let suspect = Suspect::Request(fingerprint);
        self.by_suspect.get(&suspect).map_or(0, |evidence| {
            let crashes = evidence.uncleared();
            crashes.filter(|id| !self.is_explained(suspect, id)).count()
        })
    }

    /// Removes crashes of long ago, and suspects that are too many. Returns the decisions to write to
    /// the record.
    pub fn expire(&mut self, now: Duration) -> Vec<Decision> {
        let crash_count = self.ended_at.len();
        self.ended_at
            .retain(|_, at| time_since(now, *at) < SUSPICION_TIME);
        let has_expired = self.ended_at.len() < crash_count;
        if has_expired {
            let ended_at = &self.ended_at;
            self.by_suspect.retain(|_, evidence| {
                evidence.retain_crashes(|id| ended_at.contains_key(id));
                !evidence.is_empty()
            });
        }
        if self.remove_excess() || has_expired {
            self.update_quarantines(now)
        } else {
            Vec::new()
        }
    }

    /// Removes suspects beyond the maximum number. Returns whether there were any.
    fn remove_excess(&mut self) -> bool {
        let excess = self.by_suspect.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return false;
        }
        let mut order: Vec<_> = self
            .by_suspect
            .iter()
            .map(|(suspect, e)| (self.is_in_quarantine(*suspect), e.learned_at, *suspect))
            .collect();
        order.sort_unstable();
        for (_, _, suspect) in order.into_iter().take(excess) {
            self.by_suspect.remove(&suspect);
        }
        true
    }

    /// Sets the number of targets that may crash.
    pub fn set_known_targets(&mut self, count: usize) {
        self.known_targets = count;
    }

    /// Number of changes since the process started.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The crashes of all suspects that changed after `revision`.
    pub fn changes_after(&self, now: Duration, revision: u64) -> Vec<Crash> {
        let all = self.by_suspect.iter();
        let changed = all.filter(|(_, evidence)| evidence.revision > revision);
        changed
            .flat_map(|(suspect, evidence)| evidence.crashes_after(now, *suspect, revision))
            .collect()
    }

    /// The changes after `revision` that this process reports to others: those that it made itself,
    /// and those of quarantined suspects, which must outlast the processes that observed them. None
    /// if they only clear suspects and none of that is urgent: those are reported together with later
    /// ones.
    pub fn changes_to_report(&self, now: Duration, revision: u64) -> Vec<Crash> {
        let is_told = |suspect: &Suspect, evidence: &Evidence| {
            evidence.revision > revision
                && (evidence.is_first_hand || self.is_in_quarantine(*suspect))
        };
        let changed: Vec<_> = self
            .by_suspect
            .iter()
            .filter(|(suspect, evidence)| is_told(suspect, evidence))
            .collect();
        let can_wait = |(_, evidence): &(&Suspect, &Evidence)| {
            evidence.uncleared().next().is_none() && !evidence.is_clearing_urgent
        };
        if changed.iter().all(can_wait) {
            return Vec::new();
        }
        let changed = changed.into_iter();
        changed
            .flat_map(|(suspect, evidence)| evidence.crashes_after(now, *suspect, revision))
            .collect()
    }

    /// The latest crashes, for the next heartbeat.
    pub fn recent_crashes(&self, now: Duration) -> Vec<Crash> {
        let mut recent: Vec<(Duration, Crash)> = Vec::new();
        for (suspect, evidence) in &self.by_suspect {
            if now.saturating_sub(evidence.learned_at) >= MAX_GOSSIP_AGE {
                continue;
            }
            let crashes = evidence.crashes_after(now, *suspect, 0);
            recent.extend(crashes.map(|crash| (evidence.learned_at, crash)));
        }
        recent.sort_by(|a, b| b.cmp(a));
        recent.truncate(MAX_CRASHES_PER_HEARTBEAT);
        recent.into_iter().map(|(_, crash)| crash).collect()
    }

    /// The quarantined requests.
    pub fn quarantined_requests(&self) -> Vec<Fingerprint> {
        let all = self.by_suspect.keys();
        let requests = all.filter_map(|suspect| match suspect {
            Suspect::Request(fingerprint) => Some(*fingerprint),
            Suspect::PromptPart(_) => None,
        });
        requests.filter(|f| self.is_quarantined(*f)).collect()
    }

    /// Marks all crashes of a suspect as not caused by it.
    fn clear(&mut self, now: Duration, suspect: Suspect) {
        self.revision += 1;
        if let Some(evidence) = self.by_suspect.get_mut(&suspect) {
            evidence.clear(now, self.revision);
        }
    }

    /// Reports all crashes of a suspect to others again, which may not know all of them.
    fn report_again(&mut self, suspect: Suspect) {
        self.revision += 1;
        if let Some(evidence) = self.by_suspect.get_mut(&suspect) {
            evidence.touch(self.revision);
        }
    }
}
