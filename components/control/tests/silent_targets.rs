//! Targets that fall silent while they answer, and a process that stands still itself.

mod routers;

use std::sync::Arc;
use std::time::Duration;

use control::router::config::{
    Config,
    Repeatability,
    Route, //
};
use control::router::targets::TargetEntry;
use control::router::{
    Effect,
    Event,
    IncomingRequest,
    Options,
    Outcome,
    RetryLimit,
    Sending,
    State, //
};
use record::Decision;
use routers::{
    clock,
    config_of_both_services,
    options,
    request,
    route,
    target,
    AMPLE_RETRIES, //
};
use utils::Name;

const START: Duration = Duration::from_secs(10);

const NO_RETRIES: RetryLimit = RetryLimit {
    retries_per_request: 0.0,
    extra_retries: 0.0,
    window: Duration::from_secs(10),
};

/// A process that knows these targets of the routes `chat`, `talk` and `look`.
fn router(targets: &[&str], retry_limit: RetryLimit, attempt_limit: u32) -> State {
    let mut state = State::new(Options {
        uses_reservations: false,
        ..options(retry_limit, 1)
    });
    let limited = |route: Route| {
        Arc::new(Route {
            attempt_limit,
            ..route
        })
    };
    let config = Config {
        routes: vec![
            limited(route("chat", "engines", Repeatability::ResumableStream)),
            limited(route("talk", "engines", Repeatability::NonResumableStream)),
            limited(route("look", "desk", Repeatability::Idempotent)),
            limited(route("order", "desk", Repeatability::AtMostOnce)),
        ],
        ..Config::clone(&config_of_both_services())
    };
    state.step(clock(START), Event::ConfigRead(Arc::new(config)));
    state.step(clock(START), Event::ConfigConfirmed(START));
    for id in targets {
        let service = if id.starts_with('e') {
            "engines"
        } else {
            "desk"
        };
        state.step(clock(START), Event::TargetListed(target(id, service, "a")));
    }
    state
}

struct Case {
    name: &'static str,
    path: &'static str,
    targets: &'static [&'static str],
    retry_limit: RetryLimit,
    attempt_limit: u32,
    has_begun: bool,
    may_leave: bool,
}

/// Guards against answers that are given up although they still come and nobody else can give them: a
/// sound target may fall silent for a second or so and go on.
#[test]
fn silent_target_is_left_only_if_another_can_go_on() {
    let case = |name, path, targets, has_begun, may_leave| Case {
        name,
        path,
        targets,
        retry_limit: AMPLE_RETRIES,
        attempt_limit: 2,
        has_begun,
        may_leave,
    };
    let engines: &[&str] = &["e1", "e2"];
    let desks: &[&str] = &["d1", "d2"];
    let cases = [
        case("another engine resumes", "/chat/", engines, true, true),
        case("another engine answers", "/chat/", engines, false, true),
        case("no other engine", "/chat/", &["e1"], true, false),
        case("not resumable", "/talk/", engines, true, false),
        case("not resumable, not begun", "/talk/", engines, false, false),
        case("another target answers", "/look/", desks, false, true),
        case("no other target", "/look/", &["d1"], false, false),
        case("may run once", "/order/", desks, false, false),
        Case {
            retry_limit: NO_RETRIES,
            ..case("no retries left", "/chat/", engines, true, false)
        },
        Case {
            attempt_limit: 1,
            ..case("no attempts left", "/chat/", engines, true, false)
        },
    ];
    for case in cases {
        let mut state = router(case.targets, case.retry_limit.clone(), case.attempt_limit);
        let now = START + Duration::from_millis(10);
        let effects = state.step(clock(now), Event::RequestReceived(request(1, case.path)));
        let is_sent = |effect: &Effect| matches!(effect, Effect::Forward(1, _));
        assert!(effects.iter().any(is_sent), "{}: {effects:?}", case.name);
        if case.has_begun {
            let head = Event::ResponseHead {
                token: 1,
                load: None,
                cold_remaining: None,
                version: Some(1),
                notice: None,
            };
            state.step(clock(now), head);
            state.step(clock(now), Event::ResponseStarted(1));
        }
        let now = now + Duration::from_millis(1500);
        let (may_leave, decision) = state.handle_silence(now, 1);
        assert_eq!(may_leave, case.may_leave, "{}", case.name);
        let is_kept = matches!(decision, Some(Decision::Silent { kept, .. }) if kept != may_leave);
        assert!(is_kept, "{}: {decision:?}", case.name);
        if may_leave {
            let event = Event::ExchangeEnded {
                token: 1,
                outcome: Outcome::IdleTimeout,
                longest_pause: Duration::ZERO,
                sending: Sending::default(),
            };
            let effects = state.step(clock(now), event);
            assert!(effects.iter().any(is_sent), "{}: {effects:?}", case.name);
        } else {
            let again = state.handle_silence(now + Duration::from_millis(1500), 1);
            assert_eq!(again.0, case.may_leave, "{}", case.name);
            assert!(again.1.is_none(), "{}: one line for a silence", case.name);
        }
    }
}

/// Guards against a target that is avoided for a standstill of the process itself.
#[test]
fn own_standstill_does_not_make_targets_look_slow() {
    struct Case {
        name: &'static str,
        /// Whether the process stands still while the first answer is on its way, or the target is slow.
        stands_still: bool,
        is_avoided: bool,
    }
    let cases = [
        Case {
            name: "standstill",
            stands_still: true,
            is_avoided: false,
        },
        Case {
            name: "slow target",
            stands_still: false,
            is_avoided: true,
        },
    ];
    const ANSWER_TIME: Duration = Duration::from_millis(1700);
    for case in cases {
        let mut state = router(&["e1", "e2"], AMPLE_RETRIES, 2);
        let mut now = START;
        let slow = send(&mut state, now, 1);
        let answered_at = now + ANSWER_TIME;
        while now < answered_at {
            now += if case.stands_still {
                ANSWER_TIME
            } else {
                Duration::from_millis(100)
            };
            state.step(clock(now), Event::ConfigConfirmed(now));
        }
        end_answer(&mut state, now, 1);
        let mut count = 0;
        for token in 2..22 {
            let target = send(&mut state, now, token);
            count += usize::from(target == slow);
            now += Duration::from_millis(100);
            state.step(clock(now), Event::ConfigConfirmed(now));
            end_answer(&mut state, now, token);
        }
        assert_eq!(count <= 2, case.is_avoided, "{}: {count} of 20", case.name);
    }
}

/// Sends a request for a stream, and returns its target.
fn send(state: &mut State, now: Duration, token: u64) -> Name {
    let event = Event::RequestReceived(request(token, "/chat/"));
    let effects = state.step(clock(now), event);
    let target = effects.into_iter().find_map(|effect| match effect {
        Effect::Forward(_, forward) => Some(forward.target),
        _ => None,
    });
    target.expect("it is sent")
}

fn end_answer(state: &mut State, now: Duration, token: u64) {
    state.step(clock(now), Event::ResponseStarted(token));
    let event = Event::ExchangeEnded {
        token,
        outcome: Outcome::Answered { is_error: false },
        longest_pause: Duration::ZERO,
        sending: Sending::default(),
    };
    state.step(clock(now), event);
}

/// Guards against prompt tokens that count at a target for ever after a caller has left while another target was
/// asked to go on with a resumed stream.
#[test]
fn caller_that_leaves_leaves_no_load_at_a_silent_target() {
    const PROMPT_TOKENS: u32 = 7000;
    for is_other_asked in [false, true] {
        let mut state = router(&["e1", "e2", "e3"], AMPLE_RETRIES, 4);
        let now = START;
        let first = IncomingRequest {
            prompt_and_max_answer_tokens: Some((PROMPT_TOKENS, 100)),
            ..request(1, "/chat/")
        };
        state.step(clock(now), Event::RequestReceived(first));
        let head = || Event::ResponseHead {
            token: 1,
            load: None,
            cold_remaining: None,
            version: Some(1),
            notice: None,
        };
        state.step(clock(now), head());
        state.step(clock(now), Event::ResponseStarted(1));
        let broken = Event::ExchangeEnded {
            token: 1,
            outcome: Outcome::Broken {
                connection_lost: false,
            },
            longest_pause: Duration::ZERO,
            sending: Sending::default(),
        };
        let resumed = forwarded_to(&state.step(clock(now), broken)).unwrap();
        state.step(clock(now), head());
        // Its request earns another retry.
        state.step(clock(now), Event::RequestReceived(request(2, "/chat/")));
        state.step(clock(now), Event::CallerDisconnected(2));
        let now = now + Duration::from_millis(1500);
        state.step(clock(now), Event::ConfigConfirmed(now));
        if is_other_asked {
            assert!(state.handle_silence(now, 1).0);
            let effects = state.step(clock(now), Event::AskAnotherTarget(1));
            assert!(forwarded_to(&effects).is_some(), "{effects:?}");
        }
        state.step(clock(now), Event::CallerDisconnected(1));
        for other in ["e1", "e2", "e3"].into_iter().filter(|id| *resumed != **id) {
            let entry = TargetEntry {
                is_draining: true,
                ..target(other, "engines", "a")
            };
            state.step(clock(now), Event::TargetListed(entry));
        }
        let fresh = target("e9", "engines", "a");
        state.step(clock(now), Event::TargetListed(fresh));
        let mut count = 0;
        for token in 10..60 {
            let next = Event::RequestReceived(request(token, "/chat/"));
            let target = forwarded_to(&state.step(clock(now), next)).unwrap();
            count += usize::from(target == resumed);
            state.step(clock(now), Event::CallerDisconnected(token));
        }
        assert!(
            count > 0,
            "asked: {is_other_asked}, {resumed}: {count} of 50"
        );
    }
}

fn forwarded_to(effects: &[Effect]) -> Option<Name> {
    effects.iter().find_map(|effect| match effect {
        Effect::Forward(_, forward) => Some(forward.target.clone()),
        _ => None,
    })
}
