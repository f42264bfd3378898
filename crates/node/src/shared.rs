//! What the parts of one node share.

use std::net::SocketAddr;
use std::sync::Arc;

use ractor::ActorRef;
use tokio::sync::watch;
use umberpond_acceptance::Acceptor;
use umberpond_overlay::OverlayStatus;
use umberpond_platform::PlatformClient;
use umberpond_proxy::{BackendHealth, ProxyState};

use crate::NodeConfig;
use crate::activation::Activation;
use crate::admin::api::{Readiness, ReadinessCondition};
use crate::environment::Environment;
use crate::overlay::OverlayMessage;
use crate::own_status::OwnStatus;
use crate::platform::KnownMachines;
use crate::recording::Recording;

/// Longest time that the overlay actor may take to tell its state, in milliseconds.
const STATUS_TIMEOUT_MILLIS: u64 = 2_000;

/// Addresses that a node listens at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Requests of other nodes for the back end; absent at an edge.
    pub inbound: Option<SocketAddr>,
    /// Requests of local callers.
    pub outbound: SocketAddr,
    /// Operators, metrics, liveness and readiness.
    pub admin: SocketAddr,
    /// Control connections of other nodes.
    pub control: SocketAddr,
}

/// Shared state of one node.
pub(crate) struct NodeShared {
    pub(crate) config: NodeConfig,
    pub(crate) environment: Environment,
    pub(crate) addresses: NodeAddresses,
    pub(crate) proxy: Arc<ProxyState>,
    pub(crate) own_status: OwnStatus,
    pub(crate) activation: Arc<Activation>,
    pub(crate) overlay: ActorRef<OverlayMessage>,
    pub(crate) client: PlatformClient,
    pub(crate) acceptor: Acceptor,
    pub(crate) machines: Arc<KnownMachines>,
    pub(crate) recording: Arc<Recording>,
    pub(crate) draining: watch::Sender<bool>,
}

impl NodeShared {
    /// Whether the node takes requests, and what it waits for otherwise.
    pub(crate) fn readiness(&self) -> Readiness {
        let mut waits_for = Vec::new();
        if !self.config.is_edge() && *self.proxy.backend_health().borrow() != BackendHealth::Ready {
            waits_for.push(ReadinessCondition::BackEnd);
        }
        // The overlay puts nothing in force below the proved version floor, so this covers the floor as well.
        if self.activation.active().borrow().is_none() {
            waits_for.push(ReadinessCondition::Configuration);
        }
        if *self.draining.borrow() {
            waits_for.push(ReadinessCondition::NotDraining);
        }
        Readiness { ready: waits_for.is_empty(), waits_for }
    }

    /// State of the overlay core; `None` if the actor does not answer in time.
    pub(crate) async fn overlay_status(&self) -> Option<Arc<OverlayStatus>> {
        overlay_status(&self.overlay).await
    }
}

/// State of the overlay core; `None` if the actor does not answer in time. The commit index is up to date after it.
pub(crate) async fn overlay_status(overlay: &ActorRef<OverlayMessage>) -> Option<Arc<OverlayStatus>> {
    ractor::call_t!(overlay, OverlayMessage::Status, STATUS_TIMEOUT_MILLIS).ok()
}
