//! Engines that return pieces slowly, accept orders late, fall silent or start anew while pieces change. The
//! entry and the agents are real processes.

#[path = "soak/processes.rs"]
mod processes;
mod small_fleet;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::time::Duration;

use nix::sys::signal::Signal;
use processes::Process;
use small_fleet::{
    id,
    SmallFleet, //
};
use standin::engine::{
    Delays,
    Target, //
};
use standin::publish::{
    prompt_request_text,
    publish_target,
    publish_version,
    API_KEYS, //
};
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::time::{
    sleep,
    timeout, //
};

/// How long the engines of a case may take until each serves the new version: 8 s, and the time that slow
/// calls, a silence and a second load take.
const UPDATE_TIME: Duration = Duration::from_secs(90);

/// How often a piece becomes corrupt right after it was read.
const CORRUPTIONS: u32 = 3;

/// How often callers send a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// The runs on the new version that end a case, for each engine.
const RUNS_ON_NEW_VERSION: usize = 5;

#[derive(Clone, Copy)]
enum Fault {
    None,
    /// The agent stands still for a time, so long after the first order was received.
    AgentStops {
        after: Duration,
        time: Duration,
    },
    /// The agent ends so long after the first order was received, and starts again a time later.
    AgentEnds {
        after: Duration,
        time: Duration,
    },
    /// The agent runs only in a part of the time.
    AgentIsShortOfTime,
    /// The engine starts anew as soon as it received the first order.
    EngineRestarts,
}

struct Case {
    name: &'static str,
    delays: Delays,
    fault: Fault,
}

/// How long after its order an agent has certainly given it up, and the engine is silent still.
const TIME_TO_GIVE_UP: Duration = Duration::from_millis(2500);

const SILENCE_AT_ORDER: Delays = Delays {
    silence_at_order: Duration::from_secs(5),
    ..Delays::NONE
};

const CASES: [Case; 13] = [
    Case {
        name: "pieces are returned slowly",
        delays: Delays {
            reading: Duration::from_millis(450),
            ..Delays::NONE
        },
        fault: Fault::None,
    },
    Case {
        name: "pieces and the acceptance are slow",
        delays: Delays {
            reading: Duration::from_millis(250),
            order: Duration::from_millis(1500),
            ..Delays::NONE
        },
        fault: Fault::None,
    },
    Case {
        name: "the order is accepted after its call was given up",
        delays: Delays {
            reading: Duration::from_millis(300),
            order: Duration::from_millis(1900),
            ..Delays::NONE
        },
        fault: Fault::None,
    },
    Case {
        name: "the engine falls silent at the order",
        delays: Delays {
            silence_at_order: Duration::from_secs(5),
            ..Delays::NONE
        },
        fault: Fault::None,
    },
    Case {
        name: "the agent stands still at the order",
        delays: Delays {
            order: Duration::from_millis(300),
            ..Delays::NONE
        },
        fault: Fault::AgentStops {
            after: Duration::ZERO,
            time: Duration::from_secs(5),
        },
    },
    Case {
        name: "the agent is short of processor time",
        delays: Delays {
            reading: Duration::from_millis(40),
            ..Delays::NONE
        },
        fault: Fault::AgentIsShortOfTime,
    },
    Case {
        name: "the engine starts anew between report and order",
        delays: Delays {
            reading: Duration::from_millis(250),
            order: Duration::from_millis(1500),
            ..Delays::NONE
        },
        fault: Fault::EngineRestarts,
    },
    Case {
        name: "the engine falls silent at the order, and the agent stands still for longer",
        delays: SILENCE_AT_ORDER,
        fault: Fault::AgentStops {
            after: Duration::ZERO,
            time: Duration::from_secs(12),
        },
    },
    Case {
        name: "the engine falls silent at the order, and the agent starts anew before it goes on",
        delays: SILENCE_AT_ORDER,
        fault: Fault::AgentEnds {
            after: Duration::ZERO,
            time: Duration::ZERO,
        },
    },
    Case {
        name: "the engine falls silent at the order, and the agent starts anew after it has loaded",
        delays: SILENCE_AT_ORDER,
        fault: Fault::AgentEnds {
            after: Duration::ZERO,
            time: Duration::from_secs(8),
        },
    },
    Case {
        name: "the engine accepts an order that was given up while the agent stands still",
        delays: SILENCE_AT_ORDER,
        fault: Fault::AgentStops {
            after: TIME_TO_GIVE_UP,
            time: Duration::from_secs(12),
        },
    },
    Case {
        name: "the engine accepts an order that was given up after the agent started anew",
        delays: SILENCE_AT_ORDER,
        fault: Fault::AgentEnds {
            after: TIME_TO_GIVE_UP,
            time: Duration::ZERO,
        },
    },
    Case {
        name: "the engine accepts an order that was given up while the agent is down",
        delays: SILENCE_AT_ORDER,
        fault: Fault::AgentEnds {
            after: TIME_TO_GIVE_UP,
            time: Duration::from_secs(8),
        },
    },
];

/// Guards against tokens of corrupt weights: an engine loads what it holds when it accepts the order, which may
/// be long after the agent read the pieces.
#[test]
fn no_request_runs_on_a_piece_that_changed_long_before_the_order_was_accepted() {
    let cases = CASES
        .iter()
        .enumerate()
        .map(|(number, case)| std::thread::spawn(move || run_case(number, case)));
    let cases: Vec<_> = cases.collect();
    let results: Vec<_> = cases.into_iter().map(|case| case.join()).collect();
    assert!(results.iter().all(Result::is_ok));
}

#[tokio::main(flavor = "current_thread")]
async fn run_case(number: usize, case: &'static Case) {
    let fleet = SmallFleet::start(&format!("slow-engines-{number}"), 190 + number).await;
    let SmallFleet {
        store,
        runs,
        engines,
        addresses,
        agents,
        callers_address,
        entry: _entry,
    } = fleet;
    for engine in &engines {
        engine.set_delays(case.delays);
        engine.corrupt_after_reading(0, CORRUPTIONS);
    }
    tokio::spawn(send_requests(callers_address));
    publish_version(&store, 2);
    for (engine, agent) in engines.iter().zip(agents) {
        tokio::spawn(inject(case.fault, engine.clone(), agent));
    }
    let updated = async {
        let mut serving: Vec<usize> = (0..engines.len()).collect();
        while !serving.is_empty() {
            sleep(Duration::from_millis(100)).await;
            let all_runs = runs.all();
            let has_served = |i: &usize| {
                let runs = all_runs.iter();
                let runs = runs.filter(|run| run.target == id(*i) && run.version == 2);
                runs.count() >= RUNS_ON_NEW_VERSION
            };
            if let Some(position) = serving.iter().position(has_served) {
                // One engine could take all requests, so it leaves and the others must serve.
                let i = serving.remove(position);
                publish_target(&store, &id(i), "engines", addresses[i], true);
            }
        }
    };
    let ended = timeout(UPDATE_TIME, updated).await;
    for (i, engine) in engines.iter().enumerate() {
        let spoilt_runs = engine.spoilt_runs();
        assert_eq!(spoilt_runs, 0, "{}: engine {i}", case.name);
    }
    assert!(
        ended.is_ok(),
        "{}: not all engines serve version 2",
        case.name
    );
}

/// Injects the fault, and keeps the agent running until the case ends.
async fn inject(fault: Fault, engine: Target, mut agent: Process) {
    let has_received_order = async {
        while !engine.has_received_order() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    match fault {
        Fault::None => {}
        Fault::AgentStops { after, time } => {
            has_received_order.await;
            sleep(after).await;
            stop_for(&mut agent, time).await;
        }
        Fault::AgentEnds { after, time } => {
            has_received_order.await;
            sleep(after).await;
            agent.signal(Signal::SIGKILL);
            sleep(time).await;
            agent.restart();
        }
        Fault::AgentIsShortOfTime => {
            for _ in 0..50 {
                stop_for(&mut agent, Duration::from_millis(450)).await;
                sleep(Duration::from_millis(10)).await;
            }
        }
        Fault::EngineRestarts => {
            has_received_order.await;
            engine.restart();
        }
    }
    std::future::pending().await
}

async fn stop_for(agent: &mut Process, time: Duration) {
    agent.signal(Signal::SIGSTOP);
    sleep(time).await;
    agent.signal(Signal::SIGCONT);
}

/// Sends requests for streams until the test ends, each on a connection of its own.
async fn send_requests(address: String) {
    for number in 0_u64.. {
        let address = address.clone();
        tokio::spawn(async move {
            let Ok(mut caller) = TcpStream::connect(address).await else {
                return;
            };
            let (id, prompt) = (format!("r-{number}"), format!("{number:x}"));
            let request = prompt_request_text(&id, API_KEYS[0], &[&prompt]);
            let mut answer = vec![0; 4096];
            if caller.write_all(request.as_bytes()).await.is_ok() {
                // The answers do not matter here, only what engines run.
                while let Ok(Ok(1..)) =
                    timeout(Duration::from_secs(3), caller.read(&mut answer)).await
                {
                }
            }
        });
        sleep(REQUEST_INTERVAL).await;
    }
}
