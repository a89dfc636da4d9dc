//! Engines that say how many requests per second they take from all processes together, and what
//! they get. Processes do not see each other's requests.

mod engines;

use std::time::Duration;

use engines::{
    simulate,
    Limit,
    Results,
    Scenario, //
};
use proptest::prelude::*;

/// `touch_ms` of the platform: the limit holds this long after the engine first named it.
const TOUCH_TIME: Duration = Duration::from_secs(3);

/// A process that has known of the limit for so long is counted.
const TOLD_TIME: Duration = Duration::from_millis(500);

const WINDOW: Duration = Duration::from_secs(4);

/// The requests that an engine may get in a window, as the platform states it.
fn allowed_requests(requests_per_second: f64) -> f64 {
    1.5 * requests_per_second * WINDOW.as_secs_f64() + 5.0
}

/// The most requests that the engine got in one window while the limit held.
fn most_requests_in_a_window(results: &Results, limit: &Limit) -> usize {
    let sends = results.sends.iter().filter(|send| {
        send.engine == limit.engine
            && send.at >= limit.from + TOUCH_TIME
            && send.at < limit.to
            && send.told_for.is_some_and(|told| told >= TOLD_TIME)
    });
    let times: Vec<Duration> = sends.map(|send| send.at).collect();
    let in_window = |start: &Duration| {
        let end = *start + WINDOW;
        times.iter().filter(|at| (*start..end).contains(at)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// The requests that the engine got in a period.
fn requests_between(results: &Results, engine: usize, from: Duration, to: Duration) -> usize {
    let sends = results.sends.iter();
    sends
        .filter(|send| send.engine == engine && (from..to).contains(&send.at))
        .count()
}

fn limit(requests_per_second: f64) -> Limit {
    Limit {
        engine: 0,
        from: Duration::from_secs(4),
        to: Duration::from_secs(24),
        requests_per_second,
    }
}

fn scenario(processes: usize, has_agents: bool, requests_per_second: f64) -> Scenario {
    Scenario {
        processes,
        has_agents,
        requests_per_second: 24.0,
        duration: Duration::from_secs(30),
        limits: vec![limit(requests_per_second)],
        ..Scenario::default()
    }
}

struct Case {
    name: &'static str,
    scenario: Scenario,
}

fn cases() -> Vec<Case> {
    let case = |name, scenario| Case { name, scenario };
    vec![
        case("one process", scenario(1, false, 2.0)),
        case("four processes, no agents", scenario(4, false, 2.0)),
        case("four processes with agents", scenario(4, true, 2.0)),
        case("sixteen processes with agents", scenario(16, true, 1.0)),
        case("less than one a second", scenario(4, true, 0.4)),
        case(
            "agents that do not answer",
            Scenario {
                agents_answer: false,
                ..scenario(4, true, 2.0)
            },
        ),
        case(
            "streams that are resumed",
            Scenario {
                broken_share: 0.4,
                ..scenario(4, true, 2.0)
            },
        ),
        case(
            "all engines are limited",
            Scenario {
                limits: (0..4)
                    .map(|engine| Limit {
                        engine,
                        ..limit(2.2)
                    })
                    .collect(),
                ..scenario(4, true, 2.2)
            },
        ),
    ]
}

#[test]
fn engine_gets_no_more_requests_than_the_limit_that_it_named() {
    let mut violations = Vec::new();
    for case in cases() {
        let results = simulate(&case.scenario);
        for limit in &case.scenario.limits {
            let most = most_requests_in_a_window(&results, limit);
            let allowed = allowed_requests(limit.requests_per_second);
            if most as f64 > allowed {
                violations.push(format!("{}: {most} of {allowed:.1}", case.name));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn limited_engine_is_used_up_to_its_limit_and_fully_afterwards() {
    for case in cases()
        .into_iter()
        .filter(|case| case.scenario.broken_share == 0.0)
    {
        let results = simulate(&case.scenario);
        let limit = case.scenario.limits[0];
        let limited = requests_between(&results, 0, limit.to - WINDOW * 3, limit.to);
        let taken = limit.requests_per_second * (WINDOW * 3).as_secs_f64();
        assert!(
            limited as f64 >= taken / 2.0,
            "{}: {limited} of {taken}",
            case.name
        );
        let from = limit.to + Duration::from_secs(2);
        let after = requests_between(&results, 0, from, from + WINDOW);
        assert!(after >= 10, "{}: {after} after the limit", case.name);
    }
}

#[test]
fn requests_beyond_the_limits_of_all_engines_are_rejected_before_they_are_late() {
    let limits = (0..4).map(|engine| Limit {
        engine,
        ..limit(1.0)
    });
    let results = simulate(&Scenario {
        limits: limits.collect(),
        ..scenario(4, true, 1.0)
    });
    assert!(results.rejected > 0, "{results:?}");
    let longest = results.longest_time_to_rejection;
    assert!(longest <= Duration::from_millis(450), "{longest:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn sum_over_all_processes_stays_within_the_limit(
        processes in 1_usize..=16,
        has_agents: bool,
        requests_per_second in 0.2_f64..6.0,
        broken_share in 0.0_f64..0.5,
        seed: u64,
    ) {
        let scenario = Scenario {
            broken_share,
            seed,
            ..scenario(processes, has_agents, requests_per_second)
        };
        let results = simulate(&scenario);
        let most = most_requests_in_a_window(&results, &scenario.limits[0]);
        let allowed = allowed_requests(requests_per_second);
        prop_assert!(most as f64 <= allowed, "{most} of {allowed}");
    }
}
