//! Links between readers of all zones, and from readers to the witnesses.

use std::net::SocketAddr;
use std::sync::Arc;

use umberpond_model::{EndpointRecord, Member, Millis, NodeName, Timestamp, Version};

use super::delivery::take_some;
use super::links::{DialPurpose, LinkState};
use super::records::Source;
use super::state::{Peer, TransferState};
use super::{OverlayNode, share};
use crate::chain::{Forward, Sent};
use crate::interface::{ConnectionId, LossReason, MessageFault};
use crate::{Held, Hello, PeerMessage, Placement, Purpose, ReaderState, Refusal, Role, Transfer, Update};

/// Time between two looks for readers and witnesses without a link.
const SEARCH_INTERVAL: Millis = Millis(1_000);

/// A reader of the own zone that another one told of is tried for this long.
const TRY_COLLEAGUES: Millis = Millis(15_000);

/// A node that turned out not to be a reader isn't tried again for this long.
const NOT_A_READER: Millis = Millis(10_000);

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
        let is_open = |member: &Member| member.node != *own && !self.has_peer(&member.node);
        let mut wanted: Vec<Member> = Vec::new();
        for zone in self.directory.zones() {
            let likely = self.directory.likely_readers(&zone, CONSIDERED);
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
        let until = self.now + Millis(NOT_A_READER.0 / 2);
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
            pending: std::collections::BTreeSet::new(),
            next_flush: self.now,
            state: None,
            told: None,
            told_at: self.now,
            compare_at: None,
            pull_at: None,
            transfer: TransferState::Idle,
        };
        self.peers.insert(connection, peer);
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

    fn on_reader_state(&mut self, connection: ConnectionId, state: Arc<ReaderState>) {
        let behind = self.chain.held_version() < state.held;
        let watches = self.reader.as_ref().is_some_and(|reader| reader.has_lease);
        let delay = if watches { self.config.timing.pull_delay } else { Millis(0) };
        let pull_at = self.now + delay;
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        if peer.role != state.role {
            self.schedule.peers_changed = true;
        }
        peer.role = state.role;
        if behind && peer.pull_at.is_none() {
            peer.pull_at = Some(pull_at);
        }
        let committed = state.committed;
        peer.state = Some(state);
        self.on_commit_index(committed);
    }

    fn on_peer_busy(&mut self, connection: ConnectionId, retry_after: Millis) {
        let at = self.jittered(retry_after) + retry_after;
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.pull_at = Some(at);
        }
    }

    /// Asks readers for versions that the own watch hasn't brought in time.
    pub(super) fn pull_from_peers(&mut self) {
        if !self.is_reader() {
            return;
        }
        let held = self.chain.held_version();
        let now = self.now;
        let mut asked = None;
        for (connection, peer) in &mut self.peers {
            if peer.pull_at.is_none_or(|at| now < at) {
                continue;
            }
            let theirs = peer.state.as_ref().and_then(|state| state.held);
            peer.pull_at = (theirs > held).then(|| now + Millis(1_000));
            if theirs > held && asked.is_none() {
                asked = Some(*connection);
            }
        }
        if let Some(connection) = asked {
            let held = self.chain.held();
            self.send(connection, PeerMessage::RequestTransfer { held });
        }
    }

    /// Another reader lacks versions.
    fn on_peer_pull(&mut self, connection: ConnectionId, held: Option<Held>) {
        let Some(target) = self.chain.held_version() else { return };
        let mut sent = held.map_or(Sent::Nothing, Sent::Claimed);
        let scope = umberpond_config::Scope::Full;
        let transfer = match self.chain.forward(&mut sent, &scope, target) {
            None => return,
            Some(Forward::Unchanged(to)) => {
                let committed = self.chain.store().committed();
                self.send_update(connection, PeerMessage::Advance { to, committed });
                return;
            }
            Some(Forward::Step(step)) => Transfer::Step(step),
            Some(Forward::NeedsWhole) => {
                let Some(whole) = self.whole_for_peer(connection, target) else { return };
                whole
            }
        };
        let update = Update {
            transfer: Some(transfer),
            committed: Some(self.chain.store().committed()),
            witness_sets: Some(Arc::clone(self.chain.sets())),
            endpoints: Vec::new(),
        };
        self.send_update(connection, share(update));
    }

    fn whole_for_peer(&mut self, connection: ConnectionId, target: Version) -> Option<Transfer> {
        if !self.admits_transfer() {
            let retry_after = self.config.timing.transfer_retry;
            self.send(connection, PeerMessage::Busy { retry_after });
            return None;
        }
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.transfer = TransferState::Running { since: self.now };
        }
        self.chain.whole(&mut Sent::Nothing, &umberpond_config::Scope::Full, target)
    }

    fn reader_state(&self) -> ReaderState {
        ReaderState {
            held: self.chain.held_version(),
            committed: self.chain.store().committed(),
            role: self.role.current,
            watches: self.reader.as_ref().is_some_and(|reader| reader.has_lease),
        }
    }

    /// When a peer must be told the state: at once of a commit index that was worked out here or of a new role.
    /// Everything else it learns from its origin too; it is repeated late, in case that link is cut.
    fn state_due(&self, peer: &Peer, state: &ReaderState) -> Option<Timestamp> {
        let Some(told) = &peer.told else { return Some(peer.next_flush) };
        if told == state {
            return None;
        }
        let own_commit = self.reader.as_ref().map_or(Version::GENESIS, |reader| reader.own_commit);
        let depends_on_peers = peer
            .state
            .as_ref()
            .is_some_and(|theirs| theirs.role == Role::Reader && !theirs.watches && theirs.held < state.held);
        let is_news = depends_on_peers && told.held < state.held;
        if told.role != state.role || told.watches != state.watches || told.committed < own_commit || is_news
        {
            return Some(peer.next_flush);
        }
        Some(peer.told_at + self.config.timing.heartbeat)
    }

    fn records_due(&self, connection: ConnectionId, peer: &Peer) -> Option<Timestamp> {
        let is_due = !peer.pending.is_empty() && self.window_is_open(connection);
        is_due.then_some(peer.next_flush)
    }

    /// Tells the other readers what has changed.
    pub(super) fn flush_peers(&mut self) {
        let state = self.reader_state();
        let now = self.now;
        let is_due = |due: Option<Timestamp>| due.is_some_and(|due| now >= due);
        let mut told = Vec::new();
        let mut fed = Vec::new();
        for (connection, peer) in &self.peers {
            if is_due(self.state_due(peer, &state)) {
                told.push(*connection);
            }
            if is_due(self.records_due(*connection, peer)) {
                fed.push(*connection);
            }
        }
        for connection in told {
            self.tell_state(connection, &state);
        }
        for connection in fed {
            self.send_pending_records(connection);
        }
    }

    fn tell_state(&mut self, connection: ConnectionId, state: &ReaderState) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.next_flush = self.now + self.config.timing.batch_interval;
            peer.told_at = self.now;
            peer.told = Some(state.clone());
        }
        self.send(connection, PeerMessage::ReaderState(Arc::new(state.clone())));
    }

    fn send_pending_records(&mut self, connection: ConnectionId) {
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        peer.next_flush = self.now + self.config.timing.batch_interval;
        let records = take_some(&mut peer.pending, self.config.limits.max_records);
        let endpoints = self.records_of(&records);
        self.send_update(connection, share(Update { endpoints, ..Update::default() }));
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
        let searches = reader
            .map(|reader| reader.next_peer_search.min(reader.next_anti_entropy).min(reader.next_summary));
        states.chain(records).chain(pulls).chain(searches).min()
    }
}
