//! Where orders to evacuate zones come from.

use async_trait::async_trait;
use umberpond_model::Evacuations;

use crate::configuration::SourceError;

/// The store as the place of evacuations.
#[async_trait]
pub trait EvacuationStore: Send + Sync + 'static {
    /// The zones that are evacuated now. What was acknowledged before the call is in it.
    ///
    /// # Errors
    /// Returns [`SourceError`] when they can't be had.
    async fn list(&self) -> Result<Evacuations, SourceError>;
}
