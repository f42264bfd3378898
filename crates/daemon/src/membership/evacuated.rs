//! Applies the evacuations that nodes publish to the request path.

use std::time::Instant;

use umberpond_forwarding::Outbound;
use umberpond_membership::Membership;
use umberpond_model::{Evacuations, ZoneName};
use umberpond_telemetry::{Event, Telemetry};

use crate::evacuations::HeldEvacuations;

/// The evacuations in force on this node: the latest that any node has published.
#[derive(Debug, Default)]
pub(super) struct EvacuationsInForce {
    held: HeldEvacuations,
}

impl EvacuationsInForce {
    /// What this node publishes after it has read `listed` from the store. If the zones have not changed,
    /// that is the value already held, so that this node's record does not change.
    pub(super) fn to_publish(&self, listed: Evacuations) -> Evacuations {
        let latest = self.held.latest();
        let is_known = listed.zones == latest.zones && listed.revision.era == latest.revision.era;
        if is_known { latest.clone() } else { listed }
    }

    /// Whether orders from before a restore of the store are in force, which end after some time.
    pub(super) fn is_carrying(&self) -> bool {
        self.held.is_carrying()
    }

    /// Merges the evacuations that all reachable nodes publish, and applies changes to the request path.
    pub(super) fn follow(
        &mut self,
        now: Instant,
        membership: &Membership,
        outbound: &Outbound,
        telemetry: &Telemetry,
    ) {
        let published = membership.reachable().chain([membership.own()]).map(|record| &record.evacuations);
        let Some(latest) = published.max_by_key(|published| published.revision) else { return };
        if !self.held.update(now, latest) {
            return;
        }
        let zones = self.held.zones();
        telemetry.metrics().set_evacuated_zones(zones.len());
        let names: Vec<&str> = zones.iter().map(ZoneName::as_str).collect();
        let revision = self.held.latest().revision.number;
        telemetry.emit(Event::EvacuationInForce { zones: names.join(","), revision });
        outbound.set_evacuated(zones);
    }
}
