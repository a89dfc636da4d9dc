//! A model of plain targets whose service time depends on the number of their requests, and of
//! entries that learn limits for them. One step is a millisecond.

use std::collections::VecDeque;
use std::time::Duration;

use control::capacity::{
    process_share,
    Bounds,
    LearnedLimit,
    Sample,
    Settings,
    ShareUse, //
};
use control::router::load::{
    LoadReport,
    TargetLoad, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

/// The time of an answer at a target of normal speed under light load.
const ANSWER_TIME_MS: f64 = 20.0;

/// An answer is on time up to this long after its request arrived.
const OBJECTIVE_MS: u64 = 250;

/// How long a request waits at most before it is sent.
const MAX_WAIT_MS: u64 = 100;

/// The length of a phase of slow work.
const PHASE_MS: u64 = 600;

/// How many times longer work takes in a slow phase.
pub const PHASE_SLOWNESS: f64 = 2.5;

/// What the targets say of their slowness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Figure {
    /// The truth.
    Right,
    /// Nothing after the first answer.
    Missing,
    /// A number that has nothing to do with the truth.
    Wrong,
    /// The truth of this many milliseconds ago.
    Late(u64),
}

/// Who decides how many requests a target gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decider {
    /// This number of entries, which learn.
    Learning(u32),
    /// One process that knows the best number for every target at any time.
    Oracle,
}

/// The properties of one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetModel {
    pub slots: u32,
    /// How long an answer takes under light load at this time, as a multiple of the normal time.
    pub slowness: fn(u64) -> f64,
    /// Up to how many requests the service time is that under light load.
    pub knee: fn(u64) -> f64,
    /// The power of the requests beyond the knee with which the service time grows.
    pub power: i32,
    /// The share of phases that are slow.
    pub slow_phases: f64,
}

/// A target with twelve slots that works as configured.
pub const HEALTHY: TargetModel = TargetModel {
    slots: 12,
    slowness: |_| 1.0,
    knee: |_| 12.0,
    power: 1,
    slow_phases: 0.0,
};

/// A case of the model.
#[derive(Clone, Debug)]
pub struct Case {
    pub targets: Vec<TargetModel>,
    pub figure: Figure,
    pub decider: Decider,
    /// Requests per second from all callers at a time in milliseconds.
    pub rate: fn(u64) -> f64,
    pub seed: u64,
}

/// What happened in one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Answers on time, for each target and each tenth of a second in which they ended.
    pub served: Vec<Vec<u32>>,
    /// The limits that all entries together set for each target, at the end of each tenth of a second.
    pub limits: Vec<Vec<f64>>,
    /// The mean number of requests at each target in each tenth of a second.
    pub running: Vec<Vec<f64>>,
}

impl Outcome {
    /// Answers on time of a target between two times in milliseconds.
    pub fn served_between(&self, target: usize, from_ms: usize, to_ms: usize) -> f64 {
        let tenths = &self.served[target][from_ms / 100..to_ms / 100];
        f64::from(tenths.iter().sum::<u32>())
    }

    /// Answers on time of all targets between two times.
    pub fn total_between(&self, from_ms: usize, to_ms: usize) -> f64 {
        let targets = 0..self.served.len();
        targets
            .map(|t| self.served_between(t, from_ms, to_ms))
            .sum()
    }
}

struct Running {
    entry: usize,
    arrived_ms: u64,
    started_at: Duration,
    requests: u32,
    work: f64,
}

struct TargetState {
    model: TargetModel,
    running: Vec<Running>,
    is_slow: bool,
    slowness_history: VecDeque<f64>,
}

struct EntryTarget {
    learned: LearnedLimit,
    share: ShareUse,
    load: TargetLoad,
}

struct EntryState {
    waiting: VecDeque<u64>,
    targets: Vec<EntryTarget>,
}

fn bounds(model: &TargetModel, entries: usize) -> Bounds {
    let bounds = Bounds::new(Settings::default(), model.slots, 2 * model.slots);
    bounds.from_below(model.slots, u32::try_from(entries).unwrap())
}

impl TargetState {
    fn slowness(&self, now_ms: u64) -> f64 {
        let phase = if self.is_slow { PHASE_SLOWNESS } else { 1.0 };
        (self.model.slowness)(now_ms) * phase
    }

    /// How long one answer takes with the requests that run now.
    fn service_time(&self, now_ms: u64) -> f64 {
        let excess = self.running.len() as f64 / (self.model.knee)(now_ms);
        ANSWER_TIME_MS * self.slowness(now_ms) * excess.max(1.0).powi(self.model.power)
    }

    fn figure(&self, now_ms: u64, figure: Figure, rng: &mut Pcg64Mcg) -> Option<u16> {
        let slowness = match figure {
            Figure::Right => self.slowness(now_ms),
            Figure::Missing => return None,
            Figure::Wrong => rng.random_range(0.5..4.0),
            Figure::Late(ms) => {
                let index = usize::try_from(ms).unwrap();
                *self.slowness_history.get(index).unwrap_or(&1.0)
            }
        };
        Some((slowness * 100.0) as u16)
    }
}

/// Runs a case for this time.
pub fn run(case: &Case, duration_ms: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(case.seed);
    let mut phases = Pcg64Mcg::seed_from_u64(case.seed);
    let mut targets: Vec<TargetState> = case
        .targets
        .iter()
        .map(|model| TargetState {
            model: *model,
            running: Vec::new(),
            is_slow: false,
            slowness_history: VecDeque::new(),
        })
        .collect();
    let entry_count = match case.decider {
        Decider::Learning(count) => count as usize,
        Decider::Oracle => 1,
    };
    let mut entries: Vec<EntryState> = (0..entry_count)
        .map(|_| EntryState {
            waiting: VecDeque::new(),
            targets: case
                .targets
                .iter()
                .map(|_| EntryTarget {
                    // The first answer switches the limit on.
                    share: ShareUse::after(
                        Duration::ZERO,
                        Duration::from_secs_f64(ANSWER_TIME_MS / 1000.0 * rng.random::<f64>()),
                    ),
                    ..new_entry_target()
                })
                .collect(),
        })
        .collect();
    let tenths = usize::try_from(duration_ms / 100).unwrap();
    let mut outcome = Outcome {
        served: vec![vec![0; tenths]; targets.len()],
        limits: vec![Vec::new(); targets.len()],
        running: vec![vec![0.0; tenths]; targets.len()],
    };
    let mut due = 0.0;
    for now_ms in 0..duration_ms {
        let now = Duration::from_millis(now_ms);
        let tenth = usize::try_from(now_ms / 100).unwrap();
        for target in &mut targets {
            if now_ms % PHASE_MS == 0 {
                target.is_slow = phases.random_bool(target.model.slow_phases);
            }
            let slowness = target.slowness(now_ms);
            target.slowness_history.push_front(slowness);
            target.slowness_history.truncate(1000);
        }
        // Arrivals at uneven intervals.
        due += (case.rate)(now_ms) / 1000.0 * rng.random_range(0.0..2.0);
        while due >= 1.0 {
            due -= 1.0;
            let entry = rng.random_range(0..entry_count);
            entries[entry].waiting.push_back(now_ms);
        }
        for (t, target) in targets.iter_mut().enumerate() {
            let progress = 1.0 / target.service_time(now_ms);
            let mut ended = Vec::new();
            let mut i = 0;
            while i < target.running.len() {
                target.running[i].work -= progress;
                if target.running[i].work <= 0.0 {
                    ended.push(target.running.swap_remove(i));
                } else {
                    i += 1;
                }
            }
            for request in ended {
                if now_ms - request.arrived_ms <= OBJECTIVE_MS {
                    outcome.served[t][tenth] += 1;
                }
                let figure = target.figure(now_ms, case.figure, &mut rng);
                let known = &mut entries[request.entry].targets[t];
                let report = LoadReport {
                    running: u32::try_from(target.running.len()).unwrap() + 1,
                    queued: 0,
                    slowness_percent: figure,
                };
                known.load.apply_report(now, report);
                let at_end = known.load.total_requests(now).round() as u32;
                let sample = Sample {
                    started_at: request.started_at,
                    requests: (request.requests + at_end).div_ceil(2),
                    duration: now - request.started_at,
                    slowness_percent: figure,
                    priority_level: 0,
                };
                let bounds = bounds(&target.model, entry_count);
                let entry = &mut entries[request.entry].targets[t];
                let share = own_share(case, entry, &target.model, now_ms);
                entry.share.update(now, entry.load.own_requests(), share);
                entry.load.remove_request();
                entry.learned.record_answer(now, bounds, &sample);
            }
        }
        let first = rng.random_range(0..entry_count);
        for e in (0..entry_count).map(|i| (i + first) % entry_count) {
            dispatch(case, now_ms, e, &mut entries, &mut targets, &mut rng);
        }
        for (t, target) in targets.iter().enumerate() {
            outcome.running[t][tenth] += target.running.len() as f64 / 100.0;
        }
        if now_ms % 100 == 99 {
            for (t, target) in targets.iter().enumerate() {
                let shares = entries
                    .iter()
                    .map(|entry| own_share(case, &entry.targets[t], &target.model, now_ms));
                outcome.limits[t].push(shares.sum());
            }
        }
    }
    outcome
}

fn new_entry_target() -> EntryTarget {
    let mut learned = LearnedLimit::default();
    learned.activate();
    EntryTarget {
        learned,
        share: ShareUse::default(),
        load: TargetLoad::default(),
    }
}

fn limit(case: &Case, entry: &EntryTarget, model: &TargetModel, now_ms: u64) -> f64 {
    match case.decider {
        Decider::Learning(count) => entry.learned.limit(bounds(model, count as usize)).unwrap(),
        Decider::Oracle => (model.knee)(now_ms).max(1.0),
    }
}

fn own_share(case: &Case, entry: &EntryTarget, model: &TargetModel, now_ms: u64) -> f64 {
    let limit = limit(case, entry, model, now_ms);
    match case.decider {
        Decider::Learning(count) => process_share(limit, Some(count)),
        Decider::Oracle => limit,
    }
}

/// Sends waiting requests of one entry to the targets that are least full.
fn dispatch(
    case: &Case,
    now_ms: u64,
    e: usize,
    entries: &mut [EntryState],
    targets: &mut [TargetState],
    rng: &mut Pcg64Mcg,
) {
    let now = Duration::from_millis(now_ms);
    let entry = &mut entries[e];
    while let Some(arrived_ms) = entry.waiting.front().copied() {
        if now_ms - arrived_ms > MAX_WAIT_MS {
            entry.waiting.pop_front();
            continue;
        }
        let mut best: Option<(f64, usize)> = None;
        for (t, known) in entry.targets.iter().enumerate() {
            let model = &targets[t].model;
            let limit = limit(case, known, model, now_ms);
            let share = own_share(case, known, model, now_ms);
            let total = known.load.total_requests(now);
            let total_limit = match case.decider {
                Decider::Learning(count) if count > 1 => f64::from(2 * model.slots),
                _ => limit.floor(),
            };
            let is_full = total + 1.0 > total_limit + 0.5
                || !known.share.allows(
                    now,
                    known.load.own_requests(),
                    share,
                    total + 1.0 > limit + 0.5,
                );
            let score = total / limit + rng.random_range(0.0..0.1);
            if !is_full && best.is_none_or(|(b, _)| score < b) {
                best = Some((score, t));
            }
        }
        let Some((_, t)) = best else {
            return;
        };
        entry.waiting.pop_front();
        let known = &mut entry.targets[t];
        let share = own_share(case, known, &targets[t].model, now_ms);
        known.share.update(now, known.load.own_requests(), share);
        known.load.add_request(0);
        let requests = known.load.total_requests(now).round() as u32;
        targets[t].running.push(Running {
            entry: e,
            arrived_ms,
            started_at: now,
            requests,
            work: rng.random_range(0.7..1.3),
        });
    }
}
