//! Counts the bytes between the region of this process and others.

use utils::Name;

/// What the bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The bodies of requests to targets.
    Request,
    /// The bodies of their answers.
    Answer,
    /// The answers of the platform's store.
    Configuration,
    /// Pieces of weights.
    Pieces,
}

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Configuration => "configuration",
            Self::Pieces => "pieces",
        }
    }
}

/// Stands for the region of the platform's store, which is not known.
pub(crate) const STORE: &str = "store";

/// Counts bytes that went from one region to another. Looks the counter up by its labels, so this is
/// called once for a body, an answer or a piece.
pub(crate) fn count(kind: Kind, from: &Name, to: &Name, bytes: u64) {
    if bytes == 0 {
        return;
    }
    let counter = metrics::counter!(
        "medlarproxy_region_bytes_total",
        "kind" => kind.as_str(),
        "from" => from.to_string(),
        "to" => to.to_string()
    );
    counter.increment(bytes);
}
