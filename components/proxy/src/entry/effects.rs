//! Executes the effects that the reducer of an entry returns.

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
use utils::clock::ClockReading;
use utils::Name;

use super::{
    Command,
    Inner, //
};

/// The timeout for the status request to an agent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Inner {
    /// Executes one effect. Runs on the control thread and must not block.
    pub(super) fn execute(self: &Arc<Self>, state: &State, now: ClockReading, effect: Effect) {
        match effect {
            Effect::Follow(effect) => self.node.execute(state, now, effect),
            Effect::Send {
                token,
                target,
                is_suspect,
                timeout,
            } => self.send_command(
                token,
                Command::Send {
                    target,
                    suspect: is_suspect,
                    timeout,
                },
            ),
            Effect::Reject(token, rejection) => {
                self.send_command(token, Command::Reject(rejection))
            }
            Effect::CompleteResponse(token) => self.send_command(token, Command::Complete),
            Effect::KeepTarget(token) => self.send_command(token, Command::KeepTarget),
            Effect::StopWaiting(token) => self.send_command(token, Command::StopWaiting),
            Effect::Probe(name) => {
                let inner = self.clone();
                let _detached = self.node.runtime.spawn(inner.probe(name));
            }
            Effect::Record(decision) => {
                self.node.publish(state);
                self.node.record(now, decision);
            }
            Effect::CloseConnections => {
                self.closing.send_replace(true);
            }
            Effect::Exit => {
                self.drained.send_replace(true);
            }
        }
    }

    async fn probe(self: Arc<Self>, name: Name) {
        let call = self.node.call(&name, Request::Status, PROBE_TIMEOUT).await;
        let status = match call.map(|call| call.reply.body) {
            Ok(Reply::Status(status)) => Some(status),
            _ => None,
        };
        self.node.control.send(Event::ProbeResult(name, status));
    }
}
