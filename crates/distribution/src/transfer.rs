//! What one node sends another.

use std::io::{Read, Write};

use bitcode::{Decode, Encode};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use thiserror::Error;
use umberpond_config::DecodeError;
use umberpond_model::{ContentHash, Version};

/// Length in bytes from which a transfer is compressed.
const COMPRESSED_FROM: usize = 4 * 1024;
/// Longest transfer that is decompressed, in bytes.
const MAX_DECOMPRESSED: u64 = 64 * 1024 * 1024;

/// Names a configuration that a node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Held {
    /// Its version.
    pub version: Version,
    /// Hash of its content.
    pub hash: ContentHash,
}

/// The way to a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Transfer {
    /// The sender holds nothing newer.
    NothingNewer,
    /// The difference from a configuration that the receiver holds.
    Difference {
        /// The configuration that the difference starts from.
        from: Held,
        /// The configuration that it leads to.
        to: Held,
        /// The difference, encoded.
        delta: Vec<u8>,
    },
    /// A whole configuration.
    Whole {
        /// The configuration.
        to: Held,
        /// Its content, encoded.
        content: Vec<u8>,
    },
}

/// A transfer as it travels.
#[derive(Debug, Encode, Decode)]
enum Packed {
    Plain(Transfer),
    /// An encoded transfer, compressed by DEFLATE.
    Compressed(Vec<u8>),
}

impl Transfer {
    /// The transfer as it travels; a long one is compressed.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let encoded = bitcode::encode(self);
        if encoded.len() < COMPRESSED_FROM {
            return bitcode::encode(&Packed::Plain(self.clone()));
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // Writing to memory does not fail; if it did, the transfer would travel as it is.
        let compressed = encoder.write_all(&encoded).and_then(|()| encoder.finish());
        let packed = compressed.map_or_else(|_| Packed::Plain(self.clone()), Packed::Compressed);
        bitcode::encode(&packed)
    }

    /// Reads what [`Transfer::to_bytes`] wrote.
    ///
    /// # Errors
    /// Returns [`TransferError::Damaged`] for anything else.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, TransferError> {
        let packed = bitcode::decode(bytes).map_err(|_| TransferError::Damaged)?;
        let compressed = match packed {
            Packed::Plain(transfer) => return Ok(transfer),
            Packed::Compressed(compressed) => compressed,
        };
        let mut encoded = Vec::new();
        let mut decoder = DeflateDecoder::new(&compressed[..]).take(MAX_DECOMPRESSED);
        decoder.read_to_end(&mut encoded).map_err(|_| TransferError::Damaged)?;
        bitcode::decode(&encoded).map_err(|_| TransferError::Damaged)
    }
}

/// A transfer that could not be taken in; nothing has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TransferError {
    /// The bytes are no transfer.
    #[error("the bytes are no transfer")]
    Damaged,
    /// The content can't be read.
    #[error("the transfer can't be read")]
    Unreadable(#[from] DecodeError),
    /// It starts from a configuration that this node does not hold any more.
    #[error("the transfer starts from a configuration that is not held")]
    OtherBase,
    /// It does not lead to the content that it names.
    #[error("the transfer does not lead to the content that it names")]
    OtherContent,
}
