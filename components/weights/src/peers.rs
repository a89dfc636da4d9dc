//! State kept about the other instances in a transfer.

use std::collections::BTreeMap;
use std::time::Duration;

use fixedbitset::FixedBitSet;
use serde::{
    Deserialize,
    Serialize, //
};
use utils::digest::Digest;
use utils::Name;

use crate::Piece;

/// What one instance tells its peers about its transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferReport {
    /// The digest of the manifest whose pieces it distributes.
    pub manifest: Digest,
    /// Whether it still needs every piece for itself.
    pub needs_pieces: bool,
    /// The pieces it holds.
    pub held_pieces: FixedBitSet,
    /// The pieces that it could fetch from the origin but has stopped trying to. Usually empty.
    pub given_up: Vec<Piece>,
}

/// The delay before a peer is used again after its first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// What is known about one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    /// The pieces that it last reported.
    pub held_pieces: FixedBitSet,
    pub given_up: Vec<Piece>,
    /// Whether it distributes the same manifest, as of its last answer.
    pub is_participating: bool,
    /// Fetches from it that have not ended.
    pub outstanding_fetches: u32,
    /// When the earliest request that it has not answered yet was sent.
    pub unanswered_since: Option<Duration>,
    /// Since when it has been answering without distributing this manifest.
    pub not_participating_since: Option<Duration>,
    failures: u32,
    backoff_until: Duration,
}

impl Peer {
    pub fn has_piece(&self, piece: Piece) -> bool {
        self.is_participating && self.held_pieces.contains(piece as usize)
    }

    /// Whether it has answered or a request to it has failed.
    pub fn is_status_known(&self) -> bool {
        self.is_participating || self.not_participating_since.is_some() || self.failures > 0
    }

    /// Records that the peer does not hold `piece`, contrary to its report.
    pub fn mark_missing(&mut self, piece: Piece) {
        if (piece as usize) < self.held_pieces.len() {
            self.held_pieces.set(piece as usize, false);
        }
    }

    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    pub fn record_failure(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(10));
        self.failures += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records that a request for a report or for a piece got no answer. The pieces that it
    /// reported no longer count, and its unanswered time starts now if it has not started before.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.unanswered_since.get_or_insert(now);
        self.is_participating = false;
        self.record_failure(now);
    }

    pub fn record_success(&mut self) {
        self.unanswered_since = None;
        self.failures = 0;
        self.backoff_until = Duration::ZERO;
    }

    /// Records that a request was sent, which starts the unanswered time.
    pub fn record_request(&mut self, now: Duration) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether it has not answered, or not distributed this manifest, for `timeout`.
    pub fn is_unavailable(&self, now: Duration, timeout: Duration) -> bool {
        let has_timed_out = |since: Duration| now.saturating_sub(since) >= timeout;
        self.unanswered_since.is_some_and(has_timed_out)
            || self.not_participating_since.is_some_and(has_timed_out)
    }
}

/// All known peers by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers(BTreeMap<Name, Peer>);

impl Peers {
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.0.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        self.0.iter()
    }

    pub fn entry(&mut self, name: &Name) -> &mut Peer {
        self.0.entry(name.clone()).or_default()
    }

    /// Stores a report, or the fact that the peer distributes another manifest.
    pub fn record_report(
        &mut self,
        now: Duration,
        name: &Name,
        report: &TransferReport,
        manifest: &Digest,
    ) {
        if report.manifest != *manifest {
            self.record_not_participating(now, name);
            return;
        }
        let peer = self.entry(name);
        peer.unanswered_since = None;
        peer.not_participating_since = None;
        peer.is_participating = true;
        peer.held_pieces.clone_from(&report.held_pieces);
        peer.given_up.clone_from(&report.given_up);
    }

    /// Records an answer from a peer that does not distribute this manifest.
    pub fn record_not_participating(&mut self, now: Duration, name: &Name) {
        let peer = self.entry(name);
        peer.unanswered_since = None;
        peer.is_participating = false;
        peer.not_participating_since.get_or_insert(now);
    }
}
