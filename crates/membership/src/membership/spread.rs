//! Passes on what has changed.
//!
//! Whoever learns something new passes it on to a few nodes of its zone, drawn at random, so that all hear it within a few
//! hops. Between zones news travel less often, since those bytes are dear: the node concerned tells one node of each other
//! zone, and those of its zone that learn of it tell a few more, whoever of them it is.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::seq::IteratorRandom;
use umberpond_model::{NodeName, Version};

use super::{Membership, Outgoing};
use crate::heartbeat::{Accusation, Datagram, News};
use crate::member::{Member, Reachability};
use crate::record::MemberRecord;

/// Most records in one datagram; one has about 150 bytes.
const MAX_RECORDS: usize = 8;
/// Most findings in one datagram; one has about 25 bytes.
const MAX_ACCUSATIONS: usize = 48;
/// Time since a node has heard from the store within which it tells of a version as the first of its zone would.
const IS_READER: Duration = Duration::from_secs(2);

/// How far news are passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reach {
    /// By the node where they begin.
    Origin,
    /// By a node that has learnt them from another one.
    Relay,
}

/// News that were not passed on yet.
#[derive(Debug, Default)]
pub(super) struct PendingNews {
    is_own_changed: bool,
    nodes: BTreeSet<NodeName>,
    /// Those of them that were not known before.
    new_nodes: BTreeSet<NodeName>,
    accusations: Vec<Accusation>,
}

impl PendingNews {
    pub(super) const fn add_own(&mut self) {
        self.is_own_changed = true;
    }

    pub(super) fn add_record(&mut self, node: &NodeName) {
        self.nodes.insert(node.clone());
    }

    pub(super) fn add_new_member(&mut self, node: &NodeName) {
        self.nodes.insert(node.clone());
        self.new_nodes.insert(node.clone());
    }

    /// Leaves a record out: nobody else lacks it.
    pub(super) fn remove_record(&mut self, node: &NodeName) {
        self.nodes.remove(node);
        self.new_nodes.remove(node);
    }

    /// Leaves findings out: nobody else lacks them.
    pub(super) fn remove_accusations(&mut self, accusations: &[Accusation]) {
        self.accusations.retain(|accusation| !accusations.contains(accusation));
    }

    pub(super) fn add_accusation(&mut self, accusation: Accusation) {
        self.accusations.push(accusation);
    }
}

impl Membership {
    /// Passes on what is pending.
    pub(super) fn flush_news(&mut self, reach: Reach) -> Vec<Outgoing> {
        let mut pending = std::mem::take(&mut self.pending);
        if self.is_full_mesh() {
            // Where everybody hears from everybody, each tells its own news, to all that it knows.
            pending = PendingNews { nodes: pending.new_nodes, ..PendingNews::default() };
        }
        let mut near = News { accusations: pending.accusations, ..News::default() };
        let mut from_here = News::default();
        if pending.is_own_changed {
            near.records.push(self.own.clone());
            from_here.records.push(self.own.clone());
        }
        for node in &pending.nodes {
            let Some(member) = self.members.get(node) else { continue };
            near.records.push(member.record.clone());
            if member.record.locality == self.own.locality {
                from_here.records.push(member.record.clone());
            }
        }
        let is_from_here = |accusation: &&Accusation| {
            self.member_of(accusation.against)
                .is_some_and(|member| member.record.locality == self.own.locality)
        };
        from_here.accusations = near.accusations.iter().filter(is_from_here).copied().collect();
        let mut outgoing = self.send_to_own_zone(&near);
        outgoing.extend(self.send_to_other_zones(reach, &from_here));
        outgoing
    }

    fn send_to_own_zone(&mut self, news: &News) -> Vec<Outgoing> {
        if news.is_empty() {
            return Vec::new();
        }
        let listening = listening(&self.zones.near, &self.members, &self.suspects);
        let told = listening.sample(&mut self.random, self.settings.news_fanout);
        told.into_iter().flat_map(|to| addressed(to, news)).collect()
    }

    fn send_to_other_zones(&mut self, reach: Reach, news: &News) -> Vec<Outgoing> {
        if news.is_empty() {
            return Vec::new();
        }
        let mut outgoing = Vec::new();
        let chance = self.relay_chance();
        for nodes in self.zones.far.values() {
            if reach == Reach::Origin || self.random.random_bool(chance) {
                let listening = listening(nodes, &self.members, &self.suspects);
                let told = listening.choose(&mut self.random);
                outgoing.extend(told.into_iter().flat_map(|to| addressed(to, news)));
            }
        }
        outgoing
    }

    /// Chance with which each node of the zone passes on what all of them learn, so that the wanted number does.
    fn relay_chance(&self) -> f64 {
        // Those that the store has just named will soon pass on news too.
        let count = self.zones.near.len().max(self.joining.near_young_count()) + 1;
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        (self.settings.relays_between_zones / f64::from(count)).min(1.0)
    }

    /// What a node lacks.
    pub(super) fn repair_to(
        to: SocketAddr,
        records: Vec<MemberRecord>,
        accusations: Vec<Accusation>,
    ) -> Vec<Outgoing> {
        addressed(to, &News { records, accusations, is_repair: true })
    }

    /// Whether what concerns all nodes is told to all of them by whoever finds it.
    #[must_use]
    pub fn broadcasts_to_all(&self) -> bool {
        self.is_full_mesh()
    }

    /// Addresses of the nodes that are told at once what concerns all nodes: all, or some that pass it on.
    pub fn audience(&mut self) -> Vec<SocketAddr> {
        let count = if self.broadcasts_to_all() { usize::MAX } else { self.settings.news_fanout };
        self.sample_reachable(count)
    }

    /// Addresses of up to `count` nodes that can be reached, drawn at random.
    pub fn sample_reachable(&mut self, count: usize) -> Vec<SocketAddr> {
        let reachable = self.members.values().filter(|member| member.reachability == Reachability::Reachable);
        let addresses = reachable.map(|member| member.record.control);
        addresses.sample(&mut self.random, count)
    }

    /// Nodes to be told of a version: some of the own zone that are not known to hold it, and now and then one of another.
    pub(super) fn behind(&mut self, now: Instant, version: Version) -> Vec<NodeName> {
        let is_behind = |node: &&NodeName| {
            self.members.get(*node).is_some_and(|member| {
                member.reachability != Reachability::Silent && member.configuration.version < Some(version)
            })
        };
        if self.is_full_mesh() {
            // All that are known, also those that were met since the neighbours were chosen last.
            return self.members.keys().filter(is_behind).cloned().collect();
        }
        let near = self.zones.near.iter().filter(is_behind);
        let mut told: Vec<NodeName> =
            near.sample(&mut self.random, self.settings.news_fanout).into_iter().cloned().collect();
        let has_read = self.own_store_contact.is_some_and(|at| now.saturating_duration_since(at) < IS_READER);
        let chance = self.relay_chance();
        for nodes in self.zones.far.values() {
            let is_told = has_read || self.random.random_bool(chance);
            let one = nodes.iter().filter(is_behind).choose(&mut self.random);
            told.extend(one.filter(|_| is_told).cloned());
        }
        told
    }
}

/// Addresses of those of `nodes` that can be reached. One that some find silent would not pass news on.
fn listening<'a>(
    nodes: &'a [NodeName],
    members: &'a BTreeMap<NodeName, Member>,
    suspects: &'a BTreeSet<NodeName>,
) -> impl Iterator<Item = SocketAddr> + 'a {
    let reachable = nodes.iter().filter_map(|node| members.get(node));
    let reachable = reachable.filter(|member| member.reachability == Reachability::Reachable);
    let trusted = reachable.filter(|member| !suspects.contains(&member.record.node));
    trusted.map(|member| member.record.control)
}

/// The datagrams in which news travel to one node.
fn addressed(to: SocketAddr, news: &News) -> Vec<Outgoing> {
    let parts = in_parts(news).into_iter();
    parts.map(|part| Outgoing { to, datagram: Datagram::News(part) }).collect()
}

fn in_parts(news: &News) -> Vec<News> {
    let records = news.records.chunks(MAX_RECORDS);
    let mut parts: Vec<News> =
        records.map(|records| News { records: records.to_vec(), ..part_of(news) }).collect();
    for accusations in news.accusations.chunks(MAX_ACCUSATIONS) {
        match parts.last_mut().filter(|part| part.accusations.is_empty()) {
            Some(part) => part.accusations = accusations.to_vec(),
            None => parts.push(News { accusations: accusations.to_vec(), ..part_of(news) }),
        }
    }
    parts
}

const fn part_of(news: &News) -> News {
    News { records: Vec::new(), accusations: Vec::new(), is_repair: news.is_repair }
}
