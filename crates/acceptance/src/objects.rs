//! The immutable objects of the chain.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use umberpond_model::{BundleName, ContentHash, SubmissionId, Version, VersionRecord};

/// Number of versions in one page of the chain. A record lists the earlier versions of its own page and
/// references the last record of the previous page, so a search reads one record per page.
pub const PAGE_VERSIONS: u64 = 64;

/// Number of versions from one checkpoint to the next. A checkpoint holds a full snapshot, so reading a full
/// configuration takes one checkpoint and fewer than this many steps, regardless of the number of bundles.
/// Every page begins at a checkpoint.
pub const CHECKPOINT_VERSIONS: u64 = 16;

/// Every bundle that is active at one version and the hash of its object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Manifest {
    /// Bundles by name.
    pub bundles: BTreeMap<BundleName, ContentHash>,
}

/// The change that one version makes.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Step {
    /// Adds or replaces a bundle.
    Put {
        /// Name of the bundle.
        bundle: BundleName,
        /// Hash of its object.
        content: ContentHash,
    },
    /// Removes a bundle.
    Withdraw {
        /// Name of the bundle.
        bundle: BundleName,
    },
    /// Changes nothing. The submission of this version was abandoned; it can't be accepted later because the
    /// chain contains its id.
    Abandon,
}

impl Step {
    /// Whether both make the same kind of change to the same bundle. The content is not compared: submitting
    /// again seals the secrets again, and sealed values differ each time.
    #[must_use]
    pub fn is_same_request(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Put { bundle, .. }, Self::Put { bundle: same, .. }) => bundle == same,
            (one, other) => one == other,
        }
    }
}

/// Reference from a record to an earlier version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct EarlierVersion {
    /// Version number.
    pub version: Version,
    /// Submission that became this version.
    pub submission: SubmissionId,
    /// Hash of the version's record object.
    pub record: ContentHash,
}

/// The object in which a version record is stored. [`umberpond_model::Head::record`] and
/// [`VersionRecord::previous`] reference it by its hash.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RecordObject {
    /// The record.
    pub record: VersionRecord,
    /// The change that the version makes.
    pub step: Step,
    /// Earlier versions of the same page, oldest first; fewer than [`PAGE_VERSIONS`].
    pub page: Vec<EarlierVersion>,
    /// Hash of the last record of the previous page; absent in the first page.
    pub previous_page: Option<ContentHash>,
    /// Hash of the object that holds the full snapshot; present if the version is a multiple of
    /// [`CHECKPOINT_VERSIONS`].
    pub checkpoint: Option<ContentHash>,
}

/// Whether the record of `version` references a checkpoint.
pub(crate) const fn has_checkpoint(version: Version) -> bool {
    version.0.is_multiple_of(CHECKPOINT_VERSIONS)
}

impl RecordObject {
    /// Returns the reference to this record that later records of its page contain.
    #[must_use]
    pub const fn as_earlier(&self, hash: ContentHash) -> EarlierVersion {
        EarlierVersion { version: self.record.version, submission: self.record.submission, record: hash }
    }

    /// Returns `page` and `previous_page` of the record that follows this one. `hash` is the hash of this
    /// record.
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
