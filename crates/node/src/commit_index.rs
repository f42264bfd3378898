//! The commit index as this node's overlay knows it, for the acceptor.

use std::sync::atomic::{AtomicU64, Ordering};

use umberpond_model::Version;

/// The newest commit index that the overlay has told. It only grows, and may lag behind the overlay until the
/// overlay is next asked for its status.
#[derive(Debug)]
pub(crate) struct KnownCommitIndex(AtomicU64);

impl Default for KnownCommitIndex {
    fn default() -> Self {
        Self(AtomicU64::new(Version::GENESIS.0))
    }
}

impl KnownCommitIndex {
    /// The newest version known to be committed.
    pub(crate) fn get(&self) -> Version {
        Version(self.0.load(Ordering::Acquire))
    }

    /// Notes that versions up to `committed` are.
    pub(crate) fn raise(&self, committed: Version) {
        self.0.fetch_max(committed.0, Ordering::AcqRel);
    }
}
