//! One attempt: a picked endpoint, a connection, an exchange, and the check that the answer is its own.

use std::time::Duration;

use http::{Request, response};
use tokio::time::Instant;
use umberpond_admission::{AttemptStage, RequestId};
use umberpond_balance::{EndpointReport, Observation, Picked, RequestResult};

use crate::headers::{EndpointHeaders, names, retry_after};
use crate::wire::{AttemptBody, Exchange, ExchangeFailure, UpstreamBody};
use crate::{AttemptFailure, Outcome, ProxyState, RefusalReason, Stage};

/// Reads that an unwanted answer may take, so that its connection can serve again.
const DISCARD_TIME: Duration = Duration::from_millis(100);

/// How an attempt ended.
pub(super) enum Ended {
    /// The back end answered this request.
    Answered { head: response::Parts, body: UpstreamBody, observation: Observation },
    /// It did not.
    Failed(Failed),
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Failed {
    /// For the decision on another attempt.
    pub(super) for_retry: AttemptStage,
    /// For the observer.
    pub(super) stage: Stage,
    pub(super) failure: AttemptFailure,
    /// For the balancer.
    pub(super) observation: Observation,
    /// What the caller is told if no attempt follows.
    pub(super) reason: RefusalReason,
}

/// Time spent in one attempt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Spent {
    pub(super) connecting: Duration,
    pub(super) waiting: Duration,
}

/// Sends one attempt to `picked` and waits for the head of its answer.
pub(super) async fn send(
    state: &ProxyState,
    picked: &Picked,
    id: RequestId,
    request: Request<AttemptBody>,
    deadline: Instant,
) -> (Ended, Spent) {
    let began = Instant::now();
    let lease = match state.nodes.get(picked.inbound(), deadline).await {
        Ok(lease) => lease,
        Err(_not_connected) => {
            let spent = Spent { connecting: began.elapsed(), ..Spent::default() };
            let failure = AttemptFailure::NotConnected;
            return (broken(ExchangeFailure { stage: Stage::Connect, failure }, spent), spent);
        }
    };
    let connecting = began.elapsed();
    let began_waiting = Instant::now();
    let result = Exchange::run(lease, request, deadline).await;
    let spent = Spent { connecting, waiting: began_waiting.elapsed() };
    let ended = match result {
        Ok(exchange) => on_head(exchange, picked, id, spent).await,
        Err(failure) => broken(failure, spent),
    };
    (ended, spent)
}

fn broken(failed: ExchangeFailure, spent: Spent) -> Ended {
    let for_retry = match failed.stage {
        Stage::Connect => AttemptStage::NotConnected,
        Stage::BeforeWrite => AttemptStage::NothingWritten,
        Stage::AwaitingAnswer | Stage::AnswerBody => AttemptStage::Written,
    };
    let reason = match failed.failure {
        AttemptFailure::Deadline => RefusalReason::Deadline,
        _ => RefusalReason::AttemptsExhausted,
    };
    let observation = observation(RequestResult::Failed, spent, None);
    Ended::Failed(Failed { for_retry, stage: failed.stage, failure: failed.failure, observation, reason })
}

/// Judges the head of an answer. Whatever it says counts only if it is about this very request. An answer also has
/// to come from the endpoint that was picked, in the locality that was allowed; a rejection need not: whoever
/// received the request says that it did not run it.
async fn on_head(exchange: Exchange, picked: &Picked, id: RequestId, spent: Spent) -> Ended {
    let Exchange { head, body } = exchange;
    let failed = |for_retry, failure, result, report, reason| {
        let observation = observation(result, spent, report);
        Ended::Failed(Failed { for_retry, stage: Stage::AnswerBody, failure, observation, reason })
    };
    let wrong = AttemptFailure::WrongAnswer;
    let exhausted = RefusalReason::AttemptsExhausted;
    let is_own =
        |origin: &EndpointHeaders| origin.request == id.to_string() && !head.status.is_informational();
    let Some(origin) = EndpointHeaders::read(&head.headers).filter(is_own) else {
        return failed(AttemptStage::Written, wrong, RequestResult::Failed, None, exhausted);
    };
    let report = Some(origin.report);
    let reason = peer_reason(&head);
    match origin.outcome {
        Outcome::Rejected => {
            let for_retry = AttemptStage::Refused { retry_after: retry_after(&head.headers) };
            body.discard(Instant::now() + DISCARD_TIME).await;
            failed(for_retry, AttemptFailure::RejectedByPeer, RequestResult::Rejected, report, reason)
        }
        Outcome::Unknown => {
            body.discard(Instant::now() + DISCARD_TIME).await;
            let is_duplicate = reason == RefusalReason::Duplicate;
            let for_retry = if is_duplicate { AttemptStage::Duplicate } else { AttemptStage::Written };
            failed(for_retry, AttemptFailure::UnknownAtPeer, RequestResult::Failed, report, reason)
        }
        Outcome::Answered if !is_from(&origin, picked) => {
            failed(AttemptStage::Written, wrong, RequestResult::Failed, None, exhausted)
        }
        Outcome::Answered => {
            let is_error = head.status.is_server_error();
            let result = if is_error { RequestResult::Failed } else { RequestResult::Answered };
            Ended::Answered { head, body, observation: observation(result, spent, report) }
        }
    }
}

fn is_from(origin: &EndpointHeaders, picked: &Picked) -> bool {
    origin.served_by == picked.node().as_str() && origin.locality == picked.locality().to_string()
}

/// Why the inbound half refused, as far as the caller should be told.
fn peer_reason(head: &response::Parts) -> RefusalReason {
    let reason = head.headers.get(names::REASON).map(http::HeaderValue::as_bytes);
    let is = |wanted: RefusalReason| reason == Some(wanted.as_str().as_bytes());
    [
        RefusalReason::Duplicate,
        RefusalReason::Overload,
        RefusalReason::Deadline,
        RefusalReason::BackendShed,
        RefusalReason::BackendNotReady,
        RefusalReason::Draining,
    ]
    .into_iter()
    .find(|wanted| is(*wanted))
    .unwrap_or(RefusalReason::AttemptsExhausted)
}

const fn observation(result: RequestResult, spent: Spent, report: Option<EndpointReport>) -> Observation {
    Observation { result, latency: spent.waiting, report }
}
