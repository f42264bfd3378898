//! The public key of a service and its text form.

use std::fmt;
use std::str::FromStr;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Public key to which secrets for a service's nodes are sealed (X25519, 32 bytes).
#[derive(Clone, Copy, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SealKey(pub [u8; SEAL_KEY_BYTES]);

/// Length of a seal key, in bytes.
pub const SEAL_KEY_BYTES: usize = 32;

const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// The text is not a valid seal key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a seal key is written as 64 hexadecimal digits")]
pub struct InvalidSealKey;

impl fmt::Display for SealKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&encode_key(&self.0))
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
        decode_key(text.as_bytes()).map(Self)
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

/// Encodes a key as 64 hexadecimal digits.
pub(crate) fn encode_key(key: &[u8; SEAL_KEY_BYTES]) -> String {
    let digit = |value: u8| char::from(HEX_DIGITS[usize::from(value)]);
    key.iter().flat_map(|byte| [digit(byte >> 4), digit(byte & 0xf)]).collect()
}

/// Decodes the output of [`encode_key`]; accepts upper-case and lower-case digits.
pub(crate) fn decode_key(text: &[u8]) -> Result<[u8; SEAL_KEY_BYTES], InvalidSealKey> {
    if text.len() != 2 * SEAL_KEY_BYTES {
        return Err(InvalidSealKey);
    }
    let mut key = [0; SEAL_KEY_BYTES];
    for (byte, digits) in key.iter_mut().zip(text.chunks_exact(2)) {
        *byte = 16 * digit_value(digits[0])? + digit_value(digits[1])?;
    }
    Ok(key)
}

fn digit_value(digit: u8) -> Result<u8, InvalidSealKey> {
    let position = HEX_DIGITS.iter().position(|known| *known == digit.to_ascii_lowercase());
    position.and_then(|value| u8::try_from(value).ok()).ok_or(InvalidSealKey)
}
