//! Sends the attempts of one request, one after another, until it gets a response or is given up.

mod endpoint_choice;
mod observation;
mod replies;
mod retry_decision;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use umberpond_model::NodeName;
use umberpond_selection::{Choice, ReleaseGroup};

use self::observation::AttemptGuard;
use super::failed_response::FailedResponse;
use super::prepared::PreparedRequest;
use super::reply::{Reply, ReplyReason};
use super::state::Outbound;
use crate::message::{Attempt, AttemptResult, NotRun, RequestBody, Response};
use crate::outcome::{NotRunReason, UnknownReason};
use crate::quarantine::TrialPermit;
use crate::retries::{CallOrigin, RetryPermit, TrackedCall};

/// Number of attempts that ended before they reached a back end, after which only nodes with a free slot are
/// tried. If three nodes of a service are full, most of them are, and further attempts cost more bytes and
/// processor time than they gain.
const MAX_UNGUIDED_ATTEMPTS: u32 = 2;
/// Maximum number of attempts that end before they reach a back end. They don't count against the route's
/// limit, but each of them takes time.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 8;

/// Number of nodes that may withhold a request because the services it calls have no room; after that it is
/// not tried elsewhere, since the shortage isn't specific to one node.
const MAX_WITHHOLDING_NODES: u32 = 2;
/// Lowest response status that counts as a failed call.
const MIN_FAILURE_STATUS: u16 = 500;

/// State of a request while its attempts are sent.
pub(super) struct Attempts<'a> {
    outbound: &'a Arc<Outbound>,
    request: PreparedRequest,
    tried: Vec<NodeName>,
    /// Expected service time of the back end chosen last.
    service_time: Duration,
    /// Releases that are eligible for the next attempt.
    group: ReleaseGroup,
    /// Number of back ends that the request has reached.
    arrivals: u32,
    /// Number of back ends that may have run the request; a subset of `arrivals`.
    runs: u32,
    undelivered_attempts: u32,
    /// Why an earlier attempt may have run, if there is such an attempt.
    may_have_run: Option<UnknownReason>,
    /// Tracks the request among the calls of the run that made it, if there is one.
    tracked_call: Option<TrackedCall>,
    /// Retry that was taken out of the budget and has not reached a back end yet.
    retry_permit: Option<RetryPermit>,
    /// Whether a back end crashed while it ran the request.
    has_crashed: bool,
    /// The trial run that the request is sent as, until it has reached a back end.
    trial: Option<TrialPermit>,
    /// Last failure response of a back end, returned if no later attempt does better.
    failure: Option<FailedResponse>,
}

/// What to do after an attempt has ended.
enum NextStep {
    Reply(Reply),
    Retry,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(outbound: &'a Arc<Outbound>, request: PreparedRequest) -> Self {
        let tracked_call = outbound.inbound.runs().follow(&request.id);
        Self {
            tracked_call,
            outbound,
            request,
            tried: Vec::new(),
            service_time: Duration::ZERO,
            group: ReleaseGroup::Others,
            arrivals: 0,
            runs: 0,
            undelivered_attempts: 0,
            may_have_run: None,
            retry_permit: None,
            has_crashed: false,
            trial: None,
            failure: None,
        }
    }

    /// Sends attempts until the request gets a response or is given up, but no longer than until `cut_off`
    /// resolves.
    pub(super) async fn run(mut self, cut_off: impl Future<Output = ()>) -> Reply {
        self.outbound.ledger.count_request(&self.request.service, self.request.origin);
        self.group = self.outbound.selector.lock().assign_release(&self.request.service);
        let answered = tokio::select! {
            biased;
            reply = self.send_all() => Some(reply),
            () = cut_off => None,
        };
        let reply =
            answered.unwrap_or_else(|| self.reply(ReplyReason::Unknown(UnknownReason::TimedOut), None));
        if let Some(tracked_call) = self.tracked_call.take_if(|_| reply.status < MIN_FAILURE_STATUS) {
            tracked_call.on_answered();
        }
        reply
    }

    async fn send_all(&mut self) -> Reply {
        if self.request.origin == CallOrigin::RetriedRun && !self.take_retried_run_call() {
            return self.not_run(NotRun::before_back_end(NotRunReason::RetryBudget));
        }
        let mut last = NotRun::before_back_end(self.no_endpoint_reason());
        loop {
            if let Some(not_run) = self.quarantine_refusal().await {
                return self.not_run(not_run);
            }
            let Some(choice) = self.choose_endpoint() else { return self.not_run(last) };
            if self.undelivered_attempts > MAX_UNGUIDED_ATTEMPTS && !choice.has_free_slot {
                return self.not_run(last);
            }
            if let Err(not_run) = self.check_shutdown(&choice) {
                return self.not_run(not_run);
            }
            let Some(body) = self.request.body.for_attempt() else { return self.not_run(last) };
            self.service_time = choice.service;
            self.on_trial_sent(&choice);
            let result = self.send(&choice, body).await;
            if let AttemptResult::NotRun(not_run) = &result {
                self.await_other_calls(not_run).await;
            }
            match self.on_result(&choice, result, &mut last) {
                NextStep::Reply(reply) => return reply,
                NextStep::Retry => {}
            }
        }
    }

    async fn send(&self, choice: &Choice, body: RequestBody) -> AttemptResult {
        let attempt = self.attempt(choice, body);
        let outbound = self.outbound;
        outbound.telemetry.metrics().attempt();
        outbound.selector.lock().on_sent(&self.request.service, &choice.node);
        let mut sent = AttemptGuard { attempts: self, node: &choice.node, is_open: true };
        let began = Instant::now();
        let result = if outbound.is_local(&choice.node, choice.address) {
            outbound.inbound.serve(attempt).await
        } else {
            outbound.hops.run(choice.address, attempt).await
        };
        sent.is_open = false;
        self.observe(choice, &result, began.elapsed());
        if let AttemptResult::Answered(response) = &result {
            outbound.on_response(&self.request, choice, began, response);
        }
        result
    }

    fn attempt(&self, choice: &Choice, body: RequestBody) -> Attempt {
        let request = &self.request;
        Attempt {
            id: request.id.clone(),
            request_key: request.request_key,
            key: request.key.clone(),
            service: request.service.clone(),
            caller: (*self.outbound.caller()).clone(),
            tenant: request.tenant.clone(),
            homes: request.homes.clone(),
            method: request.head.method.clone(),
            target: request.head.target.clone(),
            fields: request.head.fields.clone(),
            body,
            is_idempotent: request.route.is_idempotent,
            route: request.route.number,
            priority: request.priority,
            is_cross_zone: !choice.is_same_zone,
            objective_at: request.objective_at(),
            deadline: request.deadline(),
            max_queue_wait: request.max_queue_wait(choice.service),
            queue_deadline: request.queue_deadline(),
            service_time: choice.service,
            is_caller_retry: request.is_caller_retry,
            is_retry: self.arrivals > 0 || request.origin == CallOrigin::RetriedRun,
            call: request.call(),
            is_trial: self.trial.is_some(),
            remembered_limit: self.outbound.remembered_limit(choice),
        }
    }

    fn on_result(&mut self, choice: &Choice, result: AttemptResult, last: &mut NotRun) -> NextStep {
        self.tried.push(choice.node.clone());
        // A retry never goes to the release that is being rolled out.
        self.group = ReleaseGroup::Others;
        match result {
            AttemptResult::Answered(response) => {
                self.on_run();
                self.on_response(choice, response)
            }
            AttemptResult::NotRun(not_run) => {
                *last = not_run;
                self.on_not_run(choice, not_run)
            }
            AttemptResult::Unknown(reason) => {
                self.on_run();
                self.may_have_run = Some(reason);
                self.has_crashed |= reason == UnknownReason::BackEndCrashed;
                self.on_unknown(choice, reason)
            }
        }
    }

    /// Records that a back end may have run the request.
    fn on_run(&mut self) {
        self.on_arrival();
        self.runs += 1;
    }

    /// Records that the request has reached a back end.
    fn on_arrival(&mut self) {
        self.arrivals += 1;
        self.retry_permit = None;
        self.trial = None;
    }

    fn on_response(&mut self, choice: &Choice, response: Response) -> NextStep {
        let is_worth_retrying =
            matches!(response.status, 500 | 502 | 503) && self.request.route.is_idempotent;
        if is_worth_retrying && self.may_reach_another() {
            self.may_have_run = Some(UnknownReason::InvalidResponse);
            self.emit_retry(choice, "failed-answer");
            self.failure = FailedResponse::keep(&choice.node, response);
            return NextStep::Retry;
        }
        NextStep::Reply(self.forward_response(&choice.node, response))
    }

    fn on_not_run(&mut self, choice: &Choice, not_run: NotRun) -> NextStep {
        if not_run.reached_back_end {
            self.on_arrival();
        } else {
            self.undelivered_attempts += 1;
            if let Some(trial) = &mut self.trial {
                trial.set_sent(false);
            }
        }
        let is_allowed = if not_run.reached_back_end {
            self.may_reach_another()
        } else {
            self.has_time()
                && self.undelivered_attempts <= MAX_UNDELIVERED_ATTEMPTS
                && !self.request.body.is_consumed()
        };
        let is_final = matches!(
            not_run.reason,
            NotRunReason::DeadlineBeforeRun
                | NotRunReason::RetryBudget
                | NotRunReason::Quarantined
                | NotRunReason::SuspectPaused
        ) || self.is_withheld(not_run.reason);
        if is_allowed && !is_final {
            self.emit_retry(choice, "not-run");
            return NextStep::Retry;
        }
        NextStep::Reply(self.not_run(not_run))
    }

    /// Whether enough nodes reported that the calls of the request would be rejected.
    fn is_withheld(&self, reason: NotRunReason) -> bool {
        reason == NotRunReason::CallsOverloaded && self.undelivered_attempts >= MAX_WITHHOLDING_NODES
    }

    fn on_unknown(&mut self, choice: &Choice, reason: UnknownReason) -> NextStep {
        let is_retried = self.request.route.is_idempotent && reason != UnknownReason::TimedOut;
        if is_retried && self.may_reach_another() {
            self.emit_retry(choice, "lost-answer");
            return NextStep::Retry;
        }
        NextStep::Reply(self.unknown(reason))
    }
}
