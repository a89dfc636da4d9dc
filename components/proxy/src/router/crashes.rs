//! Exchanges crashes of targets with the agents.

use std::net::SocketAddr;
use std::time::Duration;

use control::router::{
    CrashExchange,
    EngineTarget,
    Event, //
};
use protocol::{
    Crash,
    Reply,
    Request, //
};

use super::engines::{
    AGENT_TIMEOUT,
    RETRY_DELAY, //
};
use super::Router;

/// The delay before a new crash is reported, so that all requests of the crashed target are
/// reported together.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Exchanges crashes with the agent of one engine while the future is polled.
pub(super) async fn exchange_crashes(router: Router, engine: EngineTarget, agent: SocketAddr) {
    let mut exchange = CrashExchange::default();
    loop {
        let own_revision = router.inner.state.borrow().crash_revision();
        let crashes = router.crashes_to_report(&engine, &exchange);
        let is_report = !crashes.is_empty();
        let reply = tokio::select! {
            reply = router.call_crashes(agent, exchange.received(), crashes) => reply,
            () = router.wait_for_crashes_to_report(&engine, &exchange), if !is_report => continue,
        };
        match reply {
            Some((incarnation, revision)) => {
                let reported = is_report.then_some(own_revision);
                exchange.handle_reply(incarnation, revision, reported);
            }
            None => {
                exchange = CrashExchange::default();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl Router {
    /// Wakes the exchanges with all agents, since agents that became reachable or unreachable
    /// change which of them are told of crashes.
    pub(super) fn check_crashes_to_report(&self) {
        if *self.inner.crash_revision.borrow() > 0 {
            self.inner.crash_revision.send_modify(|_| {});
        }
    }

    fn crashes_to_report(&self, engine: &EngineTarget, exchange: &CrashExchange) -> Vec<Crash> {
        let state = self.inner.state.borrow();
        exchange.crashes_to_report(self.elapsed(), &state, &engine.target)
    }

    async fn wait_for_crashes_to_report(&self, engine: &EngineTarget, exchange: &CrashExchange) {
        let mut revision = self.inner.crash_revision.subscribe();
        // The sender lives as long as this router.
        while revision.changed().await.is_ok() {
            if !self.crashes_to_report(engine, exchange).is_empty() {
                tokio::time::sleep(REPORT_DELAY).await;
                return;
            }
        }
    }

    /// Exchanges crashes with an agent and applies its reply. Returns the agent's incarnation and
    /// revision, or `None` if the call failed.
    async fn call_crashes(
        &self,
        agent: SocketAddr,
        known_revision: u64,
        reported: Vec<Crash>,
    ) -> Option<(u64, u64)> {
        let message = self.agent_message(Request::Crashes {
            known_revision,
            reported,
        });
        let pool = &self.inner.agent_client.pool;
        match pool.call(agent, &message, AGENT_TIMEOUT).await {
            Ok(call) => match call.reply.body {
                Reply::Crashes {
                    incarnation,
                    revision,
                    crashes,
                } => {
                    self.handle_event(Event::CrashesReported(crashes));
                    Some((incarnation, revision))
                }
                other => {
                    log::warn!("unexpected reply of agent {agent}: {other:?}");
                    None
                }
            },
            Err(e) => {
                log::debug!("cannot exchange crashes with agent {agent}: {e}");
                None
            }
        }
    }
}
