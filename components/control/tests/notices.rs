//! Requests to targets that say in their answers that they want none.

mod routers;

use std::sync::Arc;
use std::time::Duration;

use control::grace::Grace;
use control::notice::Notice;
use control::router::config::{
    Config,
    Repeatability,
    Service, //
};
use control::router::targets::TargetEntry;
use control::router::{
    Effect,
    Event,
    Options,
    Outcome,
    Rejection,
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
use utils::Name;

const LEAVING: Notice = Notice {
    requests_per_second: None,
    is_leaving: true,
    wants_nothing_for: None,
};

/// What a target says with a refusal if it wants nothing for two seconds.
const PAUSE: Duration = Duration::from_secs(2);
const PAUSING: Notice = Notice {
    requests_per_second: None,
    is_leaving: false,
    wants_nothing_for: Some(PAUSE),
};

fn config() -> Config {
    let route = |name, repeatability| Arc::new(route(name, "desk", repeatability));
    let service = Service {
        name: "desk".into(),
        cold_rate_per_second: 0.0,
        delays: Default::default(),
        engine_profile: None,
    };
    Config {
        version: 1,
        routes: vec![
            route("look", Repeatability::Idempotent),
            route("chat", Repeatability::ResumableStream),
        ],
        services: [("desk".into(), Arc::new(service))].into(),
        ..Config::default()
    }
}

/// A target in the start at `started_at_ms`.
fn entry(id: &str, started_at_ms: u64) -> TargetEntry {
    TargetEntry {
        started_at_ms,
        ..target(id, "desk", "a")
    }
}

struct TestRouter {
    state: State,
    now: Duration,
    last_token: u64,
}

impl TestRouter {
    /// Creates a reducer that knows the targets d1 and d2.
    fn new() -> Self {
        let state = State::new(Options {
            uses_reservations: false,
            ..options(AMPLE_RETRIES, 1)
        });
        let mut router = Self {
            state,
            now: Duration::from_secs(10),
            last_token: 0,
        };
        router.step(Event::ConfigRead(Arc::new(config())));
        router.step(Event::TargetListed(entry("d1", 1)));
        router.step(Event::TargetListed(entry("d2", 1)));
        router
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.state.step(clock(self.now), event)
    }

    fn handle_request(&mut self, route: &str) -> Vec<Effect> {
        self.last_token += 1;
        let request = request(self.last_token, &format!("/{route}/x"));
        self.step(Event::RequestReceived(request))
    }

    /// Handles a request. Returns its token and the target that it is sent to, if it is.
    fn receive(&mut self, route: &str) -> (u64, Option<String>) {
        let effects = self.handle_request(route);
        (self.last_token, sent_to(&effects))
    }

    /// Handles a request that is rejected at once.
    fn receive_rejected(&mut self) -> Rejection {
        let effects = self.handle_request("look");
        rejection(&effects).expect("it is rejected")
    }

    /// Sends requests until one is refused by this target, with this notice. A target that refuses
    /// counts as full until its load report is old.
    fn refuse_from(&mut self, id: &str, notice: Notice) {
        for _ in 0..100 {
            let (token, target) = self.receive("look");
            let is_target = target.as_deref() == Some(id);
            self.receive_head(token, if is_target { notice } else { Notice::default() });
            if is_target {
                self.end(token, Outcome::WrongVersion);
                self.step(Event::CallerDisconnected(token));
                return;
            }
            self.end(token, Outcome::Answered { is_error: false });
        }
        panic!("{id} got no request");
    }

    fn receive_head(&mut self, token: u64, notice: Notice) {
        self.step(Event::ResponseHead {
            token,
            load: None,
            cold_remaining: None,
            version: None,
            notice: Some(notice),
        });
    }

    /// Ends the exchange. Returns the target that the request is sent to next, if it is.
    fn end(&mut self, token: u64, outcome: Outcome) -> Option<String> {
        let effects = self.step(Event::ExchangeEnded {
            token,
            outcome,
            longest_pause: Duration::ZERO,
            sending: Sending::default(),
        });
        sent_to(&effects)
    }

    /// Sends requests until one is answered by this target, with this notice.
    fn answer_from(&mut self, id: &str, notice: Notice) {
        for _ in 0..100 {
            let (token, target) = self.receive("look");
            let notice = if target.as_deref() == Some(id) {
                notice
            } else {
                Notice::default()
            };
            self.receive_head(token, notice);
            self.end(token, Outcome::Answered { is_error: false });
            if target.as_deref() == Some(id) {
                return;
            }
        }
        panic!("{id} got no request");
    }

    /// The targets of some requests that are answered at once.
    fn targets_of_requests(&mut self) -> Vec<Option<String>> {
        let mut targets: Vec<Option<String>> = (0..30)
            .map(|_| {
                let (token, target) = self.receive("look");
                self.receive_head(token, Notice::default());
                self.end(token, Outcome::Answered { is_error: false });
                target
            })
            .collect();
        targets.sort();
        targets.dedup();
        targets
    }
}

fn wants_nothing_for(pause: Duration) -> Notice {
    Notice {
        wants_nothing_for: Some(pause),
        ..Notice::default()
    }
}

fn sent_to(effects: &[Effect]) -> Option<String> {
    effects.iter().find_map(|effect| match effect {
        Effect::Forward(_, request) => Some(request.target.to_string()),
        _ => None,
    })
}

fn rejection(effects: &[Effect]) -> Option<Rejection> {
    effects.iter().find_map(|effect| match effect {
        Effect::Reject(_, rejection) => Some(*rejection),
        _ => None,
    })
}

#[test]
fn target_that_leaves_gets_nothing_new() {
    struct Case {
        name: &'static str,
        /// What happens after d1 has said that it leaves.
        then: fn(&mut TestRouter),
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "at once",
            then: |_| {},
            expected: &["d2"],
        },
        Case {
            name: "while the list still calls it ready",
            then: |router| {
                router.now += Duration::from_secs(20);
                router.step(Event::TargetListed(entry("d1", 1)));
            },
            expected: &["d2"],
        },
        Case {
            name: "after it has started again",
            then: |router| {
                router.step(Event::TargetListed(entry("d1", 2)));
            },
            expected: &["d1", "d2"],
        },
    ];
    for case in cases {
        let mut router = TestRouter::new();
        router.answer_from("d1", LEAVING);
        (case.then)(&mut router);
        let targets: Vec<String> = router.targets_of_requests().into_iter().flatten().collect();
        assert_eq!(targets, case.expected, "{}", case.name);
    }
}

#[test]
fn target_that_wants_nothing_for_a_while_gets_nothing_until_then() {
    let mut router = TestRouter::new();
    router.refuse_from("d1", PAUSING);
    for _ in 0..19 {
        assert_eq!(router.targets_of_requests(), [Some("d2".to_owned())]);
        router.now += PAUSE / 20;
    }
    router.now += PAUSE / 10;
    let targets: Vec<String> = router.targets_of_requests().into_iter().flatten().collect();
    assert_eq!(targets, ["d1", "d2"]);
}

#[test]
fn shorter_time_of_a_later_refusal_does_not_end_the_longer_one() {
    let mut router = TestRouter::new();
    let mut earlier = router.receive("look");
    while earlier.1.as_deref() != Some("d1") {
        earlier = router.receive("look");
    }
    router.refuse_from("d1", PAUSING);
    router.receive_head(
        earlier.0,
        Notice {
            wants_nothing_for: Some(PAUSE / 10),
            ..Notice::default()
        },
    );
    router.end(earlier.0, Outcome::WrongVersion);
    router.step(Event::CallerDisconnected(earlier.0));
    router.now += PAUSE / 2;
    assert_eq!(router.targets_of_requests(), [Some("d2".to_owned())]);
}

#[test]
fn caller_is_told_when_the_first_target_wants_requests_again() {
    struct Case {
        name: &'static str,
        pauses: [Duration; 2],
        /// The shortest time after which the caller may come back.
        expected: Duration,
    }
    let seconds = Duration::from_secs;
    let cases = [
        Case {
            name: "both long",
            pauses: [seconds(5), seconds(9)],
            expected: seconds(5),
        },
        Case {
            name: "longer than a day",
            pauses: [seconds(600_000), seconds(700_000)],
            expected: seconds(3600),
        },
    ];
    for case in cases {
        let mut router = TestRouter::new();
        router.refuse_from("d1", wants_nothing_for(case.pauses[0]));
        router.refuse_from("d2", wants_nothing_for(case.pauses[1]));
        let rejection = router.receive_rejected();
        assert_eq!(rejection.reason, RejectionReason::NoTarget, "{}", case.name);
        assert!(rejection.not_run, "{}", case.name);
        let after = rejection.retry_after.expect("a time to come back");
        assert!(after >= case.expected, "{}: {after:?}", case.name);
    }
}

#[test]
fn request_waits_for_a_target_that_wants_requests_again_in_time() {
    let mut router = TestRouter::new();
    let pause = Duration::from_millis(150);
    router.refuse_from("d1", wants_nothing_for(pause));
    router.refuse_from("d2", wants_nothing_for(pause));
    let (token, target) = router.receive("look");
    assert_eq!(target, None);
    router.now += pause * 2;
    let effects = router.step(Event::Tick);
    assert!(sent_to(&effects).is_some(), "request {token}: {effects:?}");
}

#[test]
fn answer_that_was_under_way_does_not_take_back_that_a_target_leaves() {
    let mut router = TestRouter::new();
    let mut earlier = router.receive("look");
    while earlier.1.as_deref() != Some("d1") {
        earlier = router.receive("look");
    }
    router.answer_from("d1", LEAVING);
    router.receive_head(earlier.0, Notice::default());
    router.end(earlier.0, Outcome::Answered { is_error: false });
    assert_eq!(router.targets_of_requests(), [Some("d2".to_owned())]);
}

#[test]
fn older_entry_of_a_restored_list_does_not_take_back_that_a_target_drains() {
    let mut router = TestRouter::new();
    let mut draining = entry("d1", 1);
    draining.is_draining = true;
    router.step(Event::TargetListed(draining));
    router.step(Event::TargetListed(entry("d1", 1)));
    assert_eq!(router.targets_of_requests(), [Some("d2".to_owned())]);
    router.step(Event::TargetListed(entry("d1", 2)));
    let targets: Vec<String> = router.targets_of_requests().into_iter().flatten().collect();
    assert_eq!(targets, ["d1", "d2"]);
}

/// Guards against a target that left and is used again after the store was restored from a copy.
#[test]
fn target_that_left_is_not_used_again_because_a_restored_list_names_it() {
    struct Case {
        name: &'static str,
        listed: TargetEntry,
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "the same start",
            listed: entry("d1", 1),
            expected: &["d2"],
        },
        Case {
            name: "a later start",
            listed: entry("d1", 2),
            expected: &["d1", "d2"],
        },
    ];
    for case in cases {
        let mut router = TestRouter::new();
        let mut draining = entry("d1", 1);
        draining.is_draining = true;
        router.step(Event::TargetListed(draining));
        router.step(Event::TargetUnlisted {
            id: "d1".into(),
            grace: Grace::NONE,
        });
        router.step(Event::TargetListed(case.listed));
        let targets: Vec<String> = router.targets_of_requests().into_iter().flatten().collect();
        assert_eq!(targets, case.expected, "{}", case.name);
    }
}

#[test]
fn repeats_and_resumed_streams_avoid_targets_that_leave() {
    for (route, has_started) in [("look", false), ("chat", true)] {
        let mut router = TestRouter::new();
        router.step(Event::TargetListed(entry("d3", 1)));
        router.answer_from("d1", LEAVING);
        for _ in 0..20 {
            let (token, _) = router.receive(route);
            if has_started {
                router.step(Event::ResponseHead {
                    token,
                    load: None,
                    cold_remaining: None,
                    version: Some(1),
                    notice: Some(Notice::default()),
                });
                router.step(Event::ResponseStarted(token));
            }
            let broken = Outcome::Broken {
                connection_lost: false,
            };
            assert_ne!(router.end(token, broken).as_deref(), Some("d1"), "{route}");
            router.step(Event::CallerDisconnected(token));
            router.now += Duration::from_secs(60);
        }
    }
}

#[test]
fn requests_are_rejected_at_once_if_all_targets_leave() {
    let mut router = TestRouter::new();
    router.answer_from("d1", LEAVING);
    router.answer_from("d2", LEAVING);
    let rejection = router.receive_rejected();
    assert_eq!(rejection.reason, RejectionReason::NoTarget);
    assert!(rejection.not_run && rejection.retry_after.is_some());
}

/// Guards against requests to a target that has left, after a restored list names it again: its entry was
/// removed while it answered, so that it was not known any more when its answer said that it leaves.
#[test]
fn target_that_says_that_it_leaves_after_its_entry_was_removed_is_not_used_again() {
    struct Case {
        name: &'static str,
        notice: Notice,
        /// When the target of the restored entry started.
        started_at_ms: u64,
        is_used: bool,
    }
    let cases = [
        Case {
            name: "it leaves",
            notice: LEAVING,
            started_at_ms: 1,
            is_used: false,
        },
        Case {
            name: "it said nothing",
            notice: Notice::default(),
            started_at_ms: 1,
            is_used: true,
        },
        Case {
            name: "it has started again",
            notice: LEAVING,
            started_at_ms: 2,
            is_used: true,
        },
    ];
    for case in cases {
        let mut router = TestRouter::new();
        let (token, target) = router.receive("look");
        let target: Name = target.expect("it is sent").as_str().into();
        let other = if &*target == "d1" { "d2" } else { "d1" };
        for id in [other, &target] {
            router.step(Event::TargetUnlisted {
                id: id.into(),
                grace: Grace::of(Duration::ZERO),
            });
        }
        router.now += Duration::from_millis(200);
        router.step(Event::Tick);
        router.receive_head(token, case.notice);
        router.end(token, Outcome::Answered { is_error: false });
        router.now += Duration::from_secs(3);
        router.step(Event::ConfigConfirmed(router.now));
        router.step(Event::TargetListed(entry(&target, case.started_at_ms)));
        let (_, sent_to) = router.receive("look");
        assert_eq!(sent_to.is_some(), case.is_used, "{}", case.name);
    }
}
