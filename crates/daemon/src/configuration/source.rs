//! The source of configurations.

use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;
use umberpond_config::Snapshot;
use umberpond_model::{StoreRevision, Version};

/// A whole configuration as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sourced {
    /// Its version.
    pub version: Version,
    /// Its content.
    pub snapshot: Snapshot,
}

/// Result of waiting for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Waited {
    /// A newer configuration.
    Changed(Box<Sourced>, StoreRevision),
    /// There was no change up to this position.
    Unchanged(StoreRevision),
    /// The store no longer has the changes since that position, or has been restored since; the whole
    /// configuration has to be read.
    Lost,
}

/// A failed read from the store. The active configuration stays in place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The store didn't respond, or asked to retry later.
    #[error("the store is unavailable: {reason}")]
    Unavailable {
        /// Cause of the failure.
        reason: String,
    },
    /// The configuration in the store can't be decoded.
    #[error("the configuration can't be decoded: {reason}")]
    Unreadable {
        /// Cause of the failure.
        reason: String,
    },
}

/// The store as the source of configurations.
#[async_trait]
pub trait ConfigurationSource: Send + Sync + 'static {
    /// The newest configuration, if there is one, and the position in the history at which it was read.
    ///
    /// # Errors
    /// Returns [`SourceError`] when it can't be read.
    async fn read(&self) -> Result<(Option<Sourced>, StoreRevision), SourceError>;

    /// Waits up to `longest` for a configuration that is newer than the one read at `after`.
    ///
    /// # Errors
    /// Returns [`SourceError`] when the store is unavailable or the configuration can't be decoded.
    async fn wait(&self, after: StoreRevision, longest: Duration) -> Result<Waited, SourceError>;

    /// The current position in the history, read by a cheap call. If it has advanced, a wait may have missed
    /// a change.
    ///
    /// # Errors
    /// Returns [`SourceError`] when the store is unavailable.
    async fn position(&self) -> Result<StoreRevision, SourceError>;
}
