//! The runs at the back end beside this node, by which the calls that they make are known.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;

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
    RepeatedRun,
}

impl CallOrigin {
    /// The origin as one word, for logs.
    pub(crate) const fn word(self) -> &'static str {
        match self {
            Self::Outside => "outside",
            Self::FirstRun => "first-run",
            Self::RepeatedRun => "repeated-run",
        }
    }
}

#[derive(Debug)]
struct Run {
    is_repeat: bool,
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
pub(crate) struct OpenRuns {
    /// What stands between the identity of a request and the rest of that of a call.
    separator: Option<u8>,
    state: Mutex<State>,
}

impl OpenRuns {
    /// Without runs; `separator` as in [`crate::Dialect::call_separator`].
    pub(crate) fn new(separator: Option<u8>) -> Self {
        Self { separator, state: Mutex::default() }
    }

    /// Takes in that the back end is handed the request called `id`, which it is to work on until `deadline` at most.
    pub(crate) fn begin(self: &Arc<Self>, id: &Bytes, is_repeat: bool, deadline: Instant) -> OpenRun {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.swept_at.is_none_or(|at| now.saturating_duration_since(at) >= SWEEP_INTERVAL) {
            state.swept_at = Some(now);
            state.runs.retain(|_id, run| run.over_at.is_none_or(|at| at > now));
        }
        state.runs.insert(id.clone(), Run { is_repeat, over_at: None });
        OpenRun { runs: Arc::clone(self), id: id.clone(), deadline }
    }

    /// Where the request called `id` comes from.
    pub(crate) fn origin(&self, id: &[u8]) -> CallOrigin {
        let Some(separator) = self.separator else { return CallOrigin::Outside };
        let state = self.state.lock();
        let ends = (1..id.len()).rev().filter(|at| id[*at] == separator);
        let run = ends.into_iter().find_map(|at| state.runs.get(&id[..at]));
        match run {
            None => CallOrigin::Outside,
            Some(Run { is_repeat: false, .. }) => CallOrigin::FirstRun,
            Some(Run { is_repeat: true, .. }) => CallOrigin::RepeatedRun,
        }
    }

    fn answered(&self, id: &[u8]) {
        self.state.lock().runs.remove(id);
    }

    fn abandoned(&self, id: &[u8], over_at: Instant) {
        if let Some(run) = self.state.lock().runs.get_mut(id) {
            run.over_at = Some(over_at);
        }
    }
}

/// One run at the back end. Unless it is known to have ended it counts until its deadline after this is dropped: a back end may go on
/// with a request whose answer nobody awaits, and make calls.
#[derive(Debug)]
pub(crate) struct OpenRun {
    runs: Arc<OpenRuns>,
    id: Bytes,
    deadline: Instant,
}

impl OpenRun {
    /// Takes in that the back end is done with the request.
    pub(crate) fn end(self) {
        self.runs.answered(&self.id);
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.runs.abandoned(&self.id, self.deadline);
    }
}
