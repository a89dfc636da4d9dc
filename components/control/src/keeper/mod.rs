//! The reducer of an agent that keeps one model engine at the version that operators name.
//!
//! It gathers the pieces of the version, hands them to the engine, reads them back, and orders the
//! engine to load them when it is its turn. Requests do not pass through it; entries ask it what
//! the engine does.

mod wave;

use std::time::Duration;

use protocol::EngineStatus;
use record::Decision;
use utils::digest::Digest;
use utils::Name;
use weights::{
    Limits,
    Member,
    Piece,
    Plan,
    Transfer, //
};

use crate::router::config::EngineProfile;

/// The version that engines run before operators name one.
const FIRST_VERSION: u64 = 1;

/// How long after a failure the engine is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How long an order may take before it is given again: an engine first ends what it runs.
const ORDER_TIMEOUT: Duration = Duration::from_millis(6500);

/// What the engine says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The version whose layers it holds, all of them.
    pub version: Option<u64>,
    /// Whether it carries out an order.
    pub is_busy: bool,
}

/// A piece of weights is known by the manifest's key and its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// Names the version among agents.
    pub key: Digest,
}

impl Wanted {
    fn new(model: &Name, version: u64) -> Self {
        let key = Digest::of_parts(&[model.as_bytes(), b"\0", &version.to_be_bytes()]);
        Self {
            model: model.clone(),
            version,
            key,
        }
    }
}

/// What happens to the agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// How the engine works, by the configuration.
    Profile(EngineProfile),
    /// A version is to be served.
    Named {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
    },
    /// The agents of the model's engines, this one included, and the region of the origin.
    Members {
        /// The agents.
        members: Vec<Member>,
        /// The region of the origin.
        origin_region: Name,
    },
    /// The engine said what it does, or did not answer.
    Engine(Option<EngineReport>),
    /// Something happened to the transfer of the version with this key.
    Transfer(Digest, weights::Event),
    /// Pieces that the engine holds have been compared: those that are right.
    Salvaged(Digest, Vec<Piece>),
    /// The engine took every piece and holds them as they should be, or not.
    Staged(Digest, bool),
    /// The engine took an order, or not.
    Ordered(Digest, bool),
}

/// What the agent asks to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// A step of the transfer of the version with this key.
    Transfer(Wanted, weights::Effect),
    /// Pieces of other versions are not needed any more.
    Keep(Digest),
    /// Compare the pieces that the engine holds.
    Salvage(Wanted),
    /// Hand the engine every piece that it does not hold as it should, and read all back.
    Stage(Wanted),
    /// Order the engine to load the version.
    Order(Wanted),
    /// Ask the engine what it does.
    Read,
    /// Read the list of engines again.
    ReadMembers,
    /// Write a line of the record.
    Record(Decision),
}

/// Whether the pieces that the engine holds were compared with the manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Salvage {
    /// Not yet.
    Due,
    /// They are being compared.
    Running,
    /// What can be used is known.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Pieces are on their way.
    Gathering,
    /// The engine is handed the pieces.
    Staging,
    /// The engine holds the pieces and waits for its turn.
    Waiting,
    /// The engine was ordered to load.
    Ordered(Duration),
    /// The engine runs the version.
    Done,
}

/// The state of the agent.
#[derive(Debug)]
pub struct Keeper {
    me: Name,
    limits: Limits,
    profile: Option<EngineProfile>,
    /// Versions and when they were heard of, the newest last.
    named: Vec<(u64, Duration)>,
    members: Vec<Member>,
    origin_region: Name,
    wanted: Option<Wanted>,
    transfer: Option<Transfer>,
    /// Whether the engine is waited for before pieces are drawn that it may hold.
    is_patient: bool,
    salvage: Salvage,
    step: Step,
    engine: Option<EngineReport>,
    retry_at: Duration,
    read_at: Duration,
    listed_at: Option<Duration>,
}

/// How often the engine is asked while it changes its weights.
const READ_WHILE_CHANGING: Duration = Duration::from_millis(100);

/// How often the engine is asked otherwise. It is on the same instance.
const READ_IN_REST: Duration = Duration::from_millis(500);

/// How often the list of engines is read while pieces are missing.
const LIST_WHILE_GATHERING: Duration = Duration::from_millis(1000);

impl Keeper {
    /// Starts the agent that others know as `me`.
    ///
    /// `is_patient` tells that the whole fleet starts, so that engines which hold their pieces
    /// already are about to come up.
    pub fn new(me: Name, limits: Limits, is_patient: bool) -> Self {
        Self {
            me,
            limits,
            profile: None,
            named: Vec::new(),
            members: Vec::new(),
            origin_region: Name::default(),
            wanted: None,
            transfer: None,
            is_patient,
            salvage: Salvage::Due,
            step: Step::Gathering,
            engine: None,
            retry_at: Duration::ZERO,
            read_at: Duration::ZERO,
            listed_at: None,
        }
    }

    /// What entries are told.
    pub fn status(&self) -> EngineStatus {
        let engine = self.engine.unwrap_or_default();
        EngineStatus {
            version: engine.version,
            is_switching: engine.is_busy || matches!(self.step, Step::Ordered(_)),
        }
    }

    /// The transfer of the version with this key, if it is the wanted one.
    pub fn transfer(&self, key: &Digest) -> Option<&Transfer> {
        let transfer = self.transfer.as_ref()?;
        (transfer.plan().manifest() == key).then_some(transfer)
    }

    /// What peers are told of the pieces here.
    pub fn report(&self) -> Option<weights::Report> {
        self.transfer.as_ref().map(Transfer::report)
    }

    /// The version that is wanted.
    pub fn wanted(&self) -> Option<&Wanted> {
        self.wanted.as_ref()
    }

    /// Whether there is work that must not wait for the next slow tick.
    pub fn is_at_work(&self) -> bool {
        self.step != Step::Done
    }

    /// Handles one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Profile(profile) => {
                if self.profile.as_ref() != Some(&profile) {
                    self.profile = Some(profile);
                    self.want(now, &mut effects);
                }
            }
            Event::Named { model, version } => self.name(now, &model, version, &mut effects),
            Event::Members {
                members,
                origin_region,
            } => self.take_members(now, members, origin_region, &mut effects),
            Event::Engine(report) => self.take_report(now, report, &mut effects),
            Event::Transfer(key, event) => self.feed_transfer(now, &key, event, &mut effects),
            Event::Salvaged(key, pieces) => self.salvaged(now, &key, pieces, &mut effects),
            Event::Staged(key, whole) => self.staged(now, &key, whole, &mut effects),
            Event::Ordered(key, taken) => self.ordered(now, &key, taken),
        }
        self.advance(now, &mut effects);
        effects
    }

    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let changing =
            self.engine.is_none() || self.status().is_switching || self.step == Step::Waiting;
        let interval = if changing {
            READ_WHILE_CHANGING
        } else {
            READ_IN_REST
        };
        if now.saturating_sub(self.read_at) >= interval {
            self.read_at = now;
            effects.push(Effect::Read);
        }
        // Without a plan this agent could hand no piece to others either.
        let gathering = self.step == Step::Gathering || self.transfer.is_none();
        let is_listed = self
            .listed_at
            .is_some_and(|at| !gathering || now.saturating_sub(at) < LIST_WHILE_GATHERING);
        if !is_listed {
            self.listed_at = Some(now);
            effects.push(Effect::ReadMembers);
        }
        if let Some(key) = self.wanted.as_ref().map(|wanted| wanted.key) {
            self.feed_transfer(now, &key, weights::Event::Tick, effects);
        }
        if let Step::Ordered(at) = self.step {
            if now.saturating_sub(at) >= ORDER_TIMEOUT {
                self.step = Step::Gathering;
            }
        }
    }

    fn name(&mut self, now: Duration, model: &Name, version: u64, effects: &mut Vec<Effect>) {
        let mine = self.profile.as_ref().is_some_and(|p| p.model == *model);
        let newest = self.named.last().map_or(0, |(version, _)| *version);
        if !mine || version <= newest {
            return;
        }
        self.named.push((version, now));
        effects.push(Effect::Record(Decision::VersionNamed {
            model: model.clone(),
            version,
        }));
        // Pieces are only spread among engines that are there.
        self.listed_at = None;
        self.want(now, effects);
    }

    /// Starts to gather the newest version, if it is another than before.
    fn want(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(profile) = &self.profile else {
            return;
        };
        let version = self.named.last().map_or(FIRST_VERSION, |(v, _)| *v);
        let wanted = Wanted::new(&profile.model, version);
        if self.wanted.as_ref() == Some(&wanted) {
            return;
        }
        self.stop_transfer(effects);
        effects.push(Effect::Keep(wanted.key));
        self.wanted = Some(wanted);
        self.salvage = Salvage::Due;
        self.step = Step::Gathering;
        self.start_transfer(now);
    }

    fn start_transfer(&mut self, now: Duration) {
        let Some(wanted) = &self.wanted else {
            return;
        };
        let plan = Plan::of(
            wanted.key,
            self.origin_region.clone(),
            self.members.clone(),
            &self.me,
        );
        self.transfer = plan.map(|plan| {
            let mut transfer = Transfer::new(self.me.clone(), plan, self.limits.clone(), now);
            transfer.set_wanted(now, true);
            transfer
        });
    }

    fn stop_transfer(&mut self, effects: &mut Vec<Effect>) {
        let (Some(wanted), Some(mut transfer)) = (self.wanted.clone(), self.transfer.take()) else {
            return;
        };
        let stops = transfer.stop().into_iter();
        effects.extend(stops.map(|effect| Effect::Transfer(wanted.clone(), effect)));
    }

    /// Spreads among the new members, keeping what is here.
    fn take_members(
        &mut self,
        now: Duration,
        mut members: Vec<Member>,
        origin_region: Name,
        effects: &mut Vec<Effect>,
    ) {
        members.sort();
        if members == self.members && origin_region == self.origin_region {
            return;
        }
        self.members = members;
        self.origin_region = origin_region;
        let held = self
            .transfer
            .as_ref()
            .map(|t| (t.manifest().cloned(), t.held()));
        if let Some((Some(manifest), pieces)) = held {
            self.stop_transfer(effects);
            self.start_transfer(now);
            let Some(key) = self.wanted.as_ref().map(|wanted| wanted.key) else {
                return;
            };
            let source = weights::Source::Origin;
            let event = weights::Event::Manifest(source.clone(), manifest);
            self.feed_transfer(now, &key, event, effects);
            for piece in pieces {
                let event = weights::Event::Chunk(piece, source.clone());
                self.feed_transfer(now, &key, event, effects);
            }
        } else {
            self.stop_transfer(effects);
            self.start_transfer(now);
        }
    }

    fn feed_transfer(
        &mut self,
        now: Duration,
        key: &Digest,
        event: weights::Event,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(wanted), Some(transfer)) = (&self.wanted, &mut self.transfer) else {
            return;
        };
        if wanted.key != *key {
            return;
        }
        // What the engine holds already need not be drawn.
        let has_manifest = matches!(event, weights::Event::Manifest(..));
        if has_manifest && self.salvage != Salvage::Done {
            transfer.set_wanted(now, false);
        }
        for effect in transfer.step(now, event) {
            effects.push(Effect::Transfer(wanted.clone(), effect));
        }
    }

    fn take_report(
        &mut self,
        now: Duration,
        report: Option<EngineReport>,
        effects: &mut Vec<Effect>,
    ) {
        if report.is_some() != self.engine.is_some() {
            effects.push(Effect::Record(Decision::Dependency {
                name: "engine".into(),
                up: report.is_some(),
                detail: "asked for its report".into(),
            }));
        }
        let before = std::mem::replace(&mut self.engine, report);
        let Some(report) = report else {
            // Whatever it was ordered to do is forgotten when it comes back.
            if matches!(self.step, Step::Ordered(_) | Step::Done) {
                self.step = Step::Gathering;
            }
            return;
        };
        let Some(wanted) = &self.wanted else {
            return;
        };
        let runs_wanted = report.version == Some(wanted.version);
        if runs_wanted && !report.is_busy {
            if self.step != Step::Done {
                self.step = Step::Done;
                effects.push(Effect::Record(Decision::Engine {
                    target: self.me.clone(),
                    version: report.version,
                    switching: false,
                }));
            }
        } else if self.step == Step::Done {
            self.step = Step::Gathering;
        }
        let idle = !report.is_busy && before.is_some_and(|before| before.is_busy);
        if idle && !runs_wanted && matches!(self.step, Step::Ordered(_)) {
            // The order ended without the version in force.
            self.step = Step::Gathering;
            self.retry_at = now + RETRY_PAUSE;
        }
    }

    fn salvaged(
        &mut self,
        now: Duration,
        key: &Digest,
        pieces: Vec<Piece>,
        effects: &mut Vec<Effect>,
    ) {
        let is_wanted = self.wanted.as_ref().is_some_and(|w| w.key == *key);
        let Some(transfer) = self.transfer.as_mut().filter(|_| is_wanted) else {
            return;
        };
        self.salvage = Salvage::Done;
        transfer.set_wanted(now, true);
        for piece in pieces {
            let event = weights::Event::Chunk(piece, weights::Source::Origin);
            self.feed_transfer(now, key, event, effects);
        }
    }

    fn staged(&mut self, now: Duration, key: &Digest, whole: bool, effects: &mut Vec<Effect>) {
        let Some(wanted) = self.wanted.as_ref().filter(|wanted| wanted.key == *key) else {
            return;
        };
        if self.step != Step::Staging {
            return;
        }
        if !whole {
            self.step = Step::Gathering;
            self.retry_at = now + RETRY_PAUSE;
            return;
        }
        self.step = Step::Waiting;
        effects.push(Effect::Record(Decision::Staged {
            model: wanted.model.clone(),
            version: wanted.version,
            pieces: self.transfer.as_ref().map_or(0, |t| t.progress().0),
            after_ms: self.since_named(now),
        }));
    }

    fn ordered(&mut self, now: Duration, key: &Digest, taken: bool) {
        let current = self.wanted.as_ref().is_some_and(|w| w.key == *key);
        if current && !taken && matches!(self.step, Step::Ordered(_)) {
            self.step = Step::Gathering;
            self.retry_at = now + RETRY_PAUSE;
        }
    }

    /// Takes the next step that is possible now.
    fn advance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(wanted) = self.wanted.clone() else {
            return;
        };
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        if self.salvage == Salvage::Due && transfer.manifest().is_some() {
            if self.engine.is_some() {
                self.salvage = Salvage::Running;
                effects.push(Effect::Salvage(wanted.clone()));
            } else if !self.is_patient {
                transfer.set_wanted(now, true);
            }
        }
        let Some(engine) = self.engine else {
            return;
        };
        if self.step == Step::Gathering && transfer.is_complete() && now >= self.retry_at {
            self.step = Step::Staging;
            effects.push(Effect::Stage(wanted.clone()));
        }
        if self.step == Step::Waiting && !engine.is_busy && now >= self.turn(now) {
            self.step = Step::Ordered(now);
            effects.push(Effect::Record(Decision::Order {
                model: wanted.model.clone(),
                version: wanted.version,
                before: engine.version,
                after_ms: self.since_named(now),
            }));
            effects.push(Effect::Order(wanted));
        }
    }

    /// When the engine may stop taking requests to load the version.
    fn turn(&self, now: Duration) -> Duration {
        let Some(running) = self.engine.and_then(|engine| engine.version) else {
            return now;
        };
        let mut newer = self.named.iter().filter(|(version, _)| *version > running);
        let Some((_, named_at)) = newer.next() else {
            return now;
        };
        let peers = self
            .transfer
            .as_ref()
            .map(|t| t.plan().data_centre_peers(&self.me));
        wave::turn(&self.me, &peers.unwrap_or_default(), *named_at)
    }

    fn since_named(&self, now: Duration) -> u64 {
        let named = self.named.last().map_or(now, |(_, at)| *at);
        u64::try_from(now.saturating_sub(named).as_millis()).unwrap_or(u64::MAX)
    }
}
