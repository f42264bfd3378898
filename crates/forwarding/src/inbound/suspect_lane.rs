//! Lets requests under suspicion run beside few others of them, so that an end of the back end tells which it was.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::{Instant, timeout_at};
use umberpond_quarantine::{RequestKey, SuspicionLevel};

use super::crash_watch::CrashWatch;
use crate::message::NotRun;
use crate::outcome::NotRunReason;
use crate::quarantine::Quarantine;

/// Of so many slots one is for a request that was at one end of a back end. All but one of those are innocent: with one place in all, 38 attempts were refused in a minute in which
/// five back ends of 18 slots ended for another reason.
const SLOTS_A_PLACE: u32 = 4;

#[derive(Debug, Default)]
struct State {
    given: u64,
    /// Requests that hold a place, by its number.
    held: BTreeMap<u64, RequestKey>,
}

/// The places for requests under suspicion.
#[derive(Debug)]
pub(super) struct SuspectLane {
    quarantine: Arc<Quarantine>,
    state: Mutex<State>,
}

impl SuspectLane {
    pub(super) fn new(quarantine: Arc<Quarantine>) -> Arc<Self> {
        Arc::new(Self { quarantine, state: Mutex::default() })
    }

    /// Waits until `until` for a place if the request is under suspicion; absent if it is not. The back end has `slots`.
    ///
    /// # Errors
    /// Tells why the request is refused.
    pub(super) async fn enter(
        self: &Arc<Self>,
        watch: &CrashWatch,
        key: &RequestKey,
        slots: u32,
        until: Instant,
    ) -> Result<Option<SuspectPlace>, NotRun> {
        loop {
            let moved = self.quarantine.moved().notified();
            tokio::pin!(moved);
            // From here on no change is missed.
            moved.as_mut().enable();
            match self.try_enter(watch, key, slots) {
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
        slots: u32,
    ) -> Result<Option<SuspectPlace>, NotRun> {
        let places = match self.quarantine.standing(key) {
            SuspicionLevel::Clear => return Ok(None),
            SuspicionLevel::Suspected => (slots / SLOTS_A_PLACE).max(1) as usize,
            SuspicionLevel::Isolated => 1,
            SuspicionLevel::Paused(left) => {
                let not_run = NotRun::before_back_end(NotRunReason::SuspectPaused);
                return Err(NotRun { retry_after: Some(left), ..not_run });
            }
            SuspicionLevel::Quarantined => return Err(NotRun::before_back_end(NotRunReason::Quarantined)),
        };
        let place = self.take(watch, key, places);
        place.map(Some).ok_or(NotRun::before_back_end(NotRunReason::SuspectBusy))
    }

    /// Takes a place if fewer than `places` are taken, and none by one that has to be alone.
    fn take(self: &Arc<Self>, watch: &CrashWatch, key: &RequestKey, places: usize) -> Option<SuspectPlace> {
        let mut state = self.state.lock();
        // What began before it came under suspicion counts too.
        let runs = watch.runs_without_place().into_iter();
        let others = state.held.values().copied().chain(runs);
        let standings = others.map(|other| self.quarantine.standing(&other));
        let suspects: Vec<SuspicionLevel> =
            standings.filter(|standing| *standing != SuspicionLevel::Clear).collect();
        if suspects.len() >= places || suspects.iter().any(|standing| *standing > SuspicionLevel::Suspected) {
            return None;
        }
        state.given += 1;
        let number = state.given;
        state.held.insert(number, *key);
        Some(SuspectPlace { lane: Arc::clone(self), number })
    }
}

/// A place for a request under suspicion, held until this is dropped.
#[derive(Debug)]
pub(super) struct SuspectPlace {
    lane: Arc<SuspectLane>,
    number: u64,
}

impl Drop for SuspectPlace {
    fn drop(&mut self) {
        self.lane.state.lock().held.remove(&self.number);
        self.lane.quarantine.moved().notify_waiters();
    }
}
