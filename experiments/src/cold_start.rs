//! `cold-start`: engines turn cold without warning under load.

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
    /// model targets
    #[argh(option, default = "6")]
    pub targets: usize,
    /// the seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON, which is the only form there is
    #[argh(switch)]
    #[expect(
        dead_code,
        reason = "accepted so that every experiment is called alike"
    )]
    pub json: bool,
}

/// Load as a share of all request slots.
const LOAD: f64 = 0.7;

/// Restarts, one target after the other.
const RESTARTS: usize = 6;

/// Time between restarts.
const BETWEEN: Duration = Duration::from_secs(3);

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

async fn measure(arguments: &Arguments, plain: bool) -> Result<Value, String> {
    let mut layout = setup::request_layout(arguments.targets, arguments.seed);
    layout.engine.cold_time = Duration::from_secs(1);
    layout.cold_time = Duration::from_millis(1200);
    let full = layout.full_limit;
    let shape = setup::load_shape(&layout, LOAD);
    let fleet = setup::start(layout).await?;
    let addresses = if plain {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    let load = Load::start(&shape, addresses, fleet.clock().clone());
    tokio::time::sleep(BETWEEN).await;
    let names: Vec<Name> = fleet.targets().into_keys().collect();
    let mut to_full = Vec::new();
    for restart in 0..RESTARTS {
        let name = &names[restart % names.len()];
        fleet.targets()[name].engine.crash();
        if let Some(time) = wait_full(&fleet, name, full).await {
            to_full.push(time.as_secs_f64());
        }
    }
    let tally = load.finish().await;
    let beyond: u64 = fleet
        .targets()
        .values()
        .map(|t| t.engine.counts().beyond_cold)
        .sum();
    to_full.sort_unstable_by(f64::total_cmp);
    let mut value = setup::tally_value(&tally);
    value["work_beyond_limit"] = json!(beyond);
    value["restarts"] = json!(RESTARTS);
    value["seconds_to_full"] = if plain {
        Value::Null
    } else {
        json!(to_full.get(to_full.len() / 2))
    };
    fleet.stop();
    Ok(value)
}

/// The time until the agent lets the target run its full limit again.
async fn wait_full(fleet: &Fleet, name: &Name, full: u32) -> Option<Duration> {
    let clock = fleet.clock();
    let started = clock.now().elapsed;
    let mut fell = false;
    let mut at_full = None;
    while clock.now().elapsed - started < BETWEEN {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let limit = fleet.statuses().await.get(name).map_or(0, |s| s.limit);
        fell |= limit < full;
        if fell && limit >= full && at_full.is_none() {
            at_full = Some(clock.now().elapsed - started);
        }
    }
    at_full
}
