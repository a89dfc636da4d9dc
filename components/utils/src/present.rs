//! Fields that may be left out, but not left without a value.

use serde::{
    Deserialize,
    Deserializer, //
};

/// Deserializes a field that is there, for `deserialize_with` beside `default`. A null, which serde reads as a
/// missing field, is left to the value's own type: where a missing field lifts a restriction, a forgotten value
/// must not. Most types reject a null; YAML reads one as text, so who takes a text has to check it.
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
