//! Which requests ran at the back end when it ended.
//!
//! A broken connection alone says little: an answer is lost, a full back end resets. A back end has ended if it takes no connections any more, or if another life
//! of it is there though the one before did not say that it leaves.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;
use umberpond_quarantine::{CrashId, RequestKey};

use crate::upstream::{Contact, UpstreamPool};

/// Longest time in which a back end that lives takes a connection. It is on the same machine, and every request whose connection broke waits for this.
const CONTACT_TIME: Duration = Duration::from_millis(50);
/// Time for which a run without an answer counts as one during which the back end may have ended: longer than a back end takes to start anew.
const LOST_TIME: Duration = Duration::from_secs(10);
/// Most of them remembered.
const MAX_LOST: usize = 256;

#[derive(Debug)]
struct WatchedRun {
    id: Bytes,
    key: RequestKey,
    /// Whether it holds a place for requests under suspicion.
    has_place: bool,
    began_at: Instant,
    /// When it ended without an answer; absent while one is awaited.
    lost_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    /// Runs by their number.
    running: HashMap<u64, WatchedRun>,
    begun: u64,
    lost: Vec<WatchedRun>,
    has_ended: bool,
    /// When the last question began whether the back end still takes connections.
    asked_at: Option<Instant>,
}

/// The runs of one life of the back end.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    state: Mutex<State>,
    /// Held while the back end is asked.
    asking: tokio::sync::Mutex<()>,
}

/// Whether a back end still lives of which a connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LifeSign {
    /// It takes connections, or that isn't clear.
    Lives,
    /// It has ended, which was known.
    Ended,
    /// It has ended, which was not known.
    JustEnded(CrashReport),
}

/// The end of one life of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CrashReport {
    pub(super) crash: CrashId,
    /// What ran there.
    pub(super) requests: BTreeSet<RequestKey>,
}

impl CrashWatch {
    /// Takes in that the request called `id` is handed to the back end.
    pub(super) fn begin(self: &Arc<Self>, id: Bytes, key: RequestKey, has_place: bool) -> RunWatch {
        let mut state = self.state.lock();
        state.begun += 1;
        let number = state.begun;
        let run = WatchedRun { id, key, has_place, began_at: Instant::now(), lost_at: None };
        state.running.insert(number, run);
        RunWatch { watch: Arc::clone(self), number }
    }

    /// Whether the back end of this life is known to have ended.
    pub(super) fn has_ended(&self) -> bool {
        self.state.lock().has_ended
    }

    /// What runs without a place for requests under suspicion.
    pub(super) fn runs_without_place(&self) -> Vec<RequestKey> {
        let state = self.state.lock();
        state.running.values().filter(|run| !run.has_place).map(|run| run.key).collect()
    }

    /// Takes in that the back end of this life, which was called `instance`, is no more without having said so. Absent if that was known.
    pub(super) fn end(&self, instance: &str) -> Option<CrashReport> {
        let now = Instant::now();
        let mut state = self.state.lock();
        if std::mem::replace(&mut state.has_ended, true) {
            return None;
        }
        let running: Vec<WatchedRun> = state.running.drain().map(|(_number, run)| run).collect();
        let lost = std::mem::take(&mut state.lost).into_iter();
        let is_recent = |run: &WatchedRun| {
            run.lost_at.is_none_or(|lost_at| now.saturating_duration_since(lost_at) < LOST_TIME)
        };
        let runs: Vec<WatchedRun> = running.into_iter().chain(lost).filter(is_recent).collect();
        Some(CrashReport {
            crash: CrashId::of(instance, runs.iter().map(|run| &run.id[..])),
            requests: runs.iter().map(|run| run.key).collect(),
        })
    }

    /// Finds out whether the back end still lives, after a connection of `pool` to it broke. One of those that ask does; the others use what it has found.
    pub(super) async fn find_life(&self, instance: &str, pool: &UpstreamPool) -> LifeSign {
        let broke_at = Instant::now();
        let _asking = self.asking.lock().await;
        {
            let mut state = self.state.lock();
            if state.has_ended {
                return LifeSign::Ended;
            }
            if state.asked_at >= Some(broke_at) {
                return LifeSign::Lives;
            }
            state.asked_at = Some(Instant::now());
        }
        match pool.contact(CONTACT_TIME).await {
            Contact::Refused => self.end(instance).map_or(LifeSign::Ended, LifeSign::JustEnded),
            Contact::Taken | Contact::Unclear => LifeSign::Lives,
        }
    }

    /// Takes in that a run has ended; `is_answered` tells whether by an answer of the back end.
    fn finish(&self, number: u64, is_answered: bool) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(mut run) = state.running.remove(&number) else { return };
        if is_answered {
            // The back end has lived on after whatever was lost before.
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

/// A run that is watched. If nothing else is told of it, it has no answer when this is dropped.
#[derive(Debug)]
pub(super) struct RunWatch {
    watch: Arc<CrashWatch>,
    number: u64,
}

impl RunWatch {
    /// Takes in that the back end has answered, or has said that it did not run the request.
    pub(super) fn answered(self) {
        self.watch.finish(self.number, true);
    }

    /// Takes in that nothing of the request has reached the back end.
    pub(super) fn not_sent(self) {
        self.watch.state.lock().running.remove(&self.number);
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        self.watch.finish(self.number, false);
    }
}
