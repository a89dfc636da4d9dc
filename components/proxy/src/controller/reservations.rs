//! Capacity of the engine that other processes reserve.

use std::time::Duration;

use control::controller::{
    ReservationAnswer,
    Reserved, //
};
use protocol::{
    Reply,
    ReservationTerms, //
};
use tokio::sync::oneshot;
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
        self.agent.end_waits();
    }
}

/// A request that waits for capacity. Dropping it removes it from the queue.
struct Wait<'a> {
    agent: &'a Agent,
    number: u64,
    rx: oneshot::Receiver<Option<Reserved>>,
}

impl Wait<'_> {
    /// Waits until capacity is reserved. Returns `None` if the request is refused.
    async fn reserved(&mut self) -> Option<Reserved> {
        (&mut self.rx).await.ok().flatten()
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        lock(&self.agent.waiting).remove(&self.number);
        lock(&self.agent.state).stop_waiting(self.number);
        // A reservation that was made while the wait ended is not used.
        self.rx.close();
        if let Ok(Some(reserved)) = self.rx.try_recv() {
            lock(&self.agent.state).release(reserved.number);
        }
        // Requests behind this one may fit where it did not.
        self.agent.end_waits();
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
        let (answer, wait) = {
            let mut state = lock(&self.state);
            let answer = state.request(now, prompt_tokens, terms);
            let wait = match answer {
                ReservationAnswer::Waiting(number) => Some(self.register_wait(number)),
                _ => None,
            };
            (answer, wait)
        };
        let reserved = match (answer, wait) {
            (ReservationAnswer::Reserved(reserved), _) => Some(reserved),
            (_, Some(wait)) => match self.wait_for_capacity(wait, terms, &mut responder).await {
                Ok(reserved) => reserved,
                Err(()) => return,
            },
            _ => None,
        };
        let Some(reserved) = reserved else {
            let reply = self.reserved_reply(None, terms);
            self.send_reply(responder, reply).await;
            return;
        };
        let reservation = Reservation {
            agent: self,
            number: reserved.number,
        };
        let reply = self.envelope(self.reserved_reply(Some(reserved), terms));
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
                "reservation {} was released after the time limit",
                reserved.number
            );
        }
        drop(reservation);
    }

    /// Tells the requester that it waits, and waits for capacity. Returns an error if the requester
    /// has closed its call.
    async fn wait_for_capacity(
        &self,
        mut wait: Wait<'_>,
        terms: &ReservationTerms,
        responder: &mut Responder,
    ) -> Result<Option<Reserved>, ()> {
        metrics::counter!("medlarproxy_reservations_waiting_total").increment(1);
        let reply = {
            let state = lock(&self.state);
            Reply::Waiting {
                backlog: state.backlog(),
                condition: state.condition(),
            }
        };
        if let Err(e) = responder.send(&self.envelope(reply)).await {
            log::debug!(target: LOG_TARGET, "cannot tell a requester that it waits: {e}");
            return Err(());
        }
        tokio::select! {
            biased;
            reserved = wait.reserved() => Ok(reserved),
            () = responder.wait_closed() => Err(()),
            () = tokio::time::sleep(terms.max_wait()) => Ok(None),
        }
    }

    fn register_wait(&self, number: u64) -> Wait<'_> {
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(number, tx);
        Wait {
            agent: self,
            number,
            rx,
        }
    }

    /// Passes capacity that became available on to waiting requests.
    pub(super) fn end_waits(&self) {
        while self.end_some_waits() {}
    }

    /// Returns whether capacity was given to a requester that has just left, so that others may have
    /// it.
    fn end_some_waits(&self) -> bool {
        let now = self.clock.now().elapsed;
        let results = lock(&self.state).end_waits(now);
        let mut is_any_unsent = false;
        for result in results {
            let waiting = lock(&self.waiting).remove(&result.number);
            let unsent = match waiting {
                Some(tx) => tx.send(result.reserved).err().flatten(),
                None => result.reserved,
            };
            if let Some(reserved) = unsent {
                lock(&self.state).release(reserved.number);
                is_any_unsent = true;
            }
        }
        is_any_unsent
    }

    fn reserved_reply(&self, reserved: Option<Reserved>, terms: &ReservationTerms) -> Reply {
        let now = self.clock.now().elapsed;
        let state = lock(&self.state);
        Reply::Reserved {
            number: reserved.map(|reserved| reserved.number),
            backlog: reserved.map_or_else(|| state.backlog(), |reserved| reserved.backlog),
            limit: state.limit(now).filter(|_| terms.limit.is_some()),
            condition: state.condition(),
        }
    }

    pub(super) async fn answer_prompt_prefilled(&self, number: u64, responder: Responder) {
        let now = self.clock.now().elapsed;
        let decision = lock(&self.state).record_prompt_prefilled(now, number);
        if let Some(decision) = decision {
            self.record(decision);
        }
        self.end_waits();
        self.send_reply(responder, Reply::Acknowledged).await;
    }
}
