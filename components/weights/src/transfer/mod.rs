//! The reducer that brings one version's pieces to this instance.

mod choose;
mod exchange;
mod limits;

use std::collections::BTreeMap;
use std::time::Duration;

use fixedbitset::FixedBitSet;
use utils::digest::Digest;
use utils::Name;

use self::choose::Duty;
pub use self::limits::Limits;
use crate::manifest::Manifest;
use crate::peers::Peers;
use crate::peers::Report;
use crate::plan::Plan;
use crate::uploads::{
    Denial,
    Uploads,
    Want, //
};
use crate::{
    Piece,
    MANIFEST_PIECE, //
};

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
        /// Who asks.
        from: Name,
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
    begun: Duration,
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
    /// Pieces that this rank does not try to draw, and until when.
    given_up: BTreeMap<Piece, Duration>,
    origin_failures: BTreeMap<Piece, u32>,
    origin_rests_until: Duration,
    /// When this instance may draw its first piece from the origin.
    origin_from: Duration,
    /// How often other regions failed to hand over a piece.
    remote_failures: BTreeMap<Piece, usize>,
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

/// How long the origin rests after it refused or failed.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(200);

/// How long pieces are drawn for an instance that asked.
const DEMAND_TIME: Duration = Duration::from_secs(5);

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
            given_up: BTreeMap::new(),
            origin_failures: BTreeMap::new(),
            origin_rests_until: Duration::ZERO,
            origin_from: Duration::ZERO,
            remote_failures: BTreeMap::new(),
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

    /// Goes on among other members. What is here, on its way and asked for by others stays.
    pub fn replan(&mut self, plan: Plan) {
        self.plan = plan;
        if !self.limits.origin_only {
            self.neighbours = self.plan.neighbours(&self.me);
        }
        let pieces = Piece::try_from(self.duties.len()).unwrap_or(Piece::MAX);
        self.duties = (0..pieces).map(|piece| self.duty(piece)).collect();
    }

    /// The manifest, once it is here.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// Whether every piece is here and verified.
    pub fn is_complete(&self) -> bool {
        self.manifest.is_some() && self.have.is_full()
    }

    /// The chunks that are here.
    pub fn held(&self) -> Vec<Piece> {
        let ones = self.have.ones().skip_while(|piece| *piece == 0);
        ones.filter_map(|piece| Piece::try_from(piece).ok())
            .collect()
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
            given_up: self.given_up.keys().copied().collect(),
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
            Event::Silent(name) => self.peers.entry(&name).unreachable(now),
            Event::Want {
                token,
                from,
                manifest,
                piece,
                wait,
            } => {
                let want = Want {
                    token,
                    piece,
                    is_remote: !self.plan.is_near(&from),
                    distance: self.plan.distance(&self.me, &from),
                };
                self.want(now, want, &manifest, wait, &mut effects);
            }
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
        self.given_up.retain(|_, until| now < *until);
        self.cancel_stalled(now, effects);
        self.reroute_waiting(now, effects);
        self.exchange(now, effects);
    }

    /// Progress, not total time, tells a slow source from a dead one.
    fn cancel_stalled(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let limits = &self.limits;
        // Who does not answer exchanges either is not waited for. With other regions there are
        // none, so nobody there would ever count as back.
        let is_gone = |source: &Source| match source {
            Source::Peer(name) if self.plan.is_near(name) => {
                let peer = self.peers.get(name);
                peer.is_some_and(|peer| peer.is_gone(now, limits.rank_timeout))
            }
            Source::Origin | Source::Peer(_) => false,
        };
        let is_stalled = |fetch: &Fetch| {
            if fetch.waits && is_gone(&fetch.source) {
                return true;
            }
            let patience = if fetch.waits {
                limits.wait_for
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

    /// Gives up requests that wait for their turn at one instance while another of the region, which
    /// has nothing to do for this one, holds the piece by now.
    fn reroute_waiting(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let room = self.limits.fetches.saturating_sub(self.drawing_near());
        let is_idle = |piece: Piece| {
            let mut peers = self.peers.iter();
            peers.any(|(name, peer)| {
                peer.has(piece)
                    && !peer.rests(now)
                    && peer.outstanding == 0
                    && self.plan.is_near(name)
            })
        };
        let patience = self.limits.reroute_after;
        let waiting = self.fetching.iter().filter(|(piece, fetch)| {
            let is_late = fetch.waits && now.saturating_sub(fetch.begun) >= patience;
            is_late && !self.is_remote(&fetch.source) && is_idle(**piece)
        });
        let mut waiting: Vec<(Duration, Piece)> = waiting.map(|(p, f)| (f.begun, *p)).collect();
        waiting.sort_unstable();
        for (_, piece) in waiting.into_iter().take(room) {
            self.stop_waiting(piece, effects);
        }
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
        let count = Piece::try_from(pieces).unwrap_or(Piece::MAX);
        for piece in 1..count {
            self.duties.push(self.duty(piece));
        }
        self.manifest = Some(manifest);
        self.origin_from = now + self.limits.origin_stagger * self.plan.turn(&self.me);
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
        for want in self.uploads.unpark(piece) {
            self.start_upload(want, effects);
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
                if !self.plan.is_near(name) {
                    *self.remote_failures.entry(piece).or_default() += 1;
                }
                let peer = self.peers.entry(name);
                peer.outstanding = peer.outstanding.saturating_sub(1);
                match cause {
                    FailCause::Denied(Denial::NotYet) => peer.lacks(piece),
                    FailCause::Denied(Denial::OtherManifest) => {
                        peer.takes_part = false;
                        peer.failed(now);
                    }
                    FailCause::Unreachable => peer.unreachable(now),
                    FailCause::Corrupt | FailCause::Denied(Denial::Busy) => peer.failed(now),
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
            self.origin_failures.remove(&piece);
            self.given_up.insert(piece, now + self.limits.give_up_for);
        }
    }

    fn want(
        &mut self,
        now: Duration,
        want: Want,
        manifest: &Digest,
        wait: bool,
        effects: &mut Vec<Effect>,
    ) {
        let token = want.token;
        if manifest != self.plan.manifest() || self.halted {
            effects.push(Effect::Deny(token, Denial::OtherManifest));
        } else if self.have.contains(want.piece as usize) {
            self.start_upload(want, effects);
        } else if !wait {
            effects.push(Effect::Deny(token, Denial::NotYet));
        } else if let Err(denial) = self.uploads.park(want, now + self.park_for(want.piece)) {
            effects.push(Effect::Deny(token, denial));
        }
    }

    /// Nothing moves before the manifest is here, so nobody waits long for it at an instance that
    /// may be the wrong one.
    fn park_for(&self, piece: Piece) -> Duration {
        if piece == MANIFEST_PIECE {
            self.limits.exchange_every
        } else {
            self.limits.park_for
        }
    }

    fn start_upload(&mut self, want: Want, effects: &mut Vec<Effect>) {
        match self.uploads.request(want) {
            Ok(true) => effects.push(Effect::Upload(want.token, want.piece)),
            Ok(false) => {}
            Err(denial) => effects.push(Effect::Deny(want.token, denial)),
        }
    }
}
