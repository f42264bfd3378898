//! The attempts of one request, one after another, until it is answered or given up.

use std::time::Duration;

use http::{HeaderMap, Request, Response, request, response};
use tokio::time::Instant;
use umberpond_admission::{
    Attempt, AttemptStage, Deadline, Outcome as Verdict, RequestAttempts, RetryDecision,
};
use umberpond_balance::{NoEndpoint, Picked};
use umberpond_model::{Millis, NodeName};

use super::attempt::{self, Ended, Failed, Spent};
use super::body_fault_reason;
use crate::headers::{self, AttemptHeaders, names};
use crate::refusal::Refusal;
use crate::routing::CompiledRoute;
use crate::server::{Held, OpenRequest, ProxyBody};
use crate::state::Target;
use crate::wire::{AttemptBody, RequestBody, UpstreamBody};
use crate::{Phases, RefusalReason, RequestEvent, RetryReason};

/// Time that must be left for another attempt. One that is cut short by the deadline would turn a known rejection
/// into an unknown outcome.
const SHORTEST_RETRY: Millis = Millis(15);

/// A request on its way through its attempts.
struct Attempts<'a> {
    open: OpenRequest,
    route: &'a CompiledRoute,
    /// Method, target and headers as every attempt sends them.
    parts: request::Parts,
    body: RequestBody,
    deadline: Deadline,
    progress: RequestAttempts,
    tried: Vec<NodeName>,
    first_sent: Option<Instant>,
    phases: Phases,
    last_reason: RefusalReason,
}

/// Sends the request until it is answered or given up.
pub(super) async fn run(
    open: OpenRequest,
    route: &CompiledRoute,
    mut parts: request::Parts,
    body: RequestBody,
    deadline: Deadline,
) -> Response<ProxyBody> {
    parts.headers = headers::passed_on(std::mem::take(&mut parts.headers));
    add_credentials(&mut parts.headers, route);
    let Some(target) = open.state.target(&route.service) else {
        return open.refuse(Refusal::rejected(RefusalReason::NoEndpoint));
    };
    target.budget.on_request(open.state.now());
    let progress = RequestAttempts::new(route.idempotent, deadline);
    let attempts = Attempts {
        open,
        route,
        parts,
        body,
        deadline,
        progress,
        tried: Vec::new(),
        first_sent: None,
        phases: Phases::default(),
        last_reason: RefusalReason::NoEndpoint,
    };
    attempts.run(&target).await
}

/// Credentials replace whatever the caller sent under these names.
fn add_credentials(headers: &mut HeaderMap, route: &CompiledRoute) {
    for (name, value) in &route.credentials {
        headers.insert(name.clone(), value.clone());
    }
}

impl Attempts<'_> {
    async fn run(mut self, target: &Target) -> Response<ProxyBody> {
        loop {
            if self.deadline.has_passed(self.open.state.now()) {
                let refusal = self.refusal(RefusalReason::Deadline);
                return self.refuse(refusal);
            }
            let Ok(mut picked) = self.pick(target) else {
                let refusal = self.refusal(self.last_reason);
                return self.refuse(refusal);
            };
            let number = self.progress.number();
            let (ended, spent) = self.send(&picked, number).await;
            self.add(spent);
            match ended {
                Ended::Answered { head, body, observation } => {
                    let now = self.open.state.now();
                    if let Some(report) = &observation.report {
                        picked.report(now, report);
                    }
                    self.body.stop_keeping();
                    return self.answered(head, body, Held::Picked(picked, observation));
                }
                Ended::Failed(failed) => {
                    self.tell_failed(number, failed);
                    if let Some(refusal) = self.on_failed(target, picked, failed) {
                        return self.refuse(refusal);
                    }
                }
            }
        }
    }

    /// An endpoint that was not tried; if there is none, one that was. A request with the caller's own key goes
    /// where the key belongs, so that the caller's repetition meets the gate that remembers it.
    fn pick(&self, target: &Target) -> Result<Picked, NoEndpoint> {
        self.pick_without(target, &self.tried).or_else(|nothing| match nothing {
            NoEndpoint::AllExcluded if !self.tried.is_empty() => self.pick_without(target, &[]),
            NoEndpoint::AllExcluded | NoEndpoint::NoneReady => Err(nothing),
        })
    }

    fn pick_without(&self, target: &Target, tried: &[NodeName]) -> Result<Picked, NoEndpoint> {
        let state = &self.open.state;
        let now = state.now();
        match self.parts.headers.get(names::IDEMPOTENCY_KEY) {
            Some(key) if !self.route.idempotent => target.balancer.pick_for_key(now, key.as_bytes(), tried),
            _ => state.random.with(|random| target.balancer.pick(now, random, tried)),
        }
    }

    async fn send(&mut self, picked: &Picked, number: u32) -> (Ended, Spent) {
        let state = &self.open.state;
        let event = RequestEvent::Picked { request: self.open.request, attempt: number, node: picked.node() };
        state.observe(&event);
        if self.first_sent.is_none() {
            self.first_sent = Some(Instant::now());
            self.phases.admitted = self.open.started.elapsed();
        }
        let request = self.request(number);
        let deadline = state.instant(self.deadline.at());
        attempt::send(state, picked, self.open.request, request, deadline).await
    }

    fn request(&self, number: u32) -> Request<AttemptBody> {
        let state = &self.open.state;
        let age = self.first_sent.map_or(Millis(0), |first| crate::millis(first.elapsed()));
        let attempt = Attempt {
            request: self.open.request,
            number,
            class: self.route.class,
            idempotent: self.route.idempotent,
            remaining: self.deadline.remaining(state.now()),
            age,
            key: None,
        };
        let own = AttemptHeaders {
            service: self.route.service.clone(),
            caller: state.identity.node.clone(),
            attempt,
        };
        let body = self.body.next_attempt();
        let mut fields = self.parts.headers.clone();
        own.write(&mut fields);
        headers::set_framing(&mut fields, &body);
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = headers::origin_form(&self.parts.uri);
        *request.headers_mut() = fields;
        request
    }

    fn add(&mut self, spent: Spent) {
        self.phases.connecting += spent.connecting;
        self.phases.waiting += spent.waiting;
    }

    fn tell_failed(&self, attempt: u32, failed: Failed) {
        self.open.state.observe(&RequestEvent::AttemptFailed {
            request: self.open.request,
            attempt,
            stage: failed.stage,
            failure: failed.failure,
        });
    }

    /// Decides on another attempt; absent if one follows.
    fn on_failed(&mut self, target: &Target, picked: Picked, failed: Failed) -> Option<Refusal> {
        let now = self.open.state.now();
        self.tried.push(picked.node().clone());
        picked.finish(now, failed.observation);
        self.last_reason = failed.reason;
        let decision = self.progress.on_attempt_ended(now, failed.for_retry, &target.budget);
        let has_time = self.deadline.remaining(now) >= SHORTEST_RETRY;
        if decision == RetryDecision::RetryElsewhere && has_time && self.body.can_replay() {
            self.open.state.observe(&RequestEvent::Retried {
                request: self.open.request,
                attempt: self.progress.number(),
                reason: retry_reason(failed.for_retry),
            });
            return None;
        }
        Some(match self.body.fault() {
            Some(fault) => self.refusal(body_fault_reason(fault)).closing(),
            None => self.refusal(failed.reason),
        })
    }

    fn refuse(self, refusal: Refusal) -> Response<ProxyBody> {
        self.body.close();
        self.open.refuse(refusal)
    }

    fn answered(self, mut head: response::Parts, body: UpstreamBody, held: Held) -> Response<ProxyBody> {
        let origin = [names::OUTCOME, names::SERVED_BY, names::LOCALITY]
            .map(|name| (head.headers.get(&name).cloned(), name));
        head.headers = headers::passed_on(head.headers);
        for (value, name) in origin {
            if let Some(value) = value {
                head.headers.insert(name, value);
            }
        }
        let deadline = self.open.state.instant(self.deadline.at());
        self.open.relay(head, body, deadline, held, self.phases)
    }

    /// Rejected only if no attempt can have run.
    fn refusal(&self, reason: RefusalReason) -> Refusal {
        match self.progress.outcome_without_attempt() {
            Verdict::Rejected { retry_after } => {
                Refusal::rejected(reason).after(Duration::from_millis(retry_after.0))
            }
            Verdict::Unknown | Verdict::Answered => Refusal::unknown(as_unknown(reason)),
        }
    }
}

/// A reason that fits a request that may have run: an overload met by a later attempt does not.
const fn as_unknown(reason: RefusalReason) -> RefusalReason {
    match reason {
        RefusalReason::Deadline
        | RefusalReason::Duplicate
        | RefusalReason::SlowSender
        | RefusalReason::Malformed => reason,
        _ => RefusalReason::AttemptsExhausted,
    }
}

const fn retry_reason(stage: AttemptStage) -> RetryReason {
    match stage {
        AttemptStage::NotConnected | AttemptStage::NothingWritten => RetryReason::NothingWritten,
        AttemptStage::Refused { .. } => RetryReason::Rejected,
        AttemptStage::Written
        | AttemptStage::Duplicate
        | AttemptStage::AnswerBegun
        | AttemptStage::Answered => RetryReason::Idempotent,
    }
}
