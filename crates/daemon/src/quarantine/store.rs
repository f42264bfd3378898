//! The store as the memory of what all nodes together would forget.

use std::time::Duration;

use async_trait::async_trait;
use umberpond_quarantine::{RequestFingerprint, SuspectRecord};

use crate::configuration::SourceError;
use crate::rollouts::WriteError;

/// How recent what is read has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineFreshness {
    /// All that was ever acknowledged.
    Latest,
    /// It may be some seconds old, which is cheaper.
    MayBeStale,
}

/// A request that is refused, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// What was known of it when it was written.
    pub record: SuspectRecord,
    /// Time since then.
    pub age: Duration,
}

/// The store as the place of the requests that are refused.
#[async_trait]
pub trait QuarantineStore: Send + Sync + 'static {
    /// All of them. One that can't be understood is left out, with a line.
    ///
    /// # Errors
    /// Returns [`SourceError`] when they can't be had.
    async fn list(&self, freshness: QuarantineFreshness) -> Result<Vec<StoredQuarantine>, SourceError>;

    /// Writes one, unless it is there.
    ///
    /// # Errors
    /// Returns [`WriteError`] when that is not known to have been done.
    async fn add(&self, record: &SuspectRecord) -> Result<(), WriteError>;

    /// Removes one, if it is there.
    ///
    /// # Errors
    /// Returns [`WriteError`] when that is not known to have been done.
    async fn remove(&self, fingerprint: &RequestFingerprint) -> Result<(), WriteError>;
}
