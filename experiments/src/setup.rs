//! What experiments share: fleets with steady engines, loads, and their results as JSON.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{
    Fleet,
    Layout,
    LoadShape,
    Percentiles,
    Tally, //
};
use serde_json::{
    json,
    Value, //
};

/// How long a fleet may take to start.
const START_PATIENCE: Duration = Duration::from_secs(30);

/// Tokens of each answer.
const TOKENS: usize = 16;

/// A layout for experiments with requests: unpaced links and engines with a steady pace.
pub(crate) fn request_layout(targets: usize, seed: u64) -> Layout {
    let mut layout = Layout::small(targets);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    layout.seed = seed;
    layout.full_limit = 6;
    layout.engine.full_limit = 6;
    layout.engine.first_token = Duration::from_millis(50);
    layout.engine.token_time = Duration::from_millis(20);
    layout
}

/// Starts a fleet and waits until it is warm.
pub(crate) async fn start(layout: Layout) -> Result<Fleet, String> {
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await;
    let fleet = fleet.map_err(|e| e.to_string())?;
    if !fleet.wait_ready("v1", START_PATIENCE).await {
        return Err("the fleet did not become ready".to_owned());
    }
    Ok(fleet)
}

/// Callers that keep a share of the fleet's request slots busy.
pub(crate) fn load_shape(layout: &Layout, share: f64) -> LoadShape {
    let slots = f64::from(layout.targets as u32 * layout.full_limit);
    let mut shape = LoadShape::of((slots * share).round() as usize);
    shape.tokens = TOKENS;
    shape.pause = Duration::ZERO;
    shape.prompts = 512;
    shape
}

/// The addresses of the engines, for a plain balancer that knows nothing of them.
pub(crate) fn engine_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let targets = fleet.targets();
    targets
        .values()
        .map(|t| t.engine.server().address())
        .collect()
}

/// What callers got.
pub(crate) fn tally_value(tally: &Tally) -> Value {
    json!({
        "sent": tally.sent,
        "answered": tally.answered,
        "refused_not_run": tally.refused_not_run,
        "failed": tally.failed,
        "late": tally.late,
        "mixed": tally.mixed,
        "longest_gap_ms": tally.longest_gap.as_millis() as u64,
        "first_token_ms": percentiles(tally.first_token_ms()),
        "between_tokens_ms": percentiles(tally.between_tokens_ms()),
        "reasons": tally.reasons,
    })
}

pub(crate) fn percentiles(points: Percentiles) -> Value {
    json!({ "p50": points.p50, "p95": points.p95, "p99": points.p99 })
}

/// The result of an experiment with a baseline.
pub(crate) fn report(experiment: &str, seed: u64, measured: Value, baseline: Value) -> Value {
    json!({
        "experiment": experiment,
        "seed": seed,
        "measured": measured,
        "baseline": baseline,
    })
}
