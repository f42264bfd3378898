//! Content hashes (BLAKE3, 256 bits).

use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// BLAKE3 hash of an immutable object, which is also the object's key in the store.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentHash([u8; 32]);

impl ContentHash {
    /// Hash of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Wraps a hash computed elsewhere.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The 32 bytes of the hash.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&blake3::Hash::from_bytes(self.0).to_hex()[..12])
    }
}

impl From<ContentHash> for String {
    fn from(hash: ContentHash) -> String {
        hash.to_string()
    }
}

impl TryFrom<String> for ContentHash {
    type Error = blake3::HexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        blake3::Hash::from_hex(text).map(|hash| Self(*hash.as_bytes()))
    }
}
