//! Sums over all entries, which do not see each other's requests, against what operators allow.

mod routers;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use control::router::config::{
    Config,
    Repeatability,
    Service, //
};
use control::router::targets::TargetEntry;
use control::router::{
    Effect,
    Event,
    Outcome,
    RetryLimit,
    Sending,
    State, //
};
use proptest::prelude::*;
use routers::{
    clock,
    options,
    request,
    route,
    target, //
};

/// What operators allow all processes together: retries for each request, and extra retries in any
/// window of this length.
const RETRY_RATIO: f64 = 0.2;
const EXTRA_RETRIES: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(10);

const STEP: Duration = Duration::from_millis(100);

const DESKS: usize = 4;

/// Requests per second that a target in cold start can handle, and what the platform allows all
/// processes together to send in one second.
const COLD_RATE: f64 = 36.0;
const ALLOWED_COLD_REQUESTS: f64 = 1.5 * COLD_RATE + 5.0;

fn config() -> Config {
    let service = |name: &str| Service {
        name: name.into(),
        cold_rate_per_second: COLD_RATE,
        delays: Default::default(),
        engine_profile: None,
    };
    Config {
        version: 1,
        routes: [("look", "desk"), ("cold", "cold")]
            .map(|(name, service)| Arc::new(route(name, service, Repeatability::Idempotent)))
            .to_vec(),
        services: ["desk", "cold"]
            .map(|name| (name.into(), Arc::new(service(name))))
            .into(),
        ..Config::default()
    }
}

/// A target whose slots do not limit its requests.
fn large_target(id: &str, service: &str) -> TargetEntry {
    TargetEntry {
        slots: Some(1000),
        version: None,
        ..target(id, service, "a")
    }
}

struct Entry {
    state: State,
    /// Whether it reaches no agent, and so does not learn of the other entries.
    is_alone: bool,
}

impl Entry {
    fn new(now: Duration, number: usize, is_alone: bool) -> Self {
        let retry_limit = RetryLimit {
            retries_per_request: RETRY_RATIO,
            extra_retries: EXTRA_RETRIES,
            window: WINDOW,
        };
        let state = State::new(options(retry_limit, number as u64));
        let mut entry = Self { state, is_alone };
        entry.step(now, Event::ConfigRead(Arc::new(config())));
        for desk in 0..DESKS {
            entry.step(
                now,
                Event::TargetListed(large_target(&format!("d{desk}"), "desk")),
            );
        }
        entry.step(now, Event::TargetListed(large_target("e1", "engines")));
        entry
    }

    fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.state.step(clock(now), event)
    }

    /// Tells the entry how many processes use the agents.
    fn hear_from_agent(&mut self, now: Duration, process_count: usize) {
        if self.is_alone {
            return;
        }
        self.step(
            now,
            Event::EngineReported {
                id: "e1".into(),
                version: Some(1),
                is_switching: false,
                process_count: process_count as u32,
            },
        );
    }

    /// Handles a request that no target runs. Returns how often it was sent again.
    fn handle_failing_request(&mut self, now: Duration, token: u64) -> usize {
        let mut effects = self.step(now, Event::RequestReceived(request(token, "/look/x")));
        let mut sends: usize = 0;
        while effects.iter().any(|e| matches!(e, Effect::Forward(..))) {
            sends += 1;
            let ended = Event::ExchangeEnded {
                token,
                outcome: Outcome::WrongVersion,
                longest_pause: Duration::ZERO,
                sending: Sending::default(),
            };
            effects = self.step(now, ended);
        }
        self.step(now, Event::CallerDisconnected(token));
        sends.saturating_sub(1)
    }

    /// Handles a request that only the cold target serves. Returns whether it was sent.
    fn send_to_cold_target(&mut self, now: Duration, token: u64) -> bool {
        let effects = self.step(now, Event::RequestReceived(request(token, "/cold/x")));
        let is_sent = effects.iter().any(|e| matches!(e, Effect::Forward(..)));
        self.step(now, Event::CallerDisconnected(token));
        is_sent
    }
}

#[test]
fn cold_target_gets_no_more_than_its_rate_from_all_entries_together() {
    for entries in [1, 4, 7, 11, 16] {
        let mut now = Duration::from_secs(100);
        let mut fleet: Vec<Entry> = (0..entries)
            .map(|number| Entry::new(now, number, false))
            .collect();
        let mut sends_per_step = VecDeque::new();
        let mut token = 0;
        for step in 0..30 {
            now += STEP;
            let mut sends = 0;
            for entry in &mut fleet {
                entry.hear_from_agent(now, entries);
                let mut cold = large_target("c1", "cold");
                cold.cold_remaining = Duration::from_secs(10);
                entry.step(now, Event::TargetListed(cold));
                for _ in 0..200 / entries {
                    token += 1;
                    sends += usize::from(entry.send_to_cold_target(now, token));
                }
            }
            sends_per_step.push_back(sends);
            if sends_per_step.len() > 10 {
                sends_per_step.pop_front();
            }
            let in_one_second: usize = sends_per_step.iter().sum();
            assert!(
                in_one_second as f64 <= ALLOWED_COLD_REQUESTS,
                "{entries} entries, step {step}: {in_one_second}"
            );
        }
    }
}

/// Requests and retries in each step of a window, and in the window before it.
#[derive(Default)]
struct Counts(VecDeque<(usize, usize)>);

impl Counts {
    /// Adds a step. Returns the retries of the window and how many are allowed.
    fn add(&mut self, requests: usize, retries: usize) -> (f64, f64) {
        let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        self.0.push_back((requests, retries));
        if self.0.len() > 2 * steps {
            self.0.pop_front();
        }
        let newest = self.0.iter().rev();
        let retries: usize = newest.clone().take(steps).map(|(_, retries)| retries).sum();
        let requests_from = |start: usize| -> usize {
            let window = newest.clone().skip(start).take(steps);
            window.map(|(requests, _)| requests).sum()
        };
        let requests = [0, steps / 2, steps].map(requests_from);
        let most = requests.into_iter().max().unwrap_or(0);
        (retries as f64, RETRY_RATIO * most as f64 + EXTRA_RETRIES)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn retries_of_all_entries_together_stay_within_the_budget(
        entries in 1_usize..=40,
        requests_per_step in 0_usize..12,
        restarts in prop::collection::vec((0_usize..300, any::<usize>()), 0..40),
        alone in prop::collection::vec(any::<prop::sample::Index>(), 0..4),
    ) {
        let mut now = Duration::from_secs(100);
        let mut fleet: Vec<Entry> = (0..entries)
            .map(|number| Entry::new(now, number, alone.iter().any(|i| i.index(entries) == number)))
            .collect();
        let mut counts = Counts::default();
        let mut token = 0;
        for step in 0..300 {
            now += STEP;
            for (at, number) in &restarts {
                if *at == step {
                    let number = number % entries;
                    fleet[number] = Entry::new(now, number, fleet[number].is_alone);
                }
            }
            for entry in &mut fleet {
                entry.hear_from_agent(now, entries);
            }
            // Quiet at first, so that whatever a process may save up is saved.
            let requests = if step < 100 { 0 } else { requests_per_step };
            let mut retries = 0;
            for _ in 0..requests {
                token += 1;
                let entry = &mut fleet[token as usize % entries];
                retries += entry.handle_failing_request(now, token);
            }
            let (retries, allowed) = counts.add(requests, retries);
            prop_assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
        }
    }
}
