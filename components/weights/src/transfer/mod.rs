//! The reducer that fetches the pieces of one version and uploads them to other instances.

mod choose;
mod exchange;
mod limits;

use std::collections::BTreeMap;
use std::time::Duration;

use fixedbitset::FixedBitSet;
use utils::digest::Digest;
use utils::Name;

use self::choose::PieceRole;
pub use self::limits::Limits;
use crate::manifest::Manifest;
use crate::peers::{
    Peers,
    TransferReport, //
};
use crate::plan::Plan;
use crate::uploads::{
    Denial,
    PieceRequest,
    Uploads, //
};
use crate::{
    Piece,
    MANIFEST_PIECE, //
};

/// Where a piece is fetched from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The weight store.
    Origin,
    /// The agent of another instance.
    Peer(Name),
}

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The bytes do not have the expected digest.
    Corrupt,
    /// The connection could not be made, or it failed.
    Unreachable,
    /// The source denied the request.
    Denied(Denial),
}

/// An input of [`Transfer::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The manifest arrived and its digest is verified.
    ManifestReceived(Source, Manifest),
    /// A chunk arrived and its digest is verified.
    ChunkReceived(Piece, Source),
    /// Bytes of a piece arrived.
    Progress(Piece),
    /// A fetch failed.
    FetchFailed(Piece, Source, FailureCause),
    /// A peer sent its report.
    ReportReceived(Name, TransferReport),
    /// A peer answered without a report, so it has no transfer.
    AnsweredWithoutReport(Name),
    /// A peer could not be reached or did not answer.
    PeerUnreachable(Name),
    /// A peer asks for a piece.
    PieceRequested {
        /// Identifies the request until it ends.
        token: u64,
        /// The name of the peer.
        from: Name,
        /// The digest of the manifest that the piece belongs to.
        manifest: Digest,
        /// The piece.
        piece: Piece,
        /// Whether the request may wait until this instance holds the piece.
        wait: bool,
    },
    /// A request of a peer ended, successfully or not.
    PieceRequestEnded(u64),
}

/// An action that the caller of [`Transfer::step`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Fetch a piece.
    Fetch {
        /// The piece.
        piece: Piece,
        /// The source.
        source: Source,
        /// Whether the request may wait until the source holds the piece.
        wait: bool,
    },
    /// Cancel the fetch of a piece.
    Cancel(Piece),
    /// Exchange reports with a peer.
    Exchange(Name),
    /// Send a piece in answer to the request with this token.
    Upload(u64, Piece),
    /// Deny the request with this token.
    Deny(u64, Denial),
    /// Every piece is held and verified.
    Complete,
    /// The transfer stops: the weights, of this many bytes, exceed [`Limits::memory_bytes`].
    TooLarge(u64),
}

/// A fetch under way.
#[derive(Clone, Debug)]
struct Fetch {
    source: Source,
    started_at: Duration,
    last_progress_at: Duration,
    /// Whether the request waits at the source and no bytes have arrived.
    is_waiting: bool,
}

/// The transfer of one version's pieces to this instance and from it to others.
#[derive(Clone, Debug)]
pub struct Transfer {
    me: Name,
    plan: Plan,
    limits: Limits,
    neighbours: Vec<Name>,
    manifest: Option<Manifest>,
    held_pieces: FixedBitSet,
    /// Pieces that this instance leaves to other origin candidates after failed fetches, and until
    /// when.
    given_up: BTreeMap<Piece, Duration>,
    origin_failures: BTreeMap<Piece, u32>,
    origin_backoff_until: Duration,
    /// When this instance may fetch its first chunk from the origin.
    origin_fetches_from: Duration,
    /// Failed fetches of a piece from other regions.
    remote_failures: BTreeMap<Piece, usize>,
    /// The role of this instance for each piece, by piece.
    roles: Vec<PieceRole>,
    fetching: BTreeMap<Piece, Fetch>,
    peers: Peers,
    uploads: Uploads,
    /// Since when this instance needs the pieces for itself.
    needed_since: Option<Duration>,
    /// Until when this instance fetches pieces for others, as an origin candidate or a gateway.
    peer_demand_until: Duration,
    /// When the last piece arrived, or when this instance began to need the pieces.
    last_piece_at: Duration,
    last_exchange_at: Option<Duration>,
    is_stopped: bool,
}

/// The delay before the next fetch from the origin after it denied a request or failed.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(200);

/// The delay between the first fetches of two instances from the origin, as a share of the time that
/// its link takes for a chunk. It is under one because a fetch begins with a connection.
const ORIGIN_STAGGER_SHARE: f64 = 0.57;

/// How long pieces are fetched for others after a report of an instance that needs them.
const PEER_DEMAND_DURATION: Duration = Duration::from_secs(5);

impl Transfer {
    /// Creates a transfer for the instance `me`.
    pub fn new(me: Name, plan: Plan, limits: Limits, now: Duration) -> Self {
        let neighbours = if limits.origin_only {
            Vec::new()
        } else {
            plan.neighbours(&me)
        };
        let uploads = Uploads::new(limits.upload_slots, limits.upload_queue);
        let mut transfer = Self {
            me,
            plan,
            limits,
            neighbours,
            manifest: None,
            held_pieces: FixedBitSet::with_capacity(1),
            given_up: BTreeMap::new(),
            origin_failures: BTreeMap::new(),
            origin_backoff_until: Duration::ZERO,
            origin_fetches_from: Duration::ZERO,
            remote_failures: BTreeMap::new(),
            roles: Vec::new(),
            fetching: BTreeMap::new(),
            peers: Peers::default(),
            uploads,
            needed_since: None,
            peer_demand_until: Duration::ZERO,
            last_piece_at: now,
            last_exchange_at: None,
            is_stopped: false,
        };
        transfer.roles.push(transfer.role_of(MANIFEST_PIECE));
        transfer
    }

    /// The plan that the transfer follows.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Replaces the plan. Held pieces, fetches under way and requests of others are kept.
    pub fn set_plan(&mut self, plan: Plan) {
        self.plan = plan;
        if !self.limits.origin_only {
            self.neighbours = self.plan.neighbours(&self.me);
        }
        let pieces = Piece::try_from(self.roles.len()).unwrap_or(Piece::MAX);
        self.roles = (0..pieces).map(|piece| self.role_of(piece)).collect();
    }

    /// The manifest, once it has arrived.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// Whether every piece is held and verified.
    pub fn is_complete(&self) -> bool {
        self.manifest.is_some() && self.held_pieces.is_full()
    }

    /// Whether a piece is held and verified.
    pub fn holds(&self, piece: Piece) -> bool {
        self.held_pieces.contains(piece as usize)
    }

    /// The chunks that are held.
    pub fn held_chunks(&self) -> Vec<Piece> {
        let ones = self.held_pieces.ones().skip_while(|piece| *piece == 0);
        ones.filter_map(|piece| Piece::try_from(piece).ok())
            .collect()
    }

    /// The number of pieces held, and the number of all pieces once the manifest has arrived.
    pub fn progress(&self) -> (usize, Option<usize>) {
        let total = self.manifest.as_ref().map(Manifest::piece_count);
        (self.held_pieces.count_ones(..), total)
    }

    /// Whether `piece` is being fetched from the instance `peer`.
    pub fn is_fetching_from(&self, piece: Piece, peer: &str) -> bool {
        self.fetching
            .get(&piece)
            .is_some_and(|fetch| matches!(&fetch.source, Source::Peer(name) if &**name == peer))
    }

    /// The number of active uploads.
    pub fn active_uploads(&self) -> usize {
        self.uploads.active()
    }

    /// Sets whether this instance needs the pieces for itself. A target that already runs the
    /// version does not, but as an origin candidate or gateway it fetches pieces when other
    /// instances need them.
    pub fn set_needs_pieces(&mut self, now: Duration, needs_pieces: bool) {
        if !needs_pieces {
            self.needed_since = None;
        } else if self.needed_since.is_none() {
            self.needed_since = Some(now);
            self.last_piece_at = now;
        }
    }

    /// The report for peers.
    pub fn report(&self) -> TransferReport {
        TransferReport {
            manifest: *self.plan.manifest(),
            needs_pieces: self.needed_since.is_some() && !self.is_complete(),
            held_pieces: self.held_pieces.clone(),
            given_up: self.given_up.keys().copied().collect(),
        }
    }

    /// Handles an event at time `now` and returns the resulting actions.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::ManifestReceived(source, manifest) => {
                self.accept_manifest(now, &source, manifest, &mut effects);
            }
            Event::ChunkReceived(piece, source) => {
                self.accept_chunk(now, piece, &source, &mut effects)
            }
            Event::Progress(piece) => {
                if let Some(fetch) = self.fetching.get_mut(&piece) {
                    fetch.last_progress_at = now;
                    fetch.is_waiting = false;
                }
            }
            Event::FetchFailed(piece, source, cause) => {
                self.handle_failure(now, piece, &source, cause)
            }
            Event::ReportReceived(name, report) => {
                if report.needs_pieces && report.manifest == *self.plan.manifest() {
                    self.peer_demand_until = now + PEER_DEMAND_DURATION;
                }
                self.peers
                    .record_report(now, &name, &report, self.plan.manifest());
            }
            Event::AnsweredWithoutReport(name) => self.peers.record_not_participating(now, &name),
            Event::PeerUnreachable(name) => self.peers.entry(&name).record_unreachable(now),
            Event::PieceRequested {
                token,
                from,
                manifest,
                piece,
                wait,
            } => {
                let request = PieceRequest {
                    token,
                    piece,
                    is_from_other_region: !self.plan.is_same_region(&from),
                    rotation_distance: self.plan.rotation_distance(&self.me, &from),
                };
                self.handle_request(now, request, &manifest, wait, &mut effects);
            }
            Event::PieceRequestEnded(token) => {
                if let Some((token, piece)) = self.uploads.finish(token) {
                    effects.push(Effect::Upload(token, piece));
                }
            }
        }
        self.start_fetches(now, &mut effects);
        effects
    }

    /// Ends the transfer: cancels every fetch and denies the waiting requests.
    pub fn stop(&mut self) -> Vec<Effect> {
        self.is_stopped = true;
        let cancelled = std::mem::take(&mut self.fetching);
        let denied = self.uploads.take_waiting();
        let deny = |token| Effect::Deny(token, Denial::ManifestMismatch);
        cancelled
            .into_keys()
            .map(Effect::Cancel)
            .chain(denied.into_iter().map(deny))
            .collect()
    }

    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        for token in self.uploads.take_expired(now) {
            effects.push(Effect::Deny(token, Denial::PieceNotHeld));
        }
        self.given_up.retain(|_, until| now < *until);
        self.cancel_stalled(now, effects);
        self.reroute_waiting(now, effects);
        self.exchange(now, effects);
    }

    /// Cancels fetches without progress. Progress, not the total time, distinguishes a slow source
    /// from a dead one.
    fn cancel_stalled(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let limits = &self.limits;
        // A waiting request is also cancelled if its peer no longer answers exchanges. Peers in
        // other regions are exempt: there are no exchanges with them, so once unavailable they
        // would never count as available again.
        let is_unavailable = |source: &Source| match source {
            Source::Peer(name) if self.plan.is_same_region(name) => {
                let peer = self.peers.get(name);
                peer.is_some_and(|peer| peer.is_unavailable(now, limits.candidate_timeout))
            }
            Source::Origin | Source::Peer(_) => false,
        };
        let is_stalled = |fetch: &Fetch| {
            if fetch.is_waiting && is_unavailable(&fetch.source) {
                return true;
            }
            let timeout = if fetch.is_waiting {
                limits.wait_timeout
            } else {
                limits.stall_timeout
            };
            now.saturating_sub(fetch.last_progress_at) >= timeout
        };
        let stalled: Vec<(Piece, Source)> = self
            .fetching
            .iter()
            .filter(|(_, fetch)| is_stalled(fetch))
            .map(|(piece, fetch)| (*piece, fetch.source.clone()))
            .collect();
        for (piece, source) in stalled {
            self.handle_failure(now, piece, &source, FailureCause::Unreachable);
            effects.push(Effect::Cancel(piece));
        }
    }

    /// Cancels requests that have waited long at one instance if another instance of the region now
    /// holds the piece and serves no fetch of this instance. The piece is then fetched from there.
    fn reroute_waiting(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let free_fetches = self
            .limits
            .region_fetches
            .saturating_sub(self.region_fetch_count());
        let is_held_by_idle_peer = |piece: Piece| {
            let mut peers = self.peers.iter();
            peers.any(|(name, peer)| {
                peer.has_piece(piece)
                    && !peer.is_backing_off(now)
                    && peer.outstanding_fetches == 0
                    && self.plan.is_same_region(name)
            })
        };
        let timeout = self.limits.reroute_after;
        let waiting = self.fetching.iter().filter(|(piece, fetch)| {
            let has_timed_out = fetch.is_waiting && now.saturating_sub(fetch.started_at) >= timeout;
            has_timed_out && !self.is_remote(&fetch.source) && is_held_by_idle_peer(**piece)
        });
        let mut waiting: Vec<(Duration, Piece)> =
            waiting.map(|(p, f)| (f.started_at, *p)).collect();
        waiting.sort_unstable();
        for (_, piece) in waiting.into_iter().take(free_fetches) {
            self.cancel_fetch(piece, effects);
        }
    }

    fn accept_manifest(
        &mut self,
        now: Duration,
        source: &Source,
        manifest: Manifest,
        effects: &mut Vec<Effect>,
    ) {
        self.finish_fetch(MANIFEST_PIECE, source);
        if self.manifest.is_some() || self.is_stopped {
            return;
        }
        if manifest.total_bytes > self.limits.memory_bytes {
            self.is_stopped = true;
            effects.push(Effect::TooLarge(manifest.total_bytes));
            return;
        }
        let piece_count = manifest.piece_count();
        self.held_pieces.grow(piece_count);
        let count = Piece::try_from(piece_count).unwrap_or(Piece::MAX);
        for piece in 1..count {
            self.roles.push(self.role_of(piece));
        }
        self.manifest = Some(manifest);
        self.origin_fetches_from = now + self.origin_delay();
        self.add_piece(now, MANIFEST_PIECE, effects);
    }

    /// How much later than the first instance of its region's rotation this one fetches from the
    /// origin, so that the origin's link is never idle and few fetches share it.
    fn origin_delay(&self) -> Duration {
        let chunk_bytes = self.manifest.as_ref().map(|manifest| manifest.chunk_bytes);
        let chunk_time = match (chunk_bytes, self.limits.origin_bytes_per_second) {
            (Some(bytes), Some(rate)) if rate > 0 => {
                Some(Duration::from_secs_f64(f64::from(bytes) / rate as f64))
            }
            _ => None,
        };
        let stagger = chunk_time.map_or(self.limits.origin_stagger, |chunk_time| {
            chunk_time.mul_f64(ORIGIN_STAGGER_SHARE)
        });
        stagger * self.plan.rotation_index(&self.me)
    }

    fn accept_chunk(
        &mut self,
        now: Duration,
        piece: Piece,
        source: &Source,
        effects: &mut Vec<Effect>,
    ) {
        self.finish_fetch(piece, source);
        let exists = (piece as usize) < self.held_pieces.len();
        if !exists || self.is_stopped || self.held_pieces.contains(piece as usize) {
            return;
        }
        self.add_piece(now, piece, effects);
    }

    fn add_piece(&mut self, now: Duration, piece: Piece, effects: &mut Vec<Effect>) {
        self.held_pieces.insert(piece as usize);
        self.last_piece_at = now;
        for request in self.uploads.take_deferred(piece) {
            self.start_upload(request, effects);
        }
        if self.is_complete() {
            effects.push(Effect::Complete);
        }
    }

    fn finish_fetch(&mut self, piece: Piece, source: &Source) {
        let current = self.fetching.get(&piece);
        if current.is_some_and(|fetch| fetch.source == *source) {
            self.fetching.remove(&piece);
        }
        if let Source::Peer(name) = source {
            let peer = self.peers.entry(name);
            peer.outstanding_fetches = peer.outstanding_fetches.saturating_sub(1);
            peer.record_success();
        }
    }

    fn handle_failure(
        &mut self,
        now: Duration,
        piece: Piece,
        source: &Source,
        cause: FailureCause,
    ) {
        let current = self.fetching.get(&piece);
        if current.is_none_or(|fetch| fetch.source != *source) {
            return;
        }
        self.fetching.remove(&piece);
        match source {
            Source::Origin => self.handle_origin_failure(now, piece, cause),
            Source::Peer(name) => {
                if !self.plan.is_same_region(name) {
                    *self.remote_failures.entry(piece).or_default() += 1;
                }
                let peer = self.peers.entry(name);
                peer.outstanding_fetches = peer.outstanding_fetches.saturating_sub(1);
                match cause {
                    FailureCause::Denied(Denial::PieceNotHeld) => peer.mark_missing(piece),
                    FailureCause::Denied(Denial::ManifestMismatch) => {
                        peer.is_participating = false;
                        peer.record_failure(now);
                    }
                    FailureCause::Unreachable => peer.record_unreachable(now),
                    FailureCause::Corrupt | FailureCause::Denied(Denial::Busy) => {
                        peer.record_failure(now);
                    }
                }
            }
        }
    }

    fn handle_origin_failure(&mut self, now: Duration, piece: Piece, cause: FailureCause) {
        self.origin_backoff_until = now + ORIGIN_BACKOFF;
        if cause == FailureCause::Denied(Denial::Busy) {
            return;
        }
        let failures = self.origin_failures.entry(piece).or_default();
        *failures += 1;
        if *failures >= self.limits.origin_attempts {
            self.origin_failures.remove(&piece);
            self.given_up
                .insert(piece, now + self.limits.give_up_duration);
        }
    }

    fn handle_request(
        &mut self,
        now: Duration,
        request: PieceRequest,
        manifest: &Digest,
        wait: bool,
        effects: &mut Vec<Effect>,
    ) {
        let token = request.token;
        if manifest != self.plan.manifest() || self.is_stopped {
            effects.push(Effect::Deny(token, Denial::ManifestMismatch));
        } else if self.held_pieces.contains(request.piece as usize) {
            self.start_upload(request, effects);
        } else if !wait {
            effects.push(Effect::Deny(token, Denial::PieceNotHeld));
        } else if let Err(denial) = self
            .uploads
            .defer(request, now + self.deferral_time(request.piece))
        {
            effects.push(Effect::Deny(token, denial));
        }
    }

    /// How long a request for `piece` is kept until the piece arrives. Shorter for the manifest: a
    /// peer can fetch nothing without it, so it soon tries another instance.
    fn deferral_time(&self, piece: Piece) -> Duration {
        if piece == MANIFEST_PIECE {
            self.limits.exchange_interval
        } else {
            self.limits.defer_timeout
        }
    }

    fn start_upload(&mut self, request: PieceRequest, effects: &mut Vec<Effect>) {
        match self.uploads.submit(request) {
            Ok(true) => effects.push(Effect::Upload(request.token, request.piece)),
            Ok(false) => {}
            Err(denial) => effects.push(Effect::Deny(request.token, denial)),
        }
    }
}
