//! Distribution of a model's weights to all its instances.
//!
//! A version's weights are a manifest and numbered chunks. Both travel as pieces: piece zero is
//! the manifest, piece `i + 1` is chunk `i`. [`Transfer`] is a reducer that decides which
//! piece to fetch from which source. It does no I/O: it takes [`Event`]s and returns [`Effect`]s.

mod manifest;
mod peers;
mod plan;
mod transfer;
mod uploads;

pub use manifest::{
    Manifest,
    ManifestError, //
};
pub use peers::TransferReport;
pub use plan::{
    Member,
    Plan,
    CANDIDATES_PER_PIECE, //
};
pub use transfer::{
    Effect,
    Event,
    FailureCause,
    Limits,
    Source,
    Transfer, //
};
pub use uploads::{
    Denial,
    Uploads, //
};

/// The index of a piece: zero for the manifest, `i + 1` for chunk `i`.
pub type Piece = u32;

/// The index of the manifest.
pub const MANIFEST_PIECE: Piece = 0;
