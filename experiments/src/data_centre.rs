//! `data-centre`: a data centre is taken out of service and back under load.

use std::time::Duration;

use argh::FromArgs;
use fleet::{
    Fleet,
    Load, //
};
use serde_json::Value;
use sheet::DataCentreState;

use crate::setup;

/// Take a data centre out of service and back under load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "data-centre")]
pub(crate) struct Arguments {
    /// the number of model targets
    #[argh(option, default = "12")]
    pub targets: usize,
    /// the share of all request slots that callers keep busy
    #[argh(option, default = "0.7")]
    pub load: f64,
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

/// The data centre that is taken out of service.
const DATA_CENTRE: &str = "tamale-a";

/// The time after which a data centre that was taken out must get no new requests.
const OUT_GRACE: Duration = Duration::from_secs(3);

/// The duration of each of the three phases: before, out of service, and back.
const PHASE_TIME: Duration = Duration::from_secs(6);

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

/// Takes the data centre out of service and back. In the baseline, requests go to the engines in
/// turn, as with a load balancer that reads the sheet only every few seconds.
async fn measure(arguments: &Arguments, is_baseline: bool) -> Result<Value, String> {
    let layout = setup::request_layout(arguments.targets, arguments.seed);
    let options = setup::load_options(&layout, arguments.load);
    let fleet = setup::start_fleet(layout).await?;
    let addresses = if is_baseline {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    let load = Load::start(&options, addresses, fleet.clock().clone());
    tokio::time::sleep(PHASE_TIME).await;
    fleet.set_data_centre_state(DATA_CENTRE, DataCentreState::Out);
    tokio::time::sleep(OUT_GRACE).await;
    let started_before = started_requests(&fleet);
    tokio::time::sleep(PHASE_TIME - OUT_GRACE).await;
    let new_requests = started_requests(&fleet) - started_before;
    // The machines are switched off while out of service, so the engines come back cold.
    for name in target_names(&fleet) {
        fleet.targets()[&name].engine.crash();
    }
    fleet.set_data_centre_state(DATA_CENTRE, DataCentreState::In);
    tokio::time::sleep(PHASE_TIME).await;
    let requests_after_return = started_requests(&fleet) - started_before - new_requests;
    let results = load.finish().await;
    let mut value = setup::results_to_json(&results);
    value["new_work_after_3s"] = new_requests.into();
    value["work_after_return"] = requests_after_return.into();
    value["engine_crashes"] = unplanned_crashes(&fleet).into();
    fleet.stop();
    Ok(value)
}

fn target_names(fleet: &Fleet) -> Vec<utils::Name> {
    let sheet = fleet.sheet();
    sheet.models[fleet::MODEL].instances[DATA_CENTRE].clone()
}

/// Counts the requests that have started in the data centre so far.
fn started_requests(fleet: &Fleet) -> u64 {
    let targets = fleet.targets();
    let names = target_names(fleet);
    names
        .iter()
        .map(|name| targets[name].engine.counters().started_requests)
        .sum()
}

/// Counts the crashes of engines, without the planned restarts.
fn unplanned_crashes(fleet: &Fleet) -> u64 {
    let targets = fleet.targets();
    let all: u64 = targets
        .values()
        .map(|target| target.engine.counters().crashes)
        .sum();
    all - target_names(fleet).len() as u64
}
