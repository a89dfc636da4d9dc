//! `control`: the cost of distributing the sheet, heartbeats and instance lists, for several
//! numbers of processes and a given rate of sheet changes.

use std::time::Duration;

use argh::FromArgs;
use fleet::{
    Fleet,
    Layout, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use serde_json::{
    json,
    Value, //
};

use crate::setup;

/// Measure the cost of the control traffic.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct Arguments {
    /// numbers of agents, separated by commas
    #[argh(option, default = "String::from(\"30,90,180\")")]
    pub agents: String,
    /// changes of the sheet per second
    #[argh(option, default = "0.38")]
    pub changes: f64,
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

/// The duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);

/// How long a change may take to become active everywhere before the experiment fails.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Clock ticks per second of processor time, as Linux reports it.
const TICKS_PER_SECOND: f64 = 100.0;

/// One measurement. Rates and the processor share are totals over all processes.
struct Measurement {
    processes: f64,
    bytes_per_second: f64,
    calls_per_second: f64,
    cpu_share: f64,
    memory_bytes: f64,
    slowest_change_seconds: f64,
}

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let metrics = PrometheusBuilder::new().install_recorder();
    let metrics = metrics.map_err(|e| e.to_string())?;
    let mut measurements = Vec::new();
    for count in arguments.agents.split(',') {
        let count = count
            .parse()
            .map_err(|_| format!("--agents: {count:?} is not allowed, expected a number"))?;
        measurements.push(measure(arguments, count, &metrics).await?);
    }
    Ok(json!({
        "experiment": "control",
        "seed": arguments.seed,
        "changes_per_second": arguments.changes,
        "measured": measurements.iter().map(to_json).collect::<Vec<Value>>(),
        "slope_for_each_process": slope(&measurements),
    }))
}

fn to_json(measurement: &Measurement) -> Value {
    json!({
        "processes": measurement.processes,
        "bytes_per_second": measurement.bytes_per_second / measurement.processes,
        "calls_per_second": measurement.calls_per_second,
        "cpu_share": measurement.cpu_share / measurement.processes,
        "memory_bytes": measurement.memory_bytes,
        "seconds_in_force": measurement.slowest_change_seconds,
    })
}

/// Returns what one more process adds, calculated from the first and the last measurement.
fn slope(measurements: &[Measurement]) -> Value {
    let (Some(first), Some(last)) = (measurements.first(), measurements.last()) else {
        return Value::Null;
    };
    let added_processes = (last.processes - first.processes).max(1.0);
    json!({
        "bytes_per_second": (last.bytes_per_second - first.bytes_per_second) / added_processes,
        "calls_per_second": (last.calls_per_second - first.calls_per_second) / added_processes,
        "cpu_share": (last.cpu_share - first.cpu_share) / added_processes,
        "memory_bytes": (last.memory_bytes - first.memory_bytes) / added_processes,
    })
}

async fn measure(
    arguments: &Arguments,
    agents: usize,
    metrics: &PrometheusHandle,
) -> Result<Measurement, String> {
    let mut layout = Layout::small(agents);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    layout.seed = arguments.seed;
    layout.services = 0;
    // The default intervals of a deployment; the layout has shorter ones for short runs.
    layout.agent.intervals = control::follower::Intervals::default();
    layout.entry.intervals = layout.agent.intervals.clone();
    let fleet = setup::start_fleet(layout).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let bytes_before = message_bytes(metrics);
    let requests_before = fleet.platform().request_count();
    let cpu_before = cpu_seconds();
    let started = fleet.clock().now().elapsed;
    let mut slowest = Duration::ZERO;
    while fleet.clock().now().elapsed - started < MEASUREMENT_TIME {
        let next = fleet.clock().now().elapsed + Duration::from_secs_f64(1.0 / arguments.changes);
        slowest = slowest.max(publish_change(&fleet).await?);
        let wait = next.saturating_sub(fleet.clock().now().elapsed);
        tokio::time::sleep(wait).await;
    }
    let seconds = (fleet.clock().now().elapsed - started).as_secs_f64();
    let measurement = Measurement {
        processes: (agents + fleet.entries().len()) as f64,
        bytes_per_second: (message_bytes(metrics) - bytes_before) / seconds,
        calls_per_second: (fleet.platform().request_count() - requests_before) as f64 / seconds,
        cpu_share: (cpu_seconds() - cpu_before) / seconds,
        memory_bytes: memory_bytes(),
        slowest_change_seconds: slowest.as_secs_f64(),
    };
    fleet.stop();
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(measurement)
}

/// Publishes a changed sheet, waits until it is active in every process, and returns how long that
/// took.
async fn publish_change(fleet: &Fleet) -> Result<Duration, String> {
    let clock = fleet.clock();
    let started = clock.now().elapsed;
    fleet.publish(|sheet| {
        for team in sheet.teams.values_mut() {
            team.share = team.share % 7 + 1;
        }
    });
    let version = fleet.sheet().version;
    while clock.now().elapsed - started < CHANGE_TIMEOUT {
        if is_active_everywhere(fleet, version).await {
            return Ok(clock.now().elapsed - started);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err(format!(
        "sheet {version} did not become active in every process"
    ))
}

async fn is_active_everywhere(fleet: &Fleet, version: u64) -> bool {
    for entry in fleet.entries().values() {
        let active = entry
            .control()
            .query(|s, _| s.follower().sheet_collector().version());
        if active.await != Some(version) {
            return false;
        }
    }
    for target in fleet.targets().values() {
        let Some(agent) = &target.agent else {
            continue;
        };
        let active = agent
            .control()
            .query(|s, _| s.follower().sheet_collector().version());
        if active.await != Some(version) {
            return false;
        }
    }
    true
}

/// Returns the bytes of messages between processes so far, without weights and responses.
fn message_bytes(metrics: &PrometheusHandle) -> f64 {
    let text = metrics.render();
    let line = text
        .lines()
        .find(|line| line.starts_with("medlarproxy_message_bytes_total "));
    let count = line.and_then(|line| line.split_whitespace().nth(1));
    count.and_then(|count| count.parse().ok()).unwrap_or(0.0)
}

/// Returns the processor time that this process has used so far, in seconds.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold spaces; the times are fields 12 and 13 after it.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|text| text.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn memory_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: f64 = kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    kilobytes * 1024.0
}
