//! What a node finds out about others, for the log.

use std::time::Duration;

use umberpond_model::{Locality, NodeName};

/// One change of what this node believes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// This node finds a neighbour silent, and tells others.
    NeighbourSilent {
        /// The neighbour.
        node: NodeName,
        /// Time since it was heard last, or else since it became known.
        silent_for: Duration,
    },
    /// Enough neighbours of a node have found it silent: it is left out.
    NodeExcluded {
        /// The node.
        node: NodeName,
        /// How many of its neighbours.
        accusers: usize,
        /// Age of its record here.
        known_for: Duration,
    },
    /// Others have left this node out; it has written a later record.
    Refuted {
        /// Its number of changes now.
        sequence: u64,
    },
    /// Nothing passes between this node and a zone any more.
    ZoneUnreachable {
        /// The zone.
        locality: Locality,
        /// How many of its nodes were looked at in vain.
        silent: usize,
    },
    /// Something passes again.
    ZoneBack {
        /// The zone.
        locality: Locality,
    },
    /// This process itself did not run for a while, so it does not judge by what it missed.
    Stalled {
        /// For how long.
        stalled_for: Duration,
    },
    /// Records were missed and are asked for.
    RepairRequested {
        /// The bucket that differs.
        bucket: u8,
        /// For how long it has differed.
        differs_for: Duration,
    },
}
