//! Children: who is accepted, what they say, and what becomes of those that are lost.

use std::collections::BTreeSet;
use std::sync::Arc;

use umberpond_model::{EndpointRecord, Locality, Member, NodeName, Version};

use super::OverlayNode;
use super::links::LinkState;
use super::records::Source;
use super::state::{Child, TransferState};
use crate::chain::Sent;
use crate::directory::member_of;
use crate::interface::{ConnectionId, LossReason, MessageFault};
use crate::plan::ZonePlan;
use crate::{Attach, ChildStatus, Interest, PeerMessage, Placement, Refusal, Report, Role, Welcome};

impl OverlayNode {
    pub(super) fn on_attach(&mut self, connection: ConnectionId, record: &EndpointRecord, attach: &Attach) {
        let is_orphan = self.parent.attached.is_none() && !self.is_reader();
        if is_orphan && record.locality == self.own.record().locality {
            self.role.dialled = true;
        }
        if is_orphan || self.is_hub() {
            self.merge_record(record, Source::Child(connection));
        }
        let placement = self.placement_for(record, attach.role);
        if let Some(refusal) = self.attach_refusal(record, attach, &placement) {
            self.refuse(connection, refusal);
            return;
        }
        self.drop_former_connection(&record.node);
        self.accept_child(connection, record, attach, placement);
    }

    fn attach_refusal(
        &mut self,
        record: &EndpointRecord,
        attach: &Attach,
        placement: &Placement,
    ) -> Option<Refusal> {
        let is_own_zone = record.locality == self.own.record().locality;
        let is_parent = self.parent.attached.as_ref().is_some_and(|parent| parent.node == record.node);
        let is_full = self.children.len() >= self.child_limit(attach.role);
        if self.is_hub() && is_own_zone && !is_parent && !is_full {
            return None;
        }
        let is_undecided = self.parent.attached.is_none() && !self.is_hub();
        if is_undecided || (placement.parents.is_empty() && placement.role != Role::Reader) {
            return Some(Refusal::NotYetKnown);
        }
        Some(Refusal::Elsewhere(Arc::new(placement.clone())))
    }

    /// Relays and witnesses are accepted beyond the limit: few, and the tree hangs on them.
    const fn child_limit(&self, role: Role) -> usize {
        let limit = self.config.limits.max_children;
        if matches!(role, Role::Leaf) { limit } else { limit * 2 }
    }

    /// A node that comes back before its former connection has ended replaces it.
    fn drop_former_connection(&mut self, node: &NodeName) {
        let former = self.children.iter().find(|(_, child)| child.node == *node).map(|(former, _)| *former);
        if let Some(former) = former {
            self.close(former, LossReason::Moved);
        }
    }

    fn accept_child(
        &mut self,
        connection: ConnectionId,
        record: &EndpointRecord,
        attach: &Attach,
        placement: Placement,
    ) {
        self.set_link_state(connection, LinkState::Child);
        self.suspicion.on_seen(&record.node);
        let resync = self.directory.digest(&attach.interest) != attach.endpoint_digest;
        let mut pending = if resync { self.directory.covered(&attach.interest) } else { Vec::new() };
        let sent = attach.held.map_or(Sent::Nothing, Sent::Claimed);
        let known = self.directory.table().get(&record.node);
        let is_doubted = known.is_some_and(|known| known.order() > record.order());
        if is_doubted {
            pending.push(record.node.clone());
        }
        let child = Child {
            node: record.node.clone(),
            role: attach.role,
            scope: attach.scope.clone(),
            interest: attach.interest.clone(),
            sent,
            sent_committed: Version::GENESIS,
            sent_sets: Version::GENESIS,
            pending: pending.into_iter().filter(|node| *node != record.node || is_doubted).collect(),
            syncing: true,
            next_flush: self.now,
            transfer: TransferState::Idle,
            report: None,
            behind_since: None,
            placement: placement.clone(),
        };
        self.children.insert(connection, child);
        let welcome = Welcome { record: self.own.record().clone(), resync, depth: self.depth(), placement };
        self.send(connection, PeerMessage::Welcome(Arc::new(welcome)));
        self.progress.report_due = true;
        self.on_child_interest_changed();
        if attach.role.has_children() {
            self.send_zone_digest(connection);
        }
    }

    pub(super) fn on_child_lost(&mut self, connection: ConnectionId, reason: LossReason) {
        let Some(child) = self.children.remove(&connection) else { return };
        self.progress.report_due = true;
        self.forget_floor_asker(connection);
        self.on_child_interest_changed();
        let record = self.directory.table().get(&child.node).cloned();
        if let Some(record) = record.filter(|_| reason != LossReason::Moved) {
            self.suspicion.on_lost(self.now, &record);
        }
    }

    pub(super) fn on_child_message(&mut self, connection: ConnectionId, message: PeerMessage) {
        match message {
            PeerMessage::Update(update) => self.on_update(connection, &update, Source::Child(connection)),
            PeerMessage::Interest(interest) => self.on_interest(connection, &interest),
            PeerMessage::RequestTransfer { held } => self.on_request_transfer(connection, held),
            PeerMessage::Report(report) => self.on_report(connection, report),
            PeerMessage::FloorQuestion { nonce, head_only } => {
                self.on_floor_question(connection, nonce, head_only);
            }
            PeerMessage::Witness(routed) => self.on_witness_message(connection, &routed),
            PeerMessage::Digests(digests) => self.on_digests(connection, &digests),
            PeerMessage::Positions(positions) => self.on_positions(connection, &positions),
            PeerMessage::Present(present) => self.on_present(&present),
            PeerMessage::Leaving => self.close(connection, LossReason::Moved),
            PeerMessage::Heartbeat { .. } => {}
            _ => self.refuse_message(connection, MessageFault::Unexpected),
        }
    }

    fn on_interest(&mut self, connection: ConnectionId, interest: &Arc<Interest>) {
        let wanted = self.directory.covered(interest);
        let Some(child) = self.children.get_mut(&connection) else { return };
        let before: BTreeSet<NodeName> = self.directory.covered(&child.interest).into_iter().collect();
        child.pending.extend(wanted.into_iter().filter(|node| !before.contains(node)));
        child.interest = interest.as_ref().clone();
        child.syncing = true;
        self.on_child_interest_changed();
    }

    fn on_report(&mut self, connection: ConnectionId, report: Arc<Report>) {
        if let Some(child) = self.children.get_mut(&connection) {
            child.report = Some(report);
            self.progress.report_due = true;
        }
    }

    /// Role of another node and the parents that it may attach to, as seen here.
    pub(super) fn placement_for(&mut self, record: &EndpointRecord, present: Role) -> Placement {
        let is_own_zone = record.locality == self.own.record().locality;
        if !self.is_hub() && self.parent.attached.is_some() {
            return self.second_hand_placement(is_own_zone, present);
        }
        if is_own_zone && self.collects_members() {
            return self.provisional_placement(present);
        }
        let plan = if is_own_zone {
            self.zone_plan()
        } else {
            Arc::new(self.directory.plan(&record.locality, &self.config.limits))
        };
        self.planned_placement(&plan, &record.node, &record.locality)
    }

    /// Whether this node became a reader so recently that its view of the zone may lack members.
    fn collects_members(&self) -> bool {
        self.is_reader() && self.now < self.role.collecting_until
    }

    /// Until the view is complete, a child keeps its role and stays.
    fn provisional_placement(&self, present: Role) -> Placement {
        let own = member_of(self.own.record());
        Placement { role: present, parents: vec![own], readers: Vec::new() }
    }

    /// What a leaf can tell: its own candidates, or the readers of its zone. It knows nothing of roles.
    fn second_hand_placement(&self, is_own_zone: bool, present: Role) -> Placement {
        let own = &self.parent.placement;
        let parents = if is_own_zone { own.parents.clone() } else { own.readers.clone() };
        Placement { role: present, parents, readers: own.readers.clone() }
    }

    pub(super) fn planned_placement(
        &self,
        plan: &ZonePlan,
        node: &NodeName,
        locality: &Locality,
    ) -> Placement {
        let mut role = plan.role_of(node);
        let is_own_zone = *locality == self.own.record().locality;
        if role == Role::Leaf && is_own_zone && self.chain.names_witness(node) {
            role = Role::Witness;
        }
        let known = |name: &NodeName| self.directory.member(name);
        let mut parents: Vec<Member> = plan.parents_of(node, role).iter().filter_map(known).collect();
        parents.truncate(self.config.limits.max_candidates);
        let readers = plan.readers().iter().filter(|name| *name != node).filter_map(known).collect();
        Placement { role, parents, readers }
    }

    /// Tells children whose placement has changed.
    pub(super) fn refresh_placements(&mut self) {
        let plan = self.zone_plan();
        let own_locality = self.own.record().locality.clone();
        let mut changed = Vec::new();
        for (connection, child) in &self.children {
            let placement = self.planned_placement(&plan, &child.node, &own_locality);
            if placement != child.placement {
                changed.push((*connection, placement));
            }
        }
        for (connection, placement) in changed {
            if let Some(child) = self.children.get_mut(&connection) {
                child.placement = placement.clone();
            }
            self.send(connection, PeerMessage::Placement(Arc::new(placement)));
        }
    }

    /// Sends every child elsewhere, because this node no longer takes children.
    pub(super) fn dismiss_children(&mut self) {
        let connections: Vec<ConnectionId> = self.children.keys().copied().collect();
        for connection in connections {
            let placement = self.children.get(&connection).map(|child| child.placement.clone());
            let refusal = placement.map_or(Refusal::NotYetKnown, |mut placement| {
                placement.parents.retain(|member| member.node != self.own.record().node);
                Refusal::Elsewhere(Arc::new(placement))
            });
            self.refuse(connection, refusal);
        }
    }

    /// Tells the children how far this node is from a reader, when that has changed.
    pub(super) fn tell_depth(&mut self) {
        let depth = self.depth();
        if depth == self.schedule.depth_told {
            return;
        }
        self.schedule.depth_told = depth;
        let connections: Vec<ConnectionId> = self.children.keys().copied().collect();
        for connection in connections {
            self.send(connection, PeerMessage::Heartbeat { depth });
        }
    }

    pub(super) fn child_statuses(&self) -> Vec<ChildStatus> {
        let status = |(connection, child): (&ConnectionId, &Child)| ChildStatus {
            node: child.node.clone(),
            role: child.role,
            sent: child.sent.version(),
            unacknowledged: self.links.get(connection).map_or(0, |link| link.unacknowledged),
            nodes: child.report.as_ref().map_or(1, |report| report.nodes()),
        };
        self.children.iter().map(status).collect()
    }

    /// The other readers' proposal for witnesses: the first-ranked member of each zone.
    pub(super) fn proposed_witnesses(&self) -> Vec<NodeName> {
        if !self.is_reader() {
            return Vec::new();
        }
        let first =
            |zone: &Locality| self.directory.plan(zone, &self.config.limits).readers().first().cloned();
        self.directory.zones().iter().filter_map(first).collect()
    }

    /// Suspects those that have been lost for long.
    pub(super) fn suspect_lost(&mut self) {
        for node in self.suspicion.take_due(self.now) {
            self.suspect(&node);
        }
    }
}
