//! When an engine changes its weights.
//!
//! An engine that is to load ends what it runs first and takes nothing new meanwhile. If all did so
//! at once, requests would find no engine for seconds; so the engines of a data centre go one after
//! the other, spread over the time in which the old version may still be served.

use std::time::Duration;

use utils::Name;

/// When the first engines can hold every piece: what the link of one instance takes for a copy.
const FIRST_TURN: Duration = Duration::from_millis(2600);

/// When the last engine stops to take requests. Entries send nothing to the old version from 7 s on,
/// so that an engine that still runs it then is idle anyway.
const LAST_TURN: Duration = Duration::from_millis(6700);

/// When the engine of `me` may go, of the engines of its data centre in rank order.
pub(super) fn turn(me: &Name, peers: &[Name], named_at: Duration) -> Duration {
    let place = peers.iter().position(|name| name == me).unwrap_or(0);
    let steps = u32::try_from(peers.len().saturating_sub(1)).unwrap_or(u32::MAX);
    let place = u32::try_from(place).unwrap_or(u32::MAX);
    let spread = LAST_TURN - FIRST_TURN;
    named_at + FIRST_TURN + spread * place / steps.max(1)
}
