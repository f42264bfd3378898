//! Times and counts of the membership.

use std::time::Duration;

/// Times and counts of the membership. Arithmetic and measurements: `docs/design/0106-membership-at-size.md`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipSettings {
    /// Time between two heartbeats to a neighbour of the own zone.
    pub interval: Duration,
    /// Time between two heartbeats to a neighbour in another zone: bytes between zones are dear, and the neighbours of
    /// its own zone notice its silence first.
    pub far_interval: Duration,
    /// Heartbeats in a row that a neighbour of the own zone may miss.
    pub missed_intervals: u32,
    /// Heartbeats in a row that a neighbour in another zone may miss.
    pub far_missed_intervals: u32,
    /// Time between two heartbeats to a neighbour that is out of reach.
    pub call_back_interval: Duration,
    /// Time after which a node that is out is forgotten.
    pub forget_after: Duration,
    /// Up to so many nodes, all are neighbours of all: 15 others at 5 heartbeats a second of 110 bytes are 8 KB/s.
    pub full_mesh_up_to: usize,
    /// Neighbours on each side of a node in the ring of its zone.
    pub neighbours_a_side: usize,
    /// Neighbours that have to find a node silent before others leave it out: one alone may be cut off from it.
    pub accusers_needed: usize,
    /// Time after which the finding of too few neighbours is dropped.
    pub accusation_lifetime: Duration,
    /// Nodes of the own zone to which news are passed on. A node misses news that everybody passes on to so many with a
    /// chance of e^-6, one in 400.
    pub news_fanout: usize,
    /// Nodes of each other zone, on average, to which all nodes of a zone together pass on news of that zone.
    pub relays_between_zones: f64,
    /// Nodes named by the store that a node without neighbours calls at once.
    pub strangers_called: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            far_interval: Duration::from_secs(1),
            missed_intervals: 4,
            far_missed_intervals: 3,
            call_back_interval: Duration::from_millis(500),
            forget_after: Duration::from_secs(600),
            full_mesh_up_to: 16,
            neighbours_a_side: 3,
            accusers_needed: 2,
            accusation_lifetime: Duration::from_secs(3),
            news_fanout: 6,
            relays_between_zones: 2.0,
            strangers_called: 4,
        }
    }
}
