//! Loads the version before the newest one at an engine that loaded changed pieces of the newest.
//!
//! An engine gives up layers of a version only for other layers or for another version. If the model has a single
//! layer, there is none to load in its place, so the engine goes back to the version before and is then updated
//! anew. Peers have dropped that version, so all of its pieces come from the origin.

use std::time::Duration;

use super::download::{
    Download,
    PlanContext, //
};
use super::{
    Controller,
    Effect,
    EngineReport,
    Load,
    ModelVersion,
    UpdatePhase, //
};

impl Controller {
    /// Starts the download of the version before the newest one if the engine needs it, and stops it
    /// otherwise.
    pub(super) fn update_previous(
        &mut self,
        now: Duration,
        engine: EngineReport,
        effects: &mut Vec<Effect>,
    ) {
        let is_loading = self.phase != UpdatePhase::Idle && self.update == self.load_of_previous();
        let is_needed = self.needs_previous(engine);
        if is_loading || is_needed == self.previous.is_some() {
            return;
        }
        if is_needed {
            self.previous = self.download_previous(now);
        } else if let Some(mut download) = self.previous.take() {
            download.stop(effects);
        }
        self.retain_downloaded_versions(effects);
    }

    /// The load of the version before the newest one, if the engine needs it and all pieces are there.
    pub(super) fn previous_load(&self, engine: EngineReport) -> Option<Load> {
        let load = self.load_of_previous();
        load.filter(|_| self.needs_previous(engine))
    }

    fn load_of_previous(&self) -> Option<Load> {
        let download = self.previous.as_ref().filter(|d| d.is_complete())?;
        Some(Load {
            model_version: download.model_version.clone(),
            layer: None,
        })
    }

    /// Whether the engine runs changed pieces of the newest version and no layer can take the place of
    /// another one. A newer version on its way makes the one before unnecessary.
    fn needs_previous(&self, engine: EngineReport) -> bool {
        let [newest] = self.downloads.as_slice() else {
            return false;
        };
        let version = newest.model_version.version;
        newest.is_complete()
            && newest.layers() == 1
            && engine.version == Some(version)
            && self.orders.has_changed(version)
            && !self.orders.is_unverified(version, None)
    }

    /// Starts the download of the version before the newest one. This agent alone takes part.
    fn download_previous(&self, now: Duration) -> Option<Download> {
        let newest = &self.downloads.last()?.model_version;
        let member = self.members.iter().find(|m| m.name == self.name)?.clone();
        let named = self.versions.iter().map(|known| known.version);
        // An agent that started after the newest version was named may not know the one before.
        let version = named
            .filter(|version| *version < newest.version)
            .max()
            .or_else(|| newest.version.checked_sub(1))
            .filter(|version| *version > 0)?;
        let model_version = ModelVersion::new(&newest.model, version);
        let mut download = Download::new(model_version, false, now);
        let context = PlanContext {
            members: &[member],
            origin_region: &self.origin_region,
            limits: &self.limits,
        };
        download.plan(now, &self.name, context);
        Some(download)
    }
}
