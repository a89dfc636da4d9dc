//! Faults that are injected during the rollout of a version.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use protocol::InstanceState;
use standins::{
    OriginFaults,
    PlatformFaults, //
};
use utils::Name;

use crate::processes::Fleet;

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance, with its engine and agent, is killed during the rollout.
    InstanceKilled,
    /// The control thread of an agent is paused for part of the rollout.
    AgentPaused,
    /// An agent starts only after the rollout has begun.
    LateJoiner,
    /// Every eighth chunk from the origin is corrupt.
    CorruptChunks,
    /// Every sixteenth download of a chunk from the origin stalls after half of its bytes.
    StalledDownloads,
    /// The list of instances marks an instance as leaving during the rollout.
    InstanceLeaving,
    /// The configuration service and the list of instances are down for part of the rollout.
    PlatformDown,
    /// A newer sheet replaces the version by another one during the rollout.
    NewerSheet,
    /// A region is partitioned from the others for part of the rollout.
    RegionPartition,
    /// An engine crashes during the rollout and restarts cold.
    EngineCrash,
}

/// All faults and their names.
const FAULT_NAMES: [(Fault, &str); 10] = [
    (Fault::InstanceKilled, "death"),
    (Fault::AgentPaused, "pause"),
    (Fault::LateJoiner, "late-joiner"),
    (Fault::CorruptChunks, "corrupt"),
    (Fault::StalledDownloads, "stall"),
    (Fault::InstanceLeaving, "leaving"),
    (Fault::PlatformDown, "service-down"),
    (Fault::NewerSheet, "newer-sheet"),
    (Fault::RegionPartition, "partition"),
    (Fault::EngineCrash, "turns-cold"),
];

impl Fault {
    /// Returns all faults.
    pub fn all() -> impl Iterator<Item = Self> {
        FAULT_NAMES.iter().map(|(fault, _)| *fault)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = FAULT_NAMES.iter().find(|(fault, _)| fault == self);
        f.write_str(name.map_or("unknown", |(_, name)| name))
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = FAULT_NAMES.iter().find(|(_, name)| *name == text);
        found.map(|(fault, _)| *fault).ok_or_else(|| {
            let names: Vec<&str> = FAULT_NAMES.iter().map(|(_, name)| *name).collect();
            format!(
                "unknown fault {text:?}, expected one of {}",
                names.join(", ")
            )
        })
    }
}

/// Injects the part of a fault that must be in place before the rollout starts.
pub fn inject_before_rollout(fleet: &Fleet, fault: Fault) {
    match fault {
        Fault::CorruptChunks => fleet.origin().set_faults(OriginFaults {
            corrupt_every: Some(8),
            ..OriginFaults::default()
        }),
        Fault::StalledDownloads => fleet.origin().set_faults(OriginFaults {
            stall_every: Some(16),
            ..OriginFaults::default()
        }),
        Fault::LateJoiner => fleet.kill_agent(&affected_target(fleet, 1)),
        _ => {}
    }
}

/// Injects a fault into a running rollout and ends it again if it is temporary.
/// `min_transfer_time`, the shortest possible duration of the rollout, determines when the fault
/// starts and ends.
pub async fn inject(fleet: &Fleet, fault: Fault, min_transfer_time: Duration) {
    tokio::time::sleep(min_transfer_time / 4).await;
    match fault {
        Fault::InstanceKilled => fleet.kill_instance(&affected_target(fleet, 0)),
        Fault::AgentPaused => {
            if let Some(agent) = fleet.targets()[&affected_target(fleet, 2)].agent.clone() {
                agent.control().pause(min_transfer_time / 2);
            }
        }
        Fault::LateJoiner => {
            tokio::time::sleep(min_transfer_time / 4).await;
            if let Err(e) = fleet.start_agent(&affected_target(fleet, 1)).await {
                eprintln!("the late agent could not be started: {e}");
            }
        }
        Fault::InstanceLeaving => {
            let name = affected_target(fleet, 3);
            fleet
                .platform()
                .set_instance_state(&name, InstanceState::Leaving);
        }
        Fault::PlatformDown => {
            fleet.platform().set_faults(PlatformFaults {
                is_down: true,
                ..PlatformFaults::default()
            });
            tokio::time::sleep(min_transfer_time / 2).await;
            fleet.platform().set_faults(PlatformFaults::default());
        }
        Fault::NewerSheet => {
            fleet.roll_out("v3", 3);
        }
        Fault::RegionPartition => {
            let regions = fleet.layout().regions();
            partition_last_region(fleet, &regions, true);
            tokio::time::sleep(min_transfer_time / 2).await;
            partition_last_region(fleet, &regions, false);
        }
        Fault::EngineCrash => fleet.targets()[&affected_target(fleet, 4)].engine.crash(),
        Fault::CorruptChunks | Fault::StalledDownloads => {}
    }
}

fn partition_last_region(fleet: &Fleet, regions: &[Name], is_partitioned: bool) {
    let Some((last, others)) = regions.split_last() else {
        return;
    };
    for other in others {
        fleet
            .network()
            .partition_regions(last, other, is_partitioned);
    }
}

/// Returns the model target that a fault affects. Different numbers give different targets as long
/// as there are enough of them.
pub fn affected_target(fleet: &Fleet, number: usize) -> Name {
    let names: Vec<Name> = fleet.targets().into_keys().collect();
    names[number % names.len()].clone()
}
