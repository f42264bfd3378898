//! The current configuration of a node, and what has changed since the earlier versions that deltas can start
//! from.
//!
//! Of an earlier version only the names of the entries are kept that the next version changed. A delta takes
//! their values from the current configuration, so the memory for earlier versions depends neither on the size
//! of the entries nor on how much of the configuration two versions share.

use std::collections::VecDeque;
use std::sync::Arc;

use umberpond_config::{ChangedNames, Delta, Snapshot};
use umberpond_model::{ContentHash, Version};

use crate::transfer::{ConfigurationId, Transfer, TransferError};

/// Maximum number of cached encoded transfers, shared by nodes that request the same one.
const MAX_CACHED_TRANSFERS: usize = 4;
/// Maximum number of earlier versions that deltas can start from.
const MAX_EARLIER_VERSIONS: usize = 64;
/// Number of changed names that are kept even if the configuration has fewer entries.
const MIN_NAME_LIMIT: usize = 1024;

/// A complete configuration with its version.
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
    /// Creates a versioned configuration and computes its hash.
    #[must_use]
    pub fn new(version: Version, snapshot: Snapshot) -> Self {
        Self { version, hash: snapshot.content_hash(), snapshot: Arc::new(snapshot) }
    }

    /// Version and content hash.
    #[must_use]
    pub const fn held(&self) -> ConfigurationId {
        ConfigurationId { version: self.version, hash: self.hash }
    }
}

/// The configuration that a node holds, and the changes that led to it. The version only ever increases.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    newest: Option<VersionedConfiguration>,
    /// The latest changes, oldest first. Each starts from the version that the one before it led to, and the
    /// last one led to the newest version.
    changes: VecDeque<VersionChange>,
    /// Encoded transfers to the newest version.
    cached: VecDeque<CachedTransfer>,
}

/// The change from one version to the next one that the node held.
#[derive(Debug)]
struct VersionChange {
    from: ConfigurationId,
    names: ChangedNames,
}

/// Size of what is kept for deltas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HistorySize {
    /// Number of earlier versions that deltas can start from.
    pub versions: usize,
    /// Number of changed names kept for them.
    pub names: usize,
}

/// A cached transfer that several nodes may request.
#[derive(Debug)]
struct CachedTransfer {
    held: Option<ConfigurationId>,
    encoded: Arc<[u8]>,
}

impl ConfigurationHistory {
    /// The newest configuration.
    #[must_use]
    pub const fn newest(&self) -> Option<&VersionedConfiguration> {
        self.newest.as_ref()
    }

    /// Version of the newest configuration.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.newest.as_ref().map(|held| held.version)
    }

    /// Replaces the configuration; returns `false` if `offered` is not newer than the current one.
    pub fn offer(&mut self, offered: VersionedConfiguration) -> bool {
        if self.version().is_some_and(|held| held >= offered.version) {
            return false;
        }
        self.cached.clear();
        if let Some(before) = &self.newest {
            let names = ChangedNames::between(&before.snapshot, &offered.snapshot);
            self.changes.push_back(VersionChange { from: before.held(), names });
        }
        self.drop_old_changes(offered.snapshot.entry_count());
        self.newest = Some(offered);
        true
    }

    /// Size of what is kept for deltas.
    #[must_use]
    pub fn size(&self) -> HistorySize {
        HistorySize {
            versions: self.changes.len(),
            names: self.changes.iter().map(|change| change.names.len()).sum(),
        }
    }

    /// Drops the oldest changes above the limits. A delta with more names than the configuration has entries
    /// would be no shorter than a full transfer.
    fn drop_old_changes(&mut self, entries: usize) {
        let name_limit = entries.max(MIN_NAME_LIMIT);
        let mut size = self.size();
        while size.versions > MAX_EARLIER_VERSIONS || size.names > name_limit {
            let Some(dropped) = self.changes.pop_front() else { return };
            size.versions -= 1;
            size.names -= dropped.names.len();
        }
    }

    /// The transfer that brings a node holding `held` up to date.
    #[must_use]
    pub fn transfer_for(&self, held: Option<ConfigurationId>) -> Transfer {
        let Some(newest) = &self.newest else { return Transfer::UpToDate };
        if held.is_some_and(|held| held.version >= newest.version) {
            return Transfer::UpToDate;
        }
        if let Some(from) = held
            && let Some(changes) = self.changes_since(from)
        {
            let delta = ChangedNames::delta_to(changes, &newest.snapshot).to_bytes();
            return Transfer::Delta { from, to: newest.held(), delta };
        }
        Transfer::Full { to: newest.held(), content: newest.snapshot.to_bytes() }
    }

    /// The changes that led from `from` to the newest version, if they are kept.
    fn changes_since(&self, from: ConfigurationId) -> Option<impl Iterator<Item = &ChangedNames>> {
        let first = self.changes.iter().position(|change| change.from == from)?;
        Some(self.changes.range(first..).map(|change| &change.names))
    }

    /// Encoded transfer that brings a node holding `held` up to date. Many nodes request the same transfer
    /// after a change, so the encoding is cached.
    pub fn encoded_transfer_for(&mut self, held: Option<ConfigurationId>) -> Arc<[u8]> {
        if let Some(cached) = self.cached.iter().find(|cached| cached.held == held) {
            return Arc::clone(&cached.encoded);
        }
        let encoded: Arc<[u8]> = self.transfer_for(held).to_bytes().into();
        if self.cached.len() >= MAX_CACHED_TRANSFERS {
            self.cached.pop_front();
        }
        self.cached.push_back(CachedTransfer { held, encoded: Arc::clone(&encoded) });
        encoded
    }

    /// Applies `transfer` to the current configuration and returns the result; absent if it is not newer. The
    /// current configuration does not change.
    ///
    /// # Errors
    /// Returns [`TransferError`] if the transfer can't be decoded, starts from another configuration or does
    /// not produce the content that it announces.
    pub fn receive(&self, transfer: Transfer) -> Result<Option<VersionedConfiguration>, TransferError> {
        let (to, snapshot) = match transfer {
            Transfer::UpToDate => return Ok(None),
            Transfer::Full { to, content } => (to, Snapshot::from_bytes(&content)?),
            Transfer::Delta { from, to, delta } => {
                let base = self.newest.as_ref().filter(|newest| newest.held() == from);
                let base = base.ok_or(TransferError::BaseMismatch)?;
                (to, Delta::from_bytes(&delta)?.apply(&base.snapshot))
            }
        };
        if self.version().is_some_and(|held| held >= to.version) {
            return Ok(None);
        }
        let received = VersionedConfiguration::new(to.version, snapshot);
        if received.hash != to.hash {
            return Err(TransferError::HashMismatch);
        }
        Ok(Some(received))
    }
}
