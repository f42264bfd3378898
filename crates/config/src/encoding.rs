//! Encoding of stored objects: bitcode bytes prefixed with a one-byte schema number.

use bitcode::{DecodeOwned, Encode};
use thiserror::Error;

/// Schema number of all objects that this crate writes.
pub const SCHEMA: u8 = 1;

/// Why bytes can't be decoded as an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The object has no bytes.
    #[error("the object is empty")]
    Empty,
    /// The object has a schema that this program does not support; a newer version may support it.
    #[error("the object has schema {found}; this program supports schema {SCHEMA}")]
    UnknownSchema {
        /// Schema number found.
        found: u8,
    },
    /// The schema is supported, but the bytes can't be decoded.
    #[error("the object is damaged")]
    Malformed,
    /// A name in the object violates the naming rule.
    #[error("a name in the object violates the naming rule")]
    InvalidName,
}

/// Encodes the schema number followed by `value`.
pub(crate) fn encode<T: Encode>(value: &T) -> Vec<u8> {
    let mut bytes = vec![SCHEMA];
    bytes.extend(bitcode::encode(value));
    bytes
}

/// Decodes the output of [`encode`].
pub(crate) fn decode<T: DecodeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        None => Err(DecodeError::Empty),
        Some((&SCHEMA, body)) => bitcode::decode(body).map_err(|_| DecodeError::Malformed),
        Some((&found, _)) => Err(DecodeError::UnknownSchema { found }),
    }
}
