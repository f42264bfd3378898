//! Lets a request under suspicion run only while no other one is at the back end, so that an end of the back end tells which it was.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::{Instant, timeout_at};
use umberpond_quarantine::{RequestKey, Standing};

use super::crash_watch::CrashWatch;
use crate::message::NotRun;
use crate::outcome::NotRunReason;
use crate::quarantine::Quarantine;

/// The one place for requests under suspicion.
#[derive(Debug)]
pub(super) struct SuspectLane {
    quarantine: Arc<Quarantine>,
    is_taken: Mutex<bool>,
}

impl SuspectLane {
    pub(super) fn new(quarantine: Arc<Quarantine>) -> Arc<Self> {
        Arc::new(Self { quarantine, is_taken: Mutex::new(false) })
    }

    /// Waits until `until` for the lane if the request is under suspicion; absent if it is not.
    ///
    /// # Errors
    /// Tells why the request is refused.
    pub(super) async fn enter(
        self: &Arc<Self>,
        watch: &CrashWatch,
        key: &RequestKey,
        until: Instant,
    ) -> Result<Option<LaneTurn>, NotRun> {
        loop {
            let moved = self.quarantine.moved().notified();
            tokio::pin!(moved);
            // From here on no change is missed.
            moved.as_mut().enable();
            match self.try_enter(watch, key) {
                Err(NotRun { reason: NotRunReason::SuspectBusy, .. }) => {}
                other => return other,
            }
            if timeout_at(until, moved).await.is_err() {
                return Err(NotRun::before_back_end(NotRunReason::SuspectBusy));
            }
        }
    }

    /// The same at once.
    ///
    /// # Errors
    /// Tells why the request is refused.
    pub(super) fn try_enter(
        self: &Arc<Self>,
        watch: &CrashWatch,
        key: &RequestKey,
    ) -> Result<Option<LaneTurn>, NotRun> {
        match self.quarantine.standing(key) {
            Standing::Clear => Ok(None),
            Standing::Suspected => {
                let turn = self.take(watch);
                turn.map(Some).ok_or(NotRun::before_back_end(NotRunReason::SuspectBusy))
            }
            Standing::Paused(left) => Err(NotRun {
                retry_after: Some(left),
                ..NotRun::before_back_end(NotRunReason::SuspectPaused)
            }),
            Standing::Quarantined => Err(NotRun::before_back_end(NotRunReason::Quarantined)),
        }
    }

    fn take(self: &Arc<Self>, watch: &CrashWatch) -> Option<LaneTurn> {
        let mut is_taken = self.is_taken.lock();
        // What began before it came under suspicion counts too.
        if *is_taken || watch.runs_any(|key| self.quarantine.is_suspect(key)) {
            return None;
        }
        *is_taken = true;
        Some(LaneTurn { lane: Arc::clone(self) })
    }
}

/// The lane, held until this is dropped.
#[derive(Debug)]
pub(super) struct LaneTurn {
    lane: Arc<SuspectLane>,
}

impl Drop for LaneTurn {
    fn drop(&mut self) {
        *self.lane.is_taken.lock() = false;
        self.lane.quarantine.moved().notify_waiters();
    }
}
