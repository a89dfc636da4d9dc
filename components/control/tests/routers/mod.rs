//! Configurations, targets and requests for the tests of the reducer that forwards requests.

#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime, //
};

use control::controller::{
    self,
    Controller,
    UpdateLimits, //
};
use control::router::config::{
    Config,
    EngineProfile,
    Repeatability,
    Route,
    Service, //
};
use control::router::lease::AgeLimits;
use control::router::selection::Location;
use control::router::targets::TargetEntry;
use control::router::{
    CrashExchange,
    CrashPeer,
    Event,
    IncomingRequest,
    Options,
    ReservationReply,
    RetryLimit,
    State, //
};
use protocol::{
    Backlog,
    EngineCondition, //
};
use utils::clock::ClockReading;
use weights::Limits;

/// More retries than a test makes.
pub const AMPLE_RETRIES: RetryLimit = RetryLimit {
    retries_per_request: 1.0,
    extra_retries: 100.0,
    window: Duration::from_secs(10),
};

/// The reply of an agent whose engine has no work.
pub fn accepting_reply() -> ReservationReply {
    ReservationReply {
        backlog: Backlog::default(),
        accepts_requests: true,
        limit: None,
        condition: EngineCondition::default(),
    }
}

/// The time `elapsed` after the start of the clock.
pub fn clock(elapsed: Duration) -> ClockReading {
    ClockReading {
        elapsed,
        wall_clock: SystemTime::UNIX_EPOCH,
    }
}

/// The options of a process in data centre `a`, which reserves capacity with agents.
pub fn options(retry_limit: RetryLimit, seed: u64) -> Options {
    Options {
        location: Location {
            data_centre: "a".into(),
            ..Location::default()
        },
        config_age_limits: AgeLimits {
            with_key: Duration::from_secs(4),
            while_answered: Duration::from_secs(4),
        },
        version_grace: Duration::from_secs(6),
        first_event_grace: Duration::from_millis(700),
        retry_limit,
        uses_reservations: true,
        learned_capacity: control::capacity::Settings::OFF,
        seed,
    }
}

/// A route for `/NAME/`, which needs no key.
pub fn route(name: &str, service: &str, repeatability: Repeatability) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        repeatability,
        timeout: Duration::from_secs(6),
        latency_objective: Duration::from_millis(400),
        pause_objective: None,
        priority: 1,
        services: vec![(service.into(), 1)],
        attempt_limit: 3,
        allows_anonymous: true,
        allowed_regions: Vec::new(),
    }
}

/// A target in its first start, which runs version 1 if it is one of the `engines`.
pub fn target(id: &str, service: &str, data_centre: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: service.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: data_centre.into(),
        slots: Some(4),
        is_draining: false,
        cold_remaining: Duration::ZERO,
        version: (service == "engines").then_some(1),
        has_no_weights: false,
        started_at_ms: 1,
    }
}

/// A request without a key, unlike all others.
pub fn request(token: u64, path: &str) -> IncomingRequest {
    IncomingRequest {
        token,
        request_id: format!("r{token}").into(),
        host: "host.example".into(),
        path: path.into(),
        api_key: None,
        timeout: None,
        prompt_and_max_answer_tokens: None,
        answer_tokens_hint: None,
        last_event_id: None,
        fingerprint: token,
        shared_prompt_parts: Vec::new(),
    }
}

/// The service `engines`, whose targets serve the model `m`.
pub fn engine_service() -> Service {
    Service {
        name: "engines".into(),
        cold_rate_per_second: 0.0,
        delays: Default::default(),
        engine_profile: Some(EngineProfile {
            model: "m".into(),
            slots: 4,
            step_time: Duration::from_millis(10),
            steps_per_iteration: 5,
            prefill_chunk_tokens: None,
            typical_answer_tokens: 100,
            prefill_tokens_per_second: 20_000.0,
            step_time_per_request: None,
            context_slowdown_per_1000_tokens: None,
            memory_tokens: None,
        }),
    }
}

/// A configuration with a stream of the service `engines` and a call of the plain service `desk`, which
/// need no key.
pub fn config_of_both_services() -> Arc<Config> {
    let plain = Service {
        name: "desk".into(),
        engine_profile: None,
        ..engine_service()
    };
    Arc::new(Config {
        version: 1,
        routes: vec![
            Arc::new(route("chat", "engines", Repeatability::ResumableStream)),
            Arc::new(route("look", "desk", Repeatability::Idempotent)),
        ],
        services: [engine_service(), plain]
            .map(|service| (service.name.clone(), Arc::new(service)))
            .into(),
        ..Config::default()
    })
}

/// An agent, as far as it passes on crashes.
pub struct Agent {
    state: Controller,
    incarnation: u64,
}

impl Agent {
    /// An agent that starts at this time.
    pub fn new(now: Duration, id: &str) -> Self {
        let update_limits = UpdateLimits {
            old_version_time: Duration::from_secs(7),
            download_bytes_per_second: 1e6,
        };
        Self {
            state: Controller::new(id.into(), Limits::default(), update_limits, false),
            incarnation: now.as_millis() as u64,
        }
    }
}

/// Exchanges crashes between an entry and the agent of the engine `id`.
pub fn exchange_crashes(
    now: Duration,
    id: &str,
    entry: &mut State,
    exchange: &mut CrashExchange,
    agent: &mut Agent,
) {
    let own_revision = entry.crash_revision();
    let crashes = exchange.crashes_to_report(now, entry, &CrashPeer::Agent(id.into()));
    let is_known = agent.state.crash_revision() == exchange.received();
    if crashes.is_empty() && is_known {
        return;
    }
    let reported = (!crashes.is_empty()).then_some(own_revision);
    if reported.is_some() {
        let event = controller::Event::CrashesReported(crashes);
        agent.state.step(now, event);
    }
    let received = agent.state.crashes_after(now, exchange.received());
    exchange.handle_reply(agent.incarnation, agent.state.crash_revision(), reported);
    entry.step(clock(now), Event::CrashesReported(received));
}
