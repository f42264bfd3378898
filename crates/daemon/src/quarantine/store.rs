//! Access to the quarantine entries in the store, which outlast the processes of all nodes.

use std::time::Duration;

use async_trait::async_trait;
use umberpond_quarantine::{RequestFingerprint, SuspectRecord};

use crate::configuration::SourceError;
use crate::rollouts::WriteError;

/// Required freshness of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineFreshness {
    /// Includes every acknowledged write.
    Latest,
    /// May be some seconds old, which is cheaper to read.
    MayBeStale,
}

/// The stored entry of a quarantined request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// The record at the time when the entry was written.
    pub record: SuspectRecord,
    /// Time since the entry was written.
    pub age: Duration,
}

/// Stores the quarantined requests.
#[async_trait]
pub trait QuarantineStore: Send + Sync + 'static {
    /// Lists all entries. One that can't be decoded is skipped and logged.
    ///
    /// # Errors
    /// Returns [`SourceError`] when they can't be read.
    async fn list(&self, freshness: QuarantineFreshness) -> Result<Vec<StoredQuarantine>, SourceError>;

    /// Adds an entry unless it exists.
    ///
    /// # Errors
    /// Returns [`WriteError`] when the write is not confirmed.
    async fn add(&self, record: &SuspectRecord) -> Result<(), WriteError>;

    /// Removes an entry if it exists.
    ///
    /// # Errors
    /// Returns [`WriteError`] when the removal is not confirmed.
    async fn remove(&self, fingerprint: &RequestFingerprint) -> Result<(), WriteError>;
}
