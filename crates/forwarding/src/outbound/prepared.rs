//! A request with its route, and the times by which it is tried, waits and is given up.

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
use crate::suspended_time::SuspendAwareInstant;

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
    pub(super) arrived: SuspendAwareInstant,
    /// Longest time from the arrival to the answer.
    pub(super) time: Duration,
    /// Time that the caller waits, by its own word, or else that of the route.
    pub(super) caller_timeout: Duration,
    /// Whether the caller has sent it before and was refused.
    pub(super) is_caller_retry: bool,
    /// Whether a run at the back end beside this node has made it, and which.
    pub(super) origin: CallOrigin,
    /// The run that has made it; absent if none is known to have.
    pub(super) run: Option<RunContext>,
}

impl PreparedRequest {
    /// What it brings along of the run that makes it, if it is a call.
    pub(super) fn call(&self) -> Option<RunCall> {
        let run = self.run.as_ref()?;
        Some(RunCall { level: run.level, tenant: run.tenant })
    }

    /// When it is ended, whatever has become of it.
    pub(super) fn deadline(&self) -> Instant {
        self.arrived.at() + self.time
    }

    /// End of the time within which an answer is of full use.
    pub(super) fn objective_at(&self) -> Instant {
        self.arrived.at() + self.route.objective
    }

    /// When it is given up if no back end has been handed it.
    pub(super) fn queue_deadline(&self) -> Instant {
        self.wait_bounds().queue_deadline().into()
    }

    /// Longest wait for a slot.
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

    /// Who waits for it.
    fn dependent(&self) -> Dependent {
        let is_internal = self.route.class == RequestClass::Internal;
        if is_internal || self.run.is_some() { Dependent::Requests } else { Dependent::Caller }
    }
}
