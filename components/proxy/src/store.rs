//! Holds pieces of weights in memory.

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
struct Contents {
    pieces: BTreeMap<(Digest, Piece), Bytes>,
    manifests: BTreeMap<Digest, Arc<Manifest>>,
    bytes: usize,
    peak_bytes: usize,
}

/// The verified pieces that an agent holds.
#[derive(Debug, Default)]
pub struct PieceStore {
    contents: Mutex<Contents>,
}

impl PieceStore {
    /// Adds a verified piece.
    pub fn insert(&self, manifest: Digest, piece: Piece, data: Bytes) {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.bytes += data.len();
        if let Some(old) = contents.pieces.insert((manifest, piece), data) {
            contents.bytes -= old.len();
        }
        contents.peak_bytes = contents.peak_bytes.max(contents.bytes);
    }

    /// Adds a verified manifest and its text.
    pub fn insert_manifest(&self, digest: Digest, text: Bytes, manifest: Arc<Manifest>) {
        self.insert(digest, MANIFEST_PIECE, text);
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.manifests.insert(digest, manifest);
    }

    /// The bytes of a piece, if it is held.
    pub fn get(&self, manifest: &Digest, piece: Piece) -> Option<Bytes> {
        let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.pieces.get(&(*manifest, piece)).cloned()
    }

    /// The manifest with this digest, if it is held.
    pub fn manifest(&self, digest: &Digest) -> Option<Arc<Manifest>> {
        let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.manifests.get(digest).cloned()
    }

    /// Drops the pieces of all manifests except these.
    pub fn keep_only(&self, manifests: &[Digest]) {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents
            .pieces
            .retain(|(digest, _), _| manifests.contains(digest));
        contents
            .manifests
            .retain(|digest, _| manifests.contains(digest));
        contents.bytes = contents.pieces.values().map(Bytes::len).sum();
    }

    /// Bytes held now, and the largest number of bytes held at once.
    pub fn usage(&self) -> (usize, usize) {
        let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        (contents.bytes, contents.peak_bytes)
    }
}
