//! Capacity of the engine that other processes reserve.

use std::time::Duration;

use protocol::{
    EngineCondition,
    Reply,
    ReservationTerms, //
};
use wire::Responder;

use super::{
    lock,
    Agent, //
};

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::keeper::places";

/// The longest duration of a reservation. Callers wait for six seconds; a process that no longer
/// responds must not keep reservations for ever.
const MAX_RESERVATION_TIME: Duration = Duration::from_secs(10);

/// A reservation, which is released when dropped.
struct Reservation<'a> {
    agent: &'a Agent,
    number: u64,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        lock(&self.agent.state).release(self.number);
    }
}

impl Agent {
    /// Reserves capacity for as long as the requesting process keeps the call open.
    pub(super) async fn answer_reserve(
        &self,
        prompt_tokens: u32,
        terms: &ReservationTerms,
        mut responder: Responder,
    ) {
        let now = self.clock.now().elapsed;
        let (number, backlog, limit, learned_limit) = {
            let mut state = lock(&self.state);
            let (number, backlog) = state.reserve(now, prompt_tokens, terms);
            (number, backlog, state.limit(now), state.learned_limit())
        };
        let reply = Reply::Reserved {
            number,
            backlog,
            limit: limit.filter(|_| terms.limit.is_some()),
            condition: EngineCondition {
                learned_limit,
                ..EngineCondition::default()
            },
        };
        let Some(number) = number else {
            self.send_reply(responder, reply).await;
            return;
        };
        let reservation = Reservation {
            agent: self,
            number,
        };
        let reply = self.envelope(reply);
        if let Err(e) = responder.send(&reply).await {
            log::debug!(target: LOG_TARGET, "cannot send a reservation: {e}");
            return;
        }
        if tokio::time::timeout(MAX_RESERVATION_TIME, responder.wait_closed())
            .await
            .is_err()
        {
            log::info!(
                target: LOG_TARGET,
                "reservation {number} was released after the time limit"
            );
        }
        drop(reservation);
    }

    pub(super) async fn answer_prompt_prefilled(&self, number: u64, responder: Responder) {
        let now = self.clock.now().elapsed;
        let decision = lock(&self.state).record_prompt_prefilled(now, number);
        if let Some(decision) = decision {
            self.record(decision);
        }
        self.send_reply(responder, Reply::Acknowledged).await;
    }
}
