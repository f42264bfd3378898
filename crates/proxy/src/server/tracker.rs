//! Counts the requests of one listener that are in flight, and how they end during a shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::{DrainReport, ShutdownPhase, ShutdownSignal};

/// Requests of one listener.
#[derive(Debug)]
pub(crate) struct Tracker {
    shutdown: ShutdownSignal,
    in_flight: AtomicU64,
    finished: AtomicU64,
    refused: AtomicU64,
    cut: AtomicU64,
}

impl Tracker {
    pub(crate) fn new(shutdown: ShutdownSignal) -> Arc<Self> {
        Arc::new(Self {
            shutdown,
            in_flight: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            cut: AtomicU64::new(0),
        })
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn start(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let began_running = self.phase() == ShutdownPhase::Running;
        InFlight { tracker: Arc::clone(self), began_running }
    }

    pub(crate) fn phase(&self) -> ShutdownPhase {
        self.shutdown.phase()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.phase() >= ShutdownPhase::Draining
    }

    pub(crate) fn report(&self) -> DrainReport {
        DrainReport {
            finished: self.finished.load(Ordering::Acquire),
            refused: self.refused.load(Ordering::Acquire),
            cut: self.cut.load(Ordering::Acquire),
        }
    }
}

/// One request in flight.
#[derive(Debug)]
pub(crate) struct InFlight {
    tracker: Arc<Tracker>,
    began_running: bool,
}

impl InFlight {
    /// Whether the process was told to leave at once.
    pub(crate) fn is_killed(&self) -> bool {
        self.tracker.phase() == ShutdownPhase::Killed
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let counter = match (self.tracker.phase(), self.began_running) {
            (ShutdownPhase::Running, _) => None,
            (ShutdownPhase::Draining, true) => Some(&self.tracker.finished),
            (ShutdownPhase::Draining, false) => Some(&self.tracker.refused),
            (ShutdownPhase::Killed, _) => Some(&self.tracker.cut),
        };
        if let Some(counter) = counter {
            counter.fetch_add(1, Ordering::AcqRel);
        }
        self.tracker.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
