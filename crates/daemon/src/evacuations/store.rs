//! Access to the evacuations of zones in the store.

use async_trait::async_trait;
use umberpond_model::Evacuations;

use crate::configuration::SourceError;

/// Stores the evacuations.
#[async_trait]
pub trait EvacuationStore: Send + Sync + 'static {
    /// The zones that are currently evacuated. Includes every change that was acknowledged before the call.
    ///
    /// # Errors
    /// Returns [`SourceError`] when they can't be read.
    async fn list(&self) -> Result<Evacuations, SourceError>;
}
