//! Reserves capacity at model engines with the agents on their instances.

use std::net::SocketAddr;
use std::time::Duration;

use control::router::{
    Event,
    ReservationReply,
    ReservationRequest, //
};
use protocol::{
    Envelope,
    Reply,
    Request, //
};
use tokio::time::timeout;
use wire::{
    CallReply,
    WireError, //
};

use super::Router;

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::router::places";

/// How long an agent may take to reserve capacity. Agents of other regions reply within a few
/// milliseconds; a request must not wait for an agent that no longer exists.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(120);

/// How long an agent may take to acknowledge that a prompt was prefilled.
const PROMPT_PREFILLED_TIMEOUT: Duration = Duration::from_millis(500);

/// Reserved capacity for one request at an engine. Dropping it closes the call, which releases the
/// reservation.
#[derive(Debug)]
pub(super) struct Reservation {
    agent: SocketAddr,
    number: u64,
    _call: CallReply,
}

/// How long the request may wait at the agent.
fn max_wait(request: &Request) -> Duration {
    let Request::Reserve { terms, .. } = request else {
        return Duration::ZERO;
    };
    let max_wait_ms = terms.claim.map_or(0, |claim| claim.max_wait_ms);
    Duration::from_millis(max_wait_ms.into())
}

/// Returns the call with its final reply: if the request waits at the agent, that is the second one.
async fn call_after_wait(mut call: CallReply, max_wait: Duration) -> Result<CallReply, WireError> {
    if matches!(call.reply.body, Reply::Waiting { .. }) {
        let reply = call.reader.receive_required();
        call.reply = timeout(max_wait + RESERVATION_TIMEOUT, reply)
            .await
            .map_err(|_| WireError::Timeout)??;
    }
    Ok(call)
}

impl Router {
    /// Requests a reservation and reports the reply to the reducer.
    pub(super) async fn reserve(
        &self,
        token: u64,
        request: &ReservationRequest,
    ) -> Option<Reservation> {
        let agent = self.inner.agent_client.agent_address(request.address);
        let message = self.envelope(Request::Reserve {
            prompt_tokens: request.prompt_tokens,
            terms: request.terms,
        });
        let (reservation, reply) = match self.request_reservation(agent, message).await {
            Some((reservation, reply)) => (reservation, Some(reply)),
            None => (None, None),
        };
        self.handle_event(Event::ReservationReply { token, reply });
        reservation
    }

    /// Returns the reservation, if the agent granted one, and its reply. Returns `None` if the agent
    /// did not reply.
    async fn request_reservation(
        &self,
        agent: SocketAddr,
        message: Envelope<Request>,
    ) -> Option<(Option<Reservation>, ReservationReply)> {
        let pool = &self.inner.agent_client.pool;
        let call = pool.call(agent, &message, RESERVATION_TIMEOUT).await;
        let max_wait = max_wait(&message.body);
        let call = match call {
            Ok(call) => call_after_wait(call, max_wait).await,
            Err(e) => Err(e),
        };
        let call = match call {
            Ok(call) => call,
            Err(e) => {
                log::debug!(target: LOG_TARGET, "reservation request to agent {agent} failed: {e}");
                return None;
            }
        };
        let Reply::Reserved {
            number,
            backlog,
            limit,
            condition,
        } = call.reply.body
        else {
            log::warn!(
                target: LOG_TARGET,
                "unexpected reply of agent {agent}: {:?}",
                call.reply.body
            );
            return None;
        };
        let reply = ReservationReply {
            backlog,
            accepts_requests: number.is_some(),
            limit,
            condition,
        };
        let reservation = number.map(|number| Reservation {
            agent,
            number,
            _call: call,
        });
        Some((reservation, reply))
    }

    /// Tells the agent in a separate task that the engine has prefilled the prompt.
    pub(super) fn report_prompt_prefilled(&self, reservation: &Reservation) {
        let (agent, number) = (reservation.agent, reservation.number);
        let message = self.envelope(Request::PromptPrefilled { number });
        let pool = self.inner.agent_client.pool.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = pool.call(agent, &message, PROMPT_PREFILLED_TIMEOUT).await {
                // No retry: the reservation is released at the end of the request at the latest.
                log::debug!(
                    target: LOG_TARGET,
                    "cannot report a prefilled prompt to agent {agent}: {e}"
                );
            }
        });
    }

    /// Makes a message of this process.
    pub(super) fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope {
            sender: self.inner.agent_client.instance.clone(),
            sheet_version: self.inner.state.borrow().config_version(),
            list_revision: 0,
            body,
        }
    }
}
