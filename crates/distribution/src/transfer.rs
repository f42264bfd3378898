//! The message that transfers a configuration between nodes.

use std::io::{Read, Write};

use bitcode::{Decode, Encode};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use thiserror::Error;
use umberpond_config::DecodeError;
use umberpond_model::{ContentHash, Version};

/// Minimum encoded length in bytes at which a transfer is compressed.
const MIN_COMPRESSED_LENGTH: usize = 4 * 1024;
/// Maximum decompressed length of a transfer, in bytes.
const MAX_DECOMPRESSED_LENGTH: u64 = 64 * 1024 * 1024;

/// Identifies a configuration by version and content hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationId {
    /// Version of the configuration.
    pub version: Version,
    /// Hash of its content.
    pub hash: ContentHash,
}

/// A response to a node that requests a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Transfer {
    /// The sender has no newer configuration.
    UpToDate,
    /// A delta from a configuration that the receiver holds.
    Delta {
        /// The configuration that the delta applies to.
        from: ConfigurationId,
        /// The configuration that the delta produces.
        to: ConfigurationId,
        /// The encoded delta.
        delta: Vec<u8>,
    },
    /// A complete configuration.
    Full {
        /// Identifier of the configuration.
        to: ConfigurationId,
        /// The encoded content.
        content: Vec<u8>,
    },
}

/// Wire format of a transfer.
#[derive(Debug, Encode, Decode)]
enum WireTransfer {
    Plain(Transfer),
    /// An encoded transfer, compressed with DEFLATE.
    Compressed(Vec<u8>),
}

impl Transfer {
    /// Encodes the transfer; long transfers are compressed.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let encoded = bitcode::encode(self);
        if encoded.len() < MIN_COMPRESSED_LENGTH {
            return bitcode::encode(&WireTransfer::Plain(self.clone()));
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // Writing to memory does not fail; if it did, the transfer would be sent uncompressed.
        let compressed = encoder.write_all(&encoded).and_then(|()| encoder.finish());
        let wire = compressed.map_or_else(|_| WireTransfer::Plain(self.clone()), WireTransfer::Compressed);
        bitcode::encode(&wire)
    }

    /// Decodes the output of [`Transfer::to_bytes`].
    ///
    /// # Errors
    /// Returns [`TransferError::Malformed`] if the bytes are malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, TransferError> {
        let wire = bitcode::decode(bytes).map_err(|_| TransferError::Malformed)?;
        let compressed = match wire {
            WireTransfer::Plain(transfer) => return Ok(transfer),
            WireTransfer::Compressed(compressed) => compressed,
        };
        let mut encoded = Vec::new();
        let mut decoder = DeflateDecoder::new(&compressed[..]).take(MAX_DECOMPRESSED_LENGTH);
        decoder.read_to_end(&mut encoded).map_err(|_| TransferError::Malformed)?;
        bitcode::decode(&encoded).map_err(|_| TransferError::Malformed)
    }
}

/// A transfer that could not be applied; the current configuration is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TransferError {
    /// The bytes can't be decoded as a transfer.
    #[error("malformed transfer")]
    Malformed,
    /// The content or delta can't be decoded.
    #[error("failed to decode the content of the transfer")]
    Unreadable(#[from] DecodeError),
    /// The delta applies to a configuration other than the current one.
    #[error("the delta applies to a configuration that this node does not hold")]
    BaseMismatch,
    /// The resulting content does not match the announced hash.
    #[error("the transferred content does not match its announced hash")]
    HashMismatch,
}
