//! Passes on crashes of targets between entries.

use std::sync::Arc;

use control::controller::Event;
use protocol::{
    Crash,
    Reply, //
};
use wire::Responder;

use super::peers::MAX_STATUS_WAIT;
use super::{
    lock,
    Agent, //
};

impl Agent {
    /// Adds the reported crashes and replies with those beyond `known_revision`. Without a report,
    /// the reply waits for such crashes, or for `MAX_STATUS_WAIT`.
    pub(super) async fn answer_crashes(
        self: &Arc<Self>,
        known_revision: u64,
        reported: Vec<Crash>,
        mut responder: Responder,
    ) {
        if reported.is_empty() {
            let mut revision = self.crash_revision.subscribe();
            let changed = revision.wait_for(|revision| *revision > known_revision);
            let waited = tokio::select! {
                waited = tokio::time::timeout(MAX_STATUS_WAIT, changed) => waited,
                () = responder.wait_closed() => return,
            };
            // Releases the read lock on the revision, which must not be held during the reply.
            drop(waited);
        } else {
            self.handle_event(Event::CrashesReported(reported));
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
