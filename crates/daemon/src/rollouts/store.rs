//! Where orders of rollouts come from, and where their ends are agreed on.

use async_trait::async_trait;
use thiserror::Error;
use umberpond_model::{ReleaseName, ServiceName};
use umberpond_rollouts::{RolloutState, StoredRollout};

use crate::configuration::SourceError;

/// A state that was not written, or may not have been.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WriteError {
    /// Another change came before; nothing was written.
    #[error("the rollout was changed by somebody else")]
    Conflict,
    /// No answer, or one that says to come back later. It may have been written.
    #[error("the store can't be reached: {reason}")]
    Unavailable {
        /// Why.
        reason: String,
    },
}

/// The store as the place of rollouts.
#[async_trait]
pub trait RolloutStore: Send + Sync + 'static {
    /// All rollouts, ended ones included. One that can't be understood is left out, with a line.
    ///
    /// # Errors
    /// Returns [`SourceError`] when they can't be had.
    async fn list(&self) -> Result<Vec<StoredRollout>, SourceError>;

    /// Writes the state of the rollout of `service` to `target`, if it was not changed since `revision`; gives its new revision.
    ///
    /// # Errors
    /// Returns [`WriteError`] when that is not known to have been done.
    async fn write(
        &self,
        service: &ServiceName,
        target: &ReleaseName,
        revision: u64,
        state: RolloutState,
    ) -> Result<u64, WriteError>;
}
