//! Services and the localities in which each may be served.

use std::fmt;
use std::str::FromStr;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use umberpond_model::{Locality, LocalityRule, ServiceName};

/// Public key to which secrets for a service's nodes are sealed (X25519, 32 bytes).
#[derive(Clone, Copy, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SealKey(pub [u8; SEAL_KEY_BYTES]);

/// Length of a seal key, in bytes.
pub const SEAL_KEY_BYTES: usize = 32;

/// A text that is no seal key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a seal key is written as 64 hexadecimal digits")]
pub struct InvalidSealKey;

impl fmt::Display for SealKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for SealKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SealKey({self})")
    }
}

impl FromStr for SealKey {
    type Err = InvalidSealKey;

    fn from_str(text: &str) -> Result<Self, InvalidSealKey> {
        if text.len() != 2 * SEAL_KEY_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(InvalidSealKey);
        }
        let mut key = [0; SEAL_KEY_BYTES];
        for (index, byte) in key.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidSealKey)?;
        }
        Ok(Self(key))
    }
}

impl TryFrom<String> for SealKey {
    type Error = InvalidSealKey;

    fn try_from(text: String) -> Result<Self, InvalidSealKey> {
        text.parse()
    }
}

impl From<SealKey> for String {
    fn from(key: SealKey) -> String {
        key.to_string()
    }
}

/// One service as it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Localities in which a request to this service may be served. A hard filter, never empty.
    pub allowed: Vec<LocalityRule>,
    /// Requests one back end runs at once.
    pub slots: u32,
    /// Connections one back end accepts.
    pub connections: u32,
    /// Key to which secrets for this service are sealed; absent if it may hold none.
    pub seal_key: Option<SealKey>,
}

impl Service {
    /// Whether a request to this service may be served in `locality`.
    #[must_use]
    pub fn allows(&self, locality: &Locality) -> bool {
        self.allowed.iter().any(|rule| rule.allows(locality))
    }
}
