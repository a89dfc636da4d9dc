//! Values of a reducer that tasks wait for.

use tokio::sync::watch;

/// Replaces a watched value, and wakes the tasks that wait for it only if it differs.
pub(crate) fn send_if_changed<T: PartialEq>(tx: &watch::Sender<T>, value: T) {
    tx.send_if_modified(|known| {
        let is_changed = *known != value;
        if is_changed {
            *known = value;
        }
        is_changed
    });
}
