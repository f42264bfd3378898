//! What one process of hollow nodes is told to run.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Places;

/// The hollow nodes of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Number of the first node.
    pub first: usize,
    /// Count of nodes.
    pub count: usize,
    /// Regions, zones and services.
    pub places: Places,
    /// The store's object API.
    pub store: SocketAddr,
    /// Time over which the nodes start, in milliseconds.
    pub start_millis: u64,
}
