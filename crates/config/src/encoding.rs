//! Encoding of stored objects: bitcode bytes behind a one-byte schema number.

use bitcode::{DecodeOwned, Encode};
use thiserror::Error;

/// Schema number of every object this crate writes.
pub const SCHEMA: u8 = 1;

/// Bytes that are not an object this program knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// There are no bytes at all.
    #[error("the object is empty")]
    Empty,
    /// The object was written under a schema that this program doesn't know; a newer program may.
    #[error("the object has schema {found}; this program knows schema {SCHEMA}")]
    UnknownSchema {
        /// Schema number found.
        found: u8,
    },
    /// The schema is known but the bytes don't decode.
    #[error("the object is damaged")]
    Malformed,
    /// A name in the object breaks the naming rule.
    #[error("a name in the object breaks the naming rule")]
    InvalidName,
}

/// Encodes `value` behind the schema number.
pub(crate) fn encode<T: Encode>(value: &T) -> Vec<u8> {
    let mut bytes = vec![SCHEMA];
    bytes.extend(bitcode::encode(value));
    bytes
}

/// Decodes what [`encode`] wrote.
pub(crate) fn decode<T: DecodeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        None => Err(DecodeError::Empty),
        Some((&SCHEMA, body)) => bitcode::decode(body).map_err(|_| DecodeError::Malformed),
        Some((&found, _)) => Err(DecodeError::UnknownSchema { found }),
    }
}
