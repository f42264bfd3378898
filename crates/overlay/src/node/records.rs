//! Endpoint records: the own one, those of others, and which are passed on to whom.

use std::collections::BTreeSet;

use umberpond_endpoints::{MergeOutcome, Refutation, suspect};
use umberpond_model::{EndpointRecord, NodeName, ServiceName, Timestamp};

use super::OverlayNode;
use crate::directory::covers;
use crate::interface::{ConnectionId, Decision, Output};
use crate::{Interest, PeerMessage, Role};

/// Where a record came from; it isn't sent back there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// This node: its own record, or its suspicion of another.
    Own,
    /// The parent.
    Parent,
    /// A child.
    Child(ConnectionId),
    /// Another reader.
    Peer(ConnectionId),
}

/// Records that the own proxies use.
#[derive(Debug, Default)]
pub(super) struct RecordState {
    /// Services that the own proxies call.
    called: BTreeSet<ServiceName>,
    /// Records to tell the driver.
    changed: Vec<EndpointRecord>,
    /// Whether the interest told to the parent may be out of date.
    interest_due: bool,
    next_expiry: Timestamp,
}

impl OverlayNode {
    /// The back end beside this node has changed.
    pub(super) fn on_own_record(&mut self, record: &EndpointRecord) {
        if record.incarnation > self.own.record().incarnation {
            let begun = self.own.begin_incarnation(record.incarnation);
            if let Err(error) = begun {
                self.decide(Decision::OwnRecordRefused { error });
            }
        }
        match self.own.set_status(record.status) {
            Ok(_) => {
                let own = self.own.record().clone();
                self.merge_own(&own);
            }
            Err(error) => self.decide(Decision::OwnRecordRefused { error }),
        }
    }

    /// Spreads the own record.
    pub(super) fn merge_own(&mut self, record: &EndpointRecord) {
        if !self.superseded {
            self.merge_record(record, Source::Own);
        }
    }

    /// Writes the own record again, so that a former parent sees that this node lives.
    pub(super) fn announce_own(&mut self) {
        let record = self.own.announce();
        self.merge_own(&record);
    }

    /// Takes a record in and passes it on to those who need it.
    pub(super) fn merge_record(&mut self, record: &EndpointRecord, source: Source) {
        if record.node == self.own.record().node && source != Source::Own {
            self.on_own_heard(record);
            return;
        }
        if let Some(received) = self.parent.resync.as_mut() {
            received.insert(record.node.clone());
        }
        let merge = self.directory.merge(self.now, record);
        if merge.ranks_changed {
            self.on_ranks_changed(record);
        }
        if merge.outcome == MergeOutcome::Outdated {
            self.correct(record, source);
        }
        if merge.outcome.is_change() {
            self.suspicion.on_record(record);
            self.note_change(record);
            self.pass_on(record, source);
        }
    }

    fn note_change(&mut self, record: &EndpointRecord) {
        let is_called = record.service.as_ref().is_some_and(|service| self.records.called.contains(service));
        if is_called {
            self.records.changed.push(record.clone());
        }
        if let Some(reader) = &mut self.reader {
            reader.zone_changed.insert(record.locality.clone(), self.now);
        }
    }

    /// A child that sends an old record gets the later one.
    fn correct(&mut self, record: &EndpointRecord, source: Source) {
        if let Source::Child(connection) = source
            && let Some(child) = self.children.get_mut(&connection)
        {
            child.pending.insert(record.node.clone());
        }
    }

    fn pass_on(&mut self, record: &EndpointRecord, source: Source) {
        let node = &record.node;
        if source != Source::Parent && self.parent.attached.is_some() {
            self.parent.pending.insert(node.clone());
        }
        let locality = self.own.record().locality.clone();
        for (connection, child) in &mut self.children {
            let wants = covers(&child.interest, &locality, record) || (record.suspect && child.node == *node);
            if wants && source != Source::Child(*connection) {
                child.pending.insert(node.clone());
            }
        }
        self.pass_on_to_readers(node, source);
    }

    /// Readers tell all readers what their own zone says. What a reader tells them they pass on inside their zone,
    /// and only while it has spare readers: those aren't linked to all others.
    fn pass_on_to_readers(&mut self, node: &NodeName, source: Source) {
        if !self.is_reader() {
            return;
        }
        let own_zone = self.own.record().locality.clone();
        let colleagues = self.colleagues().len();
        let is_from_peer = matches!(source, Source::Peer(_));
        for (connection, peer) in &mut self.peers {
            let is_colleague = peer.locality == own_zone && colleagues >= self.config.limits.readers_per_zone;
            let is_told = peer.role == Role::Reader && (!is_from_peer || is_colleague);
            if is_told && source != Source::Peer(*connection) {
                peer.pending.insert(node.clone());
            }
        }
    }

    /// A copy of the own record has come back.
    fn on_own_heard(&mut self, heard: &EndpointRecord) {
        match self.own.on_heard(heard) {
            Refutation::Unneeded => {}
            Refutation::Refuted(record) => {
                self.decide(Decision::SuspicionRefuted { sequence: record.sequence });
                self.merge_own(&record);
            }
            Refutation::Superseded { by } => {
                self.superseded = true;
                self.decide(Decision::Superseded { by });
            }
        }
    }

    /// Adds a doubt to the record of a lost node and spreads it.
    pub(super) fn suspect(&mut self, node: &NodeName) {
        let is_attached = self.children.values().any(|child| child.node == *node);
        let record = self.directory.table().get(node).filter(|record| !record.suspect && !is_attached);
        let Some(doubt) = record.map(suspect) else { return };
        self.decide(Decision::Suspected { node: node.clone() });
        self.merge_record(&doubt, Source::Own);
    }

    /// Services that the own proxies call have changed with the content held.
    pub(super) fn update_own_interest(&mut self) {
        let called = self.chain.called_services();
        if called == self.records.called {
            return;
        }
        let added: Vec<ServiceName> = called.difference(&self.records.called).cloned().collect();
        self.records.called = called;
        self.records.interest_due = true;
        for service in &added {
            let known: Vec<EndpointRecord> = self.directory.table().of_service(service).cloned().collect();
            self.records.changed.extend(known);
        }
    }

    pub(super) const fn on_child_interest_changed(&mut self) {
        self.records.interest_due = true;
    }

    /// Records that this node needs from its parent: those of the services that it and its children call, and of
    /// its zone if it is a relay or about to become one.
    pub(super) fn own_interest(&self) -> Interest {
        let mut services = self.records.called.clone();
        for child in self.children.values() {
            services.extend(child.interest.services.iter().cloned());
        }
        Interest { services, own_zone: self.is_hub() || self.prepares_promotion() }
    }

    /// Tells the parent what is needed, when that has changed.
    pub(super) fn tell_interest(&mut self) {
        if !self.records.interest_due || self.is_reader() {
            return;
        }
        let Some(attached) = &self.parent.attached else { return };
        let connection = attached.connection;
        self.records.interest_due = false;
        let interest = self.own_interest();
        if interest == self.parent.interest {
            return;
        }
        let is_narrower = !self.parent.interest.services.is_subset(&interest.services);
        self.parent.interest = interest.clone();
        self.send(connection, PeerMessage::Interest(interest.clone().into()));
        if is_narrower {
            self.drop_uncovered(&interest);
        }
    }

    /// Drops records that no longer arrive; kept, they would grow old unnoticed.
    pub(super) fn drop_uncovered(&mut self, interest: &Interest) {
        let own = self.own.record().clone();
        let keep =
            |record: &EndpointRecord| record.node == own.node || covers(interest, &own.locality, record);
        self.directory.retain(self.now, keep);
    }

    /// The parent has sent all records that were asked for; others of that kind no longer exist.
    pub(super) fn on_synced(&mut self) {
        self.role.zone_synced = self.parent.interest.own_zone;
        let Some(received) = self.parent.resync.take() else { return };
        let own = self.own.record().clone();
        let is_hub = self.is_hub();
        let keep = |record: &EndpointRecord| {
            let is_own_zone = is_hub && record.locality == own.locality;
            record.node == own.node || is_own_zone || received.contains(&record.node)
        };
        self.directory.retain(self.now, keep);
    }

    /// Tells the driver which records have changed.
    pub(super) fn emit_records(&mut self) {
        if !self.records.changed.is_empty() {
            let changed = std::mem::take(&mut self.records.changed);
            self.out.push(Output::Endpoints(changed));
        }
    }

    /// Forgets long-gone records from time to time.
    pub(super) fn expire_records(&mut self) {
        if self.now >= self.records.next_expiry {
            self.records.next_expiry = self.now + EXPIRY_INTERVAL;
            self.directory.expire(self.now);
        }
    }
}

/// Time between two looks for long-gone records.
const EXPIRY_INTERVAL: umberpond_model::Millis = umberpond_model::Millis(30_000);
