//! Selection of the peers that this instance exchanges reports with.

use std::time::Duration;

use utils::Name;

use super::Effect;
use super::Transfer;

/// Maximum number of overdue pieces whose candidates are selected for one exchange.
const MAX_OVERDUE_PIECES: usize = 32;

/// Once this many candidates of overdue pieces are selected, no further piece is looked up.
const MAX_OVERDUE_CANDIDATES: usize = 16;

/// Bytes per second that exchanges may send and receive together.
const EXCHANGE_BYTES_PER_SECOND: f64 = 8_000.0;

impl Transfer {
    /// The interval between exchanges. Reports grow with the number of pieces, so the interval does
    /// too, to stay within [`EXCHANGE_BYTES_PER_SECOND`].
    fn exchange_interval(&self) -> Duration {
        let report_bytes = self.held_pieces.len().div_ceil(8);
        let round_bytes = 2 * report_bytes * self.neighbours.len();
        let interval = round_bytes as f64 / EXCHANGE_BYTES_PER_SECOND;
        let interval = Duration::from_secs_f64(interval);
        self.limits.exchange_interval.max(interval)
    }

    /// Starts an exchange with every selected peer if the interval is over.
    pub(super) fn exchange(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_due = self
            .last_exchange_at
            .is_none_or(|last| now.saturating_sub(last) >= self.exchange_interval());
        if !is_due || self.is_complete() || self.is_stopped || self.needed_since.is_none() {
            return;
        }
        self.last_exchange_at = Some(now);
        let mut peers = self.neighbours.clone();
        peers.extend(self.additional_peers(now));
        peers.extend(self.overdue_candidates(now));
        peers.sort_unstable();
        peers.dedup();
        for name in peers {
            let peer = self.peers.entry(&name);
            if peer.is_backing_off(now) {
                continue;
            }
            peer.record_request(now);
            effects.push(Effect::Exchange(name));
        }
    }

    /// Peers of the region beyond the neighbours, while no piece arrives: all neighbours may be
    /// unavailable. The selection changes with time.
    fn additional_peers(&self, now: Duration) -> Vec<Name> {
        let since_last_piece = now.saturating_sub(self.last_piece_at);
        if self.limits.origin_only {
            return Vec::new();
        }
        if since_last_piece < self.limits.candidate_timeout {
            return Vec::new();
        }
        let elapsed_timeouts =
            since_last_piece.as_millis() / self.limits.candidate_timeout.as_millis().max(1);
        let seed = u32::try_from(elapsed_timeouts).unwrap_or(u32::MAX);
        let peers = self.plan.region_peers(seed);
        peers
            .into_iter()
            .filter(|name| *name != self.me)
            .take(self.neighbours.len().max(2))
            .collect()
    }

    /// The candidates of overdue pieces: those that are not in transit and that no peer of the
    /// region holds, although this instance has needed them for half of the candidate timeout. The
    /// exchange shows whether the candidates are available, and tells them that the pieces are
    /// needed.
    fn overdue_candidates(&self, now: Duration) -> Vec<Name> {
        let waited = self.needed_since.map(|since| now.saturating_sub(since));
        if self.limits.origin_only || waited.is_none_or(|w| w < self.limits.candidate_timeout / 2) {
            return Vec::new();
        }
        let mut overdue_candidates: Vec<Name> = Vec::new();
        let overdue = self
            .not_in_transit()
            .filter(|piece| !self.is_held_in_region(now, *piece));
        for piece in overdue.take(MAX_OVERDUE_PIECES) {
            let candidates = if self.plan.in_origin_region() {
                self.plan.origin_candidates(piece)
            } else {
                self.plan.gateways(piece)
            };
            let role = self.roles.get(piece as usize);
            let earlier = role.and_then(|role| role.earlier_origin_candidates.clone());
            for name in candidates.into_iter().chain(earlier.unwrap_or_default()) {
                if name != self.me && !overdue_candidates.contains(&name) {
                    overdue_candidates.push(name);
                }
            }
            if overdue_candidates.len() >= MAX_OVERDUE_CANDIDATES {
                break;
            }
        }
        overdue_candidates
    }
}
