//! Tracks which requests ran at the back end when it crashed.
//!
//! A broken connection alone does not show a crash: a response can be lost, and a full back end resets
//! connections. A back end counts as crashed if it refuses connections, or if another process replaces it and
//! it had not announced its shutdown.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;
use umberpond_quarantine::{CrashId, RequestKey};

use crate::upstream::{ConnectCheck, UpstreamPool};

/// Timeout for connecting to a running back end. It is on the same machine, and every request whose
/// connection broke waits for this check.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a run without a response counts as one that a crash may have interrupted: longer than a
/// back end takes to restart.
const LOST_RUN_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of runs without a response that are kept.
const MAX_LOST: usize = 256;

#[derive(Debug)]
struct WatchedRun {
    id: Bytes,
    key: RequestKey,
    /// Whether the run holds one of the places for suspect requests.
    holds_place: bool,
    began_at: Instant,
    /// When the run ended without a response; `None` while it is running.
    lost_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    /// Runs by their number.
    running: HashMap<u64, WatchedRun>,
    last_number: u64,
    lost: Vec<WatchedRun>,
    is_crash_known: bool,
    /// When the last connection check started.
    checked_at: Option<Instant>,
}

/// The runs of one back-end process.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    state: Mutex<State>,
    /// Held during a connection check, so that only one runs at a time.
    check_lock: tokio::sync::Mutex<()>,
}

/// State of a back end after a connection to it broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Liveness {
    /// It accepts connections, or the check was inconclusive.
    Alive,
    /// It has crashed, which was already known.
    KnownCrash,
    /// It has crashed, which this check detected.
    NewCrash(CrashReport),
}

/// A crash of one back-end process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CrashReport {
    pub(super) crash: CrashId,
    /// Requests that were running there, or had lost their connection shortly before.
    pub(super) requests: BTreeSet<RequestKey>,
}

impl CrashWatch {
    /// Registers that the request `id` is sent to the back end.
    pub(super) fn begin(self: &Arc<Self>, id: Bytes, key: RequestKey, holds_place: bool) -> RunGuard {
        let mut state = self.state.lock();
        state.last_number += 1;
        let number = state.last_number;
        let run = WatchedRun { id, key, holds_place, began_at: Instant::now(), lost_at: None };
        state.running.insert(number, run);
        RunGuard { watch: Arc::clone(self), number }
    }

    /// Whether this back-end process is known to have crashed.
    pub(super) fn is_crash_known(&self) -> bool {
        self.state.lock().is_crash_known
    }

    /// Keys of the running requests that hold no place for suspect requests.
    pub(super) fn runs_without_place(&self) -> Vec<RequestKey> {
        let state = self.state.lock();
        state.running.values().filter(|run| !run.holds_place).map(|run| run.key).collect()
    }

    /// Records that this back-end process, identified by `instance`, ended without announcing its shutdown.
    /// Returns `None` if that was already known.
    pub(super) fn record_crash(&self, instance: &str) -> Option<CrashReport> {
        let now = Instant::now();
        let mut state = self.state.lock();
        if std::mem::replace(&mut state.is_crash_known, true) {
            return None;
        }
        let running: Vec<WatchedRun> = state.running.drain().map(|(_number, run)| run).collect();
        let lost = std::mem::take(&mut state.lost).into_iter();
        let is_recent = |run: &WatchedRun| {
            run.lost_at.is_none_or(|lost_at| now.saturating_duration_since(lost_at) < LOST_RUN_WINDOW)
        };
        let runs: Vec<WatchedRun> = running.into_iter().chain(lost).filter(is_recent).collect();
        Some(CrashReport {
            crash: CrashId::of(instance, runs.iter().map(|run| &run.id[..])),
            requests: runs.iter().map(|run| run.key).collect(),
        })
    }

    /// Checks whether the back end still accepts connections, after a connection of `pool` broke. One of the
    /// concurrent callers runs the check, and the others use its result.
    pub(super) async fn check_liveness(&self, instance: &str, pool: &UpstreamPool) -> Liveness {
        let broke_at = Instant::now();
        let _check_guard = self.check_lock.lock().await;
        {
            let mut state = self.state.lock();
            if state.is_crash_known {
                return Liveness::KnownCrash;
            }
            if state.checked_at >= Some(broke_at) {
                return Liveness::Alive;
            }
            state.checked_at = Some(Instant::now());
        }
        match pool.check_connect(CONNECT_TIMEOUT).await {
            ConnectCheck::Refused => {
                self.record_crash(instance).map_or(Liveness::KnownCrash, Liveness::NewCrash)
            }
            ConnectCheck::Accepted | ConnectCheck::Inconclusive => Liveness::Alive,
        }
    }

    /// Records the end of a run; `has_response` is whether the back end sent a response.
    fn finish(&self, number: u64, has_response: bool) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(mut run) = state.running.remove(&number) else { return };
        if has_response {
            // The response shows that the back end survived every run that was lost before this one started.
            state.lost.retain(|lost| lost.lost_at > Some(run.began_at));
            return;
        }
        if state.lost.len() >= MAX_LOST {
            state.lost.remove(0);
        }
        run.lost_at = Some(now);
        state.lost.push(run);
    }
}

/// A registered run. Dropping it records that the run ended without a response.
#[derive(Debug)]
pub(super) struct RunGuard {
    watch: Arc<CrashWatch>,
    number: u64,
}

impl RunGuard {
    /// Records that the back end sent a response, or reported that it did not run the request.
    pub(super) fn on_response(self) {
        self.watch.finish(self.number, true);
    }

    /// Removes the run, because no part of the request reached the back end.
    pub(super) fn not_sent(self) {
        self.watch.state.lock().running.remove(&self.number);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.watch.finish(self.number, false);
    }
}
