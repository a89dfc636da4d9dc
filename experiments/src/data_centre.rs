//! `data-centre`: a data centre leaves and returns under load.

use std::time::Duration;

use argh::FromArgs;
use fleet::{
    Fleet,
    Load, //
};
use serde_json::Value;
use sheet::DataCentreState;

use crate::setup;

/// Take a data centre out and back under load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "data-centre")]
pub(crate) struct Arguments {
    /// model targets
    #[argh(option, default = "12")]
    pub targets: usize,
    /// the share of all request slots that callers keep busy
    #[argh(option, default = "0.7")]
    pub load: f64,
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

/// The data centre that leaves.
const LEAVES: &str = "tamale-a";

/// When it may get nothing new any more.
const OUT_WITHIN: Duration = Duration::from_secs(3);

/// The time of each of the three parts: before, out, back.
const PART: Duration = Duration::from_secs(6);

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let measured = measure(arguments, false).await?;
    let baseline = measure(arguments, true).await?;
    Ok(setup::report(
        "data-centre",
        arguments.seed,
        measured,
        baseline,
    ))
}

/// With `plain`, callers go round robin over the engines, as a balancer that looks at the sheet
/// every few seconds would send them.
async fn measure(arguments: &Arguments, plain: bool) -> Result<Value, String> {
    let layout = setup::request_layout(arguments.targets, arguments.seed);
    let shape = setup::load_shape(&layout, arguments.load);
    let fleet = setup::start(layout).await?;
    let addresses = if plain {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    let load = Load::start(&shape, addresses, fleet.clock().clone());
    tokio::time::sleep(PART).await;
    fleet.set_data_centre(LEAVES, DataCentreState::Out);
    tokio::time::sleep(OUT_WITHIN).await;
    let began = began(&fleet);
    tokio::time::sleep(PART - OUT_WITHIN).await;
    let new_work = self::began(&fleet) - began;
    // The machines are switched off while they are out, and come back cold.
    for name in names(&fleet) {
        fleet.targets()[&name].engine.crash();
    }
    fleet.set_data_centre(LEAVES, DataCentreState::In);
    tokio::time::sleep(PART).await;
    let returned = self::began(&fleet) - began - new_work;
    let tally = load.finish().await;
    let mut value = setup::tally_value(&tally);
    value["new_work_after_3s"] = new_work.into();
    value["work_after_return"] = returned.into();
    value["engine_crashes"] = crashes(&fleet).into();
    fleet.stop();
    Ok(value)
}

fn names(fleet: &Fleet) -> Vec<utils::Name> {
    let sheet = fleet.sheet();
    sheet.models[fleet::MODEL].instances[LEAVES].clone()
}

/// Requests that began in the data centre so far.
fn began(fleet: &Fleet) -> u64 {
    let targets = fleet.targets();
    let names = names(fleet);
    names.iter().map(|n| targets[n].engine.counts().began).sum()
}

/// Engines that fell over, without the planned restarts.
fn crashes(fleet: &Fleet) -> u64 {
    let targets = fleet.targets();
    let all: u64 = targets.values().map(|t| t.engine.counts().crashes).sum();
    all - names(fleet).len() as u64
}
