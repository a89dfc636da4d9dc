//! `poison`: a request that crashes the engine that runs it is sent repeatedly through every entry.

use std::time::Duration;

use argh::FromArgs;
use fleet::{
    Client,
    Fleet, //
};
use serde_json::{
    json,
    Value, //
};

use crate::setup;

/// Repeatedly send a request that crashes targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "poison")]
pub(crate) struct Arguments {
    /// the number of model targets
    #[argh(option, default = "9")]
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

/// How often the caller sends the request.
const ATTEMPTS: usize = 12;

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let measured = measure(arguments, false).await?;
    let baseline = measure(arguments, true).await?;
    Ok(setup::report("poison", arguments.seed, measured, baseline))
}

async fn measure(arguments: &Arguments, is_baseline: bool) -> Result<Value, String> {
    let mut layout = setup::request_layout(arguments.targets, arguments.seed);
    layout.entries = 4;
    let fleet = setup::start_fleet(layout).await?;
    let addresses = if is_baseline {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    let client = Client::new(fleet.clock().clone());
    for attempt in 0..ATTEMPTS {
        let address = addresses[attempt % addresses.len()];
        // The caller sends the request again regardless of the result.
        let _ignored = client
            .complete(address, "head-office", "crash the engine", 4)
            .await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let crashes = crash_count(&fleet);
    let other_request = client
        .complete(addresses[0], "head-office", "a carton", 4)
        .await;
    fleet.stop();
    Ok(json!({
        "sendings": ATTEMPTS,
        "targets_lost": crashes,
        "innocent_answered": other_request.is_ok(),
    }))
}

fn crash_count(fleet: &Fleet) -> u64 {
    let targets = fleet.targets();
    targets
        .values()
        .map(|target| target.engine.counters().crashes)
        .sum()
}
