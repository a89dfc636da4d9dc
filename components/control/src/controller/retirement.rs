//! Ends the use of a version whose time is over at an engine that still runs it.
//!
//! A request that is on its way when the time of its version ends cannot be called back. The engine rejects it
//! once it is ordered to load, or to keep, a single layer.

use std::time::Duration;

use super::{
    Controller,
    EngineReport,
    Load,
    ModelVersion,
    MAX_DRAIN_TIME, //
};

/// How long after entries stop sending to a version its use is ended at an engine that still runs it. An
/// update in time is ordered before that, and staging one layer must end before the version's time does.
const RETIREMENT_DELAY: Duration = MAX_DRAIN_TIME;

/// A layer that is never the first one, so that its report cannot be taken for one of the whole model, also
/// where it is not known how many layers there are.
pub(super) const INNER_LAYER: u32 = 1;

/// How long entries may take to tell the agent a closer bound on the publication of a version. An agent
/// that watches the store for seconds knows only a distant one itself.
const BOUND_EXCHANGE_TIME: Duration = Duration::from_secs(1);

impl Controller {
    /// Whether the current update, or the last one, is to a single layer, which ends the use of the version that
    /// the engine ran.
    pub(super) fn is_retiring(&self) -> bool {
        self.update
            .as_ref()
            .is_some_and(|load| load.layer.is_some())
    }

    /// Whether the engine must be kept from running more requests on a version, since its time ends and
    /// requests may still be on their way. The order of an update in time is sent before that.
    pub(super) fn is_retired(&self, now: Duration, version: u64) -> bool {
        let mut newer = self.versions.iter().filter(|known| known.version > version);
        newer.any(|known| {
            let old_version_time = self.update_limits.old_version_time;
            let Some(ends_at) = known.required_from(old_version_time) else {
                return false;
            };
            let bound_known_at = known.learned_at.map(|at| at + BOUND_EXCHANGE_TIME);
            now >= ends_at.max(bound_known_at.unwrap_or_default()) + RETIREMENT_DELAY
        })
    }

    /// The load of one layer of a version newer than `running`, whose pieces are held. Without one, the
    /// engine is to keep a single layer of the version that it runs.
    pub(super) fn retiring_load(&self, engine: EngineReport, running: u64) -> Option<Load> {
        let newer = self.downloads.iter().rev();
        let mut newer = newer.filter(|d| d.model_version.version > running);
        let held = newer.find_map(|d| Some((d.model_version.clone(), d.held_inner_layer()?)));
        if let Some((model_version, layer)) = held {
            return Some(Load {
                model_version,
                layer: Some(layer),
            });
        }
        let has_inner_layers = engine.layers.is_some_and(|layers| layers > INNER_LAYER);
        let model = self.model.as_ref().filter(|_| has_inner_layers)?;
        Some(Load {
            model_version: ModelVersion::new(model, running),
            layer: Some(INNER_LAYER),
        })
    }

    /// Whether the engine holds a layer of a version alone that was not verified. It would be used again by an
    /// order to load the whole version.
    pub(super) fn has_unverified_layer(&self, engine: EngineReport, version: u64) -> bool {
        let layer = engine.first_layer;
        engine.partial_version == Some(version)
            && (!self.orders.is_layer_verified(version, layer)
                || self.orders.is_unverified(version, layer))
    }

    /// The load of a single layer of the newest version that makes the engine give up layers of this version
    /// that had changed: first all but one, then this one. Other layers are loaded anew afterwards.
    pub(super) fn reload_layer(&self, engine: EngineReport) -> Option<Load> {
        let newest = self.downloads.iter().rev().find(|d| d.is_complete())?;
        let version = newest.model_version.version;
        let is_whole = engine.version == Some(version)
            && self.orders.has_changed(version)
            && !self.orders.is_unverified(version, None);
        let is_layer_changed = self.has_unverified_layer(engine, version)
            && !self.orders.is_unverified(version, engine.first_layer);
        // The only layer of a model cannot be replaced by another one.
        if !(is_whole || is_layer_changed) || newest.layers() == 1 {
            return None;
        }
        let held = engine.first_layer.filter(|_| is_layer_changed);
        let mut layers = (INNER_LAYER..newest.layers()).chain(0..INNER_LAYER);
        layers.find(|layer| Some(*layer) != held).map(|layer| Load {
            model_version: newest.model_version.clone(),
            layer: Some(layer),
        })
    }
}
