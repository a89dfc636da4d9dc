//! Reserves capacity at model engines with the agents on their instances.

use std::net::SocketAddr;
use std::time::Duration;

use control::router::{
    Event,
    ReservationReply,
    ReservationRequest, //
};
use protocol::{
    AgedLimit,
    Backlog,
    Envelope,
    Reply,
    Request, //
};
use wire::CallReply;

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

impl Router {
    /// Requests a reservation and reports the reply to the reducer.
    pub(super) async fn reserve(
        &self,
        token: u64,
        request: &ReservationRequest,
    ) -> Option<Reservation> {
        let agent = self.inner.agent_client.agent_address(request.address);
        let ReservationRequest {
            prompt_tokens,
            cold_rate_per_second,
            acceptable,
            ..
        } = *request;
        let body = match request.limit {
            None => Request::Reserve {
                prompt_tokens,
                cold_rate_per_second,
                acceptable,
            },
            Some(known) => Request::ReserveLimited {
                prompt_tokens,
                cold_rate_per_second,
                known,
                acceptable,
            },
        };
        let message = self.agent_message(body);
        let reply = self.request_reservation(agent, message).await;
        let reservation_reply =
            reply
                .as_ref()
                .map(|(reservation, backlog, limit)| ReservationReply {
                    backlog: *backlog,
                    accepts_requests: reservation.is_some(),
                    limit: *limit,
                });
        self.handle_event(Event::ReservationReply {
            token,
            reply: reservation_reply,
        });
        reply.and_then(|(reservation, ..)| reservation)
    }

    /// Returns the reservation, if the agent granted one, the backlog of the engine and the limit
    /// that the agent knows the engine to name. Returns `None` if the agent did not reply.
    async fn request_reservation(
        &self,
        agent: SocketAddr,
        message: Envelope<Request>,
    ) -> Option<(Option<Reservation>, Backlog, Option<AgedLimit>)> {
        let pool = &self.inner.agent_client.pool;
        let call = match pool.call(agent, &message, RESERVATION_TIMEOUT).await {
            Ok(call) => call,
            Err(e) => {
                log::debug!(target: LOG_TARGET, "reservation request to agent {agent} failed: {e}");
                return None;
            }
        };
        let (number, backlog, limit) = match call.reply.body {
            Reply::Reserved { number, backlog } => (number, backlog, None),
            Reply::ReservedLimited {
                number,
                backlog,
                known,
            } => (number, backlog, Some(known)),
            ref other => {
                log::warn!(
                    target: LOG_TARGET,
                    "unexpected reply of agent {agent}: {other:?}"
                );
                return None;
            }
        };
        let reservation = number.map(|number| Reservation {
            agent,
            number,
            _call: call,
        });
        Some((reservation, backlog, limit))
    }

    /// Tells the agent in a separate task that the engine has prefilled the prompt.
    pub(super) fn report_prompt_prefilled(&self, reservation: &Reservation) {
        let (agent, number) = (reservation.agent, reservation.number);
        let message = self.agent_message(Request::PromptPrefilled { number });
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

    pub(super) fn agent_message(&self, body: Request) -> Envelope<Request> {
        Envelope {
            sender: self.inner.agent_client.instance.clone(),
            sheet_version: self.inner.state.borrow().config_version(),
            list_revision: 0,
            body,
        }
    }
}
