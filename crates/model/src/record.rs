//! The durable record of one accepted version, and the head that names the newest.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::{ContentHash, SubmissionId, Version};

/// One accepted version. Immutable; stored on the platform under its content hash.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Position in the chain.
    pub version: Version,
    /// Hash of the record of the version before; absent in the first record.
    pub previous: Option<ContentHash>,
    /// The submission that became this version.
    pub submission: SubmissionId,
    /// Hash of the manifest object: every bundle in force and the hash of its content.
    pub manifest: ContentHash,
    /// Hash of the object that holds the delta from the version before.
    pub delta: ContentHash,
    /// Content hash of the whole snapshot of this version; a delta's result is compared with it.
    pub snapshot: ContentHash,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch. For people and measurements only.
    pub accepted_at_unix_millis: u64,
}

/// The one mutable configuration object on the platform. Moving it is what accepts a version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Head {
    /// Newest accepted version.
    pub version: Version,
    /// Hash of its [`VersionRecord`].
    pub record: ContentHash,
}
