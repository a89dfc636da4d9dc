//! Watches the state of model engines by asking the agents on their instances.
//!
//! The platform's list of targets is seconds behind. An agent reports at once that its engine stops
//! accepting requests to load other weights, and that it accepts them again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use control::router::{
    CrashPeer,
    EngineTarget,
    Event, //
};
use protocol::{
    EngineStatus,
    NamedVersion,
    Reply,
    Request, //
};
use tokio::task::JoinHandle;
use utils::Name;
use wire::{
    Pool,
    PoolOptions, //
};

use super::crashes::exchange_crashes;
use super::Router;

/// How often the watches are adjusted to the list of engines.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// How often watches are started while some are missing.
const START_INTERVAL: Duration = Duration::from_millis(100);

/// New agents that are called at once. Each needs a connection, and a process that starts must serve
/// callers meanwhile.
const MAX_STARTS_AT_ONCE: usize = 8;

/// How long an agent may take to reply. It holds a request for up to five seconds until its state
/// changes.
pub(super) const AGENT_TIMEOUT: Duration = Duration::from_secs(6);

/// The delay after a call to an agent failed.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(700);

/// The client of the agents on the instances of model engines.
#[derive(Clone, Debug)]
pub struct AgentClient {
    /// The name of this process's instance.
    pub instance: Name,
    /// The port on which agents listen.
    pub port: u16,
    /// The connections to agents.
    pub pool: Pool,
}

impl AgentClient {
    /// Creates a client without any connections.
    pub fn new(instance: Name, port: u16) -> Self {
        let pool = Pool::new(PoolOptions::default());
        Self {
            instance,
            port,
            pool,
        }
    }

    /// The address of the agent on the instance of an engine.
    pub(super) fn agent_address(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.port)
    }
}

/// The task of each engine, by target.
type EngineTasks = BTreeMap<Name, (EngineTarget, JoinHandle<()>)>;

/// Watches all engines while the future is polled.
pub async fn run_engine_watches(router: Router) {
    let agent_client = router.inner.agent_client.clone();
    let mut watches = EngineTasks::new();
    let mut exchanges = EngineTasks::new();
    let mut sent_versions = Vec::new();
    loop {
        let mut engines = router.inner.state.borrow().engines();
        // Restarts all watches when a version is named: the requests that agents are holding do not
        // contain it.
        let versions = router.inner.state.borrow().newest_versions();
        let must_restart = versions != sent_versions;
        sent_versions = versions;
        if must_restart {
            stop_tasks(&mut watches, &[]);
        }
        stop_tasks(&mut watches, &engines);
        stop_tasks(&mut exchanges, &engines);
        let count = engines.len();
        limit_starts(&mut engines, &exchanges);
        let are_all_called = engines.len() == count;
        for engine in engines {
            let agent = agent_client.agent_address(engine.address);
            exchanges.entry(engine.target.clone()).or_insert_with(|| {
                let exchange = exchange_crashes(
                    router.clone(),
                    CrashPeer::Agent(engine.target.clone()),
                    agent,
                );
                (engine.clone(), tokio::task::spawn_local(exchange))
            });
            watches.entry(engine.target.clone()).or_insert_with(|| {
                let watch =
                    watch_engine(router.clone(), agent_client.clone(), engine.clone(), agent);
                (engine, tokio::task::spawn_local(watch))
            });
        }
        let interval = if are_all_called {
            REFRESH_INTERVAL
        } else {
            START_INTERVAL
        };
        tokio::time::sleep(interval).await;
        router.check_crashes_to_report();
    }
}

/// Leaves out the engines beyond the first few with whose agents there is no exchange yet.
fn limit_starts(engines: &mut Vec<EngineTarget>, exchanges: &EngineTasks) {
    let mut starts = 0;
    engines.retain(|engine| {
        let is_new = !exchanges.contains_key(&engine.target);
        starts += usize::from(is_new);
        !is_new || starts <= MAX_STARTS_AT_ONCE
    });
}

/// Stops the tasks of all engines but these.
fn stop_tasks(tasks: &mut EngineTasks, engines: &[EngineTarget]) {
    tasks.retain(|_, (engine, task)| {
        let keep = engines.contains(engine);
        if !keep {
            task.abort();
        }
        keep
    });
}

async fn watch_engine(
    router: Router,
    agent_client: AgentClient,
    engine: EngineTarget,
    agent: SocketAddr,
) {
    let mut known: Option<EngineStatus> = None;
    loop {
        let sent_at = router.elapsed();
        let request = {
            let state = router.inner.state.borrow();
            Request::Engine {
                data_centre: state.data_centre().clone(),
                known,
                named: state.named_versions(sent_at),
                weight_source: engine.weight_source.clone(),
            }
        };
        let message = router.envelope(request);
        match agent_client.pool.call(agent, &message, AGENT_TIMEOUT).await {
            Ok(call) => match call.reply.body {
                Reply::Engine {
                    status,
                    watchers,
                    named,
                    held_ms,
                } => {
                    known = Some(status);
                    // The agent has written the reply later than this.
                    let written_after = sent_at + Duration::from_millis(held_ms);
                    handle_versions(&router, written_after, named);
                    router.handle_event(Event::EngineReported {
                        id: engine.target.clone(),
                        version: status.version,
                        is_switching: status.is_switching,
                        process_count: watchers,
                    });
                }
                other => {
                    log::warn!("unexpected reply of agent {agent}: {other:?}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            },
            Err(e) => {
                log::debug!("cannot get the engine state from agent {agent}: {e}");
                known = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn handle_versions(router: &Router, written_after: Duration, named: Vec<NamedVersion>) {
    for named in named {
        router.handle_event(Event::VersionNamed {
            age: named.age(),
            published_after: named.published_after(written_after),
            model: named.model,
            version: named.version,
        });
    }
}
