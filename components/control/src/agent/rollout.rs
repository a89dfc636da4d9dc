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
use record::SwitchStep;
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
    },
    /// Request the status of another target in the data centre.
    RequestStatus(Name),
    /// Apply the cold limit, since the target is in a cold start.
    EnterColdStart,
    /// Write a step of the switch to the record.
    RecordStep(SwitchStep, ModelVersion),
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
    engine: Option<EngineState>,
    /// The version that the engine may serve.
    trusted_version: Option<Name>,
    /// Whether the engine has reported its state at least once while it was not loading.
    has_engine_reported: bool,
    retry_at: Duration,
    fencing_number: u64,
}

/// The delay before a retry after the engine refused pieces or an order.
const ENGINE_RETRY_DELAY: Duration = Duration::from_secs(1);

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
            engine: None,
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
        vec![
            Effect::RecordStep(SwitchStep::Staged, desired_version.clone()),
            Effect::Stage(desired_version),
        ]
    }

    /// Handles the result of staging: the check that found all pieces at the engine, if it holds them.
    pub fn staging_finished(
        &mut self,
        now: Duration,
        version: &ModelVersion,
        check: Option<PieceCheck>,
    ) {
        if self.desired_version.as_ref() != Some(version) {
            return;
        }
        let next = match self.state {
            SwitchState::Staging => SwitchState::Waiting,
            SwitchState::Checking => SwitchState::Draining,
            _ => return,
        };
        self.check = check;
        if check.is_some() {
            self.state = next;
        } else {
            self.state = SwitchState::Transferring;
            self.retry_at = now + ENGINE_RETRY_DELAY;
        }
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

    /// Handles the result of the order. `success` is false if the engine refused it or did not
    /// respond.
    pub fn order_finished(&mut self, now: Duration, success: bool) {
        if !success && matches!(self.state, SwitchState::Ordered { .. }) {
            self.state = SwitchState::Draining;
            self.check = None;
            self.retry_at = now + ENGINE_RETRY_DELAY;
        }
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
        if self.state == SwitchState::Draining && running == 0 && may_order && now >= self.retry_at
        {
            if !self.is_check_valid(now) {
                self.state = SwitchState::Checking;
                effects.push(Effect::Stage(desired_version));
                return effects;
            }
            self.state = SwitchState::Ordered { ordered_at: now };
            effects.push(Effect::RecordStep(
                SwitchStep::Ordered,
                desired_version.clone(),
            ));
            effects.push(Effect::Order {
                version: desired_version,
                fencing_number: self.fencing_number,
                decided_at: now,
            });
        }
        if let SwitchState::Ordered { ordered_at } = self.state {
            if now.saturating_sub(ordered_at) >= self.options.order_timeout {
                self.state = SwitchState::Draining;
                self.check = None;
            }
        }
        effects
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
    pub fn engine_reported(&mut self, engine: Option<EngineState>) -> Vec<Effect> {
        let previous = std::mem::replace(&mut self.engine, engine.clone());
        let Some(engine) = engine else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        self.trust_initial_version(&engine);
        if previous
            .as_ref()
            .is_some_and(|previous| previous.start_count != engine.start_count)
        {
            self.check = None;
            effects.push(Effect::EnterColdStart);
        }
        if engine.is_loading {
            return effects;
        }
        let desired_version = self.desired_version.clone();
        let runs_desired_version = desired_version.as_ref().is_some_and(|desired_version| {
            engine.version.as_ref() == Some(&desired_version.version)
        });
        match (desired_version, self.state) {
            (Some(desired_version), SwitchState::Ordered { .. }) if runs_desired_version => {
                self.trusted_version.clone_from(&engine.version);
                self.state = SwitchState::Done { is_warm: false };
                effects.push(Effect::EnterColdStart);
                effects.push(Effect::RecordStep(SwitchStep::Cold, desired_version));
            }
            (Some(desired_version), SwitchState::Done { .. }) if !runs_desired_version => {
                // The engine lost the version, or another process ordered it to load.
                self.state = SwitchState::Transferring;
                self.check = None;
                self.trusted_version = None;
                effects.push(Effect::RecordStep(SwitchStep::Differs, desired_version));
            }
            (Some(_), SwitchState::Transferring | SwitchState::Staging | SwitchState::Waiting)
                if runs_desired_version =>
            {
                // After a restart of the agent the engine may already run the version.
                self.trusted_version.clone_from(&engine.version);
                self.state = SwitchState::Done { is_warm: false };
            }
            _ => {}
        }
        effects
    }

    /// Trusts the version of the first report, which serves until the switch. A later version is
    /// trusted only if it is the desired one.
    fn trust_initial_version(&mut self, engine: &EngineState) {
        if !self.has_engine_reported && !engine.is_loading {
            self.has_engine_reported = true;
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
