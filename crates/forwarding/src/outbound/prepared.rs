//! A request with its route, and the times by which it is tried, waits and is given up.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use umberpond_http1::RequestHead;
use umberpond_model::{HomeRegions, ServiceName, TenantName, Version};
use umberpond_quarantine::RequestKey;
use umberpond_scheduling::CallWork;

use crate::message::RequestBody;
use crate::quotas::QuotaPermit;
use crate::repeats::{CallOrigin, RunContext};
use crate::routing::CompiledRoute;
use crate::suspended_time::PastMoment;

/// Share of the objective within which a refusal is early.
const EARLY_SHARE: f64 = 0.2;
/// Share of the objective at which an answer has to be expected: half of those expected at its very end come after it.
const EXPECTED_SHARE: f64 = 0.55;
/// Share of the time that a caller waits for which a request is held at most without having been handed to a back end.
const HOLD_SHARE: f64 = 0.45;
/// Share of its objective for which it is: begun later it is late for certain, and holding it without serving it costs its caller
/// more the longer it lasts. With 0.6 calls of other requests, whose objectives are short, were given up while they still
/// served their purpose.
const HOLD_OBJECTIVE_SHARE: f64 = 1.0;
/// Rank of the requests on which other requests depend.
const FIRST_RANK: u8 = 0;

/// A request with its route.
#[derive(Debug)]
pub(super) struct PreparedRequest {
    pub(super) id: Bytes,
    /// What it is known by, the same each time it is sent.
    pub(super) request_key: RequestKey,
    /// The caller's own key, if it gave one.
    pub(super) key: Option<Bytes>,
    pub(super) head: RequestHead,
    pub(super) body: RequestBody,
    pub(super) route: Arc<CompiledRoute>,
    pub(super) service: ServiceName,
    /// Tenant on whose behalf it is sent; absent if it is of none.
    pub(super) tenant: Option<TenantName>,
    /// Its part of the tenant's quota, once it has one.
    pub(super) permit: Option<QuotaPermit>,
    /// Where it may be served, by its route and its tenant.
    pub(super) homes: HomeRegions,
    /// Rank among the requests for one back end: 0 is served first.
    pub(super) priority: u8,
    /// Version of the configuration by which the route was found.
    pub(super) version: Version,
    pub(super) arrived: PastMoment,
    /// Longest time from the arrival to the answer.
    pub(super) time: Duration,
    /// Time that the caller waits, by its own word, or else that of the route.
    pub(super) caller_time: Duration,
    /// Whether the caller has sent it before and was refused.
    pub(super) is_later_try: bool,
    /// Whether a run at the back end beside this node has made it, and which.
    pub(super) origin: CallOrigin,
    /// The run that has made it; absent if none is known to have.
    pub(super) run: Option<RunContext>,
}

impl PreparedRequest {
    /// What waits for it, if it is a call.
    pub(super) fn call(&self) -> Option<CallWork> {
        self.run.as_ref().map(|run| CallWork { spent: run.began.elapsed() })
    }

    /// When it is ended, whatever has become of it.
    pub(super) fn deadline(&self) -> Instant {
        self.arrived.at() + self.time
    }

    /// End of the time within which an answer is of full use.
    pub(super) fn objective_at(&self) -> Instant {
        self.arrived.at() + self.route.objective
    }

    /// When it is given up if no back end has been handed it: its caller still has time to come back then.
    pub(super) fn hold_until(&self) -> Instant {
        let share = self.caller_time.mul_f64(HOLD_SHARE);
        self.arrived.at() + share.min(self.route.objective.mul_f64(HOLD_OBJECTIVE_SHARE))
    }

    /// Longest wait for a slot. As long as a refusal still comes early, the request waits only where it is expected to
    /// meet its objective: otherwise its caller does better to come back. Requests of the first rank wait as long as
    /// they can: other requests depend on them.
    pub(super) fn patience(&self, service: Duration) -> Duration {
        let now = Instant::now();
        let is_early = now < self.arrived.at() + self.route.objective.mul_f64(EARLY_SHARE);
        let until_deadline = self.deadline().saturating_duration_since(now).saturating_sub(service);
        if is_early && self.priority > FIRST_RANK {
            let expected_by = self.arrived.at() + self.route.objective.mul_f64(EXPECTED_SHARE);
            return expected_by.saturating_duration_since(now).saturating_sub(service);
        }
        until_deadline.min(self.hold_until().saturating_duration_since(now))
    }
}
