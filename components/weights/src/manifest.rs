//! The manifest of one version of a model's weights.

use std::ops::Range;

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;
use utils::digest::Digest;
use utils::Name;

use crate::Piece;

/// Lists the chunks of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Name,
    /// The size of each chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// The size of all chunks together, in bytes.
    pub total_bytes: u64,
    /// The digest of each chunk, in order.
    pub chunks: Vec<Digest>,
    /// The number of layers of the model, in whose order the chunks are.
    #[serde(default = "one_layer", skip_serializing_if = "is_one_layer")]
    pub layers: u32,
}

fn one_layer() -> u32 {
    1
}

fn is_one_layer(layers: &u32) -> bool {
    *layers == one_layer()
}

/// Why a manifest is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ManifestError {
    /// manifest has digest {found}, the sheet names {expected}
    Digest {
        /// The digest of the text received.
        found: Digest,
        /// The digest in the sheet.
        expected: Digest,
    },
    /// manifest cannot be read: {0}
    Syntax(String),
    /// manifest lists {chunks} chunks of {chunk_bytes} bytes for {total_bytes} bytes in all
    Size {
        /// The number of chunks that it lists.
        chunks: usize,
        /// The size of a chunk, in bytes.
        chunk_bytes: u32,
        /// The size of all chunks together, in bytes.
        total_bytes: u64,
    },
}

impl Manifest {
    /// Splits `content` into chunks and lists their digests.
    pub fn from_content(model: Name, version: Name, content: &[u8], chunk_bytes: u32) -> Self {
        Self {
            model,
            version,
            chunk_bytes,
            total_bytes: content.len() as u64,
            chunks: content
                .chunks(chunk_bytes.max(1) as usize)
                .map(Digest::of)
                .collect(),
            layers: one_layer(),
        }
    }

    /// The pieces that a layer consists of. It shares the first and the last one with its neighbours
    /// unless the chunks divide evenly.
    pub fn layer_pieces(&self, layer: u32) -> Range<Piece> {
        let chunks = self.chunks.len() as u64;
        let layers = u64::from(self.layers.max(1));
        let first = u64::from(layer) * chunks / layers;
        let end = (u64::from(layer) + 1) * chunks;
        let end = end.div_ceil(layers).min(chunks);
        let piece = |chunk: u64| Piece::try_from(chunk + 1).unwrap_or(Piece::MAX);
        piece(first)..piece(end)
    }

    /// Verifies the digest of `text` and parses it.
    pub fn parse(text: &[u8], expected: &Digest) -> Result<Self, ManifestError> {
        let found = Digest::of(text);
        if found != *expected {
            return Err(ManifestError::Digest {
                found,
                expected: *expected,
            });
        }
        Self::parse_unverified(text)
    }

    /// Parses a manifest without verifying a digest, for manifests whose digest is not published.
    pub fn parse_unverified(text: &[u8]) -> Result<Self, ManifestError> {
        let manifest: Self =
            serde_yaml_ng::from_slice(text).map_err(|e| ManifestError::Syntax(e.to_string()))?;
        manifest.check()?;
        Ok(manifest)
    }

    /// The manifest as YAML text, as it is published.
    pub fn to_text(&self) -> Vec<u8> {
        serde_yaml_ng::to_string(self)
            .unwrap_or_default()
            .into_bytes()
    }

    /// The number of pieces, the manifest included.
    pub fn piece_count(&self) -> usize {
        self.chunks.len() + 1
    }

    /// The digest that the bytes of a chunk must have. `None` for the manifest or beyond the end.
    pub fn chunk_digest(&self, piece: Piece) -> Option<&Digest> {
        self.chunks.get((piece as usize).checked_sub(1)?)
    }

    fn check(&self) -> Result<(), ManifestError> {
        let expected_chunks = self
            .total_bytes
            .div_ceil(u64::from(self.chunk_bytes.max(1)));
        if self.chunk_bytes > 0
            && self.total_bytes > 0
            && expected_chunks == self.chunks.len() as u64
        {
            return Ok(());
        }
        Err(ManifestError::Size {
            chunks: self.chunks.len(),
            chunk_bytes: self.chunk_bytes,
            total_bytes: self.total_bytes,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn manifest() -> Manifest {
        Manifest::from_content("drafting".into(), "v1".into(), &[7; 100], 30)
    }

    #[test]
    fn a_manifest_round_trips_through_its_text() {
        let manifest = manifest();
        let text = manifest.to_text();
        let parsed = Manifest::parse(&text, &Digest::of(&text)).unwrap();
        assert_eq!(parsed, manifest);
        assert_eq!(parsed.piece_count(), 5);
        assert_eq!(parsed.chunk_digest(0), None);
        assert_eq!(parsed.chunk_digest(4), Some(&Digest::of(&[7; 10])));
        assert_eq!(parsed.chunk_digest(5), None);
    }

    struct Case {
        name: &'static str,
        change: fn(&mut Manifest),
    }

    #[test]
    fn manifests_with_inconsistent_sizes_are_rejected() {
        let cases = [
            Case {
                name: "one chunk too few",
                change: |m| {
                    m.chunks.pop();
                },
            },
            Case {
                name: "no chunk size",
                change: |m| m.chunk_bytes = 0,
            },
            Case {
                name: "no content",
                change: |m| {
                    m.total_bytes = 0;
                    m.chunks.clear();
                },
            },
        ];
        for case in cases {
            let mut manifest = manifest();
            (case.change)(&mut manifest);
            let text = manifest.to_text();
            let result = Manifest::parse(&text, &Digest::of(&text));
            assert!(
                matches!(result, Err(ManifestError::Size { .. })),
                "{}: {result:?}",
                case.name
            );
        }
    }

    #[test]
    fn a_manifest_with_another_digest_is_rejected() {
        let expected = Digest::of(&manifest().to_text());
        let mut other = manifest();
        other.version = "v2".into();
        let result = Manifest::parse(&other.to_text(), &expected);
        assert!(matches!(result, Err(ManifestError::Digest { .. })));
    }
}
