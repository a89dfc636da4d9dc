//! `orders`: requests that may run once, sent again and again over every entry, while agents are
//! restarted, paused and cut off and services cut their answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use fleet::{
    Client,
    Failure,
    Fleet, //
};
use http::Method;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use serde_json::{
    json,
    Value, //
};
use standins::ServiceSwitches;
use tokio::task::JoinSet;
use utils::Name;

use crate::setup;

/// Send orders again over every entry under faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "orders")]
pub(crate) struct Arguments {
    /// orders in all
    #[argh(option, default = "120")]
    pub keys: usize,
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

/// Orders under way at once.
const AT_ONCE: usize = 12;

/// The longest wait of a caller before it sends an order, so that orders meet all faults.
const LONGEST_WAIT_MS: u64 = 2000;

/// Sendings of one order at most.
const SENDINGS: usize = 5;

/// What came of one order.
struct Order {
    text: String,
    sendings: u64,
    refused: u64,
    false_not_run: u64,
    settled: bool,
}

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let measured = measure(arguments, false).await?;
    let baseline = measure(arguments, true).await?;
    Ok(setup::report("orders", arguments.seed, measured, baseline))
}

/// With `plain`, callers send to the services in turn and again after every failure.
async fn measure(arguments: &Arguments, plain: bool) -> Result<Value, String> {
    let mut layout = setup::request_layout(3, arguments.seed);
    layout.services = 3;
    layout.entries = 3;
    layout.agent.at_most_once.max_clock_skew = Duration::from_millis(500);
    let fleet = Arc::new(setup::start(layout).await?);
    // Keys need homes that were up before they were issued, by more than the skew.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let faults = tokio::spawn(break_things(fleet.clone(), arguments.seed));
    let mut tasks = JoinSet::new();
    let mut orders = Vec::new();
    for number in 0..arguments.keys {
        while tasks.len() >= AT_ONCE {
            orders.extend(tasks.join_next().await.and_then(Result::ok));
        }
        let seed = arguments.seed * 1000 + number as u64;
        tasks.spawn(send_order(fleet.clone(), number, seed, plain));
    }
    while let Some(order) = tasks.join_next().await {
        orders.extend(order.ok());
    }
    faults.abort();
    let runs = runs(&fleet);
    let most = orders
        .iter()
        .map(|o| runs.get(&o.text).copied().unwrap_or(0));
    let sum = |count: fn(&Order) -> u64| orders.iter().map(count).sum::<u64>();
    let value = json!({
        "keys": orders.len(),
        "keys_that_ran": runs.len(),
        "keys_settled": orders.iter().filter(|o| o.settled).count(),
        "sendings": sum(|o| o.sendings),
        "max_runs_per_key": most.max(),
        "refused_share": sum(|o| o.refused) as f64 / sum(|o| o.sendings).max(1) as f64,
        "false_not_run": sum(|o| o.false_not_run),
    });
    fleet.stop();
    Ok(value)
}

/// How often each order ran, over all services.
fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in fleet.services().values() {
        for (order, count) in service.service.runs() {
            *runs.entry(order).or_default() += count;
        }
    }
    runs
}

async fn send_order(fleet: Arc<Fleet>, number: usize, seed: u64, plain: bool) -> Order {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let client = Client::new(fleet.clock().clone());
    let entries = fleet.caller_addresses();
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..LONGEST_WAIT_MS))).await;
    let mut order = Order {
        text: format!("order {number}"),
        sendings: 0,
        refused: 0,
        false_not_run: 0,
        settled: false,
    };
    let header = mark(&client, &entries, number).await;
    let headers: Vec<(&str, &str)> = match &header {
        Some((name, value)) if !plain => vec![(*name, value.as_str())],
        _ => Vec::new(),
    };
    if headers.is_empty() && !plain {
        return order;
    }
    for _ in 0..SENDINGS {
        order.sendings += 1;
        let text = order.text.clone();
        let result = if plain {
            let services: Vec<_> = fleet.services().into_values().collect();
            let service = &services[rng.random_range(0..services.len())].service;
            let address = service.server().address();
            client
                .call(address, Method::POST, "/orders", &[], &text)
                .await
        } else {
            let entry = entries[rng.random_range(0..entries.len())];
            client
                .call(entry, Method::POST, "/orders", &headers, &text)
                .await
        };
        match result {
            Ok(_) => order.settled = true,
            Err(Failure::NotRun { .. }) => {
                order.refused += 1;
                let ran = runs(&fleet).contains_key(&text);
                order.false_not_run += u64::from(ran);
            }
            Err(Failure::Told { code, .. }) if code == "ran" => order.settled = true,
            Err(_) => {}
        }
        // An impatient caller sends again even after a whole answer, now and then.
        if order.settled && (plain || rng.random_bool(0.7)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..120))).await;
    }
    order
}

/// A ticket for every other order, a key for the rest.
async fn mark(
    client: &Client,
    entries: &[std::net::SocketAddr],
    number: usize,
) -> Option<(&'static str, String)> {
    if !number.is_multiple_of(2) {
        return Some(("idempotency-key", uuid::Uuid::now_v7().to_string()));
    }
    for _ in 0..20 {
        let entry = entries[number % entries.len()];
        if let Ok(ticket) = client.ticket(entry).await {
            return Some(("x-ticket", ticket));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    None
}

/// Breaks one thing after the other until it is stopped.
async fn break_things(fleet: Arc<Fleet>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let names: Vec<Name> = fleet.services().into_keys().collect();
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..250))).await;
        let name = &names[rng.random_range(0..names.len())];
        let Some(node) = fleet.services().get(name).cloned() else {
            continue;
        };
        match rng.random_range(0..5) {
            0 => {
                fleet.kill_agent(name);
                if let Err(e) = fleet.start_agent(name).await {
                    eprintln!("experiments: {name} did not start again: {e}");
                }
            }
            1 => {
                if let Some(agent) = node.agent {
                    agent.control().pause(Duration::from_millis(2500));
                }
            }
            2 => {
                fleet.network().cut_instance(name, true);
                tokio::time::sleep(Duration::from_millis(300)).await;
                fleet.network().cut_instance(name, false);
            }
            _ => {
                let switches = |cut_after_run| ServiceSwitches {
                    cut_after_run,
                    delay: Duration::from_millis(5),
                };
                node.service.set(switches(true));
                tokio::time::sleep(Duration::from_millis(200)).await;
                node.service.set(switches(false));
            }
        }
    }
}
