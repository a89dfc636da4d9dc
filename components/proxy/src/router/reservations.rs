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
use utils::run_time::timeout;
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

/// Returns the call with its final reply: if the request waits at the agent, that is the second one.
/// If the agent stops answering in between, that counts as a refusal, since other engines may have
/// capacity.
async fn call_after_wait(mut call: CallReply, max_wait: Duration) -> CallReply {
    let Reply::Waiting { backlog, condition } = call.reply.body else {
        return call;
    };
    let reply = call.reader.receive_required();
    match timeout(max_wait + RESERVATION_TIMEOUT, reply).await {
        Ok(Ok(reply)) => call.reply = reply,
        failed => {
            log::debug!(target: LOG_TARGET, "an agent let a request wait and did not reply: {failed:?}");
            call.reply.body = Reply::Reserved {
                number: None,
                backlog,
                limit: None,
                condition,
            };
        }
    }
    call
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
        let result = self
            .request_reservation(agent, message, request.terms.max_wait())
            .await;
        let (reservation, event) = match result {
            Ok((reservation, reply)) => {
                let reply = Some(reply);
                (reservation, Event::ReservationReply { token, reply })
            }
            Err(e) if e.is_refused() => (None, Event::AgentRefused(token)),
            Err(_) => (None, Event::ReservationReply { token, reply: None }),
        };
        self.handle_event(event);
        reservation
    }

    /// Returns the reservation, if the agent granted one, and its reply.
    async fn request_reservation(
        &self,
        agent: SocketAddr,
        message: Envelope<Request>,
        max_wait: Duration,
    ) -> Result<(Option<Reservation>, ReservationReply), WireError> {
        let pool = &self.inner.agent_client.pool;
        let call = pool.call(agent, &message, RESERVATION_TIMEOUT).await;
        let call = match call {
            Ok(call) => call_after_wait(call, max_wait).await,
            Err(e) => {
                log::debug!(target: LOG_TARGET, "reservation request to agent {agent} failed: {e}");
                return Err(e);
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
            return Err(WireError::Decode(
                "not a reply to a reservation request".into(),
            ));
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
        Ok((reservation, reply))
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
