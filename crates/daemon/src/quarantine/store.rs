//! Access to the quarantine entries in the store, which outlast the processes of all nodes.

use std::time::Duration;

use async_trait::async_trait;
use umberpond_model::{StoreEra, StoreRevision};
use umberpond_quarantine::{ClaimedTrials, RequestFingerprint, SuspectRecord};

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

/// Trial runs recorded in the entry of a quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredTrials {
    /// The trial runs claimed so far, if there are any.
    pub claimed: Option<ClaimedTrials>,
    /// Revision of the entry, on which the next claim depends.
    pub revision: StoreRevision,
}

/// Stores the quarantined requests.
#[async_trait]
pub trait QuarantineStore: Send + Sync + 'static {
    /// Latest era of the store in any response that this process has received.
    fn era(&self) -> StoreEra;

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

    /// Reads the trial runs of a request; absent if the request has no entry.
    ///
    /// # Errors
    /// Returns [`SourceError`] when they can't be read.
    async fn trials(&self, fingerprint: &RequestFingerprint) -> Result<Option<StoredTrials>, SourceError>;

    /// Records that `count` trial runs are claimed, if the entry was not changed since `revision`. Of several
    /// nodes that claim the same trial run, at most one succeeds.
    ///
    /// # Errors
    /// Returns [`WriteError`] when the claim is not confirmed; the trial run must not be started then.
    async fn claim_trial(
        &self,
        fingerprint: &RequestFingerprint,
        count: u32,
        revision: StoreRevision,
    ) -> Result<(), WriteError>;

    /// Removes an entry if it exists.
    ///
    /// # Errors
    /// Returns [`WriteError`] when the removal is not confirmed.
    async fn remove(&self, fingerprint: &RequestFingerprint) -> Result<(), WriteError>;
}
