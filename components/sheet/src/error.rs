//! What can be wrong with a sheet.

use displaydoc::Display;
use serde::de::DeserializeOwned;
use thiserror::Error;
use utils::digest::Digest;
use utils::Name;

/// The reason that a sheet is refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SheetError {
    /// section {section}: {cause}
    Syntax {
        /// The section that cannot be read.
        section: Name,
        /// The reader's own words, with line and column.
        cause: String,
    },
    /// {path}: {value} is not allowed, expected {allowed}
    Value {
        /// Where in the document the value stands.
        path: String,
        /// The value found.
        value: String,
        /// The values that are allowed.
        allowed: String,
    },
    /// version {version} has digest {digest} but was accepted with digest {accepted}
    SameVersion {
        /// The version that was published twice.
        version: u64,
        /// The digest of the new content.
        digest: Digest,
        /// The digest of the content in force.
        accepted: Digest,
    },
}

impl SheetError {
    /// A value at `path` that is not `allowed`.
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

/// Reads YAML and names the section in the error.
pub(crate) fn from_yaml<T: DeserializeOwned>(section: &str, text: &str) -> Result<T, SheetError> {
    serde_yaml_ng::from_str(text).map_err(|e| SheetError::Syntax {
        section: section.into(),
        cause: e.to_string(),
    })
}
