//! The manifest of one version of a model's weights.

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
    /// Bytes in each chunk but the last.
    pub chunk_bytes: u32,
    /// Bytes in all chunks together.
    pub total_bytes: u64,
    /// The digest of each chunk, in order.
    pub chunks: Vec<Digest>,
}

/// Why a manifest is refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ManifestError {
    /// manifest has digest {found}, the sheet names {wanted}
    Digest {
        /// The digest of the text received.
        found: Digest,
        /// The digest in the sheet.
        wanted: Digest,
    },
    /// manifest cannot be read: {0}
    Syntax(String),
    /// manifest lists {chunks} chunks of {chunk_bytes} bytes for {total_bytes} bytes in all
    Size {
        /// How many chunks it lists.
        chunks: usize,
        /// Bytes in each chunk.
        chunk_bytes: u32,
        /// Bytes in all.
        total_bytes: u64,
    },
}

impl Manifest {
    /// Cuts `content` into chunks and lists them.
    pub fn of(model: Name, version: Name, content: &[u8], chunk_bytes: u32) -> Self {
        Self {
            model,
            version,
            chunk_bytes,
            total_bytes: content.len() as u64,
            chunks: content
                .chunks(chunk_bytes.max(1) as usize)
                .map(Digest::of)
                .collect(),
        }
    }

    /// Checks the digest of `text` and reads it.
    pub fn parse(text: &[u8], wanted: &Digest) -> Result<Self, ManifestError> {
        let found = Digest::of(text);
        if found != *wanted {
            return Err(ManifestError::Digest {
                found,
                wanted: *wanted,
            });
        }
        Self::read(text)
    }

    /// Reads a manifest whose digest nobody publishes.
    pub fn read(text: &[u8]) -> Result<Self, ManifestError> {
        let manifest: Self =
            serde_yaml_ng::from_slice(text).map_err(|e| ManifestError::Syntax(e.to_string()))?;
        manifest.check()?;
        Ok(manifest)
    }

    /// The text that is published.
    pub fn to_text(&self) -> Vec<u8> {
        serde_yaml_ng::to_string(self)
            .unwrap_or_default()
            .into_bytes()
    }

    /// The number of pieces, the manifest included.
    pub fn pieces(&self) -> usize {
        self.chunks.len() + 1
    }

    /// The digest that the bytes of a chunk must have. `None` for the manifest or beyond the end.
    pub fn chunk_digest(&self, piece: Piece) -> Option<&Digest> {
        self.chunks.get((piece as usize).checked_sub(1)?)
    }

    fn check(&self) -> Result<(), ManifestError> {
        let needed = self
            .total_bytes
            .div_ceil(u64::from(self.chunk_bytes.max(1)));
        if self.chunk_bytes > 0 && self.total_bytes > 0 && needed == self.chunks.len() as u64 {
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
        Manifest::of("drafting".into(), "v1".into(), &[7; 100], 30)
    }

    #[test]
    fn text_round_trips_and_counts_pieces() {
        let manifest = manifest();
        let text = manifest.to_text();
        let parsed = Manifest::parse(&text, &Digest::of(&text)).unwrap();
        assert_eq!(parsed, manifest);
        assert_eq!(parsed.pieces(), 5);
        assert_eq!(parsed.chunk_digest(0), None);
        assert_eq!(parsed.chunk_digest(4), Some(&Digest::of(&[7; 10])));
        assert_eq!(parsed.chunk_digest(5), None);
    }

    struct Case {
        name: &'static str,
        break_it: fn(&mut Manifest),
    }

    #[test]
    fn manifests_that_do_not_add_up_are_refused() {
        let cases = [
            Case {
                name: "a chunk is missing",
                break_it: |m| {
                    m.chunks.pop();
                },
            },
            Case {
                name: "no chunk size",
                break_it: |m| m.chunk_bytes = 0,
            },
            Case {
                name: "empty",
                break_it: |m| {
                    m.total_bytes = 0;
                    m.chunks.clear();
                },
            },
        ];
        for case in cases {
            let mut manifest = manifest();
            (case.break_it)(&mut manifest);
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
    fn another_text_under_the_same_name_is_refused() {
        let wanted = Digest::of(&manifest().to_text());
        let mut other = manifest();
        other.version = "v2".into();
        let result = Manifest::parse(&other.to_text(), &wanted);
        assert!(matches!(result, Err(ManifestError::Digest { .. })));
    }
}
