//! What entries and agents do with the speed that targets report.

mod routers;

use std::sync::Arc;
use std::time::Duration;

use control::controller::timing::{
    should_accept,
    EngineSpeed,
    ReservedWork, //
};
use control::controller::{
    Controller,
    Effect,
    EngineMemory,
    EngineReport,
    Event,
    UpdateLimits, //
};
use control::router::config::{
    Config,
    Repeatability, //
};
use control::router::load::{
    LoadReport,
    TargetLoad, //
};
use control::router::{
    self,
    ReservationReply,
    RetryLimit,
    State, //
};
use protocol::{
    Backlog,
    EngineCondition,
    ReservationTerms,
    Timing, //
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn report(slowness_percent: Option<u16>) -> LoadReport {
    LoadReport {
        running: 1,
        queued: 0,
        slowness_percent,
    }
}

const TIMING: Timing = Timing {
    time_left_us: 400_000,
    iteration_us: 50_000,
    prefill_tokens_per_second: 20_000,
    chunk_tokens: 2048,
    answer_tokens: 100,
    max_pause_us: 300_000,
};

/// Guards against use of an old report, and against any effect of targets that report nothing.
#[test]
fn reported_slowness_counts_while_it_is_fresh() {
    // Percent, age in milliseconds, expected slowdown.
    let cases = [
        (None, 0, 1.0),
        (Some(100), 0, 1.0),
        (Some(250), 0, 2.5),
        (Some(250), 300, 1.75),
        (Some(250), 600, 1.0),
        (Some(250), 5000, 1.0),
    ];
    for (percent, age, expected) in cases {
        let mut load = TargetLoad::default();
        load.apply_report(ms(1000), report(percent));
        let slowdown = load.slowdown(ms(1000 + age));
        assert!(
            (slowdown - expected).abs() < 1e-9,
            "{percent:?} {age}: {slowdown}"
        );
    }
}

/// Guards against trust in targets that answer on time at "slow", or late at "normal".
#[test]
fn slowness_that_measurements_contradict_loses_its_weight() {
    // Percent, measured factor.
    let cases = [(250, 1.0), (100, 2.5), (40, 1.0)];
    for (percent, factor) in cases {
        let mut load = TargetLoad::default();
        for i in 0..60 {
            let now = ms(1000 + 100 * i);
            load.apply_report(now, report(Some(percent)));
            let reported = load.reported_slowness(now);
            load.record_first_event(ms(100), ms(100).mul_f64(factor), reported);
        }
        let slowdown = load.slowdown(ms(6900));
        assert!((slowdown - factor).abs() < 0.1, "{percent}: {slowdown}");
    }
}

#[test]
fn agent_refuses_what_is_predicted_to_be_late() {
    struct Case {
        name: &'static str,
        slowness_percent: Option<u16>,
        requests: u32,
        unprefilled_tokens: u32,
        memory_tokens: u64,
        is_accepted: bool,
    }
    let case = |name, slowness_percent, requests, unprefilled_tokens, is_accepted| Case {
        name,
        slowness_percent,
        requests,
        unprefilled_tokens,
        memory_tokens: 0,
        is_accepted,
    };
    // A prompt of 1000 tokens takes 125 ms at the usual speed, and its iteration 100 ms.
    let cases = [
        case("normal", Some(100), 6, 0, true),
        case("slow", Some(250), 6, 0, true),
        case("very slow", Some(330), 6, 0, false),
        case("very slow, a quarter in use", Some(330), 3, 0, true),
        case("very slow, more than a quarter", Some(330), 4, 0, false),
        case("speed unknown", None, 6, 9000, true),
        case("first event late", Some(100), 6, 6000, false),
        case("pause too long", Some(210), 6, 1000, false),
        case("pause short enough", Some(190), 6, 1000, true),
        Case {
            memory_tokens: 8900,
            ..case("just fits into memory", Some(100), 6, 0, true)
        },
        Case {
            memory_tokens: 8901,
            ..case("does not fit into memory", Some(100), 6, 0, false)
        },
        Case {
            memory_tokens: 8901,
            ..case("does not fit, speed unknown", None, 2, 0, false)
        },
        Case {
            memory_tokens: 20_000,
            ..case("nothing else runs", Some(100), 0, 0, true)
        },
    ];
    for case in cases {
        let speed = EngineSpeed {
            slowness_percent: case.slowness_percent,
            memory: Some(EngineMemory {
                used_tokens: 0,
                total_tokens: 10_000,
            }),
        };
        let work = ReservedWork {
            backlog: Backlog {
                requests: case.requests,
                unprefilled_tokens: case.unprefilled_tokens,
            },
            memory_tokens: case.memory_tokens,
            slots: 12,
        };
        let is_accepted = should_accept(&TIMING, &speed, &work, 1000);
        assert_eq!(is_accepted, case.is_accepted, "{}", case.name);
    }
}

/// Guards against calls of the engine that no entry needs, and against reports that are too old.
#[test]
fn agent_reads_the_speed_often_only_while_entries_ask_for_it() {
    let update_limits = UpdateLimits {
        old_version_time: Duration::from_secs(7),
        download_bytes_per_second: 1000.0,
    };
    let limits = weights::Limits::default();
    let mut agent = Controller::new("a".into(), limits, update_limits, false);
    let engine = EngineReport {
        version: Some(1),
        ..EngineReport::default()
    };
    let mut reads_in = |from: u64, to: u64, terms: Option<ReservationTerms>| {
        let mut reads = 0;
        if let Some(terms) = terms {
            agent.reserve(ms(from), 100, &terms);
        }
        for now in (from..to).step_by(50) {
            let effects = agent.step(ms(now), Event::Tick);
            let is_read = |effect: &&Effect| matches!(effect, Effect::ReadEngine);
            reads += effects.iter().filter(is_read).count();
            agent.step(ms(now), Event::Engine(Some(engine)));
        }
        reads
    };
    let terms = ReservationTerms::default();
    let with_timing = ReservationTerms {
        timing: Some(TIMING),
        ..terms
    };
    reads_in(0, 1000, None);
    assert_eq!(reads_in(1000, 2000, Some(terms)), 2);
    assert!(reads_in(2000, 7000, Some(with_timing)) >= 5 * 5);
    assert_eq!(reads_in(7500, 8500, None), 2);
}

/// Guards against changes of deployments whose targets do not report their speed.
#[test]
fn entry_names_the_timing_only_to_targets_that_reported_their_speed() {
    let retry_limit = RetryLimit {
        retries_per_request: 0.3,
        extra_retries: 100.0,
        window: Duration::from_secs(10),
    };
    for (percent, is_expected) in [(None, false), (Some(100), true)] {
        let mut state = State::new(routers::options(retry_limit.clone(), 1));
        let now = routers::clock(ms(1000));
        let service = routers::engine_service();
        let config = Config {
            version: 1,
            routes: vec![Arc::new(routers::route(
                "ask",
                "engines",
                Repeatability::ResumableStream,
            ))],
            services: [(service.name.clone(), Arc::new(service))].into(),
            ..Config::default()
        };
        state.step(now, router::Event::ConfigRead(Arc::new(config)));
        let target = routers::target("e1", "engines", "a");
        state.step(now, router::Event::TargetListed(target));
        let mut timing = |token: u64| {
            let request = routers::request(token, "/ask/x");
            let effects = state.step(now, router::Event::RequestReceived(request));
            let terms = effects.iter().find_map(|effect| match effect {
                router::Effect::Reserve(_, request) => Some(request.terms),
                _ => None,
            });
            let reply = ReservationReply {
                backlog: Backlog::default(),
                accepts_requests: true,
                limit: None,
                condition: EngineCondition::default(),
            };
            let reply = Some(reply);
            state.step(now, router::Event::ReservationReply { token, reply });
            let head = router::Event::ResponseHead {
                token,
                load: Some(report(percent)),
                cold_remaining: None,
                version: Some(1),
                notice: None,
            };
            state.step(now, head);
            terms.unwrap().timing
        };
        assert_eq!(timing(1), None, "{percent:?}");
        assert_eq!(timing(2).is_some(), is_expected, "{percent:?}");
    }
}
