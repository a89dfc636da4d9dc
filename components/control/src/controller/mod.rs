//! The reducer of an agent that keeps one model engine at the version that operators name.
//!
//! It downloads the pieces of the version, writes them to the engine, verifies them by reading them
//! back, and orders the engine to load them when its turn in the rolling update has come. Requests
//! do not pass through the agent; entries ask it for the state of the engine.

mod download;
mod learned;
mod loading;
mod orders;
mod previous;
mod reservations;
mod retirement;
mod schedule;
pub mod timing;
mod waiting;

use std::time::Duration;

use protocol::{
    AgedLimit,
    Backlog,
    Crash,
    EngineCondition,
    EngineStatus,
    NamedVersion,
    ReservationTerms, //
};
use record::{
    Decision,
    LoadCheck,
    OrderAnswer, //
};
use utils::digest::Digest;
use utils::millis::millis;
use utils::Name;
use weights::{
    Limits,
    Member,
    Piece, //
};

use crate::capacity::{
    self,
    LimitStatus, //
};
use crate::published_version::{
    deciding_versions,
    insert_older,
    PublishedVersion, //
};
use crate::router::learned::learned_limit;
use crate::CrashSuspects;
use crate::PieceCheck;

use self::download::{
    Download,
    PlanContext, //
};
use self::learned::EngineCapacity;
use self::orders::Orders;
pub use self::reservations::{
    ReservationAnswer,
    Reservations,
    Reserved,
    WaitResult, //
};
pub use self::schedule::UpdateLimits;
use self::timing::EngineSpeed;

/// The version that engines run before operators name one.
const INITIAL_VERSION: u64 = 1;

/// The delay before the engine is updated again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long an engine may take to carry out an order before the order is repeated. An engine
/// finishes its running requests first.
const ORDER_TIMEOUT: Duration = Duration::from_millis(6500);

/// The state that the engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The version of its weights, if all layers are loaded, or the first ones.
    pub version: Option<u64>,
    /// The version of its weights, if only other layers are loaded.
    pub partial_version: Option<u64>,
    /// The number of layers that are loaded, if it says so.
    pub layers: Option<u32>,
    /// The first of these layers, if it says so.
    pub first_layer: Option<u32>,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// The number of orders that it has accepted since its start, if it says so.
    pub sequence: Option<u64>,
    /// How long work takes now, in percent of the usual time, if it says so.
    pub slowness_percent: Option<u16>,
    /// The use of its memory, if it says so.
    pub memory: Option<EngineMemory>,
}

impl EngineReport {
    /// The report of an engine whose version has this many layers. If it holds the first ones alone, it
    /// reports them as if they were all.
    fn with_layer_count(self, layer_count: u32) -> Self {
        if self.layers.is_none_or(|held| held >= layer_count) {
            return self;
        }
        Self {
            version: None,
            partial_version: self.version.or(self.partial_version),
            ..self
        }
    }
}

/// The use of an engine's memory, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineMemory {
    /// Tokens whose memory cannot be freed while their requests run.
    pub used_tokens: u64,
    /// Tokens that fit.
    pub total_tokens: u64,
}

/// A version of a model. Its key and the number of a piece identify the piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// Digest of the model and the version.
    pub key: Digest,
}

impl ModelVersion {
    fn new(model: &Name, version: u64) -> Self {
        let key = Digest::of_parts(&[model.as_bytes(), b"\0", &version.to_be_bytes()]);
        Self {
            model: model.clone(),
            version,
            key,
        }
    }
}

/// What an engine is made to load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The version.
    pub model_version: ModelVersion,
    /// The only layer to load, or `None` to load all of them. With a single layer the engine runs no
    /// request, and so none on the version before.
    pub layer: Option<u32>,
}

/// An input of the agent's reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An entry reported crashes of targets.
    CrashesReported(Vec<Crash>),
    /// The model that the engine runs became known.
    Model(Name),
    /// The bytes per second that the link of the weights' origin carries became known.
    OriginRate(u64),
    /// Operators named a version to be served.
    VersionNamed {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// How long ago a process learned of it. `None` if that process found it at its start.
        age: Option<Duration>,
        /// It was published after this time, if that is known.
        published_after: Option<Duration>,
    },
    /// The list of the agents of the model's engines was read.
    Members {
        /// The agents, including this one.
        members: Vec<Member>,
        /// The region of the origin.
        origin_region: Name,
    },
    /// The engine reported its state, or `None` if it did not answer.
    Engine(Option<EngineReport>),
    /// An event of the transfer of the version with this key.
    Transfer(Digest, weights::Event),
    /// The check of the engine ended: these pieces that it holds match the manifest of the version
    /// with this key.
    EngineChecked(Digest, Vec<Piece>),
    /// Staging ended.
    Staged {
        /// What was staged.
        load: Load,
        /// The check that found every piece of the load at the engine, or `None` if the engine does not hold
        /// all of them.
        check: Option<PieceCheck>,
        /// How many pieces were written to the engine, also if that failed.
        written: u64,
    },
    /// What became of the order with this number.
    OrderAnswered(u64, OrderAnswer),
    /// The pieces that the engine may have loaded were compared with the manifest.
    LoadChecked {
        /// What was compared.
        load: Load,
        /// When the first piece was read.
        started_at: Duration,
        /// What was found.
        result: LoadCheck,
    },
}

/// An action that the agent's reducer requests.
#[derive(Clone, Debug)]
pub enum Effect {
    /// An effect of the transfer of this version.
    Transfer(ModelVersion, weights::Effect),
    /// Drop the stored pieces of all versions except those with these keys.
    RetainVersions(Vec<Digest>),
    /// Compare the pieces that the engine holds with the manifest.
    CheckEngine(ModelVersion),
    /// Write to the engine every piece of the load that it lacks or holds corrupted, and verify these
    /// pieces by reading them back.
    Stage(Load),
    /// Compare the pieces of a load that the engine holds with the manifest, and write none.
    CheckLoaded(Load),
    /// Order the engine to load.
    OrderLoad {
        /// The number of the order.
        number: u64,
        /// What to load.
        load: Load,
        /// The number of orders that the engine must have accepted before this one, if known.
        sequence: Option<u64>,
        /// The order must not be sent later, since what it relies on may have changed by then.
        valid_until: Duration,
    },
    /// Ask the engine for its report.
    ReadEngine,
    /// Read the list of engines.
    ReadMembers,
    /// Write a line to the record.
    Record(Decision),
}

/// The progress of an update of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdatePhase {
    /// No update is in progress: no newer version is complete, or the last update ended or failed.
    Idle,
    /// The pieces are being written to the engine, or verified once more.
    Staging,
    /// The engine holds the pieces and waits for its turn in the rolling update.
    Waiting,
    /// Since this time, no reservation is accepted, and the engine processes the prompts of
    /// requests that were sent before.
    Draining(Duration),
    /// The engine was ordered at this time to load the version.
    Loading(Duration),
}

/// The pieces of an update that the engine holds.
#[derive(Clone, Copy, Debug)]
struct StagedPieces {
    /// When the engine held all of them for the first time.
    since: Duration,
    /// The last check of the pieces.
    check: PieceCheck,
}

/// How much earlier than a process learned of a version the schedule of its update may start. Bounds on
/// the publication that are further away are not close.
const MAX_SCHEDULE_ADVANCE: Duration = Duration::from_millis(1000);

/// The time that the schedule of the update to a version starts from, which entries count from as well.
fn schedule_start(version: &PublishedVersion) -> Option<Duration> {
    let earliest = version.learned_at?.saturating_sub(MAX_SCHEDULE_ADVANCE);
    version.published_after.max(Some(earliest))
}

/// The state of an agent.
#[derive(Debug)]
pub struct Controller {
    name: Name,
    limits: Limits,
    update_limits: UpdateLimits,
    /// Whether downloads wait for the engine, which may hold pieces already.
    wait_for_engine: bool,
    model: Option<Name>,
    /// The versions that operators named, in ascending order.
    versions: Vec<PublishedVersion>,
    members: Vec<Member>,
    origin_region: Name,
    /// The downloads in the order of their start, which is that of their versions.
    downloads: Vec<Download>,
    /// The download of the version before the newest one, while the engine needs it to give up the newest.
    previous: Option<Download>,
    /// The current update of the engine, or the last one.
    update: Option<Load>,
    phase: UpdatePhase,
    /// What the engine holds of the current update. `None` until all pieces are staged.
    staged: Option<StagedPieces>,
    orders: Orders,
    /// When the engine last became unreachable or lost its weights. Checks that began earlier say nothing
    /// about the pieces that it holds now.
    engine_lost_at: Duration,
    reservations: Reservations,
    /// Crashes of any targets that entries reported, which are passed on to all entries.
    suspects: CrashSuspects,
    engine: Option<EngineReport>,
    has_engine_reported: bool,
    engine_reported_at: Duration,
    /// When an entry last asked for a prediction.
    timing_requested_at: Option<Duration>,
    retry_at: Duration,
    engine_read_at: Duration,
    members_read_at: Option<Duration>,
}

/// The maximum number of concurrent downloads: that of the newest version and that of the version
/// before it, which may complete long before the newest if the origin becomes unavailable.
const MAX_DOWNLOADS: usize = 2;

/// How long the engine may process the prompts of accepted requests before it is ordered to load.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(400);

/// The interval of engine reports while the engine is unreachable or about to change its weights.
const ENGINE_READ_INTERVAL_UPDATING: Duration = Duration::from_millis(100);

/// The interval of engine reports otherwise. They are cheap, as the engine is on the same instance.
const ENGINE_READ_INTERVAL_IDLE: Duration = Duration::from_millis(500);

/// The interval of engine reports while entries ask for predictions. Engines change their speed about
/// every 600 ms. With 200 ms, the simulation in tests/engine_speed.rs had 1.22 times the late answers of an
/// oracle at 110 requests per second; 1.2 times are allowed.
const ENGINE_READ_INTERVAL_PREDICTING: Duration = Duration::from_millis(50);

/// How long after a request for a prediction the speed of the engine is followed.
const SPEED_FOLLOWING_TIME: Duration = Duration::from_secs(5);

/// How long the speed and the memory that an engine reported are used.
const MAX_SPEED_AGE: Duration = Duration::from_millis(600);

/// The interval of reading the list of engines while pieces are missing.
const MEMBERS_READ_INTERVAL_DOWNLOADING: Duration = Duration::from_millis(3000);

/// The interval of reading the list otherwise, so that the transfer of the next version starts with
/// the engines that exist. A read that may return a stale list costs a tenth of a current one.
const MEMBERS_READ_INTERVAL_IDLE: Duration = Duration::from_secs(5);

/// The age from which an incomplete download is continued beside that of a newer version.
const MIN_CONTINUED_DOWNLOAD_AGE: Duration = Duration::from_millis(1500);

impl Controller {
    /// Creates the state of the agent that its peers know as `name`.
    ///
    /// `wait_for_engine` is set if the whole fleet starts. Engines that hold their pieces already
    /// are then about to come up, and downloads wait for them.
    pub fn new(
        name: Name,
        limits: Limits,
        update_limits: UpdateLimits,
        wait_for_engine: bool,
    ) -> Self {
        Self {
            name,
            limits,
            update_limits,
            wait_for_engine,
            model: None,
            versions: Vec::new(),
            members: Vec::new(),
            origin_region: Name::default(),
            downloads: Vec::new(),
            previous: None,
            update: None,
            phase: UpdatePhase::Idle,
            staged: None,
            orders: Orders::default(),
            engine_lost_at: Duration::ZERO,
            reservations: Reservations::default(),
            suspects: CrashSuspects::default(),
            engine: None,
            has_engine_reported: false,
            engine_reported_at: Duration::ZERO,
            timing_requested_at: None,
            retry_at: Duration::ZERO,
            engine_read_at: Duration::ZERO,
            members_read_at: None,
        }
    }

    /// Sets how the number of requests that the engine handles well is learned. Without this call it
    /// is not.
    #[must_use]
    pub fn with_learned_capacity(mut self, settings: capacity::Settings) -> Self {
        *self.reservations.capacity_mut() = EngineCapacity::new(settings);
        self
    }

    /// The state of the engine for entries.
    pub fn status(&self) -> EngineStatus {
        let engine = self.engine.unwrap_or_default();
        EngineStatus {
            version: engine.version,
            is_switching: engine.is_busy
                || self.is_admission_closed()
                || engine.version.is_some_and(|v| !self.orders.is_verified(v)),
        }
    }

    /// Whether no reservation is accepted, since the engine is about to load.
    fn is_admission_closed(&self) -> bool {
        matches!(
            self.phase,
            UpdatePhase::Draining(_) | UpdatePhase::Loading(_)
        )
    }

    /// Reserves capacity, lets the request wait for it, or refuses it.
    pub fn request(
        &mut self,
        now: Duration,
        prompt_tokens: u32,
        terms: &ReservationTerms,
    ) -> ReservationAnswer {
        self.observe_terms(now, terms);
        if self.status().is_switching {
            return ReservationAnswer::Refused;
        }
        self.reservations.request(now, prompt_tokens, terms)
    }

    /// Prepares the prediction of an answer, if the requester asks for one.
    fn observe_terms(&mut self, now: Duration, terms: &ReservationTerms) {
        if terms.timing.is_some() {
            self.timing_requested_at = Some(now);
            self.reservations.set_speed(self.engine_speed(now));
        }
    }

    /// Ends the wait of requests for which there is capacity now, and of all if the engine is about
    /// to load.
    pub fn end_waits(&mut self, now: Duration) -> Vec<WaitResult> {
        if self.status().is_switching {
            self.reservations.refuse_waiting()
        } else {
            if self.is_following_speed(now) {
                self.reservations.set_speed(self.engine_speed(now));
            }
            self.reservations.grant_waiting(now)
        }
    }

    /// Ends the wait of a request whose time is over or whose caller has left.
    pub fn stop_waiting(&mut self, number: u64) {
        self.reservations.stop_waiting(number);
    }

    /// The backlog of the engine.
    pub fn backlog(&self) -> Backlog {
        self.reservations.backlog()
    }

    /// What the engine said of its speed and memory, unless that is too old.
    fn engine_speed(&self, now: Duration) -> EngineSpeed {
        let is_recent = now.saturating_sub(self.engine_reported_at) < MAX_SPEED_AGE;
        let report = self.engine.filter(|_| is_recent).unwrap_or_default();
        EngineSpeed {
            slowness_percent: report.slowness_percent,
            memory: report.memory,
        }
    }

    /// What the agent knows of the engine.
    pub fn condition(&self) -> EngineCondition {
        EngineCondition {
            slowness_percent: self.reservations.slowness_percent(),
            learned_limit: self.reservations.capacity().limit(),
            waiting: self.reservations.waiting(),
        }
    }

    /// Whether entries asked for predictions recently, so that ticks must be frequent.
    pub fn is_following_speed(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < SPEED_FOLLOWING_TIME;
        self.timing_requested_at.is_some_and(is_recent)
    }

    /// The latest limit that any process knows the engine to name, if it limits its requests or has
    /// done so.
    pub fn limit(&self, now: Duration) -> Option<AgedLimit> {
        self.reservations.limit(now)
    }

    /// Records that the engine has prefilled the prompt of a reservation. Returns the line for the
    /// record if the learned limit changed much.
    pub fn record_prompt_prefilled(&mut self, now: Duration, number: u64) -> Option<Decision> {
        let change = self.reservations.record_prompt_prefilled(now, number)?;
        Some(learned_limit(&self.name, change))
    }

    /// The learned limit for reports, if there is one.
    pub fn learned_limit_status(&self, now: Duration) -> Option<LimitStatus> {
        self.reservations.capacity().status(now)
    }

    /// Releases a reservation.
    pub fn release(&mut self, number: u64) {
        self.reservations.release(number);
    }

    /// The revision of the crashes that entries reported.
    pub fn crash_revision(&self) -> u64 {
        self.suspects.revision()
    }

    /// The crashes that changed after `revision`, for entries.
    pub fn crashes_after(&self, now: Duration, revision: u64) -> Vec<Crash> {
        self.suspects.changes_after(now, revision)
    }

    /// The region of the agent that its peers know as `name`, if it is a member.
    pub fn region_of(&self, name: &str) -> Option<&Name> {
        let member = self.members.iter().find(|member| &*member.name == name)?;
        Some(&member.region)
    }

    /// Whether the version with this key is downloaded here.
    pub fn is_downloading(&self, key: &Digest) -> bool {
        self.all_downloads()
            .any(|download| download.model_version.key == *key)
    }

    /// The report for peers on the pieces of the version with this key.
    pub fn report(&self, key: &Digest) -> Option<weights::TransferReport> {
        let mut downloads = self.all_downloads();
        downloads.find(|d| d.model_version.key == *key)?.report()
    }

    /// The named versions that still decide which ones requests may run on, the newest first.
    pub fn named_versions(&self, now: Duration) -> Vec<NamedVersion> {
        let Some(model) = &self.model else {
            return Vec::new();
        };
        let old_version_time = self.update_limits.old_version_time;
        deciding_versions(now, model, &self.versions, old_version_time)
    }

    /// Whether the newest version is not running yet, so that ticks must be frequent.
    pub fn is_updating(&self) -> bool {
        let running = self.engine.and_then(|engine| engine.version);
        let newest = self.downloads.last();
        self.orders.has_unverified()
            || newest.is_none_or(|download| Some(download.model_version.version) != running)
    }

    /// Handles one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => {
                self.suspects.set_known_targets(self.members.len());
                let expired = self.suspects.expire(now);
                effects.extend(expired.into_iter().map(Effect::Record));
                self.handle_tick(now, &mut effects);
            }
            Event::CrashesReported(crashes) => {
                let decisions = self.suspects.add_reported(now, &crashes);
                effects.extend(decisions.into_iter().map(Effect::Record));
            }
            Event::OriginRate(rate) => self.limits.origin_bytes_per_second = Some(rate),
            Event::Model(model) => {
                if self.model.as_ref() != Some(&model) {
                    self.model = Some(model);
                    self.download_newest(now, &mut effects);
                }
            }
            Event::VersionNamed {
                model,
                version,
                age,
                published_after,
            } => {
                let named = PublishedVersion::new(now, version, age, published_after);
                self.add_version(now, &model, named, &mut effects);
            }
            Event::Members {
                members,
                origin_region,
            } => self.set_members(now, members, origin_region),
            Event::Engine(report) => self.handle_engine_report(now, report, &mut effects),
            Event::Transfer(key, event) => {
                if let Some(download) = self.download_mut(&key) {
                    download.handle(now, event, &mut effects);
                }
            }
            Event::EngineChecked(key, pieces) => {
                if let Some(download) = self.download_mut(&key) {
                    download.finish_engine_check(now, pieces, &mut effects);
                }
            }
            Event::Staged {
                load,
                check,
                written,
            } => {
                if written > 0 {
                    self.orders.record_written_pieces();
                }
                self.handle_staged(now, &load, check, &mut effects);
            }
            Event::LoadChecked {
                load,
                started_at,
                result,
            } => self.handle_load_checked(now, load, started_at, result, &mut effects),
            Event::OrderAnswered(number, answer) => {
                self.handle_order_answered(now, number, answer, &mut effects)
            }
        }
        self.advance(now, &mut effects);
        effects
    }

    fn all_downloads(&self) -> impl Iterator<Item = &Download> {
        self.downloads.iter().chain(&self.previous)
    }

    fn all_downloads_mut(&mut self) -> impl Iterator<Item = &mut Download> {
        self.downloads.iter_mut().chain(&mut self.previous)
    }

    fn download_mut(&mut self, key: &Digest) -> Option<&mut Download> {
        self.all_downloads_mut()
            .find(|d| d.model_version.key == *key)
    }

    fn handle_tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_updating = self.engine.is_none()
            || self.status().is_switching
            || self.phase == UpdatePhase::Waiting;
        let interval = if is_updating {
            ENGINE_READ_INTERVAL_UPDATING
        } else if self.is_following_speed(now) {
            ENGINE_READ_INTERVAL_PREDICTING
        } else {
            ENGINE_READ_INTERVAL_IDLE
        };
        if now.saturating_sub(self.engine_read_at) >= interval {
            self.engine_read_at = now;
            effects.push(Effect::ReadEngine);
        }
        let newest = self.downloads.last();
        // Without the members there is no plan, and without a plan this agent cannot upload pieces
        // either.
        let is_downloading = newest.is_none_or(|download| !download.is_complete());
        let interval = if is_downloading {
            MEMBERS_READ_INTERVAL_DOWNLOADING
        } else {
            MEMBERS_READ_INTERVAL_IDLE
        };
        let is_recent = |at: Duration| now.saturating_sub(at) < interval;
        let is_list_recent = self.members_read_at.is_some_and(is_recent);
        if !is_list_recent {
            self.members_read_at = Some(now);
            effects.push(Effect::ReadMembers);
        }
        for download in self.all_downloads_mut() {
            download.handle(now, weights::Event::Tick, effects);
        }
        if let UpdatePhase::Loading(ordered_at) = self.phase {
            if now.saturating_sub(ordered_at) >= ORDER_TIMEOUT {
                self.phase = UpdatePhase::Idle;
            }
        }
    }

    fn add_version(
        &mut self,
        now: Duration,
        model: &Name,
        named: PublishedVersion,
        effects: &mut Vec<Effect>,
    ) {
        let existing = self
            .versions
            .iter_mut()
            .find(|known| known.version == named.version);
        if let Some(existing) = existing {
            existing.learned_at = existing.learned_at.or(named.learned_at);
            existing.add_bound(named.published_after);
            return;
        }
        let is_own_model = self.model.as_ref() == Some(model);
        let newest = self.versions.last().map_or(0, |known| known.version);
        if !is_own_model {
            return;
        }
        if named.version <= newest {
            // It only tells when the engine must have left a version before it.
            if insert_older(&mut self.versions, named) {
                effects.push(Effect::Record(named.to_decision(now, model.clone())));
            }
            return;
        }
        self.versions.push(named);
        effects.push(Effect::Record(named.to_decision(now, model.clone())));
        // Read the list of engines again, as pieces are exchanged only among its members.
        self.members_read_at = None;
        self.download_newest(now, effects);
    }

    /// Starts the download of the newest version unless it has started already.
    fn download_newest(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(model) = &self.model else {
            return;
        };
        let version = self
            .versions
            .last()
            .map_or(INITIAL_VERSION, |known| known.version);
        let model_version = ModelVersion::new(model, version);
        if self
            .downloads
            .last()
            .is_some_and(|d| d.model_version == model_version)
        {
            return;
        }
        // Several versions may become known at once, for example when the platform is available
        // again. Concurrent downloads share the links, so one that has only just started is
        // stopped.
        let newest = self.downloads.last();
        let is_recent =
            newest.is_some_and(|d| !d.is_complete() && d.age(now) < MIN_CONTINUED_DOWNLOAD_AGE);
        if is_recent {
            if let Some(mut download) = self.downloads.pop() {
                download.stop(effects);
            }
        }
        let mut download = Download::new(model_version, self.wait_for_engine, now);
        download.plan(now, &self.name, self.plan_context());
        self.downloads.push(download);
        while self.downloads.len() > MAX_DOWNLOADS {
            self.downloads.remove(0).stop(effects);
        }
        self.retain_downloaded_versions(effects);
    }

    fn plan_context(&self) -> PlanContext<'_> {
        PlanContext {
            members: &self.members,
            origin_region: &self.origin_region,
            limits: &self.limits,
        }
    }

    fn retain_downloaded_versions(&self, effects: &mut Vec<Effect>) {
        let keys = self
            .all_downloads()
            .map(|download| download.model_version.key);
        effects.push(Effect::RetainVersions(keys.collect()));
    }

    /// Plans all transfers again if the members changed.
    fn set_members(&mut self, now: Duration, mut members: Vec<Member>, origin_region: Name) {
        members.sort();
        if members == self.members && origin_region == self.origin_region {
            return;
        }
        self.members = members;
        self.origin_region = origin_region;
        let mut downloads = std::mem::take(&mut self.downloads);
        for download in &mut downloads {
            download.plan(now, &self.name, self.plan_context());
        }
        self.downloads = downloads;
    }

    fn handle_engine_report(
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
        let report = report.map(|report| self.correct_report(report));
        let previous = std::mem::replace(&mut self.engine, report);
        self.engine_reported_at = now;
        self.reservations
            .capacity_mut()
            .observe_engine(previous, report);
        let version_of = |report: Option<EngineReport>| report.and_then(|report| report.version);
        let has_lost_weights = version_of(previous).is_some() && version_of(report).is_none();
        if report.is_none() || has_lost_weights {
            self.engine_lost_at = now;
        }
        let Some(report) = report else {
            // An engine that restarts has lost its order.
            if matches!(self.phase, UpdatePhase::Loading(_)) {
                self.phase = UpdatePhase::Idle;
            }
            return;
        };
        let is_first = !std::mem::replace(&mut self.has_engine_reported, true);
        // Engines hold the first version from their start, or load it by an order like any other.
        if is_first && report.sequence.is_none_or(|orders| orders == 0) {
            self.orders
                .trust(report.version.filter(|v| *v == INITIAL_VERSION));
        }
        if is_first && (report.is_busy || report.partial_version.is_some()) {
            self.orders.add_unknown(now);
        }
        self.orders.handle_report(report);
        if version_of(previous) != report.version {
            effects.push(Effect::Record(Decision::Engine {
                target: self.name.clone(),
                version: report.version,
                switching: report.is_busy,
            }));
        }
        if !matches!(self.phase, UpdatePhase::Loading(_)) || report.is_busy {
            return;
        }
        let is_loaded = self.update.as_ref().is_some_and(|load| match load.layer {
            Some(layer) => {
                report.version.is_none() && report.first_layer.is_none_or(|first| first == layer)
            }
            None => report.version == Some(load.model_version.version),
        });
        if is_loaded {
            self.phase = UpdatePhase::Idle;
        } else if previous.is_some_and(|previous| previous.is_busy) {
            // The engine finished the order but does not run the version.
            self.phase = UpdatePhase::Idle;
            self.retry_at = now + RETRY_DELAY;
        }
    }

    /// The report, with the number of layers that the manifest of its version names, if that is known.
    fn correct_report(&self, report: EngineReport) -> EngineReport {
        let mut downloads = self.downloads.iter();
        let download = downloads.find(|d| report.version == Some(d.model_version.version));
        download.map_or(report, |d| report.with_layer_count(d.layers()))
    }

    fn handle_staged(
        &mut self,
        now: Duration,
        load: &Load,
        check: Option<PieceCheck>,
        effects: &mut Vec<Effect>,
    ) {
        if self.phase != UpdatePhase::Staging || !self.is_updating_to(load) {
            return;
        }
        let Some(check) = check else {
            self.phase = UpdatePhase::Idle;
            self.retry_at = now + RETRY_DELAY;
            return;
        };
        self.phase = UpdatePhase::Waiting;
        if let Some(staged) = &mut self.staged {
            staged.check = check;
            return;
        }
        self.staged = Some(StagedPieces { since: now, check });
        let ModelVersion { model, version, .. } = &load.model_version;
        if load.layer.is_none() {
            effects.push(Effect::Record(Decision::Staged {
                model: model.clone(),
                version: *version,
                after_ms: self.millis_since_named(now, *version),
            }));
        }
    }

    /// Whether the pieces of this load are to be written to the engine now.
    pub fn is_staging(&self, load: &Load) -> bool {
        self.phase == UpdatePhase::Staging && self.is_updating_to(load)
    }

    /// Whether this is the current update of the engine, or the last one.
    fn is_updating_to(&self, load: &Load) -> bool {
        self.update.as_ref() == Some(load)
    }

    /// Advances the update to the next phase if possible.
    fn advance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.drop_superseded(effects);
        let engine_is_up = self.engine.is_some();
        for download in self.all_downloads_mut() {
            download.check_engine(now, engine_is_up, effects);
        }
        let Some(engine) = self.engine else {
            return;
        };
        self.update_previous(now, engine, effects);
        self.check_loaded(now, engine, effects);
        self.end_superfluous_update(engine);
        if let Some(load) = self.next_load(now, engine) {
            // A layer that the engine has loaded already need not be staged.
            let is_loaded =
                load.layer.is_some() && engine.version == Some(load.model_version.version);
            self.update = Some(load);
            self.staged = None;
            if is_loaded {
                self.order_load(now, engine, None, effects);
            } else {
                self.start_staging(effects);
            }
            return;
        }
        let Some(staged) = self.staged else {
            return;
        };
        let is_retired = engine.version.is_some_and(|v| self.is_retired(now, v));
        if self.phase == UpdatePhase::Waiting && self.is_retiring() {
            let is_needed = is_retired || self.reload_layer(engine).is_some();
            if !is_needed || engine.is_busy {
                // A closer bound became known, or an earlier order came into effect.
                self.phase = UpdatePhase::Idle;
            } else if self.is_check_valid(now, &staged.check) {
                self.order_load(now, engine, Some(staged.check), effects);
            } else {
                self.start_staging(effects);
            }
        } else if self.phase == UpdatePhase::Waiting && !engine.is_busy {
            let update_time = self.update_time(staged.since);
            let is_check_valid = self.is_check_valid(now + MAX_DRAIN_TIME, &staged.check);
            if !is_check_valid && (is_retired || now + staged.check.duration() >= update_time) {
                self.start_staging(effects);
            } else if is_check_valid && (is_retired || now >= update_time) {
                self.phase = UpdatePhase::Draining(now);
            }
        }
        if let UpdatePhase::Draining(since) = self.phase {
            // Prompts that are not prefilled when the engine is ordered to load wait until the
            // new weights are loaded.
            let is_drained = self.reservations.backlog().unprefilled_tokens == 0;
            if !self.is_check_valid(now, &staged.check) {
                self.start_staging(effects);
            } else if is_drained || is_retired || now.saturating_sub(since) >= MAX_DRAIN_TIME {
                self.order_load(now, engine, Some(staged.check), effects);
            }
        }
    }

    /// What the engine is to load instead of the current update, if anything.
    fn next_load(&self, now: Duration, engine: EngineReport) -> Option<Load> {
        if matches!(self.phase, UpdatePhase::Loading(_)) || now < self.retry_at {
            return None;
        }
        if self.is_retiring() && self.phase != UpdatePhase::Idle {
            return None;
        }
        // A busy engine accepts nothing, and one that waits for its turn is about to get its order.
        let may_retire =
            !engine.is_busy && matches!(self.phase, UpdatePhase::Idle | UpdatePhase::Staging);
        let running = engine.version.filter(|_| may_retire);
        if let Some(running) = running.filter(|running| self.is_retired(now, *running)) {
            if let Some(load) = self.retiring_load(engine, running) {
                return Some(load);
            }
        }
        let newest = self.downloads.iter().rev().find(|d| d.is_complete())?;
        let version = newest.model_version.version;
        if self.is_retired(now, version) {
            return None;
        }
        if self.phase == UpdatePhase::Idle && !engine.is_busy {
            let reload = self.reload_layer(engine);
            if let Some(load) = reload.or_else(|| self.previous_load(engine)) {
                return Some(load);
            }
        }
        if self.has_unverified_layer(engine, version) {
            return None;
        }
        let load = Load {
            model_version: newest.model_version.clone(),
            layer: None,
        };
        if engine.is_busy && self.orders.is_unverified(version, None) {
            // The engine may be carrying out the order already.
            return None;
        }
        let is_newer = engine.version.is_none_or(|running| running < version);
        let is_different = !self.is_updating_to(&load);
        let is_next = is_newer && (is_different || self.phase == UpdatePhase::Idle);
        is_next.then_some(load)
    }

    /// Has the pieces of the current update verified at the engine, and those written that it lacks.
    fn start_staging(&mut self, effects: &mut Vec<Effect>) {
        self.phase = UpdatePhase::Staging;
        effects.extend(self.update.clone().map(Effect::Stage));
    }

    /// Drops the downloads older than the newest one if that is complete, as peers should get the
    /// newer version. The version that the engine is being updated to is kept.
    fn drop_superseded(&mut self, effects: &mut Vec<Effect>) {
        let update = self
            .update
            .as_ref()
            .filter(|_| self.phase != UpdatePhase::Idle);
        let updating_key = update.map(|load| load.model_version.key);
        let old_count = self.downloads.len();
        while self.downloads.len() > 1 {
            let newest_is_complete = self.downloads.last().is_some_and(Download::is_complete);
            if !newest_is_complete || updating_key == Some(self.downloads[0].model_version.key) {
                break;
            }
            self.downloads.remove(0).stop(effects);
        }
        if self.downloads.len() != old_count {
            self.retain_downloaded_versions(effects);
        }
    }

    /// When the engine stops accepting requests in order to load the version that it holds since
    /// `staged_at`.
    fn update_time(&self, staged_at: Duration) -> Duration {
        let running = self.engine.and_then(|engine| engine.version);
        let Some(running) = running.filter(|running| self.orders.is_verified(*running)) else {
            return staged_at;
        };
        let mut newer = self.versions.iter().filter(|known| known.version > running);
        let named_at = newer.next().and_then(schedule_start);
        let mut downloads = self.downloads.iter();
        let update = self.update.as_ref().map(|load| &load.model_version);
        let staged = downloads.find(|d| update == Some(&d.model_version));
        let (Some(named_at), Some(download)) = (named_at, staged) else {
            return staged_at;
        };
        let total_bytes = download.total_bytes().unwrap_or_default();
        let window = self.update_limits.window(named_at, staged_at, total_bytes);
        window.update_time(&self.name, &download.data_centre_peers(&self.name))
    }

    fn millis_since_named(&self, now: Duration, version: u64) -> u64 {
        let known = self.versions.iter().find(|known| known.version == version);
        let named_at = known.and_then(|known| known.learned_at).unwrap_or(now);
        millis(now.saturating_sub(named_at))
    }
}
