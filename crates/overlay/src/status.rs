//! What a node tells about itself.

use std::collections::BTreeMap;

use umberpond_model::{Locality, Member, NodeName, Version};

use crate::{Report, Role};

/// State of the overlay on one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OverlayStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// Its role.
    pub role: Role,
    /// Hops to a reader; absent while it has no way to one.
    pub depth: Option<u8>,
    /// The parent, if attached.
    pub parent: Option<NodeName>,
    /// Nodes that it would attach to next, best first.
    pub parent_candidates: Vec<Member>,
    /// Attached children.
    pub children: Vec<ChildStatus>,
    /// Connected readers and witnesses.
    pub peers: Vec<NodeName>,
    /// Newest version held.
    pub held: Option<Version>,
    /// Version in force.
    pub active: Option<Version>,
    /// Commit index known here.
    pub committed: Version,
    /// Proved version floor; absent until the first proof.
    pub floor: Option<Version>,
    /// Whether a configuration that reaches the floor is in force (or none exists yet, by proof).
    pub ready: bool,
    /// Whether this node holds a reader lease.
    pub has_lease: bool,
    /// Whether the platform answered last; absent at a node that doesn't ask it.
    pub platform_available: Option<bool>,
    /// Live members of the own zone known here.
    pub zone_members: usize,
    /// Endpoint records held.
    pub endpoint_records: usize,
    /// Witnesses of the newest record known here; empty where witness sets aren't held.
    pub witnesses: Vec<NodeName>,
    /// Progress of each zone; only at readers.
    pub zones: BTreeMap<Locality, Report>,
    /// Proposal for the witness set of the next version: the first-ranked member of each zone; only at readers.
    pub proposed_witnesses: Vec<NodeName>,
}

/// One child, as its parent sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChildStatus {
    /// The child.
    pub node: NodeName,
    /// Its role.
    pub role: Role,
    /// Newest version sent to it.
    pub sent: Option<Version>,
    /// Updates that it hasn't acknowledged.
    pub unacknowledged: u32,
    /// Nodes below it, itself included, as last reported.
    pub nodes: u32,
}
