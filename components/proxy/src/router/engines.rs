//! Asks the agents beside model engines what these do.
//!
//! The platform's list is seconds behind; an agent says at once that its engine stops taking
//! requests to load other weights, and when it is back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use control::router::{
    EnginePlace,
    Event, //
};
use protocol::{
    EngineStatus,
    Envelope,
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

use super::Router;

/// How often the list is looked through for engines that came or went.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How long an agent may take: it holds a question for five seconds.
const PATIENCE: Duration = Duration::from_secs(6);

/// The pause after an agent did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// How this process reaches the agents beside model engines.
#[derive(Clone, Debug)]
pub struct Agents {
    /// Names this process.
    pub me: Name,
    /// The port on which agents listen.
    pub port: u16,
    /// Connections to agents.
    pub pool: Pool,
}

impl Agents {
    /// Makes the way to agents without any connection yet.
    pub fn new(me: Name, port: u16) -> Self {
        let pool = Pool::new(PoolOptions::default());
        Self { me, port, pool }
    }

    /// The agent beside an engine.
    pub(super) fn beside(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.port)
    }
}

/// Asks every engine's agent for as long as the future is polled.
pub async fn watch_engines(router: Router) {
    let agents = router.inner.agents.clone();
    let mut watches: BTreeMap<Name, (EnginePlace, JoinHandle<()>)> = BTreeMap::new();
    let mut named = Vec::new();
    loop {
        let engines = router.inner.state.borrow().engines();
        // A question that waits does not carry versions named since.
        let now_named = named_versions(&router);
        let renew = now_named != named;
        named = now_named;
        watches.retain(|_, (place, task)| {
            let keep = !renew && engines.contains(place);
            if !keep {
                task.abort();
            }
            keep
        });
        for place in engines {
            let agent = agents.beside(place.address);
            watches.entry(place.target.clone()).or_insert_with(|| {
                let watch = watch(router.clone(), agents.clone(), place.clone(), agent);
                (place, tokio::task::spawn_local(watch))
            });
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn watch(router: Router, agents: Agents, place: EnginePlace, agent: SocketAddr) {
    let mut known: Option<EngineStatus> = None;
    loop {
        let message = {
            let now = router.elapsed();
            let state = router.inner.state.borrow();
            let named = state.named_versions(now);
            Envelope {
                from: agents.me.clone(),
                sheet: state.config_version(),
                list: 0,
                body: Request::Engine {
                    known,
                    named,
                    supply: place.supply.clone(),
                },
            }
        };
        match agents.pool.call(agent, &message, PATIENCE).await {
            Ok(call) => match call.reply.body {
                Reply::Engine {
                    status,
                    watchers,
                    named,
                } => {
                    known = Some(status);
                    hear_versions(&router, named);
                    router.tell(Event::Engine {
                        id: place.target.clone(),
                        version: status.version,
                        is_switching: status.is_switching,
                        watchers,
                    });
                }
                other => {
                    log::warn!("agent {agent} answered {other:?}");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            },
            Err(e) => {
                log::debug!("agent {agent} tells nothing: {e}");
                known = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The versions that are named, without their ages.
fn named_versions(router: &Router) -> Vec<(Name, u64)> {
    let named = router.inner.state.borrow().named_versions(Duration::ZERO);
    let versions = named.into_iter().map(|named| (named.model, named.version));
    versions.collect()
}

fn hear_versions(router: &Router, named: Vec<NamedVersion>) {
    for NamedVersion {
        model,
        version,
        age_ms,
    } in named
    {
        router.tell(Event::Version {
            model,
            version,
            age: age_ms.map(Duration::from_millis),
        });
    }
}
