//! What is due as time passes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::RngExt;
use umberpond_model::{Locality, NodeName};

use super::spread::Reach;
use super::{Membership, Outgoing};
use crate::digest::bucket_of;
use crate::member::{Member, Reachability};
use crate::neighbours::{Zones, neighbours};
use crate::note::MembershipEvent;
use crate::record::MemberPhase;

/// Time between two ticks from which on this process counts as not having run: it judges nobody by what it missed.
const STALLED_FROM: Duration = Duration::from_millis(400);
/// Time for which a node that has left is remembered, so that a late datagram does not bring it back.
const REMEMBER_LEFT: Duration = Duration::from_secs(30);
/// Time between two looks for nodes to be forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// Nodes of a zone that have to be silent, with none that is not, for the zone to count as cut off.
const SILENT_IN_CUT_ZONE: usize = 2;

/// What this node itself finds of the nodes of one zone that it watches.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneFinding {
    silent: usize,
    heard: usize,
}

impl ZoneFinding {
    const fn is_cut(self) -> bool {
        self.heard == 0 && self.silent >= SILENT_IN_CUT_ZONE
    }
}

impl Membership {
    /// Sends what is due. Call it several times in the shortest interval.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.excuse_if_stalled(now);
        self.refresh_neighbours(now);
        self.judge_neighbours(now);
        self.find_cut_zones(now);
        let mut outgoing = self.accuse_silent(now);
        outgoing.extend(self.send_due(now));
        outgoing.extend(self.gossip(now));
        outgoing.extend(self.flush_news(Reach::Relay));
        outgoing.extend(self.call_strangers(now));
        self.expire_suspects(now);
        self.forget_old(now);
        outgoing
    }

    /// After a time in which this process did not run, nobody is judged by what it did not hear meanwhile.
    fn excuse_if_stalled(&mut self, now: Instant) {
        self.first_tick_at.get_or_insert(now);
        let last = self.last_tick_at.replace(now);
        let Some(stalled_for) = last.map(|at| now.saturating_duration_since(at)) else { return };
        if stalled_for < STALLED_FROM {
            return;
        }
        for node in &self.active {
            if let Some(member) = self.members.get_mut(node) {
                member.excuse(now);
            }
        }
        self.note(MembershipEvent::Stalled { stalled_for });
    }

    /// Takes in that the machine was suspended for so long, which no clock of this core has counted: all that was heard is older by that. Nobody is judged by what was not heard
    /// meanwhile, and the neighbours are asked for an answer at once.
    pub fn on_suspended(&mut self, now: Instant, suspended: Duration) {
        let aged = |at: Option<Instant>| at.map(|at| at.checked_sub(suspended).unwrap_or(at));
        self.own_store_contact = aged(self.own_store_contact);
        self.last_store_contact = aged(self.last_store_contact);
        for member in self.members.values_mut() {
            member.on_suspended(now, suspended);
        }
    }

    /// Finds out anew whom this node watches, if the nodes that are not out have changed.
    fn refresh_neighbours(&mut self, now: Instant) {
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

    /// Finds out anew which neighbours can be reached, and leaves those alone with which nothing is exchanged any more.
    fn judge_neighbours(&mut self, now: Instant) {
        let active: Vec<NodeName> = self.active.iter().cloned().collect();
        for node in active {
            self.settle(now, &node);
            let call_back = self.settings.call_back_interval;
            let is_due =
                self.members.get(&node).is_some_and(|member| member.interval(now, call_back).is_some());
            if !is_due {
                self.active.remove(&node);
            }
        }
    }

    fn zone_findings(&self, now: Instant) -> BTreeMap<&Locality, ZoneFinding> {
        let mut findings: BTreeMap<&Locality, ZoneFinding> = BTreeMap::new();
        let watched = self.active.iter().filter_map(|node| self.members.get(node));
        for member in watched.filter(|member| !member.is_out()) {
            let finding = findings.entry(&member.record.locality).or_default();
            match member.own_finding(now) {
                Some(Reachability::Silent) => finding.silent += 1,
                Some(_) => finding.heard += 1,
                None => {}
            }
        }
        findings
    }

    /// A zone of which only silent nodes are known, though its own nodes have not found them silent, is cut off from here:
    /// nobody in it can be reached. The same holds for the own zone, if this node itself is cut off.
    fn find_cut_zones(&mut self, now: Instant) {
        if self.is_full_mesh() && self.cut.is_empty() {
            return;
        }
        let findings = self.zone_findings(now);
        let cut: BTreeSet<Locality> = findings
            .iter()
            .filter(|(_, finding)| finding.is_cut())
            .map(|(locality, _)| (*locality).clone())
            .collect();
        if cut == self.cut {
            return;
        }
        let silent_in = |locality: &Locality| findings.get(locality).map_or(0, |finding| finding.silent);
        let mut notes: Vec<MembershipEvent> = Vec::new();
        for locality in cut.difference(&self.cut) {
            let silent = silent_in(locality);
            notes.push(MembershipEvent::ZoneUnreachable { locality: locality.clone(), silent });
        }
        for locality in self.cut.difference(&cut) {
            notes.push(MembershipEvent::ZoneBack { locality: locality.clone() });
        }
        let changed: BTreeSet<Locality> = cut.symmetric_difference(&self.cut).cloned().collect();
        self.cut = cut;
        notes.into_iter().for_each(|note| self.note(note));
        let concerned = self.members.iter().filter(|(_, member)| changed.contains(&member.record.locality));
        let nodes: Vec<NodeName> = concerned.map(|(node, _)| node.clone()).collect();
        nodes.iter().for_each(|node| self.settle(now, node));
    }

    /// Tells others of neighbours that are silent, unless it may be this node that hears nobody.
    fn accuse_silent(&mut self, now: Instant) -> Vec<Outgoing> {
        let findings = self.zone_findings(now);
        if findings.values().all(|finding| finding.heard == 0) {
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
            member.on_accused_by_own(now);
            let accusation = member.accusation(self.own.life);
            let silent_for = now.saturating_duration_since(member.known_since);
            self.note(MembershipEvent::NeighbourSilent { node, silent_for });
            // Nothing of it concerns this node itself, so there is no answer.
            let _none = self.on_accusation(now, accusation);
        }
        self.flush_news(Reach::Origin)
    }

    fn send_due(&mut self, now: Instant) -> Vec<Outgoing> {
        let call_back = self.settings.call_back_interval;
        let mut due = Vec::new();
        for node in &self.active {
            let Some(member) = self.members.get_mut(node) else { continue };
            let Some(interval) = member.interval(now, call_back).filter(|_| member.send_next_at <= now)
            else {
                continue;
            };
            member.send_next_at = now + interval;
            due.push((node.clone(), member.needs_answer(now)));
        }
        let heartbeats = due.into_iter();
        heartbeats
            .filter_map(|(node, wants_response)| self.heartbeat_to(now, &node, None, wants_response))
            .collect()
    }

    /// A heartbeat to a node of the own zone that is no neighbour: what every heartbeat carries reaches all of the zone so
    /// in few hops, however long the ring is.
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

    fn expire_suspects(&mut self, now: Instant) {
        let lifetime = self.settings.accusation_lifetime;
        let members = &mut self.members;
        self.suspects.retain(|node| {
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
                REMEMBER_LEFT
            } else {
                forget_after
            };
            let is_silent = member.is_out() || member.own_finding(now) == Some(Reachability::Silent);
            is_silent && now.saturating_duration_since(member.known_since) >= limit
        };
        let old = self.members.iter().filter(|(_, member)| is_old(member));
        let nodes: Vec<(NodeName, u64)> =
            old.map(|(node, member)| (node.clone(), member.record.life)).collect();
        for (node, life) in nodes {
            // What it added to its bucket's digest goes with it.
            if let Some(member) = self.members.remove(&node) {
                self.digests.replace(bucket_of(member.rank), member.contribution, 0);
            }
            self.lives.remove(&life);
            self.active.remove(&node);
            self.suspects.remove(&node);
            self.are_zones_stale = true;
        }
    }
}
