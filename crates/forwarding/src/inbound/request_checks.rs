//! Checks of a request before it is sent to the back end.

use umberpond_scheduling::PendingRun;
use umberpond_telemetry::Event;

use super::back_end::{Inbound, millis};
use crate::message::{Attempt, NotRun, id_text};
use crate::outcome::NotRunReason;

impl Inbound {
    /// Checks that the tenant is known here and that the request may be served in this node's region.
    pub(super) fn check_access(&self, attempt: &Attempt) -> Result<(), NotRunReason> {
        let access = self.access.load();
        let Some(access) = access.as_deref() else { return Ok(()) };
        if attempt.tenant.as_ref().is_some_and(|tenant| !access.tenants.knows(tenant)) {
            return Err(NotRunReason::UnknownTenant);
        }
        if attempt.homes.allow(&access.region) { Ok(()) } else { Err(NotRunReason::WrongLocality) }
    }

    /// Rejects a request if the process shuts down before its response can be expected.
    pub(super) fn check_shutdown(&self, attempt: &Attempt) -> Result<(), NotRun> {
        match self.shutdown_limit.get() {
            Some(limit) if attempt.deadline >= limit.response_deadline => {
                limit.check(&self.telemetry, &attempt.id, &attempt.service, attempt.service_time)
            }
            _ => Ok(()),
        }
    }

    /// Rejects a retried run if the retry budget does not cover its calls. Without them the run would fail,
    /// and hold a slot until then.
    pub(super) fn check_calls(&self, attempt: &Attempt) -> Result<(), NotRun> {
        if !attempt.is_retry {
            return Ok(());
        }
        let Some(ledger) = self.ledger.get() else { return Ok(()) };
        if ledger.can_afford_calls(attempt.route, self.runs.retried_runs(attempt.route) + 1) {
            return Ok(());
        }
        Err(NotRun::before_back_end(NotRunReason::RetryBudget))
    }

    /// Rejects a run that would fail for lack of its calls, while other requests need its slot.
    pub(super) fn check_call_capacity(&self, attempt: &Attempt) -> Result<(), NotRun> {
        let Some(ledger) = self.ledger.get() else { return Ok(()) };
        let calls = ledger.expected_calls(attempt.route);
        if calls.is_empty() || !self.admission.is_slot_wanted() {
            return Ok(());
        }
        let plan = PendingRun {
            route: attempt.route,
            priority: attempt.priority,
            level: attempt.level(),
            calls: &calls,
        };
        let Err(refusal) = self.calls.begin_run(&plan) else { return Ok(()) };
        self.telemetry.emit(Event::RunWithheld {
            request: id_text(&attempt.id),
            service: attempt.service.clone(),
            called: refusal.called,
            failing_percent: percent(refusal.failure_share),
            come_back_millis: millis(refusal.retry_after),
        });
        let not_run = NotRun::before_back_end(NotRunReason::CallsOverloaded);
        Err(NotRun { retry_after: Some(refusal.retry_after), ..not_run })
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share from 0 to 1")]
fn percent(share: f64) -> u64 {
    (share * 100.0).round() as u64
}
