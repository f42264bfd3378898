//! The runtime's clock, as the decision cores take it.

use std::time::Instant;

/// The present time by the runtime's clock, which tests pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
