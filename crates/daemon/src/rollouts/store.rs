//! Access to rollouts in the store: requested rollouts are read from it and their final states are agreed on
//! there.

use async_trait::async_trait;
use thiserror::Error;
use umberpond_model::{ReleaseName, ServiceName, StoreRevision};
use umberpond_rollouts::{ListedRollouts, RolloutState};

use crate::configuration::SourceError;

/// A write that failed or is not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WriteError {
    /// A concurrent change came first; nothing was written.
    #[error("the rollout was changed concurrently")]
    Conflict,
    /// The store didn't respond, or asked to retry later. The write may have taken effect.
    #[error("the store is unavailable: {reason}")]
    Unavailable {
        /// Cause of the failure.
        reason: String,
    },
}

/// Stores the rollouts and their states.
#[async_trait]
pub trait RolloutStore: Send + Sync + 'static {
    /// Lists all rollouts, including ended ones. One that can't be decoded is skipped and logged.
    ///
    /// # Errors
    /// Returns [`SourceError`] when they can't be read.
    async fn list(&self) -> Result<ListedRollouts, SourceError>;

    /// Writes the state of the rollout of `service` to `target`, if it was not changed since `revision`;
    /// returns its new revision.
    ///
    /// # Errors
    /// Returns [`WriteError`] when the write is not confirmed.
    async fn write(
        &self,
        service: &ServiceName,
        target: &ReleaseName,
        revision: StoreRevision,
        state: RolloutState,
    ) -> Result<StoreRevision, WriteError>;
}
