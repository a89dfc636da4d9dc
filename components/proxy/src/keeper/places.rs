//! Places at the engine that other processes reserve.

use std::time::Duration;

use protocol::Reply;
use wire::Responder;

use super::{
    lock,
    Agent, //
};

/// The longest time that a place is kept. Callers wait for six seconds; a process whose connection
/// went silent must not keep places for ever.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// A place that is given up when it is dropped.
struct Place<'a> {
    agent: &'a Agent,
    number: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        lock(&self.agent.state).release(self.number);
    }
}

impl Agent {
    /// Keeps a place for as long as the asker keeps the call open.
    pub(super) async fn answer_reserve(
        &self,
        tokens: u32,
        cold_rate: Option<u32>,
        mut responder: Responder,
    ) {
        let now = self.clock.now().elapsed;
        let (number, ahead) = lock(&self.state).reserve(now, tokens, cold_rate);
        let reply = Reply::Reserved { number, ahead };
        let Some(number) = number else {
            self.finish(responder, reply).await;
            return;
        };
        let place = Place {
            agent: self,
            number,
        };
        let reply = self.envelope(reply);
        if let Err(e) = responder.send(&reply).await {
            log::debug!("a place was not taken: {e}");
            return;
        }
        if tokio::time::timeout(KEPT_FOR, responder.closed())
            .await
            .is_err()
        {
            log::info!("place {number} was kept for too long");
        }
        drop(place);
    }

    pub(super) async fn answer_prompt_read(&self, number: u64, responder: Responder) {
        lock(&self.state).prompt_read(number);
        self.finish(responder, Reply::Noted).await;
    }
}
