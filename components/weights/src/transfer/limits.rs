//! Bounds and intervals of a transfer.

use std::time::Duration;

/// Bounds and intervals of a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Pieces drawn from peers of the region at once.
    pub fetches: usize,
    /// Requests that wait at once for pieces to reach the instances that bring them into the region.
    pub waiting_fetches: usize,
    /// How long such a request waits before the piece is drawn from another instance that holds it.
    pub reroute_after: Duration,
    /// Pieces drawn from one peer at once.
    pub fetches_per_peer: u32,
    /// Pieces drawn from other regions at once.
    pub remote_fetches: usize,
    /// Pieces drawn from the origin at once.
    pub origin_fetches: usize,
    /// How much later each further instance of the origin's region draws its first piece. Draws
    /// that begin together all end late, and links between instances idle until then.
    pub origin_stagger: Duration,
    /// Uploads at once.
    pub upload_slots: usize,
    /// Uploads that wait for a slot.
    pub upload_queue: usize,
    /// How often neighbours exchange what they hold.
    pub exchange_every: Duration,
    /// How long a silent instance of a lower rank is waited for.
    pub rank_timeout: Duration,
    /// How long a draw may go without a byte before it is tried elsewhere.
    pub stall_after: Duration,
    /// How long a request for a piece that is still to come is held.
    pub park_for: Duration,
    /// How long a request may wait at another instance, for the piece and then for a slot there.
    pub wait_for: Duration,
    /// How often a piece from the origin may fail before this rank passes.
    pub origin_tries: u32,
    /// How long a rank that passed leaves the piece to others. If the origin itself was away, every
    /// rank has passed, and someone must try again.
    pub give_up_for: Duration,
    /// Bytes of weights that this instance may hold.
    pub memory_bytes: u64,
    /// Draw every piece from the origin, as a plain download would; for comparison only.
    pub origin_only: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            fetches: 8,
            waiting_fetches: 16,
            reroute_after: Duration::from_secs(1),
            fetches_per_peer: 2,
            remote_fetches: 4,
            origin_fetches: 2,
            origin_stagger: Duration::ZERO,
            upload_slots: 4,
            upload_queue: 12,
            exchange_every: Duration::from_secs(1),
            rank_timeout: Duration::from_secs(3),
            stall_after: Duration::from_secs(3),
            park_for: Duration::from_secs(2),
            wait_for: Duration::from_secs(5),
            origin_tries: 4,
            give_up_for: Duration::from_secs(5),
            memory_bytes: 64 << 30,
            origin_only: false,
        }
    }
}
