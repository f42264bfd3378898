//! The endpoint records that a node knows.
//!
//! Invariants:
//! 1. Of all records of a node that were merged, the table holds the latest by [`RecordOrder`], in whatever order
//!    and however often they came: merging is commutative, associative and idempotent.
//! 2. A record that was removed comes back only by a later one, as long as its tombstone is kept.
//! 3. Two tables have equal digests of a zone if, and but for hash collisions only if, they hold the same records of
//!    the zone that are neither gone nor suspect. The others are left out because each table removes them by its own
//!    clock; where one table lacks such a change and another has it, the digests differ.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{
    EndpointRecord, EndpointStatus, Locality, Millis, NodeName, RecordOrder, ServiceName, Timestamp,
};

use crate::tombstones::Tombstones;
use crate::{Interest, ZoneDigest};

/// How long the record of an endpoint that has left is kept, so that it reaches everyone who knows an older one.
pub const GONE_KEEP: Millis = Millis(60_000);

/// How long the record of a suspect endpoint is kept before it is taken as lost.
pub const SUSPECT_KEEP: Millis = Millis(600_000);

/// What merging a record did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The node wasn't known; the record is held now and must be passed on.
    Added,
    /// The record replaced an older one and must be passed on.
    Updated,
    /// The very record was held already.
    Unchanged,
    /// A later record of the node is held; the sender should be told of it.
    Outdated,
    /// The record, or a later one, was removed from the table.
    Buried,
}

impl MergeOutcome {
    /// Whether the table has changed.
    #[must_use]
    pub const fn is_change(self) -> bool {
        matches!(self, Self::Added | Self::Updated)
    }
}

/// Records that changed after a position, each node once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The records as they are now.
    pub records: Vec<EndpointRecord>,
    /// Position to ask from next.
    pub position: u64,
}

#[derive(Debug, Clone)]
struct Row {
    record: EndpointRecord,
    /// Services of earlier records, if replacements under the same name serve others. Those interested in a former
    /// service must hear that its endpoint went away, also when they were told of none of the changes between.
    former_services: BTreeSet<ServiceName>,
    changed_at: u64,
    changed: Timestamp,
}

/// Records by node, with an index by service and a digest by zone.
#[derive(Debug, Clone, Default)]
pub struct EndpointTable {
    rows: BTreeMap<NodeName, Row>,
    by_service: BTreeMap<ServiceName, BTreeSet<NodeName>>,
    digests: BTreeMap<Locality, ZoneDigest>,
    changes: BTreeMap<u64, NodeName>,
    position: u64,
    tombstones: Tombstones,
}

impl EndpointTable {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Count of the records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Count of tombstones held; bounded by [`crate::MAX_TOMBSTONES`].
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// The record of `node`.
    #[must_use]
    pub fn get(&self, node: &NodeName) -> Option<&EndpointRecord> {
        self.rows.get(node).map(|row| &row.record)
    }

    /// All records, by node.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.rows.values().map(|row| &row.record)
    }

    /// Records of one service, by node, whatever their status.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &EndpointRecord> {
        self.by_service.get(service).into_iter().flatten().filter_map(|node| self.get(node))
    }

    /// Records of one zone, by node: what is sent when digests differ.
    pub fn of_zone(&self, locality: &Locality) -> impl Iterator<Item = &EndpointRecord> {
        self.records().filter(move |record| record.locality == *locality)
    }

    /// Digest of each zone that has a record which counts.
    #[must_use]
    pub const fn digests(&self) -> &BTreeMap<Locality, ZoneDigest> {
        &self.digests
    }

    /// Zones in which `other` has another digest than this table.
    #[must_use]
    pub fn differing_zones(&self, other: &BTreeMap<Locality, ZoneDigest>) -> Vec<Locality> {
        let zones: BTreeSet<&Locality> = self.digests.keys().chain(other.keys()).collect();
        zones.into_iter().filter(|zone| self.digests.get(zone) != other.get(zone)).cloned().collect()
    }

    /// Position after the newest change.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Records that changed after `position` and that `interest` covers, or covered until they changed.
    #[must_use]
    pub fn changes_since(&self, position: u64, interest: &Interest) -> Changes {
        let changed = self.changes.range(position.saturating_add(1)..).filter_map(|(_, node)| {
            let row = self.rows.get(node)?;
            row.is_covered_by(interest).then(|| row.record.clone())
        });
        Changes { records: changed.collect(), position: self.position }
    }

    /// Takes a record in, if it is later than what is known of its node.
    pub fn merge(&mut self, now: Timestamp, record: EndpointRecord) -> MergeOutcome {
        let Some(row) = self.rows.get(&record.node) else {
            if self.tombstones.buries(&record) {
                return MergeOutcome::Buried;
            }
            self.tombstones.remove(&record.node);
            self.put(now, record);
            return MergeOutcome::Added;
        };
        match compare(&record, &row.record) {
            Ordering::Less => MergeOutcome::Outdated,
            Ordering::Equal => MergeOutcome::Unchanged,
            Ordering::Greater => {
                self.put(now, record);
                MergeOutcome::Updated
            }
        }
    }

    /// Removes records that have been gone or suspect for long, and forgets old tombstones.
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<NodeName> =
            self.rows.iter().filter(|(_, row)| row.is_expired(now)).map(|(node, _)| node.clone()).collect();
        for node in expired {
            if let Some(row) = self.take(&node) {
                self.tombstones.insert(now, &row.record);
            }
        }
        self.tombstones.expire(now);
    }

    fn put(&mut self, now: Timestamp, record: EndpointRecord) {
        let former_services = self.take(&record.node).map(Row::into_services).unwrap_or_default();
        self.position += 1;
        self.changes.insert(self.position, record.node.clone());
        if let Some(service) = &record.service {
            self.by_service.entry(service.clone()).or_default().insert(record.node.clone());
        }
        if counts(&record) {
            self.digests.entry(record.locality.clone()).or_default().add(&record);
        }
        let row = Row { record, former_services, changed_at: self.position, changed: now };
        self.rows.insert(row.record.node.clone(), row);
    }

    fn take(&mut self, node: &NodeName) -> Option<Row> {
        let row = self.rows.remove(node)?;
        self.changes.remove(&row.changed_at);
        self.forget_service(&row.record);
        self.forget_digest(&row.record);
        Some(row)
    }

    fn forget_service(&mut self, record: &EndpointRecord) {
        let Some(service) = &record.service else { return };
        if let Some(nodes) = self.by_service.get_mut(service) {
            nodes.remove(&record.node);
            if nodes.is_empty() {
                self.by_service.remove(service);
            }
        }
    }

    fn forget_digest(&mut self, record: &EndpointRecord) {
        if !counts(record) {
            return;
        }
        if let Some(digest) = self.digests.get_mut(&record.locality) {
            digest.remove(record);
            if digest.is_empty() {
                self.digests.remove(&record.locality);
            }
        }
    }
}

impl Row {
    fn into_services(mut self) -> BTreeSet<ServiceName> {
        self.former_services.extend(self.record.service);
        self.former_services
    }

    fn is_covered_by(&self, interest: &Interest) -> bool {
        let covers_former = self.former_services.iter().any(|service| interest.covers(Some(service)));
        covers_former || interest.covers(self.record.service.as_ref())
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        let age = now.since(self.changed);
        let is_gone = self.record.status == EndpointStatus::Gone;
        (is_gone && age >= GONE_KEEP) || (self.record.suspect && age >= SUSPECT_KEEP)
    }
}

/// Whether a record is part of its zone's digest.
const fn counts(record: &EndpointRecord) -> bool {
    !matches!(record.status, EndpointStatus::Gone) && !record.suspect
}

/// Order of two records of one node. Owners never write two records of equal [`RecordOrder`]; should it happen all
/// the same (two processes started in one microsecond), the later status and then the encoding decide, so that all
/// tables still agree.
fn compare(left: &EndpointRecord, right: &EndpointRecord) -> Ordering {
    let order: fn(&EndpointRecord) -> (RecordOrder, EndpointStatus) =
        |record| (record.order(), record.status);
    order(left).cmp(&order(right)).then_with(|| {
        if left == right { Ordering::Equal } else { bitcode::encode(left).cmp(&bitcode::encode(right)) }
    })
}
