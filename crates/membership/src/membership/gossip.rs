//! Gossip of membership updates.
//!
//! Each node that receives an update forwards it to a few random nodes of its zone, so that it reaches all of
//! them within a few hops. Fewer updates are sent between zones, because that traffic is expensive: the node
//! where the update originates sends it to one node of each other zone, and the nodes of its zone that
//! receive it together forward it to a few more.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::seq::IteratorRandom;
use umberpond_model::{NodeName, Version};

use super::{Membership, Outgoing};
use crate::heartbeat::{Accusation, Datagram, MembershipUpdate};
use crate::member::{Member, Reachability};
use crate::record::MemberRecord;

/// Maximum number of records in one datagram. A record takes about 150 bytes.
const MAX_RECORDS: usize = 8;
/// Maximum number of accusations in one datagram. An accusation takes about 25 bytes.
const MAX_ACCUSATIONS: usize = 48;
/// Time after a response from the store during which a node announces a version like the first node of its
/// zone to hold it.
const IS_READER: Duration = Duration::from_secs(2);

/// Whether this node is the origin of an update, which determines how widely it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateRole {
    /// The update originates at this node.
    Origin,
    /// This node has received the update from another one.
    Relay,
}

/// Updates that have not been forwarded yet.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    is_own_changed: bool,
    nodes: BTreeSet<NodeName>,
    /// The subset of `nodes` that has just become known.
    new_nodes: BTreeSet<NodeName>,
    accusations: Vec<Accusation>,
}

impl PendingUpdates {
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

    /// Drops a record from the pending updates: no other node lacks it.
    pub(super) fn remove_record(&mut self, node: &NodeName) {
        self.nodes.remove(node);
        self.new_nodes.remove(node);
    }

    /// Drops accusations from the pending updates: no other node lacks them.
    pub(super) fn remove_accusations(&mut self, accusations: &[Accusation]) {
        self.accusations.retain(|accusation| !accusations.contains(accusation));
    }

    pub(super) fn add_accusation(&mut self, accusation: Accusation) {
        self.accusations.push(accusation);
    }
}

impl Membership {
    /// Sends the pending updates.
    pub(super) fn flush_updates(&mut self, role: UpdateRole) -> Vec<Outgoing> {
        let mut pending = std::mem::take(&mut self.pending);
        if self.is_full_mesh() {
            // In a full mesh each node sends its own updates to all others, so only newly discovered nodes
            // are forwarded.
            pending = PendingUpdates { nodes: pending.new_nodes, ..PendingUpdates::default() };
        }
        let mut near = MembershipUpdate { accusations: pending.accusations, ..MembershipUpdate::default() };
        let mut from_here = MembershipUpdate::default();
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
        outgoing.extend(self.send_to_other_zones(role, &from_here));
        outgoing
    }

    fn send_to_own_zone(&mut self, update: &MembershipUpdate) -> Vec<Outgoing> {
        if update.is_empty() {
            return Vec::new();
        }
        let forwarders = forwarders(&self.zones.near, &self.members, &self.accused);
        let targets = forwarders.sample(&mut self.random, self.settings.gossip_fanout);
        targets.into_iter().flat_map(|to| update_datagrams(to, update)).collect()
    }

    fn send_to_other_zones(&mut self, role: UpdateRole, update: &MembershipUpdate) -> Vec<Outgoing> {
        if update.is_empty() {
            return Vec::new();
        }
        let mut outgoing = Vec::new();
        let chance = self.relay_chance();
        for nodes in self.zones.far.values() {
            if role == UpdateRole::Origin || self.random.random_bool(chance) {
                let forwarders = forwarders(nodes, &self.members, &self.accused);
                let targets = forwarders.choose(&mut self.random);
                outgoing.extend(targets.into_iter().flat_map(|to| update_datagrams(to, update)));
            }
        }
        outgoing
    }

    /// Probability with which each node of the zone forwards an update to another zone, so that the expected
    /// number of forwards is the configured one.
    fn relay_chance(&self) -> f64 {
        // Newly listed join candidates will soon forward updates too.
        let count = self.zones.near.len().max(self.joining.near_recent_candidate_count()) + 1;
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        (self.settings.relays_between_zones / f64::from(count)).min(1.0)
    }

    /// Datagrams with the records and accusations that the receiver lacks.
    pub(super) fn repair_to(
        to: SocketAddr,
        records: Vec<MemberRecord>,
        accusations: Vec<Accusation>,
    ) -> Vec<Outgoing> {
        update_datagrams(to, &MembershipUpdate { records, accusations, is_repair: true })
    }

    /// Whether updates that concern all nodes are sent to all of them by the node where they originate.
    #[must_use]
    pub fn broadcasts_to_all(&self) -> bool {
        self.is_full_mesh()
    }

    /// Addresses to which updates that concern all nodes are sent immediately: all nodes in a full mesh,
    /// otherwise a random sample that forwards them.
    pub fn audience(&mut self) -> Vec<SocketAddr> {
        let count = if self.broadcasts_to_all() { usize::MAX } else { self.settings.gossip_fanout };
        self.sample_reachable(count)
    }

    /// Addresses of a random sample of up to `count` reachable nodes.
    pub fn sample_reachable(&mut self, count: usize) -> Vec<SocketAddr> {
        let reachable = self.members.values().filter(|member| member.reachability == Reachability::Reachable);
        let addresses = reachable.map(|member| member.record.control);
        addresses.sample(&mut self.random, count)
    }

    /// Nodes to which a version is announced: some of the own zone that are not known to hold it, and at
    /// times one of each other zone.
    pub(super) fn announcement_targets(&mut self, now: Instant, version: Version) -> Vec<NodeName> {
        let is_behind = |node: &&NodeName| {
            self.members.get(*node).is_some_and(|member| {
                member.reachability != Reachability::Silent && member.configuration.version < Some(version)
            })
        };
        if self.is_full_mesh() {
            // All members, including those that became known after the neighbours were last chosen.
            return self.members.keys().filter(is_behind).cloned().collect();
        }
        let near = self.zones.near.iter().filter(is_behind);
        let mut targets: Vec<NodeName> =
            near.sample(&mut self.random, self.settings.gossip_fanout).into_iter().cloned().collect();
        let has_read = self.own_store_contact.is_some_and(|at| now.saturating_duration_since(at) < IS_READER);
        let chance = self.relay_chance();
        for nodes in self.zones.far.values() {
            let is_announced = has_read || self.random.random_bool(chance);
            let one = nodes.iter().filter(is_behind).choose(&mut self.random);
            targets.extend(one.filter(|_| is_announced).cloned());
        }
        targets
    }
}

/// Addresses of the nodes among `nodes` that can forward updates: those that are reachable and not accused.
fn forwarders<'a>(
    nodes: &'a [NodeName],
    members: &'a BTreeMap<NodeName, Member>,
    accused: &'a BTreeSet<NodeName>,
) -> impl Iterator<Item = SocketAddr> + 'a {
    let reachable = nodes.iter().filter_map(|node| members.get(node));
    let reachable = reachable.filter(|member| member.reachability == Reachability::Reachable);
    let trusted = reachable.filter(|member| !accused.contains(&member.record.node));
    trusted.map(|member| member.record.control)
}

/// Splits an update into datagrams to one node.
fn update_datagrams(to: SocketAddr, update: &MembershipUpdate) -> Vec<Outgoing> {
    let parts = split_update(update).into_iter();
    parts.map(|part| Outgoing { to, datagram: Datagram::MembershipUpdate(part) }).collect()
}

fn split_update(update: &MembershipUpdate) -> Vec<MembershipUpdate> {
    let records = update.records.chunks(MAX_RECORDS);
    let mut parts: Vec<MembershipUpdate> =
        records.map(|records| MembershipUpdate { records: records.to_vec(), ..empty_part(update) }).collect();
    for accusations in update.accusations.chunks(MAX_ACCUSATIONS) {
        match parts.last_mut().filter(|part| part.accusations.is_empty()) {
            Some(part) => part.accusations = accusations.to_vec(),
            None => parts.push(MembershipUpdate { accusations: accusations.to_vec(), ..empty_part(update) }),
        }
    }
    parts
}

const fn empty_part(update: &MembershipUpdate) -> MembershipUpdate {
    MembershipUpdate { records: Vec::new(), accusations: Vec::new(), is_repair: update.is_repair }
}
