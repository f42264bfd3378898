//! What the caller is told in the end, and what is logged on the way.

use std::time::Duration;

use umberpond_model::NodeName;
use umberpond_scheduling::LoadReport;
use umberpond_selection::{Choice, RetryPriority};
use umberpond_telemetry::{Event, RequestDetail};

use super::Attempts;
use crate::inbound::millis;
use crate::message::{NotRun, Response, id_text};
use crate::outbound::come_back::RefusedRequest;
use crate::outbound::reply::{Reply, ReplyReason, Served};
use crate::outcome::UnknownReason;
use crate::retries::RetryRefusal;

impl Attempts<'_> {
    /// Passes the answer of a back end on.
    pub(super) fn answer(&self, node: &NodeName, answer: Response) -> Reply {
        let metrics = self.outbound.telemetry.metrics();
        metrics.request("answered", RequestDetail::Status(answer.status));
        metrics.request_time(self.request.arrived.elapsed().as_secs_f64());
        self.outbound.telemetry.emit_sampled(|| Event::RequestServed {
            request: id_text(&self.request.id),
            route: self.request.route.name.clone(),
            service: self.request.service.clone(),
            node: node.clone(),
            status: answer.status,
            attempts: self.attempts(),
            version: self.request.version,
            total_millis: millis(self.request.arrived.elapsed()),
            waited_millis: millis(answer.waited),
            served_millis: millis(answer.back_end_time),
        });
        let served = Served {
            node,
            locality: self.outbound.locality_of(&self.request.service, node),
            version: self.request.version,
        };
        Reply::of_answer(answer, self.outbound.header_profile.marks.as_ref(), &served)
    }

    fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// The answer to a request that did not run on its last attempt: a promise, unless it may have run earlier.
    pub(super) fn not_run(&mut self, not_run: NotRun) -> Reply {
        if let Some(grant) = self.grant.take() {
            grant.give_back();
        }
        if let Some(reason) = self.may_have_run {
            return self.unknown(reason);
        }
        if let Some(permit) = self.request.permit.take() {
            permit.give_back();
        }
        let come_back = self.come_back(not_run);
        self.reply(ReplyReason::NotRun(not_run.reason), Some(come_back))
    }

    /// The answer to a request that may have run: the failure that a back end has answered, if one has.
    pub(super) fn unknown(&mut self, reason: UnknownReason) -> Reply {
        match self.failure.take() {
            Some(failure) => {
                let node = failure.node.clone();
                self.answer(&node, failure.into_answer())
            }
            None => self.reply(ReplyReason::Unknown(reason), None),
        }
    }

    /// When the caller of a request that did not run does best to send it again.
    fn come_back(&self, not_run: NotRun) -> Duration {
        let request = &self.request;
        let passed = request.arrived.elapsed();
        let caller_left = request.caller_timeout.saturating_sub(passed);
        let spent_before = {
            let mut caller_times = self.outbound.caller_times.lock();
            caller_times.on_refused(&request.route.name, caller_left);
            caller_times.spent_before(&request.route.name, request.caller_timeout)
        };
        let refused = RefusedRequest {
            reason: not_run.reason,
            retry_after: not_run.retry_after,
            objective_left: request.route.objective.saturating_sub(spent_before + passed),
            caller_left,
            service: self.service_time,
            slot_wait: not_run.load.as_ref().and_then(slot_wait),
        };
        let after = refused.come_back(&mut *self.outbound.random.lock());
        if not_run.reached_back_end {
            self.tell_come_back(&refused, after);
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
            allowed_millis: millis(self.request.time),
        });
        self.outbound.own_reply(reason, retry_after, Some(&self.request.id))
    }

    fn tell_come_back(&self, refused: &RefusedRequest, after: Duration) {
        self.outbound.telemetry.emit(Event::ComeBackTold {
            request: id_text(&self.request.id),
            service: self.request.service.clone(),
            reason: refused.reason.as_str(),
            after_millis: millis(after),
            objective_left_millis: millis(refused.objective_left),
            service_millis: millis(refused.service),
        });
    }

    pub(super) fn tell_withheld(&self, refusal: &RetryRefusal) {
        self.outbound.telemetry.emit(Event::RetryWithheld {
            request: id_text(&self.request.id),
            service: self.request.service.clone(),
            attempts: self.attempts(),
            origin: self.request.origin.as_str(),
            stake: refusal.stake.map_or("none", RetryPriority::as_str),
            saved: refusal.saved,
            most_saved: refusal.most_saved,
        });
    }

    pub(super) fn tell_retry(&self, choice: &Choice, reason: &'static str) {
        self.outbound.telemetry.emit(Event::RequestSentAgain {
            request: id_text(&self.request.id),
            service: self.request.service.clone(),
            after: choice.node.clone(),
            reason,
            attempts: self.attempts(),
        });
    }
}

/// Time after which one of the slots in use should be free.
fn slot_wait(load: &LoadReport) -> Option<Duration> {
    load.service_time().map(|time| time / load.slots.max(1))
}
