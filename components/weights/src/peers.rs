//! What is known of the instances that take part in a transfer.

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

/// What one instance says of its part in a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The manifest it spreads.
    pub manifest: Digest,
    /// Whether it wants every piece for itself.
    pub wants: bool,
    /// The pieces it holds.
    pub have: FixedBitSet,
    /// The pieces that it has a rank for and does not try to draw any more. Mostly none.
    pub given_up: Vec<Piece>,
}

/// How long a source rests after its first failure; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// The longest rest of a failing source.
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub have: FixedBitSet,
    pub given_up: Vec<Piece>,
    /// Whether it last said that it spreads the same manifest.
    pub takes_part: bool,
    pub outstanding: u32,
    /// When it was first asked without an answer since.
    pub silent_since: Option<Duration>,
    /// Since when it answers and takes no part.
    pub absent_since: Option<Duration>,
    failures: u32,
    rests_until: Duration,
}

impl Peer {
    pub fn has(&self, piece: Piece) -> bool {
        self.takes_part && self.have.contains(piece as usize)
    }

    /// Whether it has said something, or could not be reached.
    pub fn has_answered(&self) -> bool {
        self.takes_part || self.absent_since.is_some() || self.failures > 0
    }

    /// Notes that the peer turned out not to hold `piece`.
    pub fn lacks(&mut self, piece: Piece) {
        if (piece as usize) < self.have.len() {
            self.have.set(piece as usize, false);
        }
    }

    pub fn rests(&self, now: Duration) -> bool {
        now < self.rests_until
    }

    pub fn failed(&mut self, now: Duration) {
        let backoff = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(10));
        self.failures += 1;
        self.rests_until = now + backoff.min(LONGEST_BACKOFF);
    }

    /// Notes that nothing came back. What it said that it holds no longer counts, and it is silent
    /// from now on, whether it was asked for news or for a piece.
    pub fn unreachable(&mut self, now: Duration) {
        self.silent_since.get_or_insert(now);
        self.takes_part = false;
        self.failed(now);
    }

    pub fn worked(&mut self) {
        self.silent_since = None;
        self.failures = 0;
        self.rests_until = Duration::ZERO;
    }

    /// Notes that an answer is awaited.
    pub fn asked(&mut self, now: Duration) {
        self.silent_since.get_or_insert(now);
    }

    /// Whether it has left questions unanswered, or taken no part, for `limit`.
    pub fn is_gone(&self, now: Duration, limit: Duration) -> bool {
        let lasts = |since: Duration| now.saturating_sub(since) >= limit;
        self.silent_since.is_some_and(lasts) || self.absent_since.is_some_and(lasts)
    }
}

/// All peers that this instance has met.
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

    pub fn hears(&mut self, now: Duration, name: &Name, report: &Report, manifest: &Digest) {
        if report.manifest != *manifest {
            self.answers(now, name);
            return;
        }
        let peer = self.entry(name);
        peer.silent_since = None;
        peer.absent_since = None;
        peer.takes_part = true;
        peer.have.clone_from(&report.have);
        peer.given_up.clone_from(&report.given_up);
    }

    /// Notes an answer that says nothing of this transfer.
    pub fn answers(&mut self, now: Duration, name: &Name) {
        let peer = self.entry(name);
        peer.silent_since = None;
        peer.takes_part = false;
        peer.absent_since.get_or_insert(now);
    }
}
