//! `control`: what following the sheet, heartbeats and lists cost, at several counts of processes
//! and rates of change.

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

/// Measure the cost of control.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct Arguments {
    /// counts of agents, joined by commas
    #[argh(option, default = "String::from(\"30,90,180\")")]
    pub agents: String,
    /// changes of the sheet in each second
    #[argh(option, default = "0.38")]
    pub changes: f64,
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

/// The time of each measurement.
const LENGTH: Duration = Duration::from_secs(15);

/// How long a change may take to be in force before it counts as not taken at all.
const PATIENCE: Duration = Duration::from_secs(30);

/// Clock ticks in a second of processor time, as Linux reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// One measurement.
struct Point {
    processes: f64,
    bytes: f64,
    calls: f64,
    cpu: f64,
    memory: f64,
    in_force: f64,
}

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let metrics = PrometheusBuilder::new().install_recorder();
    let metrics = metrics.map_err(|e| e.to_string())?;
    let mut points = Vec::new();
    for count in arguments.agents.split(',') {
        let count = count
            .parse()
            .map_err(|_| format!("--agents: {count:?} is not allowed, expected a number"))?;
        points.push(measure(arguments, count, &metrics).await?);
    }
    Ok(json!({
        "experiment": "control",
        "seed": arguments.seed,
        "changes_per_second": arguments.changes,
        "measured": points.iter().map(value).collect::<Vec<Value>>(),
        "slope_for_each_process": slope(&points),
    }))
}

fn value(point: &Point) -> Value {
    json!({
        "processes": point.processes,
        "bytes_per_second": point.bytes / point.processes,
        "calls_per_second": point.calls,
        "cpu_share": point.cpu / point.processes,
        "memory_bytes": point.memory,
        "seconds_in_force": point.in_force,
    })
}

/// What one more process adds, from the smallest to the largest count.
fn slope(points: &[Point]) -> Value {
    let (Some(first), Some(last)) = (points.first(), points.last()) else {
        return Value::Null;
    };
    let more = (last.processes - first.processes).max(1.0);
    json!({
        "bytes_per_second": (last.bytes - first.bytes) / more,
        "calls_per_second": (last.calls - first.calls) / more,
        "cpu_share": (last.cpu - first.cpu) / more,
        "memory_bytes": (last.memory - first.memory) / more,
    })
}

async fn measure(
    arguments: &Arguments,
    agents: usize,
    metrics: &PrometheusHandle,
) -> Result<Point, String> {
    let mut layout = Layout::small(agents);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    layout.seed = arguments.seed;
    layout.services = 0;
    // The intervals of a real deployment, not those of the short runs.
    layout.agent.intervals = control::follower::Intervals::default();
    layout.entry.intervals = layout.agent.intervals.clone();
    let fleet = setup::start(layout).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let bytes = message_bytes(metrics);
    let calls = fleet.platform().calls();
    let cpu = cpu_seconds();
    let started = fleet.clock().now().elapsed;
    let mut slowest = Duration::ZERO;
    while fleet.clock().now().elapsed - started < LENGTH {
        let next = fleet.clock().now().elapsed + Duration::from_secs_f64(1.0 / arguments.changes);
        slowest = slowest.max(change(&fleet).await?);
        let wait = next.saturating_sub(fleet.clock().now().elapsed);
        tokio::time::sleep(wait).await;
    }
    let seconds = (fleet.clock().now().elapsed - started).as_secs_f64();
    let point = Point {
        processes: (agents + fleet.entries().len()) as f64,
        bytes: (message_bytes(metrics) - bytes) / seconds,
        calls: (fleet.platform().calls() - calls) as f64 / seconds,
        cpu: (cpu_seconds() - cpu) / seconds,
        memory: memory_bytes(),
        in_force: slowest.as_secs_f64(),
    };
    fleet.stop();
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(point)
}

/// Publishes a change and waits until every process has it.
async fn change(fleet: &Fleet) -> Result<Duration, String> {
    let clock = fleet.clock();
    let started = clock.now().elapsed;
    fleet.publish(|sheet| {
        for team in sheet.teams.values_mut() {
            team.share = team.share % 7 + 1;
        }
    });
    let version = fleet.sheet().version;
    while clock.now().elapsed - started < PATIENCE {
        if everyone_has(fleet, version).await {
            return Ok(clock.now().elapsed - started);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err(format!("sheet {version} did not reach every process"))
}

async fn everyone_has(fleet: &Fleet, version: u64) -> bool {
    for entry in fleet.entries().values() {
        let found = entry
            .control()
            .query(|s, _| s.follower().acceptance().version());
        if found.await != Some(version) {
            return false;
        }
    }
    for target in fleet.targets().values() {
        let Some(agent) = &target.agent else {
            continue;
        };
        let found = agent
            .control()
            .query(|s, _| s.follower().acceptance().version());
        if found.await != Some(version) {
            return false;
        }
    }
    true
}

/// Bytes of messages between processes so far, without weights and answers.
fn message_bytes(metrics: &PrometheusHandle) -> f64 {
    let text = metrics.render();
    let line = text
        .lines()
        .find(|line| line.starts_with("medlarproxy_message_bytes_total "));
    let count = line.and_then(|line| line.split_whitespace().nth(1));
    count.and_then(|count| count.parse().ok()).unwrap_or(0.0)
}

/// Processor time of this process so far.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold spaces; the times are fields 12 and 13 after it.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|text| text.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Resident memory of this process.
pub(crate) fn memory_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: f64 = kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    kilobytes * 1024.0
}
