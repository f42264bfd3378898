//! The immutable objects of the chain.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use umberpond_model::{BundleName, ContentHash, SubmissionId, Version, VersionRecord};

/// Versions in one page of the chain. A record lists the versions of its own page that come before it and names
/// the last record of the page before, so a search reads one record per page.
pub const PAGE_VERSIONS: u64 = 64;

/// Versions from one checkpoint to the next. A checkpoint holds a whole snapshot, so that reading a whole
/// configuration takes one checkpoint and fewer than this many steps, however many bundles there are. Pages begin
/// at a checkpoint.
pub const CHECKPOINT_VERSIONS: u64 = 16;

/// Every bundle in force at one version and the hash of its object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Manifest {
    /// Bundles by name.
    pub bundles: BTreeMap<BundleName, ContentHash>,
}

/// What one version does.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Step {
    /// Puts a bundle in force or replaces it.
    Put {
        /// Name of the bundle.
        bundle: BundleName,
        /// Hash of its object.
        content: ContentHash,
    },
    /// Withdraws a bundle.
    Withdraw {
        /// Name of the bundle.
        bundle: BundleName,
    },
    /// Changes nothing. The submission of this version was given up, and can't be accepted any more because
    /// its id stands in the chain.
    Abandon,
}

impl Step {
    /// Whether both ask for the same thing of the same bundle. The content is not compared: an operator who
    /// submits again seals the secrets again, and sealed values differ each time.
    #[must_use]
    pub fn is_same_request(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Put { bundle, .. }, Self::Put { bundle: same, .. }) => bundle == same,
            (one, other) => one == other,
        }
    }
}

/// A version before the one whose record names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct EarlierVersion {
    /// Its position.
    pub version: Version,
    /// Its submission.
    pub submission: SubmissionId,
    /// Hash of its record object.
    pub record: ContentHash,
}

/// The object in which a version record is stored. Its hash is what [`umberpond_model::Head::record`] and
/// [`VersionRecord::previous`] name.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RecordObject {
    /// The record.
    pub record: VersionRecord,
    /// What the version does.
    pub step: Step,
    /// Versions of the same page before this one, oldest first; fewer than [`PAGE_VERSIONS`].
    pub page: Vec<EarlierVersion>,
    /// Hash of the last record of the page before; absent in the first page.
    pub previous_page: Option<ContentHash>,
    /// Hash of the object that holds the whole snapshot, at every version that is a multiple of
    /// [`CHECKPOINT_VERSIONS`].
    pub checkpoint: Option<ContentHash>,
}

/// Whether the record of `version` names a checkpoint.
pub(crate) const fn has_checkpoint(version: Version) -> bool {
    version.0.is_multiple_of(CHECKPOINT_VERSIONS)
}

impl RecordObject {
    /// The version of this record, as later records name it.
    #[must_use]
    pub const fn as_earlier(&self, hash: ContentHash) -> EarlierVersion {
        EarlierVersion { version: self.record.version, submission: self.record.submission, record: hash }
    }

    /// The page and the previous page of the record that follows this one, whose hash is `hash`.
    #[must_use]
    pub fn next_page(&self, hash: ContentHash) -> (Vec<EarlierVersion>, Option<ContentHash>) {
        let next = self.record.version.next();
        if next.0.is_multiple_of(PAGE_VERSIONS) {
            return (Vec::new(), Some(hash));
        }
        let mut page = self.page.clone();
        page.push(self.as_earlier(hash));
        (page, self.previous_page)
    }
}
