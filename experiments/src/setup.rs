//! Shared by the experiments: fleets with engines of constant speed, loads, and results as JSON.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{
    Fleet,
    Layout,
    LoadOptions,
    LoadResults,
    Percentiles, //
};
use serde_json::{
    json,
    Value, //
};

/// How long a fleet may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of tokens that each request asks for.
const TOKENS_PER_REQUEST: usize = 16;

/// Returns a layout for experiments with requests: links without rate limits, engines of constant
/// speed.
pub(crate) fn request_layout(targets: usize, seed: u64) -> Layout {
    let mut layout = Layout::small(targets);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    layout.seed = seed;
    layout.full_limit = 6;
    layout.engine.full_limit = 6;
    layout.engine.time_to_first_token = Duration::from_millis(50);
    layout.engine.time_between_tokens = Duration::from_millis(20);
    layout
}

/// Starts a fleet and waits until every target serves the first version.
pub(crate) async fn start_fleet(layout: Layout) -> Result<Fleet, String> {
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await;
    let fleet = fleet.map_err(|e| e.to_string())?;
    if !fleet.wait_ready("v1", START_TIMEOUT).await {
        return Err("the fleet did not become ready".to_owned());
    }
    Ok(fleet)
}

/// Returns a load of callers that keep a share of the fleet's request slots busy.
pub(crate) fn load_options(layout: &Layout, share: f64) -> LoadOptions {
    let slots = f64::from(layout.targets as u32 * layout.full_limit);
    let mut options = LoadOptions::with_callers((slots * share).round() as usize);
    options.tokens_per_request = TOKENS_PER_REQUEST;
    options.think_time = Duration::ZERO;
    options.distinct_prompts = 512;
    options
}

/// Returns the addresses of the engines, for baselines that bypass entries and agents.
pub(crate) fn engine_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let targets = fleet.targets();
    targets
        .values()
        .map(|target| target.engine.server().address())
        .collect()
}

/// Returns the results that callers saw, as JSON.
pub(crate) fn results_to_json(results: &LoadResults) -> Value {
    json!({
        "sent": results.sent,
        "answered": results.answered,
        "refused_not_run": results.refused_not_run,
        "failed": results.failed,
        "late": results.late_answers,
        "mixed": results.mixed_answers,
        "longest_gap_ms": results.longest_time_between_answers.as_millis() as u64,
        "first_token_ms": percentiles_to_json(results.first_token_ms()),
        "between_tokens_ms": percentiles_to_json(results.between_tokens_ms()),
        "reasons": results.failures_by_reason,
    })
}

pub(crate) fn percentiles_to_json(values: Percentiles) -> Value {
    json!({ "p50": values.p50, "p95": values.p95, "p99": values.p99 })
}

/// Returns the report of an experiment with a baseline.
pub(crate) fn report(experiment: &str, seed: u64, measured: Value, baseline: Value) -> Value {
    json!({
        "experiment": experiment,
        "seed": seed,
        "measured": measured,
        "baseline": baseline,
    })
}
