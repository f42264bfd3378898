//! The configuration that a node holds, and some that it held before.

use std::collections::VecDeque;
use std::sync::Arc;

use umberpond_config::{Delta, Snapshot};
use umberpond_model::{ContentHash, Version};

use crate::transfer::{Held, Transfer, TransferError};

/// Encoded transfers kept for the nodes that ask for the same one.
const KEPT_TRANSFERS: usize = 4;
/// Earlier versions kept, so that the difference from them can be told.
const KEPT_VERSIONS: usize = 64;

/// A whole configuration and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedConfiguration {
    /// The version.
    pub version: Version,
    /// Hash of the content.
    pub hash: ContentHash,
    /// The content.
    pub snapshot: Arc<Snapshot>,
}

impl VersionedConfiguration {
    /// A configuration with its hash.
    #[must_use]
    pub fn new(version: Version, snapshot: Snapshot) -> Self {
        Self { version, hash: snapshot.content_hash(), snapshot: Arc::new(snapshot) }
    }

    /// Version and hash.
    #[must_use]
    pub const fn held(&self) -> Held {
        Held { version: self.version, hash: self.hash }
    }
}

/// The configuration that a node holds. It only ever moves to a higher version.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    newest: Option<VersionedConfiguration>,
    earlier: VecDeque<VersionedConfiguration>,
    /// Transfers to the newest, encoded.
    prepared: VecDeque<PreparedTransfer>,
}

/// A transfer that several nodes may ask for.
#[derive(Debug)]
struct PreparedTransfer {
    held: Option<Held>,
    encoded: Arc<[u8]>,
}

impl ConfigurationHistory {
    /// The configuration held.
    #[must_use]
    pub const fn newest(&self) -> Option<&VersionedConfiguration> {
        self.newest.as_ref()
    }

    /// Version held.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.newest.as_ref().map(|held| held.version)
    }

    /// Takes in a configuration; `false` if it is not newer than the one held.
    pub fn offer(&mut self, offered: VersionedConfiguration) -> bool {
        if self.version().is_some_and(|held| held >= offered.version) {
            return false;
        }
        self.prepared.clear();
        if let Some(before) = self.newest.replace(offered) {
            self.earlier.push_back(before);
        }
        if self.earlier.len() > KEPT_VERSIONS {
            self.earlier.pop_front();
        }
        true
    }

    /// What a node needs that holds `held`.
    #[must_use]
    pub fn transfer_for(&self, held: Option<Held>) -> Transfer {
        let Some(newest) = &self.newest else { return Transfer::NothingNewer };
        if held.is_some_and(|held| held.version >= newest.version) {
            return Transfer::NothingNewer;
        }
        let base = held.and_then(|held| self.earlier.iter().find(|earlier| earlier.held() == held));
        match base {
            Some(base) => Transfer::Difference {
                from: base.held(),
                to: newest.held(),
                delta: Delta::between(&base.snapshot, &newest.snapshot).to_bytes(),
            },
            None => Transfer::Whole { to: newest.held(), content: newest.snapshot.to_bytes() },
        }
    }

    /// What a node needs that holds `held`, encoded. Many nodes ask for the same after a change, so it is made once.
    pub fn encoded_transfer_for(&mut self, held: Option<Held>) -> Arc<[u8]> {
        if let Some(prepared) = self.prepared.iter().find(|prepared| prepared.held == held) {
            return Arc::clone(&prepared.encoded);
        }
        let encoded: Arc<[u8]> = self.transfer_for(held).to_bytes().into();
        if self.prepared.len() >= KEPT_TRANSFERS {
            self.prepared.pop_front();
        }
        self.prepared.push_back(PreparedTransfer { held, encoded: Arc::clone(&encoded) });
        encoded
    }

    /// The configuration that `transfer` leads to from the one held; absent if it leads to nothing newer.
    ///
    /// # Errors
    /// Returns [`TransferError`] if it can't be read or does not lead where it says. Nothing changes then.
    pub fn receive(&self, transfer: Transfer) -> Result<Option<VersionedConfiguration>, TransferError> {
        let (to, snapshot) = match transfer {
            Transfer::NothingNewer => return Ok(None),
            Transfer::Whole { to, content } => (to, Snapshot::from_bytes(&content)?),
            Transfer::Difference { from, to, delta } => {
                let base = self.newest.as_ref().filter(|newest| newest.held() == from);
                let base = base.ok_or(TransferError::OtherBase)?;
                (to, Delta::from_bytes(&delta)?.apply(&base.snapshot))
            }
        };
        if self.version().is_some_and(|held| held >= to.version) {
            return Ok(None);
        }
        let received = VersionedConfiguration::new(to.version, snapshot);
        if received.hash != to.hash {
            return Err(TransferError::OtherContent);
        }
        Ok(Some(received))
    }
}
