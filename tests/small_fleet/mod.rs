//! Engines of one data centre with an agent each, and an entry in front of them. The entry and the agents are
//! real processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tokio::time::sleep;

use crate::processes::Process;
use crate::standin::engine::{
    handle_origin_request,
    Runs,
    Target, //
};
use crate::standin::publish::{
    publish_config,
    publish_target,
    ProcessAddresses,
    API_KEYS,
    CALLERS_PORT, //
};
use crate::standin::{
    listen,
    listen_with_delay,
    Store, //
};

const ENGINES: usize = 2;

/// How long processes have to start, and agents to learn of each other.
const STARTUP_TIME: Duration = Duration::from_secs(2);

#[allow(dead_code, reason = "each test program uses a part of it")]
pub struct SmallFleet {
    pub store: Store,
    pub runs: Runs,
    /// The engines, which run version 1, their addresses and their agents, in the same order.
    pub engines: Vec<Target>,
    pub addresses: Vec<SocketAddr>,
    pub agents: Vec<Process>,
    /// Where the entry serves callers.
    pub callers_address: String,
    pub entry: Process,
}

impl SmallFleet {
    /// Starts a fleet whose files stand in a folder of this name. `network` is the third number of its addresses;
    /// fleets that run at the same time need different ones.
    pub async fn start(name: &str, network: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let run = std::process::id() % 200 + 20;
        let ip = |host: usize| format!("127.{run}.{network}.{host}");
        let store = Store::default();
        publish_config(&store, 1, &API_KEYS, listen(handle_origin_request).await);
        let store_address = store.start().await;
        let process = |role, name: String, own_ip, engine| {
            let addresses = ProcessAddresses {
                name,
                ip: own_ip,
                store: store_address,
                engine,
                seeds: vec![ip(10)],
            };
            Process::start(&folder, role, addresses)
        };
        let runs = Runs::default();
        let mut engines = Vec::new();
        let mut addresses = Vec::new();
        let mut agents = Vec::new();
        for i in 0..ENGINES {
            let engine = Target::engine(&id(i), &runs);
            let address = serve_engine(&engine, &format!("{}:8001", ip(100 + i))).await;
            publish_target(&store, &id(i), "engines", address, false);
            let agent = process("agent", format!("agent-{i}"), ip(100 + i), Some(address));
            engines.push(engine);
            addresses.push(address);
            agents.push(agent);
        }
        let entry = process("entry", "entry".into(), ip(10), None);
        sleep(STARTUP_TIME).await;
        Self {
            store,
            runs,
            engines,
            addresses,
            agents,
            callers_address: format!("{}:{CALLERS_PORT}", ip(10)),
            entry,
        }
    }
}

/// The id of the engine with this number.
pub fn id(number: usize) -> String {
    format!("e-{number}")
}

async fn serve_engine(engine: &Target, address: &str) -> SocketAddr {
    let (delays, responder) = (engine.clone(), engine.clone());
    listen_with_delay(
        address,
        move |request| delays.delay(request),
        move |request| responder.respond(request),
    )
    .await
}
