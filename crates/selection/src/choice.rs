//! Input and result of the endpoint selection.

use std::net::SocketAddr;
use std::time::Duration;

use umberpond_model::{HomeRegions, NodeName, RouteName};

use crate::releases::ReleaseGroup;

/// Properties of a request that determine its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Nodes that the request was already sent to.
    pub tried: &'a [NodeName],
    /// Releases that the request is assigned to.
    pub group: ReleaseGroup,
    /// Time within which a response is fully useful.
    pub objective: Duration,
    /// Regions in which the request may be served.
    pub homes: &'a HomeRegions,
}

/// The selected endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Node in front of the back end.
    pub node: NodeName,
    /// Address at which that node accepts requests.
    pub address: SocketAddr,
    /// Whether a slot is free there, as far as this node knows.
    pub has_free_slot: bool,
    /// Whether the endpoint is in this node's zone.
    pub is_same_zone: bool,
    /// Identity of the back-end process that the request is meant for.
    pub instance: String,
    /// Expected service time in the back end at its usual speed.
    pub service: Duration,
    /// Expected time in the queue for a slot, at the current speed.
    pub wait: Duration,
    /// Expected time until the response, at the current speed.
    pub total: Duration,
}
