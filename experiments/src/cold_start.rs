//! `cold-start`: engines restart without warning under load.

use std::time::Duration;

use argh::FromArgs;
use fleet::{
    Fleet,
    Load, //
};
use serde_json::{
    json,
    Value, //
};
use utils::Name;

use crate::setup;

/// Restart engines without warning under load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cold-start")]
pub(crate) struct Arguments {
    /// the number of model targets
    #[argh(option, default = "6")]
    pub targets: usize,
    /// the seed of the generated weights
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON (the only output format)
    #[argh(switch)]
    #[expect(
        dead_code,
        reason = "accepted so that all experiments take the same flags"
    )]
    pub json: bool,
}

/// The share of all request slots that callers keep busy.
const LOAD_SHARE: f64 = 0.7;

/// The number of restarts, one target after the other.
const RESTART_COUNT: usize = 6;

/// The time between restarts.
const RESTART_INTERVAL: Duration = Duration::from_secs(3);

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let measured = measure(arguments, false).await?;
    let baseline = measure(arguments, true).await?;
    Ok(setup::report(
        "cold-start",
        arguments.seed,
        measured,
        baseline,
    ))
}

async fn measure(arguments: &Arguments, is_baseline: bool) -> Result<Value, String> {
    let mut layout = setup::request_layout(arguments.targets, arguments.seed);
    layout.engine.cold_time = Duration::from_secs(1);
    layout.cold_time = Duration::from_millis(1200);
    let full_limit = layout.full_limit;
    let options = setup::load_options(&layout, LOAD_SHARE);
    let fleet = setup::start_fleet(layout).await?;
    let addresses = if is_baseline {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    let load = Load::start(&options, addresses, fleet.clock().clone());
    tokio::time::sleep(RESTART_INTERVAL).await;
    let names: Vec<Name> = fleet.targets().into_keys().collect();
    let mut recovery_seconds = Vec::new();
    for restart in 0..RESTART_COUNT {
        let name = &names[restart % names.len()];
        fleet.targets()[name].engine.crash();
        if let Some(time) = measure_recovery(&fleet, name, full_limit).await {
            recovery_seconds.push(time.as_secs_f64());
        }
    }
    let results = load.finish().await;
    let requests_over_cold_limit: u64 = fleet
        .targets()
        .values()
        .map(|target| target.engine.counters().over_cold_limit)
        .sum();
    recovery_seconds.sort_unstable_by(f64::total_cmp);
    let mut value = setup::results_to_json(&results);
    value["work_beyond_limit"] = json!(requests_over_cold_limit);
    value["restarts"] = json!(RESTART_COUNT);
    value["seconds_to_full"] = if is_baseline {
        Value::Null
    } else {
        json!(recovery_seconds.get(recovery_seconds.len() / 2))
    };
    fleet.stop();
    Ok(value)
}

/// Returns the time until the agent allows the full limit of the target again, or `None` if it does
/// not within `RESTART_INTERVAL`. Always takes that interval, so that restarts are evenly spaced.
async fn measure_recovery(fleet: &Fleet, name: &Name, full_limit: u32) -> Option<Duration> {
    let clock = fleet.clock();
    let started = clock.now().elapsed;
    let mut has_dropped = false;
    let mut recovered_after = None;
    while clock.now().elapsed - started < RESTART_INTERVAL {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let limit = fleet.statuses().await.get(name).map_or(0, |s| s.limit);
        has_dropped |= limit < full_limit;
        if has_dropped && limit >= full_limit && recovered_after.is_none() {
            recovered_after = Some(clock.now().elapsed - started);
        }
    }
    recovered_after
}
