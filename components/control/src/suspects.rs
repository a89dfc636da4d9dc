//! Requests that may crash the target that runs them.

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

/// Crashes after which a request is not run any more.
const QUARANTINE_CRASHES: usize = 2;

/// How long after a crash a request is tried only by the entry that has it already.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// How long a request stays suspect after the last crash.
const MEMORY: Duration = Duration::from_secs(600);

/// How long a crash is told to neighbours.
const NEWS_AGE: Duration = Duration::from_secs(30);

/// Crashes told in one heartbeat.
const NEWS_COUNT: usize = 64;

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeSet<(Name, u64)>,
    /// Crashes that the request did not cause, since it has run to its end after them.
    cleared: BTreeSet<(Name, u64)>,
    learned: Duration,
}

impl Suspect {
    /// Crashes that the request may have caused.
    fn open(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

/// Requests that were running when a target crashed, and on how many targets.
///
/// The crashes of one request and those that it did not cause are sets that only grow, so hearing
/// of one twice, late or in another order makes no difference.
#[derive(Clone, Debug, Default)]
pub struct Suspects(BTreeMap<Fingerprint, Suspect>);

impl Suspects {
    /// Takes a crash. Returns whether it is news.
    pub fn note(&mut self, now: Duration, crash: &Crash) -> bool {
        let suspect = self.0.entry(crash.fingerprint).or_default();
        let id = (crash.target.clone(), crash.start);
        let mut is_new = suspect.crashes.insert(id.clone());
        if crash.cleared {
            is_new |= suspect.cleared.insert(id);
        }
        if is_new {
            suspect.learned = now;
        }
        is_new
    }

    /// Whether a target crashed while the request ran there, and it has not run well since.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.open(fingerprint) > 0
    }

    /// Whether a target crashed so lately that another entry may still be trying the request. A
    /// second crash there would not be known here in time.
    pub fn is_unsettled(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let suspect = self.0.get(&fingerprint);
        suspect.is_some_and(|s| now.saturating_sub(s.learned) < SETTLE_TIME)
            && self.is_suspect(fingerprint)
            && !self.is_quarantined(fingerprint)
    }

    /// Whether the request is not run any more.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.open(fingerprint) >= QUARANTINE_CRASHES
    }

    /// Clears a request that ran to its end. Returns whether it was suspect.
    pub fn clear(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        if !self.is_suspect(fingerprint) || self.is_quarantined(fingerprint) {
            return false;
        }
        if let Some(suspect) = self.0.get_mut(&fingerprint) {
            suspect.cleared.clone_from(&suspect.crashes);
            suspect.learned = now;
        }
        true
    }

    fn open(&self, fingerprint: Fingerprint) -> usize {
        self.0.get(&fingerprint).map_or(0, Suspect::open)
    }

    /// Forgets crashes that happened long ago.
    pub fn expire(&mut self, now: Duration) {
        self.0
            .retain(|_, suspect| now.saturating_sub(suspect.learned) < MEMORY);
    }

    /// The latest crashes, to tell neighbours.
    pub fn news(&self, now: Duration) -> Vec<Crash> {
        let mut recent: Vec<(Duration, Crash)> = Vec::new();
        for (fingerprint, suspect) in &self.0 {
            if now.saturating_sub(suspect.learned) >= NEWS_AGE {
                continue;
            }
            recent.extend(suspect.crashes.iter().map(|(target, start)| {
                let id = (target.clone(), *start);
                let crash = Crash {
                    fingerprint: *fingerprint,
                    cleared: suspect.cleared.contains(&id),
                    target: target.clone(),
                    start: *start,
                };
                (suspect.learned, crash)
            }));
        }
        recent.sort_by(|a, b| b.cmp(a));
        recent.truncate(NEWS_COUNT);
        recent.into_iter().map(|(_, crash)| crash).collect()
    }

    /// The requests that are not run any more.
    pub fn quarantined(&self) -> Vec<Fingerprint> {
        let all = self.0.keys().copied();
        all.filter(|f| self.is_quarantined(*f)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn crash(target: &str, start: u64) -> Crash {
        Crash {
            fingerprint: 7,
            target: target.into(),
            start,
            cleared: false,
        }
    }

    struct Case {
        name: &'static str,
        crashes: Vec<Crash>,
        quarantined: bool,
    }

    #[test]
    fn two_different_crashes_quarantine() {
        let cases = [
            Case {
                name: "one crash",
                crashes: vec![crash("a", 1)],
                quarantined: false,
            },
            Case {
                name: "one crash heard twice",
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
                        cleared: true,
                        ..crash("b", 1)
                    },
                ],
                quarantined: false,
            },
            Case {
                name: "cleared before the crash is heard of",
                crashes: vec![
                    Crash {
                        cleared: true,
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
            let mut suspects = Suspects::default();
            for crash in &case.crashes {
                suspects.note(Duration::ZERO, crash);
            }
            let found = suspects.is_quarantined(7);
            assert_eq!(found, case.quarantined, "{}", case.name);
        }
    }

    #[test]
    fn a_request_that_ran_to_its_end_is_cleared_and_its_neighbours_learn_it() {
        let mut suspects = Suspects::default();
        suspects.note(Duration::ZERO, &crash("a", 1));
        assert!(suspects.clear(Duration::ZERO, 7));
        assert!(!suspects.is_suspect(7));
        let mut neighbour = Suspects::default();
        neighbour.note(Duration::ZERO, &crash("a", 1));
        for crash in suspects.news(Duration::ZERO) {
            neighbour.note(Duration::ZERO, &crash);
        }
        assert!(!neighbour.is_suspect(7));
        // The old news makes it no suspect again, and a new crash does.
        suspects.note(Duration::ZERO, &crash("a", 1));
        assert!(!suspects.is_suspect(7));
        suspects.note(Duration::ZERO, &crash("b", 1));
        assert!(suspects.is_suspect(7) && !suspects.is_quarantined(7));
    }

    #[test]
    fn quarantine_ends_by_time_only() {
        let mut suspects = Suspects::default();
        suspects.note(Duration::ZERO, &crash("a", 1));
        suspects.note(Duration::ZERO, &crash("b", 1));
        assert!(!suspects.clear(Duration::ZERO, 7));
        assert!(suspects.is_quarantined(7));
        suspects.expire(MEMORY);
        assert!(!suspects.is_suspect(7));
    }
}
