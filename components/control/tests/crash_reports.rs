//! A request that crashes targets, sent to entries that know of each other's crashes only through
//! agents. Entries and agents restart, and links between them are cut.

mod routers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use control::router::config::{
    Config,
    Repeatability,
    Service, //
};
use control::router::targets::TargetEntry;
use control::router::{
    CrashExchange,
    CrashPeer,
    Effect,
    Event,
    IncomingRequest,
    Outcome,
    RetryLimit,
    Sending,
    State, //
};
use proptest::prelude::*;
use routers::{
    clock,
    engine_service,
    exchange_crashes,
    options,
    request,
    route,
    target,
    Agent, //
};
use utils::Name;

/// The fingerprint of the crashing request.
const CRASHING: u64 = 666;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// The plain targets that run the request.
const DESKS: usize = 6;

/// How long a process must have run and been connected to count.
const TOUCH_TIME: Duration = Duration::from_secs(3);

/// The sends that are allowed later than `TOUCH_TIME` after the third crash.
const ALLOWED_LATE_SENDS: usize = 3;

const STEP: Duration = Duration::from_millis(100);

/// The request's retries are not limited by the budget here.
const RETRY_LIMIT: RetryLimit = RetryLimit {
    retries_per_request: 3.0,
    extra_retries: 1000.0,
    window: Duration::from_secs(10),
};

fn config() -> Config {
    let desk = Service {
        name: "desk".into(),
        cold_rate_per_second: 0.0,
        delays: Default::default(),
        engine_profile: None,
    };
    let services = [engine_service(), desk];
    let services = services.map(|service| (service.name.clone(), Arc::new(service)));
    Config {
        version: 1,
        routes: vec![Arc::new(route("look", "desk", Repeatability::Idempotent))],
        services: BTreeMap::from(services),
        ..Config::default()
    }
}

struct Entry {
    state: State,
    exchanges: Vec<CrashExchange>,
    /// The data centre whose agents it cannot reach, and until when.
    cut: Option<(usize, Duration)>,
    in_touch_from: Duration,
}

struct Fleet {
    now: Duration,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    desk_starts: [u64; DESKS],
    last_token: u64,
    /// When the request was sent, and whether the entry was in touch.
    sends: Vec<(Duration, bool)>,
}

impl Fleet {
    fn new(entries: usize, agents: usize) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(10),
            entries: Vec::new(),
            agents: Vec::new(),
            desk_starts: [1; DESKS],
            last_token: 0,
            sends: Vec::new(),
        };
        for number in 0..agents {
            let agent = fleet.new_agent(number);
            fleet.agents.push(agent);
        }
        for number in 0..entries {
            let entry = fleet.new_entry(number);
            fleet.entries.push(entry);
        }
        fleet
    }

    fn new_agent(&self, number: usize) -> Agent {
        Agent::new(self.now, &agent_name(number))
    }

    fn new_entry(&self, number: usize) -> Entry {
        let mut entry = Entry {
            state: State::new(options(RETRY_LIMIT, number as u64)),
            exchanges: vec![CrashExchange::default(); self.agents.len()],
            cut: None,
            in_touch_from: self.now + TOUCH_TIME,
        };
        entry.step(self.now, Event::ConfigRead(Arc::new(config())));
        for agent in 0..self.agents.len() {
            let listed = target(&agent_name(agent), "engines", data_centre(agent));
            entry.step(self.now, Event::TargetListed(listed));
        }
        entry
    }

    /// Sends the crashing request to an entry. Each target that runs it crashes and starts again.
    fn send_crashing_request(&mut self, entry: usize) {
        self.last_token += 1;
        let request = IncomingRequest {
            fingerprint: CRASHING,
            ..request(self.last_token, "/look/x")
        };
        let mut effects = self.entries[entry].step(self.now, Event::RequestReceived(request));
        while effects.iter().any(|e| matches!(e, Effect::Forward(..))) {
            let is_in_touch = self.now >= self.entries[entry].in_touch_from;
            self.sends.push((self.now, is_in_touch));
            for effect in &effects {
                if let Effect::Forward(_, request) = effect {
                    let desk: usize = request.target[1..].parse().unwrap();
                    self.desk_starts[desk] += 1;
                }
            }
            let outcome = Outcome::Broken {
                connection_lost: true,
            };
            let ended = Event::ExchangeEnded {
                token: self.last_token,
                outcome,
                longest_pause: Duration::ZERO,
                sending: Sending::default(),
            };
            effects = self.entries[entry].step(self.now, ended);
        }
    }

    /// Passes time: the list is read, and entries exchange crashes with the agents they reach.
    fn pass_step(&mut self) {
        self.now += STEP;
        for entry in &mut self.entries {
            entry.cut = entry.cut.filter(|(_, until)| *until > self.now);
            for (desk, start) in self.desk_starts.iter().enumerate() {
                let listed = TargetEntry {
                    started_at_ms: *start,
                    ..target(&format!("d{desk}"), "desk", "a")
                };
                entry.step(self.now, Event::TargetListed(listed));
            }
            entry.step(self.now, Event::Tick);
            for (number, agent) in self.agents.iter_mut().enumerate() {
                if entry.cut.is_some_and(|(cut, _)| cut == number % 3) {
                    entry.exchanges[number] = CrashExchange::default();
                } else {
                    entry.exchange(self.now, number, agent);
                }
            }
        }
    }

    fn late_sends(&self) -> usize {
        let Some((third_crash, _)) = self.sends.get(2) else {
            return 0;
        };
        let is_late = |at: Duration| at > *third_crash + TOUCH_TIME;
        let counted = self.sends.iter();
        counted
            .filter(|(at, is_in_touch)| *is_in_touch && is_late(*at))
            .count()
    }
}

impl Entry {
    fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.state.step(clock(now), event)
    }

    fn exchange(&mut self, now: Duration, number: usize, agent: &mut Agent) {
        let id = agent_name(number);
        self.step(
            now,
            Event::EngineReported {
                id: id.clone(),
                version: Some(1),
                is_switching: false,
                process_count: 1,
            },
        );
        let exchange = &mut self.exchanges[number];
        exchange_crashes(now, &id, &mut self.state, exchange, agent);
    }
}

fn agent_name(number: usize) -> Name {
    format!("e{number}").into()
}

fn data_centre(agent: usize) -> &'static str {
    DATA_CENTRES[agent % DATA_CENTRES.len()]
}

/// What happens in one step.
#[derive(Clone, Copy, Debug)]
enum Action {
    Nothing,
    Send(usize),
    RestartEntry(usize),
    RestartAgent(usize),
    CutEntry(usize, usize),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => Just(Action::Nothing),
        6 => any::<usize>().prop_map(Action::Send),
        1 => any::<usize>().prop_map(Action::RestartEntry),
        1 => any::<usize>().prop_map(Action::RestartAgent),
        1 => (any::<usize>(), 0_usize..3).prop_map(|(entry, dc)| Action::CutEntry(entry, dc)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn crashing_request_is_sent_at_most_three_times_after_all_could_know(
        entries in 1_usize..=16,
        agents in 3_usize..=12,
        actions in prop::collection::vec(action(), 150..250),
    ) {
        let mut fleet = Fleet::new(entries, agents);
        for _ in 0..10 {
            fleet.pass_step();
        }
        for action in actions {
            match action {
                Action::Nothing => {}
                Action::Send(n) => fleet.send_crashing_request(n % entries),
                Action::RestartEntry(n) => fleet.entries[n % entries] = fleet.new_entry(n % entries),
                Action::RestartAgent(n) => fleet.agents[n % agents] = fleet.new_agent(n % agents),
                Action::CutEntry(n, data_centre) => {
                    let until = fleet.now + TOUCH_TIME;
                    fleet.entries[n % entries].cut = Some((data_centre, until));
                }
            }
            fleet.pass_step();
        }
        prop_assert!(fleet.late_sends() <= ALLOWED_LATE_SENDS, "{:?}", fleet.sends);
    }
}

#[test]
fn other_entries_are_asked_only_while_no_agent_can_be_reached() {
    struct Case {
        name: &'static str,
        /// When the agent of the only engine reported, and when an exchange with it failed, in
        /// milliseconds before now.
        reported_ms_ago: Option<u64>,
        failed_ms_ago: Option<u64>,
        asks_entries: bool,
    }
    let case = |name, reported_ms_ago, failed_ms_ago, asks_entries| Case {
        name,
        reported_ms_ago,
        failed_ms_ago,
        asks_entries,
    };
    let cases = [
        case("no report yet", None, None, true),
        case("reported", Some(500), None, false),
        case("reported long ago", Some(9000), None, true),
        case("failed since", Some(500), Some(100), true),
        case("reported since", Some(100), Some(500), false),
    ];
    for case in cases {
        let fleet = Fleet::new(1, 1);
        let mut state = fleet.new_entry(0).state;
        let now = fleet.now + Duration::from_secs(20);
        let reported = Event::EngineReported {
            id: agent_name(0),
            version: Some(1),
            is_switching: false,
            process_count: 1,
        };
        let failed = Event::CrashExchangeFailed(agent_name(0));
        let mut events = [
            (case.reported_ms_ago, reported),
            (case.failed_ms_ago, failed),
        ];
        events.sort_by_key(|(ms_ago, _)| std::cmp::Reverse(*ms_ago));
        for (ms_ago, event) in events {
            if let Some(ms_ago) = ms_ago {
                state.step(clock(now - Duration::from_millis(ms_ago)), event);
            }
        }
        let asks_entries = state.exchanges_crashes_with(now, &CrashPeer::Entry);
        assert_eq!(asks_entries, case.asks_entries, "{}", case.name);
        assert!(state.exchanges_crashes_with(now, &CrashPeer::Agent(agent_name(0))));
    }
}
