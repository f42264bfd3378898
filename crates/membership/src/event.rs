//! Changes that a node observes in the membership, for the log.

use std::time::Duration;

use umberpond_model::{Locality, NodeName};

/// One observed change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A neighbour is silent, and this node accuses it to other nodes.
    NeighbourSilent {
        /// The neighbour.
        node: NodeName,
        /// Time since the last heartbeat, or since the node became known if none has arrived.
        silent_for: Duration,
    },
    /// A node was excluded because enough neighbours accused it.
    NodeExcluded {
        /// The node.
        node: NodeName,
        /// Number of accusers.
        accusers: usize,
        /// Time since the last state change of the node as seen here.
        known_for: Duration,
    },
    /// Other nodes have excluded this node; it publishes a later record version.
    Refuted {
        /// Sequence number of the new record.
        sequence: u64,
    },
    /// A zone became unreachable from this node.
    ZoneUnreachable {
        /// The zone.
        locality: Locality,
        /// Number of silent nodes that were probed.
        silent: usize,
    },
    /// A zone became reachable again.
    ZoneBack {
        /// The zone.
        locality: Locality,
    },
    /// This process itself was stalled, so it does not judge other nodes by the heartbeats that it missed.
    Stalled {
        /// Duration of the stall.
        stalled_for: Duration,
    },
    /// Records that this node missed were requested.
    RepairRequested {
        /// The bucket whose digests differ.
        bucket: u8,
        /// For how long they have differed.
        differs_for: Duration,
    },
}
