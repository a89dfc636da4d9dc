//! Carrying out what the entry's reducer asks for.

use std::sync::Arc;
use std::time::Duration;

use control::entry::{
    Effect,
    Event,
    State, //
};
use protocol::{
    Reply,
    Request, //
};
use utils::clock::Now;
use utils::Name;

use super::{
    Command,
    Inner, //
};

/// How long an agent may take to answer a probe.
const PROBE_PATIENCE: Duration = Duration::from_millis(500);

impl Inner {
    /// Carries out one effect on the control thread, which must not block.
    pub(super) fn apply(self: &Arc<Self>, state: &State, now: Now, effect: Effect) {
        match effect {
            Effect::Follow(effect) => self.node.apply(state, now, effect),
            Effect::Send {
                token,
                target,
                suspect,
                timeout,
            } => self.command(
                token,
                Command::Send {
                    target,
                    suspect,
                    timeout,
                },
            ),
            Effect::Reject(token, rejection) => self.command(token, Command::Reject(rejection)),
            Effect::Done(token) => self.command(token, Command::Done),
            Effect::Abandon(token) => self.command(token, Command::Abandon),
            Effect::Probe(name) => {
                let inner = self.clone();
                let _detached = self.node.runtime.spawn(inner.probe(name));
            }
            Effect::Record(decision) => {
                self.node.publish(state);
                self.node.record(now, decision);
            }
            Effect::Exit => self.exited.notify_waiters(),
        }
    }

    async fn probe(self: Arc<Self>, name: Name) {
        let call = self.node.ask(&name, Request::Status, PROBE_PATIENCE).await;
        let status = match call.map(|call| call.reply.body) {
            Ok(Reply::Status(status)) => Some(status),
            _ => None,
        };
        self.node.control.send(Event::Status(name, status));
    }
}
