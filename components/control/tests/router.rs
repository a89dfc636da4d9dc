//! Tests of the reducer that forwards requests: dispatch, rejections and retries.

mod routers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use control::grace::Grace;
use control::notice::Notice;
use control::router::config::{
    Config,
    EngineProfile,
    Repeatability,
    Route,
    Service,
    Team, //
};
use control::router::lease::{
    AgeLimits,
    SourceStatus, //
};
use control::router::selection::Location;
use control::router::targets::TargetEntry;
use control::router::{
    Effect,
    Event,
    ForwardRequest,
    IncomingRequest,
    Options,
    Outcome,
    Rejection,
    RejectionReason,
    RetryLimit,
    Sending,
    State, //
};
use routers::{
    accepting_reply,
    clock,
    target, //
};

const LEASE: Duration = Duration::from_secs(4);

const VERSION_GRACE: Duration = Duration::from_millis(6500);

fn retry_limit(retries_per_request: f64) -> RetryLimit {
    RetryLimit {
        retries_per_request,
        extra_retries: 20.0,
        window: Duration::from_secs(10),
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn route(name: &str, service: &str, repeatability: Repeatability) -> Arc<Route> {
    Arc::new(Route {
        attempt_limit: 2,
        allows_anonymous: name == "open",
        ..routers::route(name, service, repeatability)
    })
}

fn engine() -> EngineProfile {
    EngineProfile {
        model: "m".into(),
        slots: 4,
        step_time: ms(10),
        steps_per_iteration: 5,
        prefill_chunk_tokens: Some(2048),
        typical_answer_tokens: 100,
        prefill_tokens_per_second: 20_000.0,
        step_time_per_request: None,
        context_slowdown_per_1000_tokens: None,
        memory_tokens: None,
    }
}

fn config(version: u64) -> Config {
    let service = |name: &str, engine_profile| {
        let service = Service {
            name: name.into(),
            cold_rate_per_second: 10.0,
            delays: Default::default(),
            engine_profile,
        };
        (service.name.clone(), Arc::new(service))
    };
    Config {
        version,
        routes: vec![
            route("chat", "engines", Repeatability::ResumableStream),
            route("order", "desk", Repeatability::AtMostOnce),
            route("look", "desk", Repeatability::Idempotent),
            route("open", "desk", Repeatability::Idempotent),
        ],
        services: BTreeMap::from([service("engines", Some(engine())), service("desk", None)]),
        teams: Some(vec![Arc::new(Team {
            name: "studio".into(),
            api_keys: vec!["key".into()],
            ..Team::default()
        })]),
        ..Config::default()
    }
}

fn entry(id: &str, service: &str, data_centre: &str) -> TargetEntry {
    TargetEntry {
        started_at_ms: 7,
        ..target(id, service, data_centre)
    }
}

/// A reducer in data centre `a`, with a manual clock.
struct TestRouter {
    state: State,
    now: Duration,
    last_token: u64,
}

/// What the reducer did with a request.
#[derive(Debug, PartialEq)]
enum RequestResult {
    Sent(ForwardRequest),
    Rejected(Rejection),
    /// Neither sent nor rejected: it is queued or being reserved.
    Pending,
}

impl RequestResult {
    fn target(&self) -> &str {
        match self {
            Self::Sent(request) => &request.target,
            other => panic!("not sent: {other:?}"),
        }
    }

    fn reason(&self) -> (RejectionReason, bool) {
        match self {
            Self::Rejected(rejection) => (rejection.reason, rejection.not_run),
            other => panic!("not rejected: {other:?}"),
        }
    }
}

impl TestRouter {
    /// Creates a reducer with a valid lease and no targets.
    fn new() -> Self {
        Self::new_at(ms(10_000))
    }

    /// Creates a reducer that requests reservations from agents.
    fn with_reservations() -> Self {
        let mut router = Self::new();
        router.state = State::new(Options {
            uses_reservations: true,
            location: Location {
                data_centre: "a".into(),
                ..Location::default()
            },
            ..options()
        });
        router.step(Event::ConfigRead(Arc::new(config(1))));
        router.renew();
        router
    }

    fn new_at(now: Duration) -> Self {
        let regions = [("a", "north"), ("b", "north"), ("c", "south")];
        let regions = regions.map(|(dc, region)| (dc.into(), region.into()));
        let mut router = Self {
            state: State::new(Options {
                location: Location {
                    data_centre: "a".into(),
                    regions: BTreeMap::from(regions),
                },
                config_age_limits: AgeLimits {
                    with_key: LEASE,
                    while_answered: LEASE,
                },
                version_grace: VERSION_GRACE,
                retry_limit: retry_limit(1.0),
                first_event_grace: Duration::from_millis(700),
                uses_reservations: false,
                learned_capacity: control::capacity::Settings::OFF,
                seed: 1,
            }),
            now,
            last_token: 0,
        };
        router.step(Event::ConfigRead(Arc::new(config(1))));
        router.renew();
        router
    }

    fn with_targets(entries: &[(&str, &str, &str)]) -> Self {
        let mut router = Self::new();
        for (id, service, data_centre) in entries {
            router.step(Event::TargetListed(entry(id, service, data_centre)));
        }
        router
    }

    fn renew(&mut self) {
        self.step(Event::ConfigConfirmed(self.now));
    }

    fn name_version(&mut self, version: u64, published_after: Option<Duration>) {
        self.step(Event::VersionNamed {
            model: "m".into(),
            version,
            age: published_after.map(|_| Duration::ZERO),
            published_after,
        });
    }

    /// Handles what an agent or the store says of versions: their numbers, and how many seconds ago
    /// they were published at the earliest.
    fn report_versions(&mut self, versions: &[(u64, Option<u64>)]) {
        for (version, age) in versions {
            let age = age.map(Duration::from_secs);
            self.name_version(*version, age.map(|age| self.now - age));
        }
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.state.step(clock(self.now), event)
    }

    fn receive_with(
        &mut self,
        route: &str,
        change: impl FnOnce(&mut IncomingRequest),
    ) -> (u64, RequestResult) {
        self.last_token += 1;
        let token = self.last_token;
        let mut request = IncomingRequest {
            token,
            request_id: format!("r{token}").into(),
            host: "host.example:80".into(),
            path: format!("/{route}/x").into(),
            api_key: Some("key".into()),
            timeout: Some(ms(6000)),
            prompt_and_max_answer_tokens: Some((1000, 100)),
            answer_tokens_hint: None,
            last_event_id: None,
            fingerprint: token,
            shared_prompt_parts: Vec::new(),
        };
        change(&mut request);
        let effects = self.step(Event::RequestReceived(request));
        (token, request_result(token, &effects))
    }

    fn receive(&mut self, route: &str) -> (u64, RequestResult) {
        self.receive_with(route, |_| {})
    }

    fn end_exchange(&mut self, token: u64, outcome: Outcome) -> RequestResult {
        let effects = self.step(Event::ExchangeEnded {
            token,
            outcome,
            longest_pause: Duration::ZERO,
            sending: Sending::default(),
        });
        request_result(token, &effects)
    }

    /// Starts the answer of a stream by version 1 of the weights.
    fn begin_answer(&mut self, token: u64) {
        self.step(Event::ResponseHead {
            token,
            load: None,
            cold_remaining: None,
            version: Some(1),
            notice: None,
        });
        self.step(Event::ResponseStarted(token));
    }
}

fn request_result(token: u64, effects: &[Effect]) -> RequestResult {
    let results = effects.iter().filter_map(|effect| match effect {
        Effect::Forward(t, request) if *t == token => Some(RequestResult::Sent(request.clone())),
        Effect::Reject(t, rejection) if *t == token => Some(RequestResult::Rejected(*rejection)),
        _ => None,
    });
    let results: Vec<RequestResult> = results.collect();
    assert!(results.len() <= 1, "{effects:?}");
    results.into_iter().next().unwrap_or(RequestResult::Pending)
}

#[test]
fn requests_that_cannot_be_served_are_rejected_at_once() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut TestRouter),
        route: &'static str,
        key: Option<&'static str>,
        expected: RejectionReason,
    }
    let unchanged: fn(&mut TestRouter) = |_| {};
    let stale: fn(&mut TestRouter) = |r| r.now += LEASE;
    let case = |name, prepare, route, key, expected| Case {
        name,
        prepare,
        route,
        key,
        expected,
    };
    let cases = [
        case(
            "no such route",
            unchanged,
            "none",
            Some("key"),
            RejectionReason::NoRoute,
        ),
        case(
            "no key",
            unchanged,
            "look",
            None,
            RejectionReason::UnknownKey,
        ),
        case(
            "unknown key",
            unchanged,
            "look",
            Some("x"),
            RejectionReason::UnknownKey,
        ),
        case(
            "no target",
            unchanged,
            "look",
            Some("key"),
            RejectionReason::NoTarget,
        ),
        case(
            "stale",
            stale,
            "look",
            Some("key"),
            RejectionReason::StaleConfiguration,
        ),
        case(
            "stale, no such route",
            stale,
            "none",
            None,
            RejectionReason::StaleConfiguration,
        ),
        case(
            "stale, unknown key",
            stale,
            "look",
            Some("x"),
            RejectionReason::StaleConfiguration,
        ),
        case(
            "stale, open route, no target",
            |r| {
                r.now += LEASE;
                r.step(Event::SourceStatus(SourceStatus::Failing));
            },
            "open",
            None,
            RejectionReason::NoTarget,
        ),
        case(
            "stale while the store answers, open route",
            stale,
            "open",
            None,
            RejectionReason::StaleConfiguration,
        ),
        case(
            "about to stop",
            |r| drop(r.step(Event::StopAccepting)),
            "look",
            Some("key"),
            RejectionReason::Stopping,
        ),
        case(
            "no configuration",
            |r| r.state = State::new(options()),
            "look",
            Some("key"),
            RejectionReason::NoConfiguration,
        ),
    ];
    for case in cases {
        let mut router = TestRouter::new();
        (case.prepare)(&mut router);
        let (_, result) = router.receive_with(case.route, |request| {
            request.api_key = case.key.map(Into::into)
        });
        assert_eq!(result.reason(), (case.expected, true), "{}", case.name);
    }
}

fn options() -> Options {
    Options {
        location: Location::default(),
        config_age_limits: AgeLimits {
            with_key: LEASE,
            while_answered: LEASE,
        },
        version_grace: VERSION_GRACE,
        retry_limit: retry_limit(1.0),
        first_event_grace: Duration::from_millis(700),
        uses_reservations: false,
        learned_capacity: control::capacity::Settings::OFF,
        seed: 1,
    }
}

#[test]
fn the_lease_starts_when_the_call_is_sent() {
    let mut router = TestRouter::with_targets(&[("d1", "desk", "a")]);
    let sent = router.now;
    router.now += ms(3000);
    router.step(Event::ConfigConfirmed(sent));
    router.now += ms(999);
    assert_eq!(router.receive("look").1.target(), "d1");
    router.now += ms(1);
    assert_eq!(
        router.receive("look").1.reason().0,
        RejectionReason::StaleConfiguration
    );
    // An answer to an older call does not shorten the lease.
    router.renew();
    router.step(Event::ConfigConfirmed(sent));
    assert_eq!(router.receive("look").1.target(), "d1");
}

#[test]
fn a_queued_request_is_not_sent_on_an_expired_lease() {
    let mut router = TestRouter::with_targets(&[("e1", "engines", "a")]);
    router.now += LEASE - ms(100);
    let tokens: Vec<u64> = (0..4).map(|_| router.receive("chat").0).collect();
    let (queued, result) = router.receive("chat");
    assert_eq!(result, RequestResult::Pending);
    router.now += ms(100);
    let answered = Outcome::Answered { is_error: false };
    let effects = router.step(Event::ExchangeEnded {
        token: tokens[0],
        outcome: answered,
        longest_pause: Duration::ZERO,
        sending: Sending::default(),
    });
    if let RequestResult::Sent(request) = request_result(queued, &effects) {
        panic!("sent without a lease: {request:?}");
    }
}

#[test]
fn a_request_that_may_run_once_is_retried_only_if_it_did_not_run() {
    struct Case {
        name: &'static str,
        route: &'static str,
        outcome: Outcome,
        /// `Ok` if the second target gets it, or the reason of the rejection and its `not_run`.
        expected: Result<(), (RejectionReason, bool)>,
    }
    let broken = Outcome::Broken {
        connection_lost: true,
    };
    let case = |name, route, outcome, expected| Case {
        name,
        route,
        outcome,
        expected,
    };
    let cases = [
        case("order, full", "order", Outcome::Busy, Ok(())),
        case("order, never sent", "order", Outcome::NotSent, Ok(())),
        case(
            "order, other instance",
            "order",
            Outcome::WrongInstance,
            Ok(()),
        ),
        case(
            "order, broken",
            "order",
            broken,
            Err((RejectionReason::MayHaveRun, false)),
        ),
        case(
            "order, silent",
            "order",
            Outcome::IdleTimeout,
            Err((RejectionReason::MayHaveRun, false)),
        ),
        case(
            "order, late",
            "order",
            Outcome::DeadlineExceeded,
            Err((RejectionReason::TimedOut, false)),
        ),
        case("lookup, broken", "look", broken, Ok(())),
        case("lookup, silent", "look", Outcome::IdleTimeout, Ok(())),
        case("stream, broken", "chat", broken, Ok(())),
    ];
    for case in cases {
        let mut router = TestRouter::with_targets(&[
            ("d1", "desk", "a"),
            ("d2", "desk", "a"),
            ("e1", "engines", "a"),
            ("e2", "engines", "a"),
        ]);
        let (token, first) = router.receive(case.route);
        let first = first.target().to_owned();
        let second = router.end_exchange(token, case.outcome);
        match case.expected {
            Ok(()) => assert_ne!(second.target(), first, "{}", case.name),
            Err(expected) => assert_eq!(second.reason(), expected, "{}", case.name),
        }
    }
}

#[test]
fn a_stream_is_resumed_only_by_the_version_that_began_it() {
    let mut router = TestRouter::with_targets(&[("e1", "engines", "a"), ("e2", "engines", "b")]);
    let (token, first) = router.receive("chat");
    assert_eq!(first.target(), "e1");
    router.begin_answer(token);
    router.step(Event::EngineReported {
        id: "e2".into(),
        version: Some(2),
        is_switching: false,
        process_count: 1,
    });
    let result = router.end_exchange(
        token,
        Outcome::Broken {
            connection_lost: true,
        },
    );
    assert_eq!(result.reason(), (RejectionReason::NoTarget, false));

    router.step(Event::TargetUnlisted {
        id: "e2".into(),
        grace: Grace::NONE,
    });
    let (token, _) = router.receive_with("chat", |request| request.fingerprint = 99);
    router.begin_answer(token);
    router.step(Event::TargetListed(entry("e3", "engines", "c")));
    match router.end_exchange(
        token,
        Outcome::Broken {
            connection_lost: true,
        },
    ) {
        RequestResult::Sent(request) => {
            assert_eq!((&*request.target, request.version), ("e3", Some(1)));
            assert_eq!(request.priority, 0);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn unavailable_targets_get_no_requests() {
    struct Case {
        name: &'static str,
        change: fn(&mut TestRouter),
    }
    let cases = [
        Case {
            name: "it is draining",
            change: |r| {
                let mut entry = entry("e1", "engines", "a");
                entry.is_draining = true;
                r.step(Event::TargetListed(entry));
            },
        },
        Case {
            name: "its data centre is out",
            change: |r| {
                let name = "a".into();
                r.step(Event::DataCentreState { name, is_out: true });
            },
        },
        Case {
            name: "it holds no weights",
            change: |r| {
                let mut entry = entry("e1", "engines", "a");
                entry.version = None;
                entry.has_no_weights = true;
                r.step(Event::TargetListed(entry));
            },
        },
        Case {
            name: "it switches its weights",
            change: |r| {
                r.step(Event::EngineReported {
                    id: "e1".into(),
                    version: Some(1),
                    is_switching: true,
                    process_count: 1,
                });
            },
        },
        Case {
            name: "its version is no longer allowed",
            change: |r| {
                r.name_version(2, Some(r.now));
                r.now += ms(6500);
                r.renew();
            },
        },
        Case {
            name: "it was removed from the list",
            change: |r| {
                r.step(Event::TargetUnlisted {
                    id: "e1".into(),
                    grace: Grace::NONE,
                });
            },
        },
    ];
    for case in cases {
        let mut router = TestRouter::with_targets(&[("e1", "engines", "a")]);
        assert_eq!(router.receive("chat").1.target(), "e1", "{}", case.name);
        (case.change)(&mut router);
        let reason = router.receive("chat").1.reason();
        assert_eq!(reason, (RejectionReason::NoTarget, true), "{}", case.name);
    }
}

/// Guards against tokens of weights that no agent has verified: an engine that is not told a version runs whatever it
/// holds, and may load another version while a request is on its way.
#[test]
fn request_names_the_version_that_the_agent_reported_also_before_another_is_required() {
    let mut router = TestRouter::with_targets(&[("e1", "engines", "a")]);
    router.step(Event::EngineReported {
        id: "e1".into(),
        version: Some(1),
        is_switching: false,
        process_count: 1,
    });
    router.now += ms(1000);
    router.renew();
    let (token, result) = router.receive("chat");
    assert!(matches!(result, RequestResult::Sent(request) if request.version == Some(1)));
    router.name_version(2, Some(router.now));
    let (_, result) = router.receive("chat");
    assert!(matches!(result, RequestResult::Sent(request) if request.version == Some(1)));
    let result = router.end_exchange(token, Outcome::WrongVersion);
    assert!(!matches!(result, RequestResult::Sent(_)));
}

/// Guards against tokens of weights that no agent has verified: the list shows what an engine loaded, also if its
/// agent has ended or stands still, and an engine that is not told a version runs whatever it holds.
#[test]
fn requests_run_only_on_a_version_that_an_agent_confirmed() {
    struct Case {
        name: &'static str,
        /// The version that the agent reported before it fell silent.
        reported: Option<u64>,
        /// How long ago that was.
        age: Duration,
        /// The version in the list.
        listed: u64,
        /// The version that a request must name. `None` if it must not be sent.
        expected: Option<u64>,
    }
    let cases = [
        Case {
            name: "the agent was silent while the engine loaded another version",
            reported: Some(1),
            age: ms(9000),
            listed: 2,
            expected: None,
        },
        Case {
            name: "the entry started anew and has not heard of the agent",
            reported: None,
            age: ms(0),
            listed: 2,
            expected: None,
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut router = TestRouter::with_targets(&[("e1", "engines", "a")]);
        if let Some(version) = case.reported {
            router.step(Event::EngineReported {
                id: "e1".into(),
                version: Some(version),
                is_switching: false,
                process_count: 1,
            });
        }
        router.now += case.age;
        router.renew();
        router.name_version(2, Some(router.now));
        let mut listed = entry("e1", "engines", "a");
        listed.version = Some(case.listed);
        router.step(Event::TargetListed(listed));
        let sent = match router.receive("chat").1 {
            RequestResult::Sent(request) => Some(request.version),
            _ => None,
        };
        if sent != case.expected.map(Some) {
            wrong.push((case.name, sent));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn each_named_version_has_its_own_grace_period() {
    let mut router = TestRouter::with_targets(&[("e1", "engines", "a"), ("e2", "engines", "c")]);
    let report_version = |r: &mut TestRouter, id: &str, version| {
        r.step(Event::EngineReported {
            id: id.into(),
            version: Some(version),
            is_switching: false,
            process_count: 1,
        });
    };
    router.name_version(2, Some(router.now));
    router.now += ms(3000);
    router.name_version(3, Some(router.now));
    report_version(&mut router, "e2", 2);
    router.now += ms(3500);
    router.renew();
    // The grace period of version 1 is over, that of version 2 is not.
    let (token, result) = router.receive("chat");
    match result {
        RequestResult::Sent(request) => {
            assert_eq!((&*request.target, request.version), ("e2", Some(2)))
        }
        other => panic!("{other:?}"),
    }
    router.end_exchange(token, Outcome::Answered { is_error: false });
    router.now += ms(3000);
    router.renew();
    assert_eq!(
        router.receive("chat").1.reason().0,
        RejectionReason::NoTarget
    );
    report_version(&mut router, "e1", 3);
    assert_eq!(router.receive("chat").1.target(), "e1");
}

/// Only the agent counts the requests of all processes. Without its reply the processes together
/// could overload an engine in cold start.
#[test]
fn a_cold_engine_gets_no_requests_while_its_agent_does_not_answer() {
    struct Case {
        name: &'static str,
        cold_remaining: Duration,
        is_sent: bool,
    }
    let cases = [
        Case {
            name: "cold",
            cold_remaining: ms(3000),
            is_sent: false,
        },
        Case {
            name: "warm",
            cold_remaining: Duration::ZERO,
            is_sent: true,
        },
    ];
    for case in cases {
        let mut router = TestRouter::with_reservations();
        router.step(Event::TargetListed(TargetEntry {
            cold_remaining: case.cold_remaining,
            ..entry("e1", "engines", "a")
        }));
        let (token, _) = router.receive("chat");
        let effects = router.step(Event::ReservationReply { token, reply: None });
        let sent = matches!(request_result(token, &effects), RequestResult::Sent(_));
        assert_eq!(sent, case.is_sent, "{}", case.name);
    }
}

/// An agent that does not answer is recorded as a failed dependency and does not block requests.
#[test]
fn requests_are_sent_while_an_agent_does_not_answer() {
    let mut router = TestRouter::with_reservations();
    router.step(Event::TargetListed(entry("e1", "engines", "a")));
    let mut dependency_changes = Vec::new();
    let available = accepting_reply();
    for (attempt, reply) in [None, None, Some(available)].into_iter().enumerate() {
        // Longer than the backoff after an agent did not answer.
        router.now += ms(1500);
        router.renew();
        let (token, initial_result) = router.receive("chat");
        assert_eq!(
            initial_result,
            RequestResult::Pending,
            "{attempt}: the agent is asked first"
        );
        let effects = router.step(Event::ReservationReply { token, reply });
        assert!(
            matches!(request_result(token, &effects), RequestResult::Sent(_)),
            "{attempt}"
        );
        for effect in effects {
            if let Effect::Record(record::Decision::Dependency { name, up, .. }) = effect {
                dependency_changes.push((name.to_string(), up));
            }
        }
        router.end_exchange(token, Outcome::Answered { is_error: false });
    }
    let agent = "agent of e1".to_owned();
    assert_eq!(dependency_changes, [(agent.clone(), false), (agent, true)]);
}

struct DeadlineCase {
    name: &'static str,
    /// The version that the target runs.
    running_version: u64,
    /// When the answer must have begun, as a time since the naming of version 2.
    first_event_deadline: Option<Duration>,
}

/// A request queued at an engine of the old version must begin there before a deadline.
#[test]
fn a_request_at_an_older_version_must_begin_before_a_deadline() {
    let cases = [
        DeadlineCase {
            name: "the old version",
            running_version: 1,
            first_event_deadline: Some(ms(7200)),
        },
        DeadlineCase {
            name: "the new version",
            running_version: 2,
            first_event_deadline: None,
        },
    ];
    for case in cases {
        let mut router = TestRouter::with_targets(&[("e1", "engines", "a")]);
        let named_at = router.now;
        router.name_version(2, Some(named_at));
        router.step(Event::EngineReported {
            id: "e1".into(),
            version: Some(case.running_version),
            is_switching: false,
            process_count: 1,
        });
        let (_, result) = router.receive("chat");
        let RequestResult::Sent(request) = result else {
            panic!("{}: {result:?}", case.name);
        };
        let expected = case.first_event_deadline.map(|after| named_at + after);
        assert_eq!(request.first_event_deadline, expected, "{}", case.name);
    }
}

#[test]
fn a_process_learns_the_age_of_a_version_found_at_its_start_from_others() {
    // The version was published before the process started.
    let mut router = TestRouter::new_at(ms(100_000));
    router.state = State::new(options());
    router.step(Event::ConfigRead(Arc::new(config(1))));
    router.name_version(2, None);
    router.renew();
    router.step(Event::TargetListed(entry("e1", "engines", "a")));
    let published_at = router.now - ms(2000);
    assert_eq!(
        router.receive("chat").1.reason().0,
        RejectionReason::NoTarget
    );
    // All reports are lower bounds, so the latest one counts, in any order.
    for earlier_ms in [3000, 0, 5000] {
        router.name_version(2, Some(published_at - ms(earlier_ms)));
    }
    router.now = published_at + VERSION_GRACE - ms(1);
    router.renew();
    assert_eq!(router.receive("chat").1.target(), "e1");
    router.now += ms(1);
    assert_eq!(
        router.receive("chat").1.reason().0,
        RejectionReason::NoTarget
    );
}

#[test]
fn missing_entries_may_come_back_within_the_grace_period() {
    let mut router = TestRouter::with_targets(&[("d1", "desk", "a"), ("d2", "desk", "a")]);
    for id in ["d1", "d2"] {
        router.step(Event::TargetUnlisted {
            id: id.into(),
            grace: Grace::of(ms(2500)),
        });
    }
    router.now += ms(1500);
    router.renew();
    router.step(Event::TargetListed(entry("d2", "desk", "a")));
    router.now += ms(1100);
    router.renew();
    router.step(Event::Tick);
    for _ in 0..4 {
        assert_eq!(router.receive("look").1.target(), "d2");
    }
}

#[test]
fn an_entry_of_an_earlier_incarnation_is_ignored() {
    let mut router = TestRouter::with_targets(&[("d1", "desk", "a")]);
    let mut old = entry("d1", "desk", "a");
    old.started_at_ms = 6;
    old.is_draining = true;
    router.step(Event::TargetListed(old));
    assert_eq!(router.receive("look").1.target(), "d1");
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut router = TestRouter::with_targets(&[("d1", "desk", "a")]);
    let mut newer = config(3);
    newer.routes.clear();
    router.step(Event::ConfigRead(Arc::new(newer)));
    router.step(Event::ConfigRead(Arc::new(config(2))));
    assert_eq!(
        router.receive("look").1.reason().0,
        RejectionReason::NoRoute
    );
}

#[test]
fn retries_are_limited_by_the_share_of_the_process() {
    struct Case {
        name: &'static str,
        process_count: Option<u32>,
        /// What is saved at first, of 20 extra retries, and what the requests after it earn.
        expected_retries: usize,
    }
    let cases = [
        Case {
            name: "the only process saves half of the extra retries",
            process_count: Some(1),
            expected_retries: 10 + 7,
        },
        Case {
            name: "one of five processes",
            process_count: Some(5),
            expected_retries: 2 + 7,
        },
        Case {
            name: "a process that knows of no others",
            process_count: None,
            expected_retries: 8,
        },
    ];
    for case in cases {
        let mut router = TestRouter::new();
        router.state = State::new(Options {
            retry_limit: retry_limit(0.2),
            ..options()
        });
        router.step(Event::ConfigRead(Arc::new(config(1))));
        for (id, service) in [("d1", "desk"), ("d2", "desk"), ("e1", "engines")] {
            router.step(Event::TargetListed(entry(id, service, "a")));
        }
        if let Some(process_count) = case.process_count {
            router.step(Event::EngineReported {
                id: "e1".into(),
                version: Some(1),
                is_switching: false,
                process_count,
            });
        }
        router.renew();
        let (token, _) = router.receive("look");
        router.end_exchange(token, Outcome::Answered { is_error: false });
        router.now += ms(20_000);
        router.renew();
        let mut retries = 0;
        for _ in 0..40 {
            let (token, _) = router.receive("look");
            match router.end_exchange(token, Outcome::WrongVersion) {
                RequestResult::Sent(_) => {
                    retries += 1;
                    router.end_exchange(token, Outcome::Answered { is_error: false });
                }
                RequestResult::Rejected(rejection) => assert!(rejection.not_run, "{}", case.name),
                RequestResult::Pending => panic!("{}: no capacity", case.name),
            }
        }
        assert_eq!(retries, case.expected_retries, "{}", case.name);
    }
}

#[test]
fn a_request_that_crashes_targets_is_quarantined() {
    let ids: Vec<String> = (0..8).map(|i| format!("d{i}")).collect();
    let mut router = TestRouter::new();
    for id in &ids {
        router.step(Event::TargetListed(entry(id, "desk", "a")));
    }
    let mut crashes = 0;
    for _ in 0..10 {
        let (token, mut result) = router.receive_with("look", |request| request.fingerprint = 666);
        while let RequestResult::Sent(_) = result {
            crashes += 1;
            result = router.end_exchange(
                token,
                Outcome::Broken {
                    connection_lost: true,
                },
            );
        }
        router.now += ms(5000);
        router.renew();
    }
    assert_eq!(crashes, 2);
    // Other requests are still served.
    assert!(matches!(router.receive("look").1, RequestResult::Sent(_)));
}

#[test]
fn request_that_was_given_up_at_targets_that_ended_is_quarantined() {
    struct Case {
        name: &'static str,
        /// What happens to the target after the request ended.
        end: fn(&mut TestRouter, TargetEntry),
        /// How the exchange ends, or `None` if the caller leaves.
        outcome: Option<Outcome>,
        is_quarantined: bool,
    }
    let unlisted: fn(&mut TestRouter, TargetEntry) = |router, entry| {
        router.step(Event::TargetUnlisted {
            id: entry.id,
            grace: Grace::of(ms(500)),
        });
        router.now += ms(600);
        router.step(Event::Tick);
    };
    let restarted: fn(&mut TestRouter, TargetEntry) = |router, mut entry| {
        let target = router.state.targets().get(&entry.id).unwrap();
        entry.started_at_ms = target.entry.started_at_ms + 5000;
        router.step(Event::TargetListed(entry));
    };
    let case = |name, end, outcome: Option<Outcome>, is_quarantined| Case {
        name,
        end,
        outcome,
        is_quarantined,
    };
    let lost = Outcome::Broken {
        connection_lost: true,
    };
    let cases = [
        case("unlisted", unlisted, Some(Outcome::IdleTimeout), true),
        case(
            "restarted",
            restarted,
            Some(Outcome::DeadlineExceeded),
            true,
        ),
        case("unlisted after its caller left", unlisted, None, true),
        case("restarted after its caller left", restarted, None, true),
        case("still there after its caller left", |_, _| {}, None, false),
        case(
            "unlisted before the connection ended",
            |_, _| {},
            Some(lost),
            true,
        ),
        case("still there", |_, _| {}, Some(Outcome::IdleTimeout), false),
        case(
            "unlisted long after",
            |router, entry| {
                router.now += ms(60_000);
                router.step(Event::Tick);
                router.step(Event::TargetUnlisted {
                    id: entry.id,
                    grace: Grace::NONE,
                });
            },
            Some(Outcome::IdleTimeout),
            false,
        ),
        case(
            "had said in an answer that it leaves",
            |router, entry| {
                let (token, target) = router.receive("order");
                if target.target() == &*entry.id {
                    router.step(Event::ResponseHead {
                        token,
                        load: None,
                        cold_remaining: None,
                        version: None,
                        notice: Some(Notice {
                            is_leaving: true,
                            ..Notice::default()
                        }),
                    });
                }
                router.step(Event::CallerDisconnected(token));
                router.step(Event::TargetUnlisted {
                    id: entry.id,
                    grace: Grace::NONE,
                });
            },
            Some(Outcome::IdleTimeout),
            false,
        ),
        case(
            "left as planned",
            |router, mut entry| {
                let id = entry.id.clone();
                entry.is_draining = true;
                router.step(Event::TargetListed(entry));
                router.step(Event::TargetUnlisted {
                    id,
                    grace: Grace::NONE,
                });
            },
            Some(Outcome::IdleTimeout),
            false,
        ),
    ];
    for case in cases {
        let mut router = TestRouter::new();
        for id in ["d1", "d2"] {
            router.step(Event::TargetListed(entry(id, "desk", "a")));
        }
        for _ in 0..2 {
            let (token, result) = router.receive_with("order", |r| r.fingerprint = 666);
            let listed = entry(result.target(), "desk", "a");
            if case.outcome == Some(lost) {
                router.step(Event::TargetUnlisted {
                    id: listed.id.clone(),
                    grace: Grace::NONE,
                });
            }
            match case.outcome {
                Some(outcome) => {
                    router.end_exchange(token, outcome);
                }
                None => {
                    router.step(Event::CallerDisconnected(token));
                }
            }
            (case.end)(&mut router, listed);
            router.now += ms(1000);
            router.renew();
        }
        router.step(Event::TargetListed(entry("d3", "desk", "a")));
        let (_, result) = router.receive_with("order", |r| r.fingerprint = 666);
        let is_quarantined = matches!(
            result,
            RequestResult::Rejected(r) if r.reason == RejectionReason::Quarantined
        );
        assert_eq!(is_quarantined, case.is_quarantined, "{}", case.name);
    }
}

#[test]
fn error_answer_does_not_clear_a_request_that_crashed_a_target() {
    let lost = Outcome::Broken {
        connection_lost: true,
    };
    struct Case {
        name: &'static str,
        is_error: bool,
        expected_sends: usize,
    }
    let cases = [
        Case {
            name: "an error, which a failing target gives without running the request",
            is_error: true,
            expected_sends: 3,
        },
        Case {
            name: "a success",
            is_error: false,
            expected_sends: 4,
        },
    ];
    for case in cases {
        let ids: Vec<String> = (0..8).map(|i| format!("d{i}")).collect();
        let mut router = TestRouter::new();
        for id in &ids {
            router.step(Event::TargetListed(entry(id, "desk", "a")));
        }
        let answered = Outcome::Answered {
            is_error: case.is_error,
        };
        let mut sends = 0;
        let mut outcomes = [lost, answered, lost, lost, lost].into_iter();
        for _ in 0..5 {
            let (token, mut result) = router.receive_with("look", |r| r.fingerprint = 666);
            while let RequestResult::Sent(_) = result {
                sends += 1;
                result = router.end_exchange(token, outcomes.next().unwrap());
            }
        }
        assert_eq!(sends, case.expected_sends, "{}", case.name);
    }
}

#[test]
fn rejected_callers_get_different_retry_delays() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut TestRouter),
        /// The shortest and longest delay, or `None` if a retry cannot help.
        expected: Option<(Duration, Duration)>,
    }
    let cases = [
        Case {
            name: "another process may have a valid lease",
            prepare: |r| r.now += LEASE,
            expected: Some((ms(200), ms(400))),
        },
        Case {
            name: "no target anywhere",
            prepare: |_| {},
            expected: Some((ms(1000), ms(2000))),
        },
        Case {
            name: "no such route",
            prepare: |r| {
                let mut config = config(2);
                config.routes.clear();
                r.step(Event::ConfigRead(Arc::new(config)));
            },
            expected: None,
        },
    ];
    for case in cases {
        let mut router = TestRouter::new();
        (case.prepare)(&mut router);
        let mut delays: Vec<Option<Duration>> = (0..8)
            .map(|_| match router.receive("look").1 {
                RequestResult::Rejected(rejection) => rejection.retry_after,
                other => panic!("{}: {other:?}", case.name),
            })
            .collect();
        let Some((min, max)) = case.expected else {
            assert!(delays.iter().all(Option::is_none), "{}", case.name);
            continue;
        };
        let is_in_bounds = |t: &Option<Duration>| t.is_some_and(|t| t >= min && t <= max);
        assert!(delays.iter().all(is_in_bounds), "{}: {delays:?}", case.name);
        delays.sort();
        delays.dedup();
        assert!(delays.len() > 4, "{}: {delays:?}", case.name);
    }
}

#[test]
fn engines_of_near_data_centres_come_first() {
    let entries = [
        ("e1", "engines", "c"),
        ("e2", "engines", "b"),
        ("e3", "engines", "a"),
        ("e4", "engines", "c"),
        ("e5", "engines", "a"),
        ("d1", "desk", "a"),
    ];
    let router = TestRouter::with_targets(&entries);
    let data_centre = |id: &str| entries.iter().find(|entry| entry.0 == id).unwrap().2;
    let engines = router.state.engines();
    let order: Vec<&str> = engines.iter().map(|e| data_centre(&e.target)).collect();
    assert_eq!(order, ["a", "a", "b", "c", "c"]);
}

/// A process that starts while several versions are being spread must not use one whose time is over,
/// and must not refuse one whose time is not.
#[test]
fn a_process_that_starts_allows_the_versions_whose_time_is_not_over() {
    struct Case {
        name: &'static str,
        /// What was said before the first confirmed call to the store, and after it.
        at_start: &'static [(u64, Option<u64>)],
        afterwards: &'static [(u64, Option<u64>)],
        running: u64,
        is_allowed: bool,
    }
    let case = |name, at_start, afterwards, running, is_allowed| Case {
        name,
        at_start,
        afterwards,
        running,
        is_allowed,
    };
    let found: &[(u64, Option<u64>)] = &[(5, None)];
    let reported: &[(u64, Option<u64>)] = &[(5, Some(2)), (4, Some(4)), (3, Some(6)), (2, Some(8))];
    let cases = [
        case("no bound: no older version", found, &[], 4, false),
        case(
            "only the newest bound: the one before",
            found,
            &[(5, Some(2))],
            4,
            true,
        ),
        case(
            "only the newest bound: no older one",
            found,
            &[(5, Some(2))],
            3,
            false,
        ),
        case("all bounds: the oldest in time", found, reported, 2, true),
        case("all bounds: over", found, reported, 1, false),
        case(
            "an agent came before the store",
            &[(5, Some(2))],
            found,
            3,
            false,
        ),
        case(
            "an older one without a bound does not matter",
            found,
            &[(5, Some(2)), (3, None)],
            3,
            false,
        ),
        case(
            "none named at the start: the one since installed",
            &[],
            &[(5, Some(2))],
            1,
            true,
        ),
    ];
    for case in cases {
        let mut router = TestRouter::new_at(ms(20_000));
        router.state = State::new(options());
        router.step(Event::ConfigRead(Arc::new(config(1))));
        router.report_versions(case.at_start);
        router.renew();
        router.report_versions(case.afterwards);
        router.step(Event::TargetListed(TargetEntry {
            version: Some(case.running),
            ..entry("e", "engines", "a")
        }));
        let (_, result) = router.receive("chat");
        let is_sent = matches!(result, RequestResult::Sent(_));
        assert_eq!(is_sent, case.is_allowed, "{}: {result:?}", case.name);
    }
}

/// A version that was replaced between two calls to the store, so that this process learns of it only
/// from others, must not be missed.
#[test]
fn a_version_that_was_replaced_before_it_was_seen_counts() {
    let mut router = TestRouter::new();
    router.step(Event::TargetListed(TargetEntry {
        version: Some(1),
        ..entry("e", "engines", "a")
    }));
    router.now += ms(9000);
    router.report_versions(&[(3, Some(2))]);
    router.renew();
    assert_eq!(router.receive("chat").1.target(), "e");
    router.report_versions(&[(2, Some(8))]);
    let (_, result) = router.receive("chat");
    assert_eq!(result.reason(), (RejectionReason::NoTarget, true));
}

/// A process that starts learns the bounds of earlier versions only if others pass them on. Those that
/// are older than the one required now decide nothing.
#[test]
fn all_versions_that_decide_something_are_passed_on() {
    struct Case {
        name: &'static str,
        known: &'static [(u64, Option<u64>)],
        expected: &'static [u64],
    }
    let cases = [
        Case {
            name: "all in time",
            known: &[(2, Some(4)), (3, Some(2)), (4, Some(0))],
            expected: &[4, 3, 2],
        },
        Case {
            name: "two over",
            known: &[(2, Some(9)), (3, Some(7)), (4, Some(3))],
            expected: &[4, 3],
        },
        Case {
            name: "an older one became known last",
            known: &[(4, Some(1)), (2, Some(5)), (3, Some(3))],
            expected: &[4, 3, 2],
        },
    ];
    for case in cases {
        let mut router = TestRouter::new_at(ms(20_000));
        router.state = State::new(options());
        router.report_versions(case.known);
        let named = router.state.named_versions(router.now);
        let versions: Vec<u64> = named.iter().map(|named| named.version).collect();
        assert_eq!(versions, case.expected, "{}", case.name);
    }
}

/// Many versions within the time of one do not make messages grow without limit.
#[test]
fn the_number_of_versions_that_are_passed_on_is_limited() {
    let mut router = TestRouter::new();
    for version in 2..100 {
        router.name_version(version, Some(router.now));
    }
    let named = router.state.named_versions(router.now);
    assert_eq!(named.len(), 16);
    assert_eq!(named.first().map(|named| named.version), Some(99));
}
