//! Selection of the next piece to fetch and of its source.

use std::time::Duration;

use utils::Name;

use super::Effect;
use super::Fetch;
use super::Source;
use super::Transfer;
use crate::peers::Peer;
use crate::{
    Piece,
    MANIFEST_PIECE, //
};

/// The role of this instance in fetching one piece into its region.
#[derive(Clone, Debug, Default)]
pub(super) struct PieceRole {
    /// The origin candidates with a higher priority, if this instance is a candidate.
    pub earlier_origin_candidates: Option<Vec<Name>>,
    /// The region fetchers with a higher priority, if this instance is one and fetches the piece
    /// from other regions.
    pub earlier_region_fetchers: Option<Vec<Name>>,
    /// The instances that may fetch the piece into the region, in order of priority.
    pub region_fetchers: Vec<Name>,
    /// The sort key of the piece in the order of requests, see [`Plan::fetch_order`].
    ///
    /// [`Plan::fetch_order`]: crate::Plan::fetch_order
    pub fetch_order: (usize, usize),
}

impl Transfer {
    /// Starts as many fetches as the limits allow.
    pub(super) fn start_fetches(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let needs_pieces = self.needed_since.is_some();
        if self.is_stopped || (!needs_pieces && now >= self.peer_demand_until) {
            return;
        }
        loop {
            let choice = self
                .choose_origin(now)
                .or_else(|| self.choose_remote(now))
                .or_else(|| self.choose_region_holder(now).filter(|_| needs_pieces))
                .or_else(|| self.choose_region_fetcher(now).filter(|_| needs_pieces));
            let Some((piece, source, wait)) = choice else {
                return;
            };
            self.cancel_fetch(piece, effects);
            if let Source::Peer(name) = &source {
                self.peers.entry(name).outstanding_fetches += 1;
            }
            let fetch = Fetch {
                source: source.clone(),
                started_at: now,
                last_progress_at: now,
                is_waiting: wait,
            };
            self.fetching.insert(piece, fetch);
            effects.push(Effect::Fetch {
                piece,
                source,
                wait,
            });
        }
    }

    fn count_fetches(&self, predicate: impl Fn(&Source) -> bool) -> usize {
        let sources = self.fetching.values().map(|fetch| &fetch.source);
        sources.filter(|source| predicate(source)).count()
    }

    /// The number of requests that wait at instances of the region for the piece or a slot.
    fn region_wait_count(&self) -> usize {
        self.count_region_fetches(|fetch| fetch.is_waiting)
    }

    /// The number of fetches from instances of the region that do not wait.
    pub(super) fn region_fetch_count(&self) -> usize {
        self.count_region_fetches(|fetch| !fetch.is_waiting)
    }

    fn count_region_fetches(&self, predicate: impl Fn(&Fetch) -> bool) -> usize {
        let fetches = self.fetching.values().filter(|fetch| predicate(fetch));
        let sources = fetches.map(|fetch| &fetch.source);
        sources
            .filter(|source| **source != Source::Origin && !self.is_remote(source))
            .count()
    }

    pub(super) fn is_remote(&self, source: &Source) -> bool {
        matches!(source, Source::Peer(name) if !self.plan.is_same_region(name))
    }

    fn choose_origin(&self, now: Duration) -> Option<(Piece, Source, bool)> {
        let running = self.count_fetches(|source| *source == Source::Origin);
        if running >= self.limits.origin_fetches || now < self.origin_backoff_until {
            return None;
        }
        if !self.knows_neighbours(now) {
            return None;
        }
        let piece = self.not_in_transit().find(|piece| {
            if *piece != MANIFEST_PIECE && now < self.origin_fetches_from {
                return false;
            }
            let role = self.roles.get(*piece as usize);
            let earlier = role.and_then(|role| role.earlier_origin_candidates.as_ref());
            earlier.is_some_and(|earlier| self.may_fetch_as_candidate(now, *piece, earlier))
                && !self.given_up.contains_key(piece)
        })?;
        Some((piece, Source::Origin, false))
    }

    /// Whether every neighbour has answered, or has had the time to. Without this wait an instance
    /// that joins late would fetch pieces from the origin that its neighbours hold.
    fn knows_neighbours(&self, now: Duration) -> bool {
        let since = self.needed_since.unwrap_or(now);
        let waited = now.saturating_sub(since) >= self.limits.exchange_interval;
        let is_known = |name: &Name| self.peers.get(name).is_some_and(Peer::is_status_known);
        waited || self.needed_since.is_none() || self.neighbours.iter().all(is_known)
    }

    fn choose_remote(&self, now: Duration) -> Option<(Piece, Source, bool)> {
        let running = self.count_fetches(|source| self.is_remote(source));
        if running >= self.limits.remote_fetches {
            return None;
        }
        for piece in self.not_in_transit() {
            let role = self.roles.get(piece as usize);
            let earlier = role.and_then(|role| role.earlier_region_fetchers.as_ref());
            if !earlier.is_some_and(|earlier| self.may_fetch_as_candidate(now, piece, earlier)) {
                continue;
            }
            let usable = |name: &Name| {
                !self
                    .peers
                    .get(name)
                    .is_some_and(|peer| peer.is_backing_off(now))
            };
            let mut sources = self.plan.remote_sources(piece);
            let failures = self
                .remote_failures
                .get(&piece)
                .copied()
                .unwrap_or_default();
            let first = failures % sources.len().max(1);
            sources.rotate_left(first);
            if let Some(name) = sources.into_iter().find(usable) {
                return Some((piece, Source::Peer(name), true));
            }
        }
        None
    }

    /// Whether every candidate with a higher priority is unavailable, has given up the piece or
    /// distributes another manifest, and no peer of the region holds the piece.
    fn may_fetch_as_candidate(&self, now: Duration, piece: Piece, earlier: &[Name]) -> bool {
        let is_skipped = |name: &Name| {
            let Some(peer) = self.peers.get(name) else {
                return false;
            };
            let gave_up = peer.is_participating && peer.given_up.contains(&piece);
            gave_up || peer.is_unavailable(now, self.limits.candidate_timeout)
        };
        earlier.iter().all(is_skipped) && !self.is_held_in_region(now, piece)
    }

    pub(super) fn is_held_in_region(&self, now: Duration, piece: Piece) -> bool {
        self.peers.iter().any(|(name, peer)| {
            peer.has_piece(piece) && !peer.is_backing_off(now) && self.plan.is_same_region(name)
        })
    }

    /// The rarest missing piece that a peer of the region holds, from the holder with the fewest
    /// fetches of this instance.
    fn choose_region_holder(&self, now: Duration) -> Option<(Piece, Source, bool)> {
        if self.region_fetch_count() >= self.limits.region_fetches {
            return None;
        }
        let usable: Vec<(&Name, &Peer)> = self
            .peers
            .iter()
            .filter(|(name, peer)| {
                peer.is_participating
                    && !peer.is_backing_off(now)
                    && peer.outstanding_fetches < self.limits.fetches_per_peer
                    && self.plan.is_same_region(name)
            })
            .collect();
        let mut best: Option<(usize, u64, Piece)> = None;
        for piece in self.missing() {
            let holders = usable
                .iter()
                .filter(|(_, peer)| peer.has_piece(piece))
                .count();
            if holders == 0 {
                continue;
            }
            let tie_breaker = utils::rank::weight(u64::from(piece), &self.me);
            let rank = (holders, tie_breaker, piece);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        let (_, _, piece) = best?;
        let holders = usable.iter().filter(|(_, peer)| peer.has_piece(piece));
        let (name, _) = holders.min_by_key(|(name, peer)| {
            let tie_breaker = utils::rank::weight(u64::from(piece) ^ now.as_nanos() as u64, name);
            (peer.outstanding_fetches, tie_breaker)
        })?;
        Some((piece, Source::Peer((*name).clone()), false))
    }

    /// A missing piece, from the instance that fetches it into the region. The request waits there
    /// until the piece arrives, which is faster than learning of it through reports.
    fn choose_region_fetcher(&self, now: Duration) -> Option<(Piece, Source, bool)> {
        if self.region_wait_count() >= self.limits.waiting_fetches {
            return None;
        }
        let candidates = self.missing().filter_map(|piece| {
            let role = self.roles.get(piece as usize)?;
            let fetcher = role
                .region_fetchers
                .iter()
                .find(|name| !self.is_skipped(now, piece, name))?;
            (*fetcher != self.me).then_some((role.fetch_order, piece, fetcher))
        });
        let (_, piece, fetcher) = candidates.min()?;
        Some((piece, Source::Peer(fetcher.clone()), true))
    }

    /// Whether a region fetcher of a piece is skipped because it is not usable now.
    fn is_skipped(&self, now: Duration, piece: Piece, name: &Name) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| {
            peer.is_backing_off(now)
                || peer.given_up.contains(&piece)
                || peer.is_unavailable(now, self.limits.candidate_timeout)
        })
    }

    /// Pieces that are neither held nor being fetched. Only the manifest until it has arrived.
    pub(super) fn missing(&self) -> impl Iterator<Item = Piece> + '_ {
        self.held_pieces
            .zeroes()
            .map(|piece| Piece::try_from(piece).unwrap_or(Piece::MAX))
            .filter(|piece| !self.fetching.contains_key(piece))
    }

    /// Pieces that are neither held nor in transit. Those whose request waits at an instance of the
    /// region are included: that instance may never get the piece, and this one may be the next
    /// candidate to fetch it.
    pub(super) fn not_in_transit(&self) -> impl Iterator<Item = Piece> + '_ {
        let missing = self.held_pieces.zeroes();
        let missing = missing.map(|piece| Piece::try_from(piece).unwrap_or(Piece::MAX));
        missing.filter(|piece| {
            let fetch = self.fetching.get(piece);
            fetch.is_none_or(|fetch| fetch.is_waiting && !self.is_remote(&fetch.source))
        })
    }

    /// Cancels the fetch of a piece, if there is one.
    pub(super) fn cancel_fetch(&mut self, piece: Piece, effects: &mut Vec<Effect>) {
        let Some(fetch) = self.fetching.remove(&piece) else {
            return;
        };
        if let Source::Peer(name) = fetch.source {
            let peer = self.peers.entry(&name);
            peer.outstanding_fetches = peer.outstanding_fetches.saturating_sub(1);
        }
        effects.push(Effect::Cancel(piece));
    }

    pub(super) fn role_of(&self, piece: Piece) -> PieceRole {
        if self.limits.origin_only {
            return PieceRole {
                earlier_origin_candidates: Some(Vec::new()),
                ..PieceRole::default()
            };
        }
        let earlier_in = |candidates: &[Name]| {
            let rank = candidates.iter().position(|name| *name == self.me)?;
            Some(candidates[..rank].to_vec())
        };
        let origin_candidates = self.plan.origin_candidates(piece);
        let region_fetchers = self.plan.region_fetchers(piece);
        // In the origin's region, instances that are not origin candidates fetch the piece from
        // other regions once the candidates have failed.
        let earlier_region_fetchers =
            if self.plan.in_origin_region() && origin_candidates.contains(&self.me) {
                None
            } else {
                earlier_in(&region_fetchers)
            };
        PieceRole {
            earlier_origin_candidates: earlier_in(&origin_candidates),
            earlier_region_fetchers,
            region_fetchers,
            fetch_order: self.plan.fetch_order(piece, &self.me),
        }
    }
}
