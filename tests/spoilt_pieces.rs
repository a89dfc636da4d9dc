//! Pieces of weights that change at an engine between their staging and the order to load them. The entry and
//! the agents are real processes.

#[path = "soak/processes.rs"]
mod processes;
mod small_fleet;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::time::Duration;

use nix::sys::signal::Signal;
use small_fleet::SmallFleet;
use standin::engine::{
    piece_bytes,
    Target, //
};
use standin::publish::publish_version;
use tokio::time::{
    sleep,
    timeout, //
};

/// How long an update of all engines may take: 8 s, and the time to start after a disruption.
const UPDATE_TIME: Duration = Duration::from_secs(14);

/// Two engines of one data centre, which load a version one after the other.
struct Fleet(SmallFleet);

impl Fleet {
    /// Waits until one engine holds version 2 and waits for its turn, and returns its number.
    async fn wait_for_waiting_engine(&self) -> usize {
        let waiting = async {
            loop {
                let is_any_loaded = self.0.engines.iter().any(|e| e.version() == Some(2));
                let waiting = |e: &Target| e.version() == Some(1) && e.holds(2);
                if let Some(number) = self.0.engines.iter().position(waiting) {
                    if is_any_loaded {
                        return number;
                    }
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(UPDATE_TIME, waiting)
            .await
            .expect("an engine waits")
    }

    async fn wait_until_updated(&self) {
        let updated = async {
            while self.0.engines.iter().any(|e| e.version() != Some(2)) {
                // A target finishes loading when it is called.
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(UPDATE_TIME, updated)
            .await
            .expect("all engines are updated");
    }
}

struct Case {
    name: &'static str,
    /// Changes a piece at the engine that waits.
    change: fn(&Target),
    /// Whether its agent is killed and started again after that.
    restarts_agent: bool,
    /// How long its agent stands still after that.
    pause: Duration,
}

const CASES: [Case; 5] = [
    Case {
        name: "corrupt",
        change: |engine| engine.replace_staged_piece(5, b"corrupt".to_vec()),
        restarts_agent: false,
        pause: Duration::ZERO,
    },
    Case {
        name: "missing",
        change: |engine| engine.drop_staged_piece(0),
        restarts_agent: false,
        pause: Duration::ZERO,
    },
    Case {
        name: "of the version before",
        change: |engine| engine.replace_staged_piece(7, piece_bytes(1, 7)),
        restarts_agent: false,
        pause: Duration::ZERO,
    },
    Case {
        name: "corrupt, and the agent restarts",
        change: |engine| engine.replace_staged_piece(3, b"corrupt".to_vec()),
        restarts_agent: true,
        pause: Duration::ZERO,
    },
    Case {
        name: "corrupt, and the agent stands still",
        change: |engine| engine.replace_staged_piece(3, b"corrupt".to_vec()),
        restarts_agent: false,
        pause: Duration::from_secs(4),
    },
];

/// Guards against tokens of corrupt weights: the pieces are staged seconds before the engine's turn to load
/// them, and the engine loads what it holds when it accepts the order.
#[test]
fn no_engine_loads_a_piece_that_changed_while_it_waited_for_its_turn() {
    let cases = CASES
        .iter()
        .enumerate()
        .map(|(number, case)| std::thread::spawn(move || run_case(number, case)));
    let cases: Vec<_> = cases.collect();
    for case in cases {
        case.join().unwrap();
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run_case(number: usize, case: &Case) {
    let fleet = SmallFleet::start(&format!("spoilt-{number}"), 230 + number).await;
    let mut fleet = Fleet(fleet);
    publish_version(&fleet.0.store, 2);
    let waiting = fleet.wait_for_waiting_engine().await;
    (case.change)(&fleet.0.engines[waiting]);
    if case.restarts_agent {
        fleet.0.agents[waiting].restart();
    }
    if !case.pause.is_zero() {
        fleet.0.agents[waiting].signal(Signal::SIGSTOP);
        sleep(case.pause).await;
        fleet.0.agents[waiting].signal(Signal::SIGCONT);
    }
    fleet.wait_until_updated().await;
    for engine in &fleet.0.engines {
        assert_eq!(engine.incomplete_loads(), 0, "{}", case.name);
    }
}
