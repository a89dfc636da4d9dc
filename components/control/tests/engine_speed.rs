//! Engines whose speed changes several times a second, and answers of very different length.

mod engines;

use std::time::Duration;

use engines::{
    simulate,
    Results,
    Scenario,
    SpeedChanges,
    SpeedFigures, //
};

/// Single runs differ by a tenth in their late answers.
const SEEDS: std::ops::Range<u64> = 0..12;

/// Runs at once.
const THREADS: usize = 3;

/// 0.15 of the engines take 2.5 times as long for 600 ms at a time.
fn changing_speed(requests_per_second: f64) -> Scenario {
    Scenario {
        engines: 24,
        processes: 18,
        requests_per_second,
        duration: Duration::from_secs(12),
        has_agents: true,
        speed: Some(SpeedChanges {
            slow_share: 0.15,
            factor: 2.5,
            period: Duration::from_millis(600),
        }),
        pause_objective: Some(Duration::from_millis(300)),
        ..Scenario::default()
    }
}

/// The sums of several runs.
fn total(scenario: &Scenario, speed_figures: SpeedFigures) -> Results {
    let seeds: Vec<u64> = SEEDS.collect();
    let run_all = |seeds: &[u64]| {
        std::thread::scope(|scope| {
            let start = |seed: &u64| {
                let scenario = Scenario {
                    speed_figures,
                    seed: *seed,
                    ..scenario.clone()
                };
                scope.spawn(move || simulate(&scenario))
            };
            let runs: Vec<_> = seeds.iter().map(start).collect();
            let results = runs.into_iter().map(|run| run.join().unwrap());
            results.collect::<Vec<_>>()
        })
    };
    let mut sum = Results::default();
    for results in seeds.chunks(THREADS).flat_map(run_all) {
        sum.requests += results.requests;
        sum.on_time += results.on_time;
        sum.late += results.late;
        sum.rejected += results.rejected;
        sum.unserved += results.unserved;
        sum.long_requests += results.long_requests;
        sum.long_answered += results.long_answered;
        sum.preempted += results.preempted;
        sum.foreseeably_preempted += results.foreseeably_preempted;
    }
    println!(
        "{speed_figures:?} at {}: {sum:?}",
        scenario.requests_per_second
    );
    sum
}

/// Guards against reports that come too late or are not acted on: 24 engines answer some 175 requests
/// per second.
#[test]
fn answers_are_nearly_as_often_on_time_as_with_the_true_speed() {
    for requests_per_second in [110.0, 150.0] {
        let scenario = changing_speed(requests_per_second);
        let reported = total(&scenario, SpeedFigures::True);
        let oracle = total(&scenario, SpeedFigures::Oracle);
        assert!(
            f64::from(reported.late) <= 1.2 * f64::from(oracle.late),
            "{requests_per_second}: {reported:?}, oracle: {oracle:?}"
        );
    }
}

/// Guards against trust in figures that the measurements contradict.
fn assert_no_worse_than_without_figures(wrong: SpeedFigures) {
    let scenario = changing_speed(150.0);
    let without = total(&scenario, SpeedFigures::Missing);
    let results = total(&scenario, wrong);
    assert!(
        results.late <= without.late,
        "{wrong:?}: {results:?}, without: {without:?}"
    );
}

#[test]
fn figure_that_is_always_normal_makes_no_answers_late() {
    assert_no_worse_than_without_figures(SpeedFigures::Always(100));
}

#[test]
fn figure_that_is_always_slow_makes_no_answers_late() {
    assert_no_worse_than_without_figures(SpeedFigures::Always(250));
}

#[test]
fn figure_unrelated_to_the_speed_makes_no_answers_late() {
    assert_no_worse_than_without_figures(SpeedFigures::Unrelated);
}

#[test]
fn figure_opposite_to_the_speed_makes_no_answers_late() {
    assert_no_worse_than_without_figures(SpeedFigures::Inverted);
}

/// Guards against engines that take more requests than their memory holds, and against rules that are
/// met by refusing long answers. The memory holds the answers of about 14 of 16 requests.
#[test]
fn long_answers_are_served_and_preempt_no_requests() {
    let scenario = Scenario {
        has_long_answers: true,
        memory_tokens: Some(16_000),
        ..changing_speed(150.0)
    };
    let results = total(&scenario, SpeedFigures::True);
    let answered = f64::from(results.on_time + results.late) / f64::from(results.requests);
    let long = f64::from(results.long_answered) / f64::from(results.long_requests);
    assert!(long >= answered / 2.0, "{long} of {answered}: {results:?}");
    assert_eq!(results.foreseeably_preempted, 0, "{results:?}");
}
