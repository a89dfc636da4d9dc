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

#[test]
fn only_one_of_the_parts_that_occur_together_is_quarantined() {
    const FIRST: u64 = 1;
    const SECOND: u64 = 2;
    let mut suspects = CrashSuspects::default();
    for (round, target) in (1..).zip(["a", "b", "c"]) {
        let crashes = [(FIRST, 0), (SECOND, 1)].map(|(part, position)| Crash {
            suspect: Suspect::PromptPart(part),
            round,
            position,
            ..crash(target, 1)
        });
        suspects.add_reported(ms(u64::from(round) * 1000), &crashes);
    }
    assert!(suspects.is_part_quarantined(SECOND));
    assert!(!suspects.is_part_quarantined(FIRST));
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
