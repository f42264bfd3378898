//! What both halves share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;
use umberpond_admission::{Admission, GateStatus, GateView, RetryBudget};
use umberpond_balance::{Balancer, EndpointReport, LoadReport, LocalityFilter};
use umberpond_model::{EndpointRecord, EndpointStatus, ServiceName, Timestamp, Version};
use umberpond_net::Network;

use crate::random::RandomShards;
use crate::wire::{Pool, PoolLimits};
use crate::{
    BackendHealth, BackendSettings, NodeIdentity, ProcessClock, ProxySettings, RequestEvent, RequestObserver,
    RoutingTable,
};

/// What the proxies need from their surroundings.
pub struct ProxyEnvironment {
    /// Opens connections to nodes and to the back end.
    pub network: Arc<dyn Network>,
    /// The process clock.
    pub clock: ProcessClock,
    /// Seed of all randomness on the request path. A process must not reuse one of an earlier process.
    pub seed: u64,
    /// Receives the events.
    pub observer: Arc<dyn RequestObserver>,
}

/// A routing table that is not newer than the one in force; it was not put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("version {offered} is not newer than version {active}, which is in force")]
pub struct StaleVersion {
    /// Version offered.
    pub offered: Version,
    /// Version in force.
    pub active: Version,
}

/// One service that this node calls.
pub(crate) struct Target {
    pub(crate) balancer: Balancer,
    pub(crate) budget: RetryBudget,
}

/// State of this node's own endpoint by its owner's word.
#[derive(Debug, Clone, Copy)]
struct OwnEndpoint {
    status: EndpointStatus,
    sequence: Option<u64>,
}

/// State of the request path of one node, shared by both halves and all their connections.
pub struct ProxyState {
    pub(crate) identity: NodeIdentity,
    pub(crate) settings: ProxySettings,
    pub(crate) backend: Option<BackendSettings>,
    pub(crate) random: RandomShards,
    pub(crate) nodes: Pool,
    pub(crate) backend_pool: Pool,
    pub(crate) health: watch::Sender<BackendHealth>,
    pub(crate) environment: ProxyEnvironment,
    table: ArcSwapOption<RoutingTable>,
    targets: ArcSwap<BTreeMap<ServiceName, Arc<Target>>>,
    /// Endpoint records as handed in last. The lock is held over every change of table and targets.
    records: Mutex<Vec<EndpointRecord>>,
    /// The gate before the back end, there from the start so that it remembers every refusal; absent at an edge.
    gate: Option<Admission>,
    own: ArcSwap<OwnEndpoint>,
}

impl ProxyState {
    /// The state of a node without configuration; `backend` is absent at an edge.
    #[must_use]
    pub fn new(
        identity: NodeIdentity,
        settings: ProxySettings,
        backend: Option<BackendSettings>,
        environment: ProxyEnvironment,
    ) -> Arc<Self> {
        let node_limits = PoolLimits {
            connections: settings.connections_per_endpoint,
            idle: settings.idle_timeout,
            connect: settings.connect_timeout,
        };
        let backend_limits = PoolLimits { connections: settings.backend_connections, ..node_limits };
        let network = Arc::clone(&environment.network);
        let gate = identity
            .service
            .as_ref()
            .map(|_own| Admission::new(settings.admission.clone(), environment.clock.now()));
        Arc::new(Self {
            identity,
            backend,
            random: RandomShards::new(environment.seed),
            nodes: Pool::new(Arc::clone(&network), node_limits),
            backend_pool: Pool::new(network, backend_limits),
            health: watch::Sender::new(BackendHealth::Starting),
            environment,
            settings,
            table: ArcSwapOption::empty(),
            targets: ArcSwap::default(),
            records: Mutex::default(),
            gate,
            own: ArcSwap::from_pointee(OwnEndpoint { status: EndpointStatus::Starting, sequence: None }),
        })
    }

    /// Puts a routing table in force, by one swap. The endpoints are filtered by its localities first, so no
    /// request of the new table meets an endpoint that it forbids.
    ///
    /// # Errors
    /// Returns [`StaleVersion`] and changes nothing if the table is not newer than the one in force.
    pub fn activate(&self, table: Arc<RoutingTable>) -> Result<(), StaleVersion> {
        let records = self.records.lock();
        if let Some(active) = self.active_version()
            && table.version() <= active
        {
            return Err(StaleVersion { offered: table.version(), active });
        }
        self.update_targets(&table, &records);
        self.update_gate(&table);
        self.table.store(Some(table));
        Ok(())
    }

    /// Version in force.
    #[must_use]
    pub fn active_version(&self) -> Option<Version> {
        self.table.load().as_ref().map(|table| table.version())
    }

    /// Replaces the endpoint records of all services that this node calls.
    pub fn set_endpoints(&self, records: Vec<EndpointRecord>) {
        let mut current = self.records.lock();
        *current = records;
        if let Some(table) = self.table.load_full() {
            self.update_targets(&table, &current);
        }
        let ready: BTreeSet<SocketAddr> =
            current.iter().filter(|record| record.takes_new_work()).map(|record| record.inbound).collect();
        self.nodes.retain(&ready);
    }

    /// Takes in what this node says of its own endpoint: only a ready one admits work. Call it before telling
    /// anybody else: from its return on nothing new is admitted unless the endpoint is ready.
    pub fn set_own_record(&self, record: &EndpointRecord) {
        let _no_activation = self.records.lock();
        let own = OwnEndpoint { status: record.status, sequence: Some(record.sequence) };
        self.own.store(Arc::new(own));
        if let Some(gate) = &self.gate {
            gate.set_status(gate_status(record.status));
        }
    }

    /// Status of this node's endpoint.
    #[must_use]
    pub fn endpoint_status(&self) -> EndpointStatus {
        self.own.load().status
    }

    /// Health of the local back end as the checker sees it.
    #[must_use]
    pub fn backend_health(&self) -> watch::Receiver<BackendHealth> {
        self.health.subscribe()
    }

    /// State of the admission gate; absent at an edge.
    #[must_use]
    pub fn gate_view(&self) -> Option<GateView> {
        self.gate.as_ref().map(Admission::view)
    }

    /// The balancer of a service that this node calls, for status pages.
    #[must_use]
    pub fn balancer(&self, service: &str) -> Option<Balancer> {
        self.targets.load().get(service).map(|target| target.balancer.clone())
    }

    pub(crate) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    pub(crate) fn target(&self, service: &ServiceName) -> Option<Arc<Target>> {
        self.targets.load().get(service).cloned()
    }

    pub(crate) fn gate(&self) -> Option<&Admission> {
        self.gate.as_ref()
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.environment.clock.now()
    }

    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.environment.clock.instant(at)
    }

    pub(crate) fn observe(&self, event: &RequestEvent<'_>) {
        self.environment.observer.observe(event);
    }

    /// What this node's answers say of its endpoint. `is_draining`: the process itself leaves.
    pub(crate) fn endpoint_report(&self, is_draining: bool) -> EndpointReport {
        let own = self.own.load();
        let load = self.gate.as_ref().map(Admission::view).map(|view| LoadReport {
            outstanding: view.running.saturating_add(u32::try_from(view.queued).unwrap_or(u32::MAX)),
            slots: view.slots,
        });
        let status = if is_draining { EndpointStatus::Draining } else { own.status };
        let sequence = own.sequence.filter(|_| status == own.status);
        EndpointReport { incarnation: self.identity.incarnation, sequence, status, load }
    }

    fn update_targets(&self, table: &RoutingTable, records: &[EndpointRecord]) {
        let now = self.now();
        let current = self.targets.load_full();
        let mut next = BTreeMap::new();
        for service in table.called_services() {
            let target = current.get(&service.name).cloned().unwrap_or_else(|| self.new_target(now));
            let of_service = records.iter().filter(|record| record.service.as_ref() == Some(&service.name));
            let allowed = LocalityFilter::of(service).allow_all(of_service.cloned());
            target.balancer.update(now, allowed);
            next.insert(service.name.clone(), target);
        }
        self.targets.store(Arc::new(next));
    }

    fn new_target(&self, now: Timestamp) -> Arc<Target> {
        Arc::new(Target {
            balancer: Balancer::new(self.identity.locality.clone(), self.settings.balancer.clone()),
            budget: RetryBudget::new(self.settings.retry_budget, now),
        })
    }

    /// Gives the gate the slots of the configuration. It is never replaced, since it remembers what it has admitted.
    fn update_gate(&self, table: &RoutingTable) {
        let own = self.identity.service.as_ref().and_then(|own| table.service(own.as_str()));
        if let (Some(gate), Some(service)) = (&self.gate, own) {
            // A request in a slot uses one connection, so this bounds the connections to the back end too.
            gate.set_slots(service.slots.min(service.connections));
        }
    }
}

const fn gate_status(status: EndpointStatus) -> GateStatus {
    match status {
        EndpointStatus::Starting => GateStatus::Starting,
        EndpointStatus::Ready => GateStatus::Open,
        EndpointStatus::Draining | EndpointStatus::Gone => GateStatus::Draining,
    }
}
