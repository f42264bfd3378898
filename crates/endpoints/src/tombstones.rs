//! Positions of removed records, kept for a while so that a late copy can't bring one back.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{EndpointRecord, Millis, NodeName, RecordOrder, Timestamp};

/// How long the position of a removed record is kept. A copy of the record that arrives later is taken as new; it
/// is then suspected and removed again like any record whose owner nobody sees.
pub const TOMBSTONE_KEEP: Millis = Millis(3_600_000);

/// Most positions kept; above it the one removed first is forgotten. More than the nodes of the largest fleet.
pub const MAX_TOMBSTONES: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct Tombstone {
    order: RecordOrder,
    removed: Timestamp,
}

/// Tombstones by node, and in the order of removal.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tombstones {
    by_node: BTreeMap<NodeName, Tombstone>,
    by_age: BTreeSet<(Timestamp, NodeName)>,
}

impl Tombstones {
    pub(crate) fn len(&self) -> usize {
        self.by_node.len()
    }

    /// Whether `record` is no newer than what was removed.
    pub(crate) fn buries(&self, record: &EndpointRecord) -> bool {
        self.by_node.get(&record.node).is_some_and(|tombstone| record.order() <= tombstone.order)
    }

    pub(crate) fn insert(&mut self, removed: Timestamp, record: &EndpointRecord) {
        self.remove(&record.node);
        self.by_node.insert(record.node.clone(), Tombstone { order: record.order(), removed });
        self.by_age.insert((removed, record.node.clone()));
        if self.by_age.len() > MAX_TOMBSTONES {
            self.forget_first();
        }
    }

    pub(crate) fn remove(&mut self, node: &NodeName) {
        if let Some(tombstone) = self.by_node.remove(node) {
            self.by_age.remove(&(tombstone.removed, node.clone()));
        }
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        while self.by_age.first().is_some_and(|(removed, _)| now.since(*removed) >= TOMBSTONE_KEEP) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, node)) = self.by_age.pop_first() {
            self.by_node.remove(&node);
        }
    }
}
