//! A simulation of engines that work in batch iterations, and of the reducers that send them
//! requests.

#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BinaryHeap,
    HashMap,
    HashSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime, //
};

use control::controller::Reservations;
use control::notice::Notice;
use control::router::config::{
    Config,
    EngineProfile,
    Repeatability,
    Route,
    Service, //
};
use control::router::load::LoadReport;
use control::router::selection::Location;
use control::router::targets::TargetEntry;
use control::router::{
    Effect,
    Event,
    IncomingRequest,
    Options,
    Outcome,
    ReservationReply,
    ReservationRequest,
    RetryLimit,
    State, //
};
use protocol::{
    Backlog,
    EngineCondition, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use utils::clock::ClockReading;

const SLOTS: usize = 16;
const STEPS_PER_ITERATION: u32 = 5;
const STEP_TIME: Duration = Duration::from_millis(10);
const CHUNK_TOKENS: u32 = 2048;
const PREFILL_TOKENS_PER_MS: f64 = 20.7;
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(450);
const CALLER_TIMEOUT: Duration = Duration::from_secs(6);

/// What to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub engines: usize,
    /// Processes that send to the engines independently of each other.
    pub processes: usize,
    pub requests_per_second: f64,
    pub duration: Duration,
    /// Engines that accept no requests between two times.
    pub unavailable: Vec<(usize, Duration, Duration)>,
    /// Whether the engines have agents that make reservations.
    pub has_agents: bool,
    /// Whether the agents answer.
    pub agents_answer: bool,
    /// Whether callers that are rejected try once more, at the time that they are told.
    pub callers_return: bool,
    pub limits: Vec<Limit>,
    /// The share of streams that break after their first event.
    pub broken_share: f64,
    pub seed: u64,
}

/// Requests per second that an engine says it takes, in all its answers between two times.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    pub engine: usize,
    pub from: Duration,
    pub to: Duration,
    pub requests_per_second: f64,
}

/// A request that an engine received.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    pub engine: usize,
    /// Time since the start.
    pub at: Duration,
    /// How long the process that sent it had known of a limit of the engine.
    pub told_for: Option<Duration>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            engines: 4,
            processes: 1,
            requests_per_second: 20.0,
            duration: Duration::from_secs(10),
            unavailable: Vec::new(),
            has_agents: false,
            agents_answer: true,
            callers_return: false,
            limits: Vec::new(),
            broken_share: 0.0,
            seed: 7,
        }
    }
}

/// The results of all requests.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub requests: u32,
    pub on_time: u32,
    pub late: u32,
    pub rejected: u32,
    /// Requests that got no answer, also when the caller tried once more.
    pub unserved: u32,
    pub longest_time_to_rejection: Duration,
    pub sends: Vec<Send>,
}

/// The caller of a request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    first_attempt_at: Duration,
    /// How long it waits, from its first attempt on.
    timeout: Duration,
    prompt: u32,
    answer: u32,
}

#[derive(Clone, Debug)]
struct EngineRequest {
    token: u64,
    unprefilled_tokens: u32,
    remaining_tokens: u32,
    /// Whether its first event was sent.
    has_started: bool,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: Vec<EngineRequest>,
    waiting: Vec<EngineRequest>,
    in_iteration: bool,
    /// Prompt tokens of each running request that the iteration prefills.
    prefill_tokens: Vec<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    /// The caller of a rejected request tries again.
    Return(u64),
    IterationEnds(usize),
    QueueTimeout(u64),
    SetUnavailable(usize, bool),
    ReservationReply(u64),
    AgentReports,
}

struct Simulation {
    states: Vec<State>,
    now: Duration,
    event_queue: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    last_sequence: u64,
    engines: Vec<Engine>,
    rng: Pcg64Mcg,
    callers: HashMap<u64, Caller>,
    /// Requests of callers that return after a rejection.
    returned: HashSet<u64>,
    results: Results,
    last_token: u64,
    /// The reservations of each engine's agent.
    reservations: Vec<Reservations>,
    /// The reservation of each request: its engine, its number if it was granted, and the backlog
    /// ahead of it.
    reserved: HashMap<u64, (usize, Option<u64>, Backlog)>,
    unavailable: Vec<bool>,
    scenario: Scenario,
    started_at: Duration,
    /// When a process first got an answer of an engine with a limit, by process and engine.
    told_at: HashMap<(usize, usize), Duration>,
}

/// The interval at which agents report their engines' state.
const AGENT_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Response time of an agent.
const AGENT_RESPONSE_TIME: Duration = Duration::from_millis(2);

/// Runs a scenario and counts the results of its requests.
pub fn simulate(scenario: &Scenario) -> Results {
    let mut simulation = Simulation {
        states: (0..scenario.processes)
            .map(|i| {
                State::new(Options {
                    uses_reservations: scenario.has_agents,
                    ..options(i as u64)
                })
            })
            .collect(),
        now: Duration::from_secs(100),
        event_queue: BinaryHeap::new(),
        last_sequence: 0,
        engines: vec![Engine::default(); scenario.engines],
        rng: Pcg64Mcg::seed_from_u64(scenario.seed),
        callers: HashMap::new(),
        returned: HashSet::new(),
        results: Results::default(),
        last_token: 0,
        reservations: vec![Reservations::default(); scenario.engines],
        reserved: HashMap::new(),
        unavailable: vec![false; scenario.engines],
        scenario: scenario.clone(),
        started_at: Duration::from_secs(100),
        told_at: HashMap::new(),
    };
    simulation.step_all(&Event::ConfigRead(Arc::new(config())));
    for engine in 0..scenario.engines {
        simulation.step_all(&Event::TargetListed(entry(engine)));
    }
    let start = simulation.started_at;
    if !scenario.limits.is_empty() {
        simulation.schedule(start, SimulationEvent::AgentReports);
    }
    for (engine, from, to) in &scenario.unavailable {
        simulation.schedule(
            start + *from,
            SimulationEvent::SetUnavailable(*engine, true),
        );
        simulation.schedule(start + *to, SimulationEvent::SetUnavailable(*engine, false));
    }
    simulation.schedule(start, SimulationEvent::Arrival);
    while let Some(Reverse((at, _, event))) = simulation.event_queue.pop() {
        simulation.now = at;
        simulation.step_all(&Event::ConfigConfirmed(at));
        match event {
            SimulationEvent::Arrival => {
                if at < start + scenario.duration {
                    simulation.arrive();
                    let gap = -simulation.rng.random::<f64>().max(1e-9).ln()
                        / scenario.requests_per_second;
                    simulation
                        .schedule(at + Duration::from_secs_f64(gap), SimulationEvent::Arrival);
                }
            }
            SimulationEvent::Return(token) => simulation.return_caller(token),
            SimulationEvent::IterationEnds(engine) => simulation.end_iteration(engine),
            SimulationEvent::QueueTimeout(token) => {
                simulation.step(token, Event::QueueTimeout(token))
            }
            SimulationEvent::SetUnavailable(engine, is_switching) => {
                simulation.unavailable[engine] = is_switching;
                simulation.step_all(&Event::EngineReported {
                    id: name(engine),
                    version: Some(1),
                    is_switching,
                    process_count: u32::try_from(scenario.processes).unwrap(),
                });
            }
            SimulationEvent::ReservationReply(token) => {
                let reservations = &simulation.reserved;
                let reservation = reservations.get(&token).filter(|_| scenario.agents_answer);
                let reply = reservation.map(|(engine, number, backlog)| ReservationReply {
                    backlog: *backlog,
                    accepts_requests: number.is_some() && !simulation.unavailable[*engine],
                    limit: simulation.reservations[*engine].limit(simulation.now),
                    condition: EngineCondition::default(),
                });
                simulation.step(token, Event::ReservationReply { token, reply });
            }
            SimulationEvent::AgentReports => {
                simulation.report_engines();
                if at < start + scenario.duration {
                    simulation.schedule(at + AGENT_REPORT_INTERVAL, SimulationEvent::AgentReports);
                }
            }
        }
    }
    simulation.results
}

impl Simulation {
    fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.last_sequence += 1;
        self.event_queue
            .push(Reverse((at, self.last_sequence, event)));
    }

    fn step_all(&mut self, event: &Event) {
        for process in 0..self.states.len() {
            self.step(process as u64, event.clone());
        }
    }

    /// Passes an event to the process that has the request `token`.
    fn step(&mut self, token: u64, event: Event) {
        let process = token as usize % self.states.len();
        let now = ClockReading {
            elapsed: self.now,
            wall_clock: SystemTime::UNIX_EPOCH,
        };
        for effect in self.states[process].step(now, event) {
            match effect {
                Effect::Reserve(token, request) => self.reserve(token, &request),
                Effect::Forward(token, request) => self.send(token, &request.target),
                Effect::ScheduleQueueTimeout(token, until) => {
                    self.release(token);
                    self.schedule(until, SimulationEvent::QueueTimeout(token));
                }
                Effect::Reject(token, rejection) => {
                    self.release(token);
                    self.handle_rejection(token, rejection.retry_after);
                }
                Effect::Record(_) => {}
            }
        }
    }

    fn reserve(&mut self, token: u64, request: &ReservationRequest) {
        self.release(token);
        let engine = usize::from(request.address.port() - FIRST_PORT);
        let reservations = &mut self.reservations[engine];
        let number = reservations
            .is_allowed(self.now, &request.terms)
            .then(|| reservations.reserve(self.now, request.prompt_tokens));
        let (number, backlog) = match number {
            Some((number, backlog)) => (Some(number), backlog),
            None => (None, reservations.backlog()),
        };
        self.reserved.insert(token, (engine, number, backlog));
        self.schedule(
            self.now + AGENT_RESPONSE_TIME,
            SimulationEvent::ReservationReply(token),
        );
    }

    fn release(&mut self, token: u64) {
        if let Some((engine, Some(number), _)) = self.reserved.remove(&token) {
            self.reservations[engine].release(number);
        }
    }

    fn handle_rejection(&mut self, token: u64, retry_after: Option<Duration>) {
        self.results.rejected += 1;
        let is_return = self.returned.contains(&token);
        if !is_return {
            let elapsed = self.now - self.callers[&token].first_attempt_at;
            let longest = &mut self.results.longest_time_to_rejection;
            *longest = elapsed.max(*longest);
        }
        match retry_after.filter(|_| self.scenario.callers_return && !is_return) {
            Some(delay) => self.schedule(self.now + delay, SimulationEvent::Return(token)),
            None => self.results.unserved += 1,
        }
    }

    fn arrive(&mut self) {
        let token = self.next_token();
        self.results.requests += 1;
        let random_factor = |rng: &mut Pcg64Mcg| 0.3 + 1.4 * rng.random::<f64>();
        let prompt = (979.0 * random_factor(&mut self.rng)) as u32;
        let answer = (92.0 * random_factor(&mut self.rng)) as u32;
        let timeout = if self.scenario.callers_return {
            CALLER_TIMEOUT.mul_f64(self.rng.random_range(0.85..1.0))
        } else {
            CALLER_TIMEOUT
        };
        let caller = Caller {
            first_attempt_at: self.now,
            timeout,
            prompt,
            answer,
        };
        self.callers.insert(token, caller);
        self.receive(token);
    }

    /// The caller of a rejected request sends it to any process again.
    fn return_caller(&mut self, rejected: u64) {
        let token = self.next_token();
        self.callers.insert(token, self.callers[&rejected]);
        self.returned.insert(token);
        self.receive(token);
    }

    /// The token of the next request, which goes to a random process.
    fn next_token(&mut self) -> u64 {
        self.last_token += 1 + self.rng.random_range(0..self.states.len() as u64);
        self.last_token
    }

    fn receive(&mut self, token: u64) {
        let caller = self.callers[&token];
        let waited = self.now - caller.first_attempt_at;
        self.step(
            token,
            Event::RequestReceived(IncomingRequest {
                token,
                request_id: token.to_string().into(),
                host: "host".into(),
                path: "/chat/x".into(),
                api_key: None,
                timeout: Some(caller.timeout - waited),
                prompt_and_max_answer_tokens: Some((caller.prompt, caller.answer)),
                last_event_id: None,
                fingerprint: token,
                shared_prompt_parts: Vec::new(),
            }),
        );
    }

    /// Tells all processes the state of the engines and the number of processes.
    fn report_engines(&mut self) {
        for engine in 0..self.engines.len() {
            self.step_all(&Event::EngineReported {
                id: name(engine),
                version: Some(1),
                is_switching: self.unavailable[engine],
                process_count: u32::try_from(self.states.len()).unwrap(),
            });
        }
    }

    /// What the engine says of itself in an answer.
    fn notice(&self, engine: usize) -> Notice {
        let since_start = self.now - self.started_at;
        let limit =
            self.scenario.limits.iter().find(|limit| {
                limit.engine == engine && (limit.from..limit.to).contains(&since_start)
            });
        Notice {
            requests_per_second: limit.map(|limit| limit.requests_per_second),
            ..Notice::default()
        }
    }

    /// Passes the head of an answer to the process of the request.
    fn answer(&mut self, token: u64, engine: usize, load: LoadReport) {
        let notice = self.notice(engine);
        if notice.requests_per_second.is_some() {
            let process = token as usize % self.states.len();
            self.told_at.entry((process, engine)).or_insert(self.now);
        }
        self.step(
            token,
            Event::ResponseHead {
                token,
                load: Some(load),
                cold_remaining: None,
                version: Some(1),
                notice: Some(notice),
            },
        );
        self.step(token, Event::ResponseStarted(token));
    }

    fn end_exchange(&mut self, token: u64, outcome: Outcome) {
        self.step(
            token,
            Event::ExchangeEnded {
                token,
                outcome,
                longest_pause: Duration::ZERO,
            },
        );
    }

    fn send(&mut self, token: u64, target: &str) {
        let engine: usize = target[1..].parse().unwrap();
        let process = token as usize % self.states.len();
        let told_at = self.told_at.get(&(process, engine));
        self.results.sends.push(Send {
            engine,
            at: self.now - self.started_at,
            told_for: told_at.map(|at| self.now - *at),
        });
        let Caller { prompt, answer, .. } = self.callers[&token];
        self.engines[engine].waiting.push(EngineRequest {
            token,
            unprefilled_tokens: prompt,
            remaining_tokens: answer,
            has_started: false,
        });
        self.start_iteration(engine);
    }

    fn start_iteration(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        if e.in_iteration {
            return;
        }
        while e.running.len() < SLOTS && !e.waiting.is_empty() {
            e.running.push(e.waiting.remove(0));
        }
        if e.running.is_empty() {
            return;
        }
        let mut remaining_tokens = CHUNK_TOKENS;
        e.prefill_tokens = Vec::new();
        for request in &e.running {
            let tokens = request.unprefilled_tokens.min(remaining_tokens);
            remaining_tokens -= tokens;
            e.prefill_tokens.push(tokens);
        }
        let is_decoding = e
            .running
            .iter()
            .any(|request| request.unprefilled_tokens == 0);
        let prefill_seconds =
            f64::from(CHUNK_TOKENS - remaining_tokens) / PREFILL_TOKENS_PER_MS / 1000.0;
        let step_time = if is_decoding {
            STEP_TIME * STEPS_PER_ITERATION
        } else {
            STEP_TIME
        };
        e.in_iteration = true;
        let ends_at = self.now + step_time + Duration::from_secs_f64(prefill_seconds);
        self.schedule(ends_at, SimulationEvent::IterationEnds(engine));
    }

    fn end_iteration(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        e.in_iteration = false;
        let mut started = Vec::new();
        let mut completed = Vec::new();
        for (request, tokens) in e.running.iter_mut().zip(&e.prefill_tokens) {
            if request.unprefilled_tokens > 0 {
                request.unprefilled_tokens -= tokens;
                continue;
            }
            if !request.has_started {
                request.has_started = true;
                started.push(request.token);
            }
            request.remaining_tokens = request.remaining_tokens.saturating_sub(STEPS_PER_ITERATION);
            if request.remaining_tokens == 0 {
                completed.push(request.token);
            }
        }
        e.running.retain(|request| request.remaining_tokens > 0);
        // Decided before the processes hear of the answers, and may send new requests.
        let mut broken = Vec::new();
        for token in &started {
            let share = self.scenario.broken_share;
            if share > 0.0 && self.rng.random_bool(share) {
                broken.push(*token);
            }
        }
        e.running.retain(|request| !broken.contains(&request.token));
        completed.retain(|token| !broken.contains(token));
        let load = LoadReport {
            running: u32::try_from(e.running.len()).unwrap(),
            queued: u32::try_from(e.waiting.len()).unwrap(),
            slowness_percent: None,
        };
        for token in started {
            if let Some((engine, Some(number), _)) = self.reserved.get(&token) {
                self.reservations[*engine].record_prompt_prefilled(*number);
            }
            if self.now - self.callers[&token].first_attempt_at <= LATENCY_OBJECTIVE {
                self.results.on_time += 1;
            } else {
                self.results.late += 1;
            }
            self.answer(token, engine, load);
        }
        for token in broken {
            self.release(token);
            let outcome = Outcome::Broken {
                connection_lost: false,
            };
            self.end_exchange(token, outcome);
        }
        for token in completed {
            self.release(token);
            self.end_exchange(token, Outcome::Answered { is_error: false });
        }
        self.start_iteration(engine);
    }
}

/// The port of the first engine.
const FIRST_PORT: u16 = 8000;

fn name(engine: usize) -> utils::Name {
    format!("e{engine}").into()
}

fn entry(engine: usize) -> TargetEntry {
    TargetEntry {
        id: name(engine),
        service: "engines".into(),
        address: SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + engine as u16)),
        data_centre: "a".into(),
        slots: Some(16),
        is_draining: false,
        cold_remaining: Duration::ZERO,
        version: Some(1),
        has_no_weights: false,
        started_at_ms: 1,
    }
}

fn options(seed: u64) -> Options {
    Options {
        location: Location {
            data_centre: "a".into(),
            regions: BTreeMap::from([("a".into(), "north".into())]),
        },
        lease_duration: Duration::from_secs(4),
        version_grace: Duration::from_millis(6500),
        retry_limit: RetryLimit {
            retries_per_request: 0.3,
            extra_retries: 100.0,
            window: Duration::from_secs(10),
        },
        first_event_grace: Duration::from_millis(700),
        uses_reservations: false,
        learned_capacity: control::capacity::Settings::OFF,
        seed,
    }
}

fn config() -> Config {
    let engine_profile = EngineProfile {
        model: "m".into(),
        slots: 16,
        step_time: STEP_TIME,
        steps_per_iteration: STEPS_PER_ITERATION,
        prefill_chunk_tokens: Some(CHUNK_TOKENS),
        typical_answer_tokens: 92,
        prefill_tokens_per_second: PREFILL_TOKENS_PER_MS * 1000.0,
    };
    let service = Service {
        name: "engines".into(),
        cold_rate_per_second: 36.0,
        engine_profile: Some(engine_profile),
    };
    let route = Route {
        name: "chat".into(),
        host: "host".into(),
        prefix: "/chat/".into(),
        repeatability: Repeatability::ResumableStream,
        timeout: CALLER_TIMEOUT,
        latency_objective: LATENCY_OBJECTIVE,
        priority: 1,
        services: vec![("engines".into(), 1)],
        attempt_limit: 2,
        allows_anonymous: true,
        allowed_regions: Vec::new(),
    };
    Config {
        version: 1,
        routes: vec![Arc::new(route)],
        services: BTreeMap::from([("engines".into(), Arc::new(service))]),
        ..Config::default()
    }
}
