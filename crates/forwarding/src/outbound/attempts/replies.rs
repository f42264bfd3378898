//! Builds the final reply to the caller and emits the events of a request.

use std::time::Duration;

use umberpond_model::NodeName;
use umberpond_scheduling::LoadReport;
use umberpond_selection::{Choice, RetryPriority};
use umberpond_telemetry::{Event, RequestDetail};

use super::Attempts;
use crate::inbound::millis;
use crate::message::{NotRun, Response, id_text};
use crate::outbound::reply::{Reply, ReplyReason, ServedBy};
use crate::outbound::retry_delay::RefusedRequest;
use crate::outcome::UnknownReason;
use crate::retries::RetryRefusal;

impl Attempts<'_> {
    /// Builds the reply to the caller from the response of a back end.
    pub(super) fn forward_response(&self, node: &NodeName, response: Response) -> Reply {
        let metrics = self.outbound.telemetry.metrics();
        metrics.request("answered", RequestDetail::Status(response.status));
        metrics.request_time(self.request.arrived.elapsed().as_secs_f64());
        self.outbound.telemetry.emit_sampled(|| Event::RequestServed {
            request: id_text(&self.request.id),
            route: self.request.route.name.clone(),
            service: self.request.service.clone(),
            node: node.clone(),
            status: response.status,
            attempts: self.attempts(),
            version: self.request.version,
            total_millis: millis(self.request.arrived.elapsed()),
            waited_millis: millis(response.waited),
            served_millis: millis(response.back_end_time),
        });
        let served = ServedBy {
            node,
            locality: self.outbound.locality_of(&self.request.service, node),
            version: self.request.version,
        };
        Reply::from_response(response, self.outbound.header_profile.response_headers.as_ref(), &served)
    }

    fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// Builds the reply to a request whose last attempt did not run. The reply guarantees that the request
    /// did not run, unless an earlier attempt may have run.
    pub(super) fn not_run(&mut self, not_run: NotRun) -> Reply {
        if let Some(retry_permit) = self.retry_permit.take() {
            retry_permit.give_back();
        }
        if let Some(reason) = self.may_have_run {
            return self.unknown(reason);
        }
        if let Some(permit) = self.request.permit.take() {
            permit.give_back();
        }
        let retry_delay = self.retry_delay(not_run);
        self.reply(ReplyReason::NotRun(not_run.reason), Some(retry_delay))
    }

    /// Builds the reply to a request that may have run: the failure response of a back end, if there is one.
    pub(super) fn unknown(&mut self, reason: UnknownReason) -> Reply {
        match self.failure.take() {
            Some(failure) => {
                let node = failure.node.clone();
                self.forward_response(&node, failure.into_response())
            }
            None => self.reply(ReplyReason::Unknown(reason), None),
        }
    }

    /// When the caller of a request that did not run should retry.
    fn retry_delay(&self, not_run: NotRun) -> Duration {
        let request = &self.request;
        let passed = request.arrived.elapsed();
        let caller_left = request.caller_timeout.saturating_sub(passed);
        let time_since_first_try = {
            let mut caller_timeouts = self.outbound.caller_timeouts.lock();
            caller_timeouts.on_refused(&request.route.name, caller_left);
            caller_timeouts.time_since_first_try(&request.route.name, request.caller_timeout)
        };
        let refused = RefusedRequest {
            reason: not_run.reason,
            retry_after: not_run.retry_after,
            objective_left: request.route.objective.saturating_sub(time_since_first_try + passed),
            caller_left,
            service: self.service_time,
            time_to_free_slot: not_run.load.as_ref().and_then(time_to_free_slot),
        };
        let after = refused.retry_delay(&mut *self.outbound.random.lock());
        if not_run.reached_back_end {
            self.emit_retry_delay(&refused, after);
        }
        after
    }

    pub(super) fn reply(&self, reason: ReplyReason, retry_after: Option<Duration>) -> Reply {
        self.outbound.telemetry.emit(Event::RequestGivenUp {
            request: id_text(&self.request.id),
            route: self.request.route.name.clone(),
            service: self.request.service.clone(),
            reason: reason.as_str(),
            outcome: reason.outcome(),
            attempts: self.attempts(),
            version: self.request.version,
            total_millis: millis(self.request.arrived.elapsed()),
            allowed_millis: millis(self.request.timeout),
        });
        self.outbound.local_reply(reason, retry_after, Some(&self.request.id))
    }

    fn emit_retry_delay(&self, refused: &RefusedRequest, after: Duration) {
        self.outbound.telemetry.emit(Event::ComeBackTold {
            request: id_text(&self.request.id),
            service: self.request.service.clone(),
            reason: refused.reason.as_str(),
            after_millis: millis(after),
            objective_left_millis: millis(refused.objective_left),
            service_millis: millis(refused.service),
        });
    }

    pub(super) fn emit_retry_withheld(&self, refusal: &RetryRefusal) {
        self.outbound.telemetry.emit(Event::RetryWithheld {
            request: id_text(&self.request.id),
            service: self.request.service.clone(),
            attempts: self.attempts(),
            origin: self.request.origin.as_str(),
            stake: refusal.priority.map_or("none", RetryPriority::as_str),
            saved: refusal.saved,
            most_saved: refusal.most_saved,
        });
    }

    pub(super) fn emit_retry(&self, choice: &Choice, reason: &'static str) {
        self.outbound.telemetry.emit(Event::RequestSentAgain {
            request: id_text(&self.request.id),
            service: self.request.service.clone(),
            after: choice.node.clone(),
            reason,
            attempts: self.attempts(),
        });
    }
}

/// Expected time until one of the slots in use becomes free.
fn time_to_free_slot(load: &LoadReport) -> Option<Duration> {
    load.service_time().map(|time| time / load.slots.max(1))
}
