//! Exchanges crashes of targets with the agents, or with other entries while no agent is reached.

use std::net::SocketAddr;
use std::time::Duration;

use control::router::{
    CrashExchange,
    CrashPeer,
    Event, //
};
use protocol::{
    Crash,
    Envelope,
    Reply,
    Request, //
};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wire::Responder;

use super::engines::{
    AGENT_TIMEOUT,
    RETRY_DELAY, //
};
use super::Router;
use crate::crash_replies::add_or_wait_for_crashes;

/// The delay before a new crash is reported, so that all requests of the crashed target are
/// reported together.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Exchanges crashes with a process at an address while the future is polled.
pub(super) async fn exchange_crashes(router: Router, peer: CrashPeer, address: SocketAddr) {
    let mut exchange = CrashExchange::default();
    loop {
        if !router.exchanges_crashes_with(&peer) {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let own_revision = router.inner.state.borrow().crash_revision();
        let crashes = router.crashes_to_report(&peer, &exchange);
        let is_report = !crashes.is_empty();
        let reply = tokio::select! {
            reply = router.call_crashes(address, exchange.received(), crashes) => reply,
            () = router.wait_for_crashes_to_report(&peer, &exchange), if !is_report => continue,
        };
        match reply {
            Some((incarnation, revision)) => {
                let reported = is_report.then_some(own_revision);
                exchange.handle_reply(incarnation, revision, reported);
            }
            None => {
                if let CrashPeer::Agent(target) = &peer {
                    router.handle_event(Event::CrashExchangeFailed(target.clone()));
                    router.check_crashes_to_report();
                }
                exchange = CrashExchange::default();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Exchanges crashes with other entries while the future is polled: calls those whose addresses are
/// known, and answers the calls that arrive at the listener.
pub async fn exchange_crashes_with_entries(
    router: Router,
    listener: TcpListener,
    known_entries: Vec<SocketAddr>,
) {
    let own_address = listener.local_addr().ok();
    for entry in known_entries {
        if Some(entry) != own_address {
            let exchange = exchange_crashes(router.clone(), CrashPeer::Entry, entry);
            tokio::task::spawn_local(exchange);
        }
    }
    let (tx, mut rx) = mpsc::unbounded_channel();
    let serving = wire::serve(listener, move |request, responder| {
        // The receiver lives as long as the listener.
        let _sent = tx.send((request, responder));
        std::future::ready(())
    });
    let answering = async {
        while let Some((request, responder)) = rx.recv().await {
            tokio::task::spawn_local(answer(router.clone(), request, responder));
        }
    };
    tokio::join!(serving, answering);
}

async fn answer(router: Router, request: Envelope<Request>, mut responder: Responder) {
    let reply = match request.body {
        Request::Crashes {
            known_revision,
            reported,
        } => {
            let is_awaited = add_or_wait_for_crashes(
                reported,
                |crashes| router.handle_event(Event::CrashesReported(crashes)),
                router.inner.crash_revision.subscribe(),
                known_revision,
                &mut responder,
            );
            if !is_awaited.await {
                return;
            }
            router.crashes_after(known_revision)
        }
        _ => Reply::Unsupported,
    };
    if let Err(e) = responder.send_last(&router.envelope(reply)).await {
        log::debug!("cannot send crashes to {}: {e}", request.sender);
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

    fn exchanges_crashes_with(&self, peer: &CrashPeer) -> bool {
        let state = self.inner.state.borrow();
        state.exchanges_crashes_with(self.elapsed(), peer)
    }

    fn crashes_after(&self, known_revision: u64) -> Reply {
        let state = self.inner.state.borrow();
        Reply::Crashes {
            incarnation: self.inner.incarnation,
            revision: state.crash_revision(),
            crashes: state.crashes_after(self.elapsed(), known_revision),
        }
    }

    fn crashes_to_report(&self, peer: &CrashPeer, exchange: &CrashExchange) -> Vec<Crash> {
        let state = self.inner.state.borrow();
        exchange.crashes_to_report(self.elapsed(), &state, peer)
    }

    async fn wait_for_crashes_to_report(&self, peer: &CrashPeer, exchange: &CrashExchange) {
        let mut revision = self.inner.crash_revision.subscribe();
        // The sender lives as long as this router.
        while revision.changed().await.is_ok() {
            if !self.crashes_to_report(peer, exchange).is_empty() {
                tokio::time::sleep(REPORT_DELAY).await;
                return;
            }
        }
    }

    /// Exchanges crashes with a process and applies its reply. Returns its incarnation and revision,
    /// or `None` if the call failed.
    async fn call_crashes(
        &self,
        address: SocketAddr,
        known_revision: u64,
        reported: Vec<Crash>,
    ) -> Option<(u64, u64)> {
        let message = self.envelope(Request::Crashes {
            known_revision,
            reported,
        });
        let pool = &self.inner.agent_client.pool;
        match pool.call(address, &message, AGENT_TIMEOUT).await {
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
                    log::warn!("unexpected reply of {address}: {other:?}");
                    None
                }
            },
            Err(e) => {
                log::debug!("cannot exchange crashes with {address}: {e}");
                None
            }
        }
    }
}
