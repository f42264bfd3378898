//! The current configuration of a node and the earlier ones that deltas can start from.

use std::collections::VecDeque;
use std::sync::Arc;

use umberpond_config::{Delta, Snapshot};
use umberpond_model::{ContentHash, Version};

use crate::transfer::{ConfigurationId, Transfer, TransferError};

/// Maximum number of cached encoded transfers, shared by nodes that request the same one.
const MAX_CACHED_TRANSFERS: usize = 4;
/// Maximum number of earlier versions kept as bases for deltas.
const MAX_EARLIER_VERSIONS: usize = 64;

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

/// The configuration that a node holds, and earlier versions. The version only ever increases.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    newest: Option<VersionedConfiguration>,
    earlier: VecDeque<VersionedConfiguration>,
    /// Encoded transfers to the newest version.
    cached: VecDeque<CachedTransfer>,
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
        if let Some(before) = self.newest.replace(offered) {
            self.earlier.push_back(before);
        }
        if self.earlier.len() > MAX_EARLIER_VERSIONS {
            self.earlier.pop_front();
        }
        true
    }

    /// The transfer that brings a node holding `held` up to date.
    #[must_use]
    pub fn transfer_for(&self, held: Option<ConfigurationId>) -> Transfer {
        let Some(newest) = &self.newest else { return Transfer::UpToDate };
        if held.is_some_and(|held| held.version >= newest.version) {
            return Transfer::UpToDate;
        }
        let base = held.and_then(|held| self.earlier.iter().find(|earlier| earlier.held() == held));
        match base {
            Some(base) => Transfer::Delta {
                from: base.held(),
                to: newest.held(),
                delta: Delta::between(&base.snapshot, &newest.snapshot).to_bytes(),
            },
            None => Transfer::Full { to: newest.held(), content: newest.snapshot.to_bytes() },
        }
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
