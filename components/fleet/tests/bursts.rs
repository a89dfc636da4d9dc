//! Rollouts of a version under load, with each fault and with some pairs of faults: every target
//! with an agent must serve the version from complete weights, no request may fail, and the origin
//! must not send the weights more than four times per version.

use std::sync::Arc;
use std::time::Duration;

use fleet::faults::{
    self,
    Fault, //
};
use fleet::{
    Fleet,
    Layout,
    LinkCapacity,
    Load,
    LoadOptions, //
};
use tokio::task::JoinSet;

/// Longest time that a start or a rollout with faults may take.
const READY_TIMEOUT: Duration = Duration::from_secs(90);

/// Number of rollouts that run concurrently.
const CONCURRENT_ROLLOUTS: usize = 3;

struct Case {
    faults: Vec<Fault>,
    /// The version that all targets must serve in the end.
    final_version: &'static str,
}

fn cases() -> Vec<Case> {
    let single = Fault::all().map(|fault| vec![fault]);
    let pairs = [
        [Fault::InstanceKilled, Fault::CorruptChunks],
        [Fault::AgentPaused, Fault::StalledDownloads],
        [Fault::RegionPartition, Fault::InstanceKilled],
    ];
    let pairs = pairs.into_iter().map(Vec::from);
    let all = single.chain(pairs);
    all.map(|faults| Case {
        final_version: if faults.contains(&Fault::NewerSheet) {
            "v3"
        } else {
            "v2"
        },
        faults,
    })
    .collect()
}

/// Returns a layout with links fast enough for a test, and slow enough that faults are injected
/// before the rollout has finished.
fn layout() -> Layout {
    let mut layout = Layout::small(9);
    layout.weight_bytes = 1 << 20;
    layout.chunk_bytes = 32 << 10;
    layout.links = Some(LinkCapacity {
        window: Duration::from_secs(2),
        ..LinkCapacity::default()
    });
    layout.agent.transfer_limits.candidate_timeout = Duration::from_millis(500);
    layout.agent.transfer_limits.stall_timeout = Duration::from_millis(800);
    layout
}

async fn roll_out_with_faults(case: &Case) {
    let name: Vec<String> = case.faults.iter().map(ToString::to_string).collect();
    let name = name.join("+");
    let fleet = Fleet::start(layout(), Arc::new(|_| ())).await.unwrap();
    assert!(
        fleet.wait_ready("v1", READY_TIMEOUT).await,
        "{name}: the fleet did not become ready"
    );
    for fault in &case.faults {
        faults::inject_before_rollout(&fleet, *fault);
    }
    let clock = fleet.clock().clone();
    let load = Load::start(
        &LoadOptions::with_callers(4),
        fleet.caller_addresses(),
        clock,
    );
    let sent_before = fleet.origin().bytes_sent();
    fleet.roll_out("v2", 2);
    for fault in &case.faults {
        faults::inject(&fleet, *fault, fleet.layout().min_transfer_time()).await;
    }
    let ready = fleet.wait_ready(case.final_version, READY_TIMEOUT).await;
    let results = load.finish().await;
    assert!(
        ready,
        "{name}: {:?}\n{:#?}",
        fleet.statuses().await,
        fleet.sheet_states().await
    );
    assert_eq!(
        (results.failed, results.mixed_answers),
        (0, 0),
        "{name}: {:?}",
        results.failures_by_reason
    );
    let targets = fleet.targets();
    let incomplete_loads = targets
        .values()
        .map(|t| t.engine.counters().incomplete_loads);
    assert_eq!(incomplete_loads.sum::<u64>(), 0, "{name}");
    let sent_bytes = fleet.origin().bytes_sent() - sent_before;
    let copies = sent_bytes as f64 / fleet.layout().weight_bytes as f64;
    let versions = if case.final_version == "v3" { 2.0 } else { 1.0 };
    assert!(copies <= 4.0 * versions, "{name}: {copies} copies");
    fleet.stop();
}

#[tokio::test(flavor = "multi_thread")]
async fn every_live_target_gets_complete_weights_under_each_fault() {
    let mut running = JoinSet::new();
    for case in cases() {
        while running.len() >= CONCURRENT_ROLLOUTS {
            running.join_next().await.unwrap().unwrap();
        }
        running.spawn(async move { roll_out_with_faults(&case).await });
    }
    while let Some(ended) = running.join_next().await {
        ended.unwrap();
    }
}
