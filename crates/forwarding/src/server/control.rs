//! Shutdown state of the process, shared by all connections of callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Phase of the shutdown of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Requests are served.
    Serving,
    /// Requests are served, and each reply closes its connection.
    Draining,
    /// New requests are refused; open ones are completed.
    Refusing,
}

/// Handle to the shutdown phase, the open requests and the capacity for connections.
#[derive(Debug, Clone)]
pub struct ServerControl {
    phase: watch::Sender<ServerPhase>,
    /// Time by which every request must have its final reply; `None` while the process isn't shutting down.
    response_deadline: watch::Sender<Option<Instant>>,
    open_requests: Arc<AtomicUsize>,
    /// Whether the maximum number of caller connections is open, so that no further one is accepted.
    is_full: Arc<AtomicBool>,
}

impl Default for ServerControl {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(ServerPhase::Serving),
            response_deadline: watch::Sender::new(None),
            open_requests: Arc::default(),
            is_full: Arc::default(),
        }
    }
}

impl ServerControl {
    /// Starts the shutdown: each reply to a caller closes its connection, and every request gets its final
    /// reply by `response_deadline`.
    pub fn start_drain(&self, response_deadline: Instant) {
        self.response_deadline.send_replace(Some(response_deadline));
        self.advance(ServerPhase::Draining);
    }

    /// Time by which every request must have its final reply; `None` while the process isn't shutting down.
    #[must_use]
    pub fn response_deadline(&self) -> Option<Instant> {
        *self.response_deadline.borrow()
    }

    /// Waits until the time by which every request must have its final reply.
    pub(crate) async fn response_deadline_reached(&self) {
        let mut response_deadline = self.response_deadline.subscribe();
        let Ok(Some(at)) = response_deadline.wait_for(Option::is_some).await.map(|at| *at) else {
            return std::future::pending().await;
        };
        sleep_until(at).await;
    }

    /// Advances to `phase`; never goes back to an earlier one.
    pub fn advance(&self, phase: ServerPhase) {
        self.phase.send_modify(|current| *current = phase.max(*current));
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> ServerPhase {
        *self.phase.borrow()
    }

    /// Number of requests of callers whose reply has not been written completely.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Whether the maximum number of caller connections is open, so that no further one is accepted.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.is_full.load(Ordering::Relaxed)
    }

    pub(super) fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::Relaxed);
    }

    /// Counts a request as open until the guard is dropped.
    pub(super) fn open_request(&self) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest { open_requests: Arc::clone(&self.open_requests) }
    }
}

/// Guard that counts one open request.
#[derive(Debug)]
pub(super) struct OpenRequest {
    open_requests: Arc<AtomicUsize>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
