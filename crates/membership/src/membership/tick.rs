//! Periodic tasks of the membership.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::RngExt;
use umberpond_model::{Locality, NodeName};

use super::gossip::UpdateRole;
use super::{Membership, Outgoing};
use crate::digest::bucket_of;
use crate::event::MembershipEvent;
use crate::member::{Member, Reachability};
use crate::neighbours::{Zones, neighbours};
use crate::record::MemberPhase;

/// Time between two ticks from which on this process counts as stalled, so that it does not judge other nodes
/// by the heartbeats that it missed.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);
/// Time for which a node that has left or is retired is remembered, so that a late datagram does not add it
/// again.
const DEPARTED_RETENTION: Duration = Duration::from_secs(30);
/// Interval between two searches for members to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum number of silent nodes in a zone, with no responsive ones, for the zone to count as unreachable.
const MIN_SILENT_NODES: usize = 2;

/// Number of silent and responsive nodes among the monitored nodes of a zone.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneObservation {
    silent: usize,
    responsive: usize,
}

impl ZoneObservation {
    const fn is_unreachable(self) -> bool {
        self.responsive == 0 && self.silent >= MIN_SILENT_NODES
    }
}

impl Membership {
    /// Runs the periodic tasks and returns the datagrams to send. Call this several times per heartbeat
    /// interval.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.reset_timeouts_if_stalled(now);
        self.choose_neighbours(now);
        self.update_reachabilities(now);
        self.detect_unreachable_zones(now);
        let mut outgoing = self.accuse_silent(now);
        outgoing.extend(self.send_due(now));
        outgoing.extend(self.gossip(now));
        outgoing.extend(self.flush_updates(UpdateRole::Relay));
        outgoing.extend(self.contact_candidates(now));
        self.expire_accused(now);
        self.forget_old(now);
        outgoing
    }

    /// If this process was stalled, resets the timeouts of the neighbours.
    fn reset_timeouts_if_stalled(&mut self, now: Instant) {
        self.first_tick_at.get_or_insert(now);
        let last = self.last_tick_at.replace(now);
        let Some(stalled_for) = last.map(|at| now.saturating_duration_since(at)) else { return };
        if stalled_for < STALL_THRESHOLD {
            return;
        }
        for node in &self.active {
            if let Some(member) = self.members.get_mut(node) {
                member.reset_timeouts(now);
            }
        }
        self.record_event(MembershipEvent::Stalled { stalled_for });
    }

    /// Handles a suspension of the machine, during which the monotonic clock did not advance: ages all
    /// recorded times by its duration. No node is judged by heartbeats missed meanwhile, and the neighbours
    /// are asked for an immediate response.
    pub fn on_suspended(&mut self, now: Instant, suspended: Duration) {
        let aged = |at: Option<Instant>| at.map(|at| at.checked_sub(suspended).unwrap_or(at));
        self.own_store_contact = aged(self.own_store_contact);
        self.last_store_contact = aged(self.last_store_contact);
        for member in self.members.values_mut() {
            member.on_suspended(now, suspended);
        }
    }

    /// Chooses the neighbours again if the set of members that are not excluded has changed.
    fn choose_neighbours(&mut self, now: Instant) {
        let is_stale = std::mem::take(&mut self.are_zones_stale);
        if !is_stale && self.is_full_mesh() == self.was_full_mesh {
            return;
        }
        self.zones = Zones::of(&self.own.locality, &self.members);
        let is_full_mesh = self.is_full_mesh();
        self.was_full_mesh = is_full_mesh;
        let chosen = neighbours(&self.settings, self.own_rank, &self.zones, &self.members, is_full_mesh);
        let dropped: Vec<NodeName> =
            self.active.iter().filter(|node| !chosen.contains_key(*node)).cloned().collect();
        for node in dropped {
            if let Some(member) = self.members.get_mut(&node) {
                member.set_watch(now, None);
            }
        }
        for (node, watch) in chosen {
            if let Some(member) = self.members.get_mut(&node) {
                member.set_watch(now, Some(watch));
                self.active.insert(node);
            }
        }
    }

    /// Updates the reachability of the neighbours, and drops those with which no heartbeats are exchanged any
    /// more.
    fn update_reachabilities(&mut self, now: Instant) {
        let active: Vec<NodeName> = self.active.iter().cloned().collect();
        for node in active {
            self.refresh_member(now, &node);
            let reconnect_interval = self.settings.reconnect_interval;
            let is_due = self
                .members
                .get(&node)
                .is_some_and(|member| member.interval(now, reconnect_interval).is_some());
            if !is_due {
                self.active.remove(&node);
            }
        }
    }

    fn observe_zones(&self, now: Instant) -> BTreeMap<&Locality, ZoneObservation> {
        let mut observations: BTreeMap<&Locality, ZoneObservation> = BTreeMap::new();
        let watched = self.active.iter().filter_map(|node| self.members.get(node));
        for member in watched.filter(|member| !member.is_excluded()) {
            let observation = observations.entry(&member.record.locality).or_default();
            match member.observed_reachability(now) {
                Some(Reachability::Silent) => observation.silent += 1,
                Some(_) => observation.responsive += 1,
                None => {}
            }
        }
        observations
    }

    /// Detects unreachable zones. If all monitored nodes of a zone are silent but were not excluded by the
    /// nodes of their own zone, the link to the zone is broken, and all its nodes are unreachable from here.
    /// This also applies to the own zone, if this node itself is disconnected.
    fn detect_unreachable_zones(&mut self, now: Instant) {
        if self.is_full_mesh() && self.unreachable_zones.is_empty() {
            return;
        }
        let observations = self.observe_zones(now);
        let unreachable_zones: BTreeSet<Locality> = observations
            .iter()
            .filter(|(_, observation)| observation.is_unreachable())
            .map(|(locality, _)| (*locality).clone())
            .collect();
        if unreachable_zones == self.unreachable_zones {
            return;
        }
        let silent_in =
            |locality: &Locality| observations.get(locality).map_or(0, |observation| observation.silent);
        let mut events: Vec<MembershipEvent> = Vec::new();
        for locality in unreachable_zones.difference(&self.unreachable_zones) {
            let silent = silent_in(locality);
            events.push(MembershipEvent::ZoneUnreachable { locality: locality.clone(), silent });
        }
        for locality in self.unreachable_zones.difference(&unreachable_zones) {
            events.push(MembershipEvent::ZoneBack { locality: locality.clone() });
        }
        let changed: BTreeSet<Locality> =
            unreachable_zones.symmetric_difference(&self.unreachable_zones).cloned().collect();
        self.unreachable_zones = unreachable_zones;
        events.into_iter().for_each(|event| self.record_event(event));
        let affected = self.members.iter().filter(|(_, member)| changed.contains(&member.record.locality));
        let nodes: Vec<NodeName> = affected.map(|(node, _)| node.clone()).collect();
        nodes.iter().for_each(|node| self.refresh_member(now, node));
    }

    /// Accuses silent neighbours, unless all neighbours are silent, in which case this node itself may be
    /// disconnected.
    fn accuse_silent(&mut self, now: Instant) -> Vec<Outgoing> {
        let observations = self.observe_zones(now);
        if observations.values().all(|observation| observation.responsive == 0) {
            return Vec::new();
        }
        let silent: Vec<NodeName> = self
            .active
            .iter()
            .filter(|node| self.members.get(*node).is_some_and(|member| member.should_accuse(now)))
            .cloned()
            .collect();
        if silent.is_empty() {
            return Vec::new();
        }
        for node in silent {
            let Some(member) = self.members.get_mut(&node) else { continue };
            member.on_own_accusation_sent(now);
            let accusation = member.accusation(self.own.process_id);
            let silent_for = now.saturating_duration_since(member.known_since);
            self.record_event(MembershipEvent::NeighbourSilent { node, silent_for });
            // The accusation never concerns this node itself, so there is nothing to send.
            let _none = self.on_accusation(now, accusation);
        }
        self.flush_updates(UpdateRole::Origin)
    }

    fn send_due(&mut self, now: Instant) -> Vec<Outgoing> {
        let reconnect_interval = self.settings.reconnect_interval;
        let mut due = Vec::new();
        for node in &self.active {
            let Some(member) = self.members.get_mut(node) else { continue };
            let Some(interval) =
                member.interval(now, reconnect_interval).filter(|_| member.send_next_at <= now)
            else {
                continue;
            };
            member.send_next_at = now + interval;
            due.push((node.clone(), member.needs_response(now)));
        }
        let heartbeats = due.into_iter();
        heartbeats
            .filter_map(|(node, wants_response)| self.heartbeat_to(now, &node, None, wants_response))
            .collect()
    }

    /// A heartbeat to a random node of the own zone that is not a neighbour. The load, configuration and
    /// digests that heartbeats carry so reach the whole zone in few hops, even if the ring is long.
    fn gossip(&mut self, now: Instant) -> Option<Outgoing> {
        if self.is_full_mesh() || self.gossip_next_at.is_some_and(|at| at > now) {
            return None;
        }
        self.gossip_next_at = Some(now + self.settings.interval);
        let count = self.zones.near.len();
        if count == 0 {
            return None;
        }
        let node = self.zones.near[self.random.random_range(0..count)].clone();
        let is_wanted = self.is_reachable(&node) && !self.active.contains(&node);
        if is_wanted { self.heartbeat_to(now, &node, None, false) } else { None }
    }

    fn expire_accused(&mut self, now: Instant) {
        let lifetime = self.settings.accusation_lifetime;
        let members = &mut self.members;
        self.accused.retain(|node| {
            members.get_mut(node).is_some_and(|member| member.expire_accusations(now, lifetime))
        });
    }

    fn forget_old(&mut self, now: Instant) {
        if self.forget_next_at.is_some_and(|at| at > now) {
            return;
        }
        self.forget_next_at = Some(now + FORGET_INTERVAL);
        let forget_after = self.settings.forget_after;
        let is_old = |member: &Member| {
            let limit = if member.record.phase == MemberPhase::Left || member.is_retired() {
                DEPARTED_RETENTION
            } else {
                forget_after
            };
            let is_silent =
                member.is_excluded() || member.observed_reachability(now) == Some(Reachability::Silent);
            is_silent && now.saturating_duration_since(member.known_since) >= limit
        };
        let old = self.members.iter().filter(|(_, member)| is_old(member));
        let nodes: Vec<(NodeName, u64)> =
            old.map(|(node, member)| (node.clone(), member.record.process_id)).collect();
        for (node, process_id) in nodes {
            // Remove its hash from the bucket's digest.
            if let Some(member) = self.members.remove(&node) {
                self.digests.replace(bucket_of(member.rank), member.contribution, 0);
            }
            self.nodes_by_process.remove(&process_id);
            self.active.remove(&node);
            self.accused.remove(&node);
            self.are_zones_stale = true;
        }
    }
}
