//! How far the process is on its way out, as all connections of callers see it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// How far a process is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Requests are served.
    Serving,
    /// Requests are served, and each answer ends its connection.
    Leaving,
    /// New requests are refused; those that are open are finished.
    Refusing,
}

/// How far the process is on its way out, and what is still open.
#[derive(Debug, Clone)]
pub struct ServerControl {
    phase: watch::Sender<ServerPhase>,
    /// When every request has to have its final answer; absent while the process serves.
    last_answers: watch::Sender<Option<Instant>>,
    open_requests: Arc<AtomicUsize>,
    /// Whether so many connections of callers are open that no further one is accepted.
    is_full: Arc<AtomicBool>,
}

impl Default for ServerControl {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(ServerPhase::Serving),
            last_answers: watch::Sender::new(None),
            open_requests: Arc::default(),
            is_full: Arc::default(),
        }
    }
}

impl ServerControl {
    /// Starts to leave: each answer to a caller ends its connection, and every request has its final answer by
    /// `last_answers`.
    pub fn leave(&self, last_answers: Instant) {
        self.last_answers.send_replace(Some(last_answers));
        self.advance(ServerPhase::Leaving);
    }

    /// When every request has to have its final answer; absent while the process serves.
    #[must_use]
    pub fn last_answers(&self) -> Option<Instant> {
        *self.last_answers.borrow()
    }

    /// Waits until every request has to have its final answer.
    pub(crate) async fn reached_last_answers(&self) {
        let mut last_answers = self.last_answers.subscribe();
        let Ok(Some(at)) = last_answers.wait_for(Option::is_some).await.map(|at| *at) else {
            return std::future::pending().await;
        };
        sleep_until(at).await;
    }

    /// Goes on to `phase`; never back.
    pub fn advance(&self, phase: ServerPhase) {
        self.phase.send_modify(|present| *present = phase.max(*present));
    }

    /// The phase reached.
    #[must_use]
    pub fn phase(&self) -> ServerPhase {
        *self.phase.borrow()
    }

    /// Requests of callers that have no whole answer yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Whether so many connections of callers are open that no further one is accepted.
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

/// One open request.
#[derive(Debug)]
pub(super) struct OpenRequest {
    open_requests: Arc<AtomicUsize>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
