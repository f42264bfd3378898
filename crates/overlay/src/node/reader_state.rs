//! What readers tell each other: the versions they hold, and the steps that one of them lacks.

use std::sync::Arc;

use umberpond_config::Scope;
use umberpond_model::{Millis, Timestamp, Version};

use super::delivery::take_some;
use super::state::{Peer, TransferState};
use super::{OverlayNode, share};
use crate::chain::{Forward, Sent};
use crate::interface::ConnectionId;
use crate::{Held, PeerMessage, ReaderState, Role, Transfer, Update};

impl OverlayNode {
    pub(super) fn on_reader_state(&mut self, connection: ConnectionId, state: Arc<ReaderState>) {
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

    pub(super) fn on_peer_busy(&mut self, connection: ConnectionId, retry_after: Millis) {
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
    pub(super) fn on_peer_pull(&mut self, connection: ConnectionId, held: Option<Held>) {
        let Some(target) = self.chain.held_version() else { return };
        let mut sent = held.map_or(Sent::Nothing, Sent::Claimed);
        let scope = Scope::Full;
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
        self.chain.whole(&mut Sent::Nothing, &Scope::Full, target)
    }

    pub(super) fn reader_state(&self) -> ReaderState {
        ReaderState {
            held: self.chain.held_version(),
            committed: self.chain.store().committed(),
            role: self.role.current,
            watches: self.reader.as_ref().is_some_and(|reader| reader.has_lease),
        }
    }

    /// When a peer must be told the state: at once of a commit index that was worked out here or of a new role.
    /// Everything else it learns from its origin too; it is repeated late, in case that link is cut.
    pub(super) fn state_due(&self, peer: &Peer, state: &ReaderState) -> Option<Timestamp> {
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

    pub(super) fn records_due(&self, connection: ConnectionId, peer: &Peer) -> Option<Timestamp> {
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
}
