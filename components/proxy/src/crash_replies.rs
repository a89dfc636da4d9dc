//! Handles requests of other processes for crashes.

use std::time::Duration;

use protocol::Crash;
use tokio::sync::watch;
use wire::Responder;

/// How long a request for new crashes is held.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Passes the reported crashes to `add`. Without any, waits until the revision of the known crashes is
/// higher than that of the requester, or for `MAX_WAIT`. Returns whether the requester still waits.
pub(crate) async fn add_or_wait_for_crashes(
    reported: Vec<Crash>,
    add: impl FnOnce(Vec<Crash>),
    mut revision: watch::Receiver<u64>,
    known_revision: u64,
    responder: &mut Responder,
) -> bool {
    if !reported.is_empty() {
        add(reported);
        return true;
    }
    let changed = revision.wait_for(|revision| *revision > known_revision);
    tokio::select! {
        // The time limit and a closed channel both mean that nothing new is known.
        _waited = tokio::time::timeout(MAX_WAIT, changed) => true,
        () = responder.wait_closed() => false,
    }
}
