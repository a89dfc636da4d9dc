//! Tests that requests are not sent to another region whose agents do not answer, or too late to be of
//! use there. Guards against requests that reach engines on an old version or after their callers have
//! left, because they travel for seconds over a full link.

mod routers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use control::router::selection::Location;
use control::router::targets::TargetEntry;
use control::router::{
    Effect,
    Event,
    Options,
    Outcome,
    ReservationReply,
    Sending,
    State, //
};
use protocol::{
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
use utils::Name;

/// All targets: engines `n` and `s` in the regions north and south, and plain targets `pn` and `ps`.
const IDS: [&str; 7] = ["n1", "s1", "s2", "s3", "pn1", "ps1", "n2"];

/// How long requests may be sent to an older version.
const VERSION_GRACE: Duration = Duration::from_secs(6);

fn address(id: &str) -> SocketAddr {
    let index = IDS.iter().position(|known| *known == id).unwrap();
    SocketAddr::from(([10, 0, 0, 1], 8000 + index as u16))
}

/// A process in region `north`, with a manual clock.
struct TestRouter {
    state: State,
    now: Duration,
    last_token: u64,
    decisions: Vec<Decision>,
    /// The measured round trips to regions, in milliseconds.
    round_trips: Vec<(Name, u64)>,
}

impl TestRouter {
    fn new(ids: &str) -> Self {
        let regions = [("a", "north"), ("c", "south")];
        let regions = regions.map(|(dc, region)| (dc.into(), region.into()));
        let mut router = Self {
            state: State::new(Options {
                location: Location {
                    data_centre: "a".into(),
                    regions: BTreeMap::from(regions),
                },
                version_grace: VERSION_GRACE,
                ..options(AMPLE_RETRIES, 1)
            }),
            now: Duration::from_secs(10),
            last_token: 0,
            decisions: Vec::new(),
            round_trips: Vec::new(),
        };
        router.step(Event::ConfigRead(config_of_both_services()));
        for id in ids.split(' ') {
            router.list(id, false);
        }
        router
    }

    fn list(&mut self, id: &str, is_draining: bool) {
        let service = if id.starts_with('p') {
            "desk"
        } else {
            "engines"
        };
        let data_centre = if id.contains('n') { "a" } else { "c" };
        let entry = TargetEntry {
            address: address(id),
            is_draining,
            ..target(id, service, data_centre)
        };
        self.step(Event::TargetListed(entry));
    }

    /// Handles an event. Returns what comes of it.
    fn step(&mut self, event: Event) -> String {
        let mut result = "waits".to_owned();
        // The store answers all the time.
        let confirmed = Event::ConfigConfirmed(self.now);
        let mut effects = self.state.step(clock(self.now), confirmed);
        effects.extend(self.state.step(clock(self.now), event));
        for effect in effects {
            match effect {
                Effect::Forward(_, request) => result = format!("sent to {}", request.target),
                Effect::Reserve(_, request) => {
                    let id = IDS.iter().find(|id| address(id) == request.address);
                    result = format!("asks {}", id.unwrap());
                }
                Effect::Reject(_, rejection) => result = rejection.reason.as_str().into(),
                Effect::Record(decision) => self.decisions.push(decision),
                Effect::ObservePath(region, time) => {
                    self.round_trips.push((region, time.as_millis() as u64));
                }
                Effect::ScheduleQueueTimeout(..) | Effect::KeepTarget(_) => {}
            }
        }
        result
    }

    fn receive(&mut self, route: &str) -> String {
        self.last_token += 1;
        let mut request = request(self.last_token, &format!("/{route}/x"));
        request.prompt_and_max_answer_tokens = (route == "chat").then_some((100, 100));
        self.step(Event::RequestReceived(request))
    }

    fn reply(&mut self, token: u64, has_replied: bool) -> String {
        let reply = has_replied.then_some(ReservationReply {
            backlog: Backlog::default(),
            accepts_requests: true,
            limit: None,
            condition: EngineCondition::default(),
        });
        self.step(Event::ReservationReply { token, reply })
    }

    /// Begins the answer of a stream by version 1.
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

    fn end(&mut self, token: u64, outcome: Outcome) -> String {
        self.step(Event::ExchangeEnded {
            token,
            outcome,
            longest_pause: Duration::ZERO,
            sending: Sending::default(),
        })
    }

    /// Names version 2, which is required from `millis` from now on.
    fn require_version_in(&mut self, millis: u64) {
        self.step(Event::VersionNamed {
            model: "m".into(),
            version: 2,
            age: None,
            published_after: Some(self.now),
        });
        self.now += VERSION_GRACE - Duration::from_millis(millis);
    }

    /// Plays one word of a script: what happens, and the number of the request or of milliseconds that
    /// it happens to or takes. Returns what comes of it if that is of interest.
    fn play(&mut self, word: &str) -> Option<String> {
        let (what, number) = word.split_once('=').unwrap_or((word, "0"));
        let number = number.parse().unwrap_or_default();
        let result = match what {
            "chat" | "look" => self.receive(what),
            "reply" => self.reply(number, true),
            "silent" => self.reply(number, false),
            "refused" => self.step(Event::AgentRefused(number)),
            "fail" => self.end(number, Outcome::NotSent),
            "timeout" => self.step(Event::QueueTimeout(number)),
            "tick" => self.step(Event::Tick),
            _ => {
                match what {
                    "wait" => self.now += Duration::from_millis(number),
                    "begin" => self.begin_answer(number),
                    "answered" => {
                        self.end(number, Outcome::Answered { is_error: false });
                    }
                    "require" => self.require_version_in(number),
                    "drain-n1" => self.list("n1", true),
                    "list-n1" => self.list("n1", false),
                    _ => panic!("{word}"),
                }
                return None;
            }
        };
        Some(result)
    }
}

#[test]
fn requests_go_to_another_region_only_if_the_way_there_is_short() {
    struct Case {
        name: &'static str,
        targets: &'static str,
        script: &'static str,
        /// The beginnings of the results.
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "an agent of another region does not reply",
            targets: "s1",
            script: "chat wait=120 silent=1 chat",
            expected: "asks s1, no_target, no_target",
        },
        Case {
            name: "an agent of the own region does not reply",
            targets: "n1",
            script: "chat wait=120 silent=1",
            expected: "asks n1, sent to n1",
        },
        Case {
            name: "one silent agent, another one replies",
            targets: "s1 s2",
            script: "chat wait=120 silent=1 wait=2 reply=1",
            expected: "asks s, asks s, sent to s",
        },
        Case {
            name: "one silent agent, asked twice",
            targets: "s1 ps1",
            script: "chat wait=120 silent=1 wait=1000 chat wait=120 silent=2 look",
            expected: "asks s1, no_target, asks s1, no_target, sent to ps1",
        },
        Case {
            name: "two silent agents, the third is asked only later",
            targets: "s1 s2 s3",
            script: "chat wait=120 silent=1 wait=120 silent=1 chat wait=1000 chat",
            expected: "asks s, asks s, no_target, no_target, asks s",
        },
        Case {
            name: "two silent agents, the third was asked before and replies",
            targets: "s1 s2 s3 ps1",
            script: "chat chat chat wait=120 silent=1 silent=2 look reply=3 look",
            expected: "asks s, asks s, asks s, asks s, no_target, no_target, sent to s, sent to ps1",
        },
        Case {
            name: "two silent agents, asked before another one replied",
            targets: "s1 s2 s3 ps1",
            script: "chat chat chat wait=2 reply=3 wait=120 silent=1 silent=2 look",
            expected: "asks s, asks s, asks s, sent to s, asks s, asks s, sent to ps1",
        },
        Case {
            name: "two silent agents, another one replied in between",
            targets: "s1 s2 s3 ps1",
            script: "chat wait=120 silent=1 wait=2 reply=1 answered=1 chat wait=120 silent=2 look",
            expected: "asks s, asks s, sent to s, asks s, asks s, sent to ps1",
        },
        Case {
            name: "plain request, slow region",
            targets: "s1 s2 ps1",
            script: "chat wait=120 silent=1 wait=120 silent=1 look",
            expected: "asks s, asks s, no_target, no_target",
        },
        Case {
            name: "second attempt of a plain request, slow region",
            targets: "s1 s2 ps1 pn1",
            script: "chat wait=120 silent=1 wait=120 silent=1 look fail=2",
            expected: "asks s, asks s, no_target, sent to pn1, no_target",
        },
        Case {
            name: "plain request that waits until the region is usable",
            targets: "s1 s2 ps1",
            script: "chat wait=120 silent=1 wait=120 silent=1 wait=900 look wait=100 tick",
            expected: "asks s, asks s, no_target, waits, sent to ps1",
        },
        Case {
            name: "resumed stream, slow region",
            targets: "n1 s1 s2 s3",
            script: "chat reply=1 begin=1 drain-n1 chat wait=120 silent=2 wait=120 silent=2 fail=1 wait=400 timeout=1",
            expected: "asks n1, sent to n1, asks s, asks s, no_target, waits, waited_too_long",
        },
        Case {
            name: "resumed stream, usable region",
            targets: "n1 s1 s2 s3",
            script: "chat reply=1 begin=1 drain-n1 chat wait=120 silent=2 wait=120 silent=2 wait=1000 fail=1",
            expected: "asks n1, sent to n1, asks s, asks s, no_target, sent to s",
        },
        Case {
            name: "two instances of a region without agents do not close it",
            targets: "s1 s2 s3",
            script: "chat refused=1 refused=1 reply=1",
            expected: "asks s, asks s, asks s, sent to s",
        },
        Case {
            name: "an instance of another region without an agent gets nothing",
            targets: "s1",
            script: "chat refused=1 chat",
            expected: "asks s1, no_target, no_target",
        },
        Case {
            name: "second attempt in the own region, the agent does not reply",
            targets: "n1 n2",
            script: "chat reply=1 fail=1 wait=120 silent=1",
            expected: "asks n, sent to n, asks n, no_target",
        },
        Case {
            name: "second attempt in the own region, the agent did not reply before",
            targets: "n1 n2",
            script: "chat wait=120 silent=1 chat reply=2 fail=2",
            expected: "asks n, sent to n, asks n, sent to n, no_target",
        },
        Case {
            name: "second attempt in the own region, no agent there",
            targets: "n1 n2",
            script: "chat reply=1 fail=1 refused=1",
            expected: "asks n, sent to n, asks n, sent to n",
        },
        Case {
            name: "old version, the reply takes too long",
            targets: "s1",
            script: "require=150 chat wait=100 reply=1",
            expected: "asks s1, no_target",
        },
        Case {
            name: "old version, in time",
            targets: "s1",
            script: "require=150 chat wait=10 reply=1",
            expected: "asks s1, sent to s1",
        },
        Case {
            name: "old version, in the own region",
            targets: "n1",
            script: "require=150 chat wait=100 reply=1",
            expected: "asks n1, sent to n1",
        },
        Case {
            name: "second attempt of a stream, too late for its caller",
            targets: "s1",
            script: "chat wait=100 reply=1 answered=1 list-n1 chat reply=2 wait=1950 fail=2",
            expected: "asks s1, sent to s1, asks n1, sent to n1, timed_out",
        },
        Case {
            name: "second attempt of a stream, in time",
            targets: "s1",
            script: "chat wait=100 reply=1 answered=1 list-n1 chat reply=2 wait=1850 fail=2",
            expected: "asks s1, sent to s1, asks n1, sent to n1, asks s1",
        },
        Case {
            name: "second attempt of a stream, the reply takes too long",
            targets: "s1",
            script: "chat wait=10 reply=1 answered=1 list-n1 chat reply=2 wait=1850 fail=2 wait=100 reply=2",
            expected: "asks s1, sent to s1, asks n1, sent to n1, asks s1, timed_out",
        },
        Case {
            name: "second attempt of a plain request, too late for its deadline",
            targets: "s1 ps1 pn1",
            script: "chat wait=100 reply=1 answered=1 look wait=5950 fail=2",
            expected: "asks s1, sent to s1, sent to pn1, timed_out",
        },
        Case {
            name: "the process stood still while it waited for a reply",
            targets: "s1",
            script: "chat wait=3000 reply=1 wait=60000 chat",
            expected: "asks s1, timed_out, asks s1",
        },
        Case {
            name: "the process stood still while it waited for two agents",
            targets: "s1 s2",
            script: "chat chat wait=3000 silent=1 silent=2 wait=60000 chat",
            // The callers have left meanwhile.
            expected: "asks s, asks s, timed_out, timed_out, asks s",
        },
    ];
    for case in cases {
        let mut router = TestRouter::new(case.targets);
        let results = case.script.split(' ').filter_map(|word| router.play(word));
        let results: Vec<String> = results.collect();
        let expected: Vec<&str> = case.expected.split(", ").collect();
        let mut pairs = results.iter().zip(&expected);
        let is_expected = results.len() == expected.len()
            && pairs.all(|(result, expected)| result.starts_with(expected));
        assert!(
            is_expected,
            "{}: {results:?}, expected {expected:?}",
            case.name
        );
    }
}

/// Guards against a record from which nobody can tell why requests left a region.
#[test]
fn the_record_has_round_trips_and_slow_regions() {
    let mut router = TestRouter::new("s1 s2 s3");
    let script = "chat wait=7 reply=1 chat wait=120 silent=2 wait=120 silent=2 wait=1000 tick";
    for word in script.split(' ') {
        router.play(word);
    }
    let found = router
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Forward { way_ms, .. } => Some(format!("forward {way_ms:?}")),
            Decision::Dependency { name, up, .. } if name.starts_with("way") => {
                Some(format!("{name} {up}"))
            }
            _ => None,
        });
    let found: Vec<String> = found.collect();
    let expected = ["forward Some(7)", "way to south false", "way to south true"];
    assert_eq!(found, expected);
}

/// Guards against a record that does not tell how long the path to a target's region was believed to be
/// when a request was sent there, or how old that belief was.
#[test]
fn forward_lines_have_the_known_path_to_another_region() {
    struct Case {
        name: &'static str,
        targets: &'static str,
        script: &'static str,
        /// Round trip and age of the last forward line.
        expected: (Option<u64>, Option<u64>),
    }
    let cases = [
        Case {
            name: "the reservation for the request itself",
            targets: "s1",
            script: "chat wait=7 reply=1",
            expected: (Some(7), Some(0)),
        },
        Case {
            name: "a plain request uses an earlier reservation",
            targets: "s1 ps1",
            script: "chat wait=7 reply=1 wait=900 look",
            expected: (Some(7), Some(900)),
        },
        Case {
            name: "the longest round trip that is assumed",
            targets: "s1 ps1",
            script: "chat wait=400 reply=1 look",
            expected: (Some(150), Some(0)),
        },
        Case {
            name: "no agent there has replied",
            targets: "s1 ps1",
            script: "chat wait=120 silent=1 look",
            expected: (Some(0), None),
        },
        Case {
            name: "two agents were silent a while ago",
            targets: "s1 s2 s3 ps1",
            script: "chat wait=7 reply=1 chat wait=120 silent=2 wait=120 silent=2 wait=1000 look",
            expected: (Some(150), Some(1240)),
        },
        Case {
            name: "no agent there was ever asked",
            targets: "ps1",
            script: "look",
            expected: (None, None),
        },
        Case {
            name: "engine of the own region",
            targets: "n1",
            script: "chat wait=7 reply=1",
            expected: (None, None),
        },
        Case {
            name: "plain target of the own region, another region was measured",
            targets: "s1 pn1",
            script: "chat wait=7 reply=1 look",
            expected: (None, None),
        },
    ];
    for case in cases {
        let mut router = TestRouter::new(case.targets);
        for word in case.script.split(' ') {
            router.play(word);
        }
        let found = router.decisions.iter().rev();
        let mut found = found.filter_map(|decision| match decision {
            Decision::Forward {
                path_ms,
                path_age_ms,
                ..
            } => Some((*path_ms, *path_age_ms)),
            _ => None,
        });
        assert_eq!(found.next(), Some(case.expected), "{}", case.name);
    }
}

/// Guards against a record that does not tell a request that left late from one that was long on its way.
#[test]
fn exchange_lines_have_the_time_until_the_request_left() {
    struct Case {
        name: &'static str,
        /// When the request was handed to a connection after the decision, and how long opening it took.
        sent: Option<(u64, Option<u64>)>,
        expected: (Option<u64>, Option<u64>),
    }
    let cases = [
        Case {
            name: "on an idle connection, at once",
            sent: Some((0, None)),
            expected: (Some(0), None),
        },
        Case {
            name: "on a new connection",
            sent: Some((35, Some(30))),
            expected: (Some(35), Some(30)),
        },
        Case {
            name: "not sent",
            sent: None,
            expected: (None, None),
        },
    ];
    for case in cases {
        let mut router = TestRouter::new("pn1");
        router.play("look");
        let sent = case.sent.map(|(after, opened)| Sending {
            sent_at: Some(router.now + Duration::from_millis(after)),
            connected_in: opened.map(Duration::from_millis),
        });
        router.now += Duration::from_millis(50);
        router.step(Event::ExchangeEnded {
            token: 1,
            outcome: Outcome::Answered { is_error: false },
            longest_pause: Duration::ZERO,
            sending: sent.unwrap_or_default(),
        });
        let mut found = router
            .decisions
            .iter()
            .filter_map(|decision| match decision {
                Decision::Exchange {
                    sent_after_ms,
                    connected_ms,
                    ..
                } => Some((*sent_after_ms, *connected_ms)),
                _ => None,
            });
        assert_eq!(found.next(), Some(case.expected), "{}", case.name);
    }
}

/// Guards against a histogram of round trips that lacks some, has those of the own region or times in
/// which requests waited at an agent.
#[test]
fn round_trips_of_reservations_to_other_regions_are_measured() {
    struct Case {
        name: &'static str,
        targets: &'static str,
        script: &'static str,
        expected: &'static [u64],
    }
    let cases = [
        Case {
            name: "replies, the second beyond the longest one that is assumed",
            targets: "s1",
            script: "chat wait=7 reply=1 chat wait=400 reply=2",
            expected: &[7, 400],
        },
        Case {
            name: "an instance without an agent",
            targets: "s1",
            script: "chat wait=3 refused=1",
            expected: &[3],
        },
        Case {
            name: "no reply",
            targets: "s1",
            script: "chat wait=120 silent=1",
            expected: &[],
        },
        Case {
            name: "own region",
            targets: "n1",
            script: "chat wait=7 reply=1",
            expected: &[],
        },
    ];
    for case in cases {
        let mut router = TestRouter::new(case.targets);
        for word in case.script.split(' ') {
            router.play(word);
        }
        let expected = case.expected.iter().map(|time| ("south".into(), *time));
        let expected: Vec<(Name, u64)> = expected.collect();
        assert_eq!(router.round_trips, expected, "{}", case.name);
    }
}
