//! Orders the engine to load what is staged, and has checked what it loaded.

use std::time::Duration;

use record::{
    Decision,
    LoadCheck,
    OrderAnswer, //
};
use utils::millis::millis;

use super::{
    Controller,
    Effect,
    EngineReport,
    Load,
    ModelVersion,
    UpdatePhase,
    RETRY_DELAY, //
};
use crate::PieceCheck;

/// How old the engine's report may be when an order is sent that relies on it alone.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

impl Controller {
    pub(super) fn handle_load_checked(
        &mut self,
        now: Duration,
        load: Load,
        started_at: Duration,
        result: LoadCheck,
        effects: &mut Vec<Effect>,
    ) {
        let ModelVersion { model, version, .. } = load.model_version;
        let result = if started_at >= self.engine_lost_at {
            result
        } else {
            LoadCheck::Unreadable
        };
        let result = self.orders.finish_check(now, version, load.layer, result);
        effects.push(Effect::Record(Decision::LoadChecked {
            model,
            version,
            layer: load.layer,
            result,
            took_ms: millis(now.saturating_sub(started_at)),
        }));
    }

    /// Has the weights checked that the engine may have loaded on too old a check of their pieces.
    pub(super) fn check_loaded(
        &mut self,
        now: Duration,
        engine: EngineReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(model) = self.model.clone() else {
            return;
        };
        let found = engine.version.filter(|v| self.orders.is_unexplained(*v));
        if let Some(version) = found {
            self.orders
                .add_found(now, ModelVersion::new(&model, version));
        }
        let mut downloads = self.downloads.iter();
        let has_manifest =
            |version| downloads.any(|d| d.model_version.version == version && d.layers() > 0);
        if let Some((version, layer)) = self.orders.start_check(now, engine, has_manifest) {
            effects.push(Effect::CheckLoaded(Load {
                model_version: ModelVersion::new(&model, version),
                layer,
            }));
        }
    }

    pub(super) fn handle_order_answered(
        &mut self,
        now: Duration,
        number: u64,
        answer: OrderAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let is_newest = self.orders.is_newest(number);
        let decision = self.orders.answered(now, number, answer);
        effects.extend(decision.map(Effect::Record));
        let is_accepted = matches!(answer, OrderAnswer::Begun | OrderAnswer::InEffect);
        if is_newest && !is_accepted && matches!(self.phase, UpdatePhase::Loading(_)) {
            self.phase = UpdatePhase::Idle;
            self.retry_at = now + RETRY_DELAY;
        }
    }

    /// Ends an update to the version that the engine runs already, since it accepted an order that was given up.
    pub(super) fn end_superfluous_update(&mut self, engine: EngineReport) {
        let is_pending = matches!(
            self.phase,
            UpdatePhase::Staging | UpdatePhase::Waiting | UpdatePhase::Draining(_)
        );
        let update = self.update.as_ref().filter(|load| load.layer.is_none());
        if is_pending && update.is_some_and(|l| engine.version == Some(l.model_version.version)) {
            self.phase = UpdatePhase::Idle;
        }
    }

    /// Whether an order that is sent at `time` may rely on the check.
    pub(super) fn is_check_valid(&self, time: Duration, check: &PieceCheck) -> bool {
        time <= check.valid_until() && check.started_at >= self.engine_lost_at
    }

    /// Orders the engine to load what the update is to. Without a check the engine holds the layer already.
    pub(super) fn order_load(
        &mut self,
        now: Duration,
        engine: EngineReport,
        check: Option<PieceCheck>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(update) = self.update.clone() else {
            return;
        };
        self.phase = UpdatePhase::Loading(now);
        let ModelVersion { model, version, .. } = &update.model_version;
        effects.push(Effect::Record(Decision::Order {
            model: model.clone(),
            version: *version,
            layer: update.layer,
            before: engine.version,
            after_ms: self.millis_since_named(now, *version),
            checked_ms: check.map(|check| millis(check.age(now))),
            check_took_ms: check.map(|check| millis(check.duration())),
        }));
        let number = self.orders.add(now, update.clone(), check);
        let report_valid_until = self.engine_reported_at + MAX_REPORT_AGE;
        effects.push(Effect::OrderLoad {
            number,
            load: update,
            sequence: engine.sequence,
            valid_until: check.map_or(report_valid_until, |check| check.valid_until()),
        });
    }
}
