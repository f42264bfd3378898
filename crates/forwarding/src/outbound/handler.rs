//! Takes the requests of callers: finds the route of each, and has it sent to back ends.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::time::Instant;
use umberpond_config::Tenant;
use umberpond_http1::RequestHead;
use umberpond_model::{HomeRegions, TenantName};
use umberpond_quarantine::{RequestContent, RequestFingerprint, RequestKey};
use umberpond_telemetry::Event;

use super::attempts::Attempts;
use super::come_back::{come_back_with_token, come_back_within};
use super::prepared::PreparedRequest;
use super::reply::{Reply, ReplyReason};
use super::state::Outbound;
use crate::calls::{inherited_priority, inherited_timeout};
use crate::inbound::millis;
use crate::message::{RequestBody, id_text};
use crate::outcome::NotRunReason;
use crate::quotas::OverQuota;
use crate::routing::{CompiledRoute, NoTenant, RoutingTable};
use crate::server::ServerControl;
use crate::suspended_time::SuspendAwareInstant;

/// Most of the time that a caller waits which counts when it finds no configuration. It comes back within a second then: a process that has
/// just started gets its configuration within about that time over a slow link, and a caller has two or three tries only.
const TIME_AFTER_START: Duration = Duration::from_secs(3);

/// When a caller comes back whose node was about to end.
const COME_BACK_AFTER_RESTART: Duration = Duration::from_millis(700);

/// Time kept of what a caller will wait, in which the last answer gets to it.
const ANSWER_RESERVE: Duration = Duration::from_millis(15);

impl Outbound {
    /// Answers one request of a caller. Dropping the future gives the request up, also at the back end.
    pub(crate) async fn handle(
        self: Arc<Self>,
        head: RequestHead,
        body: RequestBody,
        arrived: Instant,
        control: ServerControl,
    ) -> Reply {
        let mut request = match self.prepare(head, body, arrived) {
            Ok(request) => request,
            Err(reply) => return reply,
        };
        if let Some(last_answers) = control.last_answers() {
            request.time = request.time.min(last_answers.saturating_duration_since(arrived));
        }
        if let Err(reply) = self.take_quota(&mut request).await {
            return reply;
        }
        let run = request.run.clone();
        let service = request.service.clone();
        let reply = Attempts::new(&self, request).run(control.reached_last_answers()).await;
        if let Some(run) = run {
            self.inbound.calls().on_reply(&service, &run, &reply);
        }
        reply
    }

    /// The answer to a request that comes when the process is about to end.
    pub(crate) fn refuse_while_stopping(&self, head: &RequestHead) -> Reply {
        let id = head.fields.get(self.header_profile.request_id);
        self.refuse(id, ReplyReason::NotRun(NotRunReason::Stopping), Some(COME_BACK_AFTER_RESTART))
    }

    fn prepare(
        &self,
        head: RequestHead,
        body: RequestBody,
        arrived: Instant,
    ) -> Result<PreparedRequest, Reply> {
        let id = head.fields.get(self.header_profile.request_id).cloned();
        let Some(table) = self.table.load_full() else {
            let reason = ReplyReason::NotRun(NotRunReason::NoConfiguration);
            let come_back = self.come_back_after_start(&head);
            return Err(self.refuse(id.as_ref(), reason, Some(come_back)));
        };
        let host = head.fields.text("host").unwrap_or_default();
        let target = std::str::from_utf8(&head.target).unwrap_or_default();
        let Ok(route) = table.find(host, &head.method, target).map(Arc::clone) else {
            return Err(self.refuse(id.as_ref(), ReplyReason::NoRoute, None));
        };
        let tenant = match self.tenant(&table, &route, &head) {
            Ok(tenant) => tenant,
            Err(reason) => return Err(self.refuse(id.as_ref(), reason, None)),
        };
        let told = self.told_time(&head);
        let time = told.map_or(route.timeout, |told| told.saturating_sub(ANSWER_RESERVE).min(route.timeout));
        let caller_timeout = told.unwrap_or(route.timeout);
        let service = self.splits.lock().next(&mut *self.random.lock(), &route).clone();
        let id = id.unwrap_or_else(|| self.new_id());
        let source = self.inbound.runs().on_request(&id, &service);
        let run = source.run.as_ref();
        let own_rank = tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority);
        let priority = inherited_priority(own_rank, run);
        let time = inherited_timeout(time, arrived, run);
        // A call brings what is left of its run, so that its time tells nothing of earlier tries.
        let tells_tries = told.is_some() && run.is_none();
        let is_caller_retry = tells_tries && self.caller_times.lock().record(&route.name, caller_timeout);
        let version = table.version();
        let key = self.header_profile.caller_key.and_then(|name| head.fields.get(name)).cloned();
        let fingerprint = RequestFingerprint::of(&RequestContent {
            method: &head.method,
            host,
            target: &head.target,
            body_length: body.length(),
            body: body.beginning(),
        });
        Ok(PreparedRequest {
            id,
            request_key: RequestKey::new(fingerprint, self.caller().as_str()),
            key,
            head: self.passed_on(head, &route),
            body,
            homes: homes(&route, tenant),
            priority,
            permit: None,
            tenant: tenant.map(|tenant| tenant.name.clone()),
            route,
            service,
            version,
            arrived: SuspendAwareInstant::new(arrived, self.inbound.suspended()),
            time,
            caller_timeout,
            is_caller_retry,
            origin: source.origin,
            run: source.run,
        })
    }

    /// Takes the request's part of its tenant's quota.
    async fn take_quota(&self, request: &mut PreparedRequest) -> Result<(), Reply> {
        let Some(tenant) = &request.tenant else { return Ok(()) };
        match self.quotas.admit(tenant, request.queue_deadline()).await {
            Ok(permit) => {
                request.permit = Some(permit);
                Ok(())
            }
            Err(refusal) => Err(self.refuse_over_quota(request, tenant, refusal)),
        }
    }

    fn refuse_over_quota(&self, request: &PreparedRequest, tenant: &TenantName, refusal: OverQuota) -> Reply {
        let id = id_text(&request.id);
        self.telemetry.emit(Event::RequestOverQuota { request: id, tenant: tenant.to_string() });
        self.telemetry.metrics().quota_refused();
        if let Some(refusals) = refusal.to_tell {
            self.telemetry.emit(Event::QuotaRefusalsCounted {
                tenant: tenant.to_string(),
                refused: refusals.refused,
                next_token_millis: millis(refusal.next_token_in),
                period_millis: millis(refusals.period),
            });
        }
        let left = request.caller_timeout.saturating_sub(request.arrived.elapsed());
        self.caller_times.lock().on_refused(&request.route.name, left);
        let come_back = come_back_with_token(left, refusal.next_token_in, &mut *self.random.lock());
        self.own_reply(ReplyReason::OverQuota, Some(come_back), Some(&request.id))
    }

    /// The tenant on whose behalf a request is sent; absent if it is of none.
    fn tenant<'a>(
        &self,
        table: &'a RoutingTable,
        route: &CompiledRoute,
        head: &RequestHead,
    ) -> Result<Option<&'a Arc<Tenant>>, ReplyReason> {
        let tenants = table.tenants();
        if tenants.is_empty() {
            return Ok(None);
        }
        let mut keys = head.fields.get_all(self.header_profile.tenant_key);
        let key = keys.next();
        // Of two keys it is not known which one is meant.
        let found = if keys.next().is_some() {
            Err(NoTenant::UnknownKey)
        } else {
            tenants.find(key.map(AsRef::as_ref))
        };
        match found {
            Ok(tenant) => Ok(Some(tenant)),
            Err(_) if route.access.is_public => Ok(None),
            Err(reason) => Err(ReplyReason::NoTenant(reason)),
        }
    }

    /// Time that the caller waits, by its own word.
    fn told_time(&self, head: &RequestHead) -> Option<Duration> {
        let millis = head.fields.text(self.header_profile.deadline_millis)?.parse().ok()?;
        Some(Duration::from_millis(millis))
    }

    /// When a caller does best to come back to a process that has no configuration yet.
    fn come_back_after_start(&self, head: &RequestHead) -> Duration {
        let left = self.told_time(head).map_or(TIME_AFTER_START, |told| told.min(TIME_AFTER_START));
        come_back_within(left, &mut *self.random.lock())
    }

    /// The head as every attempt sends it.
    fn passed_on(&self, mut head: RequestHead, route: &CompiledRoute) -> RequestHead {
        head.fields.remove_connection_fields();
        for reserved in self.header_profile.reserved() {
            head.fields.remove(reserved);
        }
        for (name, value) in &route.credentials {
            head.fields.remove(name);
            head.fields.push(name.clone(), value.clone());
        }
        head
    }

    fn new_id(&self) -> Bytes {
        Bytes::from(format!("{:032x}", self.random.lock().random::<u128>()))
    }

    fn refuse(&self, id: Option<&Bytes>, reason: ReplyReason, retry_after: Option<Duration>) -> Reply {
        let request = id.map_or_else(String::new, |id| id_text(id));
        self.telemetry.emit(Event::RequestTurnedAway { request, reason: reason.as_str() });
        self.own_reply(reason, retry_after, id)
    }

    /// The answer to bytes that are no request that could be handled.
    pub(crate) fn refuse_bytes(&self, reason: ReplyReason) -> Reply {
        self.own_reply(reason, None, None)
    }
}

/// Where a request may be served: both its route and its tenant bind.
fn homes(route: &CompiledRoute, tenant: Option<&Arc<Tenant>>) -> HomeRegions {
    let of_route = &route.access.homes;
    tenant.map_or_else(|| of_route.clone(), |tenant| of_route.and(&tenant.homes))
}
