//! What the choice of endpoints learns from attempts.

use std::time::Duration;

use tokio::time::Instant;
use umberpond_model::NodeName;
use umberpond_selection::{Choice, Observation, ResponseTimes};

use super::Attempts;
use crate::message::{AttemptResult, NotRun};
use crate::outbound::expected_end::note_expected;
use crate::outcome::{NotRunReason, UnknownReason};

impl Attempts<'_> {
    /// Tells the selector how the attempt ended.
    pub(super) fn observe(&self, choice: &Choice, result: &AttemptResult, elapsed: Duration) {
        let observation = match result {
            AttemptResult::Answered(answer) => Observation::Answered(answer.load),
            AttemptResult::NotRun(not_run) => not_run_observation(not_run),
            AttemptResult::Unknown(UnknownReason::BodyBroken) => Observation::Abandoned,
            AttemptResult::Unknown(UnknownReason::NodeConnectionLost | UnknownReason::BackEndCrashed) => {
                Observation::Unreachable
            }
            AttemptResult::Unknown(_) => Observation::Failed,
        };
        if let AttemptResult::Answered(answer) = result {
            note_expected(self.outbound.telemetry.metrics(), choice, answer, elapsed);
        }
        let mut selector = self.outbound.selector.lock();
        let service = &self.request.service;
        let now = Instant::now().into_std();
        selector.on_ended(now, service, &choice.node, observation);
        if let AttemptResult::Answered(answer) = result {
            let overhead = elapsed.saturating_sub(answer.back_end_time).saturating_sub(answer.waited);
            let route = &self.request.route.name;
            let times = ResponseTimes { served: answer.back_end_time, overhead };
            selector.on_response_times(now, service, route, &choice.node, times);
        }
    }
}

/// Ends the count of an attempt whose caller has left.
pub(super) struct SentGuard<'a, 'b> {
    pub(super) attempts: &'a Attempts<'b>,
    pub(super) node: &'a NodeName,
    pub(super) is_open: bool,
}

impl Drop for SentGuard<'_, '_> {
    fn drop(&mut self) {
        if self.is_open {
            let now = Instant::now().into_std();
            let mut selector = self.attempts.outbound.selector.lock();
            selector.on_ended(now, &self.attempts.request.service, self.node, Observation::Abandoned);
        }
    }
}

fn not_run_observation(not_run: &NotRun) -> Observation {
    match (not_run.reason, not_run.load) {
        (NotRunReason::NodeUnreachable | NotRunReason::WrongInstance | NotRunReason::Draining, _)
        | (NotRunReason::BackEndUnreachable | NotRunReason::Evacuated, _) => Observation::Unreachable,
        // They say nothing of the back end's load.
        (NotRunReason::RetryBudget | NotRunReason::CallsOverloaded | NotRunReason::Quarantined, _)
        | (NotRunReason::SuspectPaused | NotRunReason::SuspectBusy, _) => Observation::Abandoned,
        (_, Some(load)) => Observation::Refused(load),
        (_, None) => Observation::Abandoned,
    }
}
