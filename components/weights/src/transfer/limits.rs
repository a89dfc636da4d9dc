//! The limits of a transfer.

use std::time::Duration;

/// Limits, intervals and timeouts of a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent fetches from peers of the region, without those that wait.
    pub region_fetches: usize,
    /// Concurrent requests that wait at a peer of the region until it holds the piece and has an
    /// upload slot.
    pub waiting_fetches: usize,
    /// How long such a request waits before the piece is fetched from an idle peer that holds it.
    pub reroute_after: Duration,
    /// Concurrent fetches from one peer.
    pub fetches_per_peer: u32,
    /// Concurrent fetches from other regions.
    pub remote_fetches: usize,
    /// Concurrent fetches from the origin.
    pub origin_fetches: usize,
    /// The delay between the first chunk fetches from the origin of successive instances in the
    /// rotation of a region. Fetches that start together all end late, and the links between the
    /// instances are idle until then.
    pub origin_stagger: Duration,
    /// Bytes per second that the origin's link carries, if known. The delay then follows from the
    /// size of a chunk instead of `origin_stagger`.
    pub origin_bytes_per_second: Option<u64>,
    /// Concurrent uploads.
    pub upload_slots: usize,
    /// Requests that may queue for an upload slot.
    pub upload_queue: usize,
    /// The shortest interval between exchanges of reports with the neighbours.
    pub exchange_interval: Duration,
    /// How long an instance that does not answer keeps its priority as a candidate.
    pub candidate_timeout: Duration,
    /// How long a fetch may receive no bytes before it is cancelled.
    pub stall_timeout: Duration,
    /// How long a peer's request for a piece that is not held yet is kept.
    pub defer_timeout: Duration,
    /// How long a request may wait at another instance for the piece and then for an upload slot.
    pub wait_timeout: Duration,
    /// Failed fetches of a piece from the origin after which this candidate gives it up.
    pub origin_attempts: u32,
    /// How long a candidate that gave up a piece leaves it to the others. It then tries again,
    /// since all candidates give up when the origin itself is unreachable.
    pub give_up_duration: Duration,
    /// The total size in bytes of the largest weights that this instance accepts.
    pub memory_bytes: u64,
    /// Fetch every piece from the origin, as a plain download would. Only for comparison in
    /// experiments.
    pub origin_only: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            region_fetches: 8,
            waiting_fetches: 16,
            reroute_after: Duration::from_secs(1),
            fetches_per_peer: 2,
            remote_fetches: 4,
            origin_fetches: 2,
            origin_stagger: Duration::ZERO,
            origin_bytes_per_second: None,
            upload_slots: 4,
            upload_queue: 12,
            exchange_interval: Duration::from_secs(1),
            candidate_timeout: Duration::from_secs(3),
            stall_timeout: Duration::from_secs(3),
            defer_timeout: Duration::from_secs(2),
            wait_timeout: Duration::from_secs(5),
            origin_attempts: 4,
            give_up_duration: Duration::from_secs(5),
            memory_bytes: 64 << 30,
            origin_only: false,
        }
    }
}
