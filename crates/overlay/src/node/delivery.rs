//! What goes down to children: steps, commit index, witness sets and records, batched and bounded.
//!
//! Nothing is queued for a child. What it needs is worked out from what it was sent last and from what is held now,
//! at the moment at which it is sent; so a slow child gets the newest state in one piece when it catches up.

use std::collections::BTreeSet;
use std::sync::Arc;

use umberpond_model::{EndpointRecord, Millis, NodeName, Timestamp, Version};

use super::state::TransferState;
use super::{OverlayNode, share};
use crate::backoff::jitter;
use crate::chain::{Forward, Sent};
use crate::interface::{ConnectionId, Decision};
use crate::{Held, PeerMessage, Transfer, Update};

impl OverlayNode {
    /// Sends to every child what it lacks, where its batch interval is over.
    pub(super) fn flush_children(&mut self) {
        let due: Vec<ConnectionId> = self
            .children
            .iter()
            .filter(|(_, child)| self.now >= child.next_flush)
            .map(|(connection, _)| *connection)
            .collect();
        for connection in due {
            self.flush_child(connection);
        }
    }

    /// When [`OverlayNode::flush_children`] next has something to do.
    pub(super) fn next_child_work(&self) -> Option<Timestamp> {
        let waiting = self.children.iter().filter(|(connection, _)| self.child_lacks(**connection));
        waiting.map(|(_, child)| child.next_flush).min()
    }

    fn child_lacks(&self, connection: ConnectionId) -> bool {
        let Some(child) = self.children.get(&connection) else { return false };
        if !self.window_is_open(connection) {
            return false;
        }
        let everything = child.role.holds_everything();
        let lacks_content = self.may_send_content(child.transfer)
            && self.chain.target(everything).is_some_and(|target| child.sent.version() < Some(target));
        let lacks_sets = everything && child.sent_sets < self.chain.sets().since;
        let lacks_commit = child.sent_committed < self.chain.store().committed();
        lacks_content || lacks_sets || lacks_commit || child.syncing || !child.pending.is_empty()
    }

    fn flush_child(&mut self, connection: ConnectionId) {
        if !self.child_lacks(connection) {
            return;
        }
        let (content, unchanged) = self.content_for(connection);
        let mut update = Update { transfer: content, ..Update::default() };
        let committed = self.chain.store().committed();
        let sets = Arc::clone(self.chain.sets());
        let Some(child) = self.children.get_mut(&connection) else { return };
        if child.sent_committed < committed {
            child.sent_committed = committed;
            update.committed = Some(committed);
        }
        if child.role.holds_everything() && child.sent_sets < sets.since {
            child.sent_sets = sets.since;
            update.witness_sets = Some(sets);
        }
        child.next_flush = self.now + self.config.timing.batch_interval;
        let records = take_some(&mut child.pending, self.config.limits.max_records);
        update.endpoints = self.records_of(&records);
        self.send_to_child(connection, update, unchanged, committed);
        self.finish_sync(connection);
    }

    fn send_to_child(
        &mut self,
        connection: ConnectionId,
        mut update: Update,
        unchanged: Option<Version>,
        committed: Version,
    ) {
        if let Some(to) = unchanged {
            update.committed = None;
            self.send_update(connection, PeerMessage::Advance { to, committed });
        }
        if !update.is_empty() {
            self.send_update(connection, share(update));
        }
    }

    fn finish_sync(&mut self, connection: ConnectionId) {
        let Some(child) = self.children.get_mut(&connection) else { return };
        if child.syncing && child.pending.is_empty() {
            child.syncing = false;
            self.send(connection, PeerMessage::Synced);
        }
    }

    /// Content that brings a child forward: a transfer, or the version up to which nothing changes for it.
    fn content_for(&mut self, connection: ConnectionId) -> (Option<Transfer>, Option<Version>) {
        let transfer = self.children.get(&connection).map_or(TransferState::Idle, |child| child.transfer);
        let may_send = self.may_send_content(transfer);
        let Some(child) = self.children.get_mut(&connection) else { return (None, None) };
        if !may_send {
            return (None, None);
        }
        let Some(target) = self.chain.target(child.role.holds_everything()) else { return (None, None) };
        match self.chain.forward(&mut child.sent, &child.scope, target) {
            None => (None, None),
            Some(Forward::Unchanged(version)) => (None, Some(version)),
            Some(Forward::Step(step)) => (Some(Transfer::Step(step)), None),
            Some(Forward::NeedsWhole) => (self.whole_for_child(connection, target), None),
        }
    }

    fn whole_for_child(&mut self, connection: ConnectionId, target: Version) -> Option<Transfer> {
        let is_admitted = self.admits_transfer();
        let retry_after = self.config.timing.transfer_retry;
        let child = self.children.get_mut(&connection)?;
        if !is_admitted {
            if child.transfer != TransferState::Idle {
                return None;
            }
            child.transfer = TransferState::PutOff { until: self.now + Millis(retry_after.0 * 4) };
            let put_off = Decision::TransferPutOff { child: child.node.clone(), retry_after };
            self.decide(put_off);
            self.send(connection, PeerMessage::Busy { retry_after });
            return None;
        }
        let transfer = self.chain.whole(&mut child.sent, &child.scope, target)?;
        child.transfer = TransferState::Running { since: self.now };
        let sent = Decision::WholeSent { to: child.node.clone(), version: target };
        self.decide(sent);
        Some(transfer)
    }

    /// Whether a child may be sent content: not while a whole transfer to it runs. One that was put off is served
    /// as soon as another transfer has ended, in the order in which the children came.
    fn may_send_content(&self, transfer: TransferState) -> bool {
        match transfer {
            TransferState::Idle => true,
            TransferState::Running { .. } => false,
            TransferState::PutOff { .. } => self.admits_transfer(),
        }
    }

    /// Whether another whole transfer may begin.
    pub(super) fn admits_transfer(&self) -> bool {
        let below = self.children.values().map(|child| child.transfer);
        let beside = self.peers.values().map(|peer| peer.transfer);
        let running = below.chain(beside).filter(|transfer| self.is_running(*transfer)).count();
        running < self.config.limits.max_transfers
    }

    fn is_running(&self, transfer: TransferState) -> bool {
        let timeout = self.config.timing.transfer_timeout;
        matches!(transfer, TransferState::Running { since } if self.now.since(since) < timeout)
    }

    /// A child asks for a transfer: after it was put off, or because what came didn't fit.
    pub(super) fn on_request_transfer(&mut self, connection: ConnectionId, held: Option<Held>) {
        let Some(child) = self.children.get_mut(&connection) else { return };
        child.sent = held.map_or(Sent::Nothing, Sent::Claimed);
        child.transfer = TransferState::Idle;
        child.next_flush = self.now;
    }

    /// The other side has taken updates in.
    pub(super) fn on_acknowledged(&mut self, connection: ConnectionId) {
        let now = self.now;
        let transfers = self.children.get_mut(&connection).map(|child| &mut child.transfer);
        let transfer = transfers.or_else(|| self.peers.get_mut(&connection).map(|peer| &mut peer.transfer));
        let Some(transfer) = transfer else { return };
        let is_over = match *transfer {
            TransferState::Idle => false,
            TransferState::Running { .. } => true,
            TransferState::PutOff { until } => now >= until,
        };
        if is_over {
            *transfer = TransferState::Idle;
        }
    }

    /// A child that was put off and never asked again, or that never acknowledged, is served like any other.
    pub(super) fn end_stale_transfers(&mut self) {
        let timeout = self.config.timing.transfer_timeout;
        let now = self.now;
        for child in self.children.values_mut() {
            let is_stale = match child.transfer {
                TransferState::Idle => false,
                TransferState::Running { since } => now.since(since) >= timeout,
                TransferState::PutOff { until } => now >= until,
            };
            if is_stale {
                child.transfer = TransferState::Idle;
            }
        }
    }

    /// Records of these owners as they are now.
    pub(super) fn records_of(&self, nodes: &[NodeName]) -> Vec<EndpointRecord> {
        nodes.iter().filter_map(|node| self.directory.table().get(node)).cloned().collect()
    }

    /// Sends up what the parent lacks.
    pub(super) fn flush_parent(&mut self) {
        let Some(attached) = &self.parent.attached else { return };
        let connection = attached.connection;
        let is_due = self.now >= self.parent.next_flush && !self.parent.pending.is_empty();
        if !is_due || !self.window_is_open(connection) {
            return;
        }
        self.parent.next_flush = self.now + self.config.timing.batch_interval;
        let records = take_some(&mut self.parent.pending, self.config.limits.max_records);
        let endpoints = self.records_of(&records);
        self.send_update(connection, share(Update { endpoints, ..Update::default() }));
    }

    /// A wait below `bound`, for work that must not be in step with that of other nodes.
    pub(super) fn jittered(&mut self, bound: Millis) -> Timestamp {
        self.now + jitter(&mut self.rng, bound)
    }
}

/// Takes at most `count` names out of a set.
pub(super) fn take_some(pending: &mut BTreeSet<NodeName>, count: usize) -> Vec<NodeName> {
    let mut taken = Vec::with_capacity(pending.len().min(count));
    while taken.len() < count {
        let Some(node) = pending.pop_first() else { break };
        taken.push(node);
    }
    taken
}
