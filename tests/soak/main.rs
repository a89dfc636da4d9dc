//! A randomized soak test of the real binary: separate processes with a stand-in store and targets.
//! Faults are injected from outside, and the guarantees are checked against the observations of
//! callers and targets. Each seed draws one of the cases in `engine_faults.rs` and how many faults there are.
//! Beside the faults there is planned work: changes of the configuration, see `configuration.rs`, SIGHUP and
//! SIGTERM.
//!
//! `SOAK_SEEDS=1..50 SOAK_SECONDS=30 cargo test --release --test soak -- --nocapture` runs more
//! seeds for longer.
//! Seeds that failed once are kept in [`REGRESSION_SEEDS`].

mod callers;
mod checks;
mod configuration;
mod engine_faults;
mod environment;
mod history;
mod processes;
mod proxy;
mod stalls;
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

use std::time::Duration;

use environment::Environment;

/// The seeds that CI runs. They draw a slow store, all faults of engines and late acceptance.
const CI_SEEDS: [u64; 3] = [1, 2, 18];

/// Seeds that failed once, with the cause.
const REGRESSION_SEEDS: [(u64, &str); 1] = [(
    600,
    "a silent engine accepted an order seconds after its pieces were checked, and one had become corrupt",
)];

/// How long CI injects faults for each seed.
const CI_FAULT_TIME: Duration = Duration::from_secs(10);

/// The time after the last fault within which the system must work again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Runs one seed, and returns the violations.
fn run_seed(seed: u64, time: Duration) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let (violations, summary) = runtime.block_on(async {
        let mut environment = Environment::start(seed).await;
        environment.run_with_faults(time).await;
        environment.run_without_faults(RECOVERY_TIME).await;
        let violations = checks::find_violations(&environment);
        environment.keep_or_delete_logs(!violations.is_empty());
        (violations, checks::summary(&environment))
    });
    println!(
        "seed {seed}: {} guarantees violated; {summary}",
        violations.len()
    );
    for violation in &violations {
        println!("seed {seed}: {violation}");
    }
    violations
}

#[test]
fn guarantees_hold_while_processes_and_links_fail() {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.map(|s| s.parse().expect("SOAK_SECONDS is a number of seconds"));
    let time = seconds.map_or(CI_FAULT_TIME, Duration::from_secs);
    let seeds: Vec<u64> = match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("SOAK_SEEDS is FROM..TO");
            (from.parse().unwrap()..to.parse().unwrap()).collect()
        }
        Err(_) => {
            let regressions = REGRESSION_SEEDS.iter().map(|(seed, _)| *seed);
            CI_SEEDS.into_iter().chain(regressions).collect()
        }
    };
    let mut failed = seeds;
    failed.retain(|seed| !run_seed(*seed, time).is_empty());
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
}
