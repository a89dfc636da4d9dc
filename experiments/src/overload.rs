//! `overload`: one, two and four times what the targets bear.

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

/// The time of each load.
const LENGTH: Duration = Duration::from_secs(8);

/// The part of the callers that belong to the large team; its share of the capacity is a quarter.
const LARGE: f64 = 0.7;

/// Teams by the sheet of the fleet, with their part of the callers.
const TEAMS: [(&str, f64); 4] = [
    ("kumasi-studio", LARGE),
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

async fn measure(arguments: &Arguments, plain: bool) -> Result<Value, String> {
    let mut value = json!({});
    for times in [1_u32, 2, 4] {
        let tally = load(arguments, f64::from(times), plain).await?;
        let useful = (tally.answered - tally.late) as f64 / LENGTH.as_secs_f64();
        value[format!("useful_{times}x")] = json!(useful);
        value[format!("at_{times}x")] = setup::tally_value(&tally);
        if times == 4 {
            value["team_shares"] = json!(team_shares(&tally));
        }
    }
    Ok(value)
}

async fn load(arguments: &Arguments, times: f64, plain: bool) -> Result<Tally, String> {
    let layout = setup::request_layout(arguments.targets, arguments.seed);
    let shape = shape(&setup::load_shape(&layout, times));
    let fleet = setup::start(layout).await?;
    let addresses = if plain {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    // The limits rise under load; what is measured begins after that.
    let warm_up = setup::load_shape(fleet.layout(), 1.0);
    let clock = fleet.clock().clone();
    let warming = Load::start(&warm_up, addresses.clone(), clock.clone());
    tokio::time::sleep(Duration::from_secs(3)).await;
    warming.finish().await;
    let load = Load::start(&shape, addresses, clock);
    tokio::time::sleep(LENGTH).await;
    let tally = load.tally();
    load.finish().await;
    fleet.stop();
    Ok(tally)
}

/// Deals the callers out to the teams.
fn shape(all: &LoadShape) -> LoadShape {
    let count: usize = all.callers.iter().map(|(_, count)| count).sum();
    let callers = TEAMS.map(|(team, part)| {
        let part = (count as f64 * part).round() as usize;
        (team.to_owned(), part.max(1))
    });
    LoadShape {
        callers: callers.to_vec(),
        ..all.clone()
    }
}

/// Each team's part of all answers.
fn team_shares(tally: &Tally) -> Value {
    let shares = tally.by_team.iter().map(|(team, count)| {
        let part = *count as f64 / tally.answered.max(1) as f64;
        (team.clone(), json!(part))
    });
    Value::Object(shares.collect())
}
