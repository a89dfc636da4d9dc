//! Manifests, chunks and the reducer that spreads them over the instances of a model.
//!
//! A version's weights are a manifest and numbered chunks. Both travel as pieces: piece zero is
//! the manifest, piece `i + 1` is chunk `i`. The [`Transfer`] reducer decides which piece to draw
//! from where; it does no I/O.

mod manifest;
mod peers;
mod plan;
mod transfer;
mod uploads;

pub use manifest::{
    Manifest,
    ManifestError, //
};
pub use peers::Report;
pub use plan::{
    Member,
    Plan,
    RANKS, //
};
pub use transfer::{
    Effect,
    Event,
    FailCause,
    Limits,
    Source,
    Transfer, //
};
pub use uploads::{
    Denial,
    Uploads, //
};

/// The number of a piece: zero for the manifest, `i + 1` for chunk `i`.
pub type Piece = u32;

/// The piece that is the manifest.
pub const MANIFEST_PIECE: Piece = 0;
