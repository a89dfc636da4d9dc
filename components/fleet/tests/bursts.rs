//! A burst with each fault, and with some pairs: everyone that lives serves the version, from whole
//! weights, and no request fails.

use std::sync::Arc;
use std::time::Duration;

use fleet::faults::{
    self,
    Fault, //
};
use fleet::{
    Fleet,
    Layout,
    LinkShape,
    Load,
    LoadShape, //
};
use tokio::task::JoinSet;

/// How long a burst with faults may take before it counts as stuck.
const PATIENCE: Duration = Duration::from_secs(90);

/// Bursts that run beside each other.
const AT_ONCE: usize = 3;

struct Case {
    faults: Vec<Fault>,
    version: &'static str,
}

fn cases() -> Vec<Case> {
    let single = Fault::all().map(|fault| vec![fault]);
    let pairs = [
        [Fault::Death, Fault::Corrupt],
        [Fault::Pause, Fault::Stall],
        [Fault::Partition, Fault::Death],
    ];
    let pairs = pairs.into_iter().map(Vec::from);
    let all = single.chain(pairs);
    all.map(|faults| Case {
        version: if faults.contains(&Fault::NewerSheet) {
            "v3"
        } else {
            "v2"
        },
        faults,
    })
    .collect()
}

/// Links fast enough for a test, and slow enough for faults to strike in the middle.
fn layout() -> Layout {
    let mut layout = Layout::small(9);
    layout.weight_bytes = 1 << 20;
    layout.chunk_bytes = 32 << 10;
    layout.links = Some(LinkShape {
        window: Duration::from_secs(2),
        ..LinkShape::default()
    });
    layout.agent.limits.candidate_timeout = Duration::from_millis(500);
    layout.agent.limits.stall_timeout = Duration::from_millis(800);
    layout
}

async fn burst(case: &Case) {
    let name: Vec<String> = case.faults.iter().map(ToString::to_string).collect();
    let name = name.join("+");
    let fleet = Fleet::start(layout(), Arc::new(|_| ())).await.unwrap();
    assert!(fleet.wait_ready("v1", PATIENCE).await, "{name}: no start");
    for fault in &case.faults {
        faults::prepare(&fleet, *fault);
    }
    let clock = fleet.clock().clone();
    let load = Load::start(&LoadShape::of(4), fleet.caller_addresses(), clock);
    let sent_before = fleet.origin().bytes_sent();
    fleet.roll_out("v2", 2);
    for fault in &case.faults {
        faults::strike(&fleet, *fault, fleet.layout().bound()).await;
    }
    let ready = fleet.wait_ready(case.version, PATIENCE).await;
    let tally = load.finish().await;
    assert!(ready, "{name}: {:?}", fleet.statuses().await);
    assert_eq!(
        (tally.failed, tally.mixed),
        (0, 0),
        "{name}: {:?}",
        tally.reasons
    );
    let targets = fleet.targets();
    let partial = targets.values().map(|t| t.engine.counts().partial_loads);
    assert_eq!(partial.sum::<u64>(), 0, "{name}");
    let sent = fleet.origin().bytes_sent() - sent_before;
    let copies = sent as f64 / fleet.layout().weight_bytes as f64;
    let versions = if case.version == "v3" { 2.0 } else { 1.0 };
    assert!(copies <= 4.0 * versions, "{name}: {copies} copies");
    fleet.stop();
}

#[tokio::test(flavor = "multi_thread")]
async fn everyone_that_lives_gets_whole_weights_whatever_fails() {
    let mut running = JoinSet::new();
    for case in cases() {
        while running.len() >= AT_ONCE {
            running.join_next().await.unwrap().unwrap();
        }
        running.spawn(async move { burst(&case).await });
    }
    while let Some(ended) = running.join_next().await {
        ended.unwrap();
    }
}
