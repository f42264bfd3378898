//! The limit on concurrent platform requests of one process.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use crate::{NotSentCause, PlatformError};

/// Limits on the concurrent requests of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateLimits {
    /// Concurrent requests, not counting watches.
    pub requests: usize,
    /// Concurrent watches.
    pub watches: usize,
}

impl Default for GateLimits {
    /// Four requests and four watches: a reader watches the head and the machine list, and may reopen both
    /// before it detects that the old ones have ended.
    fn default() -> Self {
        Self { requests: 4, watches: 4 }
    }
}

/// Limits the concurrent requests of a process, first come, first served. All clients of a process share one.
#[derive(Debug, Clone)]
pub struct PlatformGate {
    requests: Arc<Semaphore>,
    watches: Arc<Semaphore>,
}

impl PlatformGate {
    /// Creates a gate with these limits.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            requests: Arc::new(Semaphore::new(limits.requests)),
            watches: Arc::new(Semaphore::new(limits.watches)),
        }
    }

    /// Waits for a permit for one request, at most until `deadline`.
    pub(crate) async fn enter(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, PlatformError> {
        permit(&self.requests, deadline).await
    }

    /// Waits for a permit for one watch, at most until `deadline`.
    pub(crate) async fn enter_watch(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, PlatformError> {
        permit(&self.watches, deadline).await
    }
}

async fn permit(
    semaphore: &Arc<Semaphore>,
    deadline: Instant,
) -> Result<OwnedSemaphorePermit, PlatformError> {
    match timeout_at(deadline, Arc::clone(semaphore).acquire_owned()).await {
        Ok(Ok(permit)) => Ok(permit),
        // The semaphore is never closed; if it were, no permit would become available either.
        Ok(Err(_)) | Err(_) => Err(PlatformError::NotSent { cause: NotSentCause::TooManyRequests }),
    }
}
