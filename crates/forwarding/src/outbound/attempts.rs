//! The attempts of one request, one after another, until it is answered or given up.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_model::NodeName;
use umberpond_quarantine::Standing;
use umberpond_scheduling::LoadReport;
use umberpond_selection::{AnswerTimes, Choice, Observation, Query, ReleaseGroup, RetryOwner, RetryStake};
use umberpond_telemetry::{Event, RequestDetail};

use super::come_back::RefusedRequest;
use super::expected_end::note_expected;
use super::failed_answer::FailedAnswer;
use super::prepared::PreparedRequest;
use super::reply::{Reply, ReplyReason, Served};
use super::state::Outbound;
use crate::inbound::millis;
use crate::message::{Answer, Attempt, AttemptResult, NotRun, RequestBody};
use crate::outcome::{NotRunReason, UnknownReason};
use crate::repeats::{CallOrigin, FollowedCall, RepeatKind, RetryGrant, RetryRefusal};

/// Time that must be left for another attempt.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(10);
/// Attempts after the first one that never came near a back end, after which only nodes are asked where a slot should be free. Where
/// three nodes of a service are full, most are; what more attempts find is not worth their bytes and processor time.
const BLIND_ATTEMPTS: u32 = 2;
/// Most attempts that never came near a back end; they are free, but each takes time.
const MAX_FREE_ATTEMPTS: u32 = 8;
/// Most back ends at which one request arrives. Those that turn it away don't count against its route, and where four in a row do, the fault
/// is most likely that of the whole service.
const MAX_ARRIVALS: u32 = 4;

/// How long a call that was turned away waits until it shows whether the other calls of its run are turned away too. Back ends turn away at once, and calls made
/// together arrive within this time of each other; it is short against any objective.
const OTHER_CALLS_TIME: Duration = Duration::from_millis(10);
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
    followed: Option<FollowedCall>,
    /// A repeat that is paid for and has not arrived yet.
    grant: Option<RetryGrant>,
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
        self.group = self.outbound.selector.lock().deal_release(&self.request.service);
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
        if self.request.origin == CallOrigin::RepeatedRun && !self.take_repeated_call() {
            return self.not_run(NotRun::before_back_end(NotRunReason::RetryBudget));
        }
        let mut last = NotRun::before_back_end(self.nowhere());
        loop {
            if let Some(not_run) = self.kept_away() {
                return self.not_run(not_run);
            }
            let Some(choice) = self.choose_in_turn() else { return self.not_run(last) };
            if self.free_attempts > BLIND_ATTEMPTS && !choice.has_room {
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

    /// Waits until it shows whether the other calls of the run are turned away as well as this one. If one is, a repeat of this call alone saves nothing.
    async fn await_other_calls(&self, not_run: &NotRun) {
        let Some(followed) = self.followed.as_ref().filter(|_| not_run.reached_back_end) else { return };
        followed.on_rejected();
        let is_first = self.arrivals == 0;
        if is_first && followed.others().open > 0 && self.has_time_after(OTHER_CALLS_TIME) {
            sleep(OTHER_CALLS_TIME).await;
        }
    }

    /// Why the request is not sent at all if there is no endpoint for it.
    const fn nowhere(&self) -> NotRunReason {
        if self.request.homes.are_anywhere() { NotRunReason::NoEndpoint } else { NotRunReason::NoHome }
    }

    /// Why the request is kept away from all back ends, if it is.
    fn kept_away(&self) -> Option<NotRun> {
        match self.outbound.quarantine().standing(&self.request.request_key) {
            Standing::Clear | Standing::Suspected | Standing::Alone => None,
            Standing::Paused(left) => Some(NotRun {
                retry_after: Some(left),
                ..NotRun::before_back_end(NotRunReason::SuspectPaused)
            }),
            Standing::Quarantined => Some(NotRun::before_back_end(NotRunReason::Quarantined)),
        }
    }

    /// An endpoint that was not tried; of the other releases if the one to which the request was dealt has none.
    fn choose_in_turn(&mut self) -> Option<Choice> {
        if let Some(choice) = self.choose() {
            return Some(choice);
        }
        if self.group == ReleaseGroup::Others {
            return None;
        }
        self.group = ReleaseGroup::Others;
        self.choose()
    }

    /// Whether the request may have ended a back end.
    fn is_suspect(&self) -> bool {
        self.has_crashed || self.outbound.quarantine().is_suspect(&self.request.request_key)
    }

    /// An endpoint that was not tried.
    fn choose(&self) -> Option<Choice> {
        let now = Instant::now().into_std();
        let selector = self.outbound.selector.lock();
        let mut random = self.outbound.random.lock();
        let route = &self.request.route;
        let query = Query {
            route: &route.name,
            tried: &self.tried,
            group: self.group,
            objective: route.objective,
            homes: &self.request.homes,
        };
        match &self.request.key {
            // The caller's repetition has to meet the node that remembers the key.
            Some(key) if !route.is_idempotent => {
                selector.choose_for_key(now, &self.request.service, key, query)
            }
            // Wherever it enters it goes to the same back end, so that it can't end several at the same time.
            _ if self.is_suspect() => {
                let fingerprint = self.request.request_key.content;
                selector.choose_for_key(now, &self.request.service, fingerprint.as_bytes(), query)
            }
            _ => selector.choose(now, &mut *random, &self.request.service, query),
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
            is_far: !choice.is_near,
            objective_at: request.objective_at(),
            deadline: request.deadline(),
            patience: request.patience(choice.service),
            hold_until: request.hold_until(),
            service_time: choice.service,
            is_later_try: request.is_later_try,
            is_repeat: self.arrivals > 0 || request.origin == CallOrigin::RepeatedRun,
            call: request.call(),
        }
    }

    /// Tells the selector how the attempt ended.
    fn observe(&self, choice: &Choice, result: &AttemptResult, elapsed: Duration) {
        let observation = match result {
            AttemptResult::Answered(answer) => Observation::Answered(answer.load),
            AttemptResult::NotRun(not_run) => not_run_observation(not_run),
            AttemptResult::Unknown(UnknownReason::BodyBroken) => Observation::Abandoned,
            AttemptResult::Unknown(UnknownReason::NodeLost | UnknownReason::BackEndCrashed) => {
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
            let overhead = elapsed.saturating_sub(answer.served_in).saturating_sub(answer.waited);
            let route = &self.request.route.name;
            let times = AnswerTimes { served: answer.served_in, overhead };
            selector.on_times(now, service, route, &choice.node, times);
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

    fn on_answer(&mut self, choice: &Choice, answer: Answer) -> Next {
        let is_worth_repeating = matches!(answer.status, 500 | 502 | 503) && self.request.route.is_idempotent;
        if is_worth_repeating && self.may_reach_another() {
            self.may_have_run = Some(UnknownReason::AnswerSpoiled);
            self.tell_retry(choice, "failed-answer");
            self.failure = FailedAnswer::keep(&choice.node, answer);
            return Next::TryAgain;
        }
        Next::Reply(self.answer(&choice.node, answer))
    }

    /// Passes the answer of a back end on.
    fn answer(&self, node: &NodeName, answer: Answer) -> Reply {
        let metrics = self.outbound.telemetry.metrics();
        metrics.request("answered", RequestDetail::Status(answer.status));
        metrics.request_time(self.request.arrived.elapsed().as_secs_f64());
        self.outbound.telemetry.emit_sampled(|| Event::RequestServed {
            request: text(&self.request.id),
            route: self.request.route.name.clone(),
            service: self.request.service.clone(),
            node: node.clone(),
            status: answer.status,
            attempts: self.attempts(),
            version: self.request.version,
            total_millis: millis(self.request.arrived.elapsed()),
            waited_millis: millis(answer.waited),
            served_millis: millis(answer.served_in),
        });
        let served = Served {
            node,
            locality: self.outbound.locality_of(&self.request.service, node),
            version: self.request.version,
        };
        Reply::of_answer(answer, self.outbound.dialect.marks.as_ref(), &served)
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

    /// Whether another back end may be given the request: by the route, the time left, the body and the budget.
    fn may_reach_another(&mut self) -> bool {
        let may_run = self.runs < self.request.route.attempts;
        let may_arrive = self.arrivals < MAX_ARRIVALS.max(self.request.route.attempts);
        let can_be_sent = self.has_time() && !self.request.body.is_spent();
        may_run && may_arrive && can_be_sent && self.take_retry()
    }

    /// Takes a repeat out of the budget of the service, by what is at stake with it.
    fn take_retry(&mut self) -> bool {
        let owner = match &self.followed {
            Some(followed) => RetryOwner::Run(followed.others()),
            None => RetryOwner::Caller { rank: self.request.priority },
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
    fn take_repeated_call(&mut self) -> bool {
        self.grant = self.outbound.ledger.take(&self.request.service, RepeatKind::RepeatedCall);
        if self.grant.is_none() {
            self.tell_withheld(&self.outbound.ledger.refusal(&self.request.service));
        }
        self.grant.is_some()
    }

    fn has_time(&self) -> bool {
        self.has_time_after(Duration::ZERO)
    }

    /// Whether there is time for another attempt after `pause`.
    fn has_time_after(&self, pause: Duration) -> bool {
        let end = self.request.deadline().min(self.request.hold_until());
        end.saturating_duration_since(Instant::now()) >= SHORTEST_ATTEMPT + pause
    }

    fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// The answer to a request that did not run on its last attempt: a promise, unless it may have run earlier.
    fn not_run(&mut self, not_run: NotRun) -> Reply {
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
    fn unknown(&mut self, reason: UnknownReason) -> Reply {
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
        let spent_before =
            self.outbound.caller_times.lock().spent_before(&request.route.name, request.caller_time);
        let refused = RefusedRequest {
            reason: not_run.reason,
            retry_after: not_run.retry_after,
            objective_left: request.route.objective.saturating_sub(spent_before + passed),
            caller_left: request.caller_time.saturating_sub(passed),
            service: self.service_time,
            slot_wait: not_run.load.as_ref().and_then(slot_wait),
        };
        let after = refused.come_back(&mut *self.outbound.random.lock());
        self.outbound.caller_times.lock().on_refused(&request.route.name, refused.caller_left);
        if not_run.reached_back_end {
            self.tell_come_back(&refused, after);
        }
        after
    }

    fn reply(&self, reason: ReplyReason, retry_after: Option<Duration>) -> Reply {
        self.outbound.telemetry.emit(Event::RequestGivenUp {
            request: text(&self.request.id),
            route: self.request.route.name.clone(),
            service: self.request.service.clone(),
            reason: reason.word(),
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
            request: text(&self.request.id),
            service: self.request.service.clone(),
            reason: refused.reason.word(),
            after_millis: millis(after),
            objective_left_millis: millis(refused.objective_left),
            service_millis: millis(refused.service),
        });
    }

    fn tell_withheld(&self, refusal: &RetryRefusal) {
        self.outbound.telemetry.emit(Event::RetryWithheld {
            request: text(&self.request.id),
            service: self.request.service.clone(),
            attempts: self.attempts(),
            origin: self.request.origin.word(),
            stake: refusal.stake.map_or("none", RetryStake::word),
            saved: refusal.saved,
            most_saved: refusal.most_saved,
        });
    }

    fn tell_retry(&self, choice: &Choice, reason: &'static str) {
        self.outbound.telemetry.emit(Event::RequestSentAgain {
            request: text(&self.request.id),
            service: self.request.service.clone(),
            after: choice.node.clone(),
            reason,
            attempts: self.attempts(),
        });
    }
}

/// Ends the count of an attempt whose caller has left.
struct SentGuard<'a, 'b> {
    attempts: &'a Attempts<'b>,
    node: &'a NodeName,
    is_open: bool,
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

/// Time after which one of the slots in use should be free.
fn slot_wait(load: &LoadReport) -> Option<Duration> {
    load.service_time().map(|time| time / load.slots.max(1))
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

fn text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}
