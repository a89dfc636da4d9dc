//! Record lines linked by a hash chain, which makes missing and edited lines detectable.

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;
use utils::digest::Digest;
use utils::Name;

use crate::decision::Decision;

/// One line of the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Line")]
pub struct RecordLine {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The name of the instance on which the process runs.
    pub process: Name,
    /// Distinguishes the processes that ran on the instance one after the other.
    pub incarnation: u64,
    /// The zero-based index of the line among those of its process.
    pub sequence: u64,
    /// The version of the process's active sheet.
    pub sheet: u64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
    /// The hash of the previous line, or [`Digest::ZERO`] in the first line.
    pub previous: Digest,
    /// The hash of this line, computed with [`Digest::ZERO`] in this field.
    pub hash: Digest,
}

/// Why a line is not a valid line of the record.
#[derive(Debug, Display, Error)]
pub enum LineError {
    /// not a line of the record: {0}
    Syntax(String),
    /// the content does not have the hash {0}
    Hash(Digest),
}

/// Builds the hash-chained lines of one process.
#[derive(Clone, Debug)]
pub struct RecordChain {
    process: Name,
    incarnation: u64,
    sequence: u64,
    previous: Digest,
}

impl RecordChain {
    /// Creates an empty chain for a process.
    pub fn new(process: Name, incarnation: u64) -> Self {
        Self {
            process,
            incarnation,
            sequence: 0,
            previous: Digest::ZERO,
        }
    }

    /// Builds the next line.
    pub fn append(&mut self, at_ms: u64, sheet: u64, decision: Decision) -> RecordLine {
        let mut line = RecordLine {
            at_ms,
            process: self.process.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            sheet,
            decision,
            previous: self.previous,
            hash: Digest::ZERO,
        };
        line.hash = line.compute_hash();
        self.sequence += 1;
        self.previous = line.hash;
        line
    }
}

impl RecordLine {
    /// Serializes the line as JSON.
    pub fn to_json(&self) -> String {
        // Serialization cannot fail: lines contain only strings, numbers and enums.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses a line and verifies its hash.
    pub fn parse(text: &str) -> Result<Self, LineError> {
        let line: Self =
            serde_json::from_str(text).map_err(|e| LineError::Syntax(e.to_string()))?;
        if line.compute_hash() != line.hash {
            return Err(LineError::Hash(line.hash));
        }
        Ok(line)
    }

    fn compute_hash(&self) -> Digest {
        let mut unhashed = self.clone();
        unhashed.hash = Digest::ZERO;
        Digest::of(unhashed.to_json().as_bytes())
    }
}
