//! Requests whose prompts share a part that crashes each engine that begins to answer them, among
//! sound requests that share their other parts. Entries know of each other's crashes only through
//! agents.

mod routers;

use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::sync::Arc;
use std::time::Duration;

use control::router::config::{
    Config,
    Repeatability, //
};
use control::router::targets::TargetEntry;
use control::router::{
    CrashExchange,
    Effect,
    Event,
    IncomingRequest,
    Options,
    Outcome,
    RejectionReason,
    RetryLimit,
    Sending,
    State, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
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

/// The part that crashes engines.
const CRASHING_PART: u64 = 666;

/// The parts with which sound requests begin, and those that follow.
const FIRST_PARTS: u64 = 8;
const SECOND_PARTS: u64 = 40;

/// Until then all requests are sound, so that engines crash only by other trouble.
const CRASHES_FROM: Duration = Duration::from_secs(60);

/// How long the parts around the crashing one stay the same where they change with time.
const COMPANION_TIME: Duration = Duration::from_secs(5);

/// The number of parts that each place in the prompt may have where they change.
const COMPANIONS: u64 = 4;

/// The number of sound requests that the rule on them needs.
const MIN_SOUND: usize = 20;

/// How long a process must have run to count, and how long it may take to learn something.
const TOUCH_TIME: Duration = Duration::from_secs(3);

/// Engines that have crashed before the rule on sends applies, and the sends it then allows.
const COUNTED_CRASHES: usize = 5;
const ALLOWED_LATE_SENDS: usize = 3;

/// How long an engine is gone after a crash, and how soon its agent notices.
const RESTART_TIME: Duration = Duration::from_millis(3300);
const AGENT_NOTICE_TIME: Duration = Duration::from_millis(300);

/// How long after the first token of a crashing request its engine ends.
const TIME_TO_CRASH: Duration = Duration::from_millis(60);

const STEP: Duration = Duration::from_millis(10);
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// How often the agent of an engine that runs says so.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a caller waits before it sends a rejected or failed request again.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The crashing requests.
#[derive(Clone, Copy, Debug)]
enum Crashing {
    /// They begin like some of the sound ones.
    SharedFirstPart,
    /// The part comes first, and another, of sound requests, follows.
    PartFirst,
    /// Prompts consist of one shared part and an own one.
    OnlyPart,
    /// The parts around it differ.
    VariedParts,
    /// Another part always follows it.
    WithCompanion,
    /// Sound requests have the same parts before it and behind it.
    Between(Shared),
}

/// The parts that sound requests share with crashing ones.
#[derive(Clone, Copy, Debug)]
struct Shared {
    before: u64,
    behind: u64,
    companions: Companions,
}

/// How the shared parts change.
#[derive(Clone, Copy, Debug)]
enum Companions {
    /// They are always the same.
    Fixed,
    /// Each request has its own choice of them.
    PerRequest,
    /// They change from time to time, for all requests together.
    Switching,
}

impl Shared {
    /// The part at this place of a prompt.
    fn part(self, place: u64, now: Duration, rng: &mut Pcg64Mcg) -> u64 {
        let choice = match self.companions {
            Companions::Fixed => 0,
            Companions::PerRequest => rng.random_range(0..COMPANIONS),
            Companions::Switching => now.as_secs() / COMPANION_TIME.as_secs() % COMPANIONS,
        };
        first_part(100 * place + choice)
    }

    fn parts(self, now: Duration, rng: &mut Pcg64Mcg) -> (Vec<u64>, Vec<u64>) {
        let mut parts = |places: std::ops::Range<u64>| {
            let parts = places.map(|place| self.part(place, now, rng));
            parts.collect::<Vec<_>>()
        };
        let before = parts(0..self.before);
        (before, parts(self.before..self.before + self.behind))
    }
}

impl Crashing {
    fn parts(self, now: Duration, rng: &mut Pcg64Mcg) -> Vec<u64> {
        match self {
            Self::Between(shared) => {
                let (before, behind) = shared.parts(now, rng);
                [before, vec![CRASHING_PART], behind].concat()
            }
            Self::SharedFirstPart => vec![first_part(0), CRASHING_PART],
            Self::PartFirst => vec![CRASHING_PART, second_part(rng)],
            Self::OnlyPart => vec![CRASHING_PART],
            Self::VariedParts => vec![any_first_part(rng), CRASHING_PART, second_part(rng)],
            Self::WithCompanion => vec![first_part(0), CRASHING_PART, CRASHING_PART + 1],
        }
    }

    fn sound_parts(self, now: Duration, rng: &mut Pcg64Mcg) -> Vec<u64> {
        match self {
            Self::Between(shared) => {
                let (before, behind) = shared.parts(now, rng);
                [before, behind].concat()
            }
            Self::OnlyPart => vec![second_part(rng)],
            _ => vec![any_first_part(rng), second_part(rng)],
        }
    }
}

fn first_part(number: u64) -> u64 {
    1000 + number
}

fn any_first_part(rng: &mut Pcg64Mcg) -> u64 {
    first_part(rng.random_range(0..FIRST_PARTS))
}

fn second_part(rng: &mut Pcg64Mcg) -> u64 {
    2000 + rng.random_range(0..SECOND_PARTS)
}

/// What happens besides, from `CRASHES_FROM` on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// All engines crash at the same time, twice, four seconds apart.
    AllEnginesCrash,
    /// This share of the answers break off although their engines live.
    BrokenAnswers(f64),
    /// Entries restart in turn.
    EntryRestarts,
    /// Agents restart in turn.
    AgentRestarts,
    /// All entries start anew, at once and so that they know nothing.
    EntriesStart,
    /// One entry starts anew, shortly before the first crash.
    EntryStarts,
    /// Requests with the part had been answered until then.
    PartWasSound,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    crashing: Crashing,
    crashing_per_second: f64,
    sound_per_second: f64,
    entries: usize,
    engines: usize,
    trouble: Trouble,
    /// How long sound requests alone come before `CRASHES_FROM`, and the others with them after it.
    calm_time: Duration,
    crashing_time: Duration,
}

const CASE: Case = Case {
    name: "",
    crashing: Crashing::SharedFirstPart,
    crashing_per_second: 2.0,
    sound_per_second: 60.0,
    entries: 4,
    engines: 12,
    trouble: Trouble::None,
    calm_time: Duration::from_secs(5),
    crashing_time: Duration::from_secs(40),
};

impl Case {
    fn title(&self) -> String {
        let Self {
            name,
            crashing,
            crashing_per_second,
            sound_per_second,
            trouble,
            ..
        } = self;
        if !name.is_empty() {
            return (*name).to_owned();
        }
        format!(
            "{crashing:?}, {sound_per_second} sound and {crashing_per_second} crashing requests a second, {trouble:?}"
        )
    }
}

struct Entry {
    state: State,
    exchanges: Vec<CrashExchange>,
    in_touch_from: Duration,
}

struct Engine {
    starts: u64,
    available_from: Duration,
    ended_at: Duration,
    runs: Vec<Run>,
}

struct Run {
    entry: usize,
    token: u64,
    begins_at: Duration,
    ends_at: Duration,
    is_crashing: bool,
    is_broken: bool,
    has_begun: bool,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
struct Attempt {
    at: Duration,
    parts: Vec<u64>,
    is_first: bool,
    sends: usize,
    has_begun: bool,
}

struct Fleet {
    case: Case,
    rng: Pcg64Mcg,
    now: Duration,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    attempts: HashMap<u64, Attempt>,
    /// When queued requests are to be rejected.
    queue_timeouts: Vec<(Duration, usize, u64)>,
    /// When callers send requests with these parts again.
    returns: Vec<(Duration, Vec<u64>)>,
    /// When engines crashed under the crashing part.
    crashes: Vec<Duration>,
    /// When crashing requests reached engines, and whether the entry was in touch.
    sends: Vec<(Duration, bool)>,
    /// Sound requests that were rejected at once because of their parts.
    sound_rejected: usize,
    last_token: u64,
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let now = CRASHES_FROM - case.calm_time;
        let mut fleet = Self {
            case,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            attempts: HashMap::new(),
            queue_timeouts: Vec::new(),
            returns: Vec::new(),
            crashes: Vec::new(),
            sends: Vec::new(),
            sound_rejected: 0,
            last_token: 0,
        };
        for number in 0..case.engines {
            fleet.agents.push(Agent::new(now, &engine_name(number)));
            fleet.engines.push(Engine {
                starts: 1,
                available_from: now,
                ended_at: Duration::ZERO,
                runs: Vec::new(),
            });
        }
        for number in 0..case.entries {
            let entry = fleet.new_entry(number);
            fleet.entries.push(entry);
        }
        fleet
    }

    fn new_entry(&self, number: usize) -> Entry {
        let retry_limit = RetryLimit {
            retries_per_request: 0.2,
            extra_retries: 100.0,
            window: Duration::from_secs(10),
        };
        let options = Options {
            uses_reservations: false,
            ..options(retry_limit, number as u64)
        };
        let mut route = route("ask", "engines", Repeatability::ResumableStream);
        route.attempt_limit = 2;
        let service = engine_service();
        let config = Config {
            version: 1,
            routes: vec![Arc::new(route)],
            services: BTreeMap::from([(service.name.clone(), Arc::new(service))]),
            ..Config::default()
        };
        let mut state = State::new(options);
        state.step(clock(self.now), Event::ConfigRead(Arc::new(config)));
        for engine in 0..self.engines.len() {
            let listed = self.listed(engine);
            state.step(clock(self.now), Event::TargetListed(listed));
        }
        Entry {
            state,
            exchanges: vec![CrashExchange::default(); self.case.engines],
            in_touch_from: self.now + TOUCH_TIME,
        }
    }

    fn listed(&self, engine: usize) -> TargetEntry {
        let data_centre = ["a", "b", "c"][engine % 3];
        TargetEntry {
            started_at_ms: self.engines[engine].starts,
            slots: Some(16),
            ..target(&engine_name(engine), "engines", data_centre)
        }
    }

    fn run(&mut self) {
        let end = CRASHES_FROM + self.case.crashing_time;
        while self.now < end {
            self.now += STEP;
            self.make_trouble();
            self.send_requests();
            self.run_engines();
            self.expire_queued();
            if self.is_multiple_of(EXCHANGE_INTERVAL) {
                self.exchange();
            }
        }
    }

    fn is_multiple_of(&self, interval: Duration) -> bool {
        self.now.as_millis().is_multiple_of(interval.as_millis())
    }

    fn make_trouble(&mut self) {
        if self.now < CRASHES_FROM {
            return;
        }
        let since = self.now - CRASHES_FROM;
        let is_restart = self.is_multiple_of(Duration::from_secs(2));
        let turn = usize::try_from(since.as_secs() / 2).unwrap();
        match self.case.trouble {
            Trouble::AllEnginesCrash if since.is_zero() || since == Duration::from_secs(4) => {
                for engine in 0..self.engines.len() {
                    self.crash(engine);
                }
            }
            Trouble::EntryRestarts if is_restart && turn > 0 => {
                self.restart_entry(turn % self.entries.len());
            }
            Trouble::EntriesStart if since.is_zero() => {
                for entry in 0..self.entries.len() {
                    self.restart_entry(entry);
                }
            }
            Trouble::EntryStarts if since.is_zero() => self.restart_entry(0),
            Trouble::AgentRestarts if is_restart && turn > 0 => {
                let agent = turn % self.agents.len();
                self.agents[agent] = Agent::new(self.now, &engine_name(agent));
            }
            _ => {}
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = self.new_entry(entry);
        for engine in &mut self.engines {
            engine.runs.retain(|run| run.entry != entry);
        }
    }

    fn send_requests(&mut self) {
        let is_sound = self.case.sound_per_second * STEP.as_secs_f64();
        if self.rng.random_bool(is_sound.min(1.0)) {
            let parts = self.case.crashing.sound_parts(self.now, &mut self.rng);
            self.send(parts, true);
        }
        let is_crashing = self.case.crashing_per_second * STEP.as_secs_f64();
        let comes = self.now >= CRASHES_FROM || self.case.trouble == Trouble::PartWasSound;
        if comes && self.rng.random_bool(is_crashing) {
            let parts = self.case.crashing.parts(self.now, &mut self.rng);
            self.send(parts, true);
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.returns)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.returns = later;
        for (_, parts) in due {
            self.send(parts, false);
        }
    }

    fn send(&mut self, parts: Vec<u64>, is_first: bool) {
        self.last_token += 1;
        let entry = self.rng.random_range(0..self.entries.len());
        let request = IncomingRequest {
            prompt_and_max_answer_tokens: Some((800, 100)),
            shared_prompt_parts: parts.clone(),
            ..request(self.last_token, "/ask/x")
        };
        let attempt = Attempt {
            at: self.now,
            parts,
            is_first,
            sends: 0,
            has_begun: false,
        };
        self.attempts.insert(self.last_token, attempt);
        self.step(entry, Event::RequestReceived(request));
    }

    /// Passes an event to an entry and executes the effects.
    fn step(&mut self, entry: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let effects = self.entries[entry].state.step(clock(self.now), event);
            for effect in effects {
                match effect {
                    Effect::Forward(token, request) => {
                        let engine: usize = request.target[1..].parse().unwrap();
                        if !self.forward(entry, engine, token) {
                            events.push_back(exchange_ended(token, Outcome::NotSent));
                        }
                    }
                    Effect::Reject(token, rejection) => {
                        self.handle_rejection(token, rejection.reason)
                    }
                    Effect::ScheduleQueueTimeout(token, until) => {
                        self.queue_timeouts.push((until, entry, token));
                    }
                    Effect::Reserve(..)
                    | Effect::ObservePath(..)
                    | Effect::KeepTarget(_)
                    | Effect::Record(_) => {}
                }
            }
        }
    }

    /// Sends a request to an engine. Returns whether the engine is there.
    fn forward(&mut self, entry: usize, engine: usize, token: u64) -> bool {
        if self.engines[engine].available_from > self.now {
            return false;
        }
        let attempt = self.attempts.get_mut(&token).unwrap();
        attempt.sends += 1;
        let is_crashing = attempt.parts.contains(&CRASHING_PART) && self.now >= CRASHES_FROM;
        if is_crashing {
            let is_in_touch = self.now >= self.entries[entry].in_touch_from;
            self.sends.push((self.now, is_in_touch));
        }
        let broken_share = match self.case.trouble {
            Trouble::BrokenAnswers(share) if self.now >= CRASHES_FROM => share,
            _ => 0.0,
        };
        let begins_at = self.now + Duration::from_millis(self.rng.random_range(100..400));
        let runs_for = Duration::from_millis(self.rng.random_range(300..1500));
        let run = Run {
            entry,
            token,
            begins_at,
            ends_at: begins_at + runs_for,
            is_crashing,
            is_broken: self.rng.random_bool(broken_share),
            has_begun: false,
        };
        self.engines[engine].runs.push(run);
        true
    }

    fn handle_rejection(&mut self, token: u64, reason: RejectionReason) {
        let attempt = &self.attempts[&token];
        let is_sound = !attempt.parts.contains(&CRASHING_PART);
        let is_at_once = attempt.sends == 0;
        if is_sound && is_at_once && reason == RejectionReason::Quarantined {
            self.sound_rejected += 1;
        }
        if attempt.is_first {
            let at = self.now + CALLER_RETRY_DELAY;
            self.returns.push((at, attempt.parts.clone()));
        }
    }

    fn expire_queued(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.queue_timeouts)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        self.queue_timeouts = later;
        for (_, entry, token) in due {
            self.step(entry, Event::QueueTimeout(token));
        }
    }

    fn run_engines(&mut self) {
        for number in 0..self.engines.len() {
            self.begin_answers(number);
            let now = self.now;
            let crashes = |run: &Run| run.is_crashing && now >= run.begins_at + TIME_TO_CRASH;
            if self.engines[number].runs.iter().any(crashes) {
                self.crashes.push(self.now);
                self.crash(number);
            }
            self.end_answers(number);
        }
    }

    fn begin_answers(&mut self, engine: usize) {
        let now = self.now;
        let mut begun = Vec::new();
        for run in &mut self.engines[engine].runs {
            if !run.has_begun && now >= run.begins_at {
                run.has_begun = true;
                begun.push((run.entry, run.token));
            }
        }
        for (entry, token) in begun {
            self.attempts.get_mut(&token).unwrap().has_begun = true;
            let head = Event::ResponseHead {
                token,
                load: None,
                cold_remaining: None,
                version: Some(1),
                notice: None,
            };
            self.step(entry, head);
            self.step(entry, Event::ResponseStarted(token));
        }
    }

    fn end_answers(&mut self, engine: usize) {
        let now = self.now;
        let runs = std::mem::take(&mut self.engines[engine].runs);
        let has_ended = |run: &Run| {
            now >= run.ends_at || (run.is_broken && now >= run.begins_at + TIME_TO_CRASH)
        };
        let (ended, running): (Vec<Run>, Vec<Run>) = runs.into_iter().partition(has_ended);
        self.engines[engine].runs = running;
        for run in ended {
            let outcome = if run.is_broken {
                LOST
            } else {
                Outcome::Answered { is_error: false }
            };
            self.step(run.entry, exchange_ended(run.token, outcome));
        }
    }

    fn crash(&mut self, engine: usize) {
        let crashed = &mut self.engines[engine];
        crashed.starts += 1;
        crashed.ended_at = self.now;
        crashed.available_from = self.now + RESTART_TIME;
        for run in std::mem::take(&mut crashed.runs) {
            self.step(run.entry, exchange_ended(run.token, LOST));
        }
    }

    /// Entries read the list, and exchange states and crashes with the agents.
    fn exchange(&mut self) {
        for entry in 0..self.entries.len() {
            for engine in 0..self.engines.len() {
                let Engine {
                    available_from,
                    ended_at,
                    ..
                } = self.engines[engine];
                let is_available = available_from <= self.now;
                if is_available && self.now < available_from + 2 * EXCHANGE_INTERVAL {
                    let listed = self.listed(engine);
                    self.step(entry, Event::TargetListed(listed));
                }
                let is_noticed = !is_available && self.now >= ended_at + AGENT_NOTICE_TIME;
                let id = engine_name(engine);
                if is_noticed || self.is_multiple_of(REPORT_INTERVAL) {
                    let reported = Event::EngineReported {
                        id: id.clone(),
                        version: (!is_noticed).then_some(1),
                        is_switching: false,
                        process_count: u32::try_from(self.entries.len()).unwrap(),
                    };
                    self.step(entry, reported);
                }
                let Entry {
                    state, exchanges, ..
                } = &mut self.entries[entry];
                let agent = &mut self.agents[engine];
                exchange_crashes(self.now, &id, state, &mut exchanges[engine], agent);
            }
            self.step(entry, Event::Tick);
        }
    }

    /// When the rule on sends begins to apply, if the part crashed enough engines.
    fn late_from(&self) -> Option<Duration> {
        let fifth_crash = self.crashes.get(COUNTED_CRASHES - 1)?;
        Some(*fifth_crash + TOUCH_TIME)
    }

    fn late_sends(&self) -> usize {
        let Some(late_from) = self.late_from() else {
            return 0;
        };
        let sends = self.sends.iter();
        sends
            .filter(|(at, is_in_touch)| *is_in_touch && *at > late_from)
            .count()
    }

    /// The share of sound first attempts of a time that began, and their number. Only those count
    /// that share their first part with crashing requests if `is_sharing`.
    fn begun_share(&self, from: Duration, to: Duration, is_sharing: bool) -> (f64, usize) {
        let attempts = self.attempts.values().filter(|attempt| {
            let is_sound = !attempt.parts.contains(&CRASHING_PART);
            let is_counted = !is_sharing || attempt.parts[0] == first_part(0);
            is_sound && is_counted && attempt.is_first && (from..to).contains(&attempt.at)
        });
        let (mut begun, mut all) = (0, 0);
        for attempt in attempts {
            all += 1;
            begun += usize::from(attempt.has_begun);
        }
        (begun as f64 / all.max(1) as f64, all)
    }
}

const LOST: Outcome = Outcome::Broken {
    connection_lost: true,
};

fn exchange_ended(token: u64, outcome: Outcome) -> Event {
    Event::ExchangeEnded {
        token,
        outcome,
        longest_pause: Duration::ZERO,
        sending: Sending::default(),
    }
}

fn engine_name(number: usize) -> Name {
    format!("e{number}").into()
}

/// Runs a case with several seeds. Returns what went wrong.
fn violations(case: Case) -> Vec<String> {
    let mut violations = Vec::new();
    let title = case.title();
    for seed in 1..=4 {
        let mut fleet = Fleet::new(case, seed);
        let start = fleet.now;
        fleet.run();
        let mut add = |text: String| violations.push(format!("{title}, seed {seed}: {text}"));
        let late_sends = fleet.late_sends();
        if late_sends > ALLOWED_LATE_SENDS {
            let crashes = fleet.crashes.len();
            add(format!("{late_sends} late sends, {crashes} crashes"));
        }
        let last_counted = fleet.crashes.iter().take(COUNTED_CRASHES).next_back();
        let judged_from =
            *last_counted.unwrap_or(&CRASHES_FROM).max(&CRASHES_FROM) + 2 * TOUCH_TIME;
        let is_sharing = matches!(case.crashing, Crashing::SharedFirstPart);
        for is_sharing in [false, is_sharing] {
            let (before, _) = fleet.begun_share(start, CRASHES_FROM, is_sharing);
            let (after, count) = fleet.begun_share(judged_from, fleet.now, is_sharing);
            if count >= MIN_SOUND && after < before / 2.0 {
                add(format!(
                    "{after:.2} of {count} sound requests begin, {before:.2} before"
                ));
            }
        }
        if case.crashing_per_second == 0.0 && fleet.sound_rejected > 0 {
            add(format!(
                "{} sound requests are quarantined",
                fleet.sound_rejected
            ));
        }
    }
    violations
}

fn assert_none_violated(cases: impl IntoIterator<Item = Case>) {
    let cases: Vec<Case> = cases.into_iter().collect();
    // Each test has its own threads, and several tests run at the same time.
    let threads = std::thread::available_parallelism().map_or(1, usize::from) / 2;
    let next = AtomicUsize::new(0);
    let run = || {
        let mut found = Vec::new();
        while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
            found.extend(violations(*case));
        }
        found
    };
    let violations: Vec<String> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(run)).collect();
        runs.into_iter().flat_map(|r| r.join().unwrap()).collect()
    });
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn part_of_prompts_that_crashes_engines_is_not_sent_on_while_sound_requests_are() {
    let cases = [
        Case {
            name: "shared first part",
            ..CASE
        },
        Case {
            name: "part comes first",
            crashing: Crashing::PartFirst,
            ..CASE
        },
        Case {
            name: "only part",
            crashing: Crashing::OnlyPart,
            ..CASE
        },
        Case {
            name: "varied parts",
            crashing: Crashing::VariedParts,
            ..CASE
        },
        Case {
            name: "companion",
            crashing: Crashing::WithCompanion,
            ..CASE
        },
        Case {
            name: "rare",
            crashing_per_second: 0.5,
            ..CASE
        },
        Case {
            name: "frequent",
            crashing_per_second: 8.0,
            ..CASE
        },
        Case {
            name: "entries restart",
            trouble: Trouble::EntryRestarts,
            ..CASE
        },
        Case {
            name: "agents restart",
            trouble: Trouble::AgentRestarts,
            ..CASE
        },
        Case {
            name: "answers break off besides",
            trouble: Trouble::BrokenAnswers(0.2),
            ..CASE
        },
        Case {
            name: "all engines crash besides",
            trouble: Trouble::AllEnginesCrash,
            ..CASE
        },
        Case {
            name: "many entries",
            entries: 12,
            engines: 20,
            sound_per_second: 90.0,
            crashing_per_second: 6.0,
            ..CASE
        },
    ];
    assert_none_violated(cases);
}

#[test]
fn sound_requests_are_not_quarantined_after_crashes_and_losses_of_other_causes() {
    let cases = [
        Case {
            name: "all engines crash twice",
            trouble: Trouble::AllEnginesCrash,
            crashing_per_second: 0.0,
            ..CASE
        },
        Case {
            name: "answers break off",
            trouble: Trouble::BrokenAnswers(0.25),
            crashing_per_second: 0.0,
            ..CASE
        },
        Case {
            name: "answers of prompts with one part break off",
            crashing: Crashing::OnlyPart,
            trouble: Trouble::BrokenAnswers(0.25),
            crashing_per_second: 0.0,
            ..CASE
        },
    ];
    assert_none_violated(cases);
}

/// Cases with each number of shared parts before and behind the crashing one, each way in which these
/// change, and entries that know the parts or have just started.
fn cases_of_shared_parts(crashing_per_second: f64, sound_per_second: f64) -> Vec<Case> {
    // At low rates the rule's minimum number of sound requests takes longer.
    let sound_time = Duration::from_secs_f64(1.2 * MIN_SOUND as f64 / sound_per_second);
    let mut cases = Vec::new();
    for (before, behind) in [(0, 1), (1, 0), (1, 1), (3, 1), (1, 3)] {
        for companions in [
            Companions::Fixed,
            Companions::PerRequest,
            Companions::Switching,
        ] {
            for trouble in [Trouble::None, Trouble::EntryStarts, Trouble::EntriesStart] {
                cases.push(Case {
                    crashing: Crashing::Between(Shared {
                        before,
                        behind,
                        companions,
                    }),
                    crashing_per_second,
                    sound_per_second,
                    trouble,
                    calm_time: sound_time.max(CASE.calm_time),
                    crashing_time: sound_time + Duration::from_secs(15),
                    ..CASE
                });
            }
        }
    }
    cases
}

/// Guards against the quarantine of a sound part, whose requests are then all refused, where sound
/// requests come so rarely that none is answered between the crashes.
#[test]
fn rare_sound_requests_are_served_whatever_parts_they_share_with_crashing_ones() {
    assert_none_violated(cases_of_shared_parts(2.5, 0.5));
}

#[test]
fn sound_requests_of_a_small_caller_are_served_whatever_parts_they_share_with_crashing_ones() {
    assert_none_violated(cases_of_shared_parts(2.5, 3.0));
}

#[test]
fn sound_requests_are_served_whatever_parts_they_share_with_rare_crashing_ones() {
    assert_none_violated(cases_of_shared_parts(0.5, 1.0));
}

#[test]
fn sound_requests_are_served_whatever_parts_they_share_with_frequent_crashing_ones() {
    assert_none_violated(cases_of_shared_parts(8.0, 1.0));
}

#[test]
fn frequent_sound_requests_are_served_whatever_parts_they_share_with_crashing_ones() {
    assert_none_violated(cases_of_shared_parts(2.5, 90.0));
}

/// Cases with one shared part before and one behind the crashing one, for each way in which these change.
fn cases_between_two_parts(case: Case) -> impl Iterator<Item = Case> {
    let companions = [
        Companions::Fixed,
        Companions::PerRequest,
        Companions::Switching,
    ];
    companions.into_iter().map(move |companions| Case {
        crashing: Crashing::Between(Shared {
            before: 1,
            behind: 1,
            companions,
        }),
        crashing_per_second: 2.5,
        sound_per_second: 1.0,
        calm_time: Duration::from_secs(24),
        crashing_time: Duration::from_secs(40),
        ..case
    })
}

/// The same beside other trouble, and with many entries, each of which sees few sound requests.
#[test]
fn rare_sound_requests_are_served_beside_other_trouble() {
    let troubles = [
        (Trouble::AllEnginesCrash, 4),
        (Trouble::BrokenAnswers(0.2), 4),
        (Trouble::EntryRestarts, 4),
        (Trouble::AgentRestarts, 4),
        (Trouble::None, 12),
        (Trouble::EntryStarts, 12),
        (Trouble::EntriesStart, 12),
    ];
    let cases = troubles.into_iter().flat_map(|(trouble, entries)| {
        cases_between_two_parts(Case {
            trouble,
            entries,
            ..CASE
        })
    });
    assert_none_violated(cases);
}

/// Guards against completed requests as proof for all time.
#[test]
fn part_that_had_been_sound_is_not_sent_on_once_it_crashes_engines() {
    assert_none_violated(cases_between_two_parts(Case {
        trouble: Trouble::PartWasSound,
        ..CASE
    }));
}
