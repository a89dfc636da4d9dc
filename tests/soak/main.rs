//! A randomized soak of the real programs: separate processes before stand-ins, with faults from
//! outside, and the promises checked from what callers and targets see.
//!
//! `SOAK_SEEDS=1..50 SOAK_SECONDS=30 cargo test --release --test soak -- --nocapture` runs more.
//! Seeds that failed once stay in [`REGRESSIONS`].

mod callers;
mod checks;
mod processes;
mod proxy;
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;
mod world;

use std::time::Duration;

use world::World;

/// Seeds that CI runs, for a few seconds each.
const CI_SEEDS: [u64; 2] = [1, 2];

/// Seeds that failed once, with the cause.
const REGRESSIONS: [(u64, &str); 0] = [];

/// How long CI runs one seed.
const CI_TIME: Duration = Duration::from_secs(6);

/// How long after the last fault everything must work again.
const RECOVERY: Duration = Duration::from_secs(12);

fn run(seed: u64, time: Duration) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let (broken, world_summary) = runtime.block_on(async {
        let mut world = World::start(seed).await;
        world.shake(time).await;
        world.calm(RECOVERY).await;
        let broken = checks::check(&world);
        world.keep_logs(!broken.is_empty());
        (broken, checks::summary(&world))
    });
    println!(
        "seed {seed}: {} promises broken; {}",
        broken.len(),
        world_summary
    );
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
}

#[test]
fn promises_hold_while_processes_and_links_fail() {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.map(|s| s.parse().expect("SOAK_SECONDS is a number of seconds"));
    let time = seconds.map_or(CI_TIME, Duration::from_secs);
    let seeds: Vec<u64> = match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("SOAK_SEEDS is FROM..TO");
            (from.parse().unwrap()..to.parse().unwrap()).collect()
        }
        Err(_) => {
            let old = REGRESSIONS.iter().map(|(seed, _)| *seed);
            CI_SEEDS.into_iter().chain(old).collect()
        }
    };
    for seed in seeds {
        run(seed, time);
    }
}
