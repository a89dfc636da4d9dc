//! At most one run for each ticket and key, whoever is stale, restarted or skewed.

mod common;

use std::collections::BTreeMap;
use std::time::{
    Duration,
    SystemTime, //
};

use common::{
    agent,
    at,
    offered,
    sheet, //
};
use control::agent::{
    Effect,
    Ended,
    Event,
    Options,
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

/// A key issued so many milliseconds after the start.
fn key(millis: i64, salt: u8) -> Uuid {
    let shift = Duration::from_millis(millis.unsigned_abs());
    let wall = if millis < 0 {
        at(0).wall - shift
    } else {
        at(0).wall + shift
    };
    let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let stamp = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
    let mut bytes = *Uuid::new_v7(stamp).as_bytes();
    bytes[8..].copy_from_slice(&[0x80, 0, 0, 0, 0, 0, 0, salt]);
    Uuid::from_bytes(bytes)
}

/// What an agent did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Did {
    Ran,
    Refused(Outcome),
    Waits,
}

fn send(state: &mut State, millis: u64, token: u64, guard: &Guard) -> Did {
    let offered = offered(token, "s", guard.clone());
    let effects = state.step(at(millis), Event::Offer(offered));
    let did = effects.iter().find_map(|effect| match effect {
        Effect::Run { .. } => Some(Did::Ran),
        Effect::Refuse(_, outcome) => Some(Did::Refused(*outcome)),
        _ => None,
    });
    did.unwrap_or(Did::Waits)
}

fn home(sheet: &Sheet, key: &Uuid) -> String {
    let stamp = control::agent::key_stamp(key).unwrap();
    let home = sheet.services["s"].home(key.as_u128(), stamp).unwrap();
    home.to_string()
}

fn ticket(state: &mut State, millis: u64) -> Ticket {
    let effects = state.step(at(millis), Event::TicketAsked(1));
    let ticket = effects.into_iter().find_map(|effect| match effect {
        Effect::Ticket(_, ticket) => Some(ticket),
        _ => None,
    });
    ticket.unwrap()
}

struct KeyCase {
    name: &'static str,
    /// When the key was issued, in milliseconds after the agent started.
    issued: i64,
    /// When it is sent.
    sent: u64,
    expected: Did,
}

#[test]
fn a_home_runs_only_keys_that_it_knows_not_to_have_run() {
    let unknown = Did::Refused(Outcome::Before(KeyState::Unknown));
    let refused = |refusal| Did::Refused(Outcome::NotRun(refusal));
    let cases = [
        KeyCase {
            name: "issued after the start and the skew",
            issued: 6_000,
            sent: 6_100,
            expected: Did::Ran,
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
            name: "issued ahead within the skew",
            issued: 10_000,
            sent: 6_000,
            expected: Did::Ran,
        },
        KeyCase {
            name: "issued ahead",
            issued: 20_000,
            sent: 6_000,
            expected: refused(Refusal::StampAhead),
        },
        KeyCase {
            name: "issued beyond what the sheet vouches for",
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
        let mut state = agent(&home(&sheet, &key), 1, Options::default(), &sheet);
        // Time passes in small steps, as it does for a process that is not paused.
        let mut now = 0;
        while now < case.sent {
            now = (now + 1_500).min(case.sent);
            state.step(at(now), Event::Tick);
            state.step(at(now), Event::Engine(Some(common::engine("", 0))));
        }
        let did = send(&mut state, case.sent, 1, &Guard::Key(key));
        assert_eq!(did, case.expected, "{}", case.name);
    }
}

#[test]
fn only_the_home_takes_a_key() {
    let sheet = sheet(1, "in");
    let key = key(6_000, 1);
    let other = if home(&sheet, &key) == "s1" {
        "s2"
    } else {
        "s1"
    };
    let mut state = agent(other, 1, Options::default(), &sheet);
    let did = send(&mut state, 10, 1, &Guard::Key(key));
    assert_eq!(did, Did::Refused(Outcome::NotRun(Refusal::NotHome)));
}

#[test]
fn a_second_sending_is_told_what_became_of_the_first() {
    let sheet = sheet(1, "in");
    let mut state = agent("s1", 1, Options::default(), &sheet);
    let guard = Guard::Ticket(ticket(&mut state, 1));
    assert_eq!(send(&mut state, 2, 1, &guard), Did::Ran);
    let before = |state| Did::Refused(Outcome::Before(state));
    assert_eq!(send(&mut state, 3, 2, &guard), before(KeyState::Running));
    state.step(at(4), Event::Ended(1, Ended::Answered { status: 201 }));
    assert_eq!(
        send(&mut state, 5, 3, &guard),
        before(KeyState::Ran { status: 201 })
    );
}

#[test]
fn a_sending_that_did_not_reach_the_target_may_run_again_and_a_cut_one_may_not() {
    let sheet = sheet(1, "in");
    let mut state = agent("s1", 1, Options::default(), &sheet);
    let guard = Guard::Ticket(ticket(&mut state, 1));
    assert_eq!(send(&mut state, 2, 1, &guard), Did::Ran);
    state.step(at(3), Event::Ended(1, Ended::NotSent));
    assert_eq!(send(&mut state, 4, 2, &guard), Did::Ran);
    state.step(at(5), Event::Ended(2, Ended::Lost));
    let unknown = Did::Refused(Outcome::Before(KeyState::Unknown));
    assert_eq!(send(&mut state, 6, 3, &guard), unknown);
}

#[test]
fn a_ticket_of_an_earlier_process_is_answered_unknown() {
    let sheet = sheet(1, "in");
    let mut first = agent("s1", 1, Options::default(), &sheet);
    let guard = Guard::Ticket(ticket(&mut first, 1));
    let mut second = agent("s1", 2, Options::default(), &sheet);
    let unknown = Did::Refused(Outcome::Before(KeyState::Unknown));
    assert_eq!(send(&mut second, 2, 1, &guard), unknown);
}

#[test]
fn a_process_without_a_sheet_never_says_that_something_was_not_run() {
    let sheet = sheet(1, "in");
    let mut first = agent("s1", 1, Options::default(), &sheet);
    let tickets = [
        Guard::Ticket(ticket(&mut first, 1)),
        Guard::Key(key(6_000, 1)),
    ];
    for guard in tickets {
        let mut bare = State::new("s1".into(), "a".into(), 2, Options::default(), at(10_000));
        let did = send(&mut bare, 10_001, 1, &guard);
        let unknown = Did::Refused(Outcome::Before(KeyState::Unknown));
        assert_eq!(did, unknown, "{guard:?}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Send a key or ticket to an agent, which may be neither its home nor its issuer.
    Send {
        guard: prop::sample::Index,
        agent: usize,
    },
    End {
        agent: usize,
        how: u8,
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
        4 => (0_usize..2, 0_u8..4).prop_map(|(agent, how)| Step::End { agent, how }),
        1 => (0_usize..2).prop_map(|agent| Step::Restart { agent }),
        4 => (1_u64..4_000).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #[test]
    fn no_key_or_ticket_runs_twice(steps in prop::collection::vec(step(), 1..120)) {
        let sheet = sheet(1, "in");
        let names = ["s1", "s2"];
        // A restarted agent starts its clock anew, so each has its own start.
        let mut started = [0_u64; 2];
        let mut agents = names.map(|name| agent(name, 1, Options::default(), &sheet));
        let mut incarnation = 1;
        let mut guards: Vec<Guard> = (0..8)
            .map(|i| Guard::Key(key(i64::from(i) * 4_000, i as u8)))
            .collect();
        for state in &mut agents {
            guards.push(Guard::Ticket(ticket(state, 1)));
        }
        let mut sent: BTreeMap<u64, Guard> = BTreeMap::new();
        let mut running: [Vec<u64>; 2] = Default::default();
        let mut reached: BTreeMap<Guard, u32> = BTreeMap::new();
        let (mut now, mut token) = (10_u64, 0);
        for step in steps {
            match step {
                Step::Send { guard, agent } => {
                    token += 1;
                    let guard = guards[guard.index(guards.len())].clone();
                    let local = shifted(now, started[agent]);
                    let offer = offered(token, "s", guard.clone());
                    let effects = agents[agent].step(local, Event::Offer(offer));
                    sent.insert(token, guard);
                    started_runs(&effects, &mut running[agent], &sent, &mut reached);
                }
                Step::End { agent, how } => {
                    let Some(token) = running[agent].pop() else { continue };
                    let ended = match how {
                        0 => Ended::Lost,
                        1 => Ended::NotSent,
                        _ => Ended::Answered { status: 200 },
                    };
                    if ended == Ended::NotSent {
                        *reached.get_mut(&sent[&token]).unwrap() -= 1;
                    }
                    let local = shifted(now, started[agent]);
                    let effects = agents[agent].step(local, Event::Ended(token, ended));
                    started_runs(&effects, &mut running[agent], &sent, &mut reached);
                }
                Step::Restart { agent } => {
                    incarnation += 1;
                    started[agent] = now;
                    running[agent].clear();
                    agents[agent] = restart(names[agent], incarnation, now, &sheet);
                }
                Step::Wait { millis } => {
                    now += millis;
                    for (agent, state) in agents.iter_mut().enumerate() {
                        let local = shifted(now, started[agent]);
                        let settled = control::follow::Answer::Unchanged;
                        let settled = control::follow::Event::Index(settled);
                        let effects = state.step(local, Event::Tick);
                        started_runs(&effects, &mut running[agent], &sent, &mut reached);
                        state.step(local, Event::Follow(settled));
                        state.step(local, Event::Engine(Some(common::engine("", 0))));
                    }
                }
            }
            for (guard, count) in &reached {
                prop_assert!(*count <= 1, "{guard:?} ran {count} times");
            }
        }
    }
}

/// The time at a process that started later than the test.
fn shifted(now: u64, started: u64) -> utils::clock::Now {
    utils::clock::Now {
        elapsed: Duration::from_millis(now - started),
        wall: at(now).wall,
    }
}

fn restart(name: &str, incarnation: u64, now: u64, sheet: &Sheet) -> State {
    let options = Options::default();
    let local = shifted(now, now);
    let mut state = State::new(name.into(), "a".into(), incarnation, options, local);
    state.step(local, Event::Follow(common::list(&[name])));
    for event in common::sheet_events(sheet) {
        state.step(local, Event::Follow(event));
    }
    state.step(local, Event::Engine(Some(common::engine("", 0))));
    state
}

fn started_runs(
    effects: &[Effect],
    running: &mut Vec<u64>,
    sent: &BTreeMap<u64, Guard>,
    reached: &mut BTreeMap<Guard, u32>,
) {
    for effect in effects {
        if let Effect::Run { token, .. } = effect {
            running.push(*token);
            *reached.entry(sent[token].clone()).or_default() += 1;
        }
    }
}
