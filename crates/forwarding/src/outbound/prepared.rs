//! A request with its route, and the time limits for trying, queueing and completing it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use umberpond_config::RequestClass;
use umberpond_http1::RequestHead;
use umberpond_model::{HomeRegions, ServiceName, TenantName, Version};
use umberpond_quarantine::RequestKey;
use umberpond_scheduling::{Dependent, WaitBounds};

use crate::message::{RequestBody, RunCall};
use crate::quotas::QuotaPermit;
use crate::retries::{CallOrigin, RunContext};
use crate::routing::CompiledRoute;
use crate::shutdown_limit::ShutdownLimit;
use crate::suspended_time::SuspendAwareInstant;

/// A request that has been matched to a route.
#[derive(Debug)]
pub(super) struct PreparedRequest {
    pub(super) id: Bytes,
    /// Fingerprint of the request, the same each time it is sent.
    pub(super) request_key: RequestKey,
    /// Idempotency key, if the caller sent one.
    pub(super) key: Option<Bytes>,
    pub(super) head: RequestHead,
    pub(super) body: RequestBody,
    pub(super) route: Arc<CompiledRoute>,
    pub(super) service: ServiceName,
    /// Tenant on whose behalf the request is sent, if there is one.
    pub(super) tenant: Option<TenantName>,
    /// Token from the tenant's quota, once it has been granted.
    pub(super) permit: Option<QuotaPermit>,
    /// Regions in which the request may be served, given its route and its tenant.
    pub(super) homes: HomeRegions,
    /// Priority among the requests for one back end: 0 is served first.
    pub(super) priority: u8,
    /// Version of the configuration that contains the route.
    pub(super) version: Version,
    pub(super) arrived: SuspendAwareInstant,
    /// Maximum time from the arrival of the request to its response.
    pub(super) timeout: Duration,
    /// Timeout that the caller sent, or else that of the route.
    pub(super) caller_timeout: Duration,
    /// The end of this process, if it shuts down before the request's timeout.
    pub(super) shutdown_limit: Option<ShutdownLimit>,
    /// Whether the caller sent the request before and was refused.
    pub(super) is_caller_retry: bool,
    /// Whether a run at the local back end made the request, and whether that run is a retry.
    pub(super) origin: CallOrigin,
    /// The run that made the request, if known.
    pub(super) run: Option<RunContext>,
}

impl PreparedRequest {
    /// Ends the request by `response_deadline`, because the process shuts down.
    pub(super) fn limit_by_shutdown(&mut self, response_deadline: Instant) {
        if response_deadline < self.deadline() {
            self.timeout = response_deadline.saturating_duration_since(self.arrived.at());
            self.shutdown_limit = Some(ShutdownLimit { response_deadline });
        }
    }

    /// Data about the run that makes the request, if it is a call.
    pub(super) fn call(&self) -> Option<RunCall> {
        let run = self.run.as_ref()?;
        Some(RunCall { level: run.level, tenant: run.tenant })
    }

    /// Time at which the request is ended, whatever its state.
    pub(super) fn deadline(&self) -> Instant {
        self.arrived.at() + self.timeout
    }

    /// Time by which a response meets the objective of the route.
    pub(super) fn objective_at(&self) -> Instant {
        self.arrived.at() + self.route.objective
    }

    /// Time at which the request is given up if it has not been passed to a back end.
    pub(super) fn queue_deadline(&self) -> Instant {
        self.wait_bounds().queue_deadline().into()
    }

    /// Maximum wait for a slot, if a back end takes `service` for the request.
    pub(super) fn max_queue_wait(&self, service: Duration) -> Duration {
        self.wait_bounds().max_queue_wait(Instant::now().into_std(), service)
    }

    fn wait_bounds(&self) -> WaitBounds {
        WaitBounds {
            arrived: self.arrived.at().into_std(),
            objective: self.route.objective,
            deadline: self.deadline().into_std(),
            caller_timeout: self.caller_timeout,
            dependent: self.dependent(),
        }
    }

    /// Who depends on the response.
    fn dependent(&self) -> Dependent {
        let is_internal = self.route.class == RequestClass::Internal;
        if is_internal || self.run.is_some() { Dependent::Requests } else { Dependent::Caller }
    }
}
