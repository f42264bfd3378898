//! Handling of received datagrams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use umberpond_model::NodeName;

use super::gossip::UpdateRole;
use super::{Membership, Outgoing, takes_requests};
use crate::digest::{BucketDigest, bucket_of};
use crate::event::MembershipEvent;
use crate::heartbeat::{Accusation, BucketContents, Datagram, Heartbeat, MembershipUpdate, SenderRecord};
use crate::member::{Member, Reachability};
use crate::record::{MemberPhase, MemberRecord, RecordOrder};

/// Time for which digests must differ before records are requested, since updates may still be in transit.
const MIN_DIFFERENCE_TIME: Duration = Duration::from_millis(150);
/// Minimum time between two requests for the same bucket.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its start for which a process requests records sooner and more often, since it lacks the most.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Factor by which a new process shortens these times.
const STARTUP_SPEEDUP: u32 = 2;
/// Maximum number of records sent to a node that requests all. It receives the rest after a comparison of
/// digests.
const MAX_RECORDS_TO_JOINER: usize = 1_024;

impl Membership {
    /// Handles a datagram received from the address `from`.
    pub fn on_datagram(&mut self, now: Instant, from: SocketAddr, datagram: &Datagram) -> Vec<Outgoing> {
        match datagram {
            Datagram::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            Datagram::MembershipUpdate(update) => self.on_update(now, update),
            Datagram::BucketContents(orders) => self.on_bucket_contents(from, orders),
            // Handled by the rollouts, quarantine and quotas crates.
            Datagram::Evidence(_)
            | Datagram::Suspects(_)
            | Datagram::QuotaReport(_)
            | Datagram::QuotaGrant(_) => Vec::new(),
        }
    }

    /// Handles a heartbeat received from the address `from`.
    pub fn on_heartbeat(&mut self, now: Instant, from: SocketAddr, heartbeat: &Heartbeat) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let is_for_this_process = heartbeat.held.is_some_and(|held| held.process_id == self.own.process_id);
        if is_for_this_process {
            self.record_earlier_back_end(heartbeat.earlier_back_end.as_ref());
        }
        let node = match &heartbeat.sender {
            SenderRecord::Full(record) if record.node == self.own.node => {
                return self.on_record_with_own_name(now, record);
            }
            SenderRecord::Full(record) => {
                outgoing.extend(self.supersede_earlier_process(now, heartbeat));
                self.on_record(now, record);
                record.node.clone()
            }
            SenderRecord::Known(order) => match self.member_of(*order) {
                Some(member) => member.record.node.clone(),
                // A heartbeat that acknowledges no record requests the full record.
                None => {
                    outgoing.extend(self.supersede_earlier_process(now, heartbeat));
                    outgoing.push(self.introductory_heartbeat(now, from, false));
                    return outgoing;
                }
            },
        };
        outgoing.extend(self.on_heartbeat_of(now, from, &node, heartbeat));
        outgoing.extend(self.flush_urgent());
        outgoing
    }

    fn on_heartbeat_of(
        &mut self,
        now: Instant,
        from: SocketAddr,
        node: &NodeName,
        heartbeat: &Heartbeat,
    ) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let own_process_id = self.own.process_id;
        let Some(member) = self.members.get_mut(node) else { return outgoing };
        if member.record.process_id != heartbeat.sender.order().process_id {
            // Sent by an earlier process, or by a new one that does not know yet that there was an earlier
            // one.
            member.forget_acknowledged_order();
            outgoing.extend(self.heartbeat_to(now, node, Some(from), false));
            return outgoing;
        }
        member.on_heartbeat(now, heartbeat, own_process_id);
        member.clear_own_accusation();
        let is_excluded = member.is_excluded();
        if member.is_neighbour(now) {
            self.active.insert(node.clone());
        }
        self.refresh_member(now, node);
        self.on_store_contact(now, heartbeat);
        outgoing.extend(self.on_accusers(now, heartbeat));
        for digest in &heartbeat.digests {
            outgoing.extend(self.compare_digest(now, from, *digest));
        }
        if heartbeat.wants_records {
            outgoing.extend(self.all_records_to(from));
        }
        let Some(member) = self.members.get(node) else { return outgoing };
        // Two nodes that meet confirm within two round trips that they reach each other. An excluded node is
        // notified of its exclusion.
        let is_unconfirmed =
            member.watch().is_some() && member.observed_reachability(now) != Some(Reachability::Reachable);
        let should_respond = (is_unconfirmed || is_excluded) && member.may_send_out_of_turn(now);
        if heartbeat.wants_response || should_respond {
            outgoing.extend(self.heartbeat_to(now, node, Some(from), is_unconfirmed && should_respond));
        }
        outgoing
    }

    /// Handles an update forwarded by another node.
    fn on_update(&mut self, now: Instant, update: &MembershipUpdate) -> Vec<Outgoing> {
        if !update.records.is_empty() {
            self.joining.on_records();
        }
        for record in &update.records {
            self.on_record(now, record);
            if update.is_repair {
                self.pending.remove_record(&record.node);
            }
        }
        let mut outgoing = Vec::new();
        for accusation in &update.accusations {
            outgoing.extend(self.on_accusation(now, *accusation));
        }
        if update.is_repair {
            self.pending.remove_accusations(&update.accusations);
        }
        outgoing.extend(self.flush_urgent());
        outgoing
    }

    /// Forwards pending updates immediately if they affect the routing of new requests; others wait for the
    /// next tick.
    fn flush_urgent(&mut self) -> Vec<Outgoing> {
        if self.is_urgent { self.flush_updates(UpdateRole::Relay) } else { Vec::new() }
    }

    /// Handles a record with this node's name from another process: either a late datagram of an earlier
    /// process, which is ignored, or a concurrent process of the same node, above whose start count this one
    /// rises.
    fn on_record_with_own_name(&mut self, now: Instant, record: &MemberRecord) -> Vec<Outgoing> {
        if record.process_id == self.own.process_id {
            return Vec::new();
        }
        self.record_earlier_back_end(record.back_end.as_ref());
        if record.incarnation < self.own.incarnation {
            return Vec::new();
        }
        self.raise_incarnation(record.incarnation);
        self.publish_own(now, false)
    }

    /// If the sender holds a record of an earlier process of this node, takes a higher start count.
    fn supersede_earlier_process(&mut self, now: Instant, heartbeat: &Heartbeat) -> Vec<Outgoing> {
        let Some(held) = heartbeat.held else { return Vec::new() };
        if held.process_id == self.own.process_id || held.incarnation < self.own.incarnation {
            return Vec::new();
        }
        self.raise_incarnation(held.incarnation);
        self.publish_own(now, false)
    }

    pub(super) fn on_record(&mut self, now: Instant, record: &MemberRecord) {
        if record.node == self.own.node {
            if record.process_id == self.own.process_id {
                return;
            }
            self.record_earlier_back_end(record.back_end.as_ref());
            if record.incarnation >= self.own.incarnation {
                self.raise_incarnation(record.incarnation);
                self.pending.add_own();
            }
            return;
        }
        let Some(member) = self.members.get_mut(&record.node) else {
            self.on_new_member(now, record);
            return;
        };
        if record.order() <= member.record.order() {
            return;
        }
        let took_requests = takes_requests(&member.record);
        let was_out = member.is_excluded();
        let before = member.record.clone();
        member.replace_record(now, record.clone());
        let is_excluded = member.is_excluded();
        if before.process_id != record.process_id {
            self.nodes_by_process.remove(&before.process_id);
            self.nodes_by_process.insert(record.process_id, record.node.clone());
        }
        self.are_zones_stale |= was_out != is_excluded
            || before.process_id != record.process_id
            || before.locality != record.locality;
        self.accused.remove(&record.node);
        self.refresh_member(now, &record.node);
        let is_closed = took_requests && !takes_requests(record);
        self.mark_changed(is_closed);
        self.pending.add_record(&record.node);
    }

    fn on_new_member(&mut self, now: Instant, record: &MemberRecord) {
        if record.phase == MemberPhase::Left {
            return;
        }
        self.joining.on_known(&record.node);
        self.retire_address(now, record);
        self.nodes_by_process.insert(record.process_id, record.node.clone());
        self.members.insert(record.node.clone(), Member::new(now, record.clone()));
        self.are_zones_stale = true;
        self.refresh_member(now, &record.node);
        self.mark_changed(false);
        self.pending.add_new_member(&record.node);
    }

    /// Retires the members whose address now belongs to `newcomer`.
    fn retire_address(&mut self, now: Instant, newcomer: &MemberRecord) {
        let previous_owners = self.members.iter().filter(|(_, member)| {
            member.record.control == newcomer.control && member.record.node != newcomer.node
        });
        let nodes: Vec<NodeName> = previous_owners.map(|(node, _)| node.clone()).collect();
        for node in nodes {
            if let Some(member) = self.members.get_mut(&node) {
                member.retire(now);
            }
            self.are_zones_stale = true;
            self.refresh_member(now, &node);
        }
    }

    fn on_store_contact(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let age = heartbeat.configuration.store_age_millis.map(u64::from).map(Duration::from_millis);
        let contact_at = age.and_then(|age| now.checked_sub(age));
        self.last_store_contact = self.last_store_contact.max(contact_at);
    }

    /// Handles the accusations because of which the sender has excluded this node.
    fn on_accusers(&mut self, now: Instant, heartbeat: &Heartbeat) -> Vec<Outgoing> {
        if heartbeat.held != Some(self.own.order()) {
            return Vec::new();
        }
        let against = self.own.order();
        let mut outgoing = Vec::new();
        for by in &heartbeat.accusers {
            outgoing.extend(self.on_accusation(now, Accusation { against, by: *by }));
        }
        outgoing
    }

    pub(super) fn on_accusation(&mut self, now: Instant, accusation: Accusation) -> Vec<Outgoing> {
        if accusation.against.process_id == self.own.process_id {
            return self.on_own_accusation(now, accusation);
        }
        let Some(node) = self.member_of(accusation.against).map(|member| member.record.node.clone()) else {
            return Vec::new();
        };
        let Some(member) = self.members.get_mut(&node) else { return Vec::new() };
        let known_for = now.saturating_duration_since(member.known_since);
        if !member.on_accusation(now, self.settings.accusers_needed, accusation.by) {
            return Vec::new();
        }
        let accusers = member.excluding_accusers().len();
        if accusers > 0 {
            self.accused.remove(&node);
            self.are_zones_stale = true;
            self.record_event(MembershipEvent::NodeExcluded { node: node.clone(), accusers, known_for });
        } else {
            self.accused.insert(node.clone());
        }
        self.refresh_member(now, &node);
        self.pending.add_accusation(accusation);
        Vec::new()
    }

    /// Publishes a later record version once there are enough accusations to exclude this node.
    fn on_own_accusation(&mut self, now: Instant, accusation: Accusation) -> Vec<Outgoing> {
        if accusation.against != self.own.order() {
            return Vec::new();
        }
        self.own_accusers.insert(accusation.by);
        if self.own_accusers.len() < self.settings.accusers_needed {
            return Vec::new();
        }
        self.record_event(MembershipEvent::Refuted { sequence: self.own.sequence + 1 });
        self.change_own(now)
    }

    /// Compares the digest of a bucket. If it has differed for long enough, sends the record versions held
    /// here to the other node.
    fn compare_digest(&mut self, now: Instant, to: SocketAddr, digest: BucketDigest) -> Vec<Outgoing> {
        let differs = self.digests.differs(digest);
        let is_starting =
            self.first_tick_at.is_none_or(|at| now.saturating_duration_since(at) < STARTUP_PERIOD);
        let speedup = if is_starting { STARTUP_SPEEDUP } else { 1 };
        let Some((since, requested_at)) = self.differing.get_mut(usize::from(digest.bucket)) else {
            return Vec::new();
        };
        if !differs {
            *since = None;
            return Vec::new();
        }
        let differs_for = now.saturating_duration_since(*since.get_or_insert(now));
        let was_requested =
            requested_at.is_some_and(|at| now.saturating_duration_since(at) < REQUEST_INTERVAL / speedup);
        if differs_for < MIN_DIFFERENCE_TIME / speedup || was_requested {
            return Vec::new();
        }
        *requested_at = Some(now);
        let bucket = digest.bucket;
        self.record_event(MembershipEvent::RepairRequested { bucket, differs_for });
        let orders = BucketContents { bucket, orders: self.orders_in_bucket(bucket) };
        vec![Outgoing { to, datagram: Datagram::BucketContents(orders) }]
    }

    fn orders_in_bucket(&self, bucket: u8) -> Vec<RecordOrder> {
        self.records_in(bucket).map(MemberRecord::order).collect()
    }

    /// The records in a bucket that contribute to its digest.
    fn records_in(&self, bucket: u8) -> impl Iterator<Item = &MemberRecord> {
        let held = self.members.values().filter(move |member| bucket_of(member.rank) == bucket);
        let held = held.filter(|member| member.contribution != 0).map(|member| &member.record);
        let own = (bucket_of(self.own_rank) == bucket).then_some(&self.own);
        held.chain(own)
    }

    /// Sends the records of a bucket that the other node lacks.
    fn on_bucket_contents(&self, from: SocketAddr, theirs: &BucketContents) -> Vec<Outgoing> {
        let records = self.records_in(theirs.bucket);
        let missing = records.filter(|record| !theirs.orders.contains(&record.order())).cloned();
        let mut missing: Vec<MemberRecord> = missing.collect();
        let mut accusations = Vec::new();
        // Records of nodes that have left or are excluded here, which the other node still counts as members.
        for order in &theirs.orders {
            let node = self.nodes_by_process.get(&order.process_id);
            let Some(member) = node.and_then(|node| self.members.get(node)) else { continue };
            if member.record.phase == MemberPhase::Left {
                missing.push(member.record.clone());
            } else if member.record.order() == *order {
                accusations.extend(member.excluding_accusers().into_iter().map(|by| member.accusation(by)));
            }
        }
        Self::repair_to(from, missing, accusations)
    }

    fn all_records_to(&self, to: SocketAddr) -> Vec<Outgoing> {
        let held = self.members.values().filter(|member| member.contribution != 0);
        let records = held.map(|member| member.record.clone()).take(MAX_RECORDS_TO_JOINER);
        Self::repair_to(to, records.collect(), Vec::new())
    }
}
