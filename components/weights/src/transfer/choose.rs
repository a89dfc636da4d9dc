//! The choice of the next piece to draw, and of where to draw it from.

use std::time::Duration;

use utils::Name;

use super::Effect;
use super::Fetch;
use super::Source;
use super::Transfer;
use crate::peers::Peer;
use crate::Piece;

/// The part that this instance has in bringing one piece near.
#[derive(Clone, Debug, Default)]
pub(super) struct Duty {
    /// Instances of lower rank at the origin, if this instance has a rank there.
    pub before_origin: Option<Vec<Name>>,
    /// Instances of lower rank among the gateways, if this instance is one.
    pub before_gateway: Option<Vec<Name>>,
}

impl Transfer {
    /// Starts as many draws as the limits allow.
    pub(super) fn draw(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_wanted = self.wanted_since.is_some();
        if self.halted || (!is_wanted && now >= self.demand_until) {
            return;
        }
        loop {
            let choice = self
                .choose_origin(now)
                .or_else(|| self.choose_near(now).filter(|_| is_wanted))
                .or_else(|| self.choose_remote(now));
            let Some((piece, source, wait)) = choice else {
                return;
            };
            if let Source::Peer(name) = &source {
                self.peers.entry(name).outstanding += 1;
            }
            let fetch = Fetch {
                source: source.clone(),
                progressed: now,
                waits: wait,
            };
            self.fetching.insert(piece, fetch);
            effects.push(Effect::Fetch {
                piece,
                source,
                wait,
            });
        }
    }

    fn running(&self, kind: impl Fn(&Source) -> bool) -> usize {
        let sources = self.fetching.values().map(|fetch| &fetch.source);
        sources.filter(|source| kind(source)).count()
    }

    fn is_remote(&self, source: &Source) -> bool {
        matches!(source, Source::Peer(name) if !self.plan.is_near(name))
    }

    fn choose_origin(&self, now: Duration) -> Option<(Piece, Source, bool)> {
        let running = self.running(|source| *source == Source::Origin);
        if running >= self.limits.origin_fetches || now < self.origin_rests_until {
            return None;
        }
        if !self.is_introduced(now) {
            return None;
        }
        let piece = self.missing().find(|piece| {
            let duty = self.duties.get(*piece as usize);
            let before = duty.and_then(|duty| duty.before_origin.as_ref());
            before.is_some_and(|before| self.is_my_turn(now, *piece, before))
                && !self.given_up.contains_key(piece)
        })?;
        Some((piece, Source::Origin, false))
    }

    /// Whether the neighbours have said what they hold, or have had the time to. A late joiner
    /// would else draw from the origin what stands next door.
    fn is_introduced(&self, now: Duration) -> bool {
        let since = self.wanted_since.unwrap_or(now);
        let waited = now.saturating_sub(since) >= self.limits.exchange_every;
        let heard = |name: &Name| self.peers.get(name).is_some_and(Peer::has_answered);
        waited || self.wanted_since.is_none() || self.neighbours.iter().all(heard)
    }

    fn choose_remote(&self, now: Duration) -> Option<(Piece, Source, bool)> {
        let running = self.running(|source| self.is_remote(source));
        if running >= self.limits.remote_fetches {
            return None;
        }
        for piece in self.missing() {
            let duty = self.duties.get(piece as usize);
            let before = duty.and_then(|duty| duty.before_gateway.as_ref());
            if !before.is_some_and(|before| self.is_my_turn(now, piece, before)) {
                continue;
            }
            let usable = |name: &Name| {
                let peer = self.peers.get(name);
                peer.is_none_or(|peer| {
                    !peer.rests(now) && peer.outstanding < self.limits.fetches_per_peer
                })
            };
            let sources = self.plan.remote_sources(piece);
            if let Some(name) = sources.into_iter().find(usable) {
                return Some((piece, Source::Peer(name), true));
            }
        }
        None
    }

    /// Whether every instance of lower rank is silent, gave up, or spreads something else, and no
    /// peer near by holds the piece.
    fn is_my_turn(&self, now: Duration, piece: Piece, before: &[Name]) -> bool {
        let passed = |name: &Name| {
            let Some(peer) = self.peers.get(name) else {
                return false;
            };
            let gave_up = peer.takes_part && peer.given_up.contains(&piece);
            gave_up || peer.is_gone(now, self.limits.rank_timeout)
        };
        before.iter().all(passed) && !self.is_near(now, piece)
    }

    pub(super) fn is_near(&self, now: Duration, piece: Piece) -> bool {
        self.peers
            .iter()
            .any(|(name, peer)| peer.has(piece) && !peer.rests(now) && self.plan.is_near(name))
    }

    /// The rarest missing piece that a near peer holds, from the peer with the least to do.
    fn choose_near(&self, now: Duration) -> Option<(Piece, Source, bool)> {
        let near = |source: &Source| *source != Source::Origin && !self.is_remote(source);
        if self.running(near) >= self.limits.fetches {
            return None;
        }
        let usable: Vec<(&Name, &Peer)> = self
            .peers
            .iter()
            .filter(|(name, peer)| {
                peer.takes_part
                    && !peer.rests(now)
                    && peer.outstanding < self.limits.fetches_per_peer
                    && self.plan.is_near(name)
            })
            .collect();
        let mut best: Option<(usize, u64, Piece)> = None;
        for piece in self.missing() {
            let holders = usable.iter().filter(|(_, peer)| peer.has(piece)).count();
            if holders == 0 {
                continue;
            }
            let order = utils::rank::weight(u64::from(piece), &self.me);
            let rank = (holders, order, piece);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        let (_, _, piece) = best?;
        let holders = usable.iter().filter(|(_, peer)| peer.has(piece));
        let (name, _) = holders.min_by_key(|(name, peer)| {
            let order = utils::rank::weight(u64::from(piece) ^ now.as_nanos() as u64, name);
            (peer.outstanding, order)
        })?;
        Some((piece, Source::Peer((*name).clone()), false))
    }

    /// Pieces that are neither here nor being drawn. Only the manifest until it is here.
    pub(super) fn missing(&self) -> impl Iterator<Item = Piece> + '_ {
        self.have
            .zeroes()
            .map(|piece| Piece::try_from(piece).unwrap_or(Piece::MAX))
            .filter(|piece| !self.fetching.contains_key(piece))
    }

    pub(super) fn duty(&self, piece: Piece) -> Duty {
        if self.limits.origin_only {
            return Duty {
                before_origin: Some(Vec::new()),
                before_gateway: None,
            };
        }
        let before = |ranks: Vec<Name>| {
            let at = ranks.iter().position(|name| *name == self.me)?;
            Some(ranks[..at].to_vec())
        };
        let gateways = if self.plan.in_origin_region() {
            None
        } else {
            before(self.plan.gateways(piece))
        };
        Duty {
            before_origin: before(self.plan.origin_ranks(piece)),
            before_gateway: gateways,
        }
    }
}
