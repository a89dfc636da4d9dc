//! Who may send requests: keys, teams and routes, however the configuration came and whatever state a request
//! is in when it changes.

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
use control::router::lease::SourceStatus;
use control::router::{
    Effect,
    Event,
    ForwardRequest,
    IncomingRequest,
    Outcome,
    RejectionReason,
    Sending,
    State, //
};
use routers::{
    accepting_reply,
    clock,
    engine_service,
    options,
    request,
    route,
    target,
    AMPLE_RETRIES, //
};

const START: Duration = Duration::from_secs(100);

/// The sentences of the users' pages that decide the rows below, with the words of this project in brackets.
const IF_IT_CONTAINS: &str = "If the configuration contains [teams], a request carries a key, unless the request's route [allows \
                              anonymous callers]. A request with an unknown key receives 401.";
const TOOK_AWAY: &str = "CONFIG. A request sent later than [the bound on revoked keys] after the acknowledgement of a configuration that \
                         took its key away runs.";
const NEVER_HELD: &str = "ROUTE. A request runs whose key no configuration ever held.";
const HOLDS_THE_KEY: &str = "UNASKED. An engine runs a request whose [named team] isn't the [team] that holds the client's key.";

/// The list of teams of a configuration: their names and keys. `None` if it has no list.
type List = Option<&'static [(&'static str, &'static [&'static str])]>;

/// The first list of most sequences.
const FIRST: List = Some(&[("a", &["kept", "gone", "moved"]), ("b", &["other"])]);

/// What is expected of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// It runs, and its target is told this team, if any.
    Runs(Option<&'static str>),
    /// It is answered that its key is missing or unknown.
    Denied,
}

const ANYBODY: Access = Access::Runs(None);
const TEAM_A: Access = Access::Runs(Some("a"));
const TEAM_B: Access = Access::Runs(Some("b"));
use Access::Denied;

/// The keys of the requests of each row, in its order. The last one has none.
const KEYS: [Option<&str>; 6] = [
    Some("kept"),
    Some("gone"),
    Some("moved"),
    Some("never held"),
    Some(""),
    None,
];

/// A shape of the list of teams in force, and who may send requests under it.
struct Shape {
    name: &'static str,
    /// The lists of the configurations before it, in their order.
    before: &'static [List],
    list: List,
    page: &'static str,
    /// For each of [`KEYS`], on a route that needs a key.
    closed: [Access; 6],
    /// The same on a route that allows anonymous callers.
    open: [Access; 6],
}

const NOBODY: [Access; 6] = [Denied; 6];
const ONLY_WITHOUT_KEY: [Access; 6] = [Denied, Denied, Denied, Denied, Denied, ANYBODY];

const SHAPES: &[Shape] = &[
    Shape {
        name: "no list from the start",
        before: &[None],
        list: None,
        page: IF_IT_CONTAINS,
        closed: [ANYBODY; 6],
        open: [ANYBODY; 6],
    },
    Shape {
        name: "a list after none",
        before: &[None],
        list: Some(&[("a", &["kept"])]),
        page: IF_IT_CONTAINS,
        closed: [TEAM_A, Denied, Denied, Denied, Denied, Denied],
        open: [TEAM_A, Denied, Denied, Denied, Denied, ANYBODY],
    },
    Shape {
        name: "an empty list after none",
        before: &[None],
        list: Some(&[]),
        page: IF_IT_CONTAINS,
        closed: NOBODY,
        open: ONLY_WITHOUT_KEY,
    },
    Shape {
        name: "the only team is gone",
        before: &[Some(&[("a", &["kept", "gone", "moved"])])],
        list: Some(&[]),
        page: TOOK_AWAY,
        closed: NOBODY,
        open: ONLY_WITHOUT_KEY,
    },
    Shape {
        name: "all teams are gone at once",
        before: &[FIRST],
        list: Some(&[]),
        page: TOOK_AWAY,
        closed: NOBODY,
        open: ONLY_WITHOUT_KEY,
    },
    Shape {
        name: "a team without keys",
        before: &[FIRST],
        list: Some(&[("a", &[])]),
        page: TOOK_AWAY,
        closed: NOBODY,
        open: ONLY_WITHOUT_KEY,
    },
    Shape {
        name: "an empty key",
        before: &[FIRST],
        list: Some(&[("a", &[""])]),
        page: NEVER_HELD,
        closed: NOBODY,
        open: ONLY_WITHOUT_KEY,
    },
    Shape {
        name: "one of two teams is gone, and a key moves to the other",
        before: &[FIRST],
        list: Some(&[("b", &["other", "moved"])]),
        page: HOLDS_THE_KEY,
        closed: [Denied, Denied, TEAM_B, Denied, Denied, Denied],
        open: [Denied, Denied, TEAM_B, Denied, Denied, ANYBODY],
    },
    Shape {
        name: "a key is gone, and one moves",
        before: &[FIRST],
        list: Some(&[("a", &["kept"]), ("b", &["moved"])]),
        page: HOLDS_THE_KEY,
        closed: [TEAM_A, Denied, TEAM_B, Denied, Denied, Denied],
        open: [TEAM_A, Denied, TEAM_B, Denied, Denied, ANYBODY],
    },
    Shape {
        name: "all are gone at once, and one is back",
        before: &[FIRST, Some(&[])],
        list: Some(&[("a", &["kept"])]),
        page: TOOK_AWAY,
        closed: [TEAM_A, Denied, Denied, Denied, Denied, Denied],
        open: [TEAM_A, Denied, Denied, Denied, Denied, ANYBODY],
    },
    Shape {
        name: "the list is gone from the document",
        before: &[FIRST],
        list: None,
        page: TOOK_AWAY,
        closed: NOBODY,
        open: ONLY_WITHOUT_KEY,
    },
    Shape {
        name: "an empty list, then none",
        before: &[FIRST, Some(&[])],
        list: None,
        page: TOOK_AWAY,
        closed: NOBODY,
        open: ONLY_WITHOUT_KEY,
    },
    Shape {
        name: "the list is back in the document",
        before: &[FIRST, None],
        list: Some(&[("a", &["kept"])]),
        page: IF_IT_CONTAINS,
        closed: [TEAM_A, Denied, Denied, Denied, Denied, Denied],
        open: [TEAM_A, Denied, Denied, Denied, Denied, ANYBODY],
    },
];

/// How the process came to the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Arrival {
    /// After the ones before it.
    Later,
    /// After only the first of the ones before it.
    SkippedVersions,
    /// As the first configuration of a process, as after a restart.
    First,
    /// After the ones before it. Then the store was restored, and has the first one again for a while.
    BeforeDrill,
}

/// Where a request is when the configuration comes into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// It is sent after that.
    SentAfter,
    /// It waits in the queue.
    Queued,
    /// It waits for the reservation of a target.
    Reserving,
    /// It waits for a connection to its target.
    Connecting,
}

fn config(version: u64, list: List) -> Arc<Config> {
    let service = |name: &str, is_engine: bool| {
        let service = Service {
            name: name.into(),
            engine_profile: engine_service().engine_profile.filter(|_| is_engine),
            ..engine_service()
        };
        (service.name.clone(), Arc::new(service))
    };
    let closed = |route: Route| {
        Arc::new(Route {
            allows_anonymous: false,
            ..route
        })
    };
    let team = |(name, keys): &(&str, &'static [&'static str])| {
        Arc::new(Team {
            name: (*name).into(),
            api_keys: keys.iter().map(|key| (*key).into()).collect(),
            ..Team::default()
        })
    };
    let look = || route("look", "desk", Repeatability::Idempotent);
    let chat = || route("chat", "engines", Repeatability::ResumableStream);
    let open_chat = route("open-chat", "engines", Repeatability::ResumableStream);
    Arc::new(Config {
        version,
        routes: vec![
            closed(look()),
            closed(chat()),
            Arc::new(route("open-look", "desk", Repeatability::Idempotent)),
            Arc::new(open_chat),
        ],
        services: BTreeMap::from([service("desk", false), service("engines", true)]),
        teams: list.map(|teams| teams.iter().map(team).collect()),
        ..Config::default()
    })
}

/// A process with one target of each service.
struct Process {
    state: State,
    now: Duration,
    last_token: u64,
}

impl Process {
    fn start() -> Self {
        let mut process = Self {
            state: State::new(options(AMPLE_RETRIES, 1)),
            now: START,
            last_token: 0,
        };
        process.step(Event::TargetListed(target("d1", "desk", "a")));
        process.step(Event::TargetListed(target("e1", "engines", "a")));
        process
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.now += Duration::from_millis(1);
        self.state.step(clock(self.now), event)
    }

    fn read(&mut self, version: u64, list: List) -> Vec<Effect> {
        let effects = self.step(Event::ConfigRead(config(version, list)));
        self.step(Event::ConfigConfirmed(self.now));
        effects
    }

    /// Reads the configurations of a shape before the one in force, as they arrive.
    fn read_before(&mut self, shape: &Shape, arrival: Arrival) {
        let count = match arrival {
            Arrival::Later | Arrival::BeforeDrill => shape.before.len(),
            Arrival::SkippedVersions => 1,
            Arrival::First => 0,
        };
        for (version, list) in (1..).zip(&shape.before[..count]) {
            self.read(version, *list);
        }
    }

    /// Reads the configuration in force, and what a restored store has after it.
    fn read_last(&mut self, shape: &Shape, arrival: Arrival) -> Vec<Effect> {
        let mut effects = self.read(10, shape.list);
        if arrival == Arrival::BeforeDrill {
            effects.extend(self.read(1, shape.before[0]));
        }
        effects
    }

    fn receive(&mut self, path: &str, key: Option<&str>) -> (u64, Vec<Effect>) {
        self.last_token += 1;
        let token = self.last_token;
        let request = IncomingRequest {
            api_key: key.map(Into::into),
            ..request(token, path)
        };
        (token, self.step(Event::RequestReceived(request)))
    }

    fn end(&mut self, token: u64, outcome: Outcome) -> Vec<Effect> {
        self.step(Event::ExchangeEnded {
            token,
            outcome,
            longest_pause: Duration::ZERO,
            sending: Sending::default(),
        })
    }
}

/// The number of requests that the target of the plain service gets at once.
fn capacity() -> usize {
    let mut process = Process::start();
    process.read(1, None);
    let is_sent = |_: &usize| {
        let (token, effects) = process.receive("/look/x", None);
        forwarded(token, &effects).is_some()
    };
    (0..1000).take_while(is_sent).count()
}

fn forwarded(token: u64, effects: &[Effect]) -> Option<ForwardRequest> {
    effects.iter().find_map(|effect| match effect {
        Effect::Forward(t, request) if *t == token => Some(request.clone()),
        _ => None,
    })
}

fn rejected(token: u64, effects: &[Effect]) -> Option<RejectionReason> {
    effects.iter().find_map(|effect| match effect {
        Effect::Reject(t, rejection) if *t == token => Some(rejection.reason),
        _ => None,
    })
}

/// Compares what became of a request with what is expected of it.
fn check(expected: Access, token: u64, effects: &[Effect]) -> Result<(), String> {
    let team = forwarded(token, effects).map(|request| request.team);
    let team = team.as_ref().map(|team| team.as_deref());
    let reason = rejected(token, effects);
    let is_expected = match expected {
        Access::Runs(expected) => team == Some(expected) && reason.is_none(),
        Access::Denied => team.is_none() && reason == Some(RejectionReason::UnknownKey),
    };
    if is_expected {
        return Ok(());
    }
    Err(format!(
        "expected {expected:?}, sent for {team:?}, rejected for {reason:?}"
    ))
}

/// Sends a request with `key` at a moment, and compares what becomes of it. A request that was not admitted before
/// the configuration came into force is left out.
fn run(
    shape: &Shape,
    arrival: Arrival,
    moment: Moment,
    is_open: bool,
    key: Option<&str>,
    expected: Access,
) -> Result<(), String> {
    let mut process = Process::start();
    process.read_before(shape, arrival);
    let name = match moment {
        Moment::Reserving => "chat",
        _ => "look",
    };
    let path = if is_open {
        format!("/open-{name}/x")
    } else {
        format!("/{name}/x")
    };
    if moment == Moment::SentAfter {
        process.read_last(shape, arrival);
        let (token, effects) = process.receive(&path, key);
        return check(expected, token, &effects);
    }
    let mut running = Vec::new();
    if moment == Moment::Queued {
        for _ in 0..capacity() {
            let (token, effects) = process.receive("/open-look/x", None);
            assert!(forwarded(token, &effects).is_some(), "{effects:?}");
            running.push(token);
        }
    }
    let (token, effects) = process.receive(&path, key);
    if rejected(token, &effects).is_some() {
        return Ok(());
    }
    let sent = forwarded(token, &effects);
    assert_eq!(sent.is_some(), moment == Moment::Connecting, "{effects:?}");
    let effects = process.read_last(shape, arrival);
    // A request that nobody has is rejected at once, not only when its target has capacity or has replied.
    let must_be_rejected = expected == Denied && moment != Moment::Connecting;
    if must_be_rejected || rejected(token, &effects).is_some() {
        return check(expected, token, &effects);
    }
    let effects = match (moment, sent) {
        (Moment::Reserving, _) => process.step(Event::ReservationReply {
            token,
            reply: Some(accepting_reply()),
        }),
        (Moment::Connecting, Some(sent)) => {
            if process.state.may_send(process.now, token, &sent) {
                return check(expected, token, &[Effect::Forward(token, sent)]);
            }
            process.end(token, Outcome::Withheld)
        }
        _ => process.end(running[0], Outcome::Answered { is_error: false }),
    };
    check(expected, token, &effects)
}

/// Guards against requests that run without the right to, since the list of teams is empty, missing or has changed
/// (issue 68), and against requests that are rejected although they have it.
#[test]
fn only_those_run_that_the_list_of_teams_in_force_allows() {
    let mut failures = Vec::new();
    let mut count = 0;
    for shape in SHAPES {
        for arrival in [
            Arrival::Later,
            Arrival::SkippedVersions,
            Arrival::First,
            Arrival::BeforeDrill,
        ] {
            // A process that starts does not know that there was a list: to it, there was none from the start.
            let has_lost_list = shape.list.is_none() && shape.before[0].is_some();
            if has_lost_list && arrival == Arrival::First {
                continue;
            }
            for moment in [
                Moment::SentAfter,
                Moment::Queued,
                Moment::Reserving,
                Moment::Connecting,
            ] {
                if arrival == Arrival::First && moment != Moment::SentAfter {
                    continue;
                }
                for (is_open, row) in [(false, &shape.closed), (true, &shape.open)] {
                    for (key, expected) in KEYS.into_iter().zip(row) {
                        count += 1;
                        if let Err(e) = run(shape, arrival, moment, is_open, key, *expected) {
                            failures.push(format!(
                                "{}, {arrival:?}, {moment:?}, open route {is_open}, key {key:?}: {e} ({})",
                                shape.name, shape.page
                            ));
                        }
                    }
                }
            }
        }
    }
    let failed = failures.len();
    assert!(
        failures.is_empty(),
        "{failed} of {count}:\n{}",
        failures.join("\n")
    );
}

/// Guards against keys that are accepted for longer than they may be if the route would also let in their caller
/// without one.
#[test]
fn request_with_a_key_depends_on_the_age_of_the_keys_on_every_route() {
    struct Case {
        path: &'static str,
        key: Option<&'static str>,
        expected: Option<RejectionReason>,
    }
    let stale = Some(RejectionReason::StaleConfiguration);
    let case = |path, key, expected| Case {
        path,
        key,
        expected,
    };
    let cases = [
        case("/open-look/x", None, None),
        case("/open-look/x", Some("kept"), stale),
        case("/open-look/x", Some("never held"), stale),
        case("/look/x", Some("kept"), stale),
        case("/look/x", None, stale),
    ];
    for case in cases {
        let mut process = Process::start();
        process.read(1, FIRST);
        // Longer than any outage of the store after which a request without a key is still served.
        process.now += Duration::from_secs(60);
        process.step(Event::SourceStatus(SourceStatus::Failing));
        let (token, effects) = process.receive(case.path, case.key);
        let name = format!("{} {:?}", case.path, case.key);
        assert_eq!(rejected(token, &effects), case.expected, "{name}");
    }
}
