//! One limit on the requests of a process towards the platform.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use crate::{NotSentCause, PlatformError};

/// Limits of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateLimits {
    /// Requests under way at once, watches not counted.
    pub requests: usize,
    /// Watches open at once.
    pub watches: usize,
}

impl Default for GateLimits {
    /// Four requests and four watches: a reader watches the head and the machine list, and may reopen both
    /// before the old ones are seen to have ended.
    fn default() -> Self {
        Self { requests: 4, watches: 4 }
    }
}

/// Admits the requests of a process, in the order in which they ask. All clients of a process share one.
#[derive(Debug, Clone)]
pub struct PlatformGate {
    requests: Arc<Semaphore>,
    watches: Arc<Semaphore>,
}

impl PlatformGate {
    /// A gate with these limits.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            requests: Arc::new(Semaphore::new(limits.requests)),
            watches: Arc::new(Semaphore::new(limits.watches)),
        }
    }

    /// Waits for a place for one request, at most until `deadline`.
    pub(crate) async fn enter(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, PlatformError> {
        permit(&self.requests, deadline).await
    }

    /// Waits for a place for one watch, at most until `deadline`.
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
        // A closed semaphore never opens again; this one is never closed, but the answer would be the same.
        Ok(Err(_)) | Err(_) => Err(PlatformError::NotSent { cause: NotSentCause::GateBusy }),
    }
}
