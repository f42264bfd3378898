//! The exchange of an admitted request with the local back end.

use http::header::HeaderMap;
use http::{Request, Response, StatusCode};
use tokio::time::Instant;
use umberpond_admission::{Completion, Permit};

use super::KEPT_FOR_BACKEND;
use crate::headers::{self, names};
use crate::refusal::Refusal;
use crate::server::{CallerBody, Held, OpenRequest, ProxyBody};
use crate::wire::{BodyFault, Exchange, ExchangeFailure, RequestBody};
use crate::{AttemptFailure, Outcome, Phases, RefusalReason, RequestEvent, Stage, millis};

/// Number of the only attempt that an inbound half makes.
const ONLY_ATTEMPT: u32 = 1;

/// Hands the request to the back end and passes its answer on. Dropping the future closes the connection to the
/// back end, which cancels the request there.
pub(super) async fn run(
    open: OpenRequest,
    request: Request<CallerBody>,
    permit: Permit,
    deadline: Instant,
) -> Response<ProxyBody> {
    let (parts, incoming) = request.into_parts();
    let body = RequestBody::new(incoming, 0, open.state.settings.body_read_timeout);
    let handed_over = Instant::now();
    let result = send(&open, parts, &body, deadline).await;
    match result {
        Ok((exchange, phases)) => on_answer(open, exchange, permit, deadline, handed_over, phases).await,
        Err(failure) => on_failure(open, &body, permit, failure),
    }
}

async fn send(
    open: &OpenRequest,
    parts: http::request::Parts,
    body: &RequestBody,
    deadline: Instant,
) -> Result<(Exchange, Phases), ExchangeFailure> {
    let not_connected = ExchangeFailure { stage: Stage::Connect, failure: AttemptFailure::NotConnected };
    let began = Instant::now();
    let backend = open.state.backend.as_ref().ok_or(not_connected)?;
    let lease = open.state.backend_pool.get(backend.address, deadline).await.map_err(|_| not_connected)?;
    let connecting = began.elapsed();
    let request = backend_request(parts, body, deadline);
    let began_waiting = Instant::now();
    let exchange = Exchange::run(lease, request, deadline).await?;
    let admitted = began.saturating_duration_since(open.started);
    let phases = Phases { admitted, connecting, waiting: began_waiting.elapsed(), ..Phases::default() };
    Ok((exchange, phases))
}

/// The request as the back end sees it: its own headers, the request id, the time left and the caller's key.
fn backend_request(
    parts: http::request::Parts,
    body: &RequestBody,
    deadline: Instant,
) -> Request<crate::wire::AttemptBody> {
    let kept: Vec<_> = KEPT_FOR_BACKEND
        .into_iter()
        .filter_map(|name| parts.headers.get(&name).cloned().map(|value| (name, value)))
        .collect();
    let mut headers = headers::passed_on(parts.headers);
    headers.extend(kept.into_iter().map(|(name, value)| (Some(name), value)));
    let remaining = deadline.saturating_duration_since(Instant::now());
    headers::set_number(&mut headers, names::DEADLINE, millis(remaining).0);
    let body = body.next_attempt();
    headers::set_framing(&mut headers, &body);
    let mut request = Request::new(body);
    *request.method_mut() = parts.method;
    *request.uri_mut() = headers::origin_form(&parts.uri);
    *request.headers_mut() = headers;
    request
}

async fn on_answer(
    open: OpenRequest,
    exchange: Exchange,
    permit: Permit,
    deadline: Instant,
    handed_over: Instant,
    phases: Phases,
) -> Response<ProxyBody> {
    let Exchange { mut head, body } = exchange;
    if head.status.is_informational() {
        return open.refuse(Refusal::unknown(RefusalReason::AttemptsExhausted));
    }
    if is_shed(head.status, &head.headers) {
        let retry_after = headers::retry_after(&head.headers);
        permit.finish(open.state.now(), Completion::Shed);
        body.discard(deadline).await;
        let retry_after = std::time::Duration::from_millis(retry_after.0);
        return open.refuse(Refusal::rejected(RefusalReason::BackendShed).after(retry_after));
    }
    head.headers = headers::passed_on(head.headers);
    head.headers.insert(names::OUTCOME, Outcome::Answered.to_header());
    open.relay(head, body, deadline, Held::Permit(permit, handed_over), phases)
}

/// Whether the back end itself says that it did not run the request.
fn is_shed(status: StatusCode, headers: &HeaderMap) -> bool {
    let says_rejected = headers.get(names::OUTCOME).and_then(Outcome::from_header) == Some(Outcome::Rejected);
    status == StatusCode::SERVICE_UNAVAILABLE && says_rejected
}

fn on_failure(
    open: OpenRequest,
    body: &RequestBody,
    permit: Permit,
    failed: ExchangeFailure,
) -> Response<ProxyBody> {
    let ExchangeFailure { stage, failure } = failed;
    let event = RequestEvent::AttemptFailed { request: open.request, attempt: ONLY_ATTEMPT, stage, failure };
    open.state.observe(&event);
    let completion = if failed.nothing_written() { Completion::NotSent } else { Completion::Broken };
    permit.finish(open.state.now(), completion);
    body.close();
    let reason = match (body.fault(), failure) {
        (Some(BodyFault::Slow), _) => RefusalReason::SlowSender,
        (Some(_), _) => RefusalReason::Malformed,
        (None, AttemptFailure::Deadline) => RefusalReason::Deadline,
        (None, _) if failed.nothing_written() => RefusalReason::BackendNotReady,
        (None, _) => RefusalReason::AttemptsExhausted,
    };
    let refusal = if failed.nothing_written() { Refusal::rejected(reason) } else { Refusal::unknown(reason) };
    let refusal = if body.fault().is_some() { refusal.closing() } else { refusal };
    open.refuse(refusal)
}
