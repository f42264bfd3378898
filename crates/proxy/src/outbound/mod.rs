//! The outbound half: finds the route, picks an endpoint, and sends a request again only where that is safe.

mod attempt;
mod attempts;

use http::{HeaderValue, Request, Response, header};
use tokio::time::Instant;
use umberpond_admission::{Deadline, RequestId};

use crate::headers::names;
use crate::refusal::Refusal;
use crate::routing::NoRoute;
use crate::server::{CallerBody, CheckedRequest, InFlight, Malformed, OpenRequest, ProxyBody, Server};
use crate::wire::{BodyFault, RequestBody};
use crate::{ProxyState, RefusalReason, RequestEvent};

/// Answers one request of a local caller.
pub(crate) async fn handle(
    server: &Server,
    request: Request<CallerBody>,
    checked: CheckedRequest,
) -> Response<ProxyBody> {
    let in_flight = server.tracker.start();
    let is_draining = server.tracker.is_draining();
    let mut response = answer(&server.state, request, &checked, in_flight, is_draining).await;
    let headers = response.headers_mut();
    if let Some(version) = server.state.active_version() {
        headers.insert(names::CONFIG_VERSION, HeaderValue::from(version.0));
    }
    if server.tracker.is_draining() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    state: &std::sync::Arc<ProxyState>,
    request: Request<CallerBody>,
    checked: &CheckedRequest,
    in_flight: InFlight,
    is_draining: bool,
) -> Response<ProxyBody> {
    let started = Instant::now();
    let refuse = |reason, in_flight| state.refuse(Refusal::rejected(reason), None, Some(in_flight));
    if is_draining {
        return refuse(RefusalReason::Draining, in_flight);
    }
    let Some(table) = state.table() else {
        return refuse(RefusalReason::NoConfiguration, in_flight);
    };
    let route = match table.find(&checked.host, request.method(), request.uri().path()) {
        Ok(found) => found.route,
        Err(NoRoute::UnknownHost) => return refuse(RefusalReason::UnknownHost, in_flight),
        Err(NoRoute::NoMatch) => return refuse(RefusalReason::NoRoute, in_flight),
    };
    let Ok(deadline) = read_deadline(state, &request, route.timeout) else {
        let refusal = Refusal::malformed(Malformed::InternalHeader("umberpond-deadline"));
        return state.refuse(refusal, None, Some(in_flight));
    };
    let open = OpenRequest::new(state, RequestId(state.random.next_u128()), started, in_flight);
    state.observe(&RequestEvent::Accepted {
        request: open.request,
        route: &route.name,
        service: &route.service,
    });
    let (parts, incoming) = request.into_parts();
    let settings = &state.settings;
    let body = RequestBody::new(incoming, settings.replay_limit_bytes, settings.body_read_timeout);
    if let Err(fault) = body.read_first_part().await {
        return open.refuse(Refusal::rejected(body_fault_reason(fault)).closing());
    }
    attempts::run(open, route, parts, body, deadline).await
}

fn read_deadline(
    state: &ProxyState,
    request: &Request<CallerBody>,
    timeout: umberpond_model::Millis,
) -> Result<Deadline, Malformed> {
    const UNREADABLE: Malformed = Malformed::InternalHeader("umberpond-deadline");
    let text = match request.headers().get(names::DEADLINE) {
        Some(value) => Some(value.to_str().map_err(|_| UNREADABLE)?),
        None => None,
    };
    Deadline::from_header(state.now(), text, timeout).map_err(|_| UNREADABLE)
}

const fn body_fault_reason(fault: BodyFault) -> RefusalReason {
    match fault {
        BodyFault::Slow => RefusalReason::SlowSender,
        BodyFault::Broken | BodyFault::Superseded => RefusalReason::Malformed,
    }
}
