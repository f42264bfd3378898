//! Which parent is tried next, and what follows when one can't be reached or refuses.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::OverlayNode;
use super::links::DialPurpose;
use super::parent::FAILOVER_JITTER;
use crate::backoff::{full_jitter, jitter};
use crate::interface::{ConnectionId, LossReason};
use crate::{Placement, Refusal};

/// Redirections that are followed at once; further ones wait like failures.
const MAX_QUICK_REDIRECTS: u32 = 4;

/// Hinted members tried before the seeds.
const MAX_HINTED: usize = 4;

impl OverlayNode {
    pub(super) fn dial_next_candidate(&mut self) {
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
}
