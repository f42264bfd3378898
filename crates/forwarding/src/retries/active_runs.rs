//! Tracks the runs at the local back end, so that their calls can be recognized.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;
use umberpond_model::{ServiceName, TenantId};
use umberpond_scheduling::CallLevel;
use umberpond_selection::OtherCalls;

use super::call_rates::RunCalls;
use super::tracked_calls::{CallState, TrackedCalls};
use crate::message::Attempt;

/// Shortest time between two sweeps that remove expired runs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Origin of a request that reaches this node's outbound proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOrigin {
    /// Not made by a known run at the local back end.
    Outside,
    /// Call made by the first run of a request.
    FirstRun,
    /// Call made by a retried run.
    RetriedRun,
}

impl CallOrigin {
    /// Name of the origin in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Outside => "outside",
            Self::FirstRun => "first-run",
            Self::RetriedRun => "repeated-run",
        }
    }
}

/// Properties that a call inherits from the run that makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunContext {
    /// Priority of the run among the requests for its back end.
    pub(crate) priority: u8,
    /// Call level that its calls inherit.
    pub(crate) level: CallLevel,
    /// Tenant on whose behalf it runs, if any.
    pub(crate) tenant: Option<TenantId>,
    /// Time after which its response is useless.
    pub(crate) deadline: Instant,
}

/// Origin of a request, and the run that has made it, if known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestSource {
    pub(crate) origin: CallOrigin,
    pub(crate) run: Option<RunContext>,
}

impl RequestSource {
    const OUTSIDE: Self = Self { origin: CallOrigin::Outside, run: None };
}

#[derive(Debug)]
struct Run {
    context: RunContext,
    is_retry: bool,
    /// Hash of the name of its route.
    route: u32,
    calls: RunCalls,
    /// States of its calls.
    tracked_calls: TrackedCalls,
    /// Time at which a run whose response was not received is considered over.
    expires_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    runs: HashMap<Bytes, Run>,
    swept_at: Option<Instant>,
}

/// The runs at the local back end.
#[derive(Debug)]
pub(crate) struct ActiveRuns {
    /// Byte that separates the request ID of a run from the rest of the ID of its call.
    separator: Option<u8>,
    state: Mutex<State>,
}

impl ActiveRuns {
    /// Creates a tracker without runs; for `separator` see [`crate::HeaderProfile::call_separator`].
    pub(crate) fn new(separator: Option<u8>) -> Self {
        Self { separator, state: Mutex::default() }
    }

    /// Registers a request that is passed to the back end.
    pub(crate) fn begin(self: &Arc<Self>, attempt: &Attempt) -> ActiveRun {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.swept_at.is_none_or(|at| now.saturating_duration_since(at) >= SWEEP_INTERVAL) {
            state.swept_at = Some(now);
            state.runs.retain(|_id, run| run.expires_at.is_none_or(|at| at > now));
        }
        let Attempt { id, is_retry, route, deadline, .. } = attempt;
        let context = RunContext {
            priority: attempt.priority,
            level: attempt.level(),
            tenant: attempt.sharing_tenant(),
            deadline: *deadline,
        };
        let run = Run {
            context,
            is_retry: *is_retry,
            route: *route,
            calls: RunCalls::new(),
            tracked_calls: TrackedCalls::default(),
            expires_at: None,
        };
        state.runs.insert(id.clone(), run);
        ActiveRun { runs: Arc::clone(self), id: id.clone(), deadline: *deadline }
    }

    /// Counts the request `id` for `service`, and returns its origin.
    pub(crate) fn on_request(&self, id: &[u8], service: &ServiceName) -> RequestSource {
        let mut state = self.state.lock();
        let Some(end) = self.run_id_length(&state, id) else { return RequestSource::OUTSIDE };
        let Some(run) = state.runs.get_mut(&id[..end]) else { return RequestSource::OUTSIDE };
        match run.calls.iter_mut().find(|(called, _)| called == service) {
            Some((_, count)) => *count += 1,
            None => run.calls.push((service.clone(), 1)),
        }
        let origin = if run.is_retry { CallOrigin::RetriedRun } else { CallOrigin::FirstRun };
        RequestSource { origin, run: Some(run.context.clone()) }
    }

    /// Tracks the call `id` until the guard is dropped. Returns `None` if no known run has made it.
    pub(crate) fn follow(self: &Arc<Self>, id: &Bytes) -> Option<TrackedCall> {
        let mut state = self.state.lock();
        let end = self.run_id_length(&state, id)?;
        state.runs.get_mut(&id[..end])?.tracked_calls.begin(id);
        Some(TrackedCall { runs: Arc::clone(self), run: id.slice(..end), call: id.clone() })
    }

    /// Length of the prefix of the ID of a call that is the ID of its run; `None` if no known run has made
    /// it.
    fn run_id_length(&self, state: &State, id: &[u8]) -> Option<usize> {
        let separator = self.separator?;
        let mut ends = (1..id.len()).rev().filter(|at| id[*at] == separator);
        ends.find(|end| state.runs.contains_key(&id[..*end]))
    }

    fn set_call(&self, run: &[u8], call: &[u8], call_state: CallState) {
        if let Some(run) = self.state.lock().runs.get_mut(run) {
            run.tracked_calls.set(call, call_state);
        }
    }

    fn other_calls(&self, run: &[u8], call: &[u8]) -> OtherCalls {
        let state = self.state.lock();
        state.runs.get(run).map(|run| run.tracked_calls.others(call)).unwrap_or_default()
    }

    /// Number of retried runs of `route` at the back end.
    pub(crate) fn retried_runs(&self, route: u32) -> u32 {
        let state = self.state.lock();
        let is_counted = |run: &&Run| run.is_retry && run.route == route;
        u32::try_from(state.runs.values().filter(is_counted).count()).unwrap_or(u32::MAX)
    }

    fn end_run(&self, id: &[u8]) -> RunCalls {
        self.state.lock().runs.remove(id).map(|run| run.calls).unwrap_or_default()
    }

    fn expire_at(&self, id: &[u8], expires_at: Instant) {
        if let Some(run) = self.state.lock().runs.get_mut(id) {
            run.expires_at = Some(expires_at);
        }
    }
}

/// Guard of a tracked call of a run at the back end. A call dropped before it has completed counts as lost:
/// the run no longer waits for its response.
#[derive(Debug)]
pub(crate) struct TrackedCall {
    runs: Arc<ActiveRuns>,
    run: Bytes,
    call: Bytes,
}

impl TrackedCall {
    /// Records that a back end has rejected the call.
    pub(crate) fn on_rejected(&self) {
        self.runs.set_call(&self.run, &self.call, CallState::Rejected);
    }

    /// States of the other calls of its run.
    pub(crate) fn others(&self) -> OtherCalls {
        self.runs.other_calls(&self.run, &self.call)
    }

    /// Records that the call has completed successfully.
    pub(crate) fn on_answered(self) {
        self.runs.set_call(&self.run, &self.call, CallState::Completed);
    }
}

impl Drop for TrackedCall {
    fn drop(&mut self) {
        self.runs.set_call(&self.run, &self.call, CallState::Lost);
    }
}

/// Guard of one run at the back end. If it is dropped without [`ActiveRun::end`], the run counts until its
/// deadline: a back end may go on processing a request whose response nobody waits for, and make calls.
#[derive(Debug)]
pub(crate) struct ActiveRun {
    runs: Arc<ActiveRuns>,
    id: Bytes,
    deadline: Instant,
}

impl ActiveRun {
    /// Records that the back end has completed the request, and returns the calls that the run has made.
    pub(crate) fn end(self) -> RunCalls {
        self.runs.end_run(&self.id)
    }
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        self.runs.expire_at(&self.id, self.deadline);
    }
}
