//! Links between readers of all zones, and from readers to the witnesses.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use umberpond_model::{EndpointRecord, Locality, Member, Millis, NodeName, Timestamp};

use super::OverlayNode;
use super::links::{DialPurpose, LinkState};
use super::records::Source;
use super::state::{Peer, TransferState};
use crate::interface::{ConnectionId, LossReason, MessageFault};
use crate::{Hello, PeerMessage, Placement, Purpose, Refusal, Role};

/// Time between two looks for readers and witnesses without a link.
const SEARCH_INTERVAL: Millis = Millis(1_000);

/// A reader of the own zone that another one told of is tried for this long.
const TRY_COLLEAGUES: Millis = Millis(15_000);

/// A node that turned out not to be a reader isn't tried again for this long. Much longer, and readers that doubt
/// each other wrongly meet too late.
const NOT_A_READER: Millis = Millis(10_000);

/// A node that couldn't be reached isn't tried again for this long.
const UNREACHABLE: Millis = Millis(5_000);

/// Time between two tries of the seeds, to find zones that nothing is known of.
const SEED_INTERVAL: Millis = Millis(30_000);

/// Members of a zone that are considered when its readers are looked for: its two readers and those that may become
/// readers next.
const CONSIDERED: usize = 4;

/// Members of a zone to which links are kept up: its two readers, and room for two that are doubted wrongly.
const TRIED: usize = 4;

impl OverlayNode {
    /// Connects to readers of all zones and to witnesses where there is no link.
    pub(super) fn search_peers(&mut self) {
        let now = self.now;
        let Some(reader) = &mut self.reader else { return };
        if now < reader.next_peer_search {
            return;
        }
        reader.next_peer_search = now + SEARCH_INTERVAL;
        reader.not_readers.retain(|_, until| *until > now);
        reader.colleagues.retain(|_, (_, until)| *until > now);
        self.tell_colleagues();
        let Some(reader) = &mut self.reader else { return };
        let is_seed_time = now >= reader.next_seed_search;
        if is_seed_time {
            reader.next_seed_search = now + SEED_INTERVAL;
            self.dial_seeds();
        }
        for member in self.wanted_peers() {
            self.dial(member.control, DialPurpose::Peer(Some(member)));
        }
    }

    fn dial_seeds(&mut self) {
        let linked: Vec<SocketAddr> = self
            .peers
            .values()
            .filter_map(|peer| self.directory.member(&peer.node))
            .map(|member| member.control)
            .collect();
        let seeds: Vec<SocketAddr> = self.config.seeds.clone();
        for seed in seeds.into_iter().filter(|seed| !linked.contains(seed)) {
            self.dial(seed, DialPurpose::Peer(None));
        }
    }

    fn wanted_peers(&self) -> Vec<Member> {
        let Some(reader) = &self.reader else { return Vec::new() };
        let own = &self.own.record().node;
        let linked: BTreeSet<&NodeName> = self.peers.values().map(|peer| &peer.node).collect();
        let is_open = |member: &Member| member.node != *own && !linked.contains(&member.node);
        let mut wanted: Vec<Member> = Vec::new();
        for zone in self.directory.zones() {
            let considered = self.considered(&zone);
            let likely = self.directory.likely_readers(&zone, considered);
            let readers = likely
                .into_iter()
                .filter(|member| !reader.not_readers.contains_key(&member.node))
                .take(TRIED);
            wanted.extend(readers.filter(is_open));
        }
        let sets = self.chain.sets();
        let witnesses = sets.current.iter().chain(&sets.previous);
        wanted.extend(witnesses.filter_map(|node| self.directory.member(node)).filter(is_open));
        wanted.extend(reader.colleagues.values().map(|(member, _)| member.clone()).filter(is_open));
        wanted.sort();
        wanted.dedup();
        wanted
    }

    /// Live members of a zone to look at: its readers, and the next ones only while a reader is missing.
    fn considered(&self, zone: &Locality) -> usize {
        let wanted = self.config.limits.readers_per_zone;
        let is_there = |peer: &&Peer| peer.role == Role::Reader && peer.locality == *zone;
        let own = usize::from(self.own.record().locality == *zone);
        let linked = self.peers.values().filter(is_there).count() + own;
        if linked >= wanted { wanted } else { CONSIDERED }
    }

    /// Links to the other readers of the own zone.
    pub(super) fn colleagues(&self) -> Vec<ConnectionId> {
        let own_zone = &self.own.record().locality;
        let is_colleague = |peer: &Peer| peer.role == Role::Reader && peer.locality == *own_zone;
        let colleagues = self.peers.iter().filter(|(_, peer)| is_colleague(peer));
        colleagues.map(|(connection, _)| *connection).collect()
    }

    /// Tells the readers of the own zone of each other, so that spare ones are linked too.
    pub(super) fn tell_colleagues(&mut self) {
        let connections = self.colleagues();
        let nodes = connections.iter().filter_map(|connection| self.peers.get(connection));
        let members: Vec<Member> = nodes.filter_map(|peer| self.directory.member(&peer.node)).collect();
        let Some(reader) = &mut self.reader else { return };
        if members == reader.colleagues_told {
            return;
        }
        reader.colleagues_told = members.clone();
        let message = PeerMessage::Colleagues(Arc::new(members));
        for connection in connections {
            self.send(connection, message.clone());
        }
    }

    fn on_colleagues(&mut self, members: &[Member]) {
        let own = self.own.record().node.clone();
        let until = self.now + TRY_COLLEAGUES;
        let Some(reader) = &mut self.reader else { return };
        for member in members.iter().filter(|member| member.node != own) {
            reader.colleagues.insert(member.node.clone(), (member.clone(), until));
        }
    }

    pub(super) fn has_peer(&self, node: &NodeName) -> bool {
        self.peers.values().any(|peer| peer.node == *node)
    }

    /// The link to a reader or witness.
    pub(super) fn peer_connection(&self, node: &NodeName) -> Option<ConnectionId> {
        self.peers.iter().find(|(_, peer)| peer.node == *node).map(|(connection, _)| *connection)
    }

    pub(super) fn on_peer_unreachable(&mut self, member: &Member) {
        let until = self.now + UNREACHABLE;
        if let Some(reader) = &mut self.reader {
            reader.not_readers.insert(member.node.clone(), until);
        }
        self.directory.forget_hint(&member.node);
        let is_own_zone = member.locality == self.own.record().locality;
        let record = self.directory.table().get(&member.node).cloned();
        if let Some(record) = record.filter(|_| is_own_zone && self.is_reader()) {
            self.suspicion.on_lost(self.now, &record);
        }
    }

    /// Another node wants a link between readers.
    pub(super) fn on_peer_hello(
        &mut self,
        connection: ConnectionId,
        record: &EndpointRecord,
        role: Role,
        to_witness: bool,
    ) {
        if self.is_reader() {
            self.merge_record(record, Source::Peer(connection));
        }
        if !self.is_reader() && !to_witness {
            let placement = self.placement_for(record, role);
            self.refuse(connection, Refusal::Elsewhere(Arc::new(self.with_readers(placement))));
            return;
        }
        if to_witness {
            self.on_called_witness();
        }
        if self.refuses_duplicate(connection, &record.node) {
            return;
        }
        self.send_hello(connection, Purpose::Peer { role: self.role.current, to_witness: false });
        self.add_peer(connection, record, role, false);
    }

    /// A node that isn't a reader names the readers that it knows.
    fn with_readers(&self, mut placement: Placement) -> Placement {
        if placement.readers.is_empty() {
            placement.readers = self.parent.placement.readers.clone();
        }
        placement
    }

    /// Of two links between the same two nodes, the one made by the node of the lower name stays.
    fn refuses_duplicate(&mut self, connection: ConnectionId, node: &NodeName) -> bool {
        let Some(present) = self.peer_connection(node) else { return false };
        let own_is_lower = self.own.record().node < *node;
        let present_was_dialled = self.peers.get(&present).is_some_and(|peer| peer.dialled);
        if own_is_lower && present_was_dialled {
            self.refuse(connection, Refusal::Duplicate);
            return true;
        }
        self.replace_link(present);
        false
    }

    fn replace_link(&mut self, present: ConnectionId) {
        self.send(present, PeerMessage::Leaving);
        self.close(present, LossReason::Moved);
    }

    pub(super) fn on_peer_answer(&mut self, connection: ConnectionId, hello: &Hello) {
        let Purpose::Peer { role, .. } = hello.purpose else {
            self.refuse_message(connection, MessageFault::Unexpected);
            return;
        };
        let node = &hello.record.node;
        if !self.is_reader() || *node == self.own.record().node {
            self.set_link_state(connection, LinkState::Incoming);
            self.close(connection, LossReason::Moved);
            return;
        }
        if let Some(present) = self.peer_connection(node) {
            let other_is_lower = *node < self.own.record().node;
            let present_was_accepted = self.peers.get(&present).is_some_and(|peer| !peer.dialled);
            if other_is_lower && present_was_accepted {
                // The other node applies the same rule, so that exactly one of two crossed links stays.
                self.set_link_state(connection, LinkState::Incoming);
                self.refuse(connection, Refusal::Duplicate);
                return;
            }
            self.replace_link(present);
        }
        self.merge_record(&hello.record, Source::Peer(connection));
        self.add_peer(connection, &hello.record, role, true);
    }

    pub(super) fn on_peer_refused(
        &mut self,
        connection: ConnectionId,
        member: Option<&Member>,
        refusal: Refusal,
    ) {
        let until = self.now + NOT_A_READER;
        if let (Some(member), Some(reader)) = (member, &mut self.reader)
            && refusal != Refusal::Duplicate
        {
            reader.not_readers.insert(member.node.clone(), until);
        }
        if let Refusal::Elsewhere(placement) = &refusal {
            for reader in placement.readers.iter().chain(&placement.parents) {
                self.directory.hint(reader);
            }
        }
        self.set_link_state(connection, LinkState::Incoming);
        self.close(connection, LossReason::Moved);
    }

    fn add_peer(&mut self, connection: ConnectionId, record: &EndpointRecord, role: Role, dialled: bool) {
        self.set_link_state(connection, LinkState::Peer);
        self.suspicion.on_seen(&record.node);
        let peer = Peer {
            node: record.node.clone(),
            locality: record.locality.clone(),
            role,
            dialled,
            pending: BTreeSet::new(),
            next_flush: self.now,
            state: None,
            told: None,
            told_at: self.now,
            compare_at: None,
            pull_at: None,
            transfer: TransferState::Idle,
        };
        self.peers.insert(connection, peer);
        if let Some(reader) = &mut self.reader {
            reader.not_readers.remove(&record.node);
        }
        self.schedule.peers_changed = true;
        if self.is_reader() && role == Role::Reader {
            self.send_all_digests(connection);
        }
        self.repeat_hold(connection);
    }

    pub(super) fn on_peer_lost(&mut self, connection: ConnectionId, reason: LossReason) {
        let Some(peer) = self.peers.remove(&connection) else { return };
        let is_own_zone = peer.locality == self.own.record().locality;
        if reason == LossReason::Moved || !is_own_zone || !self.is_reader() {
            return;
        }
        if let Some(record) = self.directory.table().get(&peer.node).cloned() {
            self.suspicion.on_lost(self.now, &record);
        }
    }

    pub(super) fn on_peer_message(&mut self, connection: ConnectionId, message: PeerMessage) {
        match message {
            PeerMessage::ReaderState(state) => self.on_reader_state(connection, state),
            PeerMessage::Update(update) => self.on_update(connection, &update, Source::Peer(connection)),
            PeerMessage::Advance { to, committed } => self.on_advance(connection, to, committed),
            PeerMessage::RequestTransfer { held } => self.on_peer_pull(connection, held),
            PeerMessage::Busy { retry_after } => self.on_peer_busy(connection, retry_after),
            PeerMessage::Summary(summary) => self.on_summary(connection, &summary),
            PeerMessage::Witness(routed) => self.on_witness_message(connection, &routed),
            PeerMessage::Digests(digests) => self.on_digests(connection, &digests),
            PeerMessage::Positions(positions) => self.on_positions(connection, &positions),
            PeerMessage::Colleagues(members) => self.on_colleagues(&members),
            PeerMessage::RollCall { nonce } => self.on_roll_call(connection, nonce),
            PeerMessage::Present(present) => self.on_present(&present),
            PeerMessage::Heartbeat { .. } => {}
            // Both sides may have connected at once; the other one keeps its own connection.
            PeerMessage::Refuse(_) | PeerMessage::Leaving => self.close(connection, LossReason::Moved),
            _ => self.refuse_message(connection, MessageFault::Unexpected),
        }
    }

    /// Closes links that serve nothing any more.
    pub(super) fn drop_useless_peers(&mut self) {
        let is_reader = self.is_reader();
        let useless: Vec<ConnectionId> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                let is_useful_reader = peer.role == Role::Reader && (is_reader || self.is_witness());
                let is_useful_witness = is_reader && self.chain.names_witness(&peer.node);
                !is_useful_reader && !is_useful_witness
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in useless {
            self.send(connection, PeerMessage::Leaving);
            self.close(connection, LossReason::Moved);
        }
    }

    /// When peers next need something.
    pub(super) fn next_peer_work(&self) -> Option<Timestamp> {
        let state = self.reader_state();
        let states = self.peers.values().filter_map(|peer| self.state_due(peer, &state));
        let records = self.peers.iter().filter_map(|(connection, peer)| self.records_due(*connection, peer));
        let pulls = self.peers.values().flat_map(|peer| [peer.pull_at, peer.compare_at]).flatten();
        let reader = self.reader.as_ref();
        let searches = reader.map(|reader| reader.next_peer_search.min(reader.next_anti_entropy));
        states.chain(records).chain(pulls).chain(searches).min()
    }
}
