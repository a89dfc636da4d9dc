//! The errors of sheet documents.

use displaydoc::Display;
use serde::de::DeserializeOwned;
use thiserror::Error;
use utils::digest::Digest;
use utils::Name;

/// Why a sheet is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SheetError {
    /// section {section}: {cause}
    Syntax {
        /// The section that cannot be read.
        section: Name,
        /// The parser's message, with line and column.
        cause: String,
    },
    /// {path}: {value} is not allowed, expected {allowed}
    Value {
        /// The path of the value in the document.
        path: String,
        /// The value in the document.
        value: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// version {version} has digest {digest} but was accepted with digest {accepted}
    SameVersion {
        /// The version that was published twice.
        version: u64,
        /// The digest of the new content.
        digest: Digest,
        /// The digest of the active content.
        accepted: Digest,
    },
}

impl SheetError {
    /// An error for a value at `path` that is not allowed.
    pub(crate) fn value(
        path: impl Into<String>,
        value: impl ToString,
        allowed: impl Into<String>,
    ) -> Self {
        Self::Value {
            path: path.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }
}

/// Parses YAML; the error names the section.
pub(crate) fn from_yaml<T: DeserializeOwned>(section: &str, text: &str) -> Result<T, SheetError> {
    serde_yaml_ng::from_str(text).map_err(|e| SheetError::Syntax {
        section: section.into(),
        cause: e.to_string(),
    })
}
