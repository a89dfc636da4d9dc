//! SHA-256 digests that identify content.

use std::fmt;
use std::str::FromStr;

use serde::de::Visitor;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer, //
};
use sha2::{
    Digest as _,
    Sha256, //
};

/// Length of a digest in bytes.
pub const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of some content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// Computes the digest of the concatenation of `parts`.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// The all-zero digest: the `previous` value of the first line in a hash chain.
    pub const ZERO: Self = Self([0; DIGEST_BYTES]);

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// The first eight bytes in hexadecimal, for log messages.
    pub fn to_short_hex(&self) -> String {
        hex::encode(&self.0[..8])
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({})", self.to_short_hex())
    }
}

/// The error for text that is not exactly 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseDigestError;

impl fmt::Display for ParseDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest is 64 hexadecimal digits")
    }
}

impl std::error::Error for ParseDigestError {}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseDigestError)?;
        Ok(Self(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(DigestVisitor)
        } else {
            <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self)
        }
    }
}

/// Deserializes the text form. As a visitor, it lets the deserializer add the field to the error.
struct DigestVisitor;

impl Visitor<'_> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{ParseDigestError}")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Digest, E> {
        text.parse()
            .map_err(|e| E::custom(format!("{e}, got {text:?}")))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_form_round_trips() {
        let digest = Digest::of(b"weights");
        let text = serde_json::to_string(&digest).unwrap();
        assert_eq!(serde_json::from_str::<Digest>(&text).unwrap(), digest);
    }

    #[test]
    fn invalid_text_is_rejected() {
        for text in ["", "12", &"g".repeat(64), &"0".repeat(65)] {
            assert_eq!(text.parse::<Digest>(), Err(ParseDigestError), "{text:?}");
        }
    }

    #[test]
    fn parts_are_hashed_as_their_concatenation() {
        assert_eq!(Digest::of_parts(&[b"ab", b"c"]), Digest::of(b"abc"));
    }
}
