//! Whether a request is sent to another back end.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_selection::RetryInitiator;

use super::Attempts;
use crate::message::NotRun;
use crate::retries::RetryKind;

/// Time that must be left for another attempt.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(10);
/// Most back ends at which one request arrives. Those that turn it away don't count against its route, and where four in a row do, the fault
/// is most likely that of the whole service.
const MAX_ARRIVALS: u32 = 4;
/// How long a call that was turned away waits until it shows whether the other calls of its run are turned away too. Back ends turn away at once, and calls made
/// together arrive within this time of each other; it is short against any objective.
const OTHER_CALLS_TIME: Duration = Duration::from_millis(10);

impl Attempts<'_> {
    /// Waits until it shows whether the other calls of the run are turned away as well as this one. If one is, a repeat of this call alone saves nothing.
    pub(super) async fn await_other_calls(&self, not_run: &NotRun) {
        let Some(followed) = self.followed.as_ref().filter(|_| not_run.reached_back_end) else { return };
        followed.on_rejected();
        let is_first = self.arrivals == 0;
        if is_first && followed.others().open > 0 && self.has_time_after(OTHER_CALLS_TIME) {
            sleep(OTHER_CALLS_TIME).await;
        }
    }

    /// Whether another back end may be given the request: by the route, the time left, the body and the budget.
    pub(super) fn may_reach_another(&mut self) -> bool {
        let may_run = self.runs < self.request.route.attempts;
        let may_arrive = self.arrivals < MAX_ARRIVALS.max(self.request.route.attempts);
        let can_be_sent = self.has_time() && !self.request.body.is_spent();
        may_run && may_arrive && can_be_sent && self.take_retry()
    }

    /// Takes a repeat out of the budget of the service, by what is at stake with it.
    fn take_retry(&mut self) -> bool {
        let owner = match &self.followed {
            Some(followed) => RetryInitiator::Run(followed.others()),
            None => RetryInitiator::Caller { rank: self.request.priority },
        };
        match self.outbound.ledger.take_for(&self.request.service, owner) {
            Ok(grant) => self.grant = Some(grant),
            Err(refusal) => {
                self.grant = None;
                self.tell_withheld(&refusal);
            }
        }
        self.grant.is_some()
    }

    /// Takes the first arrival of a call of a repeated run out of the budget of the service. The run holds a slot already, so it
    /// goes before all else.
    pub(super) fn take_repeated_call(&mut self) -> bool {
        self.grant = self.outbound.ledger.take(&self.request.service, RetryKind::RetriedRunCall);
        if self.grant.is_none() {
            self.tell_withheld(&self.outbound.ledger.refusal(&self.request.service));
        }
        self.grant.is_some()
    }

    pub(super) fn has_time(&self) -> bool {
        self.has_time_after(Duration::ZERO)
    }

    /// Whether there is time for another attempt after `pause`.
    fn has_time_after(&self, pause: Duration) -> bool {
        let end = self.request.deadline().min(self.request.queue_deadline());
        end.saturating_duration_since(Instant::now()) >= SHORTEST_ATTEMPT + pause
    }
}
