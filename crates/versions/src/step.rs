//! Transfers between nodes: whole snapshots and deltas, and why one may be refused.

use bitcode::{Decode, Encode};
use thiserror::Error;
use umberpond_config::{ClosureError, Delta, Snapshot};
use umberpond_model::{ContentHash, Version};

/// A whole snapshot, restricted to the receiver's scope.
#[derive(Debug, Clone)]
pub struct Whole {
    /// Version of the snapshot.
    pub version: Version,
    /// Expected content hash in the receiver's scope.
    pub hash: ContentHash,
    /// The content.
    pub snapshot: Snapshot,
}

/// One delta that leads over one or more versions.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ComposedStep {
    /// Version on which the delta builds.
    pub from: Version,
    /// Version that results.
    pub to: Version,
    /// The change, restricted to the receiver's scope.
    pub delta: Delta,
    /// Content hash of the result in the receiver's scope.
    pub hash: ContentHash,
}

/// Why a transfer was refused. Nothing has changed when one of these is returned.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StepError {
    /// The delta builds on a version that this node doesn't hold.
    #[error("the delta builds on version {from}, but {held:?} is held")]
    Gap {
        /// Newest version held, if any.
        held: Option<Version>,
        /// Version on which the delta builds.
        from: Version,
    },
    /// The result isn't what the sender announced: a wrong delta, or a base that differs.
    #[error("version {to} hashes to {found}, but {expected} was announced")]
    HashMismatch {
        /// Version that was to result.
        to: Version,
        /// Announced content hash.
        expected: ContentHash,
        /// Hash of the result.
        found: ContentHash,
    },
    /// Something in the result refers to what the result lacks.
    #[error("version {to} is not closed")]
    NotClosed {
        /// Version that was to result.
        to: Version,
        /// The dangling reference.
        #[source]
        cause: ClosureError,
    },
    /// The transfer leads to nothing newer than what is held or in force.
    #[error("version {to} is not newer than version {held}")]
    Stale {
        /// Newest version held or in force.
        held: Version,
        /// Version that was to result.
        to: Version,
    },
}
