//! Pieces of weights in memory.

use std::collections::BTreeMap;
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use bytes::Bytes;
use utils::digest::Digest;
use weights::{
    Manifest,
    Piece,
    MANIFEST_PIECE, //
};

#[derive(Debug, Default)]
struct Held {
    pieces: BTreeMap<(Digest, Piece), Bytes>,
    manifests: BTreeMap<Digest, Arc<Manifest>>,
    bytes: usize,
    peak: usize,
}

/// The pieces that an agent holds, verified.
#[derive(Debug, Default)]
pub struct Store {
    held: Mutex<Held>,
}

impl Store {
    /// Takes a verified chunk.
    pub fn insert(&self, manifest: Digest, piece: Piece, data: Bytes) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.bytes += data.len();
        if let Some(old) = held.pieces.insert((manifest, piece), data) {
            held.bytes -= old.len();
        }
        held.peak = held.peak.max(held.bytes);
    }

    /// Takes a verified manifest and its text.
    pub fn insert_manifest(&self, digest: Digest, text: Bytes, manifest: Arc<Manifest>) {
        self.insert(digest, MANIFEST_PIECE, text);
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.manifests.insert(digest, manifest);
    }

    /// A piece that is held.
    pub fn get(&self, manifest: &Digest, piece: Piece) -> Option<Bytes> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.pieces.get(&(*manifest, piece)).cloned()
    }

    /// A manifest that is held.
    pub fn manifest(&self, digest: &Digest) -> Option<Arc<Manifest>> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.manifests.get(digest).cloned()
    }

    /// Drops the pieces of every other manifest than these.
    pub fn keep_only(&self, manifests: &[Digest]) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.pieces
            .retain(|(digest, _), _| manifests.contains(digest));
        held.manifests
            .retain(|digest, _| manifests.contains(digest));
        held.bytes = held.pieces.values().map(Bytes::len).sum();
    }

    /// Bytes held now, and the most that were held at once.
    pub fn usage(&self) -> (usize, usize) {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        (held.bytes, held.peak)
    }
}
