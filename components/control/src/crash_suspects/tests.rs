//! When requests are quarantined, and when they no longer are.

use super::*;

fn crash(target: &str, start_count: u64) -> Crash {
    Crash::of_request(7, target.into(), start_count)
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
            suspects.add_reported(Duration::ZERO, std::slice::from_ref(crash));
        }
        let found = suspects.is_quarantined(7);
        assert_eq!(found, case.quarantined, "{}", case.name);
    }
}

#[test]
fn completed_request_is_cleared_here_and_at_neighbours() {
    let mut suspects = CrashSuspects::default();
    suspects.add_reported(Duration::ZERO, &[crash("a", 1)]);
    assert!(suspects.clear_request(Duration::ZERO, 7));
    assert!(!suspects.is_suspect(7));
    let mut neighbour = CrashSuspects::default();
    neighbour.add_reported(Duration::ZERO, &[crash("a", 1)]);
    for crash in suspects.recent_crashes(Duration::ZERO) {
        neighbour.add_reported(Duration::ZERO, &[crash]);
    }
    assert!(!neighbour.is_suspect(7));
    // An old report does not make it suspected again; a new crash does.
    suspects.add_reported(Duration::ZERO, &[crash("a", 1)]);
    assert!(!suspects.is_suspect(7));
    suspects.add_reported(Duration::ZERO, &[crash("b", 1)]);
    assert!(suspects.is_suspect(7) && !suspects.is_quarantined(7));
}

#[test]
fn quarantine_ends_by_completion_or_expiry() {
    for completes in [true, false] {
        let mut suspects = CrashSuspects::default();
        suspects.add_reported(Duration::ZERO, &[crash("a", 1)]);
        suspects.add_reported(Duration::ZERO, &[crash("b", 1)]);
        assert!(suspects.is_quarantined(7));
        suspects.expire(SUSPICION_TIME - Duration::from_millis(1));
        assert!(suspects.is_quarantined(7));
        if completes {
            assert!(suspects.clear_request(Duration::ZERO, 7));
        } else {
            suspects.expire(SUSPICION_TIME);
        }
        assert!(!suspects.is_suspect(7), "completes: {completes}");
    }
}

const PART: u64 = 9;

/// A crash under the part, at a time in milliseconds.
fn part_crash(at_ms: u64, target: &str, round: u32) -> (u64, Crash) {
    let crash = Crash {
        suspect: Suspect::PromptPart(PART),
        round,
        ..crash(target, 1)
    };
    (at_ms, crash)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn part_is_quarantined_after_crashes_in_a_row() {
    struct PartCase {
        name: &'static str,
        crashes: Vec<(u64, Crash)>,
        /// When a request with the part ran to completion.
        completed_at_ms: Option<u64>,
        quarantined: bool,
    }
    let in_a_row = vec![
        part_crash(1000, "a", 1),
        part_crash(2000, "b", 2),
        part_crash(3000, "c", 3),
    ];
    let often: Vec<_> = (0..5)
        .map(|n| part_crash(1000 + 200 * n, &n.to_string(), 1))
        .collect();
    let together: Vec<_> = (0..6)
        .map(|n| part_crash(1000 + n, &n.to_string(), 1))
        .collect();
    let cases = [
        PartCase {
            name: "three in a row",
            crashes: in_a_row.clone(),
            completed_at_ms: None,
            quarantined: true,
        },
        PartCase {
            name: "two in a row",
            crashes: in_a_row[..2].to_vec(),
            completed_at_ms: None,
            quarantined: false,
        },
        PartCase {
            name: "completed between the second and the third",
            crashes: in_a_row.clone(),
            completed_at_ms: Some(2500),
            quarantined: false,
        },
        PartCase {
            name: "completed after the third",
            crashes: in_a_row,
            completed_at_ms: Some(3500),
            quarantined: false,
        },
        PartCase {
            name: "five, none sent when another was known",
            crashes: often.clone(),
            completed_at_ms: None,
            quarantined: true,
        },
        PartCase {
            name: "four of these",
            crashes: often[..4].to_vec(),
            completed_at_ms: None,
            quarantined: false,
        },
        PartCase {
            name: "six of twelve targets at once",
            crashes: together.clone(),
            completed_at_ms: None,
            quarantined: false,
        },
        PartCase {
            name: "two after six at once",
            crashes: [
                together,
                vec![part_crash(2000, "x", 2), part_crash(3000, "y", 3)],
            ]
            .concat(),
            completed_at_ms: None,
            quarantined: false,
        },
    ];
    for case in cases {
        let mut suspects = CrashSuspects::default();
        suspects.set_known_targets(12);
        let mut completed_at = case.completed_at_ms;
        for (at, crash) in &case.crashes {
            if let Some(completed) = completed_at.take_if(|completed| *completed < *at) {
                suspects.clear_parts(ms(completed), &[PART]);
            }
            suspects.add_reported(ms(*at), std::slice::from_ref(crash));
        }
        if let Some(completed) = completed_at {
            suspects.clear_parts(ms(completed), &[PART]);
        }
        assert_eq!(
            suspects.is_part_quarantined(PART),
            case.quarantined,
            "{}",
            case.name
        );
    }
}

const FIRST: u64 = 1;
const BAD: u64 = 2;
const LAST: u64 = 3;

/// Adds a crash of a target in its first start under requests with these parts.
fn add_crash(suspects: &mut CrashSuspects, round: u32, parts: &[u64]) {
    let crashes: Vec<Crash> = (0..)
        .zip(parts)
        .map(|(position, part)| Crash {
            suspect: Suspect::PromptPart(*part),
            round,
            position,
            ..crash(&round.to_string(), 1)
        })
        .collect();
    suspects.observe_crashes(ms(u64::from(round) * 1000), &crashes);
}

/// Whether a request with these parts is like those that crashed targets, and whether one is sent to test
/// its parts after the time of all turns.
fn is_refused(suspects: &CrashSuspects, now: Duration, parts: &[u64]) -> (bool, bool) {
    let turn = (1.0, u32::MAX);
    let mut quarantines = suspects.quarantines_of(0, parts).peekable();
    let has_all = quarantines.peek().is_some_and(|q| q.has_all(0, parts));
    let may_test = quarantines.all(|q| suspects.may_test(now, q, 0, parts, turn));
    (has_all, !may_test)
}

/// Guards against the choice of one of several parts that the same crashes speak against, which refused
/// sound requests.
#[test]
fn parts_that_the_same_crashes_speak_against_are_quarantined_together() {
    struct TogetherCase {
        name: &'static str,
        /// Parts of requests that ran to completion before the crashes, and after them.
        before: &'static [u64],
        after: &'static [u64],
        crashes: &'static [&'static [u64]],
        /// Requests that are never sent, and those that are sent to test their parts.
        refused: &'static [&'static [u64]],
        tested: &'static [&'static [u64]],
        /// Requests that no quarantine concerns.
        free: &'static [&'static [u64]],
    }
    const SAME: &[&[u64]] = &[
        &[FIRST, BAD, LAST],
        &[FIRST, BAD, LAST],
        &[FIRST, BAD, LAST],
        &[FIRST, BAD, LAST],
        &[FIRST, BAD, LAST],
    ];
    let cases = [
        TogetherCase {
            name: "nothing tells them apart",
            before: &[],
            after: &[],
            crashes: SAME,
            refused: &[&[FIRST, BAD, LAST], &[LAST, FIRST, 9, BAD]],
            tested: &[&[FIRST, LAST], &[BAD], &[BAD, LAST, 9]],
            free: &[&[9]],
        },
        TogetherCase {
            name: "the others completed before",
            before: &[FIRST, LAST],
            after: &[],
            crashes: SAME,
            refused: &[&[BAD], &[FIRST, BAD, LAST], &[BAD, 9]],
            tested: &[],
            free: &[&[FIRST, LAST], &[FIRST], &[LAST, 9]],
        },
        TogetherCase {
            name: "the others complete afterwards",
            before: &[],
            after: &[FIRST, LAST],
            crashes: SAME,
            refused: &[&[BAD], &[FIRST, BAD, LAST]],
            tested: &[],
            free: &[&[FIRST, LAST]],
        },
        TogetherCase {
            name: "one of the others completed before",
            before: &[FIRST],
            after: &[],
            crashes: SAME,
            refused: &[&[FIRST, BAD, LAST], &[BAD, LAST]],
            tested: &[&[FIRST, LAST], &[BAD]],
            free: &[&[FIRST]],
        },
        TogetherCase {
            name: "the others change",
            before: &[],
            after: &[],
            crashes: &[&[FIRST, BAD, 10], &[11, BAD, LAST], &[FIRST, BAD, 12]],
            refused: &[&[BAD], &[FIRST, BAD]],
            tested: &[],
            free: &[&[FIRST, LAST]],
        },
        TogetherCase {
            name: "two requests that test their parts crash targets",
            before: &[],
            after: &[],
            crashes: &[
                &[FIRST, BAD, LAST],
                &[FIRST, BAD, LAST],
                &[FIRST, BAD, LAST],
                &[FIRST, BAD, 9],
                &[FIRST, BAD, 10],
            ],
            refused: &[&[FIRST, BAD], &[FIRST, BAD, LAST]],
            tested: &[&[FIRST, LAST]],
            free: &[&[LAST]],
        },
    ];
    for case in cases {
        let mut suspects = CrashSuspects::default();
        suspects.set_known_targets(12);
        suspects.clear_parts(ms(10), case.before);
        for (round, parts) in (1..).zip(case.crashes) {
            add_crash(&mut suspects, round, parts);
        }
        suspects.clear_parts(ms(6000), case.after);
        let now = ms(60_000);
        let expected = [
            (case.refused, (true, true)),
            (case.tested, (false, false)),
            (case.free, (false, false)),
        ];
        for (requests, expected) in expected {
            for parts in requests {
                let found = is_refused(&suspects, now, parts);
                assert_eq!(found, expected, "{}, {parts:?}", case.name);
            }
        }
        for parts in case.free {
            let concerned = suspects.quarantines_of(0, parts).count();
            assert_eq!(concerned, 0, "{}, {parts:?}", case.name);
        }
    }
}

/// Guards against a quarantine that nothing can refute.
#[test]
fn quarantine_of_a_part_that_had_completed_is_tested_by_one_process_and_twice_at_most() {
    let mut suspects = CrashSuspects::default();
    suspects.set_known_targets(12);
    suspects.clear_parts(ms(10), &[FIRST]);
    for round in 1..=5 {
        assert!(!suspects.is_part_quarantined(FIRST));
        add_crash(&mut suspects, round, &[FIRST]);
    }
    assert!(suspects.is_part_quarantined(FIRST));
    // Learns all of it from the other one.
    let mut other = CrashSuspects::default();
    other.set_known_targets(12);
    other.add_reported(ms(5000), &suspects.changes_to_report(ms(5000), 0));
    assert!(other.is_part_quarantined(FIRST));
    let mut tests = Vec::new();
    for at in 5..600 {
        let now = ms(1000 * at);
        let (has_all, is_refused_there) = is_refused(&other, now, &[FIRST]);
        assert!(has_all && is_refused_there, "{at} s");
        if !is_refused(&suspects, now, &[FIRST]).1 {
            assert_eq!(suspects.note_test(now, 0, &[FIRST]).len(), 1);
            tests.push(at);
        }
    }
    assert_eq!(tests, [10, 30]);
    suspects.clear_parts(ms(30_500), &[FIRST]);
    assert_eq!(suspects.quarantines_of(0, &[FIRST]).count(), 0);
}

/// Guards against the quarantine of sound requests that were running at targets when another request
/// crashed these.
#[test]
fn request_that_ran_beside_one_that_crashes_targets_is_not_quarantined() {
    struct BesideCase {
        name: &'static str,
        /// Whether the sound request, 7, had completed before.
        has_completed: bool,
        /// The requests that each crash speaks against.
        crashes: &'static [&'static [u64]],
        /// Requests that are not sent, and those that no quarantine concerns.
        refused: &'static [u64],
        free: &'static [u64],
    }
    let cases = [
        BesideCase {
            name: "it had completed",
            has_completed: true,
            crashes: &[&[7, 8], &[7, 8]],
            refused: &[8],
            free: &[7],
        },
        BesideCase {
            name: "nothing tells them apart",
            has_completed: false,
            crashes: &[&[7, 8], &[7, 8]],
            refused: &[7, 8],
            free: &[],
        },
        BesideCase {
            name: "the other crashes a third target",
            has_completed: false,
            crashes: &[&[7, 8], &[7, 8], &[8]],
            refused: &[8],
            free: &[7],
        },
        BesideCase {
            name: "beside different others",
            has_completed: true,
            crashes: &[&[7, 8], &[7, 9]],
            refused: &[7],
            free: &[8, 9],
        },
        BesideCase {
            name: "it crashes targets although it had completed",
            has_completed: true,
            crashes: &[&[7], &[7]],
            refused: &[7],
            free: &[8],
        },
    ];
    for case in cases {
        let mut suspects = CrashSuspects::default();
        if case.has_completed {
            suspects.clear_request(ms(10), 7);
        }
        for (number, requests) in (1..).zip(case.crashes) {
            let crashes: Vec<Crash> = requests
                .iter()
                .map(|request| Crash::of_request(*request, "a".into(), number))
                .collect();
            suspects.add_reported(ms(1000 * number), &crashes);
        }
        let concerned = |request: &u64| suspects.quarantines_of(*request, &[]).count() > 0;
        for request in case.refused {
            assert!(suspects.is_quarantined(*request), "{}", case.name);
        }
        for request in case.free {
            assert!(!concerned(request), "{}, {request}", case.name);
        }
    }
}

/// Guards against evidence that stays with the process that has it.
#[test]
fn completions_before_the_crashes_reach_processes_that_saw_none() {
    let mut knows = CrashSuspects::default();
    let mut knows_not = CrashSuspects::default();
    for suspects in [&mut knows, &mut knows_not] {
        suspects.set_known_targets(12);
    }
    knows.clear_parts(ms(10), &[FIRST, LAST]);
    let before = knows.revision();
    for round in 1..=3 {
        add_crash(&mut knows_not, round, &[FIRST, BAD, LAST]);
    }
    let now = ms(3500);
    assert!(!knows_not.is_part_quarantined(BAD));
    knows.add_reported(now, &knows_not.changes_to_report(now, 0));
    assert!(knows.is_part_quarantined(BAD));
    let told = knows.changes_to_report(now, before);
    knows_not.add_reported(now, &told);
    assert!(knows_not.is_part_quarantined(BAD));
    // A process that passes it on does so once.
    assert!(knows_not.add_reported(now, &told).is_empty());
}

#[test]
fn request_that_ran_beside_a_crashing_part_is_not_quarantined() {
    let mut suspects = CrashSuspects::default();
    for (round, target) in (1..).zip(["a", "b", "c"]) {
        let (at, of_part) = part_crash(u64::from(round) * 1000, target, round);
        let bystander = crash(target, 1);
        suspects.add_reported(ms(at), &[of_part, bystander]);
    }
    assert!(suspects.is_part_quarantined(PART));
    assert!(!suspects.is_quarantined(7));
}

#[test]
fn ages_of_crashes_reach_a_process_that_starts_later() {
    let mut suspects = CrashSuspects::default();
    suspects.set_known_targets(4);
    for (round, target) in (1..).zip(["a", "b", "c"]) {
        let (at, crash) = part_crash(u64::from(round) * 1000, target, round);
        suspects.add_reported(ms(at), &[crash]);
    }
    let mut started_later = CrashSuspects::default();
    started_later.set_known_targets(4);
    let reported = suspects.changes_to_report(ms(5000), 0);
    // Its clock starts after the crashes.
    started_later.add_reported(ms(10), &reported);
    assert!(started_later.is_part_quarantined(PART));
}

#[test]
fn crashes_of_long_ago_are_forgotten_though_their_part_is_still_seen() {
    let mut suspects = CrashSuspects::default();
    for number in 0..100 {
        let at = ms(60_000 * number);
        let (_, crash) = part_crash(0, &number.to_string(), 1);
        suspects.add_reported(at, &[crash]);
        suspects.clear_parts(at, &[PART]);
        suspects.expire(at);
        assert!(
            suspects.changes_after(at, 0).len() <= 10,
            "after {number} crashes"
        );
    }
}

#[test]
fn only_the_crashes_that_changed_are_reported() {
    let mut suspects = CrashSuspects::default();
    for number in 0..50 {
        let before = suspects.revision();
        let (_, crash) = part_crash(0, &number.to_string(), 1);
        let at = ms(1000 * number);
        suspects.observe_crashes(at, &[crash]);
        assert_eq!(suspects.changes_to_report(at, before).len(), 1);
        let before = suspects.revision();
        suspects.clear_parts(at, &[PART]);
        assert_eq!(suspects.changes_after(at, before).len(), 1);
        // Another entry clears the part itself after a single crash.
        assert!(suspects.changes_to_report(at, before).is_empty());
    }
}

#[test]
fn clearing_after_several_crashes_is_reported_at_once() {
    let mut suspects = CrashSuspects::default();
    for (at, crash) in [part_crash(1000, "a", 1), part_crash(2000, "b", 2)] {
        suspects.add_reported(ms(at), &[crash]);
    }
    let before = suspects.revision();
    suspects.clear_parts(ms(3000), &[PART]);
    let reported = suspects.changes_to_report(ms(3000), before);
    assert_eq!(reported.len(), 2);
    assert!(reported.iter().all(|crash| crash.is_cleared));
}
