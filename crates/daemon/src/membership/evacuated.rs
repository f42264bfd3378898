//! Applies the evacuations that nodes publish to the request path.

use umberpond_forwarding::Outbound;
use umberpond_membership::Membership;
use umberpond_model::Evacuations;
use umberpond_telemetry::{Event, Telemetry};

/// The evacuations in force on this node: the latest that any node has published.
#[derive(Debug, Default)]
pub(super) struct EvacuationsInForce {
    held: Evacuations,
}

impl EvacuationsInForce {
    /// What this node publishes after it has read `listed` from the store. If the zones have not changed,
    /// that is the value already held, so that this node's record does not change.
    pub(super) fn to_publish(&self, listed: Evacuations) -> Evacuations {
        if listed.zones == self.held.zones { self.held.clone() } else { listed }
    }

    /// Merges the evacuations that all reachable nodes publish, and applies changes to the request path.
    pub(super) fn follow(&mut self, membership: &Membership, outbound: &Outbound, telemetry: &Telemetry) {
        let published = membership.reachable().chain([membership.own()]).map(|record| &record.evacuations);
        let Some(latest) = published.max_by_key(|published| published.revision) else { return };
        if !latest.supersedes(&self.held) {
            return;
        }
        let has_changed = latest.zones != self.held.zones;
        self.held = latest.clone();
        if has_changed {
            telemetry.metrics().set_evacuated_zones(self.held.zones.len());
            let (zones, revision) = (self.held.zone_list(), self.held.revision);
            telemetry.emit(Event::EvacuationInForce { zones, revision });
            outbound.set_evacuated(self.held.zones.clone());
        }
    }
}
