//! `overload`: offers one, two and four times the capacity of the targets.

use std::time::Duration;

use argh::FromArgs;
use fleet::{
    Load,
    LoadOptions,
    LoadResults, //
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
        let results = run_load(arguments, f64::from(factor), is_baseline).await?;
        let answers_on_time_per_second =
            (results.answered - results.late_answers) as f64 / LOAD_TIME.as_secs_f64();
        value[format!("useful_{factor}x")] = json!(answers_on_time_per_second);
        value[format!("at_{factor}x")] = setup::results_to_json(&results);
        if factor == 4 {
            value["team_shares"] = json!(team_shares(&results));
        }
    }
    Ok(value)
}

async fn run_load(
    arguments: &Arguments,
    factor: f64,
    is_baseline: bool,
) -> Result<LoadResults, String> {
    let layout = setup::request_layout(arguments.targets, arguments.seed);
    let options = split_by_team(&setup::load_options(&layout, factor));
    let fleet = setup::start_fleet(layout).await?;
    let addresses = if is_baseline {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    // The limits rise under load; the measurement starts after that.
    let warm_up_options = setup::load_options(fleet.layout(), 1.0);
    let clock = fleet.clock().clone();
    let warm_up = Load::start(&warm_up_options, addresses.clone(), clock.clone());
    tokio::time::sleep(Duration::from_secs(3)).await;
    warm_up.finish().await;
    let load = Load::start(&options, addresses, clock);
    tokio::time::sleep(LOAD_TIME).await;
    let results = load.results();
    load.finish().await;
    fleet.stop();
    Ok(results)
}

/// Divides the callers among the teams.
fn split_by_team(all: &LoadOptions) -> LoadOptions {
    let count: usize = all.callers_per_team.iter().map(|(_, count)| count).sum();
    let callers_per_team = TEAMS.map(|(team, share)| {
        let team_count = (count as f64 * share).round() as usize;
        (team.to_owned(), team_count.max(1))
    });
    LoadOptions {
        callers_per_team: callers_per_team.to_vec(),
        ..all.clone()
    }
}

/// Returns each team's share of all answers.
fn team_shares(results: &LoadResults) -> Value {
    let shares = results.answers_by_team.iter().map(|(team, count)| {
        let share = *count as f64 / results.answered.max(1) as f64;
        (team.clone(), json!(share))
    });
    Value::Object(shares.collect())
}
