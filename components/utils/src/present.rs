//! Fields that may be left out, but not left without a value.

use serde::{
    Deserialize,
    Deserializer, //
};

/// Deserializes a field that is there, for `deserialize_with` beside `default`. A null, which serde reads as a
/// missing field, is an error: where a missing field lifts a restriction, a forgotten value must not.
///
/// # Errors
///
/// Returns the error of the value's own type.
pub fn deserialize_present<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    T::deserialize(deserializer).map(Some)
}
