//! Passes on crashes of targets between entries.

use std::sync::Arc;

use control::controller::Event;
use protocol::{
    Crash,
    Reply, //
};
use wire::Responder;

use super::{
    lock,
    Agent, //
};
use crate::crash_replies::add_or_wait_for_crashes;

impl Agent {
    /// Adds the reported crashes and replies with those beyond `known_revision`. Without a report,
    /// the reply waits for such crashes, but not for ever.
    pub(super) async fn answer_crashes(
        self: &Arc<Self>,
        known_revision: u64,
        reported: Vec<Crash>,
        mut responder: Responder,
    ) {
        let is_awaited = add_or_wait_for_crashes(
            reported,
            |crashes| self.handle_event(Event::CrashesReported(crashes)),
            self.crash_revision.subscribe(),
            known_revision,
            &mut responder,
        );
        if !is_awaited.await {
            return;
        }
        let now = self.clock.now().elapsed;
        let reply = {
            let state = lock(&self.state);
            Reply::Crashes {
                incarnation: self.incarnation,
                revision: state.crash_revision(),
                crashes: state.crashes_after(now, known_revision),
            }
        };
        self.send_reply(responder, reply).await;
    }
}
