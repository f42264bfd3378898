//! The evacuations in force on a node.
//!
//! They are the latest that any node has read from the store. After the store was restored from an older copy
//! it may lack orders that were in force, until the operators have written them again; these stay in force for
//! that time.

use std::collections::BTreeSet;
use std::time::Instant;

use umberpond_model::{Evacuations, ORDER_REWRITE_TIME, ZoneName};

#[cfg(test)]
mod tests;

/// The evacuations in force on a node.
#[derive(Debug, Default)]
pub(crate) struct HeldEvacuations {
    latest: Evacuations,
    /// Zones that were evacuated before a restore, and that the restored store has not listed yet.
    carried: BTreeSet<ZoneName>,
    /// Time at which the carried zones are given up.
    carried_until: Option<Instant>,
}

impl HeldEvacuations {
    /// The latest evacuations that were read from the store.
    pub(crate) const fn latest(&self) -> &Evacuations {
        &self.latest
    }

    /// The evacuated zones.
    pub(crate) fn zones(&self) -> BTreeSet<ZoneName> {
        self.latest.zones.union(&self.carried).cloned().collect()
    }

    /// Whether orders from before a restore are in force, for a limited time.
    pub(crate) fn is_carrying(&self) -> bool {
        !self.carried.is_empty()
    }

    /// Adopts `published` if it was read later than what is held, and gives up carried zones whose time is over.
    /// Returns whether the evacuated zones have changed.
    pub(crate) fn update(&mut self, now: Instant, published: &Evacuations) -> bool {
        let before = self.zones();
        if published.supersedes(&self.latest) {
            if published.revision.era > self.latest.revision.era {
                self.carried.clone_from(&before);
                self.carried_until = Some(now + ORDER_REWRITE_TIME);
            }
            self.latest = published.clone();
        }
        if self.carried_until.is_some_and(|until| now >= until) {
            self.carried.clear();
        }
        // From now on, the order in the restored store decides when the evacuation ends.
        self.carried.retain(|zone| !self.latest.zones.contains(zone));
        self.zones() != before
    }
}
