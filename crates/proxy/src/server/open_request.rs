//! One request from its arrival to the end of its answer.

use std::sync::Arc;

use http::{Response, response};
use tokio::time::Instant;
use umberpond_admission::{Completion, Permit, RequestId};
use umberpond_balance::{Observation, Picked, RequestResult};

use super::body::{ProxyBody, RelayBody};
use super::tracker::InFlight;
use crate::refusal::Refusal;
use crate::wire::UpstreamBody;
use crate::{CutReason, Phases, ProxyState, RequestEvent};

/// What a request holds until its answer has passed.
pub(crate) enum Held {
    /// The outbound half: the endpoint's outstanding count, and what is learnt at the end.
    Picked(Picked, Observation),
    /// The inbound half: the slot, and when the request was handed to the back end.
    Permit(Permit, Instant),
}

/// A request that has an id and is not answered yet. If it is dropped before its answer has passed, its caller is
/// gone or the process is told to leave at once; the observer is told which.
pub(crate) struct OpenRequest {
    pub(crate) state: Arc<ProxyState>,
    pub(crate) request: RequestId,
    pub(crate) started: Instant,
    held: Option<Held>,
    in_flight: Option<InFlight>,
}

impl OpenRequest {
    pub(crate) fn new(
        state: &Arc<ProxyState>,
        request: RequestId,
        started: Instant,
        in_flight: InFlight,
    ) -> Self {
        Self { state: Arc::clone(state), request, started, held: None, in_flight: Some(in_flight) }
    }

    /// Ends the request with an answer made here.
    pub(crate) fn refuse(mut self, refusal: Refusal) -> Response<ProxyBody> {
        let in_flight = self.in_flight.take();
        self.state.refuse(refusal, Some(self.request), in_flight)
    }

    /// Passes an answer on until `deadline`.
    pub(crate) fn relay(
        mut self,
        head: response::Parts,
        body: UpstreamBody,
        deadline: Instant,
        held: Held,
        phases: Phases,
    ) -> Response<ProxyBody> {
        let phases = Phases { total: self.started.elapsed(), ..phases };
        self.state.observe(&RequestEvent::Answered { request: self.request, status: head.status, phases });
        self.held = Some(held);
        Response::from_parts(head, RelayBody::passing(body, deadline, self))
    }

    /// Whether the answer goes to a local caller, and not to another node.
    pub(super) const fn faces_caller(&self) -> bool {
        matches!(self.held, Some(Held::Picked(..)))
    }

    /// The answer has passed whole.
    pub(super) fn finished(mut self) {
        self.in_flight = None;
        let total = self.started.elapsed();
        self.state.observe(&RequestEvent::Finished { request: self.request, total });
        let now = self.state.now();
        match self.held.take() {
            Some(Held::Picked(picked, observation)) => picked.finish(now, observation),
            Some(Held::Permit(permit, handed_over)) => {
                permit.finish(now, Completion::Served { service_time: handed_over.elapsed() });
            }
            None => {}
        }
    }

    /// The answer was cut. Only an endpoint that broke it off is judged by it: at the deadline the answer may have
    /// been flowing as it should.
    pub(super) fn cut(mut self, reason: CutReason) {
        self.in_flight = None;
        if let (CutReason::UpstreamCut, Some(Held::Picked(picked, observation))) = (reason, self.held.take())
        {
            let failed = Observation { result: RequestResult::Failed, ..observation };
            picked.finish(self.state.now(), failed);
        }
        self.state.observe(&RequestEvent::Cut { request: self.request, reason });
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let Some(in_flight) = self.in_flight.take() else { return };
        let reason = if in_flight.is_killed() { CutReason::Killed } else { CutReason::CallerGone };
        self.state.observe(&RequestEvent::Cut { request: self.request, reason });
    }
}
