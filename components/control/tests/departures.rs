//! Requests that may not be sent any more to the target that was chosen for them.

mod routers;

use std::sync::Arc;
use std::time::Duration;

use control::grace::Grace;
use control::notice::Notice;
use control::router::config::{
    Config,
    Service, //
};
use control::router::targets::TargetEntry;
use control::router::{
    Effect,
    Event,
    ForwardRequest,
    Options,
    Outcome,
    RetryLimit,
    Sending,
    State, //
};
use routers::{
    accepting_reply,
    clock,
    config_of_both_services,
    engine_service,
    options,
    request,
    target,
    AMPLE_RETRIES, //
};

const START: Duration = Duration::from_secs(100);

/// How long it takes until a connection is there.
const WAIT: Duration = Duration::from_millis(1500);

const NO_RETRIES: RetryLimit = RetryLimit {
    retries_per_request: 0.0,
    extra_retries: 0.0,
    window: Duration::from_secs(10),
};

/// The instructions to send request 1.
fn forwarded(effects: &[Effect]) -> Option<ForwardRequest> {
    effects.iter().find_map(|effect| match effect {
        Effect::Forward(1, request) => Some(request.clone()),
        _ => None,
    })
}

/// A router with one target, to which request 2 was sent and request 1 is to be sent.
fn start() -> (State, ForwardRequest) {
    let mut state = State::new(options(NO_RETRIES, 1));
    for event in [
        Event::ConfigRead(config_of_both_services()),
        Event::TargetListed(target("d1", "desk", "a")),
        Event::ConfigConfirmed(START),
        Event::RequestReceived(request(2, "/look/")),
    ] {
        state.step(clock(START), event);
    }
    let effects = state.step(clock(START), Event::RequestReceived(request(1, "/look/")));
    let forward_request = forwarded(&effects).unwrap();
    (state, forward_request)
}

fn ended(token: u64, outcome: Outcome) -> Event {
    Event::ExchangeEnded {
        token,
        outcome,
        longest_pause: Duration::ZERO,
        sending: Sending::default(),
    }
}

fn answer_of_target(notice: Notice) -> Event {
    Event::ResponseHead {
        token: 2,
        load: None,
        cold_remaining: None,
        version: None,
        notice: Some(notice),
    }
}

/// Guards against requests to a target that said in another answer, while a connection was opened, that it wants none.
#[test]
fn request_may_be_sent_only_as_long_as_its_target_wants_it() {
    struct Case {
        name: &'static str,
        notice: Notice,
        wait: Duration,
        expected: bool,
    }
    let pause = |ms| Notice {
        wants_nothing_for: Some(Duration::from_millis(ms)),
        ..Notice::default()
    };
    let cases = [
        Case {
            name: "nothing said",
            notice: Notice::default(),
            wait: WAIT,
            expected: true,
        },
        Case {
            name: "leaves",
            notice: Notice {
                is_leaving: true,
                ..Notice::default()
            },
            wait: WAIT,
            expected: false,
        },
        Case {
            name: "pause",
            notice: pause(2000),
            wait: WAIT,
            expected: false,
        },
        Case {
            name: "limit",
            notice: Notice {
                requests_per_second: Some(1.0),
                ..Notice::default()
            },
            wait: Duration::ZERO,
            expected: false,
        },
        Case {
            name: "pause that is over",
            notice: pause(1000),
            wait: WAIT,
            expected: true,
        },
    ];
    for case in cases {
        let (mut state, forward_request) = start();
        assert!(state.may_send(START, 1, &forward_request), "{}", case.name);
        state.step(clock(START), answer_of_target(case.notice));
        let actual = state.may_send(START + case.wait, 1, &forward_request);
        assert_eq!(actual, case.expected, "{}", case.name);
    }
}

/// Guards against rejections for want of retries, and against targets that are avoided, though nothing was sent.
#[test]
fn withheld_request_is_dispatched_again_without_a_retry() {
    struct Case {
        name: &'static str,
        is_draining: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "the target may get it again",
            is_draining: false,
            expected: "d1",
        },
        Case {
            name: "the target leaves",
            is_draining: true,
            expected: "d2",
        },
    ];
    for case in cases {
        let (mut state, _) = start();
        let now = START + WAIT;
        if case.is_draining {
            let mut entry = target("d1", "desk", "a");
            entry.is_draining = true;
            state.step(clock(now), Event::TargetListed(entry));
            let other = Event::TargetListed(target("d2", "desk", "a"));
            state.step(clock(now), other);
        }
        let effects = state.step(clock(now), ended(1, Outcome::Withheld));
        let forward_request = forwarded(&effects).expect(case.name);
        assert_eq!(&*forward_request.target, case.expected, "{}", case.name);
        assert_eq!(forward_request.attempt, 1, "{}", case.name);
        assert!(state.may_send(now, 1, &forward_request), "{}", case.name);
    }
}

/// The time of the route of all requests here.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);

/// Guards against requests that are sent to targets when their time is over, since the process stood still when
/// it should have given them up.
#[test]
fn request_is_not_sent_after_its_time() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// The requests that the target runs already.
        running: u64,
        /// What the process finds when it goes on.
        event: Event,
    }
    let cases = [
        Case {
            name: "queue",
            path: "/look/",
            running: 8,
            event: ended(100, Outcome::Answered { is_error: false }),
        },
        Case {
            name: "reservation",
            path: "/chat/",
            running: 0,
            event: Event::ReservationReply {
                token: 1,
                reply: Some(accepting_reply()),
            },
        },
        Case {
            name: "connection",
            path: "/look/",
            running: 0,
            event: ended(1, Outcome::Withheld),
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        for (wait, expected) in [(Duration::from_millis(200), true), (ROUTE_TIMEOUT, false)] {
            let mut state = State::new(options(NO_RETRIES, 1));
            for event in [
                Event::ConfigRead(config_of_both_services()),
                Event::TargetListed(target("d1", "desk", "a")),
                Event::TargetListed(target("e1", "engines", "a")),
                Event::ConfigConfirmed(START),
            ] {
                state.step(clock(START), event);
            }
            for token in 100..100 + case.running {
                let running = request(token, case.path);
                state.step(clock(START), Event::RequestReceived(running));
            }
            let waiting = Event::RequestReceived(request(1, case.path));
            state.step(clock(START), waiting);
            let now = START + wait;
            state.step(clock(now), Event::ConfigConfirmed(now));
            let effects = state.step(clock(now), case.event.clone());
            if forwarded(&effects).is_some() != expected {
                wrong.push((case.name, wait));
            }
        }
    }
    assert_eq!(wrong, []);
}

/// Guards against streams that are resumed on an old version after its time, which ended while a connection was opened.
#[test]
fn stream_is_resumed_only_as_long_as_its_version_may_begin_answers() {
    let mut state = State::new(Options {
        version_grace: Duration::from_secs(2),
        ..options(AMPLE_RETRIES, 1)
    });
    for event in [
        Event::ConfigRead(config_of_both_services()),
        Event::TargetListed(target("e1", "engines", "a")),
        Event::TargetListed(target("e2", "engines", "a")),
        Event::ConfigConfirmed(START),
        Event::RequestReceived(request(1, "/chat/")),
        Event::ReservationReply {
            token: 1,
            reply: Some(accepting_reply()),
        },
        Event::ResponseHead {
            token: 1,
            load: None,
            cold_remaining: None,
            version: Some(1),
            notice: None,
        },
        Event::ResponseStarted(1),
        Event::VersionNamed {
            model: "m".into(),
            version: 2,
            age: Some(Duration::ZERO),
            published_after: Some(START),
        },
    ] {
        state.step(clock(START), event);
    }
    let now = START + Duration::from_millis(1900);
    let broken = Outcome::Broken {
        connection_lost: true,
    };
    let effects = state.step(clock(now), ended(1, broken));
    let resumed = forwarded(&effects).unwrap();
    assert!(state.may_send(now, 1, &resumed));
    let late = START + Duration::from_millis(2100);
    assert!(!state.may_send(late, 1, &resumed));
    let effects = state.step(clock(late), ended(1, Outcome::Withheld));
    assert!(forwarded(&effects).is_none(), "{effects:?}");
}

/// Guards against more requests to a cold target than it can handle: those that were chosen for it before it
/// turned cold.
#[test]
fn requests_for_a_target_that_turns_cold_are_counted_before_they_are_sent() {
    let cold = |ms| TargetEntry {
        cold_remaining: Duration::from_millis(ms),
        ..target("e1", "engines", "a")
    };
    let mut state = State::new(Options {
        uses_reservations: false,
        ..options(NO_RETRIES, 1)
    });
    let config = Config {
        services: [Service {
            cold_rate_per_second: 30.0,
            ..engine_service()
        }]
        .map(|service| (service.name.clone(), Arc::new(service)))
        .into(),
        ..(*config_of_both_services()).clone()
    };
    for event in [
        Event::ConfigRead(Arc::new(config)),
        Event::TargetListed(cold(0)),
        Event::ConfigConfirmed(START),
    ] {
        state.step(clock(START), event);
    }
    let mut waiting = Vec::new();
    for token in 1..=4 {
        let effects = state.step(
            clock(START),
            Event::RequestReceived(request(token, "/chat/")),
        );
        waiting.extend(effects.into_iter().find_map(|effect| match effect {
            Effect::Forward(token, request) => Some((token, request)),
            _ => None,
        }));
    }
    assert_eq!(waiting.len(), 4);
    let now = START + Duration::from_millis(100);
    state.step(clock(now), Event::TargetListed(cold(3000)));
    let mut sent = 0;
    for (token, forward_request) in waiting {
        if state.may_send(now, token, &forward_request) {
            sent += 1;
            continue;
        }
        let effects = state.step(clock(now), ended(token, Outcome::Withheld));
        sent += effects
            .iter()
            .filter(|effect| matches!(effect, Effect::Forward(..)))
            .count();
    }
    // The allowance of this process holds one request.
    assert_eq!(sent, 1);
}

/// Guards against requests to a target that was known to be gone and that a restored store lists again
/// (`review/11`), and against targets that live and are not used.
#[test]
fn target_that_was_removed_is_used_again_only_once_it_writes_its_entry() {
    struct Case {
        name: &'static str,
        /// What happens after the target was listed.
        events: Vec<Event>,
        expected: bool,
    }
    let removed = || Event::TargetUnlisted {
        id: "d1".into(),
        grace: Grace::NONE,
    };
    let missing = || Event::TargetUnlisted {
        id: "d1".into(),
        grace: Grace::of(Duration::from_secs(2)),
    };
    let later_start = || TargetEntry {
        started_at_ms: 2,
        ..target("d1", "desk", "a")
    };
    let written = || Event::TargetListed(target("d1", "desk", "a"));
    let restored = || Event::TargetRestored(target("d1", "desk", "a"));
    let case = |name, events, expected| Case {
        name,
        events,
        expected,
    };
    let cases = [
        case("listed", vec![], true),
        case("known when the store is restored", vec![restored()], true),
        case("removed", vec![removed()], false),
        case(
            "removed, and listed by a restored store",
            vec![removed(), restored()],
            false,
        ),
        case(
            "listed by a restored store more than once",
            vec![removed(), restored(), restored()],
            false,
        ),
        case(
            "removed, restored, and written by the target",
            vec![removed(), restored(), written()],
            true,
        ),
        case(
            "removed, and written by the target",
            vec![removed(), written()],
            true,
        ),
        case(
            "written again, and restored by a second drill",
            vec![removed(), restored(), written(), restored()],
            true,
        ),
        case(
            "a later start in the copy",
            vec![removed(), Event::TargetRestored(later_start())],
            true,
        ),
        case(
            "missing for longer than its time of grace, though a restored store lists it",
            vec![missing(), restored()],
            false,
        ),
        case(
            "missing, and written by the target",
            vec![missing(), restored(), written()],
            true,
        ),
    ];
    for case in cases {
        let mut state = State::new(options(NO_RETRIES, 1));
        for event in [
            Event::ConfigRead(config_of_both_services()),
            Event::TargetListed(target("d1", "desk", "a")),
            Event::ConfigConfirmed(START),
        ]
        .into_iter()
        .chain(case.events)
        {
            state.step(clock(START), event);
        }
        let now = START + Duration::from_secs(3);
        state.step(clock(now), Event::Tick);
        state.step(clock(now), Event::ConfigConfirmed(now));
        let effects = state.step(clock(now), Event::RequestReceived(request(1, "/look/")));
        let is_used = forwarded(&effects).is_some();
        assert_eq!(is_used, case.expected, "{}", case.name);
    }
}

/// Guards against requests to a model engine whose entry does not say what it runs: they name no version, so the
/// engine would run whatever it holds.
#[test]
fn model_engine_is_used_only_if_it_says_what_it_runs() {
    struct Case {
        name: &'static str,
        path: &'static str,
        entry: TargetEntry,
        expected: bool,
    }
    let engine = || target("e1", "engines", "a");
    let cases = [
        Case {
            name: "an engine and its version",
            path: "/chat/",
            entry: engine(),
            expected: true,
        },
        Case {
            name: "no field for the models",
            path: "/chat/",
            entry: TargetEntry {
                version: None,
                ..engine()
            },
            expected: false,
        },
        Case {
            name: "an engine without weights",
            path: "/chat/",
            entry: TargetEntry {
                version: None,
                has_no_weights: true,
                ..engine()
            },
            expected: false,
        },
        Case {
            name: "a plain target, which has no version",
            path: "/look/",
            entry: target("d1", "desk", "a"),
            expected: true,
        },
    ];
    for case in cases {
        let mut state = State::new(options(NO_RETRIES, 1));
        for event in [
            Event::ConfigRead(config_of_both_services()),
            Event::TargetListed(case.entry),
            Event::ConfigConfirmed(START),
        ] {
            state.step(clock(START), event);
        }
        let effects = state.step(clock(START), Event::RequestReceived(request(1, case.path)));
        let is_rejected = effects.iter().any(|e| matches!(e, Effect::Reject(1, _)));
        assert_eq!(!is_rejected, case.expected, "{}", case.name);
    }
}
