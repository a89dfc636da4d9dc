//! Faults that are brought about while a version spreads.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use protocol::InstanceState;
use standins::{
    OriginSwitches,
    PlatformSwitches, //
};
use utils::Name;

use crate::nodes::Fleet;

/// A fault by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An agent dies in the middle.
    Death,
    /// An agent is paused for a while and wakes.
    Pause,
    /// An agent starts late.
    LateJoiner,
    /// Every eighth chunk from the origin is corrupt.
    Corrupt,
    /// Some draws from the origin stop half way.
    Stall,
    /// An instance leaves by the list in the middle.
    Leaving,
    /// The configuration service is down during the burst.
    ServiceDown,
    /// A newer sheet drops the version mid-way and names another.
    NewerSheet,
    /// A region is parted from the others for a while.
    Partition,
    /// An engine turns cold again in the middle.
    TurnsCold,
}

/// Every fault and its name.
const NAMES: [(Fault, &str); 10] = [
    (Fault::Death, "death"),
    (Fault::Pause, "pause"),
    (Fault::LateJoiner, "late-joiner"),
    (Fault::Corrupt, "corrupt"),
    (Fault::Stall, "stall"),
    (Fault::Leaving, "leaving"),
    (Fault::ServiceDown, "service-down"),
    (Fault::NewerSheet, "newer-sheet"),
    (Fault::Partition, "partition"),
    (Fault::TurnsCold, "turns-cold"),
];

impl Fault {
    /// Every fault.
    pub fn all() -> impl Iterator<Item = Self> {
        NAMES.iter().map(|(fault, _)| *fault)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = NAMES.iter().find(|(fault, _)| fault == self);
        f.write_str(name.map_or("unknown", |(_, name)| name))
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found.map(|(fault, _)| *fault).ok_or_else(|| {
            let names: Vec<&str> = NAMES.iter().map(|(_, name)| *name).collect();
            format!(
                "unknown fault {text:?}, expected one of {}",
                names.join(", ")
            )
        })
    }
}

/// What a fault does before the burst starts.
pub fn prepare(fleet: &Fleet, fault: Fault) {
    match fault {
        Fault::Corrupt => fleet.origin().set(OriginSwitches {
            corrupt_every: Some(8),
            ..OriginSwitches::default()
        }),
        Fault::Stall => fleet.origin().set(OriginSwitches {
            stall_every: Some(16),
            ..OriginSwitches::default()
        }),
        Fault::LateJoiner => fleet.kill_agent(&victim(fleet, 1)),
        _ => {}
    }
}

/// What a fault does while the burst runs, `bound` being the burst's shortest time.
pub async fn strike(fleet: &Fleet, fault: Fault, bound: Duration) {
    tokio::time::sleep(bound / 4).await;
    match fault {
        Fault::Death => fleet.kill_instance(&victim(fleet, 0)),
        Fault::Pause => {
            if let Some(agent) = fleet.targets()[&victim(fleet, 2)].agent.clone() {
                agent.control().pause(bound / 2);
            }
        }
        Fault::LateJoiner => {
            tokio::time::sleep(bound / 4).await;
            if let Err(e) = fleet.start_agent(&victim(fleet, 1)).await {
                eprintln!("the late joiner did not start: {e}");
            }
        }
        Fault::Leaving => {
            let name = victim(fleet, 3);
            fleet.platform().set_state(&name, InstanceState::Leaving);
        }
        Fault::ServiceDown => {
            fleet.platform().set(PlatformSwitches {
                down: true,
                ..PlatformSwitches::default()
            });
            tokio::time::sleep(bound / 2).await;
            fleet.platform().set(PlatformSwitches::default());
        }
        Fault::NewerSheet => {
            fleet.roll_out("v3", 3);
        }
        Fault::Partition => {
            let regions = fleet.layout().regions();
            cut_last_region(fleet, &regions, true);
            tokio::time::sleep(bound / 2).await;
            cut_last_region(fleet, &regions, false);
        }
        Fault::TurnsCold => fleet.targets()[&victim(fleet, 4)].engine.crash(),
        Fault::Corrupt | Fault::Stall => {}
    }
}

fn cut_last_region(fleet: &Fleet, regions: &[Name], cut: bool) {
    let Some((last, others)) = regions.split_last() else {
        return;
    };
    for other in others {
        fleet.network().cut_regions(last, other, cut);
    }
}

/// The instance that a fault hits. Different faults hit different ones where there are enough.
pub fn victim(fleet: &Fleet, number: usize) -> Name {
    let names: Vec<Name> = fleet.targets().into_keys().collect();
    names[number % names.len()].clone()
}
