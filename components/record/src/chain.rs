//! Lines chained by hash, so that a gap or an edit shows.

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
pub struct Line {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The instance of the process.
    pub process: Name,
    /// The process, for an instance whose process was restarted.
    pub incarnation: u64,
    /// Counts the lines of the process from zero.
    pub sequence: u64,
    /// The version of the sheet in force.
    pub sheet: u64,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
    /// The hash of the line before, zero for the first.
    pub previous: Digest,
    /// The hash of this line without this field.
    pub hash: Digest,
}

/// Why a line of the record is not believed.
#[derive(Debug, Display, Error)]
pub enum LineError {
    /// not a line of the record: {0}
    Syntax(String),
    /// the content does not have the hash {0}
    Hash(Digest),
}

/// Makes the lines of one process.
#[derive(Clone, Debug)]
pub struct Chain {
    process: Name,
    incarnation: u64,
    sequence: u64,
    previous: Digest,
}

impl Chain {
    /// Starts the chain of a process.
    pub fn new(process: Name, incarnation: u64) -> Self {
        Self {
            process,
            incarnation,
            sequence: 0,
            previous: Digest::ZERO,
        }
    }

    /// Makes the next line.
    pub fn append(&mut self, at_ms: u64, sheet: u64, decision: Decision) -> Line {
        let mut line = Line {
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

impl Line {
    /// The line as JSON.
    pub fn to_json(&self) -> String {
        // Lines hold strings, numbers and enums only, which JSON can always express.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a line and checks its hash.
    pub fn parse(text: &str) -> Result<Self, LineError> {
        let line: Self =
            serde_json::from_str(text).map_err(|e| LineError::Syntax(e.to_string()))?;
        if line.compute_hash() != line.hash {
            return Err(LineError::Hash(line.hash));
        }
        Ok(line)
    }

    fn compute_hash(&self) -> Digest {
        let mut content = self.clone();
        content.hash = Digest::ZERO;
        Digest::of(content.to_json().as_bytes())
    }
}
