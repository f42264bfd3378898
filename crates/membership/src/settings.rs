//! Intervals, timeouts and counts of the membership.

use std::time::Duration;

/// Intervals, timeouts and counts of the membership. Calculations and measurements:
/// `docs/design/0106-membership-at-size.md`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipSettings {
    /// Heartbeat interval between neighbours of the same zone.
    pub interval: Duration,
    /// Heartbeat interval between neighbours in different zones. It is longer because traffic between zones
    /// is expensive, and the neighbours in the node's own zone detect its silence first.
    pub far_interval: Duration,
    /// Number of consecutive heartbeats that a neighbour of the same zone may miss.
    pub missed_intervals: u32,
    /// Number of consecutive heartbeats that a neighbour in another zone may miss.
    pub far_missed_intervals: u32,
    /// Heartbeat interval to a silent neighbour.
    pub reconnect_interval: Duration,
    /// Time after which an excluded or silent node is forgotten.
    pub forget_after: Duration,
    /// The neighbours form a full mesh below this number of other nodes: 15 others at 5 heartbeats a second
    /// of 110 bytes are 8 KB/s.
    pub full_mesh_up_to: usize,
    /// Number of neighbours on each side of a node in the ring of its zone.
    pub neighbours_per_side: usize,
    /// Number of neighbours that must accuse a node before it is excluded. One accuser is not enough, since
    /// only its own link to the node may be broken.
    pub accusers_needed: usize,
    /// Time after which accusations are dropped if there are too few to exclude the node.
    pub accusation_lifetime: Duration,
    /// Number of nodes of the same zone to which each node forwards an update. With a fanout of 6, a node
    /// misses an update that all nodes forward with a probability of e^-6, 1 in 400.
    pub gossip_fanout: usize,
    /// Average number of nodes in each other zone to which the nodes of a zone together forward an update
    /// about their zone.
    pub relays_between_zones: f64,
    /// Number of join candidates that a joining node contacts at once.
    pub candidates_contacted: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            far_interval: Duration::from_secs(1),
            missed_intervals: 4,
            far_missed_intervals: 3,
            reconnect_interval: Duration::from_millis(500),
            forget_after: Duration::from_secs(600),
            full_mesh_up_to: 16,
            neighbours_per_side: 3,
            accusers_needed: 2,
            accusation_lifetime: Duration::from_secs(3),
            gossip_fanout: 6,
            relays_between_zones: 2.0,
            candidates_contacted: 4,
        }
    }
}
