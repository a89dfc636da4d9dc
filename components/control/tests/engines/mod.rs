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

use control::controller::timing::EngineSpeed;
use control::controller::{
    EngineMemory,
    ReservationAnswer,
    Reservations,
    Reserved, //
};
use control::notice::Notice;
use control::router::config::{
    Config,
    Delays,
    EngineProfile,
    Repeatability,
    Route,
    Service,
    Team, //
};
use control::router::lease::AgeLimits;
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
    Sending,
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
/// How many times as long as others the long answers are.
const LONG_ANSWER_FACTOR: u32 = 5;

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
    /// How engines change their speed, if they do.
    pub speed: Option<SpeedChanges>,
    /// What engines say of their speed.
    pub speed_figures: SpeedFigures,
    /// The longest pause between events of an answer that is on time.
    pub pause_objective: Option<Duration>,
    /// Whether a tenth of the answers are several times as long as the others.
    pub has_long_answers: bool,
    /// Tokens that fit into the memory of an engine, if that is limited.
    pub memory_tokens: Option<u64>,
    /// The data centres, if there is more than one.
    pub data_centres: DataCentres,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The share of each team in the requests; empty if callers have no keys.
    pub team_shares: Vec<f64>,
    pub seed: u64,
}

/// Engines that are slow for a time, as random periods of equal length.
#[derive(Clone, Copy, Debug)]
pub struct SpeedChanges {
    /// The share of the periods in which an engine is slow.
    pub slow_share: f64,
    /// How many times as long work takes then.
    pub factor: f64,
    pub period: Duration,
}

/// What engines say of their speed and memory, in answers and to their agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpeedFigures {
    /// Nothing.
    #[default]
    Missing,
    /// The truth, which agents read every 50 ms.
    True,
    /// The truth, which agents know at once.
    Oracle,
    /// Always this percentage.
    Always(u16),
    /// The opposite of the truth.
    Inverted,
    /// Slow as often as in truth, but at other times.
    Unrelated,
}

/// Data centres, each in a region of its own. Engines and processes are assigned to them in turn.
/// Without any, all are in one data centre.
#[derive(Clone, Debug, Default)]
pub struct DataCentres {
    /// Requests per second of each data centre's callers. They replace the scenario's rate.
    pub demand: Vec<f64>,
    /// Factors on the demand of a data centre between two times.
    pub demand_changes: Vec<(usize, Duration, Duration, f64)>,
    /// Data centres that are out of service between two times.
    pub out: Vec<(usize, Duration, Duration)>,
    /// One-way delays between pairs of data centres.
    pub delays: Vec<(usize, usize, Duration)>,
    /// Whether the configuration has the delays.
    pub are_delays_configured: bool,
    /// Whether engines report their speed.
    pub is_speed_reported: bool,
}

impl DataCentres {
    /// The data centre of the engine or process with this index.
    pub fn of(&self, index: usize) -> usize {
        index % self.demand.len().max(1)
    }

    /// Requests per second of a data centre's callers at a time since the start.
    fn demand_at(&self, data_centre: usize, at: Duration) -> f64 {
        let changes = self.demand_changes.iter();
        let factors =
            changes.filter(|(dc, from, to, _)| *dc == data_centre && (*from..*to).contains(&at));
        self.demand[data_centre] * factors.map(|(.., factor)| factor).product::<f64>()
    }

    fn delay(&self, one: usize, other: usize) -> Duration {
        let is_pair = |(a, b, _): &&(usize, usize, Duration)| {
            (*a, *b) == (one, other) || (*b, *a) == (one, other)
        };
        let pair = self.delays.iter().find(is_pair);
        pair.map_or(Duration::ZERO, |(_, _, delay)| *delay)
    }
}

/// A kind of request, which has a route of its own.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its share in the requests.
    pub share: f64,
    pub priority: u8,
    pub latency_objective: Duration,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub answer: f64,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            share: 1.0,
            priority: 1,
            latency_objective: LATENCY_OBJECTIVE,
            prompt: 979.0,
            answer: 92.0,
        }
    }
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
    /// The process that sent it.
    pub process: usize,
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
            speed: None,
            speed_figures: SpeedFigures::Missing,
            pause_objective: None,
            has_long_answers: false,
            memory_tokens: None,
            data_centres: DataCentres::default(),
            kinds: vec![Kind::default()],
            team_shares: Vec::new(),
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
    /// Requests with long answers, and those of them that were answered.
    pub long_requests: u32,
    pub long_answered: u32,
    /// Requests that an engine preempted because its memory was full.
    pub preempted: u32,
    /// Those beside which only requests ran whose expected length the agent knew.
    pub foreseeably_preempted: u32,
    pub sends: Vec<Send>,
    /// The data centre of each caller, and the time of its first attempt since the start.
    pub arrivals: Vec<(usize, Duration)>,
    /// Those whose first event was on time.
    pub arrivals_on_time: Vec<(usize, Duration)>,
    /// Requests that waited at an agent.
    pub waits: u32,
    /// The results by kind.
    pub by_kind: Vec<Served>,
    /// The results by team.
    pub by_team: Vec<Served>,
}

/// How many requests were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub requests: u32,
    pub on_time: u32,
    pub late: u32,
}

impl Served {
    /// The share of requests with an answer.
    pub fn share(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.requests.max(1))
    }
}

/// The caller of a request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    data_centre: usize,
    first_attempt_at: Duration,
    /// How long it waits, from its first attempt on.
    timeout: Duration,
    prompt: u32,
    answer: u32,
    is_long: bool,
    kind: usize,
    team: Option<usize>,
}

#[derive(Clone, Debug)]
struct EngineRequest {
    token: u64,
    unprefilled_tokens: u32,
    remaining_tokens: u32,
    /// Tokens that it holds in memory.
    memory_tokens: u32,
    /// When its last event was sent.
    last_event_at: Option<Duration>,
    longest_pause: Duration,
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
    /// The wait of a request at an agent is over.
    WaitTimeout(u64),
    AgentReports,
    /// The agents read the reports of their engines.
    EngineReports,
    SetOut(usize, bool),
    /// A reservation request reaches the agent in another data centre.
    ReservationRequested(u64),
    /// A request reaches an engine in another data centre.
    Delivered(u64, usize),
    /// The first event of an engine in another data centre reaches the process.
    Answered(u64, usize),
    /// The end of an answer from another data centre reaches the process.
    Ended(u64),
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
    /// Requests whose first event was on time.
    on_time: HashSet<u64>,
    /// Requests whose expected length their agent knows.
    announced: HashSet<u64>,
    results: Results,
    last_token: u64,
    /// The reservations of each engine's agent.
    reservations: Vec<Reservations>,
    /// The reservation of each request: its engine, its number if it was granted, and the backlog
    /// ahead of it.
    reserved: HashMap<u64, (usize, Option<u64>, Backlog)>,
    /// The engine at whose agent a request waits, and its number there.
    waiting: HashMap<u64, (usize, u64)>,
    unavailable: Vec<bool>,
    scenario: Scenario,
    started_at: Duration,
    /// When a process first got an answer of an engine with a limit, by process and engine.
    told_at: HashMap<(usize, usize), Duration>,
    /// Reservation requests on their way to another data centre.
    reservation_requests: HashMap<u64, ReservationRequest>,
    /// The load reports of answers on their way from another data centre.
    load_reports: HashMap<u64, LoadReport>,
    confirmed_at: Option<Duration>,
}

/// The interval at which processes with callers in several data centres confirm the configuration
/// and dispatch their queued requests.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which agents report their engines' state.
const AGENT_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The interval at which agents read the reports of their engines while they predict answers.
const ENGINE_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Response time of an agent.
const AGENT_RESPONSE_TIME: Duration = Duration::from_millis(2);

/// Runs a scenario and counts the results of its requests.
pub fn simulate(scenario: &Scenario) -> Results {
    let mut simulation = Simulation {
        states: (0..scenario.processes)
            .map(|i| {
                State::new(Options {
                    uses_reservations: scenario.has_agents,
                    location: location(&scenario.data_centres, i),
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
        on_time: HashSet::new(),
        announced: HashSet::new(),
        results: Results::default(),
        last_token: 0,
        reservations: vec![Reservations::default(); scenario.engines],
        reserved: HashMap::new(),
        waiting: HashMap::new(),
        unavailable: vec![false; scenario.engines],
        scenario: scenario.clone(),
        started_at: Duration::from_secs(100),
        told_at: HashMap::new(),
        reservation_requests: HashMap::new(),
        load_reports: HashMap::new(),
        confirmed_at: None,
    };
    simulation.results.by_kind = vec![Served::default(); scenario.kinds.len()];
    simulation.results.by_team = vec![Served::default(); scenario.team_shares.len()];
    simulation.step_all(&Event::ConfigRead(Arc::new(config(scenario))));
    let data_centres = &scenario.data_centres;
    for engine in 0..scenario.engines {
        let data_centre = data_centre_name(data_centres.of(engine));
        simulation.step_all(&Event::TargetListed(TargetEntry {
            data_centre,
            ..entry(engine)
        }));
    }
    let start = simulation.started_at;
    if !scenario.limits.is_empty() {
        simulation.schedule(start, SimulationEvent::AgentReports);
    }
    if scenario.speed_figures != SpeedFigures::Missing {
        simulation.schedule(start, SimulationEvent::EngineReports);
    }
    for (engine, from, to) in &scenario.unavailable {
        simulation.schedule(
            start + *from,
            SimulationEvent::SetUnavailable(*engine, true),
        );
        simulation.schedule(start + *to, SimulationEvent::SetUnavailable(*engine, false));
    }
    for (data_centre, from, to) in &data_centres.out {
        simulation.schedule(start + *from, SimulationEvent::SetOut(*data_centre, true));
        simulation.schedule(start + *to, SimulationEvent::SetOut(*data_centre, false));
    }
    simulation.schedule(start, SimulationEvent::Arrival);
    while let Some(Reverse((at, _, event))) = simulation.event_queue.pop() {
        simulation.now = at;
        simulation.confirm_configuration();
        match event {
            SimulationEvent::Arrival => {
                if at < start + scenario.duration {
                    simulation.arrive();
                    let gap = -simulation.rng.random::<f64>().max(1e-9).ln()
                        / simulation.requests_per_second();
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
            SimulationEvent::WaitTimeout(token) => simulation.end_wait(token),
            SimulationEvent::ReservationReply(token) => {
                let reservations = &simulation.reserved;
                let reservation = reservations.get(&token).filter(|_| scenario.agents_answer);
                let reply = reservation.map(|(engine, number, backlog)| ReservationReply {
                    backlog: *backlog,
                    accepts_requests: number.is_some() && !simulation.unavailable[*engine],
                    limit: simulation.reservations[*engine].limit(simulation.now),
                    condition: EngineCondition {
                        slowness_percent: simulation.reservations[*engine].slowness_percent(),
                        waiting: simulation.reservations[*engine].waiting(),
                        ..EngineCondition::default()
                    },
                });
                simulation.step(token, Event::ReservationReply { token, reply });
            }
            SimulationEvent::EngineReports => {
                for engine in 0..scenario.engines {
                    simulation.read_engine(engine);
                }
                if at < start + scenario.duration {
                    simulation
                        .schedule(at + ENGINE_REPORT_INTERVAL, SimulationEvent::EngineReports);
                }
            }
            SimulationEvent::SetOut(data_centre, is_out) => {
                simulation.step_all(&Event::DataCentreState {
                    name: data_centre_name(data_centre),
                    is_out,
                });
            }
            SimulationEvent::ReservationRequested(token) => {
                if let Some(request) = simulation.reservation_requests.remove(&token) {
                    simulation.reserve(token, &request);
                }
            }
            SimulationEvent::Delivered(token, engine) => simulation.deliver(token, engine),
            SimulationEvent::Answered(token, engine) => {
                if let Some(load) = simulation.load_reports.remove(&token) {
                    simulation.answer(token, engine, load);
                }
            }
            SimulationEvent::Ended(token) => {
                simulation.end_exchange(token, Outcome::Answered { is_error: false });
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

    fn confirm_configuration(&mut self) {
        let has_one_data_centre = self.scenario.data_centres.demand.is_empty();
        let is_due = |at: Duration| self.now - at >= CONFIRMATION_INTERVAL;
        if has_one_data_centre || self.confirmed_at.is_none_or(is_due) {
            self.confirmed_at = Some(self.now);
            self.step_all(&Event::ConfigConfirmed(self.now));
        }
    }

    fn requests_per_second(&self) -> f64 {
        let data_centres = &self.scenario.data_centres;
        if data_centres.demand.is_empty() {
            return self.scenario.requests_per_second;
        }
        let since_start = self.now - self.started_at;
        let all = 0..data_centres.demand.len();
        all.map(|dc| data_centres.demand_at(dc, since_start)).sum()
    }

    /// The one-way delay between the process of a request and an engine.
    fn delay(&self, token: u64, engine: usize) -> Duration {
        let data_centres = &self.scenario.data_centres;
        let process = token as usize % self.states.len();
        data_centres.delay(data_centres.of(process), data_centres.of(engine))
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
                Effect::Reserve(token, request) => self.request_reservation(token, request),
                Effect::Forward(token, request) => self.send(token, &request.target),
                Effect::ScheduleQueueTimeout(token, until) => {
                    self.release(token);
                    self.schedule(until, SimulationEvent::QueueTimeout(token));
                }
                Effect::Reject(token, rejection) => {
                    self.release(token);
                    self.handle_rejection(token, rejection.retry_after);
                }
                Effect::Record(_) | Effect::ObservePath(..) | Effect::KeepTarget(_) => {}
            }
        }
    }

    fn request_reservation(&mut self, token: u64, request: ReservationRequest) {
        self.release(token);
        let delay = self.delay(token, engine_of(&request));
        if delay.is_zero() {
            self.reserve(token, &request);
        } else {
            self.reservation_requests.insert(token, request);
            self.schedule(
                self.now + delay,
                SimulationEvent::ReservationRequested(token),
            );
        }
    }

    fn reserve(&mut self, token: u64, request: &ReservationRequest) {
        let engine = engine_of(request);
        if request.terms.timing.is_some() {
            self.announced.insert(token);
        }
        if self.scenario.speed_figures == SpeedFigures::Oracle {
            self.read_engine(engine);
        }
        let reservations = &mut self.reservations[engine];
        match reservations.request(self.now, request.prompt_tokens, &request.terms) {
            ReservationAnswer::Reserved(reserved) => self.reply(token, engine, Some(reserved)),
            ReservationAnswer::Refused => self.reply(token, engine, None),
            ReservationAnswer::Waiting(number) => {
                self.results.waits += 1;
                self.waiting.insert(token, (engine, number));
                let until = self.now + request.terms.max_wait();
                self.schedule(until, SimulationEvent::WaitTimeout(token));
            }
        }
    }

    /// The reply of an agent to a reservation request.
    fn reply(&mut self, token: u64, engine: usize, reserved: Option<Reserved>) {
        let number = reserved.map(|reserved| reserved.number);
        let backlog = reserved.map_or_else(
            || self.reservations[engine].backlog(),
            |reserved| reserved.backlog,
        );
        self.reserved.insert(token, (engine, number, backlog));
        self.schedule(
            self.now + AGENT_RESPONSE_TIME + self.delay(token, engine),
            SimulationEvent::ReservationReply(token),
        );
    }

    fn end_wait(&mut self, token: u64) {
        if let Some((engine, number)) = self.waiting.remove(&token) {
            self.reservations[engine].stop_waiting(number);
            self.reply(token, engine, None);
        }
    }

    /// Passes free capacity of an engine on to requests that wait at its agent.
    fn grant_waiting(&mut self, engine: usize) {
        if self.unavailable[engine] {
            return;
        }
        for result in self.reservations[engine].grant_waiting(self.now) {
            let is_granted = |place: &(usize, u64)| *place == (engine, result.number);
            let token = self.waiting.iter().find(|(_, place)| is_granted(place));
            let token = *token.expect("a request waits").0;
            self.waiting.remove(&token);
            self.reply(token, engine, result.reserved);
        }
    }

    fn release(&mut self, token: u64) {
        self.reservation_requests.remove(&token);
        if let Some((engine, Some(number), _)) = self.reserved.remove(&token) {
            self.reservations[engine].release(number);
            self.grant_waiting(engine);
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
        let data_centre = self.random_data_centre();
        let token = self.next_token(data_centre);
        self.results.requests += 1;
        let since_start = self.now - self.started_at;
        self.results.arrivals.push((data_centre, since_start));
        let random_factor = |rng: &mut Pcg64Mcg| 0.3 + 1.4 * rng.random::<f64>();
        let kind = self.draw_kind();
        let team = self.draw_team();
        let Kind { prompt, answer, .. } = self.scenario.kinds[kind];
        let prompt = (prompt * random_factor(&mut self.rng)) as u32;
        let mut answer = (answer * random_factor(&mut self.rng)) as u32;
        let is_long = self.scenario.has_long_answers && self.rng.random_bool(0.1);
        if is_long {
            answer *= LONG_ANSWER_FACTOR;
            self.results.long_requests += 1;
        }
        let timeout = if self.scenario.callers_return {
            CALLER_TIMEOUT.mul_f64(self.rng.random_range(0.85..1.0))
        } else {
            CALLER_TIMEOUT
        };
        let caller = Caller {
            data_centre,
            first_attempt_at: self.now,
            timeout,
            prompt,
            answer,
            is_long,
            kind,
            team,
        };
        self.callers.insert(token, caller);
        for served in self.served_of(&caller) {
            served.requests += 1;
        }
        self.receive(token);
    }

    /// The kind of the next request. A single kind draws no random number.
    fn draw_kind(&mut self) -> usize {
        let shares: Vec<f64> = self.scenario.kinds.iter().map(|kind| kind.share).collect();
        self.draw(&shares).unwrap_or(0)
    }

    fn draw_team(&mut self) -> Option<usize> {
        let shares = self.scenario.team_shares.clone();
        self.draw(&shares)
    }

    fn draw(&mut self, shares: &[f64]) -> Option<usize> {
        if shares.len() < 2 {
            return (!shares.is_empty()).then_some(0);
        }
        let mut point = self.rng.random::<f64>() * shares.iter().sum::<f64>();
        let index = shares.iter().position(|share| {
            point -= share;
            point < 0.0
        });
        Some(index.unwrap_or(shares.len() - 1))
    }

    /// The results of the kind and of the team of a caller.
    fn served_of(&mut self, caller: &Caller) -> impl Iterator<Item = &mut Served> {
        let team = caller.team;
        let team = team.map(|team| &mut self.results.by_team[team]);
        std::iter::once(&mut self.results.by_kind[caller.kind]).chain(team)
    }

    /// The caller of a rejected request sends it to any process again.
    fn return_caller(&mut self, rejected: u64) {
        let token = self.next_token(self.callers[&rejected].data_centre);
        self.callers.insert(token, self.callers[&rejected]);
        self.returned.insert(token);
        self.receive(token);
    }

    /// The data centre of the next caller.
    fn random_data_centre(&mut self) -> usize {
        let count = self.scenario.data_centres.demand.len();
        if count == 0 {
            return 0;
        }
        let since_start = self.now - self.started_at;
        let mut point = self.rng.random::<f64>() * self.requests_per_second();
        for data_centre in 0..count - 1 {
            let demand = self
                .scenario
                .data_centres
                .demand_at(data_centre, since_start);
            if point < demand {
                return data_centre;
            }
            point -= demand;
        }
        count - 1
    }

    /// The token of the next request, which goes to a random process of a data centre.
    fn next_token(&mut self, data_centre: usize) -> u64 {
        self.last_token += 1 + self.rng.random_range(0..self.states.len() as u64);
        let process = |token: u64| token as usize % self.states.len();
        while self.scenario.data_centres.of(process(self.last_token)) != data_centre {
            self.last_token += 1;
        }
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
                path: format!("/chat{}/x", caller.kind).into(),
                api_key: caller.team.map(team_name),
                timeout: Some(caller.timeout - waited),
                prompt_and_max_answer_tokens: Some((caller.prompt, caller.answer)),
                answer_tokens_hint: self.scenario.has_long_answers.then_some(caller.answer),
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
                sending: Sending::default(),
            },
        );
    }

    fn send(&mut self, token: u64, target: &str) {
        let engine: usize = target[1..].parse().unwrap();
        let process = token as usize % self.states.len();
        let told_at = self.told_at.get(&(process, engine));
        self.results.sends.push(Send {
            engine,
            process,
            at: self.now - self.started_at,
            told_for: told_at.map(|at| self.now - *at),
        });
        let delay = self.delay(token, engine);
        if delay.is_zero() {
            self.deliver(token, engine);
        } else {
            self.schedule(self.now + delay, SimulationEvent::Delivered(token, engine));
        }
    }

    fn deliver(&mut self, token: u64, engine: usize) {
        let Caller { prompt, answer, .. } = self.callers[&token];
        self.engines[engine].waiting.push(EngineRequest {
            token,
            unprefilled_tokens: prompt,
            remaining_tokens: answer,
            memory_tokens: 0,
            last_event_at: None,
            longest_pause: Duration::ZERO,
        });
        self.start_iteration(engine);
    }

    /// Preempts the newest requests of an engine whose memory is too small for the next iteration.
    fn preempt(&mut self, engine: usize) {
        let Some(total) = self.scenario.memory_tokens else {
            return;
        };
        let e = &mut self.engines[engine];
        let needed = |r: &EngineRequest| u64::from(r.memory_tokens + r.unprefilled_tokens);
        let is_foreseeable = e.running.iter().all(|r| self.announced.contains(&r.token));
        while e.running.len() > 1 && e.running.iter().map(needed).sum::<u64>() > total {
            let Some(mut request) = e.running.pop() else {
                return;
            };
            // A request that has not begun only waits.
            let is_preempted = request.memory_tokens > 0;
            self.results.preempted += u32::from(is_preempted);
            self.results.foreseeably_preempted += u32::from(is_preempted && is_foreseeable);
            request.unprefilled_tokens += request.memory_tokens;
            request.memory_tokens = 0;
            e.waiting.insert(0, request);
        }
    }

    /// When the engine has done what takes it `work` at the usual speed.
    fn end_of_work(&self, engine: usize, mut work: Duration) -> Duration {
        let Some(speed) = self.scenario.speed else {
            return self.now + work;
        };
        let mut at = self.now;
        loop {
            let (factor, until) = self.factor(engine, at, speed);
            let time = work.mul_f64(factor);
            if at + time <= until {
                return at + time;
            }
            work = work.saturating_sub((until - at).div_f64(factor));
            at = until;
        }
    }

    /// How many times as long work takes at a time, and until when that holds.
    fn factor(&self, engine: usize, at: Duration, speed: SpeedChanges) -> (f64, Duration) {
        // The periods of the engines begin at different times.
        let offset = speed.period.mul_f64(engine as f64 * 0.37 % 1.0);
        let period = (at + offset).as_nanos() / speed.period.as_nanos();
        let until = speed.period * u32::try_from(period + 1).unwrap() - offset;
        let key = [self.scenario.seed, engine as u64, period as u64].map(u64::to_be_bytes);
        let random = Pcg64Mcg::seed_from_u64(utils::rank::hash_key(&key.concat())).random::<f64>();
        let factor = if random < speed.slow_share {
            speed.factor
        } else {
            1.0
        };
        (factor, until.max(at + Duration::from_nanos(1)))
    }

    /// What an engine says of its speed now, in percent.
    fn slowness_figure(&self, engine: usize) -> Option<u16> {
        let speed = self.scenario.speed?;
        let percent = |engine, at| (self.factor(engine, at, speed).0 * 100.0) as u16;
        let (truth, slow) = (percent(engine, self.now), (speed.factor * 100.0) as u16);
        match self.scenario.speed_figures {
            SpeedFigures::Missing => None,
            SpeedFigures::True | SpeedFigures::Oracle => Some(truth),
            SpeedFigures::Always(percent) => Some(percent),
            SpeedFigures::Inverted => Some(slow + 100 - truth),
            SpeedFigures::Unrelated => Some(percent(engine + 1000, self.now)),
        }
    }

    /// The agent reads the report of its engine.
    fn read_engine(&mut self, engine: usize) {
        let slowness_percent = self.slowness_figure(engine);
        let running = self.engines[engine].running.iter();
        let used_tokens = running.map(|r| u64::from(r.memory_tokens)).sum();
        let memory = self.scenario.memory_tokens;
        let memory = memory.map(|total_tokens| EngineMemory {
            used_tokens,
            total_tokens,
        });
        self.reservations[engine].set_speed(EngineSpeed {
            slowness_percent,
            memory,
        });
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
        self.preempt(engine);
        let e = &mut self.engines[engine];
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
        let ends_at =
            self.end_of_work(engine, step_time + Duration::from_secs_f64(prefill_seconds));
        self.schedule(ends_at, SimulationEvent::IterationEnds(engine));
    }

    fn end_iteration(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        e.in_iteration = false;
        let mut started = Vec::new();
        let mut completed = Vec::new();
        let mut paused = Vec::new();
        for (request, tokens) in e.running.iter_mut().zip(&e.prefill_tokens) {
            if request.unprefilled_tokens > 0 {
                request.unprefilled_tokens -= tokens;
                request.memory_tokens += tokens;
                continue;
            }
            match request.last_event_at {
                Some(at) => request.longest_pause = request.longest_pause.max(self.now - at),
                None => started.push(request.token),
            }
            request.last_event_at = Some(self.now);
            request.memory_tokens += STEPS_PER_ITERATION.min(request.remaining_tokens);
            request.remaining_tokens = request.remaining_tokens.saturating_sub(STEPS_PER_ITERATION);
            if request.remaining_tokens == 0 {
                completed.push(request.token);
                let limit = self.scenario.pause_objective.unwrap_or(Duration::MAX);
                if request.longest_pause > limit {
                    paused.push(request.token);
                }
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
            slowness_percent: self.scenario.data_centres.is_speed_reported.then_some(100),
        };
        let load = LoadReport {
            slowness_percent: self.slowness_figure(engine).or(load.slowness_percent),
            ..load
        };
        for token in started {
            if let Some((engine, Some(number), _)) = self.reserved.get(&token) {
                let engine = *engine;
                self.reservations[engine].record_prompt_prefilled(self.now, *number);
                self.grant_waiting(engine);
            }
            let delay = self.delay(token, engine);
            let caller = self.callers[&token];
            self.results.long_answered += u32::from(caller.is_long);
            let objective = self.scenario.kinds[caller.kind].latency_objective;
            let is_on_time = self.now + delay - caller.first_attempt_at <= objective;
            for served in self.served_of(&caller) {
                served.on_time += u32::from(is_on_time);
                served.late += u32::from(!is_on_time);
            }
            if is_on_time {
                self.on_time.insert(token);
                self.results.on_time += 1;
                let arrival = (
                    caller.data_centre,
                    caller.first_attempt_at - self.started_at,
                );
                self.results.arrivals_on_time.push(arrival);
            } else {
                self.results.late += 1;
            }
            if delay.is_zero() {
                self.answer(token, engine, load);
            } else {
                self.load_reports.insert(token, load);
                self.schedule(self.now + delay, SimulationEvent::Answered(token, engine));
            }
        }
        for token in broken {
            self.release(token);
            let outcome = Outcome::Broken {
                connection_lost: false,
            };
            self.end_exchange(token, outcome);
        }
        for token in paused {
            if self.on_time.remove(&token) {
                self.results.on_time -= 1;
                self.results.late += 1;
            }
        }
        for token in completed {
            self.release(token);
            let delay = self.delay(token, engine);
            if delay.is_zero() {
                self.end_exchange(token, Outcome::Answered { is_error: false });
            } else {
                self.schedule(self.now + delay, SimulationEvent::Ended(token));
            }
        }
        self.start_iteration(engine);
    }
}

/// The port of the first engine.
const FIRST_PORT: u16 = 8000;

fn name(engine: usize) -> utils::Name {
    format!("e{engine}").into()
}

fn engine_of(request: &ReservationRequest) -> usize {
    usize::from(request.address.port() - FIRST_PORT)
}

/// The name of a data centre, which is also the name of its region.
fn data_centre_name(index: usize) -> utils::Name {
    char::from(b'a' + index as u8).to_string().into()
}

fn location(data_centres: &DataCentres, process: usize) -> Location {
    let names = (0..data_centres.demand.len().max(1)).map(data_centre_name);
    Location {
        data_centre: data_centre_name(data_centres.of(process)),
        regions: names.map(|name| (name.clone(), name)).collect(),
    }
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
        config_age_limits: AgeLimits {
            with_key: Duration::from_secs(4),
            while_answered: Duration::from_secs(4),
        },
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

fn team_name(team: usize) -> utils::Name {
    format!("team{team}").into()
}

fn config(scenario: &Scenario) -> Config {
    let data_centres = &scenario.data_centres;
    let mut delays = Delays::default();
    for (one, other, delay) in &data_centres.delays {
        if data_centres.are_delays_configured {
            delays.insert(&data_centre_name(*one), &data_centre_name(*other), *delay);
        }
    }
    let engine_profile = EngineProfile {
        model: "m".into(),
        slots: 16,
        step_time: STEP_TIME,
        steps_per_iteration: STEPS_PER_ITERATION,
        prefill_chunk_tokens: Some(CHUNK_TOKENS),
        typical_answer_tokens: 92,
        prefill_tokens_per_second: PREFILL_TOKENS_PER_MS * 1000.0,
        step_time_per_request: None,
        context_slowdown_per_1000_tokens: None,
        memory_tokens: None,
    };
    let service = Service {
        name: "engines".into(),
        cold_rate_per_second: 36.0,
        delays,
        engine_profile: Some(engine_profile),
    };
    let route = |(index, kind): (usize, &Kind)| {
        Arc::new(Route {
            name: format!("chat{index}").into(),
            host: "host".into(),
            prefix: format!("/chat{index}/").into(),
            repeatability: Repeatability::ResumableStream,
            timeout: CALLER_TIMEOUT,
            latency_objective: kind.latency_objective,
            pause_objective: scenario.pause_objective,
            priority: kind.priority,
            services: vec![("engines".into(), 1)],
            attempt_limit: 2,
            allows_anonymous: true,
            allowed_regions: Vec::new(),
        })
    };
    let team = |team: usize| {
        Arc::new(Team {
            name: team_name(team),
            api_keys: vec![team_name(team)],
            ..Team::default()
        })
    };
    Config {
        version: 1,
        routes: scenario.kinds.iter().enumerate().map(route).collect(),
        teams: Some((0..scenario.team_shares.len()).map(team).collect()),
        services: BTreeMap::from([("engines".into(), Arc::new(service))]),
        ..Config::default()
    }
}
