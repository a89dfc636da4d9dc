//! Decides which suspects are quarantined, and which requests may still test that.
//!
//! A crash speaks against all requests that the target was running and all parts of their prompts, and a
//! completed request speaks for its parts, also if it completed before the crash. Suspects that the same
//! crashes speak against and that nothing speaks for cannot be told apart: requests that have all of them
//! are not sent, and one that has only some of them tests these by its end.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use protocol::{
    Fingerprint,
    PromptPartId,
    Suspect, //
};
use record::Decision;

use super::evidence::{
    CrashId,
    Evidence, //
};
use super::{
    time_since,
    CrashSuspects, //
};

/// The number of crashes after which a request is quarantined, that is, no longer run.
const QUARANTINE_CRASH_COUNT: usize = 2;

/// The interval between the tests of all processes together. A crash is known to all within about this time.
const TEST_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time that a process waits for its turn to test suspects.
const MAX_TURN_TIME: Duration = Duration::from_secs(5);

/// How long after its last crash a doubtful quarantine is tested, and by what factor this grows.
const DOUBT_TIME: Duration = Duration::from_secs(5);
const DOUBT_TIME_GROWTH: u32 = 4;

/// The maximum number of such tests, as each may crash a target.
const MAX_DOUBT_TESTS: u32 = 2;

/// Suspects that the same crashes speak against.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Requests that have all of these are not sent.
    pub suspects: BTreeSet<Suspect>,
    /// Suspects beside them that could have caused all of the crashes but one, which may have had another
    /// cause.
    rivals: BTreeSet<Suspect>,
    crashes: BTreeSet<CrashId>,
    /// Whether requests with the suspects had run to completion before.
    has_completed: bool,
    /// When this process found that the crashes speak against these suspects.
    since: Duration,
    doubt_tests: u32,
    last_test_at: Duration,
}

impl Quarantine {
    /// Whether the request has any of the suspects.
    pub fn concerns(&self, fingerprint: Fingerprint, parts: &[PromptPartId]) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|suspect| is_of(suspect, fingerprint, parts))
    }

    /// Whether the request has all of the suspects, as those that crashed targets.
    pub fn has_all(&self, fingerprint: Fingerprint, parts: &[PromptPartId]) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.all(|suspect| is_of(suspect, fingerprint, parts))
    }

    /// Whether a request with all suspects tells something: if these had completed before, or if other
    /// suspects, which the request does not have, may be the cause.
    fn is_doubtful(&self, fingerprint: Fingerprint, parts: &[PromptPartId]) -> bool {
        let mut rivals = self.rivals.iter();
        self.has_completed || rivals.any(|rival| !is_of(rival, fingerprint, parts))
    }

    /// A number that differs between quarantines.
    pub fn key(&self) -> u64 {
        let numbers = self.suspects.iter().map(|suspect| match suspect {
            Suspect::Request(fingerprint) => *fingerprint,
            Suspect::PromptPart(part) => *part,
        });
        numbers.fold(0, |key: u64, number| key.rotate_left(1) ^ number)
    }

    /// Whether this is about requests, not parts of prompts.
    pub fn is_of_requests(&self) -> bool {
        matches!(self.suspects.first(), Some(Suspect::Request(_)))
    }

    /// Quarantines each suspect alone. A request cannot have several fingerprints, and a test of each of
    /// those that ran at the same targets costs more crashes than their refusal.
    fn split(self) -> impl Iterator<Item = Quarantine> {
        let suspects = self.suspects.clone().into_iter();
        suspects.map(move |suspect| Quarantine {
            suspects: BTreeSet::from([suspect]),
            rivals: BTreeSet::new(),
            ..self.clone()
        })
    }

    /// Keeps what is known of the tests of the same suspects.
    fn continue_tests(&mut self, before: &[Quarantine]) {
        if let Some(known) = before.iter().find(|known| known.suspects == self.suspects) {
            self.since = known.since;
            self.doubt_tests = known.doubt_tests;
            self.last_test_at = known.last_test_at;
        }
    }
}

fn is_of(suspect: &Suspect, fingerprint: Fingerprint, parts: &[PromptPartId]) -> bool {
    match suspect {
        Suspect::Request(suspected) => *suspected == fingerprint,
        Suspect::PromptPart(part) => parts.contains(part),
    }
}

/// A suspect with enough crashes to be quarantined, whatever the cause of these.
pub(super) struct Candidate<'a> {
    pub suspect: Suspect,
    pub evidence: &'a Evidence,
}

impl Candidate<'_> {
    /// The crashes that the suspect may have caused, without those that are explained.
    fn unexplained(&self, explained: &BTreeSet<CrashId>) -> BTreeSet<CrashId> {
        let crashes = self.evidence.uncleared();
        crashes
            .filter(|id| !explained.contains(*id))
            .cloned()
            .collect()
    }
}

impl CrashSuspects {
    /// The quarantines of suspects that a request has.
    pub fn quarantines_of<'a>(
        &'a self,
        fingerprint: Fingerprint,
        parts: &'a [PromptPartId],
    ) -> impl Iterator<Item = &'a Quarantine> {
        let all = self.quarantines.iter();
        all.filter(move |quarantine| quarantine.concerns(fingerprint, parts))
    }

    /// The number of quarantines.
    pub fn quarantine_count(&self) -> usize {
        self.quarantines.len()
    }

    /// Whether a request that a quarantine concerns may be sent now, to test it. `turn`, from 0 to 1, is
    /// the place of this process among the `process_count` that share the tests.
    pub fn may_test(
        &self,
        now: Duration,
        quarantine: &Quarantine,
        fingerprint: Fingerprint,
        parts: &[PromptPartId],
        (turn, process_count): (f64, u32),
    ) -> bool {
        if !quarantine.has_all(fingerprint, parts) {
            let all_turns = TEST_INTERVAL.saturating_mul(process_count);
            return now >= quarantine.since + all_turns.min(MAX_TURN_TIME).mul_f64(turn);
        }
        // The process that had a request at the last crash makes these tests, so that only one does.
        let suspects = quarantine.suspects.iter();
        let last_crash = suspects
            .filter_map(|suspect| self.by_suspect.get(suspect)?.last_crash())
            .max();
        let Some((last_crash, true)) = last_crash else {
            return false;
        };
        let doubt_time = DOUBT_TIME * DOUBT_TIME_GROWTH.pow(quarantine.doubt_tests);
        quarantine.is_doubtful(fingerprint, parts)
            && quarantine.doubt_tests < MAX_DOUBT_TESTS
            && time_since(now, last_crash) >= doubt_time
            && now >= quarantine.last_test_at + doubt_time
    }

    /// Notes that a request is sent although quarantines concern it. Returns the suspects that it tests.
    pub fn note_test(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        parts: &[PromptPartId],
    ) -> Vec<Suspect> {
        let all = self.quarantines.iter_mut();
        let concerned = all.filter(|quarantine| quarantine.concerns(fingerprint, parts));
        let mut tested = Vec::new();
        for quarantine in concerned {
            if quarantine.has_all(fingerprint, parts) {
                quarantine.doubt_tests += 1;
                quarantine.last_test_at = now;
            }
            let suspects = quarantine.suspects.iter();
            tested.extend(suspects.filter(|suspect| is_of(suspect, fingerprint, parts)));
        }
        tested
    }

    /// Whether a quarantine with other suspects explains a crash.
    pub(super) fn is_explained(&self, suspect: Suspect, id: &CrashId) -> bool {
        let explains = |quarantine: &Quarantine| {
            !quarantine.suspects.contains(&suspect) && quarantine.crashes.contains(id)
        };
        !self.is_in_quarantine(suspect) && self.quarantines.iter().any(explains)
    }

    pub(super) fn is_in_quarantine(&self, suspect: Suspect) -> bool {
        let mut all = self.quarantines.iter();
        all.any(|quarantine| quarantine.suspects.contains(&suspect))
    }

    /// Whether requests are not sent because of this suspect alone.
    pub(super) fn is_quarantined_alone(&self, suspect: Suspect) -> bool {
        let is_only =
            |q: &Quarantine| q.suspects.len() == 1 && q.suspects.first() == Some(&suspect);
        self.quarantines.iter().any(is_only)
    }

    /// Determines the quarantines. Returns the decisions to write to the record.
    pub(super) fn update_quarantines(&mut self, now: Duration) -> Vec<Decision> {
        let mut quarantines = self.find_quarantines(now);
        for quarantine in &mut quarantines {
            quarantine.continue_tests(&self.quarantines);
        }
        let before = std::mem::replace(&mut self.quarantines, quarantines);
        let (before, after) = (groups(&before), groups(&self.quarantines));
        let all: BTreeSet<Suspect> = before.keys().chain(after.keys()).copied().collect();
        let mut decisions = Vec::new();
        for suspect in all {
            if before.get(&suspect) == after.get(&suspect) {
                continue;
            }
            self.report_again(suspect);
            if let Suspect::PromptPart(part) = suspect {
                decisions.push(self.part_decision(part));
            }
        }
        decisions
    }

    fn find_quarantines(&self, now: Duration) -> Vec<Quarantine> {
        let mut quarantines = Vec::new();
        let mut explained = BTreeSet::new();
        let parts = self.part_candidates();
        if !parts.is_empty() {
            let joint = self.joint_crashes();
            let charged = self.charged_crashes(&parts);
            let count = |evidence: &Evidence, crashes: &BTreeSet<CrashId>| {
                self.count_against_part(evidence, crashes, &joint, &charged)
            };
            while let Some(quarantine) = next_quarantine(now, &parts, &explained, count) {
                explained.extend(quarantine.crashes.iter().cloned());
                quarantines.push(quarantine);
            }
        }
        let is_request = |suspect: &Suspect| matches!(suspect, Suspect::Request(_));
        let requests = self.candidates(is_request, QUARANTINE_CRASH_COUNT);
        let count = |_: &Evidence, crashes: &BTreeSet<CrashId>| {
            (crashes.len() >= QUARANTINE_CRASH_COUNT).then_some(crashes.len())
        };
        while let Some(quarantine) = next_quarantine(now, &requests, &explained, count) {
            explained.extend(quarantine.crashes.iter().cloned());
            quarantines.extend(quarantine.split());
        }
        quarantines
    }

    /// The suspects of a kind under which at least this many targets crashed, whatever the cause.
    pub(super) fn candidates(
        &self,
        is_of_kind: impl Fn(&Suspect) -> bool,
        min_crashes: usize,
    ) -> Vec<Candidate<'_>> {
        let has_enough = |evidence: &Evidence| evidence.uncleared().count() >= min_crashes;
        let all = self.by_suspect.iter();
        all.filter(|(suspect, evidence)| is_of_kind(suspect) && has_enough(evidence))
            .map(|(suspect, evidence)| Candidate {
                suspect: *suspect,
                evidence,
            })
            .collect()
    }
}

/// The suspects in quarantines, each with those that are in the same one.
fn groups(quarantines: &[Quarantine]) -> BTreeMap<Suspect, BTreeSet<Suspect>> {
    let of_quarantine = |quarantine: &Quarantine| {
        let group = quarantine.suspects.clone();
        let members = quarantine.suspects.clone().into_iter();
        members.map(move |suspect| (suspect, group.clone()))
    };
    quarantines.iter().flat_map(of_quarantine).collect()
}

/// The suspect that most crashes count against beyond those that are `explained`, and those that cannot be
/// told apart from it. Suspects that completed before come last. `count` returns the number of crashes that
/// count against a suspect, if they are enough.
fn next_quarantine(
    now: Duration,
    candidates: &[Candidate<'_>],
    explained: &BTreeSet<CrashId>,
    count: impl Fn(&Evidence, &BTreeSet<CrashId>) -> Option<usize>,
) -> Option<Quarantine> {
    let with_crashes = candidates.iter().map(|c| (c, c.unexplained(explained)));
    let with_crashes: Vec<_> = with_crashes.collect();
    let culprits = with_crashes.iter().filter_map(|(candidate, crashes)| {
        let evidence = candidate.evidence;
        let count = count(evidence, crashes)?;
        let rank = (!evidence.has_completed, count, evidence.position);
        Some((rank, candidate, crashes))
    });
    let ((_, most, _), culprit, crashes) =
        culprits.max_by_key(|(rank, candidate, _)| (*rank, candidate.suspect))?;
    let has_completed = culprit.evidence.has_completed;
    let alike = with_crashes.iter().filter(|(candidate, other)| {
        candidate.evidence.has_completed == has_completed && other == crashes
    });
    let suspects: BTreeSet<Suspect> = alike.map(|(candidate, _)| candidate.suspect).collect();
    let rivals = with_crashes.iter().filter(|(candidate, other)| {
        let shared: BTreeSet<CrashId> = other.intersection(crashes).cloned().collect();
        !candidate.evidence.has_completed
            && !suspects.contains(&candidate.suspect)
            && count(candidate.evidence, &shared).is_some_and(|shared| shared + 1 >= most)
    });
    Some(Quarantine {
        rivals: rivals.map(|(candidate, _)| candidate.suspect).collect(),
        suspects,
        crashes: crashes.clone(),
        has_completed,
        since: now,
        doubt_tests: 0,
        last_test_at: Duration::ZERO,
    })
}
