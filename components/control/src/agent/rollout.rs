//! Rolling update of the target to the version that the sheet names.
//!
//! Pieces are staged while the target keeps serving. The switch itself takes the target out of
//! service, so the targets of a data centre switch one after another: they are sorted by rank and
//! distributed round-robin over as many sequences as targets may be out of service at once. Each
//! target waits until its nearest predecessor that has not failed is warm at the new version. A
//! delayed status is safe to act on, since a target does not leave the new version by itself.

use std::time::Duration;

use protocol::{
    Phase,
    TargetStatus, //
};
use record::{
    LoadEvent,
    SwitchStep, //
};
use utils::digest::Digest;
use utils::Name;

use crate::PieceCheck;

/// Settings of the rolling update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOptions {
    /// How long a target must be unresponsive to count as failed.
    pub failure_timeout: Duration,
    /// The interval between status requests to the predecessors of the target.
    pub status_interval: Duration,
    /// How long an engine may take to load a version before it is ordered again.
    pub order_timeout: Duration,
}

impl Default for RolloutOptions {
    fn default() -> Self {
        Self {
            failure_timeout: Duration::from_secs(15),
            status_interval: Duration::from_millis(500),
            order_timeout: Duration::from_secs(600),
        }
    }
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// The name of the model.
    pub model: Name,
    /// The name of the version.
    pub version: Name,
    /// The digest of its manifest.
    pub manifest: Digest,
}

/// The state that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// The version that the engine runs.
    pub version: Option<Name>,
    /// Whether the engine is loading a version.
    pub is_loading: bool,
    /// The start counter of the engine.
    pub start_count: u64,
}

/// The result of staging that ended with every piece at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StagedPieces {
    /// The readings that found every piece.
    pub check: PieceCheck,
    /// Number of pieces that were missing or different before, and were sent.
    pub sent_pieces: u32,
}

/// How an order to load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted it. Its answer arrived at this time.
    Accepted(Duration),
    /// The engine refused it, since the time until which it could be accepted had passed.
    TooLate,
    /// The engine refused it for another reason.
    Refused,
    /// The engine did not answer, and may accept it yet.
    NoAnswer,
    /// It was outdated before it was sent.
    NotSent,
}

/// An action that the rolling update requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Verify the pieces of the version at the engine, and hand over those that it lacks.
    Stage(ModelVersion),
    /// Order the engine to load a version.
    Order {
        /// The version to load.
        version: ModelVersion,
        /// The version of the sheet that led to the order. An engine rejects an order whose
        /// number is lower than that of an earlier one.
        fencing_number: u64,
        /// When the order was decided. A much later order is stale and must not be sent.
        decided_at: Duration,
        /// Until when the engine may accept the order.
        accept_until: Duration,
    },
    /// Request the status of another target in the data centre.
    RequestStatus(Name),
    /// Apply the cold limit, since the target is in a cold start.
    EnterColdStart,
    /// Write a step of the switch to the record.
    RecordStep(SwitchStep, ModelVersion),
    /// Write to the record what became of an order to load, with the duration of the check that it relies on
    /// and the age of the oldest reading of that check.
    RecordLoad {
        /// The version to load.
        version: ModelVersion,
        /// What happened.
        event: LoadEvent,
        /// The duration of the check.
        check_duration: Duration,
        /// The age of its oldest reading.
        reading_age: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SwitchState {
    /// Pieces are being transferred to this instance.
    Transferring,
    /// Pieces are being handed to the engine.
    Staging,
    /// The target waits for its predecessors.
    Waiting,
    /// The target takes no new requests and finishes the running ones.
    Draining,
    /// The target has finished its requests, and its pieces are verified once more.
    Checking,
    /// The engine was ordered to load the version.
    Ordered { ordered_at: Duration },
    /// The engine runs the version.
    Done { is_warm: bool },
}

/// A load that the engine accepted, or was ordered to carry out.
///
/// The agent cannot bound when an order is accepted, so the weights are used only if they are known to be sound:
/// the engine's answer arrived while the check was young, or a check that began after the acceptance found every
/// piece unchanged.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// When the order was decided; `None` if this agent did not send it.
    decided_at: Option<Duration>,
    /// The check that the order relies on.
    check: Option<PieceCheck>,
    /// When it was known that the engine had accepted the order.
    accepted_by: Option<Duration>,
    /// Whether the engine already ran the version, so that its report of the version proves no load.
    ran_version: bool,
    /// Whether the engine has reported that it loads.
    is_seen: bool,
    verdict: Verdict,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Unknown,
    Sound,
    /// The weights must not be used, and are loaded again.
    Rejected,
}

/// The state of the rolling update of one target.
#[derive(Clone, Debug)]
pub struct Rollout {
    options: RolloutOptions,
    desired_version: Option<ModelVersion>,
    predecessors: Vec<Predecessor>,
    status_requested_at: Duration,
    state: SwitchState,
    /// The last check of the staged pieces. The engine loads what it holds when it accepts the order.
    check: Option<PieceCheck>,
    /// Whether the pieces are being staged or checked now.
    is_staging: bool,
    load: Option<Load>,
    /// When the order was decided whose load is in use.
    done_order: Option<Duration>,
    /// Whether an order got no answer. The engine may still accept it.
    has_unanswered_order: bool,
    /// Whether pieces were sent after an order that the engine may have accepted. A later check does not say
    /// what the engine took.
    sent_since_order: bool,
    /// The minimum time that the engine has to accept an order.
    acceptance_time: Duration,
    engine: Option<EngineState>,
    /// The version that the engine ran when it last reported without loading.
    reported_version: Option<Name>,
    /// The version that the engine may serve.
    trusted_version: Option<Name>,
    /// Whether the engine has reported its state at least once while it was not loading.
    has_engine_reported: bool,
    retry_at: Duration,
    fencing_number: u64,
}

/// The delay before a retry after the engine refused pieces or an order.
const ENGINE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How late a report of an engine may arrive. It is read again after this time.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(2);

/// The time that an engine has at least to accept an order, even if the check took so long that it does not
/// cover that time. It doubles with each order that the engine refuses as too late.
const MIN_ACCEPTANCE_TIME: Duration = Duration::from_secs(1);

/// The longest time that an engine gets to accept an order.
const MAX_ACCEPTANCE_TIME: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Predecessor {
    name: Name,
    status: Option<TargetStatus>,
    unresponsive_since: Option<Duration>,
}

impl Rollout {
    /// Creates the state of a target whose engine has not reported yet.
    pub fn new(options: RolloutOptions) -> Self {
        Self {
            options,
            desired_version: None,
            predecessors: Vec::new(),
            status_requested_at: Duration::ZERO,
            state: SwitchState::Transferring,
            check: None,
            is_staging: false,
            load: None,
            done_order: None,
            has_unanswered_order: false,
            sent_since_order: false,
            acceptance_time: MIN_ACCEPTANCE_TIME,
            engine: None,
            reported_version: None,
            trusted_version: None,
            has_engine_reported: false,
            retry_at: Duration::ZERO,
            fencing_number: 0,
        }
    }

    /// The version that the sheet names.
    pub fn desired_version(&self) -> Option<&ModelVersion> {
        self.desired_version.as_ref()
    }

    /// The last reported state of the engine; `None` if the last read failed.
    pub fn engine(&self) -> Option<&EngineState> {
        self.engine.as_ref()
    }

    /// The version that may serve requests now.
    pub fn serving_version(&self) -> Option<&Name> {
        if matches!(
            self.state,
            SwitchState::Draining | SwitchState::Checking | SwitchState::Ordered { .. }
        ) {
            return None;
        }
        let engine = self.engine.as_ref().filter(|engine| !engine.is_loading)?;
        let version = engine.version.as_ref()?;
        (self.trusted_version.as_ref() == Some(version)).then_some(version)
    }

    /// The phase of the switch. `is_warm` says whether the cold time is over.
    pub fn phase(&self, is_warm: bool) -> Phase {
        match self.state {
            _ if self.desired_version.is_none() => Phase::Idle,
            SwitchState::Transferring | SwitchState::Staging => Phase::Staging,
            SwitchState::Waiting => Phase::Waiting,
            SwitchState::Draining | SwitchState::Checking => Phase::Draining,
            SwitchState::Ordered { .. } => Phase::Loading,
            SwitchState::Done { .. } if is_warm => Phase::Warm,
            SwitchState::Done { .. } => Phase::Cold,
        }
    }

    /// Whether this instance needs the pieces of the desired version.
    ///
    /// They are not needed before the engine has reported, since it may already run the version.
    pub fn needs_pieces(&self) -> bool {
        self.desired_version.is_some()
            && self.has_engine_reported
            && !matches!(self.state, SwitchState::Done { .. })
    }

    /// Sets the version that the sheet names and the fencing number, which is the version of that
    /// sheet.
    ///
    /// `predecessors` are the targets that switch before this one, the nearest first.
    pub fn set_desired_version(
        &mut self,
        desired_version: Option<ModelVersion>,
        predecessors: Vec<Name>,
        fencing_number: u64,
    ) {
        self.fencing_number = fencing_number;
        let current: Vec<Name> = self.predecessors.iter().map(|p| p.name.clone()).collect();
        if current != predecessors {
            let predecessor = |name| Predecessor {
                name,
                status: None,
                unresponsive_since: None,
            };
            self.predecessors = predecessors.into_iter().map(predecessor).collect();
        }
        if desired_version == self.desired_version {
            return;
        }
        self.desired_version = desired_version;
        self.check = None;
        self.is_staging = false;
        self.reject_load();
        self.has_unanswered_order = false;
        self.sent_since_order = false;
        self.acceptance_time = MIN_ACCEPTANCE_TIME;
        self.state = SwitchState::Transferring;
        for predecessor in &mut self.predecessors {
            predecessor.status = None;
        }
    }

    /// Starts staging, since every piece is stored here and verified.
    pub fn transfer_finished(&mut self, now: Duration) -> Vec<Effect> {
        let Some(desired_version) = self.desired_version.clone() else {
            return Vec::new();
        };
        if self.state != SwitchState::Transferring || now < self.retry_at {
            return Vec::new();
        }
        self.state = SwitchState::Staging;
        self.is_staging = true;
        vec![
            Effect::RecordStep(SwitchStep::Staged, desired_version.clone()),
            Effect::Stage(desired_version),
        ]
    }

    /// Handles the result of staging; `None` if the engine does not hold all pieces.
    pub fn staging_finished(
        &mut self,
        now: Duration,
        version: &ModelVersion,
        staged: Option<StagedPieces>,
    ) -> Vec<Effect> {
        if self.desired_version.as_ref() != Some(version) {
            return Vec::new();
        }
        self.is_staging = false;
        self.check = staged.map(|staged| staged.check);
        let was_unchanged = staged.is_some_and(|staged| staged.sent_pieces == 0);
        // Pieces may have been sent before staging failed.
        self.sent_since_order |= !was_unchanged;
        if matches!(self.state, SwitchState::Ordered { .. }) {
            return self.judge_load(now, staged);
        }
        if staged.is_some() {
            self.state = match self.state {
                SwitchState::Staging => SwitchState::Waiting,
                SwitchState::Checking => SwitchState::Draining,
                other => other,
            };
        } else if !matches!(self.state, SwitchState::Done { .. }) {
            self.state = SwitchState::Transferring;
            self.retry_at = now + ENGINE_RETRY_DELAY;
        }
        Vec::new()
    }

    /// Judges the load by a check of the pieces that ended now. Pieces that are unchanged since the engine
    /// accepted the order were sound when it took them, because corrupt pieces do not become sound by themselves.
    fn judge_load(&mut self, now: Duration, staged: Option<StagedPieces>) -> Vec<Effect> {
        let Some(load) = &mut self.load else {
            return Vec::new();
        };
        let Some(staged) = staged else {
            self.retry_at = now + ENGINE_RETRY_DELAY;
            return Vec::new();
        };
        if load.verdict != Verdict::Unknown {
            return Vec::new();
        }
        let event = if self.sent_since_order {
            load.verdict = Verdict::Rejected;
            self.state = SwitchState::Draining;
            LoadEvent::PiecesChanged
        } else if load
            .accepted_by
            .is_some_and(|accepted_by| staged.check.started_at >= accepted_by)
        {
            load.verdict = Verdict::Sound;
            LoadEvent::Verified
        } else {
            return Vec::new();
        };
        self.record_load(event, Some(staged.check), now)
    }

    fn record_load(
        &self,
        event: LoadEvent,
        check: Option<PieceCheck>,
        now: Duration,
    ) -> Vec<Effect> {
        let version = self.desired_version.clone();
        let record = |version| Effect::RecordLoad {
            version,
            event,
            check_duration: check.map_or(Duration::ZERO, |check| check.duration()),
            reading_age: check.map_or(Duration::ZERO, |check| check.age(now)),
        };
        version.into_iter().map(record).collect()
    }

    fn is_check_valid(&self, now: Duration) -> bool {
        self.check.is_some_and(|check| now <= check.valid_until())
    }

    /// Handles the status of another target, or `None` if it did not respond.
    pub fn predecessor_status(&mut self, now: Duration, name: &Name, status: Option<TargetStatus>) {
        let Some(predecessor) = self.predecessors.iter_mut().find(|p| p.name == *name) else {
            return;
        };
        match status {
            Some(status) => {
                predecessor.status = Some(status);
                predecessor.unresponsive_since = None;
            }
            None => {
                predecessor.unresponsive_since.get_or_insert(now);
            }
        }
    }

    /// Handles the result of the order that was decided at `decided_at`.
    pub fn order_finished(
        &mut self,
        now: Duration,
        decided_at: Duration,
        outcome: OrderOutcome,
    ) -> Vec<Effect> {
        if self.done_order == Some(decided_at) {
            // The load was verified before the answer arrived.
            return Vec::new();
        }
        if matches!(outcome, OrderOutcome::Accepted(_) | OrderOutcome::NoAnswer) {
            // From now on the engine may run other weights.
            self.trusted_version = None;
        }
        let is_ordered = matches!(self.state, SwitchState::Ordered { .. });
        let Some(load) = self
            .load
            .filter(|load| is_ordered && load.decided_at == Some(decided_at))
        else {
            return Vec::new();
        };
        if let OrderOutcome::Accepted(answered_at) = outcome {
            return self.order_accepted(load, answered_at);
        }
        if outcome == OrderOutcome::NoAnswer {
            self.has_unanswered_order = true;
        }
        let event = match outcome {
            OrderOutcome::TooLate => LoadEvent::TooLate,
            OrderOutcome::NoAnswer => LoadEvent::NoAnswer,
            OrderOutcome::NotSent => LoadEvent::NotSent,
            OrderOutcome::Accepted(_) | OrderOutcome::Refused => LoadEvent::Refused,
        };
        // Without an answer, the report that the engine loads says that it accepted the order.
        if outcome != OrderOutcome::NoAnswer || load.accepted_by.is_none() {
            self.load = None;
            self.state = SwitchState::Draining;
            self.check = None;
            self.retry_at = now + ENGINE_RETRY_DELAY;
        }
        if outcome == OrderOutcome::TooLate {
            self.acceptance_time = (self.acceptance_time * 2).min(MAX_ACCEPTANCE_TIME);
        }
        self.record_load(event, load.check, now)
    }

    fn order_accepted(&mut self, mut load: Load, answered_at: Duration) -> Vec<Effect> {
        load.accepted_by.get_or_insert(answered_at);
        let is_young = load.check.is_some_and(|check| check.covers(answered_at));
        if is_young && load.verdict == Verdict::Unknown {
            load.verdict = Verdict::Sound;
        }
        // The engine goes on, so it has decided on earlier orders too.
        self.has_unanswered_order = false;
        self.load = Some(load);
        let event = if is_young {
            LoadEvent::Accepted
        } else {
            LoadEvent::AnsweredLate
        };
        self.record_load(event, load.check, answered_at)
    }

    /// Advances the switch at a point in time.
    ///
    /// `running` is the number of running requests, `may_order` whether the engine may be ordered
    /// to load, and `is_gone` whether the list of instances marks an instance as gone.
    pub fn tick(
        &mut self,
        now: Duration,
        running: u32,
        may_order: bool,
        is_gone: impl Fn(&Name) -> bool,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(desired_version) = self.desired_version.clone() else {
            return effects;
        };
        if self.state == SwitchState::Waiting {
            // An engine that serves nothing is already out of service, so it need not wait.
            let is_serving = self.serving_version().is_some();
            if !is_serving || self.may_switch(now, &desired_version, &is_gone) {
                if !self.is_check_valid(now) {
                    // Most of the check is done while the target still serves.
                    self.state = SwitchState::Staging;
                    self.is_staging = true;
                    effects.push(Effect::Stage(desired_version));
                    return effects;
                }
                self.state = SwitchState::Draining;
                effects.push(Effect::RecordStep(
                    SwitchStep::TakenOut,
                    desired_version.clone(),
                ));
            } else if now.saturating_sub(self.status_requested_at) >= self.options.status_interval {
                self.status_requested_at = now;
                let predecessors = self.predecessors.iter().map(|p| p.name.clone());
                effects.extend(predecessors.map(Effect::RequestStatus));
            }
        }
        let may_order = may_order && !self.is_staging && self.may_replace_load(now);
        if self.state == SwitchState::Draining && running == 0 && may_order && now >= self.retry_at
        {
            if !self.is_check_valid(now) {
                self.state = SwitchState::Checking;
                self.is_staging = true;
                effects.push(Effect::Stage(desired_version));
                return effects;
            }
            let accept_until = self.order_decided(now);
            effects.push(Effect::RecordStep(
                SwitchStep::Ordered,
                desired_version.clone(),
            ));
            effects.push(Effect::Order {
                version: desired_version.clone(),
                fencing_number: self.fencing_number,
                decided_at: now,
                accept_until,
            });
        }
        if self.needs_check_of_load() && !self.is_staging && now >= self.retry_at {
            self.is_staging = true;
            effects.push(Effect::Stage(desired_version));
        }
        if let SwitchState::Ordered { ordered_at } = self.state {
            if now.saturating_sub(ordered_at) >= self.options.order_timeout {
                self.state = SwitchState::Draining;
                self.check = None;
                self.reject_load();
            }
        }
        effects
    }

    /// Whether another load may be ordered. While the engine loads, its reports could not tell the loads apart.
    fn may_replace_load(&self, now: Duration) -> bool {
        let is_loading = self.engine.as_ref().is_some_and(|engine| engine.is_loading);
        let is_overdue = |load: Load| {
            let since = load.decided_at.or(load.accepted_by).unwrap_or(now);
            now.saturating_sub(since) >= self.options.order_timeout
        };
        !is_loading || self.load.is_none_or(is_overdue)
    }

    /// Records that the engine is ordered to load, and returns until when it may accept the order.
    fn order_decided(&mut self, now: Duration) -> Duration {
        self.state = SwitchState::Ordered { ordered_at: now };
        let desired_version = self.desired_version.as_ref().map(|v| &v.version);
        self.load = Some(Load {
            decided_at: Some(now),
            check: self.check,
            accepted_by: None,
            ran_version: self.reported_version.as_ref() == desired_version,
            is_seen: false,
            verdict: Verdict::Unknown,
        });
        if !self.has_unanswered_order {
            self.sent_since_order = false;
        }
        let covered_until = self.check.map_or(now, |check| check.covers_until());
        covered_until.max(now + self.acceptance_time)
    }

    /// Whether the engine carries out a load of which only another check can tell that it is sound.
    fn needs_check_of_load(&self) -> bool {
        let is_ordered = matches!(self.state, SwitchState::Ordered { .. });
        is_ordered
            && self
                .load
                .is_some_and(|load| load.accepted_by.is_some() && load.verdict == Verdict::Unknown)
    }

    /// Sets whether the target is warm. A change is written to the record.
    pub fn set_warm(&mut self, is_warm: bool) -> Vec<Effect> {
        let SwitchState::Done { is_warm: was_warm } = self.state else {
            return Vec::new();
        };
        if is_warm == was_warm {
            return Vec::new();
        }
        self.state = SwitchState::Done { is_warm };
        let step = if is_warm {
            SwitchStep::Warm
        } else {
            SwitchStep::FellBack
        };
        let desired_version = self.desired_version.clone();
        desired_version
            .into_iter()
            .map(|desired_version| Effect::RecordStep(step, desired_version))
            .collect()
    }

    /// Handles the state that the engine reported, or `None` if it did not respond.
    pub fn engine_reported(&mut self, now: Duration, engine: Option<EngineState>) -> Vec<Effect> {
        let previous = std::mem::replace(&mut self.engine, engine.clone());
        let Some(engine) = engine else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        let has_restarted = previous.is_some_and(|p| p.start_count != engine.start_count);
        if has_restarted {
            self.check = None;
            effects.push(Effect::EnterColdStart);
        }
        effects.extend(self.note_load(now, &engine));
        self.trust_initial_version(&engine);
        if engine.is_loading {
            return effects;
        }
        self.reported_version.clone_from(&engine.version);
        let desired_version = self.desired_version.clone();
        let runs_desired_version = self.is_desired(&engine);
        if runs_desired_version && self.is_load_sound(now) {
            self.trusted_version.clone_from(&engine.version);
        }
        let is_trusted = self.trusted_version == engine.version;
        match (desired_version, self.state) {
            (Some(desired_version), SwitchState::Ordered { .. })
                if runs_desired_version && is_trusted =>
            {
                self.switch_done();
                effects.push(Effect::EnterColdStart);
                effects.push(Effect::RecordStep(SwitchStep::Cold, desired_version));
            }
            (Some(_), SwitchState::Ordered { .. }) if has_restarted && !runs_desired_version => {
                // The load ended with the process that carried it out.
                self.load = None;
                self.state = SwitchState::Draining;
            }
            (Some(desired_version), SwitchState::Done { .. })
                if !runs_desired_version || !is_trusted =>
            {
                // The engine lost the version, or another process ordered it to load.
                self.state = SwitchState::Transferring;
                self.check = None;
                self.trusted_version = None;
                effects.push(Effect::RecordStep(SwitchStep::Differs, desired_version));
            }
            (Some(_), SwitchState::Transferring | SwitchState::Staging | SwitchState::Waiting)
                if runs_desired_version && is_trusted =>
            {
                // After a restart of the agent the engine may already run the version.
                self.switch_done();
            }
            _ => {}
        }
        effects
    }

    fn is_desired(&self, engine: &EngineState) -> bool {
        let desired_version = self.desired_version.as_ref();
        desired_version.is_some_and(|desired| engine.version.as_ref() == Some(&desired.version))
    }

    /// Whether the weights that the engine runs are known to be sound.
    fn is_load_sound(&self, now: Duration) -> bool {
        self.load.is_some_and(|load| {
            let is_old = |accepted_by| now >= accepted_by + MAX_REPORT_DELAY;
            let has_ended =
                !load.ran_version || load.is_seen || load.accepted_by.is_some_and(is_old);
            load.verdict == Verdict::Sound && has_ended
        })
    }

    fn reject_load(&mut self) {
        if let Some(load) = &mut self.load {
            load.verdict = Verdict::Rejected;
        }
    }

    fn switch_done(&mut self) {
        self.state = SwitchState::Done { is_warm: false };
        self.done_order = self.load.and_then(|load| load.decided_at);
        self.load = None;
        self.acceptance_time = MIN_ACCEPTANCE_TIME;
    }

    /// Finds out from a report that the engine has accepted an order.
    fn note_load(&mut self, now: Duration, engine: &EngineState) -> Vec<Effect> {
        let has_changed = !engine.is_loading
            && self.has_engine_reported
            && self.reported_version != engine.version
            && self.is_desired(engine);
        if let Some(load) = &mut self.load {
            if engine.is_loading || (has_changed && !load.ran_version) {
                load.accepted_by.get_or_insert(now);
                load.is_seen |= engine.is_loading;
            }
            return Vec::new();
        }
        if !engine.is_loading && !has_changed {
            return Vec::new();
        }
        self.trusted_version = None;
        let is_late_order = self.has_unanswered_order
            && matches!(self.state, SwitchState::Draining | SwitchState::Checking);
        let verdict = if is_late_order {
            self.state = SwitchState::Ordered { ordered_at: now };
            Verdict::Unknown
        } else {
            // It is not known when the order was accepted, and who sent pieces since then.
            Verdict::Rejected
        };
        self.load = Some(Load {
            decided_at: None,
            check: None,
            accepted_by: Some(now),
            ran_version: false,
            is_seen: engine.is_loading,
            verdict,
        });
        if matches!(self.state, SwitchState::Done { .. }) {
            self.state = SwitchState::Transferring;
            self.check = None;
        }
        self.record_load(LoadEvent::NotOrdered, None, now)
    }

    /// Trusts the version of the first report, which serves until the switch. A later version is
    /// trusted only if its load was verified.
    fn trust_initial_version(&mut self, engine: &EngineState) {
        if self.has_engine_reported || engine.is_loading {
            return;
        }
        self.has_engine_reported = true;
        // An engine that was loading at first carries out an order of an earlier process.
        if self.load.is_none() {
            self.trusted_version.clone_from(&engine.version);
        }
    }

    /// Whether the nearest predecessor that has not failed is warm at the desired version.
    fn may_switch(
        &self,
        now: Duration,
        desired_version: &ModelVersion,
        is_gone: &impl Fn(&Name) -> bool,
    ) -> bool {
        for predecessor in &self.predecessors {
            let has_failed = predecessor
                .unresponsive_since
                .is_some_and(|since| now.saturating_sub(since) >= self.options.failure_timeout);
            if has_failed
                || (is_gone(&predecessor.name) && predecessor.unresponsive_since.is_some())
            {
                continue;
            }
            let Some(status) = &predecessor.status else {
                return false;
            };
            let is_done = status.version.as_ref() == Some(&desired_version.version);
            return is_done && status.phase == Phase::Warm;
        }
        true
    }
}
