//! A small model of engines that work in passes, before the reducer that sends them requests.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BinaryHeap,
    HashMap, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime, //
};

use control::budget::BudgetOptions;
use control::keeper::Reservations;
use control::router::config::{
    Config,
    EngineProfile,
    Repeat,
    Route,
    Service, //
};
use control::router::load::LoadReport;
use control::router::place::Location;
use control::router::targets::TargetEntry;
use control::router::{
    Arrival,
    Effect,
    Event,
    Offer,
    Options,
    Outcome,
    Reserve,
    State, //
};
use protocol::Backlog;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use utils::clock::Now;

const SLOTS: usize = 16;
const STRIDE: u32 = 5;
const STEP: Duration = Duration::from_millis(10);
const CHUNK: u32 = 2048;
const TOKENS_PER_MS: f64 = 20.7;
const OBJECTIVE: Duration = Duration::from_millis(450);

/// The load that is played.
#[derive(Clone, Debug)]
pub struct Load {
    pub engines: usize,
    /// Processes that send to the engines without knowing of each other.
    pub entries: usize,
    pub per_second: f64,
    pub length: Duration,
    /// Engines that take nothing between two times.
    pub away: Vec<(usize, Duration, Duration)>,
    /// Whether agents beside the engines reserve places.
    pub agents: bool,
    pub seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            engines: 4,
            entries: 1,
            per_second: 20.0,
            length: Duration::from_secs(10),
            away: Vec::new(),
            agents: false,
            seed: 7,
        }
    }
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    pub longest_refusal: Duration,
}

#[derive(Clone, Debug)]
struct Job {
    token: u64,
    unread: u32,
    unwritten: u32,
    begun: bool,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: Vec<Job>,
    waiting: Vec<Job>,
    in_pass: bool,
    /// Prompt tokens that the pass reads of each running job.
    reads: Vec<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    PassEnds(usize),
    WaitOver(u64),
    Away(usize, bool),
    Reserved(u64),
}

struct Play {
    states: Vec<State>,
    now: Duration,
    agenda: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    order: u64,
    engines: Vec<Engine>,
    rng: Pcg64Mcg,
    arrived: HashMap<u64, (Duration, u32, u32)>,
    tally: Tally,
    next: u64,
    /// What the agent of each engine has reserved.
    reservations: Vec<Reservations>,
    /// The place of each request: its engine, its number, and what stood before it.
    places: HashMap<u64, (usize, u64, Backlog)>,
    away: Vec<bool>,
}

/// How long an agent's answer takes.
const AGENT_TIME: Duration = Duration::from_millis(2);

/// Plays a load and counts what callers get.
pub fn play(load: &Load) -> Tally {
    let mut play = Play {
        states: (0..load.entries)
            .map(|i| {
                State::new(Options {
                    reserves: load.agents,
                    ..options(i as u64)
                })
            })
            .collect(),
        now: Duration::from_secs(100),
        agenda: BinaryHeap::new(),
        order: 0,
        engines: vec![Engine::default(); load.engines],
        rng: Pcg64Mcg::seed_from_u64(load.seed),
        arrived: HashMap::new(),
        tally: Tally::default(),
        next: 0,
        reservations: vec![Reservations::default(); load.engines],
        places: HashMap::new(),
        away: vec![false; load.engines],
    };
    play.tell_all(&Event::Config(Arc::new(config())));
    for engine in 0..load.engines {
        play.tell_all(&Event::Listed(entry(engine)));
    }
    let start = play.now;
    for (engine, from, to) in &load.away {
        play.plan(start + *from, Happening::Away(*engine, true));
        play.plan(start + *to, Happening::Away(*engine, false));
    }
    play.plan(start, Happening::Arrival);
    while let Some(Reverse((at, _, happening))) = play.agenda.pop() {
        play.now = at;
        play.tell_all(&Event::Current(at));
        match happening {
            Happening::Arrival => {
                if at < start + load.length {
                    play.arrive();
                    let gap = -play.rng.random::<f64>().max(1e-9).ln() / load.per_second;
                    play.plan(at + Duration::from_secs_f64(gap), Happening::Arrival);
                }
            }
            Happening::PassEnds(engine) => play.end_pass(engine),
            Happening::WaitOver(token) => play.tell(token, Event::WaitOver(token)),
            Happening::Away(engine, is_switching) => {
                play.away[engine] = is_switching;
                play.tell_all(&Event::Engine {
                    id: name(engine),
                    version: Some(1),
                    is_switching,
                    watchers: u32::try_from(load.entries).unwrap(),
                });
            }
            Happening::Reserved(token) => {
                let place = play.places.get(&token);
                let offer = place.map(|(engine, _, ahead)| Offer {
                    ahead: *ahead,
                    is_open: !play.away[*engine],
                });
                play.tell(token, Event::Reserved { token, offer });
            }
        }
    }
    play.tally
}

impl Play {
    fn plan(&mut self, at: Duration, happening: Happening) {
        self.order += 1;
        self.agenda.push(Reverse((at, self.order, happening)));
    }

    fn tell_all(&mut self, event: &Event) {
        for entry in 0..self.states.len() {
            self.tell(entry as u64, event.clone());
        }
    }

    /// Tells the process that has the request `token`.
    fn tell(&mut self, token: u64, event: Event) {
        let entry = token as usize % self.states.len();
        let now = Now {
            elapsed: self.now,
            wall: SystemTime::UNIX_EPOCH,
        };
        for effect in self.states[entry].step(now, event) {
            match effect {
                Effect::Reserve(token, reserve) => self.reserve(token, &reserve),
                Effect::Send(token, send) => self.send(token, &send.target),
                Effect::Wait(token, until) => {
                    self.release(token);
                    self.plan(until, Happening::WaitOver(token));
                }
                Effect::Reject(token, _) => {
                    self.release(token);
                    let held = self.now - self.arrived[&token].0;
                    self.tally.refused += 1;
                    self.tally.longest_refusal = self.tally.longest_refusal.max(held);
                }
                Effect::Record(_) => {}
            }
        }
    }

    fn reserve(&mut self, token: u64, reserve: &Reserve) {
        self.release(token);
        let engine = usize::from(reserve.address.port() - FIRST_PORT);
        let (number, ahead) = self.reservations[engine].reserve(self.now, reserve.tokens);
        self.places.insert(token, (engine, number, ahead));
        self.plan(self.now + AGENT_TIME, Happening::Reserved(token));
    }

    fn release(&mut self, token: u64) {
        if let Some((engine, number, _)) = self.places.remove(&token) {
            self.reservations[engine].release(number);
        }
    }

    fn arrive(&mut self) {
        self.next += 1 + self.rng.random_range(0..self.states.len() as u64);
        self.tally.asked += 1;
        let spread = |rng: &mut Pcg64Mcg| 0.3 + 1.4 * rng.random::<f64>();
        let prompt = (979.0 * spread(&mut self.rng)) as u32;
        let answer = (92.0 * spread(&mut self.rng)) as u32;
        let token = self.next;
        self.arrived.insert(token, (self.now, prompt, answer));
        self.tell(
            token,
            Event::Arrive(Arrival {
                token,
                id: token.to_string().into(),
                host: "host".into(),
                path: "/chat/x".into(),
                key: None,
                timeout: Some(Duration::from_secs(6)),
                tokens: Some((prompt, answer)),
                after_event: None,
                fingerprint: token,
            }),
        );
    }

    fn send(&mut self, token: u64, target: &str) {
        let engine: usize = target[1..].parse().unwrap();
        let (_, prompt, answer) = self.arrived[&token];
        self.engines[engine].waiting.push(Job {
            token,
            unread: prompt,
            unwritten: answer,
            begun: false,
        });
        self.begin_pass(engine);
    }

    fn begin_pass(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        if e.in_pass {
            return;
        }
        while e.running.len() < SLOTS && !e.waiting.is_empty() {
            e.running.push(e.waiting.remove(0));
        }
        if e.running.is_empty() {
            return;
        }
        let mut chunk = CHUNK;
        e.reads = Vec::new();
        for job in &e.running {
            let read = job.unread.min(chunk);
            chunk -= read;
            e.reads.push(read);
        }
        let writes = e.running.iter().any(|job| job.unread == 0);
        let reading = f64::from(CHUNK - chunk) / TOKENS_PER_MS / 1000.0;
        let steps = if writes { STEP * STRIDE } else { STEP };
        e.in_pass = true;
        let ends = self.now + steps + Duration::from_secs_f64(reading);
        self.plan(ends, Happening::PassEnds(engine));
    }

    fn end_pass(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        e.in_pass = false;
        let mut begun = Vec::new();
        let mut ended = Vec::new();
        for (job, read) in e.running.iter_mut().zip(&e.reads) {
            if job.unread > 0 {
                job.unread -= read;
                continue;
            }
            if !job.begun {
                job.begun = true;
                begun.push(job.token);
            }
            job.unwritten = job.unwritten.saturating_sub(STRIDE);
            if job.unwritten == 0 {
                ended.push(job.token);
            }
        }
        e.running.retain(|job| job.unwritten > 0);
        let load = LoadReport {
            running: u32::try_from(e.running.len()).unwrap(),
            waiting: u32::try_from(e.waiting.len()).unwrap(),
        };
        for token in begun {
            if let Some((engine, number, _)) = self.places.get(&token) {
                self.reservations[*engine].read(*number);
            }
            if self.now - self.arrived[&token].0 <= OBJECTIVE {
                self.tally.on_time += 1;
            } else {
                self.tally.late += 1;
            }
            self.tell(
                token,
                Event::Head {
                    token,
                    load: Some(load),
                    cold_for: None,
                    version: Some(1),
                },
            );
            self.tell(token, Event::Started(token));
        }
        for token in ended {
            self.release(token);
            let outcome = Outcome::Answered { failed: false };
            self.tell(
                token,
                Event::Ended {
                    token,
                    outcome,
                    pause: Duration::ZERO,
                },
            );
        }
        self.begin_pass(engine);
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
        cold_for: Duration::ZERO,
        version: Some(1),
        is_empty: false,
        born_ms: 1,
    }
}

fn options(seed: u64) -> Options {
    Options {
        location: Location {
            data_centre: "a".into(),
            regions: BTreeMap::from([("a".into(), "north".into())]),
        },
        lease: Duration::from_secs(4),
        version_grace: Duration::from_millis(6500),
        budget: BudgetOptions::default(),
        begin_grace: Duration::from_millis(700),
        reserves: false,
        seed,
    }
}

fn config() -> Config {
    let engine = EngineProfile {
        model: "m".into(),
        slots: 16,
        step: STEP,
        stride: STRIDE,
        chunk: Some(CHUNK),
        usual_answer: 92,
        read_rate: TOKENS_PER_MS * 1000.0,
    };
    let service = Service {
        name: "engines".into(),
        cold_rate: 36.0,
        engine: Some(engine),
    };
    let route = Route {
        name: "chat".into(),
        host: "host".into(),
        prefix: "/chat/".into(),
        repeat: Repeat::ResumableStream,
        timeout: Duration::from_secs(6),
        objective: OBJECTIVE,
        priority: 1,
        services: vec![("engines".into(), 1)],
        attempts: 2,
        is_open: true,
        homes: Vec::new(),
    };
    Config {
        version: 1,
        routes: vec![Arc::new(route)],
        services: BTreeMap::from([("engines".into(), Arc::new(service))]),
        ..Config::default()
    }
}
