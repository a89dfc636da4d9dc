//! The schedule of a rolling update.
//!
//! An engine finishes its running requests before it loads new weights and accepts no new ones
//! meanwhile. If all engines did so at once, requests would find no engine for seconds. The engines
//! of a data centre therefore load one after the other, spread over the time in which the old
//! version may still be served.

use std::time::Duration;

use utils::Name;

/// The delay of the first engine after the version was named. The link of an instance needs this
/// time to transfer one copy of the weights.
const FIRST_UPDATE_DELAY: Duration = Duration::from_millis(2600);

/// The delay of the last engine after the version was named. Entries send nothing to the old
/// version from 7 s on, so an engine that still runs it then would be idle.
const LAST_UPDATE_DELAY: Duration = Duration::from_millis(6700);

/// When the engine of agent `name` may stop accepting requests in order to load the version.
/// `peers` are the agents of its data centre in rank order.
pub(super) fn update_time(name: &Name, peers: &[Name], named_at: Duration) -> Duration {
    let rank = peers.iter().position(|peer| peer == name).unwrap_or(0);
    let intervals = u32::try_from(peers.len().saturating_sub(1)).unwrap_or(u32::MAX);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let spread = LAST_UPDATE_DELAY - FIRST_UPDATE_DELAY;
    named_at + FIRST_UPDATE_DELAY + spread * rank / intervals.max(1)
}
