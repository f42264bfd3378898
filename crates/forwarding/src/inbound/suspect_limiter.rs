//! Limits how many suspect requests run at the same time, so that a crash of the back end shows which of them
//! caused it.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::{Instant, timeout_at};
use umberpond_quarantine::{RequestKey, SuspicionLevel};

use super::crash_watch::CrashWatch;
use crate::message::NotRun;
use crate::outcome::NotRunReason;
use crate::quarantine::Quarantine;

/// Number of slots per place for requests that were running at one crash. All but one of those requests are
/// innocent: with one place in total, 38 attempts were rejected in a minute in which five back ends of 18
/// slots crashed for another reason.
const SLOTS_PER_PLACE: u32 = 4;

/// A request that may be suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectRequest<'a> {
    pub(super) key: &'a RequestKey,
    /// Whether it is sent as a trial run, although it is quarantined.
    pub(super) is_trial: bool,
}

#[derive(Debug, Default)]
struct State {
    last_number: u64,
    /// Requests that hold a place, by the number of the place.
    held: BTreeMap<u64, RequestKey>,
}

/// The places in which suspect requests run.
#[derive(Debug)]
pub(super) struct SuspectLimiter {
    quarantine: Arc<Quarantine>,
    state: Mutex<State>,
}

impl SuspectLimiter {
    pub(super) fn new(quarantine: Arc<Quarantine>) -> Arc<Self> {
        Arc::new(Self { quarantine, state: Mutex::default() })
    }

    /// Waits until `until` for a place if the request is suspect; returns `None` if it is not. `slots` is the
    /// number of slots of the back end.
    ///
    /// # Errors
    /// Returns the reason for the rejection of the request.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        watch: &CrashWatch,
        request: SuspectRequest<'_>,
        slots: u32,
        until: Instant,
    ) -> Result<Option<SuspectPlace>, NotRun> {
        loop {
            let changed = self.quarantine.suspects_changed().notified();
            tokio::pin!(changed);
            // Registers for notifications before the check, so that no change is missed.
            changed.as_mut().enable();
            match self.try_acquire(watch, request, slots) {
                Err(NotRun { reason: NotRunReason::SuspectBusy, .. }) => {}
                other => return other,
            }
            if timeout_at(until, changed).await.is_err() {
                return Err(NotRun::before_back_end(NotRunReason::SuspectBusy));
            }
        }
    }

    /// As [`Self::acquire`], without waiting.
    ///
    /// # Errors
    /// Returns the reason for the rejection of the request.
    pub(super) fn try_acquire(
        self: &Arc<Self>,
        watch: &CrashWatch,
        request: SuspectRequest<'_>,
        slots: u32,
    ) -> Result<Option<SuspectPlace>, NotRun> {
        let key = request.key;
        let places = match self.quarantine.suspicion_level(key) {
            SuspicionLevel::Clear => return Ok(None),
            SuspicionLevel::Suspected => (slots / SLOTS_PER_PLACE).max(1) as usize,
            SuspicionLevel::Isolated => 1,
            SuspicionLevel::Paused(left) => {
                let not_run = NotRun::before_back_end(NotRunReason::SuspectPaused);
                return Err(NotRun { retry_after: Some(left), ..not_run });
            }
            SuspicionLevel::Quarantined if request.is_trial => 1,
            SuspicionLevel::Quarantined => return Err(NotRun::before_back_end(NotRunReason::Quarantined)),
        };
        let place = self.take_place(watch, key, places);
        place.map(Some).ok_or(NotRun::before_back_end(NotRunReason::SuspectBusy))
    }

    /// Takes a place if fewer than `places` are taken, and none of them by a request that must run alone.
    fn take_place(
        self: &Arc<Self>,
        watch: &CrashWatch,
        key: &RequestKey,
        places: usize,
    ) -> Option<SuspectPlace> {
        let mut state = self.state.lock();
        // Running requests that became suspect after they started count too.
        let runs = watch.runs_without_place().into_iter();
        let others = state.held.values().copied().chain(runs);
        let levels = others.map(|other| self.quarantine.suspicion_level(&other));
        let suspects: Vec<SuspicionLevel> = levels.filter(|level| *level != SuspicionLevel::Clear).collect();
        if suspects.len() >= places || suspects.iter().any(|level| *level > SuspicionLevel::Suspected) {
            return None;
        }
        state.last_number += 1;
        let number = state.last_number;
        state.held.insert(number, *key);
        Some(SuspectPlace { limiter: Arc::clone(self), number })
    }
}

/// A place for a suspect request, freed on drop.
#[derive(Debug)]
pub(super) struct SuspectPlace {
    limiter: Arc<SuspectLimiter>,
    number: u64,
}

impl Drop for SuspectPlace {
    fn drop(&mut self) {
        self.limiter.state.lock().held.remove(&self.number);
        self.limiter.quarantine.suspects_changed().notify_waiters();
    }
}
