//! Tests queueing, rejection and target selection under load, in a simulation without a network. A
//! model of engines that work in batch iterations answers what the reducer sends.

mod engines;

use std::time::Duration;

use engines::{
    simulate,
    Scenario, //
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn first_events_are_on_time_while_engines_have_capacity() {
    let results = simulate(&Scenario {
        engines: 4,
        requests_per_second: 22.0,
        duration: Duration::from_secs(20),
        ..Scenario::default()
    });
    assert_eq!(results.rejected, 0, "{results:?}");
    assert!(
        results.on_time * 100 >= results.requests * 97,
        "{results:?}"
    );
}

#[test]
fn load_at_twice_the_capacity_does_not_reduce_answers_on_time() {
    let normal = simulate(&Scenario {
        engines: 4,
        requests_per_second: 24.0,
        duration: Duration::from_secs(20),
        ..Scenario::default()
    });
    let overload = simulate(&Scenario {
        engines: 4,
        requests_per_second: 64.0,
        duration: Duration::from_secs(20),
        ..Scenario::default()
    });
    // Excess load must not reduce the number of answers on time.
    assert!(
        overload.on_time * 100 >= normal.on_time * 95,
        "{normal:?} {overload:?}"
    );
    assert!(overload.late * 10 <= overload.on_time, "{overload:?}");
    // Requests are rejected before their answers would have been late.
    assert!(
        overload.longest_time_to_rejection <= ms(450),
        "{overload:?}"
    );
}

#[test]
fn an_idle_engine_that_becomes_available_is_filled_without_late_answers() {
    let results = simulate(&Scenario {
        engines: 4,
        requests_per_second: 30.0,
        duration: Duration::from_secs(12),
        // The first engine accepts no requests for two seconds.
        unavailable: vec![(0, ms(4000), ms(6000))],
        ..Scenario::default()
    });
    assert!(results.late * 20 <= results.requests, "{results:?}");
}

#[test]
fn independent_processes_share_an_engine_that_becomes_available() {
    let results = simulate(&Scenario {
        engines: 6,
        processes: 4,
        requests_per_second: 44.0,
        duration: Duration::from_secs(16),
        unavailable: vec![(0, ms(4000), ms(6000))],
        ..Scenario::default()
    });
    assert!(results.late * 20 <= results.requests, "{results:?}");
}

#[test]
fn several_processes_keep_answers_on_time_at_twice_the_capacity() {
    let overload = simulate(&Scenario {
        engines: 6,
        processes: 4,
        requests_per_second: 96.0,
        duration: Duration::from_secs(20),
        ..Scenario::default()
    });
    // Six engines answer about 48 requests per second on time.
    assert!(overload.on_time >= 48 * 20 * 8 / 10, "{overload:?}");
    assert!(overload.late * 5 <= overload.on_time, "{overload:?}");
}

#[test]
fn engines_that_become_available_in_turn_are_not_overloaded() {
    let window = |i: usize| (i, ms(4000 + 600 * i as u64), ms(6300 + 600 * i as u64));
    let results = simulate(&Scenario {
        engines: 6,
        processes: 4,
        requests_per_second: 44.0,
        duration: Duration::from_secs(12),
        unavailable: (0..6).map(window).collect(),
        ..Scenario::default()
    });
    assert!(results.late * 20 <= results.requests, "{results:?}");
}

/// Most engines become available at about the same time to many processes, each of which knows only
/// its own requests. Agents that count the requests of all processes keep the answers on time.
#[test]
fn reservations_prevent_overload_of_engines_that_become_available_together() {
    let window = |engine| (engine, ms(1000), ms(5000 + 100 * engine as u64));
    let scenario = Scenario {
        engines: 8,
        processes: 11,
        requests_per_second: 80.0,
        unavailable: (0..6).map(window).collect(),
        has_agents: true,
        ..Scenario::default()
    };
    let results = simulate(&scenario);
    let answered = results.on_time + results.late;
    assert!(results.late * 20 <= answered, "{results:?}");
    assert!(results.on_time * 2 >= results.requests, "{results:?}");
}

/// Many processes receive a third more load than the engines can handle.
#[test]
fn reservations_keep_answers_on_time_under_overload() {
    let scenario = Scenario {
        engines: 6,
        processes: 11,
        requests_per_second: 90.0,
        has_agents: true,
        ..Scenario::default()
    };
    let results = simulate(&scenario);
    let answered = results.on_time + results.late;
    assert!(results.late * 20 <= answered, "{results:?}");
    assert!(results.on_time * 2 >= results.requests, "{results:?}");
    assert!(results.longest_time_to_rejection <= ms(450), "{results:?}");
}

/// A third more load than the engines can handle, and every rejected caller tries once more. The
/// callers that return must not displace others that can still be answered on time.
#[test]
fn callers_that_return_do_not_make_others_late_under_overload() {
    let scenario = Scenario {
        engines: 6,
        processes: 5,
        requests_per_second: 80.0,
        duration: Duration::from_secs(20),
        has_agents: true,
        callers_return: true,
        ..Scenario::default()
    };
    let results = simulate(&scenario);
    let answered = results.on_time + results.late;
    assert!(results.late * 10 <= answered, "{results:?}");
    // Six engines answer about 48 requests per second on time.
    assert!(results.on_time >= 48 * 20 * 8 / 10, "{results:?}");
}

/// Callers return when the overload has ended, and are served.
#[test]
fn callers_that_return_after_a_burst_are_served() {
    let scenario = Scenario {
        engines: 6,
        processes: 5,
        requests_per_second: 40.0,
        duration: Duration::from_secs(20),
        has_agents: true,
        callers_return: true,
        // No engine accepts requests for a moment.
        unavailable: (0..6).map(|engine| (engine, ms(8000), ms(9000))).collect(),
        ..Scenario::default()
    };
    let results = simulate(&scenario);
    assert!(results.rejected >= 10, "{results:?}");
    assert!(results.unserved * 5 <= results.rejected, "{results:?}");
}
