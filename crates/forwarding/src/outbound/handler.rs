//! Handles the requests of callers: matches each to a route and has it sent to back ends.

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
use super::prepared::PreparedRequest;
use super::reply::{Reply, ReplyReason};
use super::retry_delay::{delay_until_token, delay_within};
use super::state::Outbound;
use crate::calls::{inherited_priority, inherited_timeout};
use crate::inbound::millis;
use crate::message::{RequestBody, id_text};
use crate::outcome::NotRunReason;
use crate::quotas::OverQuota;
use crate::routing::{CompiledRoute, NoTenant, RoutingTable};
use crate::server::ServerControl;
use crate::suspended_time::SuspendAwareInstant;

/// Upper bound on the caller's timeout that is used for the retry delay while there is no configuration. It
/// makes the caller retry within a second: a process that has just started gets its configuration in about
/// that time over a slow link, and a caller has only two or three tries.
const MAX_TIMEOUT_AT_START: Duration = Duration::from_secs(3);

/// Retry delay for a caller whose node is about to stop.
pub(super) const RETRY_AFTER_RESTART: Duration = Duration::from_millis(700);

/// Part of the caller's timeout that is reserved for transferring the response to it.
const RESPONSE_RESERVE: Duration = Duration::from_millis(15);

impl Outbound {
    /// Handles one request of a caller. Dropping the future cancels the request, also at the back end.
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
        if let Some(response_deadline) = control.response_deadline() {
            request.limit_by_shutdown(response_deadline);
        }
        if let Err(reply) = self.take_quota(&mut request).await {
            return reply;
        }
        let run = request.run.clone();
        let service = request.service.clone();
        let reply = Attempts::new(&self, request).run(control.response_deadline_reached()).await;
        if let Some(run) = run {
            self.inbound.calls().on_reply(&service, &run, &reply);
        }
        reply
    }

    /// Builds the reply to a request that arrives when the process is about to stop.
    pub(crate) fn refuse_while_stopping(&self, head: &RequestHead) -> Reply {
        let id = head.fields.get(self.header_profile.request_id);
        self.refuse(id, ReplyReason::NotRun(NotRunReason::Stopping), Some(RETRY_AFTER_RESTART))
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
            let retry_delay = self.delay_after_start(&head);
            return Err(self.refuse(id.as_ref(), reason, Some(retry_delay)));
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
        let sent_timeout = self.sent_timeout(&head);
        let timeout = sent_timeout.map_or(route.timeout, |sent_timeout| {
            sent_timeout.saturating_sub(RESPONSE_RESERVE).min(route.timeout)
        });
        let caller_timeout = sent_timeout.unwrap_or(route.timeout);
        let service = self.splits.lock().next(&mut *self.random.lock(), &route).clone();
        let id = id.unwrap_or_else(|| self.new_id());
        let source = self.inbound.runs().on_request(&id, &service);
        let run = source.run.as_ref();
        let own_priority = tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority);
        let priority = inherited_priority(own_priority, run);
        let timeout = inherited_timeout(timeout, arrived, run);
        // A call carries what is left of the time of its run, so its timeout says nothing about earlier
        // tries.
        let is_classified = sent_timeout.is_some() && run.is_none();
        let is_caller_retry =
            is_classified && self.caller_timeouts.lock().record(&route.name, caller_timeout);
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
            head: self.forwarded_head(head, &route),
            body,
            homes: homes(&route, tenant),
            priority,
            permit: None,
            tenant: tenant.map(|tenant| tenant.name.clone()),
            route,
            service,
            version,
            arrived: SuspendAwareInstant::new(arrived, self.inbound.suspended()),
            timeout,
            caller_timeout,
            shutdown_limit: None,
            is_caller_retry,
            origin: source.origin,
            run: source.run,
        })
    }

    /// Takes a token for the request out of the quota of its tenant.
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
        if let Some(refusals) = refusal.to_report {
            self.telemetry.emit(Event::QuotaRefusalsCounted {
                tenant: tenant.to_string(),
                refused: refusals.refused,
                next_token_millis: millis(refusal.next_token_in),
                period_millis: millis(refusals.period),
            });
        }
        let left = request.caller_timeout.saturating_sub(request.arrived.elapsed());
        self.caller_timeouts.lock().on_refused(&request.route.name, left);
        let retry_delay = delay_until_token(left, refusal.next_token_in, &mut *self.random.lock());
        self.local_reply(ReplyReason::OverQuota, Some(retry_delay), Some(&request.id))
    }

    /// The tenant on whose behalf a request is sent, if there is one.
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
        // Two keys are ambiguous.
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

    /// The timeout that the caller sent with the request.
    fn sent_timeout(&self, head: &RequestHead) -> Option<Duration> {
        let millis = head.fields.text(self.header_profile.deadline_millis)?.parse().ok()?;
        Some(Duration::from_millis(millis))
    }

    /// Retry delay for a caller of a process that has no configuration yet.
    fn delay_after_start(&self, head: &RequestHead) -> Duration {
        let left = self
            .sent_timeout(head)
            .map_or(MAX_TIMEOUT_AT_START, |sent_timeout| sent_timeout.min(MAX_TIMEOUT_AT_START));
        delay_within(left, &mut *self.random.lock())
    }

    /// The request head as every attempt sends it: without connection-specific and reserved header fields,
    /// and with the credentials of the route.
    fn forwarded_head(&self, mut head: RequestHead, route: &CompiledRoute) -> RequestHead {
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
        self.local_reply(reason, retry_after, id)
    }

    /// Builds the reply to input that could not be parsed as a request.
    pub(crate) fn refuse_unparsed(&self, reason: ReplyReason) -> Reply {
        self.local_reply(reason, None, None)
    }
}

/// Regions in which a request may be served: those allowed by both its route and its tenant.
fn homes(route: &CompiledRoute, tenant: Option<&Arc<Tenant>>) -> HomeRegions {
    let of_route = &route.access.homes;
    tenant.map_or_else(|| of_route.clone(), |tenant| of_route.and(&tenant.homes))
}
