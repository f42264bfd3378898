//! The runs at the back end beside this node, by which the calls that they make are known.

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
use super::followed_calls::{CallState, FollowedCalls};
use crate::message::Attempt;

/// Time between two looks for runs that are long over.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Where a request that reaches this node's outbound half comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOrigin {
    /// No run at the back end beside this node is known to have made it.
    Outside,
    /// A call of the first run of a request.
    FirstRun,
    /// A call of a run that was a repeat.
    RetriedRun,
}

impl CallOrigin {
    /// The origin as one word, for logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Outside => "outside",
            Self::FirstRun => "first-run",
            Self::RetriedRun => "repeated-run",
        }
    }
}

/// What a call inherits from the run that makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunContext {
    /// Its rank among the requests for its back end.
    pub(crate) priority: u8,
    /// Level that its calls take over.
    pub(crate) level: CallLevel,
    /// Tenant on whose behalf it runs; absent if it is of none.
    pub(crate) tenant: Option<TenantId>,
    /// End of the time within which its answer is of any use.
    pub(crate) deadline: Instant,
}

/// Where a request comes from, and the run that has made it, if one is known.
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
    is_repeat: bool,
    /// Hash of the name of its route.
    route: u32,
    calls: RunCalls,
    /// How its calls stand.
    followed: FollowedCalls,
    /// When a run whose answer did not come is over at the latest.
    over_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    runs: HashMap<Bytes, Run>,
    swept_at: Option<Instant>,
}

/// The runs at the back end beside this node.
#[derive(Debug)]
pub(crate) struct ActiveRuns {
    /// What stands between the identity of a request and the rest of that of a call.
    separator: Option<u8>,
    state: Mutex<State>,
}

impl ActiveRuns {
    /// Without runs; `separator` as in [`crate::HeaderProfile::call_separator`].
    pub(crate) fn new(separator: Option<u8>) -> Self {
        Self { separator, state: Mutex::default() }
    }

    /// Takes in that the back end is handed a request.
    pub(crate) fn begin(self: &Arc<Self>, attempt: &Attempt) -> OpenRun {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.swept_at.is_none_or(|at| now.saturating_duration_since(at) >= SWEEP_INTERVAL) {
            state.swept_at = Some(now);
            state.runs.retain(|_id, run| run.over_at.is_none_or(|at| at > now));
        }
        let Attempt { id, is_repeat, route, deadline, .. } = attempt;
        let context = RunContext {
            priority: attempt.priority,
            level: attempt.level(),
            tenant: attempt.sharing_tenant(),
            deadline: *deadline,
        };
        let run = Run {
            context,
            is_repeat: *is_repeat,
            route: *route,
            calls: RunCalls::new(),
            followed: FollowedCalls::default(),
            over_at: None,
        };
        state.runs.insert(id.clone(), run);
        OpenRun { runs: Arc::clone(self), id: id.clone(), deadline: *deadline }
    }

    /// Takes in that the request called `id` goes to `service`, and tells where it comes from.
    pub(crate) fn on_request(&self, id: &[u8], service: &ServiceName) -> RequestSource {
        let mut state = self.state.lock();
        let Some(end) = self.end_of_run(&state, id) else { return RequestSource::OUTSIDE };
        let Some(run) = state.runs.get_mut(&id[..end]) else { return RequestSource::OUTSIDE };
        match run.calls.iter_mut().find(|(called, _)| called == service) {
            Some((_, count)) => *count += 1,
            None => run.calls.push((service.clone(), 1)),
        }
        let origin = if run.is_repeat { CallOrigin::RetriedRun } else { CallOrigin::FirstRun };
        RequestSource { origin, run: Some(run.context.clone()) }
    }

    /// Follows the call named `id` until it ends; absent if it is none of a run at the back end.
    pub(crate) fn follow(self: &Arc<Self>, id: &Bytes) -> Option<TrackedCall> {
        let mut state = self.state.lock();
        let end = self.end_of_run(&state, id)?;
        state.runs.get_mut(&id[..end])?.followed.begin(id);
        Some(TrackedCall { runs: Arc::clone(self), run: id.slice(..end), call: id.clone() })
    }

    /// Where in the identity of a call that of its run ends; absent if no run is known to have made it.
    fn end_of_run(&self, state: &State, id: &[u8]) -> Option<usize> {
        let separator = self.separator?;
        let mut ends = (1..id.len()).rev().filter(|at| id[*at] == separator);
        ends.find(|end| state.runs.contains_key(&id[..*end]))
    }

    fn set_call(&self, run: &[u8], call: &[u8], call_state: CallState) {
        if let Some(run) = self.state.lock().runs.get_mut(run) {
            run.followed.set(call, call_state);
        }
    }

    fn other_calls(&self, run: &[u8], call: &[u8]) -> OtherCalls {
        let state = self.state.lock();
        state.runs.get(run).map(|run| run.followed.others(call)).unwrap_or_default()
    }

    /// Repeated runs of `route` at the back end.
    pub(crate) fn retried_runs(&self, route: u32) -> u32 {
        let state = self.state.lock();
        let is_counted = |run: &&Run| run.is_repeat && run.route == route;
        u32::try_from(state.runs.values().filter(is_counted).count()).unwrap_or(u32::MAX)
    }

    fn answered(&self, id: &[u8]) -> RunCalls {
        self.state.lock().runs.remove(id).map(|run| run.calls).unwrap_or_default()
    }

    fn abandoned(&self, id: &[u8], over_at: Instant) {
        if let Some(run) = self.state.lock().runs.get_mut(id) {
            run.over_at = Some(over_at);
        }
    }
}

/// A call of a run at the back end. It counts as lost when it is dropped before its end: whoever made it awaits no answer.
#[derive(Debug)]
pub(crate) struct TrackedCall {
    runs: Arc<ActiveRuns>,
    run: Bytes,
    call: Bytes,
}

impl TrackedCall {
    /// Takes in that a back end has turned the call away.
    pub(crate) fn on_rejected(&self) {
        self.runs.set_call(&self.run, &self.call, CallState::Rejected);
    }

    /// How the other calls of its run stand.
    pub(crate) fn others(&self) -> OtherCalls {
        self.runs.other_calls(&self.run, &self.call)
    }

    /// Takes in that the call was answered with success.
    pub(crate) fn on_answered(self) {
        self.runs.set_call(&self.run, &self.call, CallState::Answered);
    }
}

impl Drop for TrackedCall {
    fn drop(&mut self) {
        self.runs.set_call(&self.run, &self.call, CallState::Lost);
    }
}

/// One run at the back end. Unless it is known to have ended it counts until its deadline after this is dropped: a back end may go on
/// with a request whose answer nobody awaits, and make calls.
#[derive(Debug)]
pub(crate) struct OpenRun {
    runs: Arc<ActiveRuns>,
    id: Bytes,
    deadline: Instant,
}

impl OpenRun {
    /// Takes in that the back end is done with the request; tells the calls that the run has made.
    pub(crate) fn end(self) -> RunCalls {
        self.runs.answered(&self.id)
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.runs.abandoned(&self.id, self.deadline);
    }
}
