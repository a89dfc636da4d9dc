//! Checks that the audit reports each injected violation and nothing in a valid record.

use std::time::{
    Duration,
    SystemTime, //
};

use proptest::prelude::*;
use protocol::{
    Guard,
    KeyState,
    Outcome,
    Refusal,
    Ticket, //
};
use record::{
    Audit,
    Decision,
    RecordChain,
    RecordLine,
    Report,
    RouteRule,
    Rule,
    SwitchStep, //
};
use sheet::Sheet;
use utils::digest::Digest;

/// When the first sheet is published, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_780_000_000_000;

fn sheet(version: u64, published_ms: u64, state: &str, leaving: &str) -> Sheet {
    let published = SystemTime::UNIX_EPOCH + Duration::from_millis(published_ms);
    let published = humantime::format_rfc3339(published);
    let digest = "0".repeat(64);
    let text = format!(
        "{{version: {version}, published: {published}, origin_region: r, \
         data_centres: {{a: {{region: r, state: {state}}}, b: {{region: r, state: in}}}}, \
         models: {{m: {{version: v1, manifest: '{digest}', cold_limit: 2, full_limit: 6, \
         max_out_percent: 50, instances: {{a: [m1], b: [m2]}}}}}}, \
         leaving: [{leaving}]}}"
    );
    sheet::parse(&text).unwrap()
}

fn sheets() -> Vec<Sheet> {
    vec![
        sheet(1, START_MS, "in", ""),
        sheet(2, START_MS + 60_000, "out", "m2"),
    ]
}

fn run(request: u64, guard: Guard) -> Decision {
    Decision::Run {
        request,
        work: "m".into(),
        team: "t".into(),
        guard,
        fingerprint: request,
        version: Some("v1".into()),
        running: 1,
        limit: 2,
    }
}

fn end(request: u64, outcome: Outcome) -> Decision {
    Decision::End { request, outcome }
}

fn switch(step: SwitchStep) -> Decision {
    Decision::Switch {
        model: "m".into(),
        version: "v1".into(),
        manifest: Digest::ZERO,
        step,
        fence: 1,
    }
}

fn route(target: &str) -> Decision {
    Decision::Route {
        request: 1,
        work: "m".into(),
        team: "t".into(),
        rule: RouteRule::Prefix,
        target: target.into(),
        considered: vec![target.into()],
        attempt: 1,
    }
}

fn reject(request: u64, not_run: bool) -> Decision {
    Decision::Reject {
        request,
        work: "m".into(),
        team: "t".into(),
        outcome: Outcome::NotRun(Refusal::NotReady),
        not_run,
    }
}

fn ticket() -> Guard {
    Guard::Ticket(Ticket {
        agent: "m1".into(),
        incarnation: 1,
        issued_ms: 5,
        number: 1,
    })
}

/// Builds the lines of one process from (milliseconds after `START_MS`, sheet version, decision).
fn lines(process: &str, decisions: Vec<(u64, u64, Decision)>) -> Vec<RecordLine> {
    let mut chain = RecordChain::new(process.into(), 1);
    let decisions = decisions.into_iter();
    let append = |(at_ms, sheet, decision)| chain.append(START_MS + at_ms, sheet, decision);
    decisions.map(append).collect()
}

fn text(lines: &[RecordLine]) -> String {
    let lines: Vec<String> = lines.iter().map(RecordLine::to_json).collect();
    lines.join("\n")
}

fn audit(files: &[Vec<RecordLine>]) -> Report {
    let mut audit = Audit::new(sheets());
    for (number, lines) in files.iter().enumerate() {
        audit.read(&format!("file-{number}"), &text(lines));
    }
    audit.finish()
}

/// A record that violates no rule.
fn valid_record() -> Vec<Vec<RecordLine>> {
    let agent = vec![
        (
            0,
            0,
            Decision::Adopt {
                digest: Digest::ZERO,
            },
        ),
        (10, 1, switch(SwitchStep::Staged)),
        (20, 1, switch(SwitchStep::TakenOut)),
        (30, 1, switch(SwitchStep::Ordered)),
        (40, 1, switch(SwitchStep::Cold)),
        (100, 1, run(1, Guard::Repeatable)),
        (200, 1, end(1, Outcome::Ran { status: 200 })),
        (300, 1, run(2, ticket())),
        (400, 1, end(2, Outcome::NotRun(Refusal::NotReady))),
        (500, 1, run(3, ticket())),
        (600, 1, end(3, Outcome::Ran { status: 200 })),
        (61_000, 1, run(4, Guard::Repeatable)),
        (61_500, 1, end(4, Outcome::Unknown { crashed: true })),
        (62_000, 2, Decision::Drain),
    ];
    let entry = vec![
        (90, 1, route("m1")),
        (450, 1, reject(2, true)),
        (700, 1, reject(9, true)),
        (
            800,
            1,
            Decision::Reject {
                request: 10,
                work: "m".into(),
                team: "t".into(),
                outcome: Outcome::Before(KeyState::Running),
                not_run: false,
            },
        ),
    ];
    vec![lines("m1", agent), lines("e1", entry)]
}

#[test]
fn valid_record_has_no_findings() {
    let report = audit(&valid_record());
    assert!(report.is_clean(), "{report}");
    assert_eq!((report.lines, report.processes, report.runs), (18, 2, 4));
    assert_eq!(report.unterminated_processes, ["e1 (1)"]);
}

struct Case {
    name: &'static str,
    process: &'static str,
    decisions: Vec<(u64, u64, Decision)>,
    rule: Rule,
    /// The number of the line that violates the rule, from one.
    line: usize,
}

#[test]
fn each_violation_is_reported_at_its_line() {
    let mut over_limit = run(1, Guard::Repeatable);
    if let Decision::Run { running, .. } = &mut over_limit {
        *running = 3;
    }
    let mut other_version = run(1, Guard::Repeatable);
    if let Decision::Run { version, .. } = &mut other_version {
        *version = Some("v0".into());
    }
    let adopt = Decision::Adopt {
        digest: Digest::ZERO,
    };
    let cases = [
        Case {
            name: "sheet reverts",
            process: "m1",
            decisions: vec![(0, 2, adopt.clone()), (1, 1, adopt.clone())],
            rule: Rule::SheetNeverReverts,
            line: 2,
        },
        Case {
            name: "unpublished sheet",
            process: "m1",
            decisions: vec![(0, 7, adopt)],
            rule: Rule::SheetKnown,
            line: 1,
        },
        Case {
            name: "routed to a data centre that is out of service",
            process: "e1",
            decisions: vec![(60_500, 2, route("m1"))],
            rule: Rule::RouteBySheet,
            line: 1,
        },
        Case {
            name: "routed to an instance that is leaving",
            process: "e1",
            decisions: vec![(60_500, 2, route("m2"))],
            rule: Rule::RouteBySheet,
            line: 1,
        },
        Case {
            name: "run where the active sheet forbids it",
            process: "m1",
            decisions: vec![(60_500, 2, run(1, Guard::Repeatable))],
            rule: Rule::RunBySheet,
            line: 1,
        },
        Case {
            name: "run after the adoption period of a sheet that forbids it",
            process: "m1",
            decisions: vec![(68_500, 1, run(1, Guard::Repeatable))],
            rule: Rule::NothingNewWhereOut,
            line: 1,
        },
        Case {
            name: "ticket run twice",
            process: "m1",
            decisions: vec![(1, 1, run(1, ticket())), (2, 1, run(2, ticket()))],
            rule: Rule::RunsOnce,
            line: 2,
        },
        Case {
            name: "run request reported as not run",
            process: "m1",
            decisions: vec![(1, 1, run(1, Guard::Unmarked)), (2, 1, reject(1, true))],
            rule: Rule::NotRunIsTrue,
            line: 2,
        },
        Case {
            name: "more requests than the limit",
            process: "m1",
            decisions: vec![(1, 1, over_limit)],
            rule: Rule::WithinLimit,
            line: 1,
        },
        Case {
            name: "run while loading",
            process: "m1",
            decisions: vec![
                (1, 1, switch(SwitchStep::TakenOut)),
                (2, 1, run(1, Guard::Repeatable)),
            ],
            rule: Rule::NotWhileLoading,
            line: 2,
        },
        Case {
            name: "ordered before the pieces were staged",
            process: "m1",
            decisions: vec![(1, 1, switch(SwitchStep::Ordered))],
            rule: Rule::OrderedWhenWhole,
            line: 1,
        },
        Case {
            name: "version to which the target was not switched",
            process: "m1",
            decisions: vec![(1, 1, switch(SwitchStep::Cold)), (2, 1, other_version)],
            rule: Rule::VersionAsSwitched,
            line: 2,
        },
        Case {
            name: "quarantined request",
            process: "m1",
            decisions: vec![
                (
                    1,
                    1,
                    Decision::Suspect {
                        fingerprint: 1,
                        target: "m2".into(),
                        quarantined: true,
                        request: None,
                        crashes: 2,
                        prompt_parts: Vec::new(),
                    },
                ),
                (2, 1, run(1, Guard::Repeatable)),
            ],
            rule: Rule::Quarantine,
            line: 2,
        },
    ];
    for case in cases {
        let report = audit(&[lines(case.process, case.decisions)]);
        let found: Vec<(Rule, usize)> = report.findings.iter().map(|f| (f.rule, f.line)).collect();
        assert_eq!(found, [(case.rule, case.line)], "{}: {report}", case.name);
    }
}

proptest! {
    #[test]
    fn removed_edited_and_reordered_lines_are_reported(
        index in 0_usize..13,
        change in 0_u8..3,
    ) {
        let mut files = valid_record();
        let lines = &mut files[0];
        match change {
            0 => { lines.remove(index); }
            1 => lines[index].at_ms += 1,
            _ => lines.swap(index, index + 1),
        }
        let report = audit(&files);
        let found = report.findings.iter().any(|f| f.rule == Rule::Chain);
        prop_assert!(found, "{report}");
    }
}

#[test]
fn other_log_lines_are_skipped_and_counted() {
    let mut audit = Audit::new(sheets());
    let other = "{\"level\":\"INFO\",\"message\":\"hello\"}\n\n";
    audit.read(
        "log",
        &format!("{other}{}\n{other}", text(&valid_record()[0])),
    );
    let report = audit.finish();
    assert!(report.is_clean(), "{report}");
    assert_eq!(report.skipped_lines, 2);
}

#[test]
fn lines_round_trip_through_json() {
    let key = uuid::Uuid::from_u128(0x0190_a2b4_7c00_7000_8000_0000_0000_0001);
    let mut chain = RecordChain::new("p".into(), 3);
    for decision in [
        run(u64::MAX, Guard::Key(key)),
        run(1, ticket()),
        end(1, Outcome::NotRun(Refusal::Busy { retry_after_ms: 5 })),
        Decision::Corrupt {
            manifest: Digest::ZERO,
            piece: 1,
            from: None,
        },
        Decision::Resume { paused_ms: 9 },
    ] {
        let line = chain.append(1, 1, decision);
        assert_eq!(RecordLine::parse(&line.to_json()).unwrap(), line);
    }
}
