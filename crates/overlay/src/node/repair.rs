//! Repair of endpoint records: digests are compared, and where they differ, positions.

use std::collections::BTreeMap;
use std::sync::Arc;

use umberpond_endpoints::ZoneDigest;
use umberpond_model::{EndpointRecord, Locality, Millis, NodeName, RecordOrder};

use super::{OverlayNode, share};
use crate::backoff::jitter;
use crate::interface::ConnectionId;
use crate::{PeerMessage, RecordPosition, Role, Update, ZonePositions};

/// A zone in which a record changed this recently is left out of the comparison: the change is still on its way.
const SETTLE_TIME: Millis = Millis(2_000);

/// Records that may well be on their way between two readers; a larger difference is repaired at once.
const ON_THEIR_WAY: u32 = 4;

impl OverlayNode {
    /// Compares the records of the own zone with a parent or a relay below.
    pub(super) fn send_zone_digest(&mut self, connection: ConnectionId) {
        let zone = self.own.record().locality.clone();
        let digest = self.directory.table().digests().get(&zone).copied().unwrap_or_default();
        self.send(connection, PeerMessage::Digests(Arc::new(BTreeMap::from([(zone, digest)]))));
    }

    /// Compares the records of all zones with another reader.
    pub(super) fn send_all_digests(&mut self, connection: ConnectionId) {
        let digests = self.directory.table().digests().clone();
        self.send(connection, PeerMessage::Digests(Arc::new(digests)));
    }

    /// Compares with a random reader from time to time.
    pub(super) fn compare_with_random_reader(&mut self) {
        let Some(reader) = &self.reader else { return };
        if self.now < reader.next_anti_entropy {
            return;
        }
        let interval = self.config.timing.anti_entropy;
        let next = self.jittered(Millis(interval.0 * 2));
        if let Some(reader) = &mut self.reader {
            reader.next_anti_entropy = next;
        }
        let readers: Vec<ConnectionId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.role == Role::Reader)
            .map(|(connection, _)| *connection)
            .collect();
        // Every other time a reader of the own zone, so that the two agree sooner.
        let colleagues = self.colleagues();
        let is_colleagues_turn = jitter(&mut self.rng, Millis(2)) == Millis(0) && !colleagues.is_empty();
        let candidates = if is_colleagues_turn { colleagues } else { readers };
        if !candidates.is_empty() {
            let chosen = jitter(&mut self.rng, Millis(candidates.len() as u64));
            self.send_all_digests(candidates[chosen.0 as usize]);
        }
    }

    /// Compares again with those where a change was still on its way the last time.
    pub(super) fn compare_again(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (connection, peer) in &mut self.peers {
            if peer.compare_at.is_some_and(|at| now >= at) {
                peer.compare_at = None;
                due.push(*connection);
            }
        }
        for connection in due {
            self.send_all_digests(connection);
        }
    }

    pub(super) fn on_digests(&mut self, connection: ConnectionId, theirs: &BTreeMap<Locality, ZoneDigest>) {
        let ours = self.directory.table().digests();
        let mut differing = Vec::new();
        let mut is_unsettled = false;
        for (zone, digest) in theirs {
            let own = ours.get(zone).copied().unwrap_or_default();
            if own == *digest {
                continue;
            }
            let is_large = own.count().abs_diff(digest.count()) > ON_THEIR_WAY;
            if is_large || self.is_settled(zone) {
                differing.push(zone.clone());
            } else {
                is_unsettled = true;
            }
        }
        for zone in differing {
            self.send_positions(connection, zone, true);
        }
        if is_unsettled {
            let at = self.jittered(SETTLE_TIME) + SETTLE_TIME;
            if let Some(peer) = self.peers.get_mut(&connection) {
                peer.compare_at = Some(at);
            }
        }
    }

    fn is_settled(&self, zone: &Locality) -> bool {
        let changed = self.reader.as_ref().and_then(|reader| reader.zone_changed.get(zone));
        changed.is_none_or(|changed| self.now.since(*changed) >= SETTLE_TIME)
    }

    fn send_positions(&mut self, connection: ConnectionId, locality: Locality, answer_wanted: bool) {
        let position =
            |record: &EndpointRecord| RecordPosition { node: record.node.clone(), order: record.order() };
        let records = self.directory.table().of_zone(&locality).map(position).collect();
        let positions = ZonePositions { locality, records, answer_wanted };
        self.send(connection, PeerMessage::Positions(Arc::new(positions)));
    }

    pub(super) fn on_positions(&mut self, connection: ConnectionId, theirs: &ZonePositions) {
        let known: BTreeMap<&NodeName, RecordOrder> =
            theirs.records.iter().map(|position| (&position.node, position.order)).collect();
        let is_newer =
            |record: &&EndpointRecord| known.get(&record.node).is_none_or(|order| record.order() > *order);
        let newer: Vec<EndpointRecord> =
            self.directory.table().of_zone(&theirs.locality).filter(is_newer).cloned().collect();
        for chunk in newer.chunks(self.config.limits.max_records) {
            self.send_update(connection, share(Update { endpoints: chunk.to_vec(), ..Update::default() }));
        }
        let lacks = theirs.records.iter().any(|position| {
            let own = self.directory.table().get(&position.node);
            own.is_none_or(|record| record.order() < position.order)
        });
        if theirs.answer_wanted && lacks {
            self.send_positions(connection, theirs.locality.clone(), false);
        }
    }
}
