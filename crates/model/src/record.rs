//! The durable record of an accepted version, and the head, which refers to the newest one.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::{ContentHash, SubmissionId, Version};

/// One accepted version. Immutable; stored under its content hash.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Position in the version chain.
    pub version: Version,
    /// Hash of the previous version's record; absent in the first record.
    pub previous: Option<ContentHash>,
    /// The submission that produced this version.
    pub submission: SubmissionId,
    /// Hash of the manifest object, which lists every active bundle and its content hash.
    pub manifest: ContentHash,
    /// Hash of the object that holds the delta from the previous version.
    pub delta: ContentHash,
    /// Content hash of the complete snapshot of this version, against which the result of applying a delta is
    /// verified.
    pub snapshot: ContentHash,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch. For display and measurements
    /// only.
    pub accepted_at_unix_millis: u64,
}

/// The only mutable configuration object in the store. A version is accepted by updating the head.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Head {
    /// Newest accepted version.
    pub version: Version,
    /// Hash of its [`VersionRecord`].
    pub record: ContentHash,
}
