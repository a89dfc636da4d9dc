//! Tests of admission control: an agent never runs more requests than the limit of its target, and
//! none while the target must not serve.

mod common;

use std::time::Duration;

use common::{
    agent,
    at,
    engine,
    offered_request,
    sheet,
    sheet_events, //
};
use control::agent::{
    Effect,
    Event,
    Options,
    RunResult,
    State, //
};
use control::follower;
use proptest::prelude::*;
use protocol::{
    Guard,
    Outcome,
    Phase,
    Refusal, //
};

fn offer(state: &mut State, millis: u64, token: u64) -> Vec<Effect> {
    let offered = offered_request(token, "m", Guard::Repeatable);
    state.step(at(millis), Event::RequestOffered(offered))
}

fn runs(effects: &[Effect]) -> Vec<u64> {
    let runs = effects.iter().filter_map(|effect| match effect {
        Effect::Run { token, .. } => Some(*token),
        _ => None,
    });
    runs.collect()
}

fn refusals(effects: &[Effect]) -> Vec<Refusal> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        Effect::Refuse(_, Outcome::NotRun(refusal)) => Some(*refusal),
        _ => None,
    });
    refusals.collect()
}

struct Case {
    name: &'static str,
    before: Vec<Event>,
    offered: control::agent::OfferedRequest,
    refusal: Option<Refusal>,
}

#[test]
fn request_runs_or_is_refused_with_the_right_reason() {
    let model = |token| offered_request(token, "m", Guard::Repeatable);
    let mut without_team = sheet(2, "in");
    without_team.teams.remove("large");
    let mut leaving = sheet(2, "in");
    leaving.leaving.insert("m3".into());
    let follow = |sheet: &sheet::Sheet| {
        let events = sheet_events(sheet).into_iter();
        events.map(Event::Follow).collect::<Vec<Event>>()
    };
    let mut expired = model(1);
    expired.deadline = Duration::ZERO;
    let mut resumed = model(1);
    resumed.version = Some("v0".into());
    let cases = [
        Case {
            name: "plain",
            before: vec![],
            offered: model(1),
            refusal: None,
        },
        Case {
            name: "data centre out",
            before: follow(&sheet(2, "out")),
            offered: model(1),
            refusal: Some(Refusal::DataCentreOut),
        },
        Case {
            name: "team that a later sheet removed",
            before: follow(&without_team),
            offered: model(1),
            refusal: Some(Refusal::TeamRemoved),
        },
        Case {
            name: "team that was removed and is back",
            before: [follow(&without_team), follow(&sheet(3, "in"))].concat(),
            offered: model(1),
            refusal: None,
        },
        Case {
            name: "team that only a later sheet names",
            before: vec![],
            offered: control::agent::OfferedRequest {
                team: "new".into(),
                ..model(1)
            },
            refusal: None,
        },
        Case {
            name: "leaving",
            before: follow(&leaving),
            offered: model(1),
            refusal: Some(Refusal::Leaving),
        },
        Case {
            name: "another workload",
            before: vec![],
            offered: offered_request(1, "s", Guard::Repeatable),
            refusal: Some(Refusal::WrongTarget),
        },
        Case {
            name: "deadline passed",
            before: vec![],
            offered: expired,
            refusal: Some(Refusal::Expired),
        },
        Case {
            name: "response started by another version",
            before: vec![],
            offered: resumed,
            refusal: Some(Refusal::OtherVersion),
        },
        Case {
            name: "draining",
            before: vec![Event::DrainRequested],
            offered: model(1),
            refusal: Some(Refusal::Draining),
        },
        Case {
            name: "engine without a version",
            before: vec![Event::EngineStateRead(Some(control::agent::EngineState {
                version: None,
                is_loading: false,
                start_count: 2,
            }))],
            offered: model(1),
            refusal: Some(Refusal::NotReady),
        },
        Case {
            name: "engine with a version that was not ordered",
            before: vec![Event::EngineStateRead(Some(engine("v9", 1)))],
            offered: model(1),
            refusal: Some(Refusal::NotReady),
        },
        Case {
            name: "engine gone",
            before: vec![Event::EngineStateRead(None)],
            offered: model(1),
            refusal: Some(Refusal::NotReady),
        },
    ];
    for case in cases {
        let mut state = agent("m3", 1, Options::default(), &sheet(1, "in"));
        for event in case.before {
            state.step(at(1), event);
        }
        let effects = state.step(at(1), Event::RequestOffered(case.offered));
        let found = refusals(&effects).first().copied();
        assert_eq!(found, case.refusal, "{}", case.name);
        let ran = !runs(&effects).is_empty();
        assert_eq!(ran, case.refusal.is_none(), "{}", case.name);
    }
}

#[test]
fn cold_limit_applies_until_the_cold_time_is_over() {
    let mut state = agent("m1", 1, Options::default(), &sheet(1, "in"));
    let mut token = 0;
    for millis in [10, 300, 600, 900] {
        // Two requests run, two wait and one is refused. Then all accepted ones succeed.
        let mut ran = Vec::new();
        for _ in 0..5 {
            token += 1;
            ran.extend(runs(&offer(&mut state, millis, token)));
        }
        assert_eq!(ran.len(), 2, "{millis}");
        while let Some(token) = ran.pop() {
            let ended = Event::RequestEnded(token, RunResult::Answered { status: 200 });
            ran.extend(runs(&state.step(at(millis + 1), ended)));
        }
        state.step(
            at(millis + 2),
            Event::EngineStateRead(Some(engine("v1", 1))),
        );
    }
    assert_eq!(state.status(at(1100).elapsed).limit, 2);
    for token in 100..120 {
        let millis = 1100 + token;
        offer(&mut state, millis, token);
        state.step(at(millis), Event::EngineStateRead(Some(engine("v1", 1))));
        state.step(
            at(millis),
            Event::RequestEnded(token, RunResult::Answered { status: 200 }),
        );
    }
    assert_eq!(state.status(at(1300).elapsed).limit, 6);
}

struct ColdStartSign {
    name: &'static str,
    sign: Event,
}

#[test]
fn every_sign_of_a_cold_start_resets_the_limit_at_once() {
    let signs = [
        ColdStartSign {
            name: "another start",
            sign: Event::EngineStateRead(Some(engine("v1", 2))),
        },
        ColdStartSign {
            name: "broken connection",
            sign: Event::RequestEnded(1, RunResult::ConnectionLost),
        },
        ColdStartSign {
            name: "no connection",
            sign: Event::RequestEnded(1, RunResult::NotSent),
        },
        ColdStartSign {
            name: "declined",
            sign: Event::RequestEnded(1, RunResult::Declined),
        },
    ];
    for sign in signs {
        let mut state = agent("m1", 1, Options::default(), &sheet(1, "in"));
        for token in 10..30 {
            offer(&mut state, 1500, token);
            state.step(at(1500), Event::EngineStateRead(Some(engine("v1", 1))));
            state.step(
                at(1500),
                Event::RequestEnded(token, RunResult::Answered { status: 200 }),
            );
        }
        offer(&mut state, 1501, 1);
        assert_eq!(state.status(at(1501).elapsed).limit, 6, "{}", sign.name);
        state.step(at(1502), sign.sign);
        assert_eq!(state.status(at(1502).elapsed).limit, 2, "{}", sign.name);
    }
}

#[test]
fn cold_limit_applies_when_the_engine_stops_reporting() {
    let mut state = agent("m1", 1, Options::default(), &sheet(1, "in"));
    for token in 10..30 {
        offer(&mut state, 1500, token);
        state.step(at(1500), Event::EngineStateRead(Some(engine("v1", 1))));
        state.step(
            at(1500),
            Event::RequestEnded(token, RunResult::Answered { status: 200 }),
        );
    }
    assert_eq!(state.status(at(3000).elapsed).limit, 6);
    assert_eq!(state.status(at(4000).elapsed).limit, 2);
}

#[test]
fn paused_process_refuses_requests_until_it_has_compared_versions() {
    let mut state = agent("m1", 1, Options::default(), &sheet(1, "in"));
    let effects = offer(&mut state, 60_000, 1);
    assert_eq!(refusals(&effects), []);
    let mut state = agent("m1", 1, Options::default(), &sheet(1, "in"));
    state.step(at(60_000), Event::Tick);
    state.step(at(60_000), Event::EngineStateRead(Some(engine("v1", 1))));
    let effects = offer(&mut state, 60_001, 1);
    assert_eq!(refusals(&effects), [Refusal::Resuming]);
    let result = follower::IndexResult::Unchanged;
    state.step(
        at(60_002),
        Event::Follow(follower::Event::ServiceIndex(result)),
    );
    let effects = offer(&mut state, 60_003, 2);
    assert_eq!(runs(&effects), [2]);
}

#[test]
fn one_suspect_runs_at_a_time_and_two_crashes_quarantine() {
    let mut state = agent("m1", 1, Options::default(), &sheet(1, "in"));
    let suspect = |token| {
        let mut offered = offered_request(token, "m", Guard::Repeatable);
        offered.is_suspect = true;
        offered.fingerprint = 77;
        Event::RequestOffered(offered)
    };
    assert_eq!(runs(&state.step(at(1), suspect(1))), [1]);
    for token in 2..10 {
        let effects = state.step(at(2), suspect(token));
        assert_eq!((runs(&effects), refusals(&effects)), (vec![], vec![]));
    }
    let effects = state.step(at(2), suspect(10));
    assert_eq!(refusals(&effects), [Refusal::SuspectRunning]);
    let effects = state.step(
        at(3),
        Event::RequestEnded(1, RunResult::Answered { status: 200 }),
    );
    assert_eq!(runs(&effects), [2]);
    state.step(at(3), Event::RequestEnded(2, RunResult::ConnectionLost));
    let crash = protocol::Crash::of_request(77, "m2".into(), 4);
    let heartbeat = protocol::Heartbeat {
        report: None,
        crashes: vec![crash],
    };
    state.step(at(4), Event::Heartbeat("m2".into(), heartbeat));
    let effects = state.step(at(5), suspect(3));
    assert_eq!(refusals(&effects), [Refusal::Quarantined]);
}

#[test]
fn drain_refuses_queued_requests_and_exits_after_running_ones_end() {
    let mut state = agent("m1", 1, Options::default(), &sheet(1, "in"));
    for token in 1..=3 {
        offer(&mut state, 10, token);
    }
    let effects = state.step(at(11), Event::DrainRequested);
    assert_eq!(refusals(&effects), [Refusal::Draining]);
    assert!(!effects.contains(&Effect::Exit));
    let ended = |token| Event::RequestEnded(token, RunResult::Answered { status: 200 });
    assert!(!state.step(at(12), ended(1)).contains(&Effect::Exit));
    assert!(state.step(at(13), ended(2)).contains(&Effect::Exit));
}

#[derive(Clone, Debug)]
enum Step {
    Offer,
    End(prop::sample::Index, u8),
    Withdraw(prop::sample::Index),
    Restart,
    Wait(u64),
    Out(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => Just(Step::Offer),
        6 => (any::<prop::sample::Index>(), 0_u8..5).prop_map(|(i, ending)| Step::End(i, ending)),
        1 => any::<prop::sample::Index>().prop_map(Step::Withdraw),
        1 => Just(Step::Restart),
        3 => (1_u64..700).prop_map(Step::Wait),
        1 => any::<bool>().prop_map(Step::Out),
    ]
}

proptest! {
    #[test]
    fn limit_is_never_exceeded_and_every_request_ends_once(
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut state = agent("m3", 1, Options::default(), &sheet(1, "in"));
        let (mut now, mut token, mut start_count, mut version) = (1, 0, 1, 1);
        let mut running: Vec<u64> = Vec::new();
        let mut unfinished = std::collections::BTreeSet::new();
        let mut is_out = false;
        for step in steps {
            let events = match step {
                Step::Offer => {
                    token += 1;
                    unfinished.insert(token);
                    vec![Event::RequestOffered(offered_request(token, "m", Guard::Repeatable))]
                }
                Step::End(index, ending) if !running.is_empty() => {
                    let token = running.swap_remove(index.index(running.len()));
                    unfinished.remove(&token);
                    let result = match ending {
                        0 => RunResult::ConnectionLost,
                        1 => RunResult::NotSent,
                        2 => RunResult::TimedOut,
                        _ => RunResult::Answered { status: 200 },
                    };
                    vec![Event::RequestEnded(token, result)]
                }
                Step::Withdraw(index) if token > 0 => {
                    vec![Event::RequestWithdrawn(index.index(token as usize) as u64 + 1)]
                }
                Step::Restart => {
                    start_count += 1;
                    vec![Event::EngineStateRead(Some(engine("v1", start_count)))]
                }
                Step::Wait(millis) => {
                    now += millis;
                    vec![Event::EngineStateRead(Some(engine("v1", start_count))), Event::Tick]
                }
                Step::Out(out) => {
                    version += 1;
                    is_out = out;
                    let sheet = sheet(version, if out { "out" } else { "in" });
                    sheet_events(&sheet).into_iter().map(Event::Follow).collect()
                }
                _ => continue,
            };
            for event in events {
                let limit_before = state.status(at(now).elapsed).limit;
                let effects = state.step(at(now), event);
                for effect in effects {
                    match effect {
                        Effect::Run { token, version, .. } => {
                            prop_assert!(!is_out);
                            prop_assert!(unfinished.contains(&token));
                            prop_assert_eq!(version.as_deref(), Some("v1"));
                            running.push(token);
                            let limit = state.status(at(now).elapsed).limit;
                            prop_assert!(running.len() <= limit.max(limit_before) as usize);
                        }
                        Effect::Refuse(token, _) => {
                            prop_assert!(unfinished.remove(&token), "{token} ended twice");
                            prop_assert!(!running.contains(&token));
                        }
                        _ => {}
                    }
                }
                let status = state.status(at(now).elapsed);
                prop_assert_eq!(status.running as usize, running.len());
                prop_assert_eq!(status.queued as usize, unfinished.len() - running.len());
            }
        }
    }
}

/// Guards against a target that counts as warm at once after its agent started, because the agent's clock starts
/// at a time later than the cold time.
#[test]
fn a_target_is_cold_when_its_agent_starts_whatever_its_clock_shows() {
    const COLD_TIME_MS: u64 = 1000;
    for start in [0, 24 * 3_600_000] {
        let now = at(start);
        let mut state = State::new("m1".into(), "a".into(), 1, Options::default(), now);
        for event in sheet_events(&sheet(1, "in")) {
            state.step(now, Event::Follow(event));
        }
        state.step(now, Event::EngineStateRead(Some(engine("v1", 1))));
        let phase = |after| state.status(at(start + after).elapsed).phase;
        assert_eq!(phase(COLD_TIME_MS - 1), Phase::Cold, "{start}");
        assert_eq!(phase(COLD_TIME_MS), Phase::Warm, "{start}");
    }
}

/// Guards against requests that wait in the queue and run although a sheet has removed their team meanwhile.
#[test]
fn waiting_requests_of_a_removed_team_are_refused_at_once() {
    let mut state = agent("m3", 1, Options::default(), &sheet(1, "in"));
    let effects: Vec<Effect> = (1..=8)
        .flat_map(|token| offer(&mut state, 10, token))
        .collect();
    let waiting = 8 - runs(&effects).len() - refusals(&effects).len();
    assert!(waiting > 0, "{effects:?}");
    let mut without_team = sheet(2, "in");
    without_team.teams.remove("large");
    let events = sheet_events(&without_team).into_iter().map(Event::Follow);
    let effects: Vec<Effect> = events.flat_map(|event| state.step(at(20), event)).collect();
    assert_eq!(refusals(&effects), vec![Refusal::TeamRemoved; waiting]);
    assert_eq!(runs(&effects), Vec::<u64>::new());
}
