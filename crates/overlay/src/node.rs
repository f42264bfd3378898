//! The decision core of one node.

use umberpond_model::{EndpointRecord, Timestamp, Version};

use crate::interface::{Input, Output};
use crate::{OverlayConfig, OverlayStatus, PeerMessage, Role};

/// The overlay on one node.
#[derive(Debug)]
pub struct OverlayNode {
    own: EndpointRecord,
    role: Role,
}

impl OverlayNode {
    /// A node that has not started yet. `own` names the node, its locality, addresses, service and incarnation;
    /// two processes must not share a `seed` and an incarnation.
    #[must_use]
    pub fn new(_config: OverlayConfig, own: EndpointRecord, _seed: u64) -> Self {
        Self { own, role: Role::Leaf }
    }

    /// Takes an input and returns what the driver must do, in order. `now` never goes back.
    pub fn on(&mut self, _now: Timestamp, _input: Input<PeerMessage>) -> Vec<Output<PeerMessage>> {
        Vec::new()
    }

    /// What the node tells about itself.
    #[must_use]
    pub fn status(&self) -> OverlayStatus {
        OverlayStatus {
            node: self.own.node.clone(),
            locality: self.own.locality.clone(),
            role: self.role,
            depth: None,
            parent: None,
            parent_candidates: Vec::new(),
            children: Vec::new(),
            peers: Vec::new(),
            held: None,
            active: None,
            committed: Version::GENESIS,
            floor: None,
            ready: false,
            has_lease: false,
            platform_available: None,
            zone_members: 0,
            endpoint_records: 0,
            witnesses: Vec::new(),
            zones: std::collections::BTreeMap::new(),
            proposed_witnesses: Vec::new(),
        }
    }
}
