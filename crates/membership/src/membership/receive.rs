//! Takes in datagrams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use umberpond_model::NodeName;

use super::spread::Reach;
use super::{Membership, Outgoing, takes_requests};
use crate::digest::{BucketDigest, bucket_of};
use crate::heartbeat::{Accusation, BucketOrders, Datagram, Heartbeat, News, SenderWord};
use crate::member::{Member, Reachability};
use crate::note::MembershipEvent;
use crate::record::{MemberPhase, MemberRecord, RecordOrder};

/// Time for which digests have to differ before records are asked for: news are on their way for less.
const DIFFERS_FOR: Duration = Duration::from_millis(150);
/// Time between two questions for one bucket.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// Time from its start for which a process, that has missed most, asks sooner and more often.
const YOUNG_FOR: Duration = Duration::from_secs(3);
/// By how much.
const YOUNG_HASTE: u32 = 2;
/// Most records sent to a node that asks for all. It hears of the rest by its digests.
const MAX_RECORDS_TO_JOINER: usize = 1_024;

impl Membership {
    /// Takes in a datagram that came from the address `from`.
    pub fn on_datagram(&mut self, now: Instant, from: SocketAddr, datagram: &Datagram) -> Vec<Outgoing> {
        match datagram {
            Datagram::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            Datagram::News(news) => self.on_news(now, news),
            Datagram::Orders(orders) => self.on_orders(from, orders),
            // They concern rollouts, quarantine and quotas, not the membership.
            Datagram::Evidence(_)
            | Datagram::Suspects(_)
            | Datagram::QuotaReport(_)
            | Datagram::QuotaGrant(_) => Vec::new(),
        }
    }

    /// Takes in a heartbeat that came from the address `from`.
    pub fn on_heartbeat(&mut self, now: Instant, from: SocketAddr, heartbeat: &Heartbeat) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let node = match &heartbeat.word {
            SenderWord::Whole(record) if record.node == self.own.node => {
                return self.on_own_name(now, record);
            }
            SenderWord::Whole(record) => {
                outgoing.extend(self.refute_earlier_life(now, heartbeat));
                self.on_record(now, record);
                record.node.clone()
            }
            SenderWord::Held(order) => match self.member_of(*order) {
                Some(member) => member.record.node.clone(),
                // The whole record is asked for by saying that none is held.
                None => {
                    outgoing.extend(self.refute_earlier_life(now, heartbeat));
                    outgoing.push(self.introduction_to(now, from, false));
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
        let own_life = self.own.life;
        let Some(member) = self.members.get_mut(node) else { return outgoing };
        if member.record.life != heartbeat.word.order().life {
            // An earlier process, or a new one that does not know yet that there was an earlier one, nor anybody else.
            member.forget_held_there();
            outgoing.extend(self.heartbeat_to(now, node, Some(from), false));
            return outgoing;
        }
        member.on_heartbeat(now, heartbeat, own_life);
        member.on_heard_again();
        let is_out = member.is_out();
        if member.is_neighbour(now) {
            self.active.insert(node.clone());
        }
        self.settle(now, node);
        self.on_store_word(now, heartbeat);
        outgoing.extend(self.on_accusers(now, heartbeat));
        for digest in &heartbeat.digests {
            outgoing.extend(self.compare(now, from, *digest));
        }
        if heartbeat.wants_records {
            outgoing.extend(self.all_records_to(from));
        }
        let Some(member) = self.members.get(node) else { return outgoing };
        // Two nodes that meet know in two round trips that they reach each other. One that is left out is told so.
        let is_unproved =
            member.watch().is_some() && member.own_finding(now) != Some(Reachability::Reachable);
        let is_answered = (is_unproved || is_out) && member.may_send_again(now);
        if heartbeat.wants_response || is_answered {
            outgoing.extend(self.heartbeat_to(now, node, Some(from), is_unproved && is_answered));
        }
        outgoing
    }

    /// Takes in what others have passed on.
    fn on_news(&mut self, now: Instant, news: &News) -> Vec<Outgoing> {
        if !news.records.is_empty() {
            self.joining.on_records();
        }
        for record in &news.records {
            self.on_record(now, record);
            if news.is_repair {
                self.pending.remove_record(&record.node);
            }
        }
        let mut outgoing = Vec::new();
        for accusation in &news.accusations {
            outgoing.extend(self.on_accusation(now, *accusation));
        }
        if news.is_repair {
            self.pending.remove_accusations(&news.accusations);
        }
        outgoing.extend(self.flush_urgent());
        outgoing
    }

    /// Passes on at once what concerns requests that are sent now; the rest waits for the next tick.
    fn flush_urgent(&mut self) -> Vec<Outgoing> {
        if self.is_urgent { self.flush_news(Reach::Relay) } else { Vec::new() }
    }

    /// A process that bears this node's name: an earlier one whose datagram was late, or a later one, which this one
    /// does not dispute: the machine has been given to it.
    fn on_own_name(&mut self, now: Instant, record: &MemberRecord) -> Vec<Outgoing> {
        if record.life == self.own.life || record.incarnation < self.own.incarnation {
            return Vec::new();
        }
        self.rise_above(record.incarnation);
        self.tell_own(now)
    }

    /// If the sender holds a record of an earlier process of this node, this process takes a higher start count.
    fn refute_earlier_life(&mut self, now: Instant, heartbeat: &Heartbeat) -> Vec<Outgoing> {
        let Some(held) = heartbeat.held else { return Vec::new() };
        if held.life == self.own.life || held.incarnation < self.own.incarnation {
            return Vec::new();
        }
        self.rise_above(held.incarnation);
        self.tell_own(now)
    }

    pub(super) fn on_record(&mut self, now: Instant, record: &MemberRecord) {
        if record.node == self.own.node {
            if record.life != self.own.life && record.incarnation >= self.own.incarnation {
                self.rise_above(record.incarnation);
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
        let was_out = member.is_out();
        let before = member.record.clone();
        member.replace_record(now, record.clone());
        let is_out = member.is_out();
        if before.life != record.life {
            self.lives.remove(&before.life);
            self.lives.insert(record.life, record.node.clone());
        }
        self.are_zones_stale |=
            was_out != is_out || before.life != record.life || before.locality != record.locality;
        self.suspects.remove(&record.node);
        self.settle(now, &record.node);
        let is_closed = took_requests && !takes_requests(record);
        self.note_changed(is_closed);
        self.pending.add_record(&record.node);
    }

    fn on_new_member(&mut self, now: Instant, record: &MemberRecord) {
        if record.phase == MemberPhase::Left {
            return;
        }
        self.joining.on_known(&record.node);
        self.retire_address(now, record);
        self.lives.insert(record.life, record.node.clone());
        self.members.insert(record.node.clone(), Member::new(now, record.clone()));
        self.are_zones_stale = true;
        self.settle(now, &record.node);
        self.note_changed(false);
        self.pending.add_new_member(&record.node);
    }

    /// An address that another node has now is no longer that of the one that had it before.
    fn retire_address(&mut self, now: Instant, newcomer: &MemberRecord) {
        let had_it = self.members.iter().filter(|(_, member)| {
            member.record.control == newcomer.control && member.record.node != newcomer.node
        });
        let nodes: Vec<NodeName> = had_it.map(|(node, _)| node.clone()).collect();
        for node in nodes {
            if let Some(member) = self.members.get_mut(&node) {
                member.retire(now);
            }
            self.are_zones_stale = true;
            self.settle(now, &node);
        }
    }

    fn on_store_word(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let age = heartbeat.configuration.store_age_millis.map(u64::from).map(Duration::from_millis);
        let word_at = age.and_then(|age| now.checked_sub(age));
        self.last_store_contact = self.last_store_contact.max(word_at);
    }

    /// Takes in that the sender leaves this node out, and by whose findings.
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
        if accusation.against.life == self.own.life {
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
        let accusers = member.accusers_out().len();
        if accusers > 0 {
            self.suspects.remove(&node);
            self.are_zones_stale = true;
            self.note(MembershipEvent::NodeExcluded { node: node.clone(), accusers, known_for });
        } else {
            self.suspects.insert(node.clone());
        }
        self.settle(now, &node);
        self.pending.add_accusation(accusation);
        Vec::new()
    }

    /// Others find this node silent: once they are enough to leave it out, it writes a later record.
    fn on_own_accusation(&mut self, now: Instant, accusation: Accusation) -> Vec<Outgoing> {
        if accusation.against != self.own.order() {
            return Vec::new();
        }
        self.own_accusers.insert(accusation.by);
        if self.own_accusers.len() < self.settings.accusers_needed {
            return Vec::new();
        }
        self.note(MembershipEvent::Refuted { sequence: self.own.sequence + 1 });
        self.change_own(now)
    }

    /// Compares the digest of a bucket; where it differs for long, tells the other node what is held here.
    fn compare(&mut self, now: Instant, to: SocketAddr, digest: BucketDigest) -> Vec<Outgoing> {
        let differs = self.digests.differs(digest);
        let is_young = self.first_tick_at.is_none_or(|at| now.saturating_duration_since(at) < YOUNG_FOR);
        let haste = if is_young { YOUNG_HASTE } else { 1 };
        let Some((since, asked_at)) = self.differing.get_mut(usize::from(digest.bucket)) else {
            return Vec::new();
        };
        if !differs {
            *since = None;
            return Vec::new();
        }
        let differs_for = now.saturating_duration_since(*since.get_or_insert(now));
        let was_asked = asked_at.is_some_and(|at| now.saturating_duration_since(at) < ASK_AGAIN / haste);
        if differs_for < DIFFERS_FOR / haste || was_asked {
            return Vec::new();
        }
        *asked_at = Some(now);
        let bucket = digest.bucket;
        self.note(MembershipEvent::RepairRequested { bucket, differs_for });
        let orders = BucketOrders { bucket, orders: self.orders_in(bucket) };
        vec![Outgoing { to, datagram: Datagram::Orders(orders) }]
    }

    fn orders_in(&self, bucket: u8) -> Vec<RecordOrder> {
        self.records_in(bucket).map(MemberRecord::order).collect()
    }

    /// The records of a bucket that are not out.
    fn records_in(&self, bucket: u8) -> impl Iterator<Item = &MemberRecord> {
        let held = self.members.values().filter(move |member| bucket_of(member.rank) == bucket);
        let held = held.filter(|member| member.contribution != 0).map(|member| &member.record);
        let own = (bucket_of(self.own_rank) == bucket).then_some(&self.own);
        held.chain(own)
    }

    /// Sends the records of a bucket that the other node does not hold.
    fn on_orders(&self, from: SocketAddr, theirs: &BucketOrders) -> Vec<Outgoing> {
        let records = self.records_in(theirs.bucket);
        let missing = records.filter(|record| !theirs.orders.contains(&record.order())).cloned();
        let mut missing: Vec<MemberRecord> = missing.collect();
        let mut accusations = Vec::new();
        // What the other node still holds of nodes that are out.
        for order in &theirs.orders {
            let node = self.lives.get(&order.life);
            let Some(member) = node.and_then(|node| self.members.get(node)) else { continue };
            if member.record.phase == MemberPhase::Left {
                missing.push(member.record.clone());
            } else if member.record.order() == *order {
                accusations.extend(member.accusers_out().into_iter().map(|by| member.accusation(by)));
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
