//! Tracks requests that are suspected of crashing the targets that run them.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use protocol::{
    Crash,
    Fingerprint, //
};
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

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeSet<(Name, u64)>,
    /// Crashes that the request did not cause, since it later ran to completion.
    cleared: BTreeSet<(Name, u64)>,
    learned_at: Duration,
}

impl Suspect {
    /// The number of crashes that the request may have caused.
    fn uncleared_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

/// The requests that were running when a target crashed, and the crashes.
///
/// The crashes of a request and the cleared crashes are grow-only sets, so reports that arrive
/// twice, late or in another order make no difference.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects(BTreeMap<Fingerprint, Suspect>);

impl CrashSuspects {
    /// Adds a crash. Returns whether the report contains anything new.
    pub fn record_crash(&mut self, now: Duration, crash: &Crash) -> bool {
        let suspect = self.0.entry(crash.fingerprint).or_default();
        let id = (crash.target.clone(), crash.start_count);
        let mut is_new = suspect.crashes.insert(id.clone());
        if crash.is_cleared {
            is_new |= suspect.cleared.insert(id);
        }
        if is_new {
            suspect.learned_at = now;
        }
        is_new
    }

    /// Whether a target crashed while running the request, which has not run to completion since.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.uncleared_crashes(fingerprint) > 0
    }

    /// Whether the last crash is so recent that another entry may still be retrying the request. A
    /// second crash caused by that retry may not be known here yet.
    pub fn may_be_retried_elsewhere(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let suspect = self.0.get(&fingerprint);
        suspect.is_some_and(|s| now.saturating_sub(s.learned_at) < CRASH_PROPAGATION_TIME)
            && self.is_suspect(fingerprint)
            && !self.is_quarantined(fingerprint)
    }

    /// Whether the request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.uncleared_crashes(fingerprint) >= QUARANTINE_CRASH_COUNT
    }

    /// Clears a request that ran to completion. Returns whether it was suspected. A quarantined
    /// request is not cleared.
    pub fn clear_request(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        if !self.is_suspect(fingerprint) || self.is_quarantined(fingerprint) {
            return false;
        }
        if let Some(suspect) = self.0.get_mut(&fingerprint) {
            suspect.cleared.clone_from(&suspect.crashes);
            suspect.learned_at = now;
        }
        true
    }

    /// The number of crashes that a request may have caused.
    pub fn uncleared_crashes(&self, fingerprint: Fingerprint) -> usize {
        self.0
            .get(&fingerprint)
            .map_or(0, Suspect::uncleared_crashes)
    }

    /// Removes requests whose last crash was learned long ago.
    pub fn expire(&mut self, now: Duration) {
        self.0
            .retain(|_, suspect| now.saturating_sub(suspect.learned_at) < SUSPICION_TIME);
    }

    /// The latest crashes, for the next heartbeat.
    pub fn recent_crashes(&self, now: Duration) -> Vec<Crash> {
        let mut recent: Vec<(Duration, Crash)> = Vec::new();
        for (fingerprint, suspect) in &self.0 {
            if now.saturating_sub(suspect.learned_at) >= MAX_GOSSIP_AGE {
                continue;
            }
            recent.extend(suspect.crashes.iter().map(|(target, start_count)| {
                let id = (target.clone(), *start_count);
                let crash = Crash {
                    fingerprint: *fingerprint,
                    is_cleared: suspect.cleared.contains(&id),
                    target: target.clone(),
                    start_count: *start_count,
                };
                (suspect.learned_at, crash)
            }));
        }
        recent.sort_by(|a, b| b.cmp(a));
        recent.truncate(MAX_CRASHES_PER_HEARTBEAT);
        recent.into_iter().map(|(_, crash)| crash).collect()
    }

    /// The quarantined requests.
    pub fn quarantined_requests(&self) -> Vec<Fingerprint> {
        let all = self.0.keys().copied();
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
