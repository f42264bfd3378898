//! The attempts of one request, one after another, until it is answered or given up.

mod choosing;
mod observing;
mod repeating;
mod replying;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use umberpond_model::NodeName;
use umberpond_selection::{Choice, ReleaseGroup};

use self::observing::SentGuard;
use super::failed_answer::FailedAnswer;
use super::prepared::PreparedRequest;
use super::reply::{Reply, ReplyReason};
use super::state::Outbound;
use crate::message::{Attempt, AttemptResult, NotRun, RequestBody, Response};
use crate::outcome::{NotRunReason, UnknownReason};
use crate::retries::{CallOrigin, RetryPermit, TrackedCall};

/// Attempts after the first one that never came near a back end, after which only nodes are asked where a slot should be free. Where
/// three nodes of a service are full, most are; what more attempts find is not worth their bytes and processor time.
const BLIND_ATTEMPTS: u32 = 2;
/// Most attempts that never came near a back end; they are free, but each takes time.
const MAX_FREE_ATTEMPTS: u32 = 8;

/// Nodes that keep a request from running for want of room for its calls, after which it is not tried elsewhere: what they have found is not theirs alone.
const WITHHOLDING_NODES: u32 = 2;
/// Lowest status of an answer with which a call has failed.
const FIRST_FAILURE: u16 = 500;

/// A request on its way through its attempts.
pub(super) struct Attempts<'a> {
    outbound: &'a Arc<Outbound>,
    request: PreparedRequest,
    tried: Vec<NodeName>,
    /// Time that the back end chosen last is expected to take.
    service_time: Duration,
    /// Releases to which the next attempt goes.
    group: ReleaseGroup,
    /// Back ends at which the request has arrived.
    arrivals: u32,
    /// Of these, back ends that may have run it.
    runs: u32,
    free_attempts: u32,
    /// Why an earlier attempt may have run, if one may.
    may_have_run: Option<UnknownReason>,
    /// The request among the calls of the run that has made it, if one has.
    followed: Option<TrackedCall>,
    /// A repeat that is paid for and has not arrived yet.
    grant: Option<RetryPermit>,
    /// Whether a back end has ended while it ran the request.
    has_crashed: bool,
    /// The failure that a back end answered, for the case that nothing better comes.
    failure: Option<FailedAnswer>,
}

/// How an attempt ended, as far as the next step is concerned.
enum Next {
    Reply(Reply),
    TryAgain,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(outbound: &'a Arc<Outbound>, request: PreparedRequest) -> Self {
        let followed = outbound.inbound.runs().follow(&request.id);
        Self {
            followed,
            outbound,
            request,
            tried: Vec::new(),
            service_time: Duration::ZERO,
            group: ReleaseGroup::Others,
            arrivals: 0,
            runs: 0,
            free_attempts: 0,
            may_have_run: None,
            grant: None,
            has_crashed: false,
            failure: None,
        }
    }

    /// Sends attempts until the request is answered or given up, at the latest when `cut_off` is reached.
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
        if let Some(followed) = self.followed.take_if(|_| reply.status < FIRST_FAILURE) {
            followed.on_answered();
        }
        reply
    }

    async fn send_all(&mut self) -> Reply {
        if self.request.origin == CallOrigin::RetriedRun && !self.take_repeated_call() {
            return self.not_run(NotRun::before_back_end(NotRunReason::RetryBudget));
        }
        let mut last = NotRun::before_back_end(self.nowhere());
        loop {
            if let Some(not_run) = self.kept_away() {
                return self.not_run(not_run);
            }
            let Some(choice) = self.choose_in_turn() else { return self.not_run(last) };
            if self.free_attempts > BLIND_ATTEMPTS && !choice.has_free_slot {
                return self.not_run(last);
            }
            let Some(body) = self.request.body.for_attempt() else { return self.not_run(last) };
            self.service_time = choice.service;
            let result = self.send(&choice, body).await;
            if let AttemptResult::NotRun(not_run) = &result {
                self.await_other_calls(not_run).await;
            }
            match self.on_result(&choice, result, &mut last) {
                Next::Reply(reply) => return reply,
                Next::TryAgain => {}
            }
        }
    }

    async fn send(&self, choice: &Choice, body: RequestBody) -> AttemptResult {
        let attempt = self.attempt(choice, body);
        let outbound = self.outbound;
        outbound.telemetry.metrics().attempt();
        outbound.selector.lock().on_sent(&self.request.service, &choice.node);
        let mut sent = SentGuard { attempts: self, node: &choice.node, is_open: true };
        let began = Instant::now();
        let result = if outbound.is_own(&choice.node, choice.address) {
            outbound.inbound.serve(attempt).await
        } else {
            outbound.hops.run(choice.address, attempt).await
        };
        sent.is_open = false;
        self.observe(choice, &result, began.elapsed());
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
            is_cross_zone: !choice.is_near,
            objective_at: request.objective_at(),
            deadline: request.deadline(),
            max_queue_wait: request.max_queue_wait(choice.service),
            queue_deadline: request.queue_deadline(),
            service_time: choice.service,
            is_caller_retry: request.is_caller_retry,
            is_repeat: self.arrivals > 0 || request.origin == CallOrigin::RetriedRun,
            call: request.call(),
        }
    }

    fn on_result(&mut self, choice: &Choice, result: AttemptResult, last: &mut NotRun) -> Next {
        self.tried.push(choice.node.clone());
        // A release that is tried out gets no request a second time.
        self.group = ReleaseGroup::Others;
        match result {
            AttemptResult::Answered(answer) => {
                self.on_run();
                self.on_answer(choice, answer)
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

    /// Takes in that a back end may have run the request.
    fn on_run(&mut self) {
        self.on_arrival();
        self.runs += 1;
    }

    /// Takes in that the request has arrived at a back end.
    fn on_arrival(&mut self) {
        self.arrivals += 1;
        self.grant = None;
    }

    fn on_answer(&mut self, choice: &Choice, answer: Response) -> Next {
        let is_worth_repeating = matches!(answer.status, 500 | 502 | 503) && self.request.route.is_idempotent;
        if is_worth_repeating && self.may_reach_another() {
            self.may_have_run = Some(UnknownReason::InvalidResponse);
            self.tell_retry(choice, "failed-answer");
            self.failure = FailedAnswer::keep(&choice.node, answer);
            return Next::TryAgain;
        }
        Next::Reply(self.answer(&choice.node, answer))
    }

    fn on_not_run(&mut self, choice: &Choice, not_run: NotRun) -> Next {
        if not_run.reached_back_end {
            self.on_arrival();
        } else {
            self.free_attempts += 1;
        }
        let is_allowed = if not_run.reached_back_end {
            self.may_reach_another()
        } else {
            self.has_time() && self.free_attempts <= MAX_FREE_ATTEMPTS && !self.request.body.is_spent()
        };
        let is_final = matches!(
            not_run.reason,
            NotRunReason::DeadlineBeforeRun
                | NotRunReason::RetryBudget
                | NotRunReason::Quarantined
                | NotRunReason::SuspectPaused
        ) || self.is_withheld(not_run.reason);
        if is_allowed && !is_final {
            self.tell_retry(choice, "not-run");
            return Next::TryAgain;
        }
        Next::Reply(self.not_run(not_run))
    }

    /// Whether enough nodes have found that the calls of the request would be refused.
    fn is_withheld(&self, reason: NotRunReason) -> bool {
        reason == NotRunReason::CallsOverloaded && self.free_attempts >= WITHHOLDING_NODES
    }

    fn on_unknown(&mut self, choice: &Choice, reason: UnknownReason) -> Next {
        let is_retried = self.request.route.is_idempotent && reason != UnknownReason::TimedOut;
        if is_retried && self.may_reach_another() {
            self.tell_retry(choice, "lost-answer");
            return Next::TryAgain;
        }
        Next::Reply(self.unknown(reason))
    }
}
