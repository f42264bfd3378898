//! The link to the parent: choice, handshake, failover, moving to a better one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use umberpond_model::{Millis, NodeName, Timestamp};

use super::OverlayNode;
use super::links::{DialPurpose, LinkState};
use super::records::Source;
use crate::backoff::{full_jitter, jitter};
use crate::interface::{ConnectionId, Decision, LossReason, MessageFault};
use crate::{Attach, Interest, PeerMessage, Placement, Refusal, Role, Welcome};

/// Bound of the random wait before the standby is tried: enough to spread the children of a dead parent.
const FAILOVER_JITTER: Millis = Millis(100);

/// Redirections that are followed at once; further ones wait like failures.
const MAX_QUICK_REDIRECTS: u32 = 4;

/// Hinted members tried before the seeds.
const MAX_HINTED: usize = 4;

/// The parent of this node.
#[derive(Debug)]
pub(super) struct Attached {
    pub(super) connection: ConnectionId,
    pub(super) node: NodeName,
    /// Hops from the parent to a reader.
    pub(super) depth: Option<u8>,
    /// Since when another parent is wanted.
    pub(super) unfit_since: Option<Timestamp>,
}

/// State of the way to a parent.
#[derive(Debug, Default)]
pub(super) struct ParentState {
    pub(super) attached: Option<Attached>,
    /// Address that is being tried.
    pub(super) attempt: Option<SocketAddr>,
    pub(super) attempt_since: Timestamp,
    pub(super) placement: Placement,
    cursor: usize,
    failures: u32,
    pub(super) retry_at: Timestamp,
    /// Since when the node has no parent.
    pub(super) orphan_since: Option<Timestamp>,
    /// Whether a live node has answered since then.
    pub(super) answered: bool,
    /// Times that all candidates were tried in vain since then.
    pub(super) rounds: u32,
    /// Whether the last parent was lost without a word, so that it may suspect this node.
    lost: bool,
    /// Owners whose records are to be sent up.
    pub(super) pending: BTreeSet<NodeName>,
    pub(super) next_flush: Timestamp,
    /// Records that the parent was asked for.
    pub(super) interest: Interest,
    /// Records that the node that is being tried was asked for.
    attempt_interest: Interest,
    /// Times that this node was sent elsewhere since it last had a parent.
    redirects: u32,
    /// Records received since all of them were announced; the others are dropped in the end.
    pub(super) resync: Option<BTreeSet<NodeName>>,
    /// When to ask again for a transfer that was put off.
    pub(super) transfer_retry_at: Option<Timestamp>,
}

impl OverlayNode {
    /// Connects to a parent where one is needed.
    pub(super) fn tend_parent(&mut self) {
        if !self.schedule.started || self.is_reader() {
            return;
        }
        self.give_up_stuck_attempt();
        if self.parent.attempt.is_some() || self.now < self.parent.retry_at {
            return;
        }
        if self.parent.attached.is_none() || self.wants_other_parent() {
            self.dial_next_candidate();
        }
    }

    /// When [`OverlayNode::tend_parent`] next has something to do.
    pub(super) fn next_parent_work(&self) -> Option<Timestamp> {
        if !self.schedule.started || self.is_reader() {
            return None;
        }
        if self.parent.attempt.is_some() {
            return Some(self.parent.attempt_since + self.attempt_timeout());
        }
        match &self.parent.attached {
            None => Some(self.parent.retry_at),
            Some(attached) => {
                let due = attached.unfit_since? + self.config.timing.demote_after;
                Some(due.max(self.parent.retry_at))
            }
        }
    }

    fn attempt_timeout(&self) -> Millis {
        Millis(self.config.timing.handshake_timeout.0 * 2)
    }

    /// A driver that never answers a request to connect must not block the way.
    fn give_up_stuck_attempt(&mut self) {
        let Some(to) = self.parent.attempt else { return };
        if self.now.since(self.parent.attempt_since) >= self.attempt_timeout() {
            self.dials.remove(&to);
            self.on_attach_failed(to, false);
        }
    }

    fn wants_other_parent(&self) -> bool {
        let attached = self.parent.attached.as_ref();
        let unfit_since = attached.and_then(|attached| attached.unfit_since);
        unfit_since.is_some_and(|since| self.now.since(since) >= self.config.timing.demote_after)
    }

    fn dial_next_candidate(&mut self) {
        let candidates = self.parent_candidates();
        if candidates.is_empty() {
            self.end_round();
            return;
        }
        let to = candidates[self.parent.cursor.min(candidates.len() - 1)];
        if self.dial(to, DialPurpose::Attach) {
            self.parent.attempt = Some(to);
            self.parent.attempt_since = self.now;
        } else {
            self.advance_cursor();
        }
    }

    /// Addresses to try, best first; while attached, only those that fit better.
    fn parent_candidates(&self) -> Vec<SocketAddr> {
        let own = self.own.record().control;
        let placement = &self.parent.placement;
        let mut members: Vec<SocketAddr> = placement.parents.iter().map(|member| member.control).collect();
        if self.parent.attached.is_none() {
            members.extend(placement.readers.iter().map(|member| member.control));
            let hinted = self.directory.hinted_in_zone();
            members.extend(hinted.iter().take(MAX_HINTED).map(|member| member.control));
            members.extend(self.config.seeds.iter().copied());
        }
        let mut seen = BTreeSet::new();
        members.retain(|address| *address != own && seen.insert(*address));
        members
    }

    fn advance_cursor(&mut self) {
        self.parent.cursor += 1;
        if self.parent.cursor >= self.parent_candidates().len() {
            self.end_round();
        } else {
            self.parent.retry_at = self.now + jitter(&mut self.rng, FAILOVER_JITTER);
        }
    }

    fn end_round(&mut self) {
        self.parent.cursor = 0;
        self.parent.rounds += 1;
        self.back_off();
    }

    fn back_off(&mut self) {
        let timing = &self.config.timing;
        let wait = full_jitter(&mut self.rng, self.parent.failures, timing.backoff_base, timing.backoff_cap);
        self.parent.failures += 1;
        self.parent.retry_at = self.now + wait;
    }

    /// What this node tells a parent that it wants to attach to.
    pub(super) fn attach_request(&mut self) -> Attach {
        let interest = self.own_interest();
        let endpoint_digest = self.directory.digest(&interest);
        self.parent.attempt_interest = interest.clone();
        Attach {
            role: self.role.current,
            scope: self.chain.store().scope().clone(),
            held: self.chain.held(),
            interest,
            endpoint_digest,
        }
    }

    pub(super) fn on_attach_failed(&mut self, to: SocketAddr, answered: bool) {
        if self.parent.attempt != Some(to) {
            return;
        }
        self.parent.attempt = None;
        self.parent.answered |= answered;
        self.note_unreachable(to);
        self.advance_cursor();
    }

    /// A parent that can't be reached may be dead; the others of the zone should know.
    fn note_unreachable(&mut self, to: SocketAddr) {
        if !self.is_hub() {
            return;
        }
        let member = self.parent.placement.parents.iter().find(|member| member.control == to).cloned();
        let record = member.and_then(|member| self.directory.table().get(&member.node).cloned());
        if let Some(record) = record {
            self.suspicion.on_lost(self.now, &record);
        }
    }

    /// An attempt ended after the connection stood.
    pub(super) fn on_attempt_ended(&mut self, _connection: ConnectionId) {
        if let Some(to) = self.parent.attempt {
            self.on_attach_failed(to, false);
        }
    }

    pub(super) fn on_attach_refused(&mut self, connection: ConnectionId, refusal: Refusal) {
        let to = self.parent.attempt.take();
        self.parent.answered = true;
        match refusal {
            Refusal::Elsewhere(placement) => self.on_sent_elsewhere(&placement, to),
            Refusal::Protocol { .. } | Refusal::NotYetKnown | Refusal::Duplicate => self.advance_cursor(),
        }
        self.close(connection, LossReason::Moved);
    }

    /// Follows a redirection, unless it leads out of the zone while a way inside is known.
    fn on_sent_elsewhere(&mut self, placement: &Placement, from: Option<SocketAddr>) {
        let own_zone = &self.own.record().locality;
        let is_inside = placement.parents.iter().all(|member| member.locality == *own_zone);
        let is_useful = is_inside || self.parent.placement.parents.is_empty();
        let is_new = self.parent.placement.parents != placement.parents;
        if is_useful {
            self.take_placement(placement);
        }
        if is_useful && is_new && self.parent.redirects < MAX_QUICK_REDIRECTS {
            self.parent.redirects += 1;
            self.parent.cursor = 0;
            self.parent.retry_at = self.now + jitter(&mut self.rng, FAILOVER_JITTER);
            return;
        }
        self.parent.attempt = from;
        if let Some(to) = from {
            self.on_attach_failed(to, true);
        }
    }

    /// Takes the word of a node that sees more of the zone.
    pub(super) fn take_placement(&mut self, placement: &Placement) {
        for member in placement.parents.iter().chain(&placement.readers) {
            if self.directory.table().get(&member.node).is_none() && self.is_hub() {
                self.directory.hint(member);
            }
        }
        self.role.told = Some(placement.role);
        self.parent.placement = placement.clone();
        let node = self.parent.attached.as_ref().map(|attached| attached.node.clone());
        let fits = node.is_none_or(|node| placement.parents.iter().any(|member| member.node == node));
        self.set_unfit(!fits && !placement.parents.is_empty());
    }

    /// Notes whether another parent is wanted. It is looked for after a while, and the present one kept until then.
    fn set_unfit(&mut self, unfit: bool) {
        let spread = jitter(&mut self.rng, self.config.timing.demote_after);
        let now = self.now;
        let Some(attached) = &mut self.parent.attached else { return };
        match (unfit, attached.unfit_since) {
            (true, None) => attached.unfit_since = Some(now + spread),
            (false, Some(_)) => attached.unfit_since = None,
            _ => {}
        }
    }

    pub(super) fn on_welcome(&mut self, connection: ConnectionId, welcome: &Welcome) {
        self.parent.attempt = None;
        self.parent.interest = std::mem::take(&mut self.parent.attempt_interest);
        self.parent.redirects = 0;
        if let Some(former) = self.parent.attached.take() {
            self.send(former.connection, PeerMessage::Leaving);
            self.close(former.connection, LossReason::Moved);
        }
        let node = welcome.record.node.clone();
        self.set_link_state(connection, LinkState::Parent);
        let depth = welcome.depth;
        self.parent.attached = Some(Attached { connection, node: node.clone(), depth, unfit_since: None });
        self.parent.orphan_since = None;
        self.parent.answered = false;
        self.parent.rounds = 0;
        self.parent.cursor = 0;
        self.parent.failures = 0;
        self.parent.transfer_retry_at = None;
        self.parent.resync = welcome.resync.then(BTreeSet::new);
        self.role.dialled = false;
        self.decide(Decision::Attached { parent: node.clone(), depth: self.depth() });
        self.suspicion.on_seen(&node);
        self.take_placement(&welcome.placement);
        self.merge_record(&welcome.record, Source::Parent);
        self.after_attached(connection);
    }

    fn after_attached(&mut self, connection: ConnectionId) {
        if std::mem::take(&mut self.parent.lost) {
            self.announce_own();
        }
        if self.is_hub() {
            self.send_zone_digest(connection);
        }
        self.directory.set_ranking(self.is_hub());
        self.progress.report_due = true;
        self.on_floor_way_changed();
        self.repeat_hold(connection);
        self.check_depth();
    }

    /// Leaves a parent that is part of a loop.
    fn check_depth(&mut self) {
        let depth = self.depth();
        let Some(attached) = &self.parent.attached else { return };
        if depth.is_some_and(|depth| depth > self.config.limits.max_depth) {
            let connection = attached.connection;
            self.close(connection, LossReason::Loop);
            self.parent.cursor = 1;
        }
    }

    pub(super) fn on_parent_lost(&mut self, connection: ConnectionId, reason: LossReason) {
        let is_current = self.parent.attached.as_ref().is_some_and(|parent| parent.connection == connection);
        if !is_current {
            return;
        }
        let Some(former) = self.parent.attached.take() else { return };
        self.decide(Decision::ParentLost { parent: former.node.clone(), reason });
        self.parent.orphan_since = Some(self.now);
        self.parent.pending.clear();
        self.parent.resync = None;
        self.parent.cursor = 0;
        self.parent.retry_at = self.now + jitter(&mut self.rng, FAILOVER_JITTER);
        self.on_floor_way_changed();
        if reason == LossReason::Moved {
            return;
        }
        self.parent.lost = true;
        let record = self.directory.table().get(&former.node).cloned();
        if let Some(record) = record.filter(|_| self.is_hub()) {
            self.suspicion.on_lost(self.now, &record);
        }
    }

    /// Gives the parent up, because the role needs another one or none.
    pub(super) fn detach(&mut self) {
        if let Some(attached) = &self.parent.attached {
            let connection = attached.connection;
            self.send(connection, PeerMessage::Leaving);
            self.close(connection, LossReason::Moved);
        }
        if let Some(to) = self.parent.attempt.take() {
            self.dials.remove(&to);
        }
    }

    pub(super) fn on_parent_message(&mut self, connection: ConnectionId, message: PeerMessage) {
        match message {
            PeerMessage::Update(update) => self.on_update(connection, &update, Source::Parent),
            PeerMessage::Advance { to, committed } => self.on_advance(connection, to, committed),
            PeerMessage::Placement(placement) => self.take_placement(&placement),
            PeerMessage::Busy { retry_after } => self.on_busy(retry_after),
            PeerMessage::FloorProof { nonce, floor } => self.on_floor_proof(nonce, floor),
            PeerMessage::Witness(routed) => self.on_witness_message(connection, &routed),
            PeerMessage::Digests(digests) => self.on_digests(connection, &digests),
            PeerMessage::Positions(positions) => self.on_positions(connection, &positions),
            PeerMessage::RollCall { nonce } => self.on_roll_call(connection, nonce),
            PeerMessage::Synced => self.on_synced(),
            PeerMessage::Heartbeat { depth } => self.on_parent_depth(depth),
            PeerMessage::Refuse(refusal) => self.on_dismissed(connection, refusal),
            _ => self.refuse_message(connection, MessageFault::Unexpected),
        }
    }

    fn on_busy(&mut self, retry_after: Millis) {
        let wait = Millis(retry_after.0 + jitter(&mut self.rng, retry_after).0);
        self.parent.transfer_retry_at = Some(self.now + wait);
    }

    fn on_parent_depth(&mut self, depth: Option<u8>) {
        let Some(attached) = &mut self.parent.attached else { return };
        attached.depth = depth;
        let node = attached.node.clone();
        let fits = self.parent.placement.parents.iter().any(|member| member.node == node);
        self.set_unfit(depth.is_none() || (!fits && !self.parent.placement.parents.is_empty()));
        self.check_depth();
    }

    /// The parent no longer takes children.
    fn on_dismissed(&mut self, connection: ConnectionId, refusal: Refusal) {
        if let Refusal::Elsewhere(placement) = refusal {
            self.take_placement(&placement);
        }
        self.close(connection, LossReason::Moved);
    }

    /// Asks again for a transfer that was put off.
    pub(super) fn retry_transfer(&mut self) {
        if self.parent.transfer_retry_at.is_some_and(|due| self.now >= due) {
            self.parent.transfer_retry_at = None;
            self.request_transfer();
        }
    }

    /// Asks the parent for what follows the version held, or for everything.
    pub(super) fn request_transfer(&mut self) {
        let held = self.chain.held();
        if let Some(attached) = &self.parent.attached {
            let connection = attached.connection;
            self.send(connection, PeerMessage::RequestTransfer { held });
        }
    }

    /// Whether the node may decide on its role by its own view: it has no parent, and either nobody answers or
    /// others ask it.
    pub(super) fn may_appoint_itself(&self) -> bool {
        let Some(since) = self.parent.orphan_since else { return false };
        if self.role.current == Role::Reader || self.now.since(since) < self.config.timing.orphan_after {
            return false;
        }
        let nobody_answers = !self.parent.answered && self.parent.rounds > 0;
        self.role.dialled || nobody_answers || self.is_hub()
    }
}
