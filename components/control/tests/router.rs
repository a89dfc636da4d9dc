//! The reducer that forwards requests: what it sends, refuses and sends again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime, //
};

use control::budget::BudgetOptions;
use control::router::config::{
    Config,
    EngineProfile,
    Repeat,
    Route,
    Service,
    Team, //
};
use control::router::place::Location;
use control::router::targets::TargetEntry;
use control::router::{
    Arrival,
    Effect,
    Event,
    Offer,
    Options,
    Outcome,
    Reason,
    Rejection,
    Send,
    State, //
};
use protocol::Backlog;
use utils::clock::Now;

const LEASE: Duration = Duration::from_secs(4);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn route(name: &str, service: &str, repeat: Repeat) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        repeat,
        timeout: ms(6000),
        objective: ms(400),
        priority: 1,
        services: vec![(service.into(), 1)],
        attempts: 2,
        is_open: name == "open",
        homes: Vec::new(),
    })
}

fn engine() -> EngineProfile {
    EngineProfile {
        model: "m".into(),
        slots: 4,
        step: ms(10),
        stride: 5,
        chunk: Some(2048),
        usual_answer: 100,
        read_rate: 20_000.0,
    }
}

fn config(version: u64) -> Config {
    let service = |name: &str, engine| {
        let service = Service {
            name: name.into(),
            cold_rate: 10.0,
            engine,
        };
        (service.name.clone(), Arc::new(service))
    };
    Config {
        version,
        routes: vec![
            route("chat", "engines", Repeat::ResumableStream),
            route("order", "desk", Repeat::Once),
            route("look", "desk", Repeat::Idempotent),
            route("open", "desk", Repeat::Idempotent),
        ],
        services: BTreeMap::from([service("engines", Some(engine())), service("desk", None)]),
        teams: vec![Arc::new(Team {
            name: "studio".into(),
            keys: vec!["key".into()],
            ..Team::default()
        })],
        ..Config::default()
    }
}

fn entry(id: &str, service: &str, data_centre: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: service.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: data_centre.into(),
        slots: Some(4),
        is_draining: false,
        cold_for: Duration::ZERO,
        version: (service == "engines").then_some(1),
        is_empty: false,
        born_ms: 7,
    }
}

/// A reducer in data centre `a`, and a clock that the test moves.
struct Process {
    state: State,
    now: Duration,
    next: u64,
}

/// What became of a request that was told to the reducer.
#[derive(Debug, PartialEq)]
enum Fate {
    Sent(Send),
    Rejected(Rejection),
    Waits,
}

impl Fate {
    fn target(&self) -> &str {
        match self {
            Self::Sent(send) => &send.target,
            other => panic!("not sent: {other:?}"),
        }
    }

    fn reason(&self) -> (Reason, bool) {
        match self {
            Self::Rejected(rejection) => (rejection.reason, rejection.not_run),
            other => panic!("not rejected: {other:?}"),
        }
    }
}

impl Process {
    /// One that has a fresh configuration and no target.
    fn new() -> Self {
        Self::new_at(ms(10_000))
    }

    /// One that reserves places with agents.
    fn reserving() -> Self {
        let mut process = Self::new();
        process.state = State::new(Options {
            reserves: true,
            location: Location {
                data_centre: "a".into(),
                ..Location::default()
            },
            ..options()
        });
        process.tell(Event::Config(Arc::new(config(1))));
        process.renew();
        process
    }

    fn new_at(now: Duration) -> Self {
        let regions = [("a", "north"), ("b", "north"), ("c", "south")];
        let regions = regions.map(|(dc, region)| (dc.into(), region.into()));
        let mut process = Self {
            state: State::new(Options {
                location: Location {
                    data_centre: "a".into(),
                    regions: BTreeMap::from(regions),
                },
                lease: LEASE,
                version_grace: ms(6500),
                budget: BudgetOptions {
                    share: 0.2,
                    burst: 10.0,
                },
                begin_grace: Duration::from_millis(700),
                reserves: false,
                seed: 1,
            }),
            now,
            next: 0,
        };
        process.tell(Event::Config(Arc::new(config(1))));
        process.renew();
        process
    }

    fn with(entries: &[(&str, &str, &str)]) -> Self {
        let mut process = Self::new();
        for (id, service, data_centre) in entries {
            process.tell(Event::Listed(entry(id, service, data_centre)));
        }
        process
    }

    fn renew(&mut self) {
        self.tell(Event::Current(self.now));
    }

    fn tell(&mut self, event: Event) -> Vec<Effect> {
        let now = Now {
            elapsed: self.now,
            wall: SystemTime::UNIX_EPOCH,
        };
        self.state.step(now, event)
    }

    fn arrive_with(&mut self, route: &str, change: impl FnOnce(&mut Arrival)) -> (u64, Fate) {
        self.next += 1;
        let token = self.next;
        let mut arrival = Arrival {
            token,
            id: format!("r{token}").into(),
            host: "host.example:80".into(),
            path: format!("/{route}/x").into(),
            key: Some("key".into()),
            timeout: Some(ms(6000)),
            tokens: Some((1000, 100)),
            after_event: None,
            fingerprint: token,
        };
        change(&mut arrival);
        let effects = self.tell(Event::Arrive(arrival));
        (token, fate(token, &effects))
    }

    fn arrive(&mut self, route: &str) -> (u64, Fate) {
        self.arrive_with(route, |_| {})
    }

    fn end(&mut self, token: u64, outcome: Outcome) -> Fate {
        let effects = self.tell(Event::Ended {
            token,
            outcome,
            pause: Duration::ZERO,
        });
        fate(token, &effects)
    }

    /// Lets the answer of a stream begin, by version 1 of the weights.
    fn begin_answer(&mut self, token: u64) {
        self.tell(Event::Head {
            token,
            load: None,
            cold_for: None,
            version: Some(1),
        });
        self.tell(Event::Started(token));
    }
}

fn fate(token: u64, effects: &[Effect]) -> Fate {
    let fates = effects.iter().filter_map(|effect| match effect {
        Effect::Send(t, send) if *t == token => Some(Fate::Sent(send.clone())),
        Effect::Reject(t, rejection) if *t == token => Some(Fate::Rejected(*rejection)),
        _ => None,
    });
    let fates: Vec<Fate> = fates.collect();
    assert!(fates.len() <= 1, "{effects:?}");
    fates.into_iter().next().unwrap_or(Fate::Waits)
}

#[test]
fn requests_that_cannot_be_taken_are_refused_at_once() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Process),
        route: &'static str,
        key: Option<&'static str>,
        expected: Reason,
    }
    let nothing: fn(&mut Process) = |_| {};
    let stale: fn(&mut Process) = |p| p.now += LEASE;
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
            nothing,
            "none",
            Some("key"),
            Reason::NoRoute,
        ),
        case("no key", nothing, "look", None, Reason::UnknownKey),
        case(
            "unknown key",
            nothing,
            "look",
            Some("x"),
            Reason::UnknownKey,
        ),
        case("no target", nothing, "look", Some("key"), Reason::NoTarget),
        case(
            "stale",
            stale,
            "look",
            Some("key"),
            Reason::StaleConfiguration,
        ),
        case(
            "stale, no such route",
            stale,
            "none",
            None,
            Reason::StaleConfiguration,
        ),
        case(
            "stale, unknown key",
            stale,
            "look",
            Some("x"),
            Reason::StaleConfiguration,
        ),
        case(
            "stale, open route, no target",
            stale,
            "open",
            None,
            Reason::NoTarget,
        ),
        case(
            "about to end",
            |p| drop(p.tell(Event::Close)),
            "look",
            Some("key"),
            Reason::Stopping,
        ),
        case(
            "no configuration",
            |p| p.state = State::new(options()),
            "look",
            Some("key"),
            Reason::NoConfiguration,
        ),
    ];
    for case in cases {
        let mut process = Process::new();
        (case.prepare)(&mut process);
        let (_, fate) = process.arrive_with(case.route, |a| a.key = case.key.map(Into::into));
        assert_eq!(fate.reason(), (case.expected, true), "{}", case.name);
    }
}

fn options() -> Options {
    Options {
        location: Location::default(),
        lease: LEASE,
        version_grace: ms(6500),
        budget: BudgetOptions::default(),
        begin_grace: Duration::from_millis(700),
        reserves: false,
        seed: 1,
    }
}

#[test]
fn a_lease_is_measured_from_the_sending_of_the_call() {
    let mut process = Process::with(&[("d1", "desk", "a")]);
    let sent = process.now;
    process.now += ms(3000);
    process.tell(Event::Current(sent));
    process.now += ms(999);
    assert_eq!(process.arrive("look").1.target(), "d1");
    process.now += ms(1);
    assert_eq!(
        process.arrive("look").1.reason().0,
        Reason::StaleConfiguration
    );
    // An answer to an older call does not shorten a newer proof.
    process.renew();
    process.tell(Event::Current(sent));
    assert_eq!(process.arrive("look").1.target(), "d1");
}

#[test]
fn a_request_that_waits_is_not_sent_on_a_lapsed_lease() {
    let mut process = Process::with(&[("e1", "engines", "a")]);
    process.now += LEASE - ms(100);
    let tokens: Vec<u64> = (0..4).map(|_| process.arrive("chat").0).collect();
    let (waiting, fate) = process.arrive("chat");
    assert_eq!(fate, Fate::Waits);
    process.now += ms(100);
    let answered = Outcome::Answered { failed: false };
    let effects = process.tell(Event::Ended {
        token: tokens[0],
        outcome: answered,
        pause: Duration::ZERO,
    });
    if let Fate::Sent(send) = self::fate(waiting, &effects) {
        panic!("sent without a lease: {send:?}");
    }
}

#[test]
fn what_may_run_once_is_sent_again_only_if_it_did_not_run() {
    struct Case {
        name: &'static str,
        route: &'static str,
        outcome: Outcome,
        /// The second target gets it, or the caller is told so, with whether it has not run.
        expected: Result<(), (Reason, bool)>,
    }
    let broken = Outcome::Broken { lost: true };
    let case = |name, route, outcome, expected| Case {
        name,
        route,
        outcome,
        expected,
    };
    let cases = [
        case("order, full", "order", Outcome::Busy, Ok(())),
        case("order, never sent", "order", Outcome::NotSent, Ok(())),
        case("order, other life", "order", Outcome::OtherInstance, Ok(())),
        case(
            "order, broken",
            "order",
            broken,
            Err((Reason::MayHaveRun, false)),
        ),
        case(
            "order, silent",
            "order",
            Outcome::Silent,
            Err((Reason::MayHaveRun, false)),
        ),
        case(
            "order, late",
            "order",
            Outcome::TimedOut,
            Err((Reason::TimedOut, false)),
        ),
        case("lookup, broken", "look", broken, Ok(())),
        case("lookup, silent", "look", Outcome::Silent, Ok(())),
        case("stream, broken", "chat", broken, Ok(())),
    ];
    for case in cases {
        let mut process = Process::with(&[
            ("d1", "desk", "a"),
            ("d2", "desk", "a"),
            ("e1", "engines", "a"),
            ("e2", "engines", "a"),
        ]);
        let (token, first) = process.arrive(case.route);
        let first = first.target().to_owned();
        let second = process.end(token, case.outcome);
        match case.expected {
            Ok(()) => assert_ne!(second.target(), first, "{}", case.name),
            Err(expected) => assert_eq!(second.reason(), expected, "{}", case.name),
        }
    }
}

#[test]
fn a_stream_is_gone_on_with_by_the_version_that_began_it() {
    let mut process = Process::with(&[("e1", "engines", "a"), ("e2", "engines", "b")]);
    let (token, first) = process.arrive("chat");
    assert_eq!(first.target(), "e1");
    process.begin_answer(token);
    process.tell(Event::Engine {
        id: "e2".into(),
        version: Some(2),
        is_switching: false,
        watchers: 1,
    });
    let fate = process.end(token, Outcome::Broken { lost: true });
    assert_eq!(fate.reason(), (Reason::NoTarget, false));

    process.tell(Event::Unlisted {
        id: "e2".into(),
        grace: Duration::ZERO,
    });
    let (token, _) = process.arrive_with("chat", |a| a.fingerprint = 99);
    process.begin_answer(token);
    process.tell(Event::Listed(entry("e3", "engines", "c")));
    match process.end(token, Outcome::Broken { lost: true }) {
        Fate::Sent(send) => {
            assert_eq!((&*send.target, send.version), ("e3", Some(1)));
            assert_eq!(send.urgency, 0);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn targets_that_must_get_nothing_get_nothing() {
    struct Case {
        name: &'static str,
        change: fn(&mut Process),
    }
    let cases = [
        Case {
            name: "it drains",
            change: |p| {
                let mut entry = entry("e1", "engines", "a");
                entry.is_draining = true;
                p.tell(Event::Listed(entry));
            },
        },
        Case {
            name: "its data centre is out",
            change: |p| {
                let name = "a".into();
                p.tell(Event::DataCentre { name, out: true });
            },
        },
        Case {
            name: "it holds no weights",
            change: |p| {
                let mut entry = entry("e1", "engines", "a");
                entry.version = None;
                entry.is_empty = true;
                p.tell(Event::Listed(entry));
            },
        },
        Case {
            name: "it changes its weights",
            change: |p| {
                p.tell(Event::Engine {
                    id: "e1".into(),
                    version: Some(1),
                    is_switching: true,
                    watchers: 1,
                });
            },
        },
        Case {
            name: "its version is over",
            change: |p| {
                p.tell(Event::Version {
                    model: "m".into(),
                    version: 2,
                    age: Some(Duration::ZERO),
                });
                p.now += ms(6500);
                p.renew();
            },
        },
        Case {
            name: "it is off the list",
            change: |p| {
                p.tell(Event::Unlisted {
                    id: "e1".into(),
                    grace: Duration::ZERO,
                });
            },
        },
    ];
    for case in cases {
        let mut process = Process::with(&[("e1", "engines", "a")]);
        assert_eq!(process.arrive("chat").1.target(), "e1", "{}", case.name);
        (case.change)(&mut process);
        let reason = process.arrive("chat").1.reason();
        assert_eq!(reason, (Reason::NoTarget, true), "{}", case.name);
    }
}

#[test]
fn each_version_has_its_own_time() {
    let mut process = Process::with(&[("e1", "engines", "a"), ("e2", "engines", "c")]);
    let name = |p: &mut Process, version| {
        p.tell(Event::Version {
            model: "m".into(),
            version,
            age: Some(Duration::ZERO),
        });
    };
    let runs = |p: &mut Process, id: &str, version| {
        p.tell(Event::Engine {
            id: id.into(),
            version: Some(version),
            is_switching: false,
            watchers: 1,
        });
    };
    name(&mut process, 2);
    process.now += ms(3000);
    name(&mut process, 3);
    runs(&mut process, "e2", 2);
    process.now += ms(3500);
    process.renew();
    // Version 1 is over, version 2 is not yet.
    let (token, fate) = process.arrive("chat");
    match fate {
        Fate::Sent(send) => assert_eq!((&*send.target, send.version), ("e2", Some(2))),
        other => panic!("{other:?}"),
    }
    process.end(token, Outcome::Answered { failed: false });
    process.now += ms(3000);
    process.renew();
    assert_eq!(process.arrive("chat").1.reason().0, Reason::NoTarget);
    runs(&mut process, "e1", 3);
    assert_eq!(process.arrive("chat").1.target(), "e1");
}

/// Only the agent counts for all processes, so a cold engine gets nothing without its word.
#[test]
fn a_cold_engine_gets_nothing_while_its_agent_does_not_answer() {
    struct Case {
        name: &'static str,
        cold_for: Duration,
        sent: bool,
    }
    let cases = [
        Case {
            name: "cold",
            cold_for: ms(3000),
            sent: false,
        },
        Case {
            name: "warm",
            cold_for: Duration::ZERO,
            sent: true,
        },
    ];
    for case in cases {
        let mut process = Process::reserving();
        process.tell(Event::Listed(TargetEntry {
            cold_for: case.cold_for,
            ..entry("e1", "engines", "a")
        }));
        let (token, _) = process.arrive("chat");
        let effects = process.tell(Event::Reserved { token, offer: None });
        let sent = matches!(fate(token, &effects), Fate::Sent(_));
        assert_eq!(sent, case.sent, "{}", case.name);
    }
}

/// An agent that does not answer is a dependency that is lost, and does not stop requests.
#[test]
fn requests_go_on_while_an_agent_does_not_answer() {
    let mut process = Process::reserving();
    process.tell(Event::Listed(entry("e1", "engines", "a")));
    let mut lines = Vec::new();
    let back = Offer {
        ahead: Backlog::default(),
        is_open: true,
    };
    for (at, offer) in [None, None, Some(back)].into_iter().enumerate() {
        // Longer than the rest of an agent that did not answer.
        process.now += ms(1500);
        process.renew();
        let (token, before) = process.arrive("chat");
        assert_eq!(before, Fate::Waits, "{at}: the agent is asked first");
        let effects = process.tell(Event::Reserved { token, offer });
        assert!(matches!(fate(token, &effects), Fate::Sent(_)), "{at}");
        for effect in effects {
            if let Effect::Record(record::Decision::Dependency { name, up, .. }) = effect {
                lines.push((name.to_string(), up));
            }
        }
        process.end(token, Outcome::Answered { failed: false });
    }
    let agent = "agent of e1".to_owned();
    assert_eq!(lines, [(agent.clone(), false), (agent, true)]);
}

struct BeginCase {
    name: &'static str,
    /// The version that the target runs.
    runs: u64,
    /// When the answer must have begun, after the naming of version 2.
    begin_by: Option<Duration>,
}

/// A request that waits at an engine of the old version must not begin there too late.
#[test]
fn a_request_at_an_older_version_must_begin_in_time() {
    let cases = [
        BeginCase {
            name: "the old version",
            runs: 1,
            begin_by: Some(ms(7200)),
        },
        BeginCase {
            name: "the new version",
            runs: 2,
            begin_by: None,
        },
    ];
    for case in cases {
        let mut process = Process::with(&[("e1", "engines", "a")]);
        let named_at = process.now;
        process.tell(Event::Version {
            model: "m".into(),
            version: 2,
            age: Some(Duration::ZERO),
        });
        process.tell(Event::Engine {
            id: "e1".into(),
            version: Some(case.runs),
            is_switching: false,
            watchers: 1,
        });
        let (_, fate) = process.arrive("chat");
        let Fate::Sent(send) = fate else {
            panic!("{}: {fate:?}", case.name);
        };
        let expected = case.begin_by.map(|after| named_at + after);
        assert_eq!(send.begin_by, expected, "{}", case.name);
    }
}

#[test]
fn a_process_that_finds_a_version_at_its_start_learns_its_age_from_others() {
    // The process is younger than the naming.
    let mut process = Process::new_at(ms(100));
    process.tell(Event::Listed(entry("e1", "engines", "a")));
    let name = |p: &mut Process, age| {
        p.tell(Event::Version {
            model: "m".into(),
            version: 2,
            age,
        });
    };
    name(&mut process, None);
    assert_eq!(process.arrive("chat").1.reason().0, Reason::NoTarget);
    name(&mut process, Some(ms(2000)));
    assert_eq!(process.arrive("chat").1.target(), "e1");
    // Whoever heard of it earlier knows better; later ones do not.
    name(&mut process, Some(ms(4000)));
    name(&mut process, Some(ms(1000)));
    process.now += ms(2400);
    process.renew();
    assert_eq!(process.arrive("chat").1.target(), "e1");
    process.now += ms(100);
    assert_eq!(process.arrive("chat").1.reason().0, Reason::NoTarget);
}

#[test]
fn entries_that_lapse_with_the_list_may_come_back() {
    let mut process = Process::with(&[("d1", "desk", "a"), ("d2", "desk", "a")]);
    for id in ["d1", "d2"] {
        process.tell(Event::Unlisted {
            id: id.into(),
            grace: ms(2500),
        });
    }
    process.now += ms(1500);
    process.renew();
    process.tell(Event::Listed(entry("d2", "desk", "a")));
    process.now += ms(1100);
    process.renew();
    process.tell(Event::Tick);
    for _ in 0..4 {
        assert_eq!(process.arrive("look").1.target(), "d2");
    }
}

#[test]
fn an_entry_of_an_earlier_life_changes_nothing() {
    let mut process = Process::with(&[("d1", "desk", "a")]);
    let mut old = entry("d1", "desk", "a");
    old.born_ms = 6;
    old.is_draining = true;
    process.tell(Event::Listed(old));
    assert_eq!(process.arrive("look").1.target(), "d1");
}

#[test]
fn a_configuration_never_goes_back() {
    let mut process = Process::with(&[("d1", "desk", "a")]);
    let mut newer = config(3);
    newer.routes.clear();
    process.tell(Event::Config(Arc::new(newer)));
    process.tell(Event::Config(Arc::new(config(2))));
    assert_eq!(process.arrive("look").1.reason().0, Reason::NoRoute);
}

#[test]
fn retries_are_bounded_by_the_budget() {
    let mut process = Process::with(&[("d1", "desk", "a"), ("d2", "desk", "b")]);
    let mut refused = 0;
    for _ in 0..40 {
        let (token, _) = process.arrive("look");
        match process.end(token, Outcome::Busy) {
            Fate::Sent(_) => {
                process.end(token, Outcome::Answered { failed: false });
            }
            Fate::Rejected(rejection) => {
                assert!(rejection.not_run);
                refused += 1;
            }
            Fate::Waits => {
                process.tell(Event::Left(token));
            }
        }
        // Busy targets are believed for a while.
        process.now += ms(60_000);
        process.renew();
        process.tell(Event::Listed(entry("d1", "desk", "a")));
    }
    // Ten saved up, and a fifth of forty requests.
    assert!((20..=24).contains(&refused), "{refused}");
}

#[test]
fn a_request_that_crashes_targets_is_contained() {
    let ids: Vec<String> = (0..8).map(|i| format!("d{i}")).collect();
    let mut process = Process::new();
    for id in &ids {
        process.tell(Event::Listed(entry(id, "desk", "a")));
    }
    let mut crashes = 0;
    for _ in 0..10 {
        let (token, mut fate) = process.arrive_with("look", |a| a.fingerprint = 666);
        while let Fate::Sent(_) = fate {
            crashes += 1;
            fate = process.end(token, Outcome::Broken { lost: true });
        }
        process.now += ms(5000);
        process.renew();
    }
    assert_eq!(crashes, 2);
    // Others go on.
    assert!(matches!(process.arrive("look").1, Fate::Sent(_)));
}

#[test]
fn refused_callers_are_told_when_to_come_back_and_not_all_at_once() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Process),
        /// The shortest and longest time, or nothing for a refusal that is final.
        expected: Option<(Duration, Duration)>,
    }
    let cases = [
        Case {
            name: "another process may know the configuration",
            prepare: |p| p.now += LEASE,
            expected: Some((ms(200), ms(400))),
        },
        Case {
            name: "no target anywhere",
            prepare: |_| {},
            expected: Some((ms(1000), ms(2000))),
        },
        Case {
            name: "no such route",
            prepare: |p| {
                let mut config = config(2);
                config.routes.clear();
                p.tell(Event::Config(Arc::new(config)));
            },
            expected: None,
        },
    ];
    for case in cases {
        let mut process = Process::new();
        (case.prepare)(&mut process);
        let mut times: Vec<Option<Duration>> = (0..8)
            .map(|_| match process.arrive("look").1 {
                Fate::Rejected(rejection) => rejection.retry_after,
                other => panic!("{}: {other:?}", case.name),
            })
            .collect();
        let Some((least, most)) = case.expected else {
            assert!(times.iter().all(Option::is_none), "{}", case.name);
            continue;
        };
        let within = |t: &Option<Duration>| t.is_some_and(|t| t >= least && t <= most);
        assert!(times.iter().all(within), "{}: {times:?}", case.name);
        times.sort();
        times.dedup();
        assert!(times.len() > 4, "{}: {times:?}", case.name);
    }
}
