//! Slots, readiness and the ledger of one back end, behind one lock.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::Instant;

use super::BackendSettings;
use super::faults::{FaultChange, Faults};
use super::ledger::{Ledger, LedgerEntry};

/// How much longer a request takes right after a cold start; this falls to 1 over the warm-up.
const COLD_SERVICE_TIME_FACTOR: f64 = 4.0;

/// Longest lag of the reports, and so how long their history is kept.
const REPORT_HISTORY: Duration = Duration::from_secs(60);

/// Work that was refused before any of it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WorkRefused {
    /// No slot is free, or an injected fault says so.
    #[error("all slots are taken")]
    Overloaded,
    /// The back end is draining.
    #[error("the back end is draining")]
    Draining,
    /// The back end is starting cold.
    #[error("the back end is starting")]
    Starting,
}

/// What the health and load endpoints report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Whether it takes new work.
    pub healthy: bool,
    /// Requests running.
    pub outstanding: u64,
}

#[derive(Debug)]
struct Locked {
    faults: Faults,
    ready_at: Instant,
    warm_at: Instant,
    outstanding: u64,
    entries: Vec<LedgerEntry>,
    history: VecDeque<(Instant, Report)>,
}

/// The state shared by all requests of one back end.
#[derive(Debug)]
pub struct State {
    settings: BackendSettings,
    started: Instant,
    locked: Mutex<Locked>,
}

impl State {
    /// A back end that starts now, cold if its settings say so.
    pub fn new(settings: BackendSettings) -> Self {
        let started = Instant::now();
        let ready_at = started + settings.cold_start;
        let locked = Locked {
            faults: Faults::default(),
            ready_at,
            warm_at: ready_at + settings.warm_up,
            outstanding: 0,
            entries: Vec::new(),
            history: VecDeque::new(),
        };
        Self { settings, started, locked: Mutex::new(locked) }
    }

    /// How many requests run at the same time, at most.
    pub const fn slots(&self) -> u64 {
        self.settings.slots
    }

    /// The lasting faults in force.
    pub fn faults(&self) -> Faults {
        self.locked.lock().faults.clone()
    }

    /// Carries out an order to fail or to mend.
    pub fn change_faults(&self, change: &FaultChange) {
        let now = Instant::now();
        let mut locked = self.locked.lock();
        locked.faults.update(change);
        if let Some(millis) = change.cold_start_millis {
            locked.ready_at = now + Duration::from_millis(millis);
            locked.warm_at = locked.ready_at + self.settings.warm_up;
        }
        locked.remember(now);
    }

    /// Takes a slot and enters the request into the ledger.
    ///
    /// # Errors
    /// [`WorkRefused`] if nothing of it will run.
    pub fn begin(self: &Arc<Self>, request: RequestIdentity) -> Result<RunningWork, WorkRefused> {
        let now = Instant::now();
        let mut locked = self.locked.lock();
        locked.check_admission(now, self.settings.slots)?;
        locked.outstanding += 1;
        locked.remember(now);
        let index = locked.entries.len();
        locked.entries.push(LedgerEntry {
            request_id: request.request_id,
            idempotency_key: request.idempotency_key,
            path: request.path,
            started_millis: self.millis(now),
            finished_millis: None,
            advertised_limit: None,
            said_leaving: false,
            cancelled: false,
        });
        Ok(RunningWork { state: Arc::clone(self), index })
    }

    /// Service time of a request that asks for `asked`, or that of the settings, with faults and warm-up.
    pub fn service_time(&self, asked: Option<Duration>) -> Duration {
        let now = Instant::now();
        let locked = self.locked.lock();
        let remaining = locked.warm_at.saturating_duration_since(now).as_secs_f64();
        let warm_up = self.settings.warm_up.as_secs_f64();
        let coldness = if warm_up > 0.0 { (remaining / warm_up).min(1.0) } else { 0.0 };
        let factor = (COLD_SERVICE_TIME_FACTOR - 1.0).mul_add(coldness, 1.0);
        asked.unwrap_or(self.settings.service_time).mul_f64(factor) + locked.faults.delay
    }

    /// Identity of the back end, if it reports one.
    pub fn instance(&self) -> Option<&str> {
        self.settings.instance.as_deref()
    }

    /// What the endpoints report now: lagging and misleading if so ordered.
    pub fn report(&self) -> Report {
        let now = Instant::now();
        let locked = self.locked.lock();
        let mut report = locked.report_as_of(now);
        report.healthy ^= locked.faults.health_lies;
        report.outstanding = locked.faults.load_lies.unwrap_or(report.outstanding);
        report
    }

    /// What it ran until now.
    pub fn ledger(&self) -> Ledger {
        Ledger {
            backend: self.settings.name.clone(),
            service: self.settings.service.clone(),
            locality: self.settings.locality.clone(),
            entries: self.locked.lock().entries.clone(),
        }
    }

    fn millis(&self, at: Instant) -> u64 {
        u64::try_from(at.duration_since(self.started).as_millis()).unwrap_or(u64::MAX)
    }
}

impl Locked {
    fn check_admission(&self, now: Instant, slots: u64) -> Result<(), WorkRefused> {
        if self.faults.drain {
            return Err(WorkRefused::Draining);
        }
        if now < self.ready_at {
            return Err(WorkRefused::Starting);
        }
        if self.faults.refuse || self.outstanding >= slots {
            return Err(WorkRefused::Overloaded);
        }
        Ok(())
    }

    fn true_report(&self, now: Instant) -> Report {
        Report {
            healthy: !self.faults.drain && !self.faults.leaving && now >= self.ready_at,
            outstanding: self.outstanding,
        }
    }

    fn remember(&mut self, now: Instant) {
        let report = self.true_report(now);
        self.history.push_back((now, report));
        // One entry older than the history stays, as it says how things were at its beginning.
        while self.history.get(1).is_some_and(|(at, _)| now - *at > REPORT_HISTORY) {
            self.history.pop_front();
        }
    }

    fn report_as_of(&self, now: Instant) -> Report {
        let lag = self.faults.report_lag;
        if lag.is_zero() {
            return self.true_report(now);
        }
        let known = self.history.iter().rev().find(|(at, _)| now - *at >= lag);
        known.map_or(Report { healthy: now >= self.ready_at + lag, outstanding: 0 }, |(_, report)| *report)
    }
}

/// What identifies a request in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Request id, if it carries one.
    pub request_id: Option<String>,
    /// Idempotency key, if it carries one.
    pub idempotency_key: Option<String>,
    /// Path and query.
    pub path: String,
}

/// A running request. It holds its slot until dropped; dropped unfinished, it counts as cancelled.
#[derive(Debug)]
pub struct RunningWork {
    state: Arc<State>,
    index: usize,
}

impl RunningWork {
    /// Notes what the answer says about the back end.
    pub fn note_signals(&self, faults: &Faults) {
        let mut locked = self.state.locked.lock();
        let entry = &mut locked.entries[self.index];
        entry.advertised_limit = faults.request_limit;
        entry.said_leaving = faults.leaving;
    }

    /// Notes that the answer was handed over whole.
    pub fn finish(&self) {
        let now = Instant::now();
        let finished = self.state.millis(now);
        self.state.locked.lock().entries[self.index].finished_millis = Some(finished);
    }
}

impl Drop for RunningWork {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut locked = self.state.locked.lock();
        locked.outstanding -= 1;
        locked.remember(now);
        let entry = &mut locked.entries[self.index];
        entry.cancelled = entry.finished_millis.is_none();
    }
}
