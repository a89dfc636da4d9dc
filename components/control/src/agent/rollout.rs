//! Bringing the target to the version that the sheet names.
//!
//! Staging happens beside service. The switch itself takes the target out of service, so the
//! targets of a data centre switch in waves: sorted by rank and dealt into as many lanes as may be
//! out at once, each waits until the nearest living one before it in its lane is warm. That fact
//! is safe to act on late, since a target does not leave the new version again by itself.

use std::time::Duration;

use protocol::{
    Phase,
    TargetStatus, //
};
use record::SwitchStep;
use utils::digest::Digest;
use utils::Name;

/// Settings of the switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOptions {
    /// How long a target must be silent to count as failed.
    pub failed_after: Duration,
    /// How often the target before this one is asked.
    pub ask_every: Duration,
    /// How long an engine may take for an order before it is given again.
    pub order_timeout: Duration,
}

impl Default for RolloutOptions {
    fn default() -> Self {
        Self {
            failed_after: Duration::from_secs(15),
            ask_every: Duration::from_millis(500),
            order_timeout: Duration::from_secs(600),
        }
    }
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The model.
    pub model: Name,
    /// The version's name.
    pub version: Name,
    /// The digest of its manifest.
    pub manifest: Digest,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// The version that it runs.
    pub version: Option<Name>,
    /// Whether it loads a version now.
    pub loading: bool,
    /// How often it has started.
    pub start: u64,
}

/// What the rollout asks to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Hand every piece to the engine.
    Stage(Version),
    /// Order the engine to load.
    Order {
        /// The version.
        version: Version,
        /// The fencing number.
        fence: u64,
        /// When this was decided; an order that is sent much later is stale.
        decided: Duration,
    },
    /// Ask another target of the data centre for its state.
    AskStatus(Name),
    /// The target is in cold start.
    TurnCold,
    /// A step for the record.
    Step(SwitchStep, Version),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Pieces are on their way.
    Spreading,
    /// Pieces are handed to the engine.
    Staging,
    /// Waits for its turn.
    Waiting,
    /// Running requests end.
    Draining,
    /// The engine was ordered to load.
    Ordered { at: Duration },
    /// The engine runs the version.
    Done { warm: bool },
}

/// The state of the rollout.
#[derive(Clone, Debug)]
pub struct Rollout {
    options: RolloutOptions,
    wanted: Option<Version>,
    lane: Vec<LaneMember>,
    asked_at: Duration,
    stage: Stage,
    engine: Option<EngineState>,
    trusted: Option<Name>,
    met: bool,
    retry_at: Duration,
    fence: u64,
}

/// The wait after the engine refused pieces or an order.
const RETRY_WAIT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct LaneMember {
    name: Name,
    status: Option<TargetStatus>,
    silent_since: Option<Duration>,
}

impl Rollout {
    /// Makes the state of a target that nothing is known of.
    pub fn new(options: RolloutOptions) -> Self {
        Self {
            options,
            wanted: None,
            lane: Vec::new(),
            asked_at: Duration::ZERO,
            stage: Stage::Spreading,
            engine: None,
            trusted: None,
            met: false,
            retry_at: Duration::ZERO,
            fence: 0,
        }
    }

    /// The version that the sheet names.
    pub fn wanted(&self) -> Option<&Version> {
        self.wanted.as_ref()
    }

    /// What the engine said last.
    pub fn engine(&self) -> Option<&EngineState> {
        self.engine.as_ref()
    }

    /// The version that may answer requests now.
    pub fn serving(&self) -> Option<&Name> {
        if matches!(self.stage, Stage::Draining | Stage::Ordered { .. }) {
            return None;
        }
        let engine = self.engine.as_ref().filter(|engine| !engine.loading)?;
        let version = engine.version.as_ref()?;
        (self.trusted.as_ref() == Some(version)).then_some(version)
    }

    /// How far the target is.
    pub fn phase(&self, warm: bool) -> Phase {
        match self.stage {
            _ if self.wanted.is_none() => Phase::Idle,
            Stage::Spreading | Stage::Staging => Phase::Staging,
            Stage::Waiting => Phase::Waiting,
            Stage::Draining => Phase::Draining,
            Stage::Ordered { .. } => Phase::Loading,
            Stage::Done { .. } if warm => Phase::Warm,
            Stage::Done { .. } => Phase::Cold,
        }
    }

    /// Whether the pieces of the wanted version are needed here.
    ///
    /// Not before the engine has said what it runs: it may have the version already.
    pub fn needs_pieces(&self) -> bool {
        self.wanted.is_some() && self.met && !matches!(self.stage, Stage::Done { .. })
    }

    /// Takes the version that the sheet names and the fencing number of that sheet.
    ///
    /// `lane` holds the targets before this one in its lane, the nearest first.
    pub fn want(&mut self, wanted: Option<Version>, lane: Vec<Name>, fence: u64) {
        self.fence = fence;
        let known: Vec<Name> = self.lane.iter().map(|m| m.name.clone()).collect();
        if known != lane {
            let member = |name| LaneMember {
                name,
                status: None,
                silent_since: None,
            };
            self.lane = lane.into_iter().map(member).collect();
        }
        if wanted == self.wanted {
            return;
        }
        self.wanted = wanted;
        self.stage = Stage::Spreading;
        for member in &mut self.lane {
            member.status = None;
        }
    }

    /// Every piece is here and verified.
    pub fn spread(&mut self, now: Duration) -> Vec<Effect> {
        let Some(wanted) = self.wanted.clone() else {
            return Vec::new();
        };
        if self.stage != Stage::Spreading || now < self.retry_at {
            return Vec::new();
        }
        self.stage = Stage::Staging;
        vec![
            Effect::Step(SwitchStep::Staged, wanted.clone()),
            Effect::Stage(wanted),
        ]
    }

    /// The engine took every piece, or did not.
    pub fn staged(&mut self, now: Duration, version: &Version, done: bool) {
        if self.stage != Stage::Staging || self.wanted.as_ref() != Some(version) {
            return;
        }
        if done {
            self.stage = Stage::Waiting;
        } else {
            self.stage = Stage::Spreading;
            self.retry_at = now + RETRY_WAIT;
        }
    }

    /// Another target said how far it is, or did not answer.
    pub fn heard(&mut self, now: Duration, name: &Name, status: Option<TargetStatus>) {
        let Some(member) = self.lane.iter_mut().find(|m| m.name == *name) else {
            return;
        };
        match status {
            Some(status) => {
                member.status = Some(status);
                member.silent_since = None;
            }
            None => {
                member.silent_since.get_or_insert(now);
            }
        }
    }

    /// The engine took the order, or refused it or did not answer.
    pub fn ordered(&mut self, now: Duration, done: bool) {
        if !done && matches!(self.stage, Stage::Ordered { .. }) {
            self.stage = Stage::Draining;
            self.retry_at = now + RETRY_WAIT;
        }
    }

    /// Time passed. `running` requests run at the target; `is_gone` tells whether the list says
    /// that an instance is gone.
    pub fn tick(
        &mut self,
        now: Duration,
        running: u32,
        may_order: bool,
        is_gone: impl Fn(&Name) -> bool,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(wanted) = self.wanted.clone() else {
            return effects;
        };
        if self.stage == Stage::Waiting {
            // An engine that runs nothing is out anyway, and loading it makes nothing worse.
            let is_serving = self.serving().is_some();
            if !is_serving || self.is_my_turn(now, &wanted, &is_gone) {
                self.stage = Stage::Draining;
                effects.push(Effect::Step(SwitchStep::TakenOut, wanted.clone()));
            } else if now.saturating_sub(self.asked_at) >= self.options.ask_every {
                self.asked_at = now;
                let lane = self.lane.iter().map(|m| m.name.clone());
                effects.extend(lane.map(Effect::AskStatus));
            }
        }
        if self.stage == Stage::Draining && running == 0 && may_order && now >= self.retry_at {
            self.stage = Stage::Ordered { at: now };
            effects.push(Effect::Step(SwitchStep::Ordered, wanted.clone()));
            effects.push(Effect::Order {
                version: wanted,
                fence: self.fence,
                decided: now,
            });
        }
        if let Stage::Ordered { at } = self.stage {
            if now.saturating_sub(at) >= self.options.order_timeout {
                self.stage = Stage::Draining;
            }
        }
        effects
    }

    /// The target became warm or is no longer.
    pub fn set_warm(&mut self, warm: bool) -> Vec<Effect> {
        let Stage::Done { warm: before } = self.stage else {
            return Vec::new();
        };
        if warm == before {
            return Vec::new();
        }
        self.stage = Stage::Done { warm };
        let step = if warm {
            SwitchStep::Warm
        } else {
            SwitchStep::FellBack
        };
        let wanted = self.wanted.clone();
        wanted
            .into_iter()
            .map(|wanted| Effect::Step(step, wanted))
            .collect()
    }

    /// The engine said what it runs, or did not answer.
    pub fn read(&mut self, engine: Option<EngineState>) -> Vec<Effect> {
        let before = std::mem::replace(&mut self.engine, engine.clone());
        let Some(engine) = engine else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        self.trust_first(&engine);
        if before.as_ref().is_some_and(|b| b.start != engine.start) {
            effects.push(Effect::TurnCold);
        }
        if engine.loading {
            return effects;
        }
        let wanted = self.wanted.clone();
        let runs_wanted = wanted
            .as_ref()
            .is_some_and(|wanted| engine.version.as_ref() == Some(&wanted.version));
        match (wanted, self.stage) {
            (Some(wanted), Stage::Ordered { .. }) if runs_wanted => {
                self.trusted.clone_from(&engine.version);
                self.stage = Stage::Done { warm: false };
                effects.push(Effect::TurnCold);
                effects.push(Effect::Step(SwitchStep::Cold, wanted));
            }
            (Some(wanted), Stage::Done { .. }) if !runs_wanted => {
                // It lost the version, or someone else gave it an order.
                self.stage = Stage::Spreading;
                self.trusted = None;
                effects.push(Effect::Step(SwitchStep::Differs, wanted));
            }
            (Some(_), Stage::Spreading | Stage::Staging | Stage::Waiting) if runs_wanted => {
                // A restarted agent finds its engine at the version already.
                self.trusted.clone_from(&engine.version);
                self.stage = Stage::Done { warm: false };
            }
            _ => {}
        }
        effects
    }

    /// The version found at the first contact serves until the switch. Any other that was not
    /// ordered here is not trusted.
    fn trust_first(&mut self, engine: &EngineState) {
        if !self.met && !engine.loading {
            self.met = true;
            self.trusted.clone_from(&engine.version);
        }
    }

    /// Whether the nearest living target before this one in its lane is warm at the version.
    fn is_my_turn(
        &self,
        now: Duration,
        wanted: &Version,
        is_gone: &impl Fn(&Name) -> bool,
    ) -> bool {
        for member in &self.lane {
            let silent = member
                .silent_since
                .is_some_and(|since| now.saturating_sub(since) >= self.options.failed_after);
            if silent || (is_gone(&member.name) && member.silent_since.is_some()) {
                continue;
            }
            let Some(status) = &member.status else {
                return false;
            };
            let is_done = status.version.as_ref() == Some(&wanted.version);
            return is_done && status.phase == Phase::Warm;
        }
        true
    }
}
