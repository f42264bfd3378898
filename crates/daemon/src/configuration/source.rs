//! Where configurations come from.

use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;
use umberpond_config::Snapshot;
use umberpond_model::Version;

/// A place in the store's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);

/// A whole configuration as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sourced {
    /// Its version.
    pub version: Version,
    /// Its content.
    pub snapshot: Snapshot,
}

/// What came of waiting for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Waited {
    /// A newer configuration.
    Changed(Box<Sourced>, Position),
    /// Nothing has changed.
    Unchanged(Position),
    /// The store no longer tells changes from there on; the whole has to be read.
    Lost,
}

/// A call to the store that failed. Nothing was changed by it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SourceError {
    /// No answer, or one that says to come back later.
    #[error("the store can't be reached: {reason}")]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The configuration in the store can't be understood. What is in force stays in force.
    #[error("the configuration can't be understood: {reason}")]
    Unreadable {
        /// Why.
        reason: String,
    },
}

/// The store as the source of configurations.
#[async_trait]
pub trait ConfigurationSource: Send + Sync + 'static {
    /// The newest configuration, if there is one, and the place in history at which it was read.
    ///
    /// # Errors
    /// Returns [`SourceError`] when it can't be had.
    async fn read(&self) -> Result<(Option<Sourced>, Position), SourceError>;

    /// Waits up to `longest` for a configuration that is newer than what was read at `after`.
    ///
    /// # Errors
    /// Returns [`SourceError`] when the store does not answer.
    async fn wait(&self, after: Position, longest: Duration) -> Result<Waited, SourceError>;

    /// The present place in history, by a cheap call. If it has moved on, something may have changed that a wait has
    /// missed.
    ///
    /// # Errors
    /// Returns [`SourceError`] when the store does not answer.
    async fn position(&self) -> Result<Position, SourceError>;
}
