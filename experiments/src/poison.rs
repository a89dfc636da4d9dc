//! `poison`: one request that crashes whatever runs it, sent again over every entry.

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

/// Send a request that crashes targets, again and again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "poison")]
pub(crate) struct Arguments {
    /// model targets
    #[argh(option, default = "9")]
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

/// How often the caller sends it.
const SENDINGS: usize = 12;

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let measured = measure(arguments, false).await?;
    let baseline = measure(arguments, true).await?;
    Ok(setup::report("poison", arguments.seed, measured, baseline))
}

async fn measure(arguments: &Arguments, plain: bool) -> Result<Value, String> {
    let mut layout = setup::request_layout(arguments.targets, arguments.seed);
    layout.entries = 4;
    let fleet = setup::start(layout).await?;
    let addresses = if plain {
        setup::engine_addresses(&fleet)
    } else {
        fleet.caller_addresses()
    };
    let client = Client::new(fleet.clock().clone());
    for sending in 0..SENDINGS {
        let address = addresses[sending % addresses.len()];
        // Whatever comes back, the caller sends it again.
        let _refused = client
            .complete(address, "head-office", "crash the engine", 4)
            .await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let lost = lost(&fleet);
    let innocent = client
        .complete(addresses[0], "head-office", "a carton", 4)
        .await;
    fleet.stop();
    Ok(json!({
        "sendings": SENDINGS,
        "targets_lost": lost,
        "innocent_answered": innocent.is_ok(),
    }))
}

fn lost(fleet: &Fleet) -> u64 {
    let targets = fleet.targets();
    targets.values().map(|t| t.engine.counts().crashes).sum()
}
