//! One shutdown signal for every task of a listener: first drain, then, if asked, cut.

use tokio::sync::watch;

/// How far the shutdown has gone. It only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served.
    Running,
    /// New requests are refused as rejected; requests in flight finish.
    Draining,
    /// Everything stops at once.
    Killed,
}

/// Starts the drain and, if need be, the cut. Dropping it changes nothing.
#[derive(Debug, Clone)]
pub struct DrainHandle {
    sender: watch::Sender<ShutdownPhase>,
}

impl DrainHandle {
    /// Refuses new requests from now on and lets those in flight finish.
    pub fn drain(&self) {
        self.advance(ShutdownPhase::Draining);
    }

    /// Stops at once; requests in flight are cut and counted in the [`DrainReport`].
    pub fn kill(&self) {
        self.advance(ShutdownPhase::Killed);
    }

    fn advance(&self, phase: ShutdownPhase) {
        self.sender.send_if_modified(|current| {
            let moves = phase > *current;
            *current = phase.max(*current);
            moves
        });
    }
}

/// Receives the shutdown; every task holds a copy.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    receiver: watch::Receiver<ShutdownPhase>,
}

impl ShutdownSignal {
    /// The phase reached.
    #[must_use]
    pub fn phase(&self) -> ShutdownPhase {
        *self.receiver.borrow()
    }

    /// Waits until at least `phase` is reached; forever if the handle is gone before.
    pub async fn reached(&mut self, phase: ShutdownPhase) {
        if self.receiver.wait_for(|current| *current >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// A drain handle and the signal it drives.
#[must_use]
pub fn shutdown_channel() -> (DrainHandle, ShutdownSignal) {
    let (sender, receiver) = watch::channel(ShutdownPhase::Running);
    (DrainHandle { sender }, ShutdownSignal { receiver })
}

/// What a listener tells when it has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests in flight when the drain began that finished.
    pub finished: u64,
    /// Requests refused during the drain.
    pub refused: u64,
    /// Requests cut by [`DrainHandle::kill`].
    pub cut: u64,
}
