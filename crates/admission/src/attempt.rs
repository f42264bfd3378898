//! What the gate is told of one attempt.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use umberpond_config::RequestClass;
use umberpond_model::{ContentHash, Millis};

/// Identity of one request, the same for all its attempts; chosen at random by the outbound proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Digest of a caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Digest of `key` inside `scope`. Equal keys of different scopes (say, of two routes) are different keys.
    #[must_use]
    pub fn of(scope: &str, key: &[u8]) -> Self {
        let length = u64::try_from(scope.len()).unwrap_or(u64::MAX).to_le_bytes();
        let text = [length.as_slice(), scope.as_bytes(), key].concat();
        let digest = ContentHash::of(&text);
        let (head, _) = digest.as_bytes().split_first_chunk::<16>().expect("a digest holds 32 bytes");
        Self(u128::from_le_bytes(*head))
    }

    pub(crate) const fn value(self) -> u128 {
        self.0
    }
}

/// One arrival at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Identity of the request.
    pub request: RequestId,
    /// Number of the attempt, from 1. An outbound proxy sends each number at most once.
    pub number: u32,
    /// Importance under overload.
    pub class: RequestClass,
    /// Whether the request may run more than once. If so, duplicates are let through.
    pub idempotent: bool,
    /// Time left until the caller gives up, as stated with the attempt.
    pub remaining: Millis,
    /// Time since the request's first attempt was sent, as stated with this attempt.
    pub age: Millis,
    /// The caller's own key, if it gave one.
    pub key: Option<KeyDigest>,
}
