//! Times of the membership.

use std::time::Duration;

/// Times and counts of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two heartbeats to one node, while there are few nodes.
    pub interval: Duration,
    /// Time that each known node adds to the interval at least, which bounds the heartbeats a second.
    pub interval_per_node: Duration,
    /// Intervals without a heartbeat after which a node counts as out of reach.
    pub missed_intervals: u32,
    /// Time between two heartbeats to a node that is out of reach.
    pub call_back_interval: Duration,
    /// Time after which a node that is out of reach is forgotten.
    pub forget_after: Duration,
    /// Nodes that are told at once of a new version; these tell others, and heartbeats heal what is left.
    pub version_fanout: usize,
    /// Records of other nodes in a heartbeat that carries any.
    pub others_told: usize,
    /// Of so many heartbeats one carries records of other nodes.
    pub others_every: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            interval_per_node: Duration::from_millis(5),
            missed_intervals: 4,
            call_back_interval: Duration::from_millis(500),
            forget_after: Duration::from_secs(600),
            version_fanout: 12,
            others_told: 3,
            others_every: 8,
        }
    }
}

impl MembershipSettings {
    /// Time between two heartbeats to one of `nodes` nodes.
    #[must_use]
    pub fn interval_for(&self, nodes: usize) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        self.interval.max(self.interval_per_node.saturating_mul(nodes))
    }
}
