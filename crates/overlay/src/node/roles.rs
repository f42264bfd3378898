//! The role of this node: wanted, prepared, taken.
//!
//! An attached node does what its parent says, whose view of the zone is complete. A reader, and a node that has
//! lost every way up, go by their own view. A role is taken only after it was wanted for a while.

use std::sync::Arc;

use umberpond_model::{EndpointRecord, Millis, Timestamp};

use super::OverlayNode;
use super::state::ReaderDuty;
use crate::Role;
use crate::interface::{Decision, Output, PlatformRequest, RoleReason};
use crate::plan::ZonePlan;

/// Least time between two looks at the placements of the children.
const PLACEMENT_INTERVAL: Millis = Millis(1_000);

/// A reader that got no lease steps down after this time, once its successors are known.
const SPARE_READER_WAIT: Millis = Millis(2_000);

/// A new reader gives no roles for this time, since it doesn't know all members yet.
const COLLECT_MEMBERS: Millis = Millis(2_000);

/// A promotion waits at most this long for the records of the zone.
const ZONE_SYNC_TIMEOUT: Millis = Millis(3_000);

impl OverlayNode {
    /// Plan of the own zone by this node's own view.
    pub(super) fn zone_plan(&mut self) -> Arc<ZonePlan> {
        if self.role.plan.stale {
            let plan = self.directory.plan(&self.own.record().locality, &self.config.limits);
            self.role.plan.plan = Arc::new(plan);
            self.role.plan.stale = false;
        }
        Arc::clone(&self.role.plan.plan)
    }

    /// The ranks of a zone have changed.
    pub(super) fn on_ranks_changed(&mut self, record: &EndpointRecord) {
        if record.locality == self.own.record().locality {
            self.role.plan.stale = true;
            self.role.placements_due = true;
        }
    }

    /// Moves towards the role that this node should have.
    pub(super) fn tend_role(&mut self) {
        if !self.schedule.started {
            return;
        }
        let Some((role, reason)) = self.wanted_role() else {
            self.role.wanted = None;
            return;
        };
        if role == self.role.current {
            self.role.wanted = None;
            return;
        }
        let is_new = self.role.wanted.is_none_or(|(wanted, _, _)| wanted != role);
        if is_new {
            self.role.wanted = Some((role, reason, self.now));
            self.role.zone_synced = false;
            self.on_child_interest_changed();
        }
        if self.role_change_is_due() {
            self.take_role(role, reason);
        }
    }

    fn wanted_role(&mut self) -> Option<(Role, RoleReason)> {
        if self.is_reader() {
            return self.reader_wants().map(|role| (role, RoleReason::OwnView));
        }
        if self.parent.attached.is_some() || !self.may_appoint_itself() {
            return self.told_role();
        }
        if !self.is_hub() {
            // It collects the members as a reader first; their ranks then say who the readers are.
            return Some((Role::Reader, RoleReason::OwnView));
        }
        let plan = self.zone_plan();
        let own = self.own.record().clone();
        let placement = self.planned_placement(&plan, &own.node, &own.locality);
        let role = placement.role;
        if placement != self.parent.placement && !placement.parents.is_empty() {
            self.take_placement(&placement);
        }
        Some((role, RoleReason::OwnView))
    }

    fn told_role(&self) -> Option<(Role, RoleReason)> {
        let told = self.role.told?;
        if told == Role::Leaf && self.is_witness() {
            return Some((Role::Witness, RoleReason::WitnessSet));
        }
        Some((told, RoleReason::Told))
    }

    /// A reader steps down only for others that it is linked to and that are readers already.
    fn reader_wants(&mut self) -> Option<Role> {
        if self.now < self.role.collecting_until {
            return None;
        }
        let plan = self.zone_plan();
        let own = self.own.record().clone();
        let planned = self.planned_placement(&plan, &own.node, &own.locality);
        if planned.role == Role::Reader {
            return None;
        }
        let is_reader = |node: &umberpond_model::NodeName| {
            self.peers.values().any(|peer| peer.node == *node && peer.role == Role::Reader)
        };
        let successors = plan.readers();
        let ready = !successors.is_empty() && successors.iter().all(is_reader);
        ready.then_some(planned.role)
    }

    /// Whether a promotion to a role with children is being prepared.
    pub(super) fn prepares_promotion(&self) -> bool {
        !self.is_hub() && self.role.wanted.is_some_and(|(role, _, _)| role.has_children())
    }

    fn role_change_is_due(&self) -> bool {
        let Some((role, _, since)) = self.role.wanted else { return false };
        let waited = self.now.since(since);
        if role < self.role.current {
            return waited >= self.demotion_wait();
        }
        let needs_zone = self.prepares_promotion() && self.parent.attached.is_some();
        let is_prepared = !needs_zone || self.role.zone_synced || waited >= ZONE_SYNC_TIMEOUT;
        waited >= self.config.timing.promote_after && is_prepared
    }

    /// A reader without a lease is one too many: it steps down soon.
    fn demotion_wait(&self) -> Millis {
        let is_spare = self.reader.as_ref().is_some_and(|reader| !reader.has_lease);
        if is_spare { SPARE_READER_WAIT } else { self.config.timing.demote_after }
    }

    /// When the role next needs a look.
    pub(super) fn next_role_work(&self) -> Option<Timestamp> {
        let timing = &self.config.timing;
        let wanted = self.role.wanted.map(|(role, _, since)| {
            let is_demotion = role < self.role.current;
            let wait = if is_demotion { self.demotion_wait() } else { timing.promote_after };
            let due = since + wait;
            if due > self.now { due } else { since + ZONE_SYNC_TIMEOUT }
        });
        let orphan = self.parent.orphan_since.map(|since| since + timing.orphan_after);
        let orphan = orphan.filter(|due| *due > self.now);
        let placements = self.role.placements_due.then_some(self.role.next_placements);
        wanted.into_iter().chain(orphan).chain(placements).min()
    }

    fn take_role(&mut self, role: Role, reason: RoleReason) {
        let from = self.role.current;
        self.decide(Decision::RoleChanged { from, to: role, reason });
        if from == Role::Reader {
            self.leave_reader_role();
        }
        if from.has_children() && !role.has_children() {
            self.dismiss_children();
        }
        self.detach();
        self.role.current = role;
        self.role.wanted = None;
        self.chain.hold_everything(role.holds_everything());
        self.directory.set_ranking(true);
        self.role.plan.stale = true;
        self.role.placements_due = true;
        if role == Role::Reader {
            self.enter_reader_role();
        } else {
            self.seek_parent();
        }
        if !role.holds_everything() {
            self.witness = None;
        }
        if !role.has_children() {
            let interest = self.own_interest();
            self.drop_uncovered(&interest);
        }
        self.schedule.peers_changed = true;
        self.update_own_interest();
        self.feed_witness();
    }

    fn seek_parent(&mut self) {
        if self.parent.orphan_since.is_none() {
            self.parent.orphan_since = Some(self.now);
        }
        self.parent.retry_at = self.now;
    }

    fn enter_reader_role(&mut self) {
        let duty = ReaderDuty {
            lease_retry_at: self.now + COLLECT_MEMBERS,
            next_peer_search: self.now,
            next_seed_search: self.now,
            next_anti_entropy: self.jittered(self.config.timing.anti_entropy),
            next_summary: self.now,
            ..ReaderDuty::default()
        };
        self.reader = Some(Box::new(duty));
        self.parent.orphan_since = None;
        self.parent.pending.clear();
        self.role.collecting_until = self.now + COLLECT_MEMBERS;
        self.role.next_placements = self.role.collecting_until;
        self.role.dialled = false;
        self.on_floor_way_changed();
        self.feed_tracker();
    }

    fn leave_reader_role(&mut self) {
        let plan = self.zone_plan();
        let own = self.own.record().clone();
        let placement = self.planned_placement(&plan, &own.node, &own.locality);
        self.parent.placement = placement;
        self.role.told = None;
        let was_asked = self.reader.take().is_some_and(|reader| reader.lease_asked);
        if was_asked {
            self.out.push(Output::Platform(PlatformRequest::ReleaseReaderLease));
        }
        self.on_floor_way_changed();
    }

    /// Looks at the placements of the children after the ranks have changed.
    pub(super) fn tend_placements(&mut self) {
        let is_due = self.role.placements_due && self.now >= self.role.next_placements;
        if !is_due {
            return;
        }
        self.role.placements_due = false;
        self.role.next_placements = self.now + PLACEMENT_INTERVAL;
        if self.is_hub() {
            self.refresh_placements();
        }
    }
}
