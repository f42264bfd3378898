//! From the evacuations that nodes tell to the request path.

use umberpond_forwarding::Outbound;
use umberpond_membership::Membership;
use umberpond_model::Evacuations;
use umberpond_telemetry::{Event, Telemetry};

/// The evacuations in force on this node: the latest that any node has told.
#[derive(Debug, Default)]
pub(super) struct EvacuationsInForce {
    held: Evacuations,
}

impl EvacuationsInForce {
    /// What this node tells the others once it has read `listed` from the store. What has not changed is told as it was, so that its
    /// record does not change.
    pub(super) fn to_tell(&self, listed: Evacuations) -> Evacuations {
        if listed.zones == self.held.zones { self.held.clone() } else { listed }
    }

    /// Takes in what all known nodes tell, and tells the request path what is new.
    pub(super) fn follow(&mut self, membership: &Membership, outbound: &Outbound, telemetry: &Telemetry) {
        let told = membership.reachable().chain([membership.own()]).map(|record| &record.evacuations);
        let Some(latest) = told.max_by_key(|told| told.revision) else { return };
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
