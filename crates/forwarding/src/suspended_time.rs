//! Tracks the time for which the machine was suspended, which the runtime's clock does not count.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Total time for which the machine was suspended since the process started.
#[derive(Debug, Default)]
pub(crate) struct SuspendedTime {
    micros: AtomicU64,
}

impl SuspendedTime {
    pub(crate) fn add(&self, suspended: Duration) {
        let micros = u64::try_from(suspended.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(micros, Ordering::Relaxed);
    }

    fn total(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}

/// An instant in the past whose elapsed time includes later suspensions. Without it, a request that waited
/// through a suspension would be forwarded long after its caller has gone.
#[derive(Debug, Clone)]
pub(crate) struct SuspendAwareInstant {
    at: Instant,
    suspended: Arc<SuspendedTime>,
    suspended_before: Duration,
}

impl SuspendAwareInstant {
    /// Creates an instant from `at`, which must be recent: suspensions before this call are not counted.
    pub(crate) fn new(at: Instant, suspended: &Arc<SuspendedTime>) -> Self {
        Self { at, suspended: Arc::clone(suspended), suspended_before: suspended.total() }
    }

    /// Time for which the machine was suspended since this instant.
    pub(crate) fn suspended_since(&self) -> Duration {
        self.suspended.total().saturating_sub(self.suspended_before)
    }

    /// The instant on the runtime's clock, moved back by the suspended time.
    pub(crate) fn at(&self) -> Instant {
        self.at.checked_sub(self.suspended_since()).unwrap_or(self.at)
    }

    /// Elapsed time including suspensions.
    pub(crate) fn elapsed(&self) -> Duration {
        self.at().elapsed()
    }
}
