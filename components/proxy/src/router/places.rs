//! Places at model engines, reserved with the agents beside them.

use std::net::SocketAddr;
use std::time::Duration;

use control::router::{
    Event,
    Offer,
    Reserve, //
};
use protocol::{
    Backlog,
    Envelope,
    Reply,
    Request, //
};
use wire::Call;

use super::Router;

/// How long an agent may take to reserve a place. Agents of other regions answer within a few
/// milliseconds; a request must not wait for one that is gone.
const RESERVE_PATIENCE: Duration = Duration::from_millis(120);

/// How long an agent may take to note that a prompt was read.
const NOTE_PATIENCE: Duration = Duration::from_millis(500);

/// A place at an engine. Dropping it closes the call, which gives the place up.
#[derive(Debug)]
pub(super) struct Place {
    agent: SocketAddr,
    number: u64,
    _call: Call,
}

impl Router {
    /// Reserves a place and tells the reducer what came of it.
    pub(super) async fn reserve(&self, token: u64, reserve: &Reserve) -> Option<Place> {
        let agent = self.inner.agents.beside(reserve.address);
        let message = self.to_agent(Request::Reserve {
            tokens: reserve.tokens,
            cold_rate: reserve.cold_rate,
        });
        let answer = self.ask_for_place(agent, message).await;
        let offer = answer.as_ref().map(|(place, ahead)| Offer {
            ahead: *ahead,
            is_open: place.is_some(),
        });
        self.tell(Event::Reserved { token, offer });
        answer.and_then(|(place, _)| place)
    }

    async fn ask_for_place(
        &self,
        agent: SocketAddr,
        message: Envelope<Request>,
    ) -> Option<(Option<Place>, Backlog)> {
        let pool = &self.inner.agents.pool;
        let call = match pool.call(agent, &message, RESERVE_PATIENCE).await {
            Ok(call) => call,
            Err(e) => {
                log::debug!("agent {agent} reserves no place: {e}");
                return None;
            }
        };
        let Reply::Reserved { number, ahead } = call.reply.body else {
            log::warn!("agent {agent} answered {:?}", call.reply.body);
            return None;
        };
        let place = number.map(|number| Place {
            agent,
            number,
            _call: call,
        });
        Some((place, ahead))
    }

    /// Tells the agent that the engine has read the prompt, beside the caller's task.
    pub(super) fn note_prompt_read(&self, place: &Place) {
        let (agent, number) = (place.agent, place.number);
        let message = self.to_agent(Request::PromptRead { number });
        let pool = self.inner.agents.pool.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = pool.call(agent, &message, NOTE_PATIENCE).await {
                // The place is given up at the end of the request at the latest.
                log::debug!("agent {agent} did not note a prompt: {e}");
            }
        });
    }

    fn to_agent(&self, body: Request) -> Envelope<Request> {
        Envelope {
            from: self.inner.agents.me.clone(),
            sheet: self.inner.state.borrow().config_version(),
            list: 0,
            body,
        }
    }
}
