//! Tests of at-most-once execution: no ticket or key runs twice, whichever agents have outdated
//! sheets, have restarted or have skewed clocks.

mod common;

use std::collections::BTreeMap;
use std::time::{
    Duration,
    SystemTime, //
};

use common::{
    agent,
    at,
    offered_request,
    sheet, //
};
use control::agent::{
    Effect,
    Event,
    Options,
    RunResult,
    State, //
};
use proptest::prelude::*;
use protocol::{
    Guard,
    KeyState,
    Outcome,
    Refusal,
    Ticket, //
};
use sheet::Sheet;
use uuid::{
    NoContext,
    Timestamp,
    Uuid, //
};

/// A key issued `millis` milliseconds after the start of the test, or before it if negative.
fn key(millis: i64, suffix: u8) -> Uuid {
    let offset = Duration::from_millis(millis.unsigned_abs());
    let wall_clock = if millis < 0 {
        at(0).wall_clock - offset
    } else {
        at(0).wall_clock + offset
    };
    let since_epoch = wall_clock.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let timestamp =
        Timestamp::from_unix(NoContext, since_epoch.as_secs(), since_epoch.subsec_nanos());
    let mut bytes = *Uuid::new_v7(timestamp).as_bytes();
    bytes[8..].copy_from_slice(&[0x80, 0, 0, 0, 0, 0, 0, suffix]);
    Uuid::from_bytes(bytes)
}

/// What an agent does with an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Ran,
    Refused(Outcome),
    Queued,
}

fn send(state: &mut State, millis: u64, token: u64, guard: &Guard) -> Action {
    let offered = offered_request(token, "s", guard.clone());
    let effects = state.step(at(millis), Event::RequestOffered(offered));
    let action = effects.iter().find_map(|effect| match effect {
        Effect::Run { .. } => Some(Action::Ran),
        Effect::Refuse(_, outcome) => Some(Action::Refused(*outcome)),
        _ => None,
    });
    action.unwrap_or(Action::Queued)
}

fn home_of(sheet: &Sheet, key: &Uuid) -> String {
    let issued_at = control::agent::key_issue_time(key).unwrap();
    let home = sheet.services["s"]
        .home_of_key(key.as_u128(), issued_at)
        .unwrap();
    home.to_string()
}

fn issue_ticket(state: &mut State, millis: u64) -> Ticket {
    let effects = state.step(at(millis), Event::TicketRequested(1));
    let ticket = effects.into_iter().find_map(|effect| match effect {
        Effect::IssueTicket(_, ticket) => Some(ticket),
        _ => None,
    });
    ticket.unwrap()
}

struct KeyCase {
    name: &'static str,
    /// When the key was issued, in milliseconds after the agent started.
    issued: i64,
    /// When the key is sent, in milliseconds after the agent started.
    sent: u64,
    expected: Action,
}

#[test]
fn home_runs_only_keys_that_it_cannot_have_run_before() {
    let unknown = Action::Refused(Outcome::Before(KeyState::Unknown));
    let refused = |refusal| Action::Refused(Outcome::NotRun(refusal));
    let cases = [
        KeyCase {
            name: "issued after the start and the skew",
            issued: 6_000,
            sent: 6_100,
            expected: Action::Ran,
        },
        KeyCase {
            name: "issued before the start",
            issued: -1,
            sent: 6_100,
            expected: unknown,
        },
        KeyCase {
            name: "issued within the skew of the start",
            issued: 4_000,
            sent: 6_100,
            expected: unknown,
        },
        KeyCase {
            name: "issued in the future within the skew",
            issued: 10_000,
            sent: 6_000,
            expected: Action::Ran,
        },
        KeyCase {
            name: "issued in the future",
            issued: 20_000,
            sent: 6_000,
            expected: refused(Refusal::StampAhead),
        },
        KeyCase {
            name: "issued after the period that the sheet covers",
            issued: 3_600_001,
            sent: 3_600_000,
            expected: refused(Refusal::SheetTooOld),
        },
        KeyCase {
            name: "older than the agent remembers",
            issued: 10_000,
            sent: 3_700_000,
            expected: unknown,
        },
    ];
    let sheet = sheet(1, "in");
    for case in cases {
        let key = key(case.issued, 1);
        let mut state = agent(&home_of(&sheet, &key), 1, Options::default(), &sheet);
        // Small steps, since a large one would count as a pause of the process.
        let mut now = 0;
        while now < case.sent {
            now = (now + 1_500).min(case.sent);
            state.step(at(now), Event::Tick);
            state.step(at(now), Event::EngineStateRead(Some(common::engine("", 0))));
        }
        let action = send(&mut state, case.sent, 1, &Guard::Key(key));
        assert_eq!(action, case.expected, "{}", case.name);
    }
}

#[test]
fn only_the_home_accepts_a_key() {
    let sheet = sheet(1, "in");
    let key = key(6_000, 1);
    let other = if home_of(&sheet, &key) == "s1" {
        "s2"
    } else {
        "s1"
    };
    let mut state = agent(other, 1, Options::default(), &sheet);
    let action = send(&mut state, 10, 1, &Guard::Key(key));
    assert_eq!(action, Action::Refused(Outcome::NotRun(Refusal::NotHome)));
}

#[test]
fn repeated_request_gets_outcome_of_the_first() {
    let sheet = sheet(1, "in");
    let mut state = agent("s1", 1, Options::default(), &sheet);
    let guard = Guard::Ticket(issue_ticket(&mut state, 1));
    assert_eq!(send(&mut state, 2, 1, &guard), Action::Ran);
    let before = |state| Action::Refused(Outcome::Before(state));
    assert_eq!(send(&mut state, 3, 2, &guard), before(KeyState::Running));
    state.step(
        at(4),
        Event::RequestEnded(1, RunResult::Answered { status: 201 }),
    );
    assert_eq!(
        send(&mut state, 5, 3, &guard),
        before(KeyState::Ran { status: 201 })
    );
}

#[test]
fn unsent_request_may_run_again_and_interrupted_one_may_not() {
    let sheet = sheet(1, "in");
    let mut state = agent("s1", 1, Options::default(), &sheet);
    let guard = Guard::Ticket(issue_ticket(&mut state, 1));
    assert_eq!(send(&mut state, 2, 1, &guard), Action::Ran);
    state.step(at(3), Event::RequestEnded(1, RunResult::NotSent));
    assert_eq!(send(&mut state, 4, 2, &guard), Action::Ran);
    state.step(at(5), Event::RequestEnded(2, RunResult::ConnectionLost));
    let unknown = Action::Refused(Outcome::Before(KeyState::Unknown));
    assert_eq!(send(&mut state, 6, 3, &guard), unknown);
}

#[test]
fn ticket_of_earlier_process_has_unknown_outcome() {
    let sheet = sheet(1, "in");
    let mut first = agent("s1", 1, Options::default(), &sheet);
    let guard = Guard::Ticket(issue_ticket(&mut first, 1));
    let mut second = agent("s1", 2, Options::default(), &sheet);
    let unknown = Action::Refused(Outcome::Before(KeyState::Unknown));
    assert_eq!(send(&mut second, 2, 1, &guard), unknown);
}

#[test]
fn process_without_sheet_never_reports_not_run() {
    let sheet = sheet(1, "in");
    let mut first = agent("s1", 1, Options::default(), &sheet);
    let tickets = [
        Guard::Ticket(issue_ticket(&mut first, 1)),
        Guard::Key(key(6_000, 1)),
    ];
    for guard in tickets {
        let mut without_sheet =
            State::new("s1".into(), "a".into(), 2, Options::default(), at(10_000));
        let action = send(&mut without_sheet, 10_001, 1, &guard);
        let unknown = Action::Refused(Outcome::Before(KeyState::Unknown));
        assert_eq!(action, unknown, "{guard:?}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Send a key or ticket to an agent, which need not be its home or issuer.
    Send {
        guard: prop::sample::Index,
        agent: usize,
    },
    End {
        agent: usize,
        ending: u8,
    },
    Restart {
        agent: usize,
    },
    Wait {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<prop::sample::Index>(), 0_usize..2)
            .prop_map(|(guard, agent)| Step::Send { guard, agent }),
        4 => (0_usize..2, 0_u8..4).prop_map(|(agent, ending)| Step::End { agent, ending }),
        1 => (0_usize..2).prop_map(|agent| Step::Restart { agent }),
        4 => (1_u64..4_000).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #[test]
    fn no_key_or_ticket_runs_twice(steps in prop::collection::vec(step(), 1..120)) {
        let sheet = sheet(1, "in");
        let names = ["s1", "s2"];
        // When each agent started, in milliseconds of the test. Its own clock starts at zero then.
        let mut started_at = [0_u64; 2];
        let mut agents = names.map(|name| agent(name, 1, Options::default(), &sheet));
        let mut incarnation = 1;
        let mut guards: Vec<Guard> = (0..8)
            .map(|i| Guard::Key(key(i64::from(i) * 4_000, i as u8)))
            .collect();
        for state in &mut agents {
            guards.push(Guard::Ticket(issue_ticket(state, 1)));
        }
        let mut sent: BTreeMap<u64, Guard> = BTreeMap::new();
        let mut running: [Vec<u64>; 2] = Default::default();
        let mut run_counts: BTreeMap<Guard, u32> = BTreeMap::new();
        let (mut now, mut token) = (10_u64, 0);
        for step in steps {
            match step {
                Step::Send { guard, agent } => {
                    token += 1;
                    let guard = guards[guard.index(guards.len())].clone();
                    let local = local_time(now, started_at[agent]);
                    let offer = offered_request(token, "s", guard.clone());
                    let effects = agents[agent].step(local, Event::RequestOffered(offer));
                    sent.insert(token, guard);
                    track_runs(&effects, &mut running[agent], &sent, &mut run_counts);
                }
                Step::End { agent, ending } => {
                    let Some(token) = running[agent].pop() else { continue };
                    let result = match ending {
                        0 => RunResult::ConnectionLost,
                        1 => RunResult::NotSent,
                        _ => RunResult::Answered { status: 200 },
                    };
                    if result == RunResult::NotSent {
                        *run_counts.get_mut(&sent[&token]).unwrap() -= 1;
                    }
                    let local = local_time(now, started_at[agent]);
                    let effects = agents[agent].step(local, Event::RequestEnded(token, result));
                    track_runs(&effects, &mut running[agent], &sent, &mut run_counts);
                }
                Step::Restart { agent } => {
                    incarnation += 1;
                    started_at[agent] = now;
                    running[agent].clear();
                    agents[agent] = restart(names[agent], incarnation, now, &sheet);
                }
                Step::Wait { millis } => {
                    now += millis;
                    for (agent, state) in agents.iter_mut().enumerate() {
                        let local = local_time(now, started_at[agent]);
                        let settled = control::follower::IndexResult::Unchanged;
                        let settled = control::follower::Event::ServiceIndex(settled);
                        let effects = state.step(local, Event::Tick);
                        track_runs(&effects, &mut running[agent], &sent, &mut run_counts);
                        state.step(local, Event::Follow(settled));
                        state.step(local, Event::EngineStateRead(Some(common::engine("", 0))));
                    }
                }
            }
            for (guard, count) in &run_counts {
                prop_assert!(*count <= 1, "{guard:?} ran {count} times");
            }
        }
    }
}

/// The time at a process that started at `started_at`, both in milliseconds of the test.
fn local_time(now: u64, started_at: u64) -> utils::clock::ClockReading {
    utils::clock::ClockReading {
        elapsed: Duration::from_millis(now - started_at),
        wall_clock: at(now).wall_clock,
    }
}

fn restart(name: &str, incarnation: u64, now: u64, sheet: &Sheet) -> State {
    let options = Options::default();
    let local = local_time(now, now);
    let mut state = State::new(name.into(), "a".into(), incarnation, options, local);
    state.step(local, Event::Follow(common::instance_list_event(&[name])));
    for event in common::sheet_events(sheet) {
        state.step(local, Event::Follow(event));
    }
    state.step(local, Event::EngineStateRead(Some(common::engine("", 0))));
    state
}

fn track_runs(
    effects: &[Effect],
    running: &mut Vec<u64>,
    sent: &BTreeMap<u64, Guard>,
    run_counts: &mut BTreeMap<Guard, u32>,
) {
    for effect in effects {
        if let Effect::Run { token, .. } = effect {
            running.push(*token);
            *run_counts.entry(sent[token].clone()).or_default() += 1;
        }
    }
}
