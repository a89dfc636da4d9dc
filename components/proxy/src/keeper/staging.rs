//! Handing pieces to the engine, reading them back, and the order to load them.

use std::sync::Arc;

use bytes::Bytes;
use control::keeper::{
    Event,
    Wanted, //
};
use utils::digest::Digest;
use weights::{
    Manifest,
    Piece, //
};

use super::Agent;

/// Pieces that do not match before the engine is taken to hold another version.
const MISMATCHES: usize = 4;

/// Times that the pieces are handed over before staging counts as failed.
const ROUNDS: usize = 3;

impl Agent {
    /// Takes over the pieces of the wanted version that the engine holds already.
    pub(super) async fn salvage(self: Arc<Self>, wanted: Wanted) {
        let Some(manifest) = self.store.manifest(&wanted.key) else {
            return;
        };
        let mut found = Vec::new();
        let mut mismatches = 0;
        for (piece, digest) in chunks(&manifest) {
            if self.store.get(&wanted.key, piece).is_some() {
                continue;
            }
            match self.read_back(&wanted, piece, digest).await {
                Some(data) => {
                    self.store.insert(wanted.key, piece, data);
                    found.push(piece);
                }
                None => mismatches += 1,
            }
            if found.is_empty() && mismatches >= MISMATCHES {
                break;
            }
        }
        self.tell(Event::Salvaged(wanted.key, found));
    }

    /// Makes sure that the engine holds every piece as it should be.
    pub(super) async fn stage(self: Arc<Self>, wanted: Wanted) {
        let whole = self.stage_all(&wanted).await;
        self.tell(Event::Staged(wanted.key, whole));
    }

    async fn stage_all(&self, wanted: &Wanted) -> bool {
        let Some(manifest) = self.store.manifest(&wanted.key) else {
            return false;
        };
        for _ in 0..ROUNDS {
            let mut spoilt = 0;
            for (piece, digest) in chunks(&manifest) {
                if self.read_back(wanted, piece, digest).await.is_some() {
                    continue;
                }
                spoilt += 1;
                let Some(data) = self.store.get(&wanted.key, piece) else {
                    return false;
                };
                if let Err(e) = (self.port.put)(wanted.model.clone(), piece, data).await {
                    log::warn!("the engine did not take piece {piece}: {e}");
                    return false;
                }
            }
            if spoilt == 0 {
                return true;
            }
        }
        false
    }

    /// A piece that the engine holds, if it is as it should be.
    async fn read_back(&self, wanted: &Wanted, piece: Piece, digest: &Digest) -> Option<Bytes> {
        let data = (self.port.get)(wanted.model.clone(), piece).await.ok()?;
        (Digest::of(&data) == *digest).then_some(data)
    }

    pub(super) async fn order(self: Arc<Self>, wanted: Wanted) {
        let result = (self.port.order)(wanted.model.clone(), wanted.version).await;
        if let Err(e) = &result {
            log::warn!(
                "the engine did not take the order for {}: {e}",
                wanted.version
            );
        }
        self.tell(Event::Ordered(wanted.key, result.is_ok()));
        self.read_engine().await;
    }
}

/// The chunks of a manifest by the numbers of their pieces.
fn chunks(manifest: &Manifest) -> impl Iterator<Item = (Piece, &Digest)> {
    (1..).zip(&manifest.chunks)
}
