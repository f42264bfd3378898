//! Decides whether a request is sent to another back end.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_selection::RetryInitiator;

use super::Attempts;
use crate::message::NotRun;
use crate::retries::RetryKind;

/// Minimum remaining time for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);
/// Maximum number of back ends that one request reaches. Rejections don't count against the route's limit on
/// runs, and if four back ends in a row reject a request, the fault is most likely in the whole service.
const MAX_ARRIVALS: u32 = 4;
/// How long a rejected call waits to find out whether the other calls of its run are rejected too. Back ends
/// reject immediately, and calls that are made together arrive within this time of each other. It is short
/// compared to any objective.
const OTHER_CALLS_WAIT: Duration = Duration::from_millis(10);

impl Attempts<'_> {
    /// Waits to find out whether the other calls of the run are rejected too. If one is, retrying this call
    /// alone doesn't save the run.
    pub(super) async fn await_other_calls(&self, not_run: &NotRun) {
        let Some(tracked_call) = self.tracked_call.as_ref().filter(|_| not_run.reached_back_end) else {
            return;
        };
        tracked_call.on_rejected();
        let is_first = self.arrivals == 0;
        if is_first && tracked_call.others().open > 0 && self.has_time_after(OTHER_CALLS_WAIT) {
            sleep(OTHER_CALLS_WAIT).await;
        }
    }

    /// Whether the request may be sent to another back end, given the route, the remaining time, the body and
    /// the retry budget.
    pub(super) fn may_reach_another(&mut self) -> bool {
        let may_run = self.runs < self.request.route.attempts;
        let may_arrive = self.arrivals < MAX_ARRIVALS.max(self.request.route.attempts);
        let can_be_sent = self.has_time() && !self.request.body.is_consumed();
        may_run && may_arrive && can_be_sent && self.take_retry()
    }

    /// Takes a retry out of the budget of the service, depending on what is lost without it.
    fn take_retry(&mut self) -> bool {
        let initiator = match &self.tracked_call {
            Some(tracked_call) => RetryInitiator::Run(tracked_call.others()),
            None => RetryInitiator::Caller { rank: self.request.priority },
        };
        match self.outbound.ledger.take_for(&self.request.service, initiator) {
            Ok(retry_permit) => self.retry_permit = Some(retry_permit),
            Err(refusal) => {
                self.retry_permit = None;
                self.emit_retry_withheld(&refusal);
            }
        }
        self.retry_permit.is_some()
    }

    /// Takes the first attempt of a call of a retried run out of the budget of the service. The run already
    /// holds a slot, so it takes precedence over everything else.
    pub(super) fn take_retried_run_call(&mut self) -> bool {
        self.retry_permit = self.outbound.ledger.take(&self.request.service, RetryKind::RetriedRunCall);
        if self.retry_permit.is_none() {
            self.emit_retry_withheld(&self.outbound.ledger.refusal(&self.request.service));
        }
        self.retry_permit.is_some()
    }

    pub(super) fn has_time(&self) -> bool {
        self.has_time_after(Duration::ZERO)
    }

    /// Whether there is time for another attempt after `pause`.
    fn has_time_after(&self, pause: Duration) -> bool {
        let end = self.request.deadline().min(self.request.queue_deadline());
        end.saturating_duration_since(Instant::now()) >= MIN_ATTEMPT_TIME + pause
    }
}
