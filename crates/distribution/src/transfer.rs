//! What one node sends another.

use bitcode::{Decode, Encode};
use thiserror::Error;
use umberpond_config::DecodeError;
use umberpond_model::{ContentHash, Version};

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

/// A transfer that could not be taken in; nothing has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TransferError {
    /// The bytes can't be read.
    #[error("the transfer can't be read")]
    Unreadable(#[from] DecodeError),
    /// It starts from a configuration that this node does not hold any more.
    #[error("the transfer starts from a configuration that is not held")]
    OtherBase,
    /// It does not lead to the content that it names.
    #[error("the transfer does not lead to the content that it names")]
    OtherContent,
}
