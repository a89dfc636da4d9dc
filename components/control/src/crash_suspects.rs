//! Tracks requests that are suspected of crashing the targets that run them.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use protocol::{
    Crash,
    Fingerprint,
    PromptPartId, //
};
use record::Decision;
use utils::Name;

/// The number of crashes after which a request is quarantined, that is, no longer run.
const QUARANTINE_CRASH_COUNT: usize = 2;

/// The time in which a crash becomes known to all entries. Until then only the entry that already
/// has the request retries it, so that two entries do not each cause a crash without knowing of
/// the other.
const CRASH_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// How long a request stays suspected after the last crash was learned.
const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// How long a crash is included in heartbeats.
const MAX_GOSSIP_AGE: Duration = Duration::from_secs(30);

/// The maximum number of crashes in one heartbeat.
const MAX_CRASHES_PER_HEARTBEAT: usize = 64;

/// The number of requests that are remembered. Beyond it, those whose last crash is oldest are
/// forgotten, quarantined ones last.
const MAX_SUSPECTS: usize = 4096;

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeSet<(Name, u64)>,
    /// Crashes that the request did not cause, since it later ran to completion.
    cleared: BTreeSet<(Name, u64)>,
    learned_at: Duration,
    /// Whether this process sent the request that was running during one of the crashes.
    is_observed_here: bool,
    /// The revision of [`CrashSuspects`] in which it last changed.
    revision: u64,
}

impl Suspect {
    /// The number of crashes that the request may have caused.
    fn uncleared_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    fn is_quarantined(&self) -> bool {
        self.uncleared_crashes() >= QUARANTINE_CRASH_COUNT
    }

    fn crashes<'a>(&'a self, fingerprint: Fingerprint) -> impl Iterator<Item = Crash> + 'a {
        self.crashes.iter().map(move |id| Crash {
            fingerprint,
            is_cleared: self.cleared.contains(id),
            target: id.0.clone(),
            start_count: id.1,
        })
    }
}

/// The requests that were running when a target crashed, and the crashes.
///
/// The crashes of a request and the cleared crashes are grow-only sets, so reports that arrive
/// twice, late or in another order make no difference.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    by_fingerprint: BTreeMap<Fingerprint, Suspect>,
    /// Number of changes since the process started.
    revision: u64,
}

impl CrashSuspects {
    /// Adds a crash. Returns whether the report contains anything new.
    pub fn record_crash(&mut self, now: Duration, crash: &Crash) -> bool {
        let suspect = self.by_fingerprint.entry(crash.fingerprint).or_default();
        let id = (crash.target.clone(), crash.start_count);
        let mut is_new = suspect.crashes.insert(id.clone());
        if crash.is_cleared {
            is_new |= suspect.cleared.insert(id);
        }
        if is_new {
            suspect.learned_at = now;
            self.revision += 1;
            suspect.revision = self.revision;
        }
        is_new
    }

    /// Adds a crash during a request that this process sent.
    pub fn observe_crash(&mut self, now: Duration, crash: &Crash) {
        self.record_crash(now, crash);
        if let Some(suspect) = self.by_fingerprint.get_mut(&crash.fingerprint) {
            suspect.is_observed_here = true;
        }
    }

    /// Adds crashes that another process reported. Returns the decisions to write to the record.
    pub fn add_reported(&mut self, now: Duration, crashes: &[Crash]) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for crash in crashes {
            if self.record_crash(now, crash) {
                decisions.push(self.decision(crash, None, Vec::new()));
            }
        }
        decisions
    }

    /// The line of the record for a crash, with the request and the shared parts of its prompt if
    /// this process sent it.
    pub fn decision(
        &self,
        crash: &Crash,
        request: Option<Name>,
        prompt_parts: Vec<PromptPartId>,
    ) -> Decision {
        Decision::Suspect {
            fingerprint: crash.fingerprint,
            target: crash.target.clone(),
            quarantined: self.is_quarantined(crash.fingerprint),
            request,
            crashes: self.uncleared_crashes(crash.fingerprint),
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
        let suspect = self.by_fingerprint.get(&fingerprint);
        suspect.is_some_and(|s| now.saturating_sub(s.learned_at) < CRASH_PROPAGATION_TIME)
            && self.is_suspect(fingerprint)
            && !self.is_quarantined(fingerprint)
    }

    /// Whether the request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.by_fingerprint.get(&fingerprint);
        suspect.is_some_and(Suspect::is_quarantined)
    }

    /// Clears a request that ran to completion. Returns whether it was suspected. A quarantined
    /// request is not cleared.
    pub fn clear_request(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        if !self.is_suspect(fingerprint) || self.is_quarantined(fingerprint) {
            return false;
        }
        if let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) {
            suspect.cleared.clone_from(&suspect.crashes);
            suspect.learned_at = now;
            self.revision += 1;
            suspect.revision = self.revision;
        }
        true
    }

    /// The number of crashes that a request may have caused.
    pub fn uncleared_crashes(&self, fingerprint: Fingerprint) -> usize {
        self.by_fingerprint
            .get(&fingerprint)
            .map_or(0, Suspect::uncleared_crashes)
    }

    /// Removes requests whose last crash was learned long ago, and those that are too many.
    pub fn expire(&mut self, now: Duration) {
        self.by_fingerprint
            .retain(|_, suspect| now.saturating_sub(suspect.learned_at) < SUSPICION_TIME);
        let excess = self.by_fingerprint.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let suspects = self.by_fingerprint.iter();
        let mut order: Vec<_> = suspects
            .map(|(fingerprint, s)| (s.is_quarantined(), s.learned_at, *fingerprint))
            .collect();
        order.sort_unstable();
        for (_, _, fingerprint) in order.into_iter().take(excess) {
            self.by_fingerprint.remove(&fingerprint);
        }
    }

    /// Number of changes since the process started.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The crashes of all requests that changed after `revision`.
    pub fn changes_after(&self, revision: u64) -> Vec<Crash> {
        let suspects = self.by_fingerprint.iter();
        let changed = suspects.filter(|(_, suspect)| suspect.revision > revision);
        changed
            .flat_map(|(f, suspect)| suspect.crashes(*f))
            .collect()
    }

    /// The changes after `revision` that this process reports to others: crashes that it observed
    /// itself, and those of quarantined requests, which must outlast the processes that observed
    /// them. None if all of them are cleared: those are reported together with later ones.
    pub fn changes_to_report(&self, revision: u64) -> Vec<Crash> {
        let suspects = self.by_fingerprint.iter();
        let changed: Vec<_> = suspects
            .filter(|(_, s)| s.revision > revision && (s.is_observed_here || s.is_quarantined()))
            .collect();
        if changed.iter().all(|(_, s)| s.uncleared_crashes() == 0) {
            return Vec::new();
        }
        let crashes = changed.into_iter();
        crashes
            .flat_map(|(f, suspect)| suspect.crashes(*f))
            .collect()
    }

    /// The latest crashes, for the next heartbeat.
    pub fn recent_crashes(&self, now: Duration) -> Vec<Crash> {
        let mut recent: Vec<(Duration, Crash)> = Vec::new();
        for (fingerprint, suspect) in &self.by_fingerprint {
            if now.saturating_sub(suspect.learned_at) >= MAX_GOSSIP_AGE {
                continue;
            }
            let crashes = suspect.crashes(*fingerprint);
            recent.extend(crashes.map(|crash| (suspect.learned_at, crash)));
        }
        recent.sort_by(|a, b| b.cmp(a));
        recent.truncate(MAX_CRASHES_PER_HEARTBEAT);
        recent.into_iter().map(|(_, crash)| crash).collect()
    }

    /// The quarantined requests.
    pub fn quarantined_requests(&self) -> Vec<Fingerprint> {
        let all = self.by_fingerprint.keys().copied();
        all.filter(|f| self.is_quarantined(*f)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn crash(target: &str, start_count: u64) -> Crash {
        Crash {
            fingerprint: 7,
            target: target.into(),
            start_count,
            is_cleared: false,
        }
    }

    struct Case {
        name: &'static str,
        crashes: Vec<Crash>,
        quarantined: bool,
    }

    #[test]
    fn two_distinct_crashes_quarantine_a_request() {
        let cases = [
            Case {
                name: "one crash",
                crashes: vec![crash("a", 1)],
                quarantined: false,
            },
            Case {
                name: "one crash reported twice",
                crashes: vec![crash("a", 1), crash("a", 1)],
                quarantined: false,
            },
            Case {
                name: "one target crashed twice",
                crashes: vec![crash("a", 1), crash("a", 2)],
                quarantined: true,
            },
            Case {
                name: "two targets, one of them cleared later",
                crashes: vec![
                    crash("b", 1),
                    crash("a", 1),
                    Crash {
                        is_cleared: true,
                        ..crash("b", 1)
                    },
                ],
                quarantined: false,
            },
            Case {
                name: "cleared before the crash is reported",
                crashes: vec![
                    Crash {
                        is_cleared: true,
                        ..crash("b", 1)
                    },
                    crash("b", 1),
                    crash("a", 1),
                ],
                quarantined: false,
            },
            Case {
                name: "two targets",
                crashes: vec![crash("b", 1), crash("a", 1)],
                quarantined: true,
            },
        ];
        for case in cases {
            let mut suspects = CrashSuspects::default();
            for crash in &case.crashes {
                suspects.record_crash(Duration::ZERO, crash);
            }
            let found = suspects.is_quarantined(7);
            assert_eq!(found, case.quarantined, "{}", case.name);
        }
    }

    #[test]
    fn completed_request_is_cleared_here_and_at_neighbours() {
        let mut suspects = CrashSuspects::default();
        suspects.record_crash(Duration::ZERO, &crash("a", 1));
        assert!(suspects.clear_request(Duration::ZERO, 7));
        assert!(!suspects.is_suspect(7));
        let mut neighbour = CrashSuspects::default();
        neighbour.record_crash(Duration::ZERO, &crash("a", 1));
        for crash in suspects.recent_crashes(Duration::ZERO) {
            neighbour.record_crash(Duration::ZERO, &crash);
        }
        assert!(!neighbour.is_suspect(7));
        // An old report does not make it suspected again; a new crash does.
        suspects.record_crash(Duration::ZERO, &crash("a", 1));
        assert!(!suspects.is_suspect(7));
        suspects.record_crash(Duration::ZERO, &crash("b", 1));
        assert!(suspects.is_suspect(7) && !suspects.is_quarantined(7));
    }

    #[test]
    fn quarantine_ends_only_by_expiry() {
        let mut suspects = CrashSuspects::default();
        suspects.record_crash(Duration::ZERO, &crash("a", 1));
        suspects.record_crash(Duration::ZERO, &crash("b", 1));
        assert!(!suspects.clear_request(Duration::ZERO, 7));
        assert!(suspects.is_quarantined(7));
        suspects.expire(SUSPICION_TIME);
        assert!(!suspects.is_suspect(7));
    }
}
