//! Refuses runs that would fail for want of their calls, before they hold a slot.

use parking_lot::Mutex;
use umberpond_model::ServiceName;
use umberpond_scheduling::{CallFailureEstimator, CallOutcome, PendingRun, RunRefusal};

use crate::clock::now;
use crate::outbound::{Reply, ReplyReason};
use crate::outcome::NotRunReason;
use crate::retries::RunContext;

/// How the calls fare that the back end beside this node makes, and which of its runs may begin.
#[derive(Debug, Default)]
pub(crate) struct CallGate {
    outlook: Mutex<CallFailureEstimator>,
}

impl CallGate {
    /// Takes in the reply to a call to `service` that `run` made.
    pub(crate) fn on_reply(&self, service: &ServiceName, run: &RunContext, reply: &Reply) {
        let end = end_of(reply);
        self.outlook.lock().record_call(now(), service, run.priority, run.level, end);
    }

    /// Takes in whether a run that has ended made calls.
    pub(crate) fn on_run_ended(&self, route: u32, has_called: bool) {
        self.outlook.lock().record_run(route, has_called);
    }

    /// Whether a run may begin while others want its slot.
    ///
    /// # Errors
    /// Returns [`RunRefusal`] if it is better refused.
    pub(crate) fn begin_run(&self, plan: &PendingRun<'_>) -> Result<(), RunRefusal> {
        self.outlook.lock().begin_run(now(), plan)
    }
}

/// How a call ended by the reply to it.
const fn end_of(reply: &Reply) -> CallOutcome {
    match reply.reason {
        Some(ReplyReason::NotRun(
            NotRunReason::Overloaded | NotRunReason::BackEndFull | NotRunReason::CallsOverloaded,
        )) => CallOutcome::NoRoom,
        Some(ReplyReason::NotRun(_) | ReplyReason::OverQuota) => CallOutcome::Refused,
        Some(_) | None => CallOutcome::Run,
    }
}
