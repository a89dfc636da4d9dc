//! Tests of how an entry handles requests: the choice of targets, retries and error responses.

#[expect(dead_code, reason = "shared with the other tests of the reducers")]
mod common;

use std::time::Duration;

use common::{
    at,
    sheet,
    sheet_events, //
};
use control::entry::{
    Effect,
    Event,
    IncomingRequest,
    Options,
    Rejection,
    State, //
};
use proptest::prelude::*;
use protocol::{
    Guard,
    KeyState,
    Outcome,
    Refusal,
    Ticket,
    Work, //
};
use utils::Name;

fn entry() -> State {
    let mut state = State::new("e1".into(), "a".into(), 1, Options::default());
    let instance_list = common::instance_list_event(&["m1", "m2", "m3", "s1", "s2"]);
    state.step(at(0), Event::Follow(instance_list));
    for event in sheet_events(&sheet(1, "in")) {
        state.step(at(0), Event::Follow(event));
    }
    state
}

fn request_received(token: u64, work: Work, guard: Guard) -> Event {
    Event::RequestReceived(IncomingRequest {
        token,
        request: token,
        work,
        team: "large".into(),
        prefix: token.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        guard,
        fingerprint: token,
        timeout: Duration::from_secs(10),
    })
}

fn model() -> Work {
    Work::Model("m".into())
}

fn service() -> Work {
    Work::Service("s".into())
}

fn sent(effects: &[Effect]) -> Option<Name> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { target, .. } => Some(target.clone()),
        _ => None,
    })
}

fn rejected(effects: &[Effect]) -> Option<Rejection> {
    effects.iter().find_map(|effect| match effect {
        Effect::Reject(_, rejection) => Some(*rejection),
        _ => None,
    })
}

fn ended(outcome: Outcome) -> Event {
    Event::Outcome {
        token: 1,
        outcome,
        start_count: 1,
    }
}

fn ticket() -> Guard {
    Guard::Ticket(Ticket {
        agent: "s2".into(),
        incarnation: 1,
        issued_ms: 1,
        number: 1,
    })
}

struct Case {
    name: &'static str,
    work: Work,
    guard: Guard,
    /// The result of the first attempt.
    event: Event,
    /// `Ok` if the request is retried, else the error code and whether it certainly has not run.
    expected: Result<(), (&'static str, bool)>,
}

#[test]
fn a_failed_attempt_is_retried_or_its_outcome_reported_correctly() {
    let unknown = |crashed| Outcome::Unknown { crashed };
    let busy = Refusal::Busy { retry_after_ms: 5 };
    let cases = [
        Case {
            name: "model, not sent",
            work: model(),
            guard: Guard::Repeatable,
            event: Event::SendFailed(1),
            expected: Ok(()),
        },
        Case {
            name: "model, connection broken before any byte",
            work: model(),
            guard: Guard::Repeatable,
            event: ended(unknown(true)),
            expected: Ok(()),
        },
        Case {
            name: "model, busy",
            work: model(),
            guard: Guard::Repeatable,
            event: ended(Outcome::NotRun(busy)),
            expected: Ok(()),
        },
        Case {
            name: "model, quarantined",
            work: model(),
            guard: Guard::Repeatable,
            event: ended(Outcome::NotRun(Refusal::Quarantined)),
            expected: Err(("quarantined", true)),
        },
        Case {
            name: "unmarked service request, not sent",
            work: service(),
            guard: Guard::Unmarked,
            event: Event::SendFailed(1),
            expected: Ok(()),
        },
        Case {
            name: "unmarked service request, refused",
            work: service(),
            guard: Guard::Unmarked,
            event: ended(Outcome::NotRun(Refusal::Draining)),
            expected: Ok(()),
        },
        Case {
            name: "unmarked service request, connection broken",
            work: service(),
            guard: Guard::Unmarked,
            event: ended(unknown(false)),
            expected: Err(("unknown", false)),
        },
        Case {
            name: "ticket, not sent",
            work: service(),
            guard: ticket(),
            event: Event::SendFailed(1),
            expected: Err(("home_unreachable", false)),
        },
        Case {
            name: "ticket, refused by its home",
            work: service(),
            guard: ticket(),
            event: ended(Outcome::NotRun(busy)),
            expected: Err(("busy", true)),
        },
        Case {
            name: "ticket, refused by another process at its address",
            work: service(),
            guard: ticket(),
            event: ended(Outcome::NotRun(Refusal::WrongTarget)),
            expected: Err(("wrong_target", false)),
        },
        Case {
            name: "ticket, refused by a process whose sheet is too old",
            work: service(),
            guard: ticket(),
            event: ended(Outcome::NotRun(Refusal::SheetTooOld)),
            expected: Err(("sheet_too_old", false)),
        },
        Case {
            name: "ticket, ran earlier",
            work: service(),
            guard: ticket(),
            event: ended(Outcome::Before(KeyState::Ran { status: 200 })),
            expected: Err(("ran", false)),
        },
        Case {
            name: "ticket, connection broken",
            work: service(),
            guard: ticket(),
            event: ended(unknown(true)),
            expected: Err(("unknown", false)),
        },
    ];
    for case in cases {
        let mut state = entry();
        let first = sent(&state.step(at(1), request_received(1, case.work, case.guard)));
        assert!(first.is_some(), "{}", case.name);
        let effects = state.step(at(2), case.event);
        let second = sent(&effects);
        let rejection = rejected(&effects).map(|r| (r.code(), r.not_run));
        match case.expected {
            Ok(()) => {
                assert!(
                    second.is_some() && second != first,
                    "{}: {rejection:?}",
                    case.name
                );
            }
            Err(expected) => {
                assert_eq!(second, None, "{}", case.name);
                assert_eq!(rejection, Some(expected), "{}", case.name);
            }
        }
    }
}

#[test]
fn a_request_with_a_ticket_is_sent_only_to_the_agent_that_issued_it() {
    let mut state = entry();
    for token in 1..20 {
        let effects = state.step(at(token), request_received(token, service(), ticket()));
        assert_eq!(sent(&effects).as_deref(), Some("s2"));
    }
}

#[test]
fn a_stream_that_every_target_refuses_is_resumed_later() {
    let mut state = entry();
    state.step(at(1), request_received(1, model(), Guard::Repeatable));
    let response_started = Event::ResponseStarted {
        token: 1,
        resumable: true,
    };
    state.step(at(2), response_started);
    let mut effects = state.step(at(3), ended(Outcome::Unknown { crashed: true }));
    let mut attempts = 1;
    while sent(&effects).is_some() {
        attempts += 1;
        effects = state.step(at(4), ended(Outcome::NotRun(Refusal::NotReady)));
    }
    assert_eq!(rejected(&effects), None, "after {attempts} attempts");
    let resumed_at = (5..60).find(|i| sent(&state.step(at(i * 50), Event::Tick)).is_some());
    assert!(resumed_at.is_some());
}

/// What becomes of a stream whose agent is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    /// It is at a target other than the silent one, or will be.
    AskingOthers,
    /// It is at the silent target.
    Kept,
    Complete,
    Rejected,
}

struct SilentCase {
    name: &'static str,
    guard: Guard,
    resumable: bool,
    /// What the other targets do, each of them in turn until the silent one is kept.
    others: Option<Outcome>,
    /// What happens then.
    then: Vec<Event>,
    expected: StreamState,
}

/// Guards against a begun stream that is cut off because its silent agent was left for others, which then
/// refused it.
#[test]
fn a_silent_agent_is_left_only_for_one_that_has_begun() {
    let refused = |refusal| Some(Outcome::NotRun(refusal));
    let broken = Some(Outcome::Unknown { crashed: false });
    let spoke = || Event::SilentAgentSpoke(1);
    let silent_ended = || Event::SilentAgentEnded {
        token: 1,
        outcome: Outcome::Unknown { crashed: false },
        start_count: 1,
    };
    let complete = || ended(Outcome::Ran { status: 200 });
    let case = |name, others, then, expected| SilentCase {
        name,
        guard: Guard::Repeatable,
        resumable: true,
        others,
        then,
        expected,
    };
    use StreamState::{
        AskingOthers,
        Complete,
        Kept,
        Rejected, //
    };
    let cases = [
        case(
            "other version",
            refused(Refusal::OtherVersion),
            vec![],
            Kept,
        ),
        case("not ready", refused(Refusal::NotReady), vec![], Kept),
        case(
            "full",
            refused(Refusal::Busy { retry_after_ms: 5 }),
            vec![],
            Kept,
        ),
        case("quarantined", refused(Refusal::Quarantined), vec![], Kept),
        case("others break off", broken, vec![], Kept),
        case(
            "others refuse, the silent one completes",
            refused(Refusal::OtherVersion),
            vec![complete()],
            Complete,
        ),
        case(
            "others refuse, the silent one ends",
            refused(Refusal::OtherVersion),
            vec![ended(Outcome::Unknown { crashed: false })],
            Rejected,
        ),
        case(
            "others refuse, the end of the silent one crosses the decision to keep it",
            refused(Refusal::OtherVersion),
            vec![silent_ended()],
            Rejected,
        ),
        case(
            "others refuse, the silent one speaks at the same time",
            refused(Refusal::OtherVersion),
            vec![spoke(), complete()],
            Complete,
        ),
        case("another one is asked", None, vec![], AskingOthers),
        case("the silent one speaks first", None, vec![spoke()], Kept),
        case(
            "the silent one completes first",
            None,
            vec![spoke(), complete()],
            Complete,
        ),
        case(
            "the silent one ends",
            None,
            vec![silent_ended()],
            AskingOthers,
        ),
        case(
            "another one begins and completes",
            None,
            vec![Event::ResponseResumed(1), complete()],
            Complete,
        ),
        SilentCase {
            name: "a response that no other target can continue",
            guard: Guard::Repeatable,
            resumable: false,
            others: None,
            then: vec![],
            expected: Kept,
        },
        SilentCase {
            name: "a call that may run once",
            guard: Guard::Unmarked,
            resumable: false,
            others: None,
            then: vec![complete()],
            expected: Complete,
        },
    ];
    for case in cases {
        let mut state = entry();
        let first = sent(&state.step(at(1), request_received(1, model(), case.guard)));
        let response_started = Event::ResponseStarted {
            token: 1,
            resumable: case.resumable,
        };
        state.step(at(2), response_started);
        let mut effects = state.step(at(2000), Event::AgentSilent(1));
        let mut now = 2000;
        // All rounds over the targets end long before the deadline.
        while let Some(outcome) = case.others {
            let is_kept = effects.contains(&Effect::KeepTarget(1));
            if is_kept || rejected(&effects).is_some() || now > 9000 {
                break;
            }
            now += 50;
            effects = match sent(&effects) {
                Some(_) => state.step(at(now), ended(outcome)),
                None => state.step(at(now), Event::Tick),
            };
        }
        let mut all = effects;
        for event in case.then {
            all.extend(state.step(at(now + 1), event));
        }
        let found = if rejected(&all).is_some() {
            StreamState::Rejected
        } else if all.contains(&Effect::CompleteResponse(1)) {
            StreamState::Complete
        } else if all.contains(&Effect::KeepTarget(1)) {
            StreamState::Kept
        } else {
            assert_ne!(sent(&all), first, "{}", case.name);
            StreamState::AskingOthers
        };
        assert_eq!(found, case.expected, "{}", case.name);
        let is_open = matches!(found, StreamState::AskingOthers | StreamState::Kept);
        let in_flight = usize::from(is_open);
        assert_eq!(state.pending_requests(), in_flight, "{}", case.name);
        if is_open {
            let effects = state.step(at(10_001), Event::Tick);
            assert!(rejected(&effects).is_some(), "{}: deadline", case.name);
        }
    }
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut options = Options::default();
    options.budget.max_available = 1.0;
    options.budget.retries_per_request = 0.0;
    let mut state = entry();
    let mut limited = State::new("e1".into(), "a".into(), 1, options);
    limited.step(
        at(0),
        Event::Follow(common::instance_list_event(&["m1", "m2", "m3"])),
    );
    for event in sheet_events(&sheet(1, "in")) {
        limited.step(at(0), Event::Follow(event));
    }
    for (state, attempts) in [(&mut state, 3), (&mut limited, 2)] {
        state.step(at(1), request_received(1, model(), Guard::Repeatable));
        let mut count = 1;
        loop {
            let effects = state.step(at(2), ended(Outcome::NotRun(Refusal::NotReady)));
            if let Some(rejection) = rejected(&effects) {
                assert_eq!((rejection.code(), rejection.not_run), ("not_ready", true));
                break;
            }
            count += 1;
        }
        assert_eq!(count, attempts);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(bool),
    StartResponse,
    NotSent,
    Outcome(u8),
    Disconnect,
    Wait(u64),
    Drain,
    AgentSilent,
    SilentAgentSpoke,
    SilentAgentEnded,
    Resumed,
}

fn step() -> impl Strategy<Value = (usize, Step)> {
    let step = prop_oneof![
        4 => any::<bool>().prop_map(Step::Arrive),
        2 => Just(Step::StartResponse),
        2 => Just(Step::NotSent),
        6 => (0_u8..6).prop_map(Step::Outcome),
        1 => Just(Step::Disconnect),
        2 => (1_u64..3000).prop_map(Step::Wait),
        1 => Just(Step::Drain),
        3 => Just(Step::AgentSilent),
        1 => Just(Step::SilentAgentSpoke),
        1 => Just(Step::SilentAgentEnded),
        1 => Just(Step::Resumed),
    ];
    (0_usize..8, step)
}

proptest! {
    #[test]
    fn every_request_ends_once_and_not_run_is_reported_only_if_true(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let mut state = entry();
        let (mut now, mut token) = (1, 0);
        // For each open request: whether it is at a target, and whether an attempt may have run.
        let mut open: std::collections::BTreeMap<u64, (bool, bool)> = Default::default();
        // The open requests that are at a silent target as well.
        let mut silent: std::collections::BTreeSet<u64> = Default::default();
        for (pick, step) in steps {
            let chosen = open.keys().copied().nth(pick);
            let is_at_target = chosen.is_some_and(|token| open[&token].0);
            let event = match (step, chosen) {
                (Step::Arrive(repeatable), _) => {
                    token += 1;
                    open.insert(token, (false, false));
                    let guard = if repeatable { Guard::Repeatable } else { Guard::Unmarked };
                    request_received(token, model(), guard)
                }
                (Step::Wait(millis), _) => {
                    now += millis;
                    Event::Tick
                }
                (Step::Drain, _) => Event::DrainRequested,
                (Step::Disconnect, Some(token)) => {
                    open.remove(&token);
                    silent.remove(&token);
                    Event::CallerDisconnected(token)
                }
                (Step::StartResponse, Some(token)) if is_at_target => {
                    Event::ResponseStarted { token, resumable: true }
                }
                (Step::AgentSilent, Some(token)) if is_at_target && !silent.contains(&token) => {
                    open.insert(token, (false, true));
                    silent.insert(token);
                    Event::AgentSilent(token)
                }
                (Step::SilentAgentSpoke, Some(token)) if silent.contains(&token) => {
                    Event::SilentAgentSpoke(token)
                }
                (Step::SilentAgentEnded, Some(token)) if silent.contains(&token) => {
                    silent.remove(&token);
                    let outcome = Outcome::Unknown { crashed: false };
                    Event::SilentAgentEnded { token, outcome, start_count: now }
                }
                (Step::Resumed, Some(token)) if is_at_target && silent.contains(&token) => {
                    silent.remove(&token);
                    Event::ResponseResumed(token)
                }
                (Step::NotSent, Some(token)) if is_at_target => {
                    let (is_at_target, _) = open.get_mut(&token).unwrap();
                    *is_at_target = false;
                    Event::SendFailed(token)
                }
                (Step::Outcome(kind), Some(token)) if is_at_target => {
                    let outcome = match kind {
                        0 => Outcome::Unknown { crashed: true },
                        1 => Outcome::Unknown { crashed: false },
                        2 => Outcome::Ran { status: 200 },
                        3 => Outcome::NotRun(Refusal::Expired),
                        _ => Outcome::NotRun(Refusal::Busy { retry_after_ms: 10 }),
                    };
                    let (is_at_target, may_have_run) = open.get_mut(&token).unwrap();
                    *is_at_target = false;
                    *may_have_run |=
                        matches!(outcome, Outcome::Unknown { .. } | Outcome::Ran { .. });
                    Event::Outcome { token, outcome, start_count: now }
                }
                _ => continue,
            };
            for effect in state.step(at(now), event) {
                match effect {
                    Effect::Send { token, .. } => {
                        let (is_at_target, _) = open.get_mut(&token).unwrap();
                        prop_assert!(!*is_at_target, "{token} is at two targets");
                        *is_at_target = true;
                    }
                    Effect::KeepTarget(token) => {
                        prop_assert!(silent.remove(&token), "{token} is not at a silent target");
                        open.insert(token, (true, true));
                    }
                    Effect::StopWaiting(token) => {
                        silent.remove(&token);
                        if let Some(request) = open.get_mut(&token) {
                            *request = (false, true);
                        }
                    }
                    Effect::Reject(token, rejection) => {
                        let (_, may_have_run) = open.remove(&token).unwrap();
                        silent.remove(&token);
                        let is_false = rejection.not_run && may_have_run;
                        prop_assert!(!is_false, "{token}: {rejection:?}");
                    }
                    Effect::CompleteResponse(token) => {
                        silent.remove(&token);
                        prop_assert!(open.remove(&token).is_some());
                    }
                    _ => {}
                }
            }
            prop_assert_eq!(state.pending_requests(), open.len());
        }
    }
}
