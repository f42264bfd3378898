//! Refuses runs whose calls would probably be refused, before they occupy a slot.

use parking_lot::Mutex;
use umberpond_model::ServiceName;
use umberpond_scheduling::{CallFailureEstimator, CallOutcome, PendingRun, RunRefusal};

use crate::clock::now;
use crate::outbound::{Reply, ReplyReason};
use crate::outcome::NotRunReason;
use crate::retries::RunContext;

/// Tracks the outcomes of the calls that the local back end makes, and decides which of its runs may begin.
#[derive(Debug, Default)]
pub(crate) struct CallGate {
    outlook: Mutex<CallFailureEstimator>,
}

impl CallGate {
    /// Records the reply to a call to `service` that `run` made.
    pub(crate) fn on_reply(&self, service: &ServiceName, run: &RunContext, reply: &Reply) {
        let end = call_outcome(reply);
        self.outlook.lock().record_call(now(), service, run.priority, run.level, end);
    }

    /// Records whether a run that has ended made calls.
    pub(crate) fn on_run_ended(&self, route: u32, has_called: bool) {
        self.outlook.lock().record_run(route, has_called);
    }

    /// Decides whether a run may begin while others wait for its slot.
    ///
    /// # Errors
    /// Returns [`RunRefusal`] if the run should be refused.
    pub(crate) fn begin_run(&self, plan: &PendingRun<'_>) -> Result<(), RunRefusal> {
        self.outlook.lock().begin_run(now(), plan)
    }
}

/// Derives the outcome of a call from the reply to it.
const fn call_outcome(reply: &Reply) -> CallOutcome {
    match reply.reason {
        Some(ReplyReason::NotRun(
            NotRunReason::Overloaded
            | NotRunReason::BackEndFull
            | NotRunReason::CallsOverloaded
            | NotRunReason::RequestLimit,
        )) => CallOutcome::Overloaded,
        Some(ReplyReason::NotRun(_) | ReplyReason::OverQuota) => CallOutcome::Refused,
        Some(_) | None => CallOutcome::Run,
    }
}
