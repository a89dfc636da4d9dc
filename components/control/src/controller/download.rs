//! The download of one version's pieces, and the check of those that the engine holds already.

use std::time::Duration;

use utils::Name;
use weights::{
    Limits,
    Member,
    Piece,
    Plan,
    Source,
    Transfer,
    TransferReport, //
};

use super::retirement::INNER_LAYER;
use super::{
    Effect,
    ModelVersion, //
};

/// The inputs of a transfer plan other than the version.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlanContext<'a> {
    pub members: &'a [Member],
    pub origin_region: &'a Name,
    pub limits: &'a Limits,
}

/// The progress of comparing the pieces that the engine holds with the manifest. Those that match
/// need not be downloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineCheck {
    /// The check has not begun.
    Pending,
    /// The check is in progress.
    Running,
    /// The pieces that match are known.
    Done,
}

/// The download of one version.
#[derive(Debug)]
pub(super) struct Download {
    pub model_version: ModelVersion,
    /// `None` until the members are known, and after a stop.
    transfer: Option<Transfer>,
    engine_check: EngineCheck,
    /// Whether pieces are downloaded only once the engine is up and its pieces were checked.
    wait_for_engine: bool,
    started_at: Duration,
}

impl Download {
    pub fn new(model_version: ModelVersion, wait_for_engine: bool, now: Duration) -> Self {
        Self {
            model_version,
            transfer: None,
            engine_check: EngineCheck::Pending,
            wait_for_engine,
            started_at: now,
        }
    }

    /// The size of the version, once its manifest is known.
    pub fn total_bytes(&self) -> Option<u64> {
        Some(self.transfer.as_ref()?.manifest()?.total_bytes)
    }

    /// The number of layers, zero until the manifest is known.
    pub fn layers(&self) -> u32 {
        let manifest = self.transfer.as_ref().and_then(Transfer::manifest);
        manifest.map_or(0, |manifest| manifest.layers)
    }

    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    pub fn is_complete(&self) -> bool {
        self.transfer.as_ref().is_some_and(Transfer::is_complete)
    }

    /// A layer other than the first one whose pieces are all held. An engine that holds the first layer
    /// alone could be taken for one that holds all.
    pub fn held_inner_layer(&self) -> Option<u32> {
        let transfer = self.transfer.as_ref()?;
        let manifest = transfer.manifest()?;
        let is_held = |layer: &u32| manifest.layer_pieces(*layer).all(|p| transfer.holds(p));
        (INNER_LAYER..manifest.layers).find(is_held)
    }

    pub fn report(&self) -> Option<TransferReport> {
        self.transfer.as_ref().map(Transfer::report)
    }

    /// The agents of the data centre, in the order in which they update their engines.
    pub fn data_centre_peers(&self, name: &str) -> Vec<Name> {
        let transfer = self.transfer.as_ref();
        transfer.map_or_else(Vec::new, |t| t.plan().data_centre_peers(name))
    }

    /// Plans the transfer among these members and keeps the pieces received so far.
    pub fn plan(&mut self, now: Duration, name: &Name, context: PlanContext<'_>) {
        let key = self.model_version.key;
        let members = context.members.to_vec();
        let Some(plan) = Plan::from_members(key, context.origin_region.clone(), members, name)
        else {
            return;
        };
        if let Some(transfer) = &mut self.transfer {
            transfer.set_plan(plan);
            return;
        }
        let mut transfer = Transfer::new(name.clone(), plan, context.limits.clone(), now);
        transfer.set_needs_pieces(now, true);
        self.transfer = Some(transfer);
    }

    /// Cancels all fetches and ends the transfer.
    pub fn stop(&mut self, effects: &mut Vec<Effect>) {
        let cancels = self.transfer.take().map(|mut transfer| transfer.stop());
        let cancels = cancels.unwrap_or_default().into_iter();
        effects.extend(cancels.map(|effect| Effect::Transfer(self.model_version.clone(), effect)));
    }

    /// Passes an event to the transfer.
    pub fn handle(&mut self, now: Duration, event: weights::Event, effects: &mut Vec<Effect>) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        // Pieces that the engine holds need not be downloaded, so fetches wait for the check.
        let is_manifest = matches!(event, weights::Event::ManifestReceived(..));
        if is_manifest && self.engine_check != EngineCheck::Done {
            transfer.set_needs_pieces(now, false);
        }
        for effect in transfer.step(now, event) {
            effects.push(Effect::Transfer(self.model_version.clone(), effect));
        }
    }

    /// Starts the check of the engine's pieces once the manifest and the engine are available. If
    /// the engine is not up, fetches start at once unless the download waits for it.
    pub fn check_engine(&mut self, now: Duration, engine_is_up: bool, effects: &mut Vec<Effect>) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        if self.engine_check != EngineCheck::Pending || transfer.manifest().is_none() {
            return;
        }
        if engine_is_up {
            self.engine_check = EngineCheck::Running;
            effects.push(Effect::CheckEngine(self.model_version.clone()));
        } else if !self.wait_for_engine {
            transfer.set_needs_pieces(now, true);
        }
    }

    /// Adds the pieces that the engine holds and that match the manifest, and fetches the others.
    pub fn finish_engine_check(
        &mut self,
        now: Duration,
        pieces: Vec<Piece>,
        effects: &mut Vec<Effect>,
    ) {
        self.engine_check = EngineCheck::Done;
        if let Some(transfer) = &mut self.transfer {
            transfer.set_needs_pieces(now, true);
        }
        self.add_held_pieces(now, pieces, effects);
    }

    fn add_held_pieces(&mut self, now: Duration, pieces: Vec<Piece>, effects: &mut Vec<Effect>) {
        for piece in pieces {
            self.handle(
                now,
                weights::Event::ChunkReceived(piece, Source::Origin),
                effects,
            );
        }
    }
}
