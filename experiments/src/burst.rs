//! `burst`: a new version to every target, with live requests meanwhile.

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
    LoadShape, //
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

/// Bring a new version to every target while requests flow.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burst")]
pub(crate) struct Arguments {
    /// model targets
    #[argh(option, default = "12")]
    pub agents: usize,
    /// a fault, or several joined by a plus sign
    #[argh(option)]
    pub fault: Option<String>,
    /// measure also each agent drawing everything from the origin
    #[argh(switch)]
    pub baseline: bool,
    /// the seed of weights
    #[argh(option, default = "1")]
    pub seed: u64,
    /// seconds in which the links bear the copies of the layout
    #[argh(option)]
    pub window: Option<u64>,
    /// print JSON, which is the only form there is
    #[argh(switch)]
    #[expect(
        dead_code,
        reason = "accepted so that every experiment is called alike"
    )]
    pub json: bool,
}

/// How long the fleet may take to start.
const START_PATIENCE: Duration = Duration::from_secs(30);

/// Callers that send requests meanwhile.
const CALLERS: usize = 8;

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

fn layout(arguments: &Arguments, baseline: bool) -> Layout {
    let mut layout = Layout::small(arguments.agents);
    layout.seed = arguments.seed;
    if let (Some(window), Some(links)) = (arguments.window, &mut layout.links) {
        links.window = Duration::from_secs(window);
    }
    layout.agent.limits.origin_only = baseline;
    layout
}

/// What is watched while the burst runs.
#[derive(Default)]
struct Watch {
    staged: BTreeMap<Name, Duration>,
    ready: BTreeMap<Name, Duration>,
    peak_bytes: usize,
    floor_breaches: u64,
}

async fn measure(arguments: &Arguments, faults: &[Fault], baseline: bool) -> Result<Value, String> {
    let layout = layout(arguments, baseline);
    let bound = layout.bound();
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await;
    let fleet = fleet.map_err(|e| e.to_string())?;
    if !fleet.wait_ready("v1", START_PATIENCE).await {
        return Err("the fleet did not become ready".to_owned());
    }
    for fault in faults {
        faults::prepare(&fleet, *fault);
    }
    let clock = fleet.clock().clone();
    let load = Load::start(
        &LoadShape::of(CALLERS),
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
    let patience = bound
        * if baseline {
            4 * arguments.agents as u32
        } else {
            5
        };
    let watching = watch(&fleet, version, started, patience);
    let striking = async {
        for fault in faults {
            faults::strike(&fleet, *fault, bound).await;
        }
    };
    let (seen, ()) = tokio::join!(watching, striking);
    let tally = load.finish().await;
    let weights = fleet.layout().weight_bytes as f64;
    let living = fleet
        .targets()
        .values()
        .filter(|t| t.agent.is_some())
        .count();
    let regions: BTreeMap<Name, f64> = fleet
        .layout()
        .regions()
        .into_iter()
        .map(|region| {
            let copies = fleet.network().bytes_into(&region) as f64 / weights;
            (region, copies)
        })
        .collect();
    let staged_100 = share(&seen.staged, living, 1.0);
    let report = json!({
        "replicas_wanted": living,
        "replicas_ready": seen.ready.len(),
        "seconds_50": share(&seen.ready, living, 0.5),
        "seconds_90": share(&seen.ready, living, 0.9),
        "seconds_100": share(&seen.ready, living, 1.0),
        "staged_seconds_50": share(&seen.staged, living, 0.5),
        "staged_seconds_100": staged_100,
        "bound_seconds": bound.as_secs_f64(),
        "bound_ratio": staged_100.map(|seconds| seconds / bound.as_secs_f64()),
        "origin_copies": fleet.origin().bytes_sent() as f64 / weights,
        "region_copies": regions,
        "peak_staging_bytes": seen.peak_bytes,
        "floor_breaches": seen.floor_breaches,
        "mixed": tally.mixed + partial_loads(&fleet),
        "sent": tally.sent,
        "answered": tally.answered,
        "refused_not_run": tally.refused_not_run,
        "failed": tally.failed,
        "late": tally.late,
        "reasons": tally.reasons,
    });
    fleet.stop();
    Ok(report)
}

/// Watches the targets until every living one serves `version`, or for `patience`.
async fn watch(fleet: &Fleet, version: &str, started: Duration, patience: Duration) -> Watch {
    let mut watch = Watch::default();
    loop {
        let elapsed = fleet.clock().now().elapsed.saturating_sub(started);
        let statuses = fleet.statuses().await;
        for (name, status) in &statuses {
            let serves = status.version.as_deref() == Some(version);
            let staged = serves || is_past_staging(fleet, name, version, status).await;
            if staged {
                watch.staged.entry(name.clone()).or_insert(elapsed);
            }
            if serves {
                watch.ready.entry(name.clone()).or_insert(elapsed);
            }
        }
        watch.peak_bytes = watch.peak_bytes.max(peak_bytes(fleet));
        watch.floor_breaches += floor_breaches(fleet, &statuses);
        let living = fleet
            .targets()
            .values()
            .filter(|t| t.agent.is_some())
            .count();
        if watch.ready.len() >= living || elapsed > patience {
            for (name, status) in statuses
                .iter()
                .filter(|(n, _)| !watch.ready.contains_key(*n))
            {
                eprintln!("experiments: {name} is not at {version}: {status:?}");
            }
            return watch;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Whether the target's agent holds every piece of `version`.
async fn is_past_staging(fleet: &Fleet, name: &Name, version: &str, status: &TargetStatus) -> bool {
    if matches!(status.phase, Phase::Staging | Phase::Idle) {
        return false;
    }
    let Some(agent) = fleet.targets().get(name).and_then(|t| t.agent.clone()) else {
        return false;
    };
    let wanted = version.to_owned();
    let holds = agent.control().query(move |state, _| {
        let transfer = state.current_transfer()?;
        let manifest = transfer.manifest()?;
        Some(transfer.is_complete() && *manifest.version == *wanted)
    });
    holds.await.flatten() == Some(true)
}

fn peak_bytes(fleet: &Fleet) -> usize {
    let targets = fleet.targets();
    let agents = targets.values().filter_map(|t| t.agent.as_ref());
    agents
        .map(|agent| agent.store().usage().1)
        .max()
        .unwrap_or(0)
}

/// Data centres in which more targets are out for a switch than the sheet allows.
fn floor_breaches(fleet: &Fleet, statuses: &BTreeMap<Name, TargetStatus>) -> u64 {
    let sheet = fleet.sheet();
    let Some(model) = sheet.models.get(fleet::MODEL) else {
        return 0;
    };
    let mut breaches = 0;
    for (data_centre, names) in &model.instances {
        let is_out = |name: &&Name| {
            let status = statuses.get(*name);
            status
                .is_some_and(|s| matches!(s.phase, Phase::Draining | Phase::Loading | Phase::Cold))
        };
        let out = names.iter().filter(is_out).count();
        breaches += u64::from(out > model.max_switching_targets(data_centre));
    }
    breaches
}

fn partial_loads(fleet: &Fleet) -> u64 {
    let targets = fleet.targets();
    targets
        .values()
        .map(|t| t.engine.counts().partial_loads)
        .sum()
}

/// The seconds after which a share of `wanted` replicas was there.
fn share(times: &BTreeMap<Name, Duration>, wanted: usize, share: f64) -> Option<f64> {
    let mut sorted: Vec<Duration> = times.values().copied().collect();
    sorted.sort_unstable();
    let place = ((wanted as f64 * share).ceil() as usize).max(1);
    sorted.get(place - 1).map(Duration::as_secs_f64)
}
