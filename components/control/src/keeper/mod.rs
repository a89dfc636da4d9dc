//! The reducer of an agent that keeps one model engine at the version that operators name.
//!
//! It gathers the pieces of the version, hands them to the engine, reads them back, and orders the
//! engine to load them when it is its turn. Requests do not pass through it; entries ask it what
//! the engine does.

mod gather;
mod reservations;
mod wave;

use std::time::Duration;

use protocol::{
    Backlog,
    EngineStatus,
    NamedVersion, //
};
use record::Decision;
use utils::digest::Digest;
use utils::Name;
use weights::{
    Limits,
    Member,
    Piece, //
};

use self::gather::{
    Gather,
    Place, //
};
pub use self::reservations::Reservations;

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
    /// The engine runs this model.
    Model(Name),
    /// A version is to be served.
    Named {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// For how long it has been named, if that is known.
        age: Option<Duration>,
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
    /// Pieces of other versions than these are not needed any more.
    Keep(Vec<Digest>),
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Pieces are on their way, or the engine runs the newest version.
    Idle,
    /// The engine is handed the pieces.
    Staging,
    /// The engine holds the pieces and waits for its turn.
    Waiting,
    /// Nobody is given a place any more; the engine takes in what was sent to it before.
    Closing(Duration),
    /// The engine was ordered to load.
    Ordered(Duration),
}

/// A version that operators named.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: u64,
    /// When it was named, if that is known.
    since: Option<Duration>,
}

/// The state of the agent.
#[derive(Debug)]
pub struct Keeper {
    me: Name,
    limits: Limits,
    /// Whether the engine is waited for before pieces are drawn that it may hold.
    is_patient: bool,
    model: Option<Name>,
    /// Versions, the newest last.
    named: Vec<Named>,
    members: Vec<Member>,
    origin_region: Name,
    /// The versions that are gathered, the newest last.
    gathers: Vec<Gather>,
    /// The version that the engine is being brought to.
    work: Option<Wanted>,
    step: Step,
    reservations: Reservations,
    engine: Option<EngineReport>,
    retry_at: Duration,
    read_at: Duration,
    listed_at: Option<Duration>,
}

/// Versions gathered at once: the newest, and the one before, which may be complete long before the
/// newest is, should the origin be away.
const GATHERS: usize = 2;

/// How long requests that were sent before may take until the engine has read their prompts.
const CLOSING_TIME: Duration = Duration::from_millis(400);

/// How often the engine is asked while it changes its weights.
const READ_WHILE_CHANGING: Duration = Duration::from_millis(100);

/// How often the engine is asked otherwise. It is on the same instance.
const READ_IN_REST: Duration = Duration::from_millis(500);

/// How often the list of engines is read while pieces are missing.
const LIST_WHILE_GATHERING: Duration = Duration::from_millis(3000);

/// How often it is read otherwise, so that the next version is spread among the engines that are
/// there from its first moment on. A stale reading of the list costs a tenth of a call.
const LIST_IN_REST: Duration = Duration::from_secs(5);

/// How long a version is gathered before it is worth going on with beside a newer one.
const BEGUN_AFTER: Duration = Duration::from_millis(1500);

impl Keeper {
    /// Starts the agent that others know as `me`.
    ///
    /// `is_patient` tells that the whole fleet starts, so that engines which hold their pieces
    /// already are about to come up.
    pub fn new(me: Name, limits: Limits, is_patient: bool) -> Self {
        Self {
            me,
            limits,
            is_patient,
            model: None,
            named: Vec::new(),
            members: Vec::new(),
            origin_region: Name::default(),
            gathers: Vec::new(),
            work: None,
            step: Step::Idle,
            reservations: Reservations::default(),
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
            is_switching: engine.is_busy || self.is_closed(),
        }
    }

    /// Whether the engine takes nothing new, since it is about to load.
    fn is_closed(&self) -> bool {
        matches!(self.step, Step::Closing(_) | Step::Ordered(_))
    }

    /// Reserves a place at the engine for a prompt of `tokens`. Returns the number of the place and
    /// what stands before it, or only the latter if the engine takes no request now: it is about
    /// to load, or has got as many in this second as it bears in cold start.
    pub fn reserve(
        &mut self,
        now: Duration,
        tokens: u32,
        cold_rate: Option<u32>,
    ) -> (Option<u64>, Backlog) {
        let is_too_much = cold_rate.is_some_and(|r| self.reservations.in_last_second(now) >= r);
        if is_too_much || self.status().is_switching {
            return (None, self.reservations.backlog());
        }
        let (number, ahead) = self.reservations.reserve(now, tokens);
        (Some(number), ahead)
    }

    /// The engine has read the prompt of a place.
    pub fn prompt_read(&mut self, number: u64) {
        self.reservations.read(number);
    }

    /// Gives a place up.
    pub fn release(&mut self, number: u64) {
        self.reservations.release(number);
    }

    /// Whether the version with this key is gathered here.
    pub fn gathers(&self, key: &Digest) -> bool {
        self.gathers.iter().any(|gather| gather.wanted.key == *key)
    }

    /// What peers are told of the pieces here of the version with this key.
    pub fn report(&self, key: &Digest) -> Option<weights::Report> {
        let mut gathers = self.gathers.iter();
        gathers.find(|g| g.wanted.key == *key)?.report()
    }

    /// The newest named version, for those who ask.
    pub fn named(&self, now: Duration) -> Option<NamedVersion> {
        let newest = self.named.last()?;
        let age = newest.since.map(|since| now.saturating_sub(since));
        Some(NamedVersion {
            model: self.model.clone()?,
            version: newest.version,
            age_ms: age.map(millis),
        })
    }

    /// Whether there is work that must not wait for the next slow tick.
    pub fn is_at_work(&self) -> bool {
        let running = self.engine.and_then(|engine| engine.version);
        let newest = self.gathers.last();
        newest.is_none_or(|gather| Some(gather.wanted.version) != running)
    }

    /// Handles one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Model(model) => {
                if self.model.as_ref() != Some(&model) {
                    self.model = Some(model);
                    self.gather_newest(now, &mut effects);
                }
            }
            Event::Named {
                model,
                version,
                age,
            } => self.name(now, &model, version, age, &mut effects),
            Event::Members {
                members,
                origin_region,
            } => self.take_members(now, members, origin_region),
            Event::Engine(report) => self.take_report(now, report, &mut effects),
            Event::Transfer(key, event) => {
                if let Some(gather) = self.gather(&key) {
                    gather.feed(now, event, &mut effects);
                }
            }
            Event::Salvaged(key, pieces) => {
                if let Some(gather) = self.gather(&key) {
                    gather.salvaged(now, pieces, &mut effects);
                }
            }
            Event::Staged(key, whole) => self.staged(now, &key, whole, &mut effects),
            Event::Ordered(key, taken) => self.ordered(now, &key, taken),
        }
        self.advance(now, &mut effects);
        effects
    }

    fn gather(&mut self, key: &Digest) -> Option<&mut Gather> {
        self.gathers.iter_mut().find(|g| g.wanted.key == *key)
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
        let newest = self.gathers.last();
        // Without a plan this agent could hand no piece to others either.
        let is_gathering = newest.is_none_or(|gather| !gather.is_complete());
        let interval = if is_gathering {
            LIST_WHILE_GATHERING
        } else {
            LIST_IN_REST
        };
        let is_recent = |at: Duration| now.saturating_sub(at) < interval;
        let is_listed = self.listed_at.is_some_and(is_recent);
        if !is_listed {
            self.listed_at = Some(now);
            effects.push(Effect::ReadMembers);
        }
        for gather in &mut self.gathers {
            gather.feed(now, weights::Event::Tick, effects);
        }
        if let Step::Ordered(at) = self.step {
            if now.saturating_sub(at) >= ORDER_TIMEOUT {
                self.step = Step::Idle;
            }
        }
    }

    fn name(
        &mut self,
        now: Duration,
        model: &Name,
        version: u64,
        age: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        let since = age.map(|age| now.saturating_sub(age));
        let known = self.named.iter_mut().find(|named| named.version == version);
        if let Some(known) = known {
            known.since = known.since.or(since);
            return;
        }
        let mine = self.model.as_ref() == Some(model);
        let newest = self.named.last().map_or(0, |named| named.version);
        if !mine || version <= newest {
            return;
        }
        self.named.push(Named { version, since });
        effects.push(Effect::Record(Decision::VersionNamed {
            model: model.clone(),
            version,
            age_ms: age.map(millis),
        }));
        // Pieces are only spread among engines that are there.
        self.listed_at = None;
        self.gather_newest(now, effects);
    }

    /// Starts to gather the newest version, if it is another than before.
    fn gather_newest(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(model) = &self.model else {
            return;
        };
        let version = self
            .named
            .last()
            .map_or(FIRST_VERSION, |named| named.version);
        let wanted = Wanted::new(model, version);
        if self.gathers.last().is_some_and(|g| g.wanted == wanted) {
            return;
        }
        // Versions heard of together, after the platform was away say, would share the links.
        let newest = self.gathers.last();
        let is_barely_begun = newest.is_some_and(|g| !g.is_complete() && g.age(now) < BEGUN_AFTER);
        if is_barely_begun {
            if let Some(mut gather) = self.gathers.pop() {
                gather.stop(effects);
            }
        }
        let mut gather = Gather::new(wanted, self.is_patient, now);
        gather.plan(now, &self.me, self.place());
        self.gathers.push(gather);
        while self.gathers.len() > GATHERS {
            self.gathers.remove(0).stop(effects);
        }
        self.keep_gathered(effects);
    }

    fn place(&self) -> Place<'_> {
        Place {
            members: &self.members,
            origin_region: &self.origin_region,
            limits: &self.limits,
        }
    }

    fn keep_gathered(&self, effects: &mut Vec<Effect>) {
        let keys = self.gathers.iter().map(|gather| gather.wanted.key);
        effects.push(Effect::Keep(keys.collect()));
    }

    /// Spreads among the new members, keeping what is here.
    fn take_members(&mut self, now: Duration, mut members: Vec<Member>, origin_region: Name) {
        members.sort();
        if members == self.members && origin_region == self.origin_region {
            return;
        }
        self.members = members;
        self.origin_region = origin_region;
        let mut gathers = std::mem::take(&mut self.gathers);
        for gather in &mut gathers {
            gather.plan(now, &self.me, self.place());
        }
        self.gathers = gathers;
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
            if matches!(self.step, Step::Ordered(_)) {
                self.step = Step::Idle;
            }
            return;
        };
        if before.and_then(|before| before.version) != report.version {
            effects.push(Effect::Record(Decision::Engine {
                target: self.me.clone(),
                version: report.version,
                switching: report.is_busy,
            }));
        }
        if !matches!(self.step, Step::Ordered(_)) || report.is_busy {
            return;
        }
        let runs_it = self.work.as_ref().map(|work| work.version) == report.version;
        if runs_it {
            self.step = Step::Idle;
        } else if before.is_some_and(|before| before.is_busy) {
            // The order ended without the version in force.
            self.step = Step::Idle;
            self.retry_at = now + RETRY_PAUSE;
        }
    }

    fn staged(&mut self, now: Duration, key: &Digest, whole: bool, effects: &mut Vec<Effect>) {
        let Some(work) = self.work.as_ref().filter(|work| work.key == *key) else {
            return;
        };
        if self.step != Step::Staging {
            return;
        }
        if !whole {
            self.step = Step::Idle;
            self.retry_at = now + RETRY_PAUSE;
            return;
        }
        self.step = Step::Waiting;
        effects.push(Effect::Record(Decision::Staged {
            model: work.model.clone(),
            version: work.version,
            after_ms: self.since_named(now, work.version),
        }));
    }

    fn ordered(&mut self, now: Duration, key: &Digest, taken: bool) {
        let current = self.work.as_ref().is_some_and(|w| w.key == *key);
        if current && !taken && matches!(self.step, Step::Ordered(_)) {
            self.step = Step::Idle;
            self.retry_at = now + RETRY_PAUSE;
        }
    }

    /// Takes the next step that is possible now.
    fn advance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.drop_superseded(effects);
        let engine_is_up = self.engine.is_some();
        for gather in &mut self.gathers {
            gather.salvage(now, engine_is_up, effects);
        }
        let Some(engine) = self.engine else {
            return;
        };
        let complete = self.gathers.iter().rev().find(|g| g.is_complete());
        let Some(newest) = complete.map(|gather| gather.wanted.clone()) else {
            return;
        };
        let is_newer = engine.version.is_none_or(|v| v < newest.version);
        let is_ordered = matches!(self.step, Step::Ordered(_));
        let is_other = self.work.as_ref() != Some(&newest);
        if is_newer && !is_ordered && now >= self.retry_at && (is_other || self.step == Step::Idle)
        {
            self.work = Some(newest.clone());
            self.step = Step::Staging;
            effects.push(Effect::Stage(newest));
            return;
        }
        if self.step == Step::Waiting && !engine.is_busy && now >= self.turn(now) {
            self.step = Step::Closing(now);
        }
        if let Step::Closing(since) = self.step {
            // What still waits to be taken in when the engine is ordered to load waits until the
            // new weights are there.
            let is_taken_in = self.reservations.backlog().unread == 0;
            if is_taken_in || now.saturating_sub(since) >= CLOSING_TIME {
                self.order(now, engine, effects);
            }
        }
    }

    fn order(&mut self, now: Duration, engine: EngineReport, effects: &mut Vec<Effect>) {
        let Some(work) = self.work.clone() else {
            return;
        };
        self.step = Step::Ordered(now);
        effects.push(Effect::Record(Decision::Order {
            model: work.model.clone(),
            version: work.version,
            before: engine.version,
            after_ms: self.since_named(now, work.version),
        }));
        effects.push(Effect::Order(work));
    }

    /// Drops versions before one that is complete here: whoever asks for them is better served with
    /// the newer one.
    fn drop_superseded(&mut self, effects: &mut Vec<Effect>) {
        let in_work = self.work.as_ref().filter(|_| self.step != Step::Idle);
        let in_work = in_work.map(|work| work.key);
        let before = self.gathers.len();
        while self.gathers.len() > 1 {
            let newest_is_complete = self.gathers.last().is_some_and(Gather::is_complete);
            if !newest_is_complete || in_work == Some(self.gathers[0].wanted.key) {
                break;
            }
            self.gathers.remove(0).stop(effects);
        }
        if self.gathers.len() != before {
            self.keep_gathered(effects);
        }
    }

    /// When the engine may stop taking requests to load the version.
    fn turn(&self, now: Duration) -> Duration {
        let Some(running) = self.engine.and_then(|engine| engine.version) else {
            return now;
        };
        let mut newer = self.named.iter().filter(|named| named.version > running);
        let Some(named_at) = newer.next().and_then(|named| named.since) else {
            return now;
        };
        let peers = self.gathers.last().map(|g| g.data_centre_peers(&self.me));
        wave::turn(&self.me, &peers.unwrap_or_default(), named_at)
    }

    fn since_named(&self, now: Duration, version: u64) -> u64 {
        let named = self.named.iter().find(|named| named.version == version);
        let at = named.and_then(|named| named.since).unwrap_or(now);
        millis(now.saturating_sub(at))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
