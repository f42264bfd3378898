//! Reports the results of attempts to the endpoint selector.

use std::time::Duration;

use tokio::time::Instant;
use umberpond_model::NodeName;
use umberpond_selection::{Choice, Observation, ResponseTimes};

use super::Attempts;
use crate::message::{AttemptResult, NotRun};
use crate::outbound::expected_duration::record_duration_error;
use crate::outcome::{NotRunReason, UnknownReason};

impl Attempts<'_> {
    /// Reports to the selector how the attempt ended.
    pub(super) fn observe(&self, choice: &Choice, result: &AttemptResult, elapsed: Duration) {
        let observation = match result {
            AttemptResult::Answered(response) => Observation::Answered(response.load),
            AttemptResult::NotRun(not_run) => not_run_observation(not_run),
            AttemptResult::Unknown(UnknownReason::BodyBroken) => Observation::Abandoned,
            AttemptResult::Unknown(UnknownReason::NodeConnectionLost | UnknownReason::BackEndCrashed) => {
                Observation::Unreachable
            }
            AttemptResult::Unknown(_) => Observation::Failed,
        };
        if let AttemptResult::Answered(response) = result {
            record_duration_error(self.outbound.telemetry.metrics(), choice, response, elapsed);
        }
        let mut selector = self.outbound.selector.lock();
        let service = &self.request.service;
        let now = Instant::now().into_std();
        selector.on_ended(now, service, &choice.node, observation);
        if let AttemptResult::Answered(response) = result {
            let overhead = elapsed.saturating_sub(response.back_end_time).saturating_sub(response.waited);
            let route = &self.request.route.name;
            let times = ResponseTimes { served: response.back_end_time, overhead };
            selector.on_response_times(now, service, route, &choice.node, times);
        }
    }
}

/// Reports an attempt to the selector as abandoned if its future is dropped, for instance because the caller
/// disconnected.
pub(super) struct AttemptGuard<'a, 'b> {
    pub(super) attempts: &'a Attempts<'b>,
    pub(super) node: &'a NodeName,
    pub(super) is_open: bool,
}

impl Drop for AttemptGuard<'_, '_> {
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
        | (NotRunReason::BackEndUnreachable | NotRunReason::Evacuated | NotRunReason::Stopping, _) => {
            Observation::Unreachable
        }
        // These say nothing about the load of the back end.
        (NotRunReason::RetryBudget | NotRunReason::CallsOverloaded | NotRunReason::Quarantined, _)
        | (NotRunReason::SuspectPaused | NotRunReason::SuspectBusy, _) => Observation::Abandoned,
        (_, Some(load)) => Observation::Refused(load),
        (_, None) => Observation::Abandoned,
    }
}
