//! Encoding of the chain's own objects: bitcode bytes prefixed with a one-byte schema number.

use bitcode::{DecodeOwned, Encode};
use bytes::Bytes;
use umberpond_config::DecodeError;

/// Schema number with which this program writes the head, manifests and records.
const SCHEMA: u8 = 3;

pub(crate) fn encode<T: Encode>(value: &T) -> Bytes {
    let mut bytes = vec![SCHEMA];
    bytes.extend(bitcode::encode(value));
    Bytes::from(bytes)
}

pub(crate) fn decode<T: DecodeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        None => Err(DecodeError::Empty),
        Some((&SCHEMA, body)) => bitcode::decode(body).map_err(|_| DecodeError::Malformed),
        Some((&found, _)) => Err(DecodeError::UnknownSchema { found }),
    }
}
