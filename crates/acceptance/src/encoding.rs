//! Encoding of the chain's own objects: bitcode bytes behind a one-byte schema number.

use bitcode::{DecodeOwned, Encode};
use bytes::Bytes;
use umberpond_config::DecodeError;

/// Schema number of the head, the manifest and the record as this program writes them.
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
