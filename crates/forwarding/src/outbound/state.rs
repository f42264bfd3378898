//! State of the outbound half of a node: configuration, endpoints and retry budgets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thiserror::Error;
use tokio::time::Instant;
use umberpond_config::RequestLimits;
use umberpond_model::{BackEndProcess, Locality, NodeName, ServiceName, Version, ZoneName};
use umberpond_net::Network;
use umberpond_quotas::{PooledShares, quotas_of};
use umberpond_scheduling::LoadReport;
use umberpond_selection::{Choice, Endpoint, ReleaseShare, RetryBudgetSettings, Selector, SelectorSettings};
use umberpond_telemetry::{Event, RequestDetail, Telemetry};

use super::back_end_notices::BackEndNotices;
use super::caller_timeouts::CallerTimeouts;
use super::prepared::PreparedRequest;
use super::reply::{Reply, ReplyReason};
use crate::clock::now;
use crate::header_profile::HeaderProfile;
use crate::hop::{HopPool, HopPoolSettings};
use crate::inbound::{Inbound, InboundAccess, limit_text};
use crate::message::{RememberedLimit, Response, id_text};
use crate::quarantine::Quarantine;
use crate::quotas::QuotaGate;
use crate::retries::RetryLedger;
use crate::routing::{RoutingTable, SplitSequences};
use crate::upstream::BackEndSignals;

/// Settings of the outbound half.
#[derive(Debug, Clone, PartialEq)]
pub struct OutboundSettings {
    /// Timeout for opening a connection to another node.
    pub connect_time: Duration,
    /// Maximum time that an idle connection to another node is kept.
    pub idle_time: Duration,
    /// Maximum number of idle connections to one node.
    pub idle_per_node: usize,
    /// Settings of the endpoint selector.
    pub selector: SelectorSettings,
    /// The retry budget of each service.
    pub retry_budget: RetryBudgetSettings,
}

impl Default for OutboundSettings {
    fn default() -> Self {
        Self {
            connect_time: Duration::from_millis(300),
            idle_time: Duration::from_secs(30),
            idle_per_node: 32,
            selector: SelectorSettings::default(),
            retry_budget: RetryBudgetSettings::default(),
        }
    }
}

/// Error for a configuration that was not activated because it isn't newer than the active one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("version {offered} is not newer than the active version {active}")]
pub struct StaleVersion {
    /// Version that was rejected.
    pub offered: Version,
    /// Active version.
    pub active: Version,
}

/// The outbound half of one node.
pub struct Outbound {
    pub(super) header_profile: HeaderProfile,
    pub(super) telemetry: Telemetry,
    pub(super) inbound: Arc<Inbound>,
    pub(super) node: NodeName,
    pub(super) hops: Arc<HopPool>,
    pub(super) selector: Mutex<Selector>,
    pub(super) random: Mutex<SmallRng>,
    locality: Locality,
    /// Endpoints as reported, before the localities allowed by the configuration are applied.
    reported_endpoints: Mutex<BTreeMap<ServiceName, Vec<Endpoint>>>,
    /// Evacuated zones, whose back ends get no new requests.
    evacuated: Mutex<BTreeSet<ZoneName>>,
    caller: ArcSwap<ServiceName>,
    pub(super) table: ArcSwapOption<RoutingTable>,
    pub(super) ledger: Arc<RetryLedger>,
    pub(super) quotas: Arc<QuotaGate>,
    pub(super) caller_timeouts: Mutex<CallerTimeouts>,
    pub(super) splits: Mutex<SplitSequences>,
    notices: Mutex<BackEndNotices>,
}

impl std::fmt::Debug for Outbound {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Outbound").field("node", &self.node).finish_non_exhaustive()
    }
}

/// Identity of the node to which an outbound half belongs.
#[derive(Debug, Clone)]
pub struct OutboundIdentity {
    /// Name of the node.
    pub node: NodeName,
    /// Locality of the node.
    pub locality: Locality,
    /// Service on whose behalf local callers send.
    pub caller: ServiceName,
    /// Seed of all random choices on the request path.
    pub seed: u64,
}

impl Outbound {
    /// Creates the outbound half of a node, without a configuration.
    #[must_use]
    pub fn new(
        identity: OutboundIdentity,
        header_profile: HeaderProfile,
        settings: OutboundSettings,
        network: Arc<dyn Network>,
        telemetry: Telemetry,
        inbound: Arc<Inbound>,
    ) -> Arc<Self> {
        let hop_settings = HopPoolSettings {
            connect_time: settings.connect_time,
            idle_time: settings.idle_time,
            idle_per_node: settings.idle_per_node,
        };
        let ledger = Arc::new(RetryLedger::new(settings.retry_budget, telemetry.clone()));
        inbound.set_ledger(Arc::clone(&ledger));
        Arc::new(Self {
            header_profile,
            ledger,
            // The seed differs between processes, so it also tells their quota reports apart.
            quotas: QuotaGate::new(Box::new(PooledShares::new(identity.seed))),
            telemetry,
            inbound,
            hops: HopPool::new(network, hop_settings),
            selector: Mutex::new(Selector::new(identity.locality.clone(), settings.selector)),
            locality: identity.locality,
            reported_endpoints: Mutex::default(),
            evacuated: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(identity.seed)),
            node: identity.node,
            caller: ArcSwap::from_pointee(identity.caller),
            table: ArcSwapOption::empty(),
            caller_timeouts: Mutex::default(),
            splits: Mutex::default(),
            notices: Mutex::default(),
        })
    }

    /// Activates a routing table with one atomic swap.
    ///
    /// # Errors
    /// Returns [`StaleVersion`] and changes nothing if the table is not newer than the active one.
    pub fn activate(&self, table: Arc<RoutingTable>) -> Result<(), StaleVersion> {
        if let Some(active) = self.active_version()
            && table.version() <= active
        {
            return Err(StaleVersion { offered: table.version(), active });
        }
        // Endpoints are updated first, so that no request under the new table reaches an endpoint that it
        // forbids.
        self.quotas.set_quotas(quotas_of(table.tenants().iter().map(|tenant| &**tenant)));
        self.update_usable_endpoints(Some(&table));
        self.apply_to_back_end(&table);
        self.table.store(Some(table));
        Ok(())
    }

    fn update_usable_endpoints(&self, table: Option<&RoutingTable>) {
        let reported_endpoints = self.reported_endpoints.lock();
        for (service, endpoints) in &*reported_endpoints {
            let allowed_endpoints = self.allowed_endpoints(table, service, endpoints);
            self.selector.lock().set_endpoints(now(), service, allowed_endpoints);
        }
    }

    /// The endpoints that the configuration allows, that are not in an evacuated zone, and whose back ends have
    /// not said in a response that they are about to shut down.
    fn allowed_endpoints(
        &self,
        table: Option<&RoutingTable>,
        service: &ServiceName,
        endpoints: &[Endpoint],
    ) -> Vec<Endpoint> {
        let evacuated = self.evacuated.lock();
        let notices = self.notices.lock();
        let has_leaving = notices.has_leaving();
        let is_leaving = |endpoint: &Endpoint| {
            has_leaving && notices.is_leaving(&endpoint.node, &BackEndProcess::parse(&endpoint.instance))
        };
        let is_allowed = |endpoint: &&Endpoint| {
            let locality = &endpoint.locality;
            table.is_none_or(|table| table.allows(service, locality))
                && !evacuated.contains(&locality.zone)
                && !is_leaving(endpoint)
        };
        endpoints.iter().filter(is_allowed).cloned().collect()
    }

    /// Sets the evacuated zones, whose back ends get no new requests. When this returns, no endpoint in them
    /// is chosen, and the local back end accepts nothing if it is in one of them.
    pub fn set_evacuated(&self, zones: BTreeSet<ZoneName>) {
        self.inbound.set_evacuated(zones.contains(&self.locality.zone));
        *self.evacuated.lock() = zones;
        self.update_usable_endpoints(self.table.load().as_deref());
    }

    /// Applies the configuration to the local back end, which is served only where the configuration allows
    /// it, whatever the nodes of callers assume, and with the configured warm-up rate.
    fn apply_to_back_end(&self, table: &RoutingTable) {
        if let Some(service) = self.inbound.service() {
            self.inbound.set_may_serve(table.allows(&service, &self.locality));
            self.inbound.set_cold_rate(table.cold_rate(&service));
        }
        let tenants = Arc::clone(table.tenants());
        self.inbound.set_access(InboundAccess { tenants, region: self.locality.region.clone() });
    }

    /// Applies the configuration again after the local back end may have changed its service.
    pub fn on_back_end_changed(&self) {
        if let Some(table) = &*self.table.load() {
            self.apply_to_back_end(table);
        }
    }

    /// Active version.
    #[must_use]
    pub fn active_version(&self) -> Option<Version> {
        self.table.load().as_ref().map(|table| table.version())
    }

    /// Size and time limits on requests of callers.
    #[must_use]
    pub fn limits(&self) -> RequestLimits {
        self.table.load().as_ref().map_or_else(RequestLimits::default, |table| *table.limits())
    }

    /// Service on whose behalf local callers send.
    #[must_use]
    pub fn caller(&self) -> Arc<ServiceName> {
        self.caller.load_full()
    }

    /// Sets the service on whose behalf local callers send.
    pub fn set_caller(&self, caller: ServiceName) {
        self.caller.store(Arc::new(caller));
    }

    /// Sets the endpoints of `service` that accept new requests.
    pub fn set_endpoints(&self, service: &ServiceName, endpoints: Vec<Endpoint>) {
        let mut reported_endpoints = self.reported_endpoints.lock();
        let usable = self.allowed_endpoints(self.table.load().as_deref(), service, &endpoints);
        if endpoints.is_empty() {
            reported_endpoints.remove(service);
        } else {
            reported_endpoints.insert(service.clone(), endpoints);
        }
        self.selector.lock().set_endpoints(now(), service, usable);
    }

    /// Sets the share of the requests of `service` that go to a release.
    pub fn set_release_share(&self, service: &ServiceName, share: ReleaseShare) {
        let mut selector = self.selector.lock();
        selector.set_release_share(now(), &mut *self.random.lock(), service, share);
    }

    /// Records the load that a node reported for its back end.
    pub fn on_report(&self, service: &ServiceName, node: &NodeName, report: LoadReport) {
        self.selector.lock().on_fresh_report(now(), service, node, report);
    }

    /// Quotas of tenants.
    #[must_use]
    pub const fn quotas(&self) -> &Arc<QuotaGate> {
        &self.quotas
    }

    /// Sets the number of nodes that share the retry budgets and the quotas of tenants. The number includes
    /// this node and unreachable ones, since these spend their shares too. Until it is set, this node gets no
    /// share of the part of the budgets that is independent of its requests.
    pub fn set_sharing_nodes(&self, count: usize) {
        self.ledger.set_sharing_nodes(count);
        self.quotas.set_sharing_nodes(count);
    }

    /// Handles that the machine was suspended for the given time. Saved retry budget is dropped, since it was
    /// earned by requests further in the past than it appears. Connections to other nodes are closed, since
    /// they may have been terminated meanwhile.
    pub fn on_suspended(&self, suspended: Duration) {
        self.inbound.suspended().add(suspended);
        self.ledger.discard_savings();
        self.hops.clear();
    }

    /// Applies what the back end chosen for a request says in its response. The request was sent at `sent_at`.
    pub(super) fn on_response(
        &self,
        request: &PreparedRequest,
        choice: &Choice,
        sent_at: Instant,
        response: &Response,
    ) {
        let signals = BackEndSignals::read(&self.header_profile, response.status, &response.fields);
        let process = BackEndProcess::parse(&choice.instance);
        let change =
            self.notices.lock().on_response(now(), sent_at.into_std(), &choice.node, &process, signals);
        if change.limit != change.limit_before {
            self.telemetry.emit(Event::RequestLimitChanged {
                instance: choice.instance.clone(),
                service: request.service.clone(),
                limit: limit_text(change.limit),
                before: limit_text(change.limit_before),
                source: "forwarded",
                request: id_text(&request.id),
            });
        }
        if change.has_begun_to_leave {
            self.telemetry.emit(Event::BackEndLeaving {
                instance: choice.instance.clone(),
                service: request.service.clone(),
                source: "forwarded",
                request: id_text(&request.id),
            });
            self.update_usable_endpoints(self.table.load().as_deref());
        }
    }

    /// Request limit that the chosen back end has advertised in a response that this node has forwarded.
    pub(super) fn remembered_limit(&self, choice: &Choice) -> Option<RememberedLimit> {
        let notices = self.notices.lock();
        if notices.is_empty() {
            return None;
        }
        let process = BackEndProcess::parse(&choice.instance);
        let rate = notices.limit(&choice.node, &process)?;
        Some(RememberedLimit { process, rate })
    }

    /// Requests that are suspected of crashing back ends.
    pub(super) fn quarantine(&self) -> &Arc<Quarantine> {
        self.inbound.quarantine()
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.hops.close_expired();
    }

    /// Locality of `node`, if it is a known endpoint of `service`.
    pub(super) fn locality_of(&self, service: &ServiceName, node: &NodeName) -> Option<Locality> {
        let reported_endpoints = self.reported_endpoints.lock();
        let endpoint = reported_endpoints.get(service)?.iter().find(|endpoint| endpoint.node == *node)?;
        Some(endpoint.locality.clone())
    }

    /// Builds a reply that this node generates for the request `id`.
    pub(super) fn local_reply(
        &self,
        reason: ReplyReason,
        retry_after: Option<Duration>,
        id: Option<&Bytes>,
    ) -> Reply {
        self.telemetry.metrics().request(reason.outcome(), RequestDetail::Reason(reason.as_str()));
        let mut reply = Reply::local(reason, retry_after, self.header_profile.response_headers.as_ref());
        if let Some(id) = id {
            reply.fields.set(self.header_profile.request_id, id.clone());
        }
        reply
    }

    /// Whether `node` is this node.
    pub(super) fn is_local(&self, node: &NodeName, _address: SocketAddr) -> bool {
        *node == self.node
    }
}
