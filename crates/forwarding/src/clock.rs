//! Reads the runtime's clock for code that doesn't depend on the runtime.

use std::time::Instant;

/// The current time of the runtime's clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
