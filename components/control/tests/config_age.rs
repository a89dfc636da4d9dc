//! Requests that are served or rejected by a configuration of some age.

mod routers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use control::router::config::{
    Config,
    Repeatability,
    Route,
    Service,
    Team, //
};
use control::router::lease::{
    AgeLimits,
    SourceStatus, //
};
use control::router::{
    Effect,
    Event,
    IncomingRequest,
    Options,
    Outcome,
    RejectionReason,
    Sending,
    State, //
};
use routers::{
    clock,
    options,
    request,
    route,
    target,
    AMPLE_RETRIES, //
};

/// Changes must be in force within this time.
const APPLY_TIME: Duration = Duration::from_secs(2);

const LIMITS: AgeLimits = AgeLimits {
    with_key: Duration::from_secs(4),
    while_answered: APPLY_TIME,
};

const START: Duration = Duration::from_secs(100);

/// A configuration with a route that needs a key, and one that needs none.
fn config(version: u64, key: &str) -> Arc<Config> {
    let desk = Service {
        name: "desk".into(),
        cold_rate_per_second: 0.0,
        delays: Default::default(),
        engine_profile: None,
    };
    let open = route("open", "desk", Repeatability::Idempotent);
    let closed = Route {
        allows_anonymous: false,
        ..route("closed", "desk", Repeatability::Idempotent)
    };
    Arc::new(Config {
        version,
        routes: vec![Arc::new(open), Arc::new(closed)],
        services: BTreeMap::from([("desk".into(), Arc::new(desk))]),
        teams: Some(vec![Arc::new(Team {
            name: "studio".into(),
            api_keys: vec![key.into()],
            ..Team::default()
        })]),
        ..Config::default()
    })
}

/// Creates a process whose configuration was confirmed at the start, with one target for a route that
/// needs a key and one that needs none.
fn router(status: SourceStatus) -> State {
    let mut state = State::new(Options {
        config_age_limits: LIMITS,
        ..options(AMPLE_RETRIES, 1)
    });
    for event in [
        Event::ConfigRead(config(1, "key")),
        Event::TargetListed(target("d1", "desk", "a")),
        Event::ConfigConfirmed(START),
        Event::SourceStatus(status),
    ] {
        state.step(clock(START), event);
    }
    state
}

/// The reason for which the request is rejected, or `None` if it is sent.
fn rejection(
    state: &mut State,
    now: Duration,
    request: IncomingRequest,
) -> Option<RejectionReason> {
    let effects = state.step(clock(now), Event::RequestReceived(request));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Reject(_, rejection) => Some(rejection.reason),
        _ => None,
    })
}

#[test]
fn requests_are_not_served_by_a_configuration_that_may_have_changed_too_long_ago() {
    use RejectionReason::StaleConfiguration;
    use SourceStatus::{
        Answering,
        Failing,
        Silent, //
    };
    struct Case {
        name: &'static str,
        path: &'static str,
        status: SourceStatus,
        /// The time since the last call showed the status.
        status_age_ms: u64,
        age_ms: u64,
        expected: Option<RejectionReason>,
    }
    let case = |name, path, status, age_ms, expected| Case {
        name,
        path,
        status,
        status_age_ms: 500,
        age_ms,
        expected,
    };
    let stale = Some(StaleConfiguration);
    let cases = [
        case("no key, in time", "/open/", Answering, 1999, None),
        case("no key, late answer", "/open/", Answering, 2000, stale),
        case(
            "no key, very late answer",
            "/open/",
            Answering,
            60_000,
            stale,
        ),
        case(
            "no key, refused by the store",
            "/open/",
            Failing,
            60_000,
            None,
        ),
        case("no key, short silence", "/open/", Silent, 5900, stale),
        case("no key, outage", "/open/", Silent, 6001, None),
        case("key, in time", "/closed/", Answering, 1999, None),
        case("key, late answer", "/closed/", Answering, 2000, stale),
        case("key, refused by the store", "/closed/", Failing, 3999, None),
        case("key, silence", "/closed/", Silent, 3999, None),
        case("key, lease expired", "/closed/", Failing, 4000, stale),
        case(
            "key, lease expired in an outage",
            "/closed/",
            Silent,
            9000,
            stale,
        ),
        Case {
            status_age_ms: 1300,
            ..case("no key, refused before", "/open/", Failing, 60_000, stale)
        },
        Case {
            status_age_ms: 1300,
            ..case("key, refused before", "/closed/", Failing, 3999, stale)
        },
    ];
    for case in cases {
        let mut state = router(case.status);
        let now = START + Duration::from_millis(case.age_ms);
        let status_at = now - Duration::from_millis(case.status_age_ms.min(case.age_ms));
        state.step(clock(status_at), Event::SourceStatus(case.status));
        let request = IncomingRequest {
            api_key: (case.path == "/closed/").then(|| "key".into()),
            ..request(1, case.path)
        };
        let actual = rejection(&mut state, now, request);
        assert_eq!(actual, case.expected, "{}", case.name);
    }
}

#[test]
fn a_route_or_key_is_not_denied_for_good_by_a_configuration_that_may_lack_it() {
    struct Case {
        name: &'static str,
        path: &'static str,
        age_ms: u64,
        expected: RejectionReason,
    }
    let cases = [
        Case {
            name: "route, in time",
            path: "/none/",
            age_ms: 1999,
            expected: RejectionReason::NoRoute,
        },
        Case {
            name: "route, too old",
            path: "/none/",
            age_ms: 2000,
            expected: RejectionReason::StaleConfiguration,
        },
        Case {
            name: "key, in time",
            path: "/closed/",
            age_ms: 1999,
            expected: RejectionReason::UnknownKey,
        },
        Case {
            name: "key, too old",
            path: "/closed/",
            age_ms: 2000,
            expected: RejectionReason::StaleConfiguration,
        },
    ];
    for case in cases {
        for status in [SourceStatus::Failing, SourceStatus::Silent] {
            let mut state = router(status);
            let now = START + Duration::from_millis(case.age_ms);
            let request = IncomingRequest {
                api_key: Some("other".into()),
                ..request(1, case.path)
            };
            let actual = rejection(&mut state, now, request);
            assert_eq!(actual, Some(case.expected), "{} {status:?}", case.name);
        }
    }
}

/// Guards against a request that is sent with a revoked key, since it was admitted before and only the
/// age of the configuration that is in force now is checked when it is sent again.
#[test]
fn request_is_not_sent_again_with_a_key_that_was_revoked_too_long_ago() {
    let mut state = router(SourceStatus::Answering);
    let second = Event::TargetListed(target("d2", "desk", "a"));
    state.step(clock(START), second);
    let keyed = IncomingRequest {
        api_key: Some("key".into()),
        ..request(1, "/closed/")
    };
    assert_eq!(rejection(&mut state, START, keyed), None);
    let revoked_at = START + Duration::from_millis(100);
    state.step(clock(revoked_at), Event::ConfigRead(config(2, "other")));
    let now = revoked_at + Duration::from_millis(5200);
    state.step(clock(now), Event::ConfigConfirmed(now));
    let effects = state.step(
        clock(now),
        Event::ExchangeEnded {
            token: 1,
            outcome: Outcome::NotSent,
            longest_pause: Duration::ZERO,
            sending: Sending::default(),
        },
    );
    let is_sent = effects.iter().any(|e| matches!(e, Effect::Forward(..)));
    assert!(!is_sent, "{effects:?}");
}

/// Guards against requests to a target that left, by a list as young as a configuration may be.
#[test]
fn the_shortest_time_in_which_a_change_must_be_in_force_bounds_the_age() {
    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }
    struct Case {
        name: &'static str,
        config_time: Duration,
        removal_times: [Duration; 2],
        expected: Duration,
    }
    let cases = [
        Case {
            name: "routes",
            config_time: ms(1000),
            removal_times: [ms(2000), ms(5000)],
            expected: ms(1000),
        },
        Case {
            name: "targets that leave",
            config_time: ms(4000),
            removal_times: [ms(2000), ms(5000)],
            expected: ms(1950),
        },
        Case {
            name: "data centres out of service",
            config_time: ms(4000),
            removal_times: [ms(4000), ms(3000)],
            expected: ms(2950),
        },
    ];
    for case in cases {
        let limits = AgeLimits::new(ms(4000), case.config_time, case.removal_times);
        assert_eq!(limits.while_answered, case.expected, "{}", case.name);
    }
}
