//! Carrying out what the agent's reducer asks for.

use std::sync::Arc;
use std::time::Duration;

use control::agent::{
    Effect,
    Event,
    State,
    Version, //
};
use protocol::{
    Reply,
    Request, //
};
use utils::clock::Now;
use utils::Name;
use weights::MANIFEST_PIECE;

use super::{
    lock,
    Inner,
    Verdict, //
};

/// An order that is sent later than this after it was decided is stale: the process was paused.
const ORDER_AGE: Duration = Duration::from_secs(1);

/// How long another target may take to tell its state.
const STATUS_PATIENCE: Duration = Duration::from_secs(1);

impl Inner {
    /// Carries out one effect on the control thread, which must not block.
    pub(super) fn apply(self: &Arc<Self>, state: &State, now: Now, effect: Effect) {
        match effect {
            Effect::Follow(effect) => self.node.apply(state, now, effect),
            Effect::Transfer(effect) => self.apply_transfer(state, now, effect),
            Effect::Run {
                token,
                version,
                start,
            } => self.decide(token, Verdict::Run { version, start }),
            Effect::Refuse(token, outcome) => self.decide(token, Verdict::Refuse(outcome)),
            Effect::Ticket(token, ticket) => self.decide(token, Verdict::Ticket(ticket)),
            Effect::Cancel(token) => {
                if let Some(cancel) = lock(&self.cancels).get(&token) {
                    cancel.notify_one();
                }
            }
            Effect::ReadTarget { is_engine } => self.spawn(|inner| inner.read_target(is_engine)),
            Effect::Stage(version) => self.spawn(|inner| inner.stage(version)),
            Effect::Order {
                version,
                fence,
                decided,
            } => self.spawn(move |inner| inner.order(version, fence, decided)),
            Effect::AskStatus(name) => self.spawn(|inner| inner.ask_status(name)),
            Effect::KeepOnly(manifest) => self.store.keep_only(manifest.as_slice()),
            Effect::Record(decision) => {
                self.node.publish(state);
                self.node.record(now, decision);
            }
            Effect::Exit => self.exited.notify_waiters(),
        }
    }

    /// Runs a task on the traffic threads.
    pub(super) fn spawn<F>(self: &Arc<Self>, task: impl FnOnce(Arc<Self>) -> F)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        let _detached = self.node.runtime.spawn(task(self.clone()));
    }

    async fn read_target(self: Arc<Self>, is_engine: bool) {
        let state = if is_engine {
            self.target.engine_state().await
        } else {
            self.target.service_state().await
        };
        if let Err(e) = &state {
            log::debug!("{}: target: {e}", self.node.identity.instance);
        }
        self.node.control.send(Event::Engine(state.ok()));
    }

    async fn stage(self: Arc<Self>, version: Version) {
        let done = self.stage_pieces(&version).await;
        self.node.control.send(Event::Staged(version, done));
    }

    async fn stage_pieces(&self, version: &Version) -> bool {
        let Some(manifest) = self.store.manifest(&version.manifest) else {
            return false;
        };
        let count = u32::try_from(manifest.pieces()).unwrap_or(u32::MAX);
        for piece in MANIFEST_PIECE..count {
            let Some(data) = self.store.get(&version.manifest, piece) else {
                return false;
            };
            if let Err(e) = self.target.stage(&version.manifest, piece, data).await {
                log::warn!("the engine did not take piece {piece}: {e}");
                return false;
            }
        }
        true
    }

    /// Compares version and clock right before the order goes out, for engines that do not.
    async fn order(self: Arc<Self>, version: Version, fence: u64, decided: Duration) {
        let age = self.node.clock.now().elapsed.saturating_sub(decided);
        let is_current = fence == self.node.shared.sheet() && age <= ORDER_AGE;
        let done = is_current && self.give_order(&version, fence).await;
        self.node.control.send(Event::Ordered(done));
    }

    async fn give_order(&self, version: &Version, fence: u64) -> bool {
        match self.target.load(version, fence).await {
            Ok(()) => true,
            Err(e) => {
                log::warn!(
                    "the engine did not take the order for {}: {e}",
                    version.version
                );
                false
            }
        }
    }

    async fn ask_status(self: Arc<Self>, name: Name) {
        let call = self.node.ask(&name, Request::Status, STATUS_PATIENCE).await;
        let status = match call.map(|call| call.reply.body) {
            Ok(Reply::Status(status)) => Some(status),
            _ => None,
        };
        self.node.control.send(Event::Status(name, status));
    }
}
