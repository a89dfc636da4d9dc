//! Executes the effects that the reducer of an agent returns.

use std::sync::Arc;
use std::time::Duration;

use control::agent::{
    Effect,
    Event,
    ModelVersion,
    OrderOutcome,
    StagedPieces,
    State, //
};
use control::PieceCheck;
use http::StatusCode;
use protocol::{
    Reply,
    Request, //
};
use utils::clock::ClockReading;
use utils::millis::millis;
use utils::Name;
use weights::MANIFEST_PIECE;

use crate::error::ProxyError;
use crate::target::StagedPiece;

use super::{
    lock,
    ControlReply,
    Inner, //
};

/// The maximum age of a load order when it is sent. An older one is dropped, since the process was
/// paused after the decision, which may be outdated.
const MAX_ORDER_AGE: Duration = Duration::from_secs(1);

/// The status of an engine's answer to an order after the time until which it could be accepted.
const LATE_ORDER_STATUS: u16 = StatusCode::PRECONDITION_FAILED.as_u16();

/// The maximum number of rounds that check all pieces and send the differing ones.
const MAX_STAGING_ROUNDS: usize = 3;

/// The timeout for the status request to the agent of another target.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

impl Inner {
    /// Executes one effect. Runs on the control thread and must not block.
    pub(super) fn execute(self: &Arc<Self>, state: &State, now: ClockReading, effect: Effect) {
        match effect {
            Effect::Follow(effect) => self.node.execute(state, now, effect),
            Effect::Transfer(effect) => self.execute_transfer(state, now, effect),
            Effect::Run {
                token,
                version,
                start_count,
            } => self.send_reply(
                token,
                ControlReply::Run {
                    version,
                    start_count,
                },
            ),
            Effect::Refuse(token, outcome) => self.send_reply(token, ControlReply::Refuse(outcome)),
            Effect::IssueTicket(token, ticket) => {
                self.send_reply(token, ControlReply::Ticket(ticket))
            }
            Effect::Cancel(token) => {
                if let Some(signal) = lock(&self.cancel_signals).get(&token) {
                    signal.notify_one();
                }
            }
            Effect::ReadTarget { is_engine } => {
                self.spawn(|inner| inner.read_target_state(is_engine))
            }
            Effect::Stage(version) => self.spawn(|inner| inner.stage_version(version)),
            Effect::Order {
                version,
                fencing_number,
                decided_at,
                accept_until,
            } => self.spawn(move |inner| {
                inner.order_load(version, fencing_number, decided_at, accept_until)
            }),
            Effect::RequestStatus(name) => self.spawn(|inner| inner.request_status(name)),
            Effect::DeletePiecesExcept(manifest) => self.store.keep_only(manifest.as_slice()),
            Effect::Record(decision) => {
                self.node.publish(state);
                self.node.record(now, decision);
            }
            Effect::Exit => {
                self.drained.send_replace(true);
            }
        }
    }

    /// Spawns a task on the runtime of the traffic threads.
    pub(super) fn spawn<F>(self: &Arc<Self>, task: impl FnOnce(Arc<Self>) -> F)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        let _detached = self.node.runtime.spawn(task(self.clone()));
    }

    async fn read_target_state(self: Arc<Self>, is_engine: bool) {
        let state = if is_engine {
            self.target.engine_state().await
        } else {
            self.target.service_state().await
        };
        if let Err(e) = &state {
            log::debug!(
                "{}: cannot read the state of the target: {e}",
                self.node.identity.instance
            );
        }
        self.node.control.send(Event::EngineStateRead(state.ok()));
    }

    async fn stage_version(self: Arc<Self>, version: ModelVersion) {
        let staged = self.stage_pieces(&version).await;
        self.node
            .control
            .send(Event::StagingFinished(version, staged));
    }

    /// Makes the engine hold every piece. Returns `None` if the engine does not hold them.
    async fn stage_pieces(&self, version: &ModelVersion) -> Option<StagedPieces> {
        let manifest = self.store.manifest(&version.manifest)?;
        let count = u32::try_from(manifest.piece_count()).unwrap_or(u32::MAX);
        let mut sent_pieces = 0;
        let mut round_before = None;
        for round in 0..MAX_STAGING_ROUNDS {
            let round_started_at = self.node.clock.now().elapsed;
            let mut started_at = round_started_at;
            let mut sent = 0;
            for piece in MANIFEST_PIECE..count {
                let data = self.store.get(&version.manifest, piece)?;
                match self.target.staged(&version.manifest, piece, &data).await {
                    StagedPiece::Same => continue,
                    // The engine accepted the piece in the last round, and cannot say more.
                    StagedPiece::NotReadable if round > 0 => {
                        started_at = round_before.unwrap_or(started_at);
                        continue;
                    }
                    StagedPiece::NotReadable | StagedPiece::Differs => {}
                }
                if let Err(e) = self.target.stage(&version.manifest, piece, data).await {
                    log::warn!("cannot send piece {piece} to the engine: {e}");
                    return None;
                }
                sent += 1;
            }
            if sent == 0 {
                let ended_at = self.node.clock.now().elapsed;
                return Some(StagedPieces {
                    check: PieceCheck {
                        started_at,
                        ended_at,
                    },
                    sent_pieces,
                });
            }
            sent_pieces += sent;
            round_before.get_or_insert(round_started_at);
            log::info!(
                "{sent} pieces of {} were missing or corrupt at the engine and were sent",
                version.version
            );
        }
        log::warn!(
            "the engine does not hold the pieces of {} that were sent",
            version.version
        );
        None
    }

    /// Orders the engine to load a version. Checks the sheet version and the age of the order
    /// immediately before sending it, because not every engine checks the fencing number.
    async fn order_load(
        self: Arc<Self>,
        version: ModelVersion,
        fencing_number: u64,
        decided_at: Duration,
        accept_until: Duration,
    ) {
        let now = self.node.clock.now();
        let age = now.elapsed.saturating_sub(decided_at);
        let is_current = fencing_number == self.node.shared.sheet_version() && age <= MAX_ORDER_AGE;
        let outcome = if is_current {
            let accept_until_ms = now.unix_ms() + millis(accept_until.saturating_sub(now.elapsed));
            self.send_load_order(&version, fencing_number, accept_until_ms)
                .await
        } else {
            OrderOutcome::NotSent
        };
        self.node
            .control
            .send(Event::OrderFinished(decided_at, outcome));
    }

    async fn send_load_order(
        &self,
        version: &ModelVersion,
        fencing_number: u64,
        accept_until_ms: u64,
    ) -> OrderOutcome {
        let answer = self
            .target
            .order_load(version, fencing_number, accept_until_ms)
            .await;
        let Err(e) = answer else {
            return OrderOutcome::Accepted(self.node.clock.now().elapsed);
        };
        log::warn!(
            "the engine did not accept the order to load {}: {e}",
            version.version
        );
        match e {
            ProxyError::Status(LATE_ORDER_STATUS) => OrderOutcome::TooLate,
            ProxyError::Status(400..=499) => OrderOutcome::Refused,
            _ => OrderOutcome::NoAnswer,
        }
    }

    async fn request_status(self: Arc<Self>, name: Name) {
        let call = self.node.call(&name, Request::Status, STATUS_TIMEOUT).await;
        let status = match call.map(|call| call.reply.body) {
            Ok(Reply::Status(status)) => Some(status),
            _ => None,
        };
        self.node.control.send(Event::StatusReceived(name, status));
    }
}
