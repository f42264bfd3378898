//! What both halves share.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use thiserror::Error;
use tokio::sync::watch;
use umberpond_model::{EndpointRecord, EndpointStatus, Version};
use umberpond_net::Network;

use crate::{
    BackendHealth, BackendSettings, NodeIdentity, ProcessClock, ProxySettings, RequestObserver, RoutingTable,
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

/// A routing table older than the one in force; it was not put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("version {offered} is not newer than version {active}, which is in force")]
pub struct StaleVersion {
    /// Version offered.
    pub offered: Version,
    /// Version in force.
    pub active: Version,
}

/// State of the request path of one node, shared by both halves and all their connections.
pub struct ProxyState {
    pub(crate) identity: NodeIdentity,
    pub(crate) settings: ProxySettings,
    pub(crate) environment: ProxyEnvironment,
    pub(crate) table: ArcSwapOption<RoutingTable>,
    pub(crate) backend: Option<BackendSettings>,
    status: watch::Sender<EndpointStatus>,
    health: watch::Sender<BackendHealth>,
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
        Arc::new(Self {
            identity,
            settings,
            environment,
            table: ArcSwapOption::empty(),
            backend,
            status: watch::Sender::new(EndpointStatus::Starting),
            health: watch::Sender::new(BackendHealth::Starting),
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
        self.table.store(Some(table));
        Ok(())
    }

    /// Version in force.
    #[must_use]
    pub fn active_version(&self) -> Option<Version> {
        self.table.load().as_ref().map(|table| table.version())
    }

    /// Replaces the endpoint records of all services that this node calls.
    pub fn set_endpoints(&self, _records: &[EndpointRecord]) {}

    /// Sets the status that this node's endpoint has by its owner's word: only a ready endpoint admits work.
    /// The node calls it before it tells anybody else.
    pub fn set_endpoint_status(&self, status: EndpointStatus) {
        self.status.send_replace(status);
    }

    /// Status of this node's endpoint.
    #[must_use]
    pub fn endpoint_status(&self) -> EndpointStatus {
        *self.status.borrow()
    }

    /// Health of the local back end as the checker sees it.
    #[must_use]
    pub fn backend_health(&self) -> watch::Receiver<BackendHealth> {
        self.health.subscribe()
    }
}
