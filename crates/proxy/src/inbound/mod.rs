//! The inbound half: the gate before the local back end.
//!
//! It is the proof of what may run here, whatever the caller's node believes: it refuses work for another service,
//! for a locality that the service does not allow, for a back end that is not ready, and for a request that it
//! admitted before. A refusal says `rejected` only where it is known that the request did not run.

mod exchange;

use http::{Request, Response};
use tokio::time::Instant;
use umberpond_admission::{
    Admitted, Attempt, Permit, Refusal as GateRefusal, RefusalReason as GateReason, RequestId,
};
use umberpond_model::ServiceName;

use crate::headers::{AttemptHeaders, EndpointHeaders, names};
use crate::refusal::Refusal;
use crate::server::{CallerBody, OpenRequest, ProxyBody, Server};
use crate::{Outcome, ProxyState, RefusalReason, RequestEvent, millis};

/// Answers one request of another node.
pub(crate) async fn handle(server: &Server, request: Request<CallerBody>) -> Response<ProxyBody> {
    let request_id = request.headers().get(names::REQUEST_ID).cloned();
    let mut response = answer(server, request).await;
    let is_draining = server.tracker.is_draining();
    let report = server.state.endpoint_report(is_draining);
    let headers = response.headers_mut();
    EndpointHeaders::write(headers, &server.state.identity, &report);
    if let Some(request_id) = request_id {
        headers.insert(names::REQUEST_ID, request_id);
    }
    if is_draining {
        headers.insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    response
}

async fn answer(server: &Server, request: Request<CallerBody>) -> Response<ProxyBody> {
    let started = Instant::now();
    let in_flight = server.tracker.start();
    let state = &server.state;
    let headers = match AttemptHeaders::read(&request) {
        Ok(headers) => headers,
        Err(malformed) => {
            let refusal = Refusal::malformed(malformed);
            return state.refuse(refusal, None, Some(in_flight));
        }
    };
    let open = OpenRequest::new(state, headers.attempt.request, started, in_flight);
    if let Err(reason) = check_place(state, &headers.service, server.tracker.is_draining()) {
        return open.refuse(refuse_outside_gate(state, &headers.attempt, reason));
    }
    let deadline = started + std::time::Duration::from_millis(headers.attempt.remaining.0);
    match admit(state, &headers.attempt, deadline).await {
        Err(refusal) => open.refuse(refusal),
        Ok(permit) => {
            state.observe(&RequestEvent::Admitted {
                request: open.request,
                queued: millis(started.elapsed()),
            });
            exchange::run(open, request, permit, deadline).await
        }
    }
}

/// Whether a request for `service` may be served here at all.
fn check_place(state: &ProxyState, service: &ServiceName, is_draining: bool) -> Result<(), RefusalReason> {
    if state.identity.service.as_ref() != Some(service) {
        return Err(RefusalReason::WrongService);
    }
    if is_draining {
        return Err(RefusalReason::Draining);
    }
    let table = state.table().ok_or(RefusalReason::NoConfiguration)?;
    let own = table.service(service.as_str()).ok_or(RefusalReason::NoConfiguration)?;
    if !own.allows(&state.identity.locality) {
        return Err(RefusalReason::WrongLocality);
    }
    Ok(())
}

/// A refusal made before the gate decides. The gate remembers it, so that a copy of the request never runs here after
/// the caller's node has sent it elsewhere; and it knows whether the request ran here before.
fn refuse_outside_gate(state: &ProxyState, attempt: &Attempt, reason: RefusalReason) -> Refusal {
    // A node's service never changes, so no copy of a request for another one can run here.
    let gate = state.gate().filter(|_| reason != RefusalReason::WrongService);
    let Some(gate) = gate else { return Refusal::rejected(reason) };
    match gate.refuse(state.now(), attempt) {
        Ok(()) => Refusal::rejected(reason),
        Err(refusal) => on_gate_refusal(state, attempt.request, refusal),
    }
}

/// Waits for a slot, at most until the deadline.
async fn admit(state: &ProxyState, attempt: &Attempt, deadline: Instant) -> Result<Permit, Refusal> {
    let gate = state.gate().ok_or(Refusal::rejected(RefusalReason::NoConfiguration))?;
    let admitted = gate.admit(state.now(), attempt);
    match admitted.map_err(|refusal| on_gate_refusal(state, attempt.request, refusal))? {
        Admitted::Now(permit) => Ok(permit),
        Admitted::Queued(ticket) => match tokio::time::timeout_at(wait_end(deadline), ticket).await {
            Ok(verdict) => verdict.map_err(|refusal| on_gate_refusal(state, attempt.request, refusal)),
            // The ticket is dropped, so the request never ran.
            Err(_elapsed) => Err(Refusal::rejected(RefusalReason::Deadline)),
        },
    }
}

/// Longest time before the deadline at which a wait for a slot ends.
const LONGEST_ANSWER_TIME: std::time::Duration = std::time::Duration::from_millis(20);

/// When a wait for a slot ends: early enough for the refusal to reach the caller's node before its own deadline,
/// after which it could only say `unknown`.
fn wait_end(deadline: Instant) -> Instant {
    let remaining = deadline.saturating_duration_since(Instant::now());
    deadline - (remaining / 5).min(LONGEST_ANSWER_TIME)
}

fn on_gate_refusal(state: &ProxyState, request: RequestId, refusal: GateRefusal) -> Refusal {
    let reason = match refusal.reason {
        GateReason::NotReady => RefusalReason::BackendNotReady,
        GateReason::Draining => RefusalReason::Draining,
        GateReason::Overloaded | GateReason::Displaced => RefusalReason::Overload,
        GateReason::DeadlineTooShort => RefusalReason::Deadline,
        GateReason::DeadlineTooLong => RefusalReason::Malformed,
        GateReason::Duplicate | GateReason::TooOld => RefusalReason::Duplicate,
    };
    if reason == RefusalReason::Duplicate {
        state.observe(&RequestEvent::Duplicate { request });
    }
    let outcome = if refusal.proves_not_executed() { Outcome::Rejected } else { Outcome::Unknown };
    let retry_after = std::time::Duration::from_millis(refusal.retry_after.0);
    Refusal { outcome, ..Refusal::rejected(reason) }.after(retry_after)
}

/// Headers that the back end may read beside the caller's own.
const KEPT_FOR_BACKEND: [http::HeaderName; 1] = [names::REQUEST_ID];
