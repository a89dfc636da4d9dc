//! `burst`: rolls a new version out to every target while requests are sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use fleet::faults::{
    self,
    Fault, //
};
use fleet::{
    Fleet,
    Layout,
    Load,
    LoadOptions, //
};
use protocol::{
    Phase,
    TargetStatus, //
};
use serde_json::{
    json,
    Value, //
};
use utils::Name;

/// Roll a new version out to every target while requests are sent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burst")]
pub(crate) struct Arguments {
    /// the number of model targets
    #[argh(option, default = "12")]
    pub agents: usize,
    /// a fault, or several separated by plus signs
    #[argh(option)]
    pub fault: Option<String>,
    /// also measure a baseline in which every agent downloads everything from the origin
    #[argh(switch)]
    pub baseline: bool,
    /// the seed of the generated weights
    #[argh(option, default = "1")]
    pub seed: u64,
    /// the seconds in which the links can carry the copies of the weights that the layout names
    #[argh(option)]
    pub window: Option<u64>,
    /// print JSON (the only output format)
    #[argh(switch)]
    #[expect(
        dead_code,
        reason = "accepted so that all experiments take the same flags"
    )]
    pub json: bool,
}

/// How long the fleet may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Callers that send requests during the rollout.
const CALLER_COUNT: usize = 8;

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let faults = parse_faults(arguments.fault.as_deref())?;
    let measured = measure(arguments, &faults, false).await?;
    let mut report = json!({
        "experiment": "burst",
        "agents": arguments.agents,
        "fault": arguments.fault,
        "seed": arguments.seed,
        "measured": measured,
    });
    if arguments.baseline {
        report["baseline"] = measure(arguments, &faults, true).await?;
    }
    Ok(report)
}

fn parse_faults(text: Option<&str>) -> Result<Vec<Fault>, String> {
    text.map_or_else(
        || Ok(Vec::new()),
        |text| text.split('+').map(str::parse).collect(),
    )
}

fn layout(arguments: &Arguments, is_baseline: bool) -> Layout {
    let mut layout = Layout::small(arguments.agents);
    layout.seed = arguments.seed;
    if let (Some(window), Some(links)) = (arguments.window, &mut layout.links) {
        links.window = Duration::from_secs(window);
    }
    layout.agent.transfer_limits.origin_only = is_baseline;
    layout
}

/// What was observed during the rollout. The times are since its start.
#[derive(Default)]
struct Observations {
    staged_after: BTreeMap<Name, Duration>,
    ready_after: BTreeMap<Name, Duration>,
    peak_bytes: usize,
    limit_violations: u64,
}

async fn measure(
    arguments: &Arguments,
    faults: &[Fault],
    is_baseline: bool,
) -> Result<Value, String> {
    let layout = layout(arguments, is_baseline);
    let min_transfer_time = layout.min_transfer_time();
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await;
    let fleet = fleet.map_err(|e| e.to_string())?;
    if !fleet.wait_ready("v1", START_TIMEOUT).await {
        return Err("the fleet did not become ready".to_owned());
    }
    for fault in faults {
        faults::inject_before_rollout(&fleet, *fault);
    }
    let clock = fleet.clock().clone();
    let load = Load::start(
        &LoadOptions::with_callers(CALLER_COUNT),
        fleet.caller_addresses(),
        clock.clone(),
    );
    let version = if faults.contains(&Fault::NewerSheet) {
        "v3"
    } else {
        "v2"
    };
    let started = clock.now().elapsed;
    fleet.roll_out("v2", arguments.seed + 1);
    let timeout = min_transfer_time
        * if is_baseline {
            4 * arguments.agents as u32
        } else {
            5
        };
    let observation = observe(&fleet, version, started, timeout);
    let injection = async {
        for fault in faults {
            faults::inject(&fleet, *fault, min_transfer_time).await;
        }
    };
    let (observations, ()) = tokio::join!(observation, injection);
    let results = load.finish().await;
    let weights = fleet.layout().weight_bytes as f64;
    let live_targets = fleet
        .targets()
        .values()
        .filter(|t| t.agent.is_some())
        .count();
    let regions: BTreeMap<Name, f64> = fleet
        .layout()
        .regions()
        .into_iter()
        .map(|region| {
            let copies = fleet.network().bytes_received_by_region(&region) as f64 / weights;
            (region, copies)
        })
        .collect();
    let staged_100 = seconds_until_share(&observations.staged_after, live_targets, 1.0);
    let report = json!({
        "replicas_wanted": live_targets,
        "replicas_ready": observations.ready_after.len(),
        "seconds_50": seconds_until_share(&observations.ready_after, live_targets, 0.5),
        "seconds_90": seconds_until_share(&observations.ready_after, live_targets, 0.9),
        "seconds_100": seconds_until_share(&observations.ready_after, live_targets, 1.0),
        "staged_seconds_50": seconds_until_share(&observations.staged_after, live_targets, 0.5),
        "staged_seconds_100": staged_100,
        "bound_seconds": min_transfer_time.as_secs_f64(),
        "bound_ratio": staged_100.map(|seconds| seconds / min_transfer_time.as_secs_f64()),
        "origin_copies": fleet.origin().bytes_sent() as f64 / weights,
        "region_copies": regions,
        "peak_staging_bytes": observations.peak_bytes,
        "floor_breaches": observations.limit_violations,
        "mixed": results.mixed_answers + incomplete_loads(&fleet),
        "sent": results.sent,
        "answered": results.answered,
        "refused_not_run": results.refused_not_run,
        "failed": results.failed,
        "late": results.late_answers,
        "reasons": results.failures_by_reason,
    });
    fleet.stop();
    Ok(report)
}

/// Observes the targets until every live one serves `version`, or until `timeout`.
async fn observe(
    fleet: &Fleet,
    version: &str,
    started: Duration,
    timeout: Duration,
) -> Observations {
    let mut observations = Observations::default();
    loop {
        let elapsed = fleet.clock().now().elapsed.saturating_sub(started);
        let statuses = fleet.statuses().await;
        for (name, status) in &statuses {
            let serves_version = status.version.as_deref() == Some(version);
            let is_staged = serves_version || holds_all_pieces(fleet, name, version, status).await;
            if is_staged {
                observations
                    .staged_after
                    .entry(name.clone())
                    .or_insert(elapsed);
            }
            if serves_version {
                observations
                    .ready_after
                    .entry(name.clone())
                    .or_insert(elapsed);
            }
        }
        observations.peak_bytes = observations.peak_bytes.max(peak_bytes(fleet));
        observations.limit_violations += limit_violations(fleet, &statuses);
        let live_targets = fleet
            .targets()
            .values()
            .filter(|t| t.agent.is_some())
            .count();
        if observations.ready_after.len() >= live_targets || elapsed > timeout {
            for (name, status) in statuses
                .iter()
                .filter(|(n, _)| !observations.ready_after.contains_key(*n))
            {
                eprintln!("experiments: {name} is not at {version}: {status:?}");
            }
            return observations;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns whether the agent of the target holds every piece of `version`.
async fn holds_all_pieces(
    fleet: &Fleet,
    name: &Name,
    version: &str,
    status: &TargetStatus,
) -> bool {
    if matches!(status.phase, Phase::Staging | Phase::Idle) {
        return false;
    }
    let Some(agent) = fleet.targets().get(name).and_then(|t| t.agent.clone()) else {
        return false;
    };
    let expected_version = version.to_owned();
    let is_complete = agent.control().query(move |state, _| {
        let transfer = state.current_transfer()?;
        let manifest = transfer.manifest()?;
        Some(transfer.is_complete() && *manifest.version == *expected_version)
    });
    is_complete.await.flatten() == Some(true)
}

fn peak_bytes(fleet: &Fleet) -> usize {
    let targets = fleet.targets();
    let agents = targets.values().filter_map(|t| t.agent.as_ref());
    agents
        .map(|agent| agent.store().usage().1)
        .max()
        .unwrap_or(0)
}

/// Counts the data centres in which more targets are out for a switch than the sheet allows.
fn limit_violations(fleet: &Fleet, statuses: &BTreeMap<Name, TargetStatus>) -> u64 {
    let sheet = fleet.sheet();
    let Some(model) = sheet.models.get(fleet::MODEL) else {
        return 0;
    };
    let mut violations = 0;
    for (data_centre, names) in &model.instances {
        let is_out = |name: &&Name| {
            let status = statuses.get(*name);
            status
                .is_some_and(|s| matches!(s.phase, Phase::Draining | Phase::Loading | Phase::Cold))
        };
        let out = names.iter().filter(is_out).count();
        violations += u64::from(out > model.max_switching_targets(data_centre));
    }
    violations
}

fn incomplete_loads(fleet: &Fleet) -> u64 {
    let targets = fleet.targets();
    targets
        .values()
        .map(|t| t.engine.counters().incomplete_loads)
        .sum()
}

/// Returns the seconds after which `share` of the `target_count` targets had reached a state.
/// `times` has the time of each target that reached it.
fn seconds_until_share(
    times: &BTreeMap<Name, Duration>,
    target_count: usize,
    share: f64,
) -> Option<f64> {
    let mut sorted: Vec<Duration> = times.values().copied().collect();
    sorted.sort_unstable();
    let rank = ((target_count as f64 * share).ceil() as usize).max(1);
    sorted.get(rank - 1).map(Duration::as_secs_f64)
}
