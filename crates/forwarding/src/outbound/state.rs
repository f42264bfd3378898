//! What the outbound half of one node knows: its configuration, the endpoints and the retry budgets.

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
use umberpond_config::RequestLimits;
use umberpond_model::{Locality, NodeName, ServiceName, Version, ZoneName};
use umberpond_net::Network;
use umberpond_quotas::{PooledShares, quotas_of};
use umberpond_scheduling::LoadReport;
use umberpond_selection::{Endpoint, ReleaseShare, RetryBudgetSettings, Selector, SelectorSettings};
use umberpond_telemetry::{RequestDetail, Telemetry};

use super::caller_times::CallerTimes;
use super::reply::{Reply, ReplyReason};
use crate::clock::now;
use crate::header_profile::HeaderProfile;
use crate::hop::{HopPool, HopPoolSettings};
use crate::inbound::{Inbound, InboundAccess};
use crate::quarantine::Quarantine;
use crate::quotas::QuotaGate;
use crate::retries::RetryLedger;
use crate::routing::{RoutingTable, SplitSequences};

/// Limits of the outbound half.
#[derive(Debug, Clone, PartialEq)]
pub struct OutboundSettings {
    /// Longest time to open a connection to another node.
    pub connect_time: Duration,
    /// Longest time that an idle connection to another node is kept.
    pub idle_time: Duration,
    /// Most idle connections kept to one node.
    pub idle_per_node: usize,
    /// Weights of the choice of a back end.
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

/// A configuration that is not newer than the one in force; it was not put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("version {offered} is not newer than version {active}, which is in force")]
pub struct StaleVersion {
    /// Version offered.
    pub offered: Version,
    /// Version in force.
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
    /// Endpoints as they were told, before the configuration's localities are applied.
    told: Mutex<BTreeMap<ServiceName, Vec<Endpoint>>>,
    /// Zones whose back ends get nothing new.
    evacuated: Mutex<BTreeSet<ZoneName>>,
    caller: ArcSwap<ServiceName>,
    pub(super) table: ArcSwapOption<RoutingTable>,
    pub(super) ledger: Arc<RetryLedger>,
    pub(super) quotas: Arc<QuotaGate>,
    pub(super) caller_times: Mutex<CallerTimes>,
    pub(super) splits: Mutex<SplitSequences>,
}

impl std::fmt::Debug for Outbound {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Outbound").field("node", &self.node).finish_non_exhaustive()
    }
}

/// What an outbound half needs to know of its node.
#[derive(Debug, Clone)]
pub struct OutboundIdentity {
    /// Name of the node.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// Service on whose behalf local callers send.
    pub caller: ServiceName,
    /// Seed of all randomness of the request path.
    pub seed: u64,
}

impl Outbound {
    /// The outbound half of a node without configuration.
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
            // The seed is drawn anew for each process, so it tells their reports apart.
            quotas: QuotaGate::new(Box::new(PooledShares::new(identity.seed))),
            telemetry,
            inbound,
            hops: HopPool::new(network, hop_settings),
            selector: Mutex::new(Selector::new(identity.locality.clone(), settings.selector)),
            locality: identity.locality,
            told: Mutex::default(),
            evacuated: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(identity.seed)),
            node: identity.node,
            caller: ArcSwap::from_pointee(identity.caller),
            table: ArcSwapOption::empty(),
            caller_times: Mutex::default(),
            splits: Mutex::default(),
        })
    }

    /// Puts a routing table in force, by one swap.
    ///
    /// # Errors
    /// Returns [`StaleVersion`] and changes nothing if the table is not newer than the one in force.
    pub fn activate(&self, table: Arc<RoutingTable>) -> Result<(), StaleVersion> {
        if let Some(active) = self.active_version()
            && table.version() <= active
        {
            return Err(StaleVersion { offered: table.version(), active });
        }
        // First the endpoints, so that no request of the new table meets one that it forbids.
        self.quotas.set_quotas(quotas_of(table.tenants().iter().map(|tenant| &**tenant)));
        self.apply_localities(Some(&table));
        self.apply_to_own(&table);
        self.table.store(Some(table));
        Ok(())
    }

    fn apply_localities(&self, table: Option<&RoutingTable>) {
        let told = self.told.lock();
        for (service, endpoints) in &*told {
            let allowed = self.allowed(table, service, endpoints);
            self.selector.lock().set_endpoints(now(), service, allowed);
        }
    }

    /// The endpoints that the configuration allows and that are in no evacuated zone.
    fn allowed(
        &self,
        table: Option<&RoutingTable>,
        service: &ServiceName,
        endpoints: &[Endpoint],
    ) -> Vec<Endpoint> {
        let evacuated = self.evacuated.lock();
        let is_allowed = |endpoint: &&Endpoint| {
            let locality = &endpoint.locality;
            table.is_none_or(|table| table.allows(service, locality)) && !evacuated.contains(&locality.zone)
        };
        endpoints.iter().filter(is_allowed).cloned().collect()
    }

    /// Sets the zones whose back ends get nothing new. When this returns, none of them is chosen, and the own one takes nothing if it is in one.
    pub fn set_evacuated(&self, zones: BTreeSet<ZoneName>) {
        self.inbound.set_evacuated(zones.contains(&self.locality.zone));
        *self.evacuated.lock() = zones;
        self.apply_localities(self.table.load().as_deref());
    }

    /// The node beside a back end serves it only where the configuration allows, whatever callers' nodes believe, and at the pace that it names.
    fn apply_to_own(&self, table: &RoutingTable) {
        if let Some(service) = self.inbound.service() {
            self.inbound.set_may_serve(table.allows(&service, &self.locality));
            self.inbound.set_cold_rate(table.cold_rate(&service));
        }
        let tenants = Arc::clone(table.tenants());
        self.inbound.set_access(InboundAccess { tenants, region: self.locality.region.clone() });
    }

    /// Takes in that the back end beside this node may be of another service now.
    pub fn on_back_end_changed(&self) {
        if let Some(table) = &*self.table.load() {
            self.apply_to_own(table);
        }
    }

    /// Version in force.
    #[must_use]
    pub fn active_version(&self) -> Option<Version> {
        self.table.load().as_ref().map(|table| table.version())
    }

    /// Limits on what callers send.
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

    /// Sets the endpoints of `service` that take new work.
    pub fn set_endpoints(&self, service: &ServiceName, endpoints: Vec<Endpoint>) {
        let mut told = self.told.lock();
        let usable = self.allowed(self.table.load().as_deref(), service, &endpoints);
        if endpoints.is_empty() {
            told.remove(service);
        } else {
            told.insert(service.clone(), endpoints);
        }
        self.selector.lock().set_endpoints(now(), service, usable);
    }

    /// Sets the share of a release in the requests of `service`.
    pub fn set_release_share(&self, service: &ServiceName, share: ReleaseShare) {
        let mut selector = self.selector.lock();
        selector.set_release_share(now(), &mut *self.random.lock(), service, share);
    }

    /// Takes in what a node told of the load of its back end.
    pub fn on_report(&self, service: &ServiceName, node: &NodeName, report: LoadReport) {
        self.selector.lock().on_fresh_report(now(), service, node, report);
    }

    /// The quotas of tenants.
    #[must_use]
    pub const fn quotas(&self) -> &Arc<QuotaGate> {
        &self.quotas
    }

    /// Sets the number of nodes that share the retry budgets and the quotas of tenants, this one included, also those that can't be reached now: they spend their
    /// parts too. Until it is set, this node has no part of what is allowed beside the requests.
    pub fn set_sharing_nodes(&self, count: usize) {
        self.ledger.set_sharing_nodes(count);
        self.quotas.set_sharing_nodes(count);
    }

    /// Takes in that the machine was suspended for so long: what was saved of the retry budgets was earned by requests of a time that is further back than it seems, and
    /// connections to other nodes may have ended meanwhile.
    pub fn on_suspended(&self, suspended: Duration) {
        self.inbound.suspended().add(suspended);
        self.ledger.discard_savings();
        self.hops.clear();
    }

    /// The requests under suspicion of ending back ends.
    pub(super) fn quarantine(&self) -> &Quarantine {
        self.inbound.quarantine()
    }

    /// Closes connections that were idle too long.
    pub fn close_expired(&self) {
        self.hops.close_expired();
    }

    /// Where the node called `node` runs, if it is a known endpoint of `service`.
    pub(super) fn locality_of(&self, service: &ServiceName, node: &NodeName) -> Option<Locality> {
        let told = self.told.lock();
        let endpoint = told.get(service)?.iter().find(|endpoint| endpoint.node == *node)?;
        Some(endpoint.locality.clone())
    }

    /// An answer of this node's own to the request called `id`.
    pub(super) fn own_reply(
        &self,
        reason: ReplyReason,
        retry_after: Option<Duration>,
        id: Option<&Bytes>,
    ) -> Reply {
        self.telemetry.metrics().request(reason.outcome(), RequestDetail::Reason(reason.as_str()));
        let mut reply = Reply::own(reason, retry_after, self.header_profile.marks.as_ref());
        if let Some(id) = id {
            reply.fields.set(self.header_profile.request_id, id.clone());
        }
        reply
    }

    /// Whether `address` is this node's own.
    pub(super) fn is_own(&self, node: &NodeName, _address: SocketAddr) -> bool {
        *node == self.node
    }
}
