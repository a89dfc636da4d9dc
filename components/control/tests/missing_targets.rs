//! Tests of targets whose entries are missing from the list. Guards against requests to targets that
//! have left, and against an entry that loses all its targets because the store was away.

mod routers;

use std::time::Duration;

use control::grace::{
    Gap,
    Grace, //
};
use control::notice::Notice;
use control::router::targets::TargetEntry;
use control::router::{
    Effect,
    Event,
    ReservationReply,
    State, //
};
use protocol::{
    AgedLimit,
    Backlog,
    EngineCondition, //
};
use record::Decision;
use routers::{
    clock,
    config_of_both_services,
    options,
    request,
    target,
    AMPLE_RETRIES, //
};

const START: Duration = Duration::from_secs(100);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A process with plain targets.
struct TestRouter {
    state: State,
    now: Duration,
    decisions: Vec<Decision>,
    last_token: u64,
}

impl TestRouter {
    fn new(entries: impl IntoIterator<Item = TargetEntry>) -> Self {
        let mut router = Self {
            state: State::new(options(AMPLE_RETRIES, 1)),
            now: START,
            decisions: Vec::new(),
            last_token: 0,
        };
        router.step(Event::ConfigRead(config_of_both_services()));
        for entry in entries {
            router.step(Event::TargetListed(entry));
        }
        router
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = self
            .state
            .step(clock(self.now), Event::ConfigConfirmed(self.now));
        effects.extend(self.state.step(clock(self.now), event));
        let decisions = effects.iter().filter_map(|effect| match effect {
            Effect::Record(decision) => Some(decision.clone()),
            _ => None,
        });
        self.decisions.extend(decisions);
        effects
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.step(Event::Tick);
    }

    /// Reads a list that has only these targets.
    fn read_list(&mut self, ids: &[&str], grace: Grace) {
        let names = ids.iter().map(|id| (*id).into()).collect();
        self.step(Event::FullTargetList { names, grace });
    }

    fn known(&self) -> Vec<String> {
        let targets = self.state.targets().iter();
        targets.map(|t| t.entry.id.to_string()).collect()
    }

    fn receive(&mut self, route: &str) -> (u64, Vec<Effect>) {
        self.last_token += 1;
        let token = self.last_token;
        let mut request = request(token, &format!("/{route}/x"));
        request.prompt_and_max_answer_tokens = (route == "chat").then_some((100, 100));
        (token, self.step(Event::RequestReceived(request)))
    }

    /// Receives a request for an engine, whose agent is asked. Returns its token.
    fn receive_at_engine(&mut self) -> u64 {
        let (token, effects) = self.receive("chat");
        assert!(effects.iter().any(|e| matches!(e, Effect::Reserve(..))));
        token
    }

    /// Receives a request for an engine, and returns whether it was sent without a reply of the agent.
    fn is_sent_without_agent(&mut self, is_agent_silent: bool) -> bool {
        let (token, mut effects) = self.receive("chat");
        effects.extend(self.step(if is_agent_silent {
            Event::ReservationReply { token, reply: None }
        } else {
            Event::AgentRefused(token)
        }));
        effects.iter().any(|e| matches!(e, Effect::Forward(..)))
    }
}

fn plain_targets(ids: &[&str]) -> Vec<TargetEntry> {
    ids.iter().map(|id| target(id, "desk", "a")).collect()
}

#[test]
fn a_target_that_is_missing_alone_is_removed_before_a_majority_that_is_missing_together() {
    const GRACE: Grace = Grace {
        each: ms(500),
        majority: ms(2500),
    };
    struct Case {
        name: &'static str,
        targets: &'static [&'static str],
        listed: &'static [&'static str],
        grace: Grace,
        /// The known targets at once, after each of the times of `GRACE`.
        known: [usize; 3],
    }
    let cases = [
        Case {
            name: "one of three",
            targets: &["d1", "d2", "d3"],
            listed: &["d1", "d2"],
            grace: GRACE,
            known: [3, 2, 2],
        },
        Case {
            name: "two of three",
            targets: &["d1", "d2", "d3"],
            listed: &["d1"],
            grace: GRACE,
            known: [3, 3, 1],
        },
        Case {
            name: "one of two, the other one of which is new",
            targets: &["d1", "d2"],
            listed: &["d2"],
            grace: GRACE,
            known: [2, 1, 1],
        },
        Case {
            name: "the only one",
            targets: &["d1"],
            listed: &[],
            grace: GRACE,
            known: [1, 1, 0],
        },
        Case {
            name: "two of three, which cannot have expired",
            targets: &["d1", "d2", "d3"],
            listed: &["d1"],
            grace: Grace::NONE,
            known: [1, 1, 1],
        },
        Case {
            name: "one of three, whose time was over before the list was read",
            targets: &["d1", "d2", "d3"],
            listed: &["d1", "d2"],
            grace: Grace {
                each: Duration::ZERO,
                ..GRACE
            },
            known: [2, 2, 2],
        },
    ];
    for case in cases {
        let mut router = TestRouter::new(plain_targets(case.targets));
        router.read_list(case.listed, case.grace);
        let mut known = vec![router.known().len()];
        for time in [GRACE.each, GRACE.majority - GRACE.each] {
            router.advance(time);
            known.push(router.known().len());
        }
        assert_eq!(known, case.known, "{}", case.name);
    }
}

#[test]
fn a_missing_target_that_said_it_leaves_is_removed_at_once() {
    let mut router = TestRouter::new(plain_targets(&["d1"]));
    let mut leaving = target("d1", "desk", "a");
    leaving.is_draining = true;
    router.step(Event::TargetListed(leaving));
    router.step(Event::TargetUnlisted {
        id: "d1".into(),
        grace: Grace::of(ms(2500)),
    });
    assert!(router.known().is_empty());
}

#[test]
fn the_record_has_for_how_long_a_missing_target_is_kept() {
    let mut router = TestRouter::new(plain_targets(&["d1", "d2", "d3"]));
    let grace = Grace {
        each: ms(500),
        majority: ms(2500),
    };
    router.read_list(&["d1", "d2"], grace);
    router.read_list(&["d1", "d2"], grace);
    let missing = Decision::TargetMissing {
        target: "d3".into(),
        kept_ms: 500,
        kept_by_majority_ms: 2500,
    };
    let lines = router.decisions.iter().filter(|d| **d == missing);
    assert_eq!(lines.count(), 1, "{:?}", router.decisions);
}

/// Guards against requests to an engine that left together with its agent.
#[test]
fn a_missing_engine_whose_agent_is_gone_gets_no_requests() {
    struct Case {
        name: &'static str,
        is_listed: bool,
        is_agent_silent: bool,
        is_sent: bool,
    }
    let cases = [
        Case {
            name: "the agent restarts",
            is_listed: true,
            is_agent_silent: false,
            is_sent: true,
        },
        Case {
            name: "the entry is missing too",
            is_listed: false,
            is_agent_silent: false,
            is_sent: false,
        },
        Case {
            name: "the entry is missing, and the agent may be behind a full link",
            is_listed: false,
            is_agent_silent: true,
            is_sent: true,
        },
    ];
    for case in cases {
        let mut router = TestRouter::new([target("e1", "engines", "a")]);
        let listed: &[&str] = if case.is_listed { &["e1"] } else { &[] };
        router.read_list(listed, Grace::of(ms(2500)));
        for attempt in ["first", "while the agent is not asked"] {
            let is_sent = router.is_sent_without_agent(case.is_agent_silent);
            assert_eq!(is_sent, case.is_sent, "{}, {attempt}", case.name);
        }
    }
}

/// Guards against a limit that a target has changed, and that a late reply of its agent brings back.
#[test]
fn a_late_reply_of_an_agent_does_not_outrank_what_the_target_said_since() {
    struct Case {
        name: &'static str,
        /// The time from the call to the reply, in which the target answers another request.
        delay: Duration,
        age_ms: u64,
        expected: Option<f64>,
    }
    let cases = [
        Case {
            name: "written before the answer",
            delay: ms(2000),
            age_ms: 100,
            expected: Some(2.0),
        },
        Case {
            name: "named after the answer",
            delay: ms(0),
            age_ms: 0,
            expected: Some(50.0),
        },
    ];
    for case in cases {
        let mut router = TestRouter::new([target("e1", "engines", "a")]);
        let answered = router.receive_at_engine();
        router.step(Event::AgentRefused(answered));
        router.now += ms(1100);
        let waiting = router.receive_at_engine();
        router.now += case.delay / 2;
        router.step(Event::ResponseHead {
            token: answered,
            load: None,
            cold_remaining: None,
            version: Some(1),
            notice: Some(Notice {
                requests_per_second: Some(2.0),
                ..Notice::default()
            }),
        });
        router.now += case.delay / 2;
        let reply = ReservationReply {
            backlog: Backlog::default(),
            accepts_requests: true,
            limit: Some(AgedLimit {
                requests_per_second: Some(50.0),
                age_ms: case.age_ms,
            }),
            condition: EngineCondition::default(),
        };
        router.step(Event::ReservationReply {
            token: waiting,
            reply: Some(reply),
        });
        let target = router.state.targets().get("e1").unwrap();
        let limit = target.notice.requests_per_second();
        assert_eq!(limit, case.expected, "{}", case.name);
    }
}

/// Guards against an outage of one process that is taken for one of the store, and the reverse.
#[test]
fn an_entry_that_did_not_expire_tells_an_outage_of_one_process_from_one_of_the_store() {
    struct Case {
        name: &'static str,
        gap: Gap,
        was_available: bool,
    }
    let case = |name, duration, has_surviving_entry, was_available| Case {
        name,
        gap: Gap {
            duration,
            has_surviving_entry,
        },
        was_available,
    };
    let cases = [
        case("long, and entries were written", ms(6000), true, true),
        case("long, and all entries expired", ms(6000), false, false),
        case(
            "an entry that was written just before does not expire yet",
            ms(4700),
            true,
            false,
        ),
        case(
            "the shortest in which all entries expire",
            ms(4800),
            true,
            true,
        ),
    ];
    for case in cases {
        let was_available = case.gap.was_store_available(HEARTBEAT_INTERVAL);
        assert_eq!(was_available, case.was_available, "{}", case.name);
    }
}
