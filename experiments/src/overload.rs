//! `overload`: offers one, two and four times the capacity of the targets.

use std::time::Duration;

use argh::FromArgs;
use fleet::{
    Load,
    LoadShape,
    Tally, //
};
use serde_json::{
    json,
    Value, //
};

use crate::setup;

/// Offer one, two and four times the capacity.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overload")]
pub(crate) struct Arguments {
    /// the number of model targets
    #[argh(option, default = "6")]
    pub targets: usize,
    /// the seed
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

/// The duration of each load.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// The share of callers that belong to the largest team, which is entitled to a quarter of the
/// capacity.
const LARGEST_TEAM_CALLER_SHARE: f64 = 0.7;

/// The teams in the fleet's sheet, with their shares of the callers.
const TEAMS: [(&str, f64); 4] = [
    ("kumasi-studio", LARGEST_TEAM_CALLER_SHARE),
    ("head-office", 0.1),
    ("takoradi-studio", 0.1),
    ("tamale-studio", 0.1),
];

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let measured = measure(arguments, false).await?;
    let baseline = measure(arguments, true).await?;
    Ok(setup::report(
        "overload",
        arguments.seed,
        measured,
        baseline,
    ))
}

async fn measure(arguments: &Arguments, is_baseline: bool) -> Result<Value, String> {
    let mut value = json!({});
    for factor in [1_u32, 2, 4] {
        let tally = run_load(arguments, f64::from(factor), is_baseline).await?;
        let answers_on_time_per_second =
            (tally.answered - tally.late) as f64 / LOAD_TIME.as_secs_f64();
        value[format!("useful_{factor}x")] = json!(answers_on_time_per_second);
        value[format!("at_{factor}x")] = setup::tally_to_json(&tally);
        if factor == 4 {
            value["team_shares"] = json!(team_shares(&tally));
        }
    }
    Ok(value)
}

async fn run_load(arguments: &Arguments, factor: f64, is_baseline: bool) -> Result<Tally, String> {
    let layout = setup::request_layout(arguments.targets, arguments.seed);
    let shape = split_by_team(&setup::load_shape(&layout, factor));
    let fleet = setup::start_fleet(layout).await?;
    let addresses = if is_baseline {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    // The limits rise under load; the measurement starts after that.
    let warm_up_shape = setup::load_shape(fleet.layout(), 1.0);
    let clock = fleet.clock().clone();
    let warm_up = Load::start(&warm_up_shape, addresses.clone(), clock.clone());
    tokio::time::sleep(Duration::from_secs(3)).await;
    warm_up.finish().await;
    let load = Load::start(&shape, addresses, clock);
    tokio::time::sleep(LOAD_TIME).await;
    let tally = load.tally();
    load.finish().await;
    fleet.stop();
    Ok(tally)
}

/// Divides the callers among the teams.
fn split_by_team(all: &LoadShape) -> LoadShape {
    let count: usize = all.callers.iter().map(|(_, count)| count).sum();
    let callers = TEAMS.map(|(team, share)| {
        let team_count = (count as f64 * share).round() as usize;
        (team.to_owned(), team_count.max(1))
    });
    LoadShape {
        callers: callers.to_vec(),
        ..all.clone()
    }
}

/// Each team's share of all answers.
fn team_shares(tally: &Tally) -> Value {
    let shares = tally.by_team.iter().map(|(team, count)| {
        let share = *count as f64 / tally.answered.max(1) as f64;
        (team.clone(), json!(share))
    });
    Value::Object(shares.collect())
}
