//! `orders`: requests that may run at most once are retried through every entry, while agents are
//! restarted, paused and disconnected, and services abort their responses.

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
use standins::ServiceFaults;
use tokio::task::JoinSet;
use utils::Name;

use crate::setup;

/// Retry orders through every entry under faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "orders")]
pub(crate) struct Arguments {
    /// the number of orders
    #[argh(option, default = "120")]
    pub keys: usize,
    /// the seed of the generated weights, the faults and the behaviour of callers
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

/// The number of orders that are sent concurrently.
const MAX_CONCURRENT_ORDERS: usize = 12;

/// The longest random delay before a caller sends an order, so that orders coincide with all
/// faults.
const MAX_START_DELAY_MS: u64 = 2000;

/// How often one order is sent at most.
const MAX_ATTEMPTS: usize = 5;

/// The result of one order.
struct OrderResult {
    text: String,
    attempts: u64,
    refusals: u64,
    /// Refusals that said that the order was not run although it was.
    false_refusals: u64,
    is_settled: bool,
}

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let measured = measure(arguments, false).await?;
    let baseline = measure(arguments, true).await?;
    Ok(setup::report("orders", arguments.seed, measured, baseline))
}

/// Sends all orders while faults are injected. In the baseline, callers send them directly to
/// random services, and again after every failure.
async fn measure(arguments: &Arguments, is_baseline: bool) -> Result<Value, String> {
    let mut layout = setup::request_layout(3, arguments.seed);
    layout.services = 3;
    layout.entries = 3;
    layout.agent.at_most_once.max_clock_skew = Duration::from_millis(500);
    let fleet = Arc::new(setup::start_fleet(layout).await?);
    // The home of a key must have been up for longer than the clock skew when the key is issued.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let faults = tokio::spawn(inject_faults(fleet.clone(), arguments.seed));
    let mut tasks = JoinSet::new();
    let mut orders = Vec::new();
    for number in 0..arguments.keys {
        while tasks.len() >= MAX_CONCURRENT_ORDERS {
            orders.extend(tasks.join_next().await.and_then(Result::ok));
        }
        let seed = arguments.seed * 1000 + number as u64;
        tasks.spawn(send_order(fleet.clone(), number, seed, is_baseline));
    }
    while let Some(order) = tasks.join_next().await {
        orders.extend(order.ok());
    }
    faults.abort();
    let runs = runs_by_order(&fleet);
    let run_counts = orders
        .iter()
        .map(|order| runs.get(&order.text).copied().unwrap_or(0));
    let sum = |count: fn(&OrderResult) -> u64| orders.iter().map(count).sum::<u64>();
    let attempts = sum(|order| order.attempts);
    let refusals = sum(|order| order.refusals);
    let value = json!({
        "keys": orders.len(),
        "keys_that_ran": runs.len(),
        "keys_settled": orders.iter().filter(|order| order.is_settled).count(),
        "sendings": attempts,
        "max_runs_per_key": run_counts.max(),
        "refused_share": refusals as f64 / attempts.max(1) as f64,
        "false_not_run": sum(|order| order.false_refusals),
    });
    fleet.stop();
    Ok(value)
}

/// Returns how often each order ran, over all services.
fn runs_by_order(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in fleet.services().values() {
        for (order, count) in service.service.run_counts() {
            *runs.entry(order).or_default() += count;
        }
    }
    runs
}

async fn send_order(fleet: Arc<Fleet>, number: usize, seed: u64, is_baseline: bool) -> OrderResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let client = Client::new(fleet.clock().clone());
    let entries = fleet.caller_addresses();
    tokio::time::sleep(Duration::from_millis(
        rng.random_range(0..MAX_START_DELAY_MS),
    ))
    .await;
    let mut order = OrderResult {
        text: format!("order {number}"),
        attempts: 0,
        refusals: 0,
        false_refusals: 0,
        is_settled: false,
    };
    let header = identifying_header(&client, &entries, number).await;
    let headers: Vec<(&str, &str)> = match &header {
        Some((name, value)) if !is_baseline => vec![(*name, value.as_str())],
        _ => Vec::new(),
    };
    if headers.is_empty() && !is_baseline {
        return order;
    }
    for _ in 0..MAX_ATTEMPTS {
        order.attempts += 1;
        let text = order.text.clone();
        let result = if is_baseline {
            let services: Vec<_> = fleet.services().into_values().collect();
            let service = &services[rng.random_range(0..services.len())].service;
            let address = service.server().address();
            client
                .call_service(address, Method::POST, "/orders", &[], &text)
                .await
        } else {
            let entry = entries[rng.random_range(0..entries.len())];
            client
                .call_service(entry, Method::POST, "/orders", &headers, &text)
                .await
        };
        match result {
            Ok(_) => order.is_settled = true,
            Err(Failure::NotRun { .. }) => {
                order.refusals += 1;
                let has_run = runs_by_order(&fleet).contains_key(&text);
                order.false_refusals += u64::from(has_run);
            }
            Err(Failure::ErrorResponse { code, .. }) if code == "ran" => order.is_settled = true,
            Err(_) => {}
        }
        // Some callers send the order again even after a complete response.
        if order.is_settled && (is_baseline || rng.random_bool(0.7)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..120))).await;
    }
    order
}

/// Returns the header that identifies an order: a ticket for every other order, an idempotency key
/// for the rest.
async fn identifying_header(
    client: &Client,
    entries: &[std::net::SocketAddr],
    number: usize,
) -> Option<(&'static str, String)> {
    if !number.is_multiple_of(2) {
        return Some(("idempotency-key", uuid::Uuid::now_v7().to_string()));
    }
    for _ in 0..20 {
        let entry = entries[number % entries.len()];
        if let Ok(ticket) = client.request_ticket(entry).await {
            return Some(("x-ticket", ticket));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    None
}

/// Injects one random fault after the other until the task is aborted.
async fn inject_faults(fleet: Arc<Fleet>, seed: u64) {
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
                fleet.network().partition_instance(name, true);
                tokio::time::sleep(Duration::from_millis(300)).await;
                fleet.network().partition_instance(name, false);
            }
            _ => {
                let faults = |drop_response_after_run| ServiceFaults {
                    drop_response_after_run,
                    call_duration: Duration::from_millis(5),
                    ..ServiceFaults::default()
                };
                node.service.set_faults(faults(true));
                tokio::time::sleep(Duration::from_millis(200)).await;
                node.service.set_faults(faults(false));
            }
        }
    }
}
