//! Errors of reading the chain.

use thiserror::Error;
use umberpond_config::{CheckReport, DecodeError};
use umberpond_model::{ContentHash, Version};
use umberpond_store::PlatformError;

/// The chain could not be read. Nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChainError {
    /// A platform request failed.
    #[error("the platform request failed")]
    Platform(#[from] PlatformError),
    /// The head can't be decoded; a newer program may have written it.
    #[error("the head can't be decoded")]
    Head(#[source] DecodeError),
    /// A content object can't be decoded; a newer program may have written it.
    #[error("the content object {hash} can't be decoded")]
    Content {
        /// Name of the object.
        hash: ContentHash,
        /// Why.
        #[source]
        source: DecodeError,
    },
    /// A content object does not exist, for example because it was garbage-collected. A reader that is this
    /// far behind starts again at the head.
    #[error("the content object {hash} does not exist")]
    Missing {
        /// Name of the object.
        hash: ContentHash,
    },
    /// The bytes of a content object do not match the hash in its name.
    #[error("the content object {hash} is damaged")]
    Damaged {
        /// Name of the object.
        hash: ContentHash,
    },
    /// The records' references to each other are inconsistent.
    #[error("the record of version {version} is inconsistent with the chain")]
    Inconsistent {
        /// The version.
        version: Version,
    },
    /// The bundles of a version can't be joined; the program that accepted them uses different checks.
    #[error("the bundles of version {version} can't be joined by this program")]
    JoinFailed {
        /// The version.
        version: Version,
        /// The faults.
        #[source]
        report: CheckReport,
    },
    /// Joining the bundles of a version results in another snapshot than the accepted one.
    #[error("the snapshot of version {version} differs from the accepted one")]
    SnapshotMismatch {
        /// The version.
        version: Version,
    },
}

impl ChainError {
    /// Whether the same read can succeed later, or after the head is read again.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        match self {
            Self::Platform(error) => error.is_transient(),
            Self::Missing { .. } => true,
            _ => false,
        }
    }
}
