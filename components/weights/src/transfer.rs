//! The reducer that brings one version's pieces to this instance.

use std::collections::BTreeMap;
use std::time::Duration;

use fixedbitset::FixedBitSet;
use utils::digest::Digest;
use utils::Name;

use crate::manifest::Manifest;
use crate::peers::{
    Peer,
    Peers,
    Report, //
};
use crate::plan::Plan;
use crate::uploads::{
    Denial,
    Uploads, //
};
use crate::{
    Piece,
    MANIFEST_PIECE, //
};

/// Bounds and intervals of a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Pieces drawn from peers of the region at once.
    pub fetches: usize,
    /// Pieces drawn from one peer at once.
    pub fetches_per_peer: u32,
    /// Pieces drawn from other regions at once.
    pub remote_fetches: usize,
    /// Pieces drawn from the origin at once.
    pub origin_fetches: usize,
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
    /// How often a piece from the origin may fail before this rank passes.
    pub origin_tries: u32,
    /// Bytes of weights that this instance may hold.
    pub memory_bytes: u64,
    /// Draw every piece from the origin, as a plain download would; for comparison only.
    pub origin_only: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            fetches: 8,
            fetches_per_peer: 2,
            remote_fetches: 4,
            origin_fetches: 2,
            upload_slots: 4,
            upload_queue: 12,
            exchange_every: Duration::from_millis(100),
            rank_timeout: Duration::from_secs(3),
            stall_after: Duration::from_secs(3),
            park_for: Duration::from_secs(2),
            origin_tries: 4,
            memory_bytes: 64 << 30,
            origin_only: false,
        }
    }
}

/// Where a piece is drawn from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// The agent of another instance.
    Peer(Name),
}

/// Why a draw failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailCause {
    /// The bytes do not have the digest that the manifest names.
    Corrupt,
    /// No connection, or it broke.
    Unreachable,
    /// The source refused for now.
    Denied(Denial),
}

/// What happens to a transfer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The manifest arrived and has the digest that the sheet names.
    Manifest(Source, Manifest),
    /// A chunk arrived and has its digest.
    Chunk(Piece, Source),
    /// Bytes of a piece arrived.
    Progress(Piece),
    /// A draw failed.
    Failed(Piece, Source, FailCause),
    /// A peer said what it holds.
    Report(Name, Report),
    /// A peer answered and said nothing of the transfer.
    Answered(Name),
    /// A peer could not be reached.
    Silent(Name),
    /// A peer asks for a piece of `manifest`; `wait` if it would wait for it.
    Want {
        /// Names the request until it ends.
        token: u64,
        /// The manifest whose piece is asked for.
        manifest: Digest,
        /// The piece.
        piece: Piece,
        /// Whether the peer would wait for the piece to arrive here.
        wait: bool,
    },
    /// A request of a peer ended, whole or not.
    WantEnded(u64),
}

/// What the transfer asks to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Draw a piece.
    Fetch {
        /// The piece.
        piece: Piece,
        /// From where.
        source: Source,
        /// Whether to wait at the source until it holds the piece.
        wait: bool,
    },
    /// Stop drawing a piece.
    Cancel(Piece),
    /// Exchange reports with a peer.
    Exchange(Name),
    /// Hand a piece to the request `token`.
    Upload(u64, Piece),
    /// Refuse the request `token`.
    Deny(u64, Denial),
    /// Every piece is here and verified.
    Complete,
    /// The weights need more memory than this instance may use.
    TooLarge(u64),
}

#[derive(Clone, Debug)]
struct Fetch {
    source: Source,
    progressed: Duration,
    waits: bool,
}

/// The state of one version's transfer.
#[derive(Clone, Debug)]
pub struct Transfer {
    me: Name,
    plan: Plan,
    limits: Limits,
    neighbours: Vec<Name>,
    manifest: Option<Manifest>,
    have: FixedBitSet,
    given_up: FixedBitSet,
    origin_failures: BTreeMap<Piece, u32>,
    origin_rests_until: Duration,
    duties: Vec<Duty>,
    fetching: BTreeMap<Piece, Fetch>,
    peers: Peers,
    uploads: Uploads,
    /// Since when the pieces are wanted here.
    wanted_since: Option<Duration>,
    /// Until when pieces are drawn for others, by the ranks of this instance.
    demand_until: Duration,
    gained: Duration,
    exchanged: Option<Duration>,
    halted: bool,
}

/// The part that this instance has in bringing one piece near.
#[derive(Clone, Debug, Default)]
struct Duty {
    /// Instances of lower rank at the origin, if this instance has a rank there.
    before_origin: Option<Vec<Name>>,
    /// Instances of lower rank among the gateways, if this instance is one.
    before_gateway: Option<Vec<Name>>,
}

/// How long the origin rests after it refused or failed.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(200);

/// How long pieces are drawn for an instance that asked.
const DEMAND_TIME: Duration = Duration::from_secs(5);

/// Missing pieces whose ranks are looked up, for each exchange.
const LOOKED_UP: usize = 32;

/// Instances with a rank asked at once, for each exchange.
const WATCHED_AT_ONCE: usize = 16;

impl Transfer {
    /// Starts a transfer for the instance `me`.
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
            have: FixedBitSet::with_capacity(1),
            given_up: FixedBitSet::with_capacity(1),
            origin_failures: BTreeMap::new(),
            origin_rests_until: Duration::ZERO,
            duties: Vec::new(),
            fetching: BTreeMap::new(),
            peers: Peers::default(),
            uploads,
            wanted_since: None,
            demand_until: Duration::ZERO,
            gained: now,
            exchanged: None,
            halted: false,
        };
        transfer.duties.push(transfer.duty(MANIFEST_PIECE));
        transfer
    }

    /// The plan that the transfer follows.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The manifest, once it is here.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// Whether every piece is here and verified.
    pub fn is_complete(&self) -> bool {
        self.manifest.is_some() && self.have.is_full()
    }

    /// How many pieces are here, and how many there are if that is known.
    pub fn progress(&self) -> (usize, Option<usize>) {
        let total = self.manifest.as_ref().map(Manifest::pieces);
        (self.have.count_ones(..), total)
    }

    /// Whether `piece` is being drawn from the instance `peer`.
    pub fn is_drawing(&self, piece: Piece, peer: &str) -> bool {
        self.fetching
            .get(&piece)
            .is_some_and(|fetch| matches!(&fetch.source, Source::Peer(name) if &**name == peer))
    }

    /// How many uploads run.
    pub fn uploads_running(&self) -> usize {
        self.uploads.running()
    }

    /// Tells whether this instance wants the pieces for itself. A target that runs the version
    /// already does not, but draws what it has a rank for when another instance asks.
    pub fn set_wanted(&mut self, now: Duration, wanted: bool) {
        if !wanted {
            self.wanted_since = None;
        } else if self.wanted_since.is_none() {
            self.wanted_since = Some(now);
            self.gained = now;
        }
    }

    /// What this instance says to peers.
    pub fn report(&self) -> Report {
        Report {
            manifest: *self.plan.manifest(),
            wants: self.wanted_since.is_some() && !self.is_complete(),
            have: self.have.clone(),
            given_up: self.given_up.clone(),
        }
    }

    /// Handles one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Manifest(source, manifest) => {
                self.take_manifest(now, &source, manifest, &mut effects);
            }
            Event::Chunk(piece, source) => self.take_chunk(now, piece, &source, &mut effects),
            Event::Progress(piece) => {
                if let Some(fetch) = self.fetching.get_mut(&piece) {
                    fetch.progressed = now;
                    fetch.waits = false;
                }
            }
            Event::Failed(piece, source, cause) => self.fail(now, piece, &source, cause),
            Event::Report(name, report) => {
                if report.wants && report.manifest == *self.plan.manifest() {
                    self.demand_until = now + DEMAND_TIME;
                }
                self.peers.hears(now, &name, &report, self.plan.manifest());
            }
            Event::Answered(name) => self.peers.answers(now, &name),
            Event::Silent(name) => self.peers.entry(&name).failed(now),
            Event::Want {
                token,
                manifest,
                piece,
                wait,
            } => self.want(now, token, &manifest, piece, wait, &mut effects),
            Event::WantEnded(token) => {
                if let Some((token, piece)) = self.uploads.end(token) {
                    effects.push(Effect::Upload(token, piece));
                }
            }
        }
        self.draw(now, &mut effects);
        effects
    }

    /// Ends the transfer: cancels every draw and refuses the waiting requests.
    pub fn stop(&mut self) -> Vec<Effect> {
        self.halted = true;
        let cancelled = std::mem::take(&mut self.fetching);
        let denied = self.uploads.clear_waiting();
        let deny = |token| Effect::Deny(token, Denial::OtherManifest);
        cancelled
            .into_keys()
            .map(Effect::Cancel)
            .chain(denied.into_iter().map(deny))
            .collect()
    }

    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        for token in self.uploads.expire(now) {
            effects.push(Effect::Deny(token, Denial::NotYet));
        }
        self.cancel_stalled(now, effects);
        self.exchange(now, effects);
    }

    /// Progress, not total time, tells a slow source from a dead one.
    fn cancel_stalled(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let limits = &self.limits;
        let is_stalled = |fetch: &Fetch| {
            let patience = if fetch.waits {
                limits.stall_after + limits.park_for
            } else {
                limits.stall_after
            };
            now.saturating_sub(fetch.progressed) >= patience
        };
        let stalled: Vec<(Piece, Source)> = self
            .fetching
            .iter()
            .filter(|(_, fetch)| is_stalled(fetch))
            .map(|(piece, fetch)| (*piece, fetch.source.clone()))
            .collect();
        for (piece, source) in stalled {
            self.fail(now, piece, &source, FailCause::Unreachable);
            effects.push(Effect::Cancel(piece));
        }
    }

    fn exchange(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let due = self
            .exchanged
            .is_none_or(|at| now.saturating_sub(at) >= self.limits.exchange_every);
        if !due || self.is_complete() || self.halted || self.wanted_since.is_none() {
            return;
        }
        self.exchanged = Some(now);
        let mut targets = self.neighbours.clone();
        targets.extend(self.more_neighbours(now));
        targets.extend(self.watched(now));
        targets.sort_unstable();
        targets.dedup();
        for name in targets {
            let peer = self.peers.entry(&name);
            if peer.rests(now) {
                continue;
            }
            peer.asked(now);
            effects.push(Effect::Exchange(name));
        }
    }

    /// Widens the circle while no piece arrives, for the case that every neighbour is gone.
    fn more_neighbours(&self, now: Duration) -> Vec<Name> {
        let idle = now.saturating_sub(self.gained);
        if self.limits.origin_only {
            return Vec::new();
        }
        if idle < self.limits.rank_timeout {
            return Vec::new();
        }
        let steps = idle.as_millis() / self.limits.rank_timeout.as_millis().max(1);
        let turn = u32::try_from(steps).unwrap_or(u32::MAX);
        let peers = self.plan.region_peers(turn);
        peers
            .into_iter()
            .filter(|name| *name != self.me)
            .take(self.neighbours.len().max(2))
            .collect()
    }

    /// Instances with a rank for pieces that are overdue: to learn whether they live, and to let
    /// them know that the pieces are wanted.
    fn watched(&self, now: Duration) -> Vec<Name> {
        let waited = self.wanted_since.map(|since| now.saturating_sub(since));
        if self.limits.origin_only || waited.is_none_or(|w| w < self.limits.rank_timeout / 2) {
            return Vec::new();
        }
        let mut watched: Vec<Name> = Vec::new();
        let overdue = self.missing().filter(|piece| !self.is_near(now, *piece));
        for piece in overdue.take(LOOKED_UP) {
            let ranks = if self.plan.in_origin_region() {
                self.plan.origin_ranks(piece)
            } else {
                self.plan.gateways(piece)
            };
            let duty = self.duties.get(piece as usize);
            let before = duty.and_then(|duty| duty.before_origin.clone());
            for name in ranks.into_iter().chain(before.unwrap_or_default()) {
                if name != self.me && !watched.contains(&name) {
                    watched.push(name);
                }
            }
            if watched.len() >= WATCHED_AT_ONCE {
                break;
            }
        }
        watched
    }

    fn take_manifest(
        &mut self,
        now: Duration,
        source: &Source,
        manifest: Manifest,
        effects: &mut Vec<Effect>,
    ) {
        self.end_fetch(MANIFEST_PIECE, source);
        if self.manifest.is_some() || self.halted {
            return;
        }
        if manifest.total_bytes > self.limits.memory_bytes {
            self.halted = true;
            effects.push(Effect::TooLarge(manifest.total_bytes));
            return;
        }
        let pieces = manifest.pieces();
        self.have.grow(pieces);
        self.given_up.grow(pieces);
        let count = Piece::try_from(pieces).unwrap_or(Piece::MAX);
        for piece in 1..count {
            self.duties.push(self.duty(piece));
        }
        self.manifest = Some(manifest);
        self.hold(now, MANIFEST_PIECE, effects);
    }

    fn take_chunk(
        &mut self,
        now: Duration,
        piece: Piece,
        source: &Source,
        effects: &mut Vec<Effect>,
    ) {
        self.end_fetch(piece, source);
        let known = (piece as usize) < self.have.len();
        if !known || self.halted || self.have.contains(piece as usize) {
            return;
        }
        self.hold(now, piece, effects);
    }

    fn hold(&mut self, now: Duration, piece: Piece, effects: &mut Vec<Effect>) {
        self.have.insert(piece as usize);
        self.gained = now;
        for token in self.uploads.unpark(piece) {
            self.start_upload(token, piece, effects);
        }
        if self.is_complete() {
            effects.push(Effect::Complete);
        }
    }

    fn end_fetch(&mut self, piece: Piece, source: &Source) {
        let current = self.fetching.get(&piece);
        if current.is_some_and(|fetch| fetch.source == *source) {
            self.fetching.remove(&piece);
        }
        if let Source::Peer(name) = source {
            let peer = self.peers.entry(name);
            peer.outstanding = peer.outstanding.saturating_sub(1);
            peer.worked();
        }
    }

    fn fail(&mut self, now: Duration, piece: Piece, source: &Source, cause: FailCause) {
        let current = self.fetching.get(&piece);
        if current.is_none_or(|fetch| fetch.source != *source) {
            return;
        }
        self.fetching.remove(&piece);
        match source {
            Source::Origin => self.fail_origin(now, piece, cause),
            Source::Peer(name) => {
                let peer = self.peers.entry(name);
                peer.outstanding = peer.outstanding.saturating_sub(1);
                match cause {
                    FailCause::Denied(Denial::NotYet) => peer.lacks(piece),
                    FailCause::Denied(Denial::OtherManifest) => {
                        peer.takes_part = false;
                        peer.failed(now);
                    }
                    _ => peer.failed(now),
                }
            }
        }
    }

    fn fail_origin(&mut self, now: Duration, piece: Piece, cause: FailCause) {
        self.origin_rests_until = now + ORIGIN_BACKOFF;
        if cause == FailCause::Denied(Denial::Busy) {
            return;
        }
        let failures = self.origin_failures.entry(piece).or_default();
        *failures += 1;
        if *failures >= self.limits.origin_tries {
            self.given_up.insert(piece as usize);
        }
    }

    fn want(
        &mut self,
        now: Duration,
        token: u64,
        manifest: &Digest,
        piece: Piece,
        wait: bool,
        effects: &mut Vec<Effect>,
    ) {
        if manifest != self.plan.manifest() || self.halted {
            effects.push(Effect::Deny(token, Denial::OtherManifest));
        } else if self.have.contains(piece as usize) {
            self.start_upload(token, piece, effects);
        } else if !wait {
            effects.push(Effect::Deny(token, Denial::NotYet));
        } else if let Err(denial) = self.uploads.park(token, piece, now + self.limits.park_for) {
            effects.push(Effect::Deny(token, denial));
        }
    }

    fn start_upload(&mut self, token: u64, piece: Piece, effects: &mut Vec<Effect>) {
        match self.uploads.request(token, piece) {
            Ok(true) => effects.push(Effect::Upload(token, piece)),
            Ok(false) => {}
            Err(denial) => effects.push(Effect::Deny(token, denial)),
        }
    }

    /// Starts as many draws as the limits allow.
    fn draw(&mut self, now: Duration, effects: &mut Vec<Effect>) {
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
        let piece = self.missing().find(|piece| {
            let duty = self.duties.get(*piece as usize);
            let before = duty.and_then(|duty| duty.before_origin.as_ref());
            before.is_some_and(|before| self.is_my_turn(now, *piece, before))
                && !self.given_up.contains(*piece as usize)
        })?;
        Some((piece, Source::Origin, false))
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
            let gave_up = peer.takes_part && peer.given_up.contains(piece as usize);
            gave_up || peer.is_gone(now, self.limits.rank_timeout)
        };
        before.iter().all(passed) && !self.is_near(now, piece)
    }

    fn is_near(&self, now: Duration, piece: Piece) -> bool {
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
    fn missing(&self) -> impl Iterator<Item = Piece> + '_ {
        self.have
            .zeroes()
            .map(|piece| Piece::try_from(piece).unwrap_or(Piece::MAX))
            .filter(|piece| !self.fetching.contains_key(piece))
    }

    fn duty(&self, piece: Piece) -> Duty {
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
