//! Whom a node watches.
//!
//! The nodes of a zone form a ring, in an order that is the same on every node; each one watches a few on either side of
//! it, so each is watched by as many. Of every other zone it watches one, to know whether anything passes there; where that
//! one is silent, it looks at the next ones before it takes the zone for cut off.

use std::collections::BTreeMap;
use std::time::Duration;

use umberpond_model::{Locality, NodeName};

use crate::member::{Member, Reachability, Watch};
use crate::settings::MembershipSettings;

/// Nodes of another zone at which a node looks at most.
const MAX_LOOKS_AT_A_ZONE: usize = 3;

/// The nodes that are not out, by zone, in the order of the ring.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    pub(crate) near: Vec<NodeName>,
    pub(crate) far: BTreeMap<Locality, Vec<NodeName>>,
}

impl Zones {
    pub(crate) fn of(own: &Locality, members: &BTreeMap<NodeName, Member>) -> Self {
        let mut by_zone: BTreeMap<&Locality, Vec<(u64, &NodeName)>> = BTreeMap::new();
        for (node, member) in members.iter().filter(|(_, member)| !member.is_out()) {
            by_zone.entry(&member.record.locality).or_default().push((member.rank, node));
        }
        let mut zones = Self::default();
        for (locality, mut ranked) in by_zone {
            ranked.sort_unstable();
            let nodes = ranked.into_iter().map(|(_, node)| node.clone()).collect();
            if locality == own {
                zones.near = nodes;
            } else {
                zones.far.insert(locality.clone(), nodes);
            }
        }
        zones
    }

    pub(crate) fn count(&self) -> usize {
        self.near.len() + self.far.values().map(Vec::len).sum::<usize>()
    }

    /// All nodes, nearest first.
    pub(crate) fn all(&self) -> impl Iterator<Item = &NodeName> {
        self.near.iter().chain(self.far.values().flatten())
    }
}

/// The nodes that a node of rank `own_rank` watches, and how.
pub(crate) fn neighbours(
    settings: &MembershipSettings,
    own_rank: u64,
    zones: &Zones,
    members: &BTreeMap<NodeName, Member>,
    is_full_mesh: bool,
) -> BTreeMap<NodeName, Watch> {
    let near = watch(settings.interval, settings.missed_intervals, true);
    if is_full_mesh {
        // Everybody finds out for itself, so nobody needs to be told.
        let near = Watch { tells_others: false, ..near };
        return zones.all().map(|node| (node.clone(), near)).collect();
    }
    let far = watch(settings.far_interval, settings.far_missed_intervals, false);
    let next_look = watch(settings.interval, settings.missed_intervals, false);
    let mut chosen = BTreeMap::new();
    for nodes in zones.far.values() {
        let looks = looks_at_zone(own_rank, zones.near.len(), nodes, &zones.near, members);
        for (index, node) in looks.into_iter().enumerate() {
            chosen.insert(node.clone(), if index == 0 { far } else { next_look });
        }
    }
    let wanted = settings.neighbours_a_side * 2;
    let ring = around(own_rank, &zones.near, settings.neighbours_a_side, members);
    let missing = wanted.saturating_sub(ring.len());
    chosen.extend(ring.into_iter().map(|node| (node.clone(), near)));
    if missing > 0 {
        // A zone too small to find its own silent nodes is helped by others.
        let mut others: Vec<NodeName> = zones.far.values().flatten().cloned().collect();
        others.sort_unstable_by_key(|node| (rank_in(members, node), node.clone()));
        let helping = around(own_rank, &others, missing.div_ceil(2), members);
        chosen.extend(helping.into_iter().map(|node| (node.clone(), near)));
    }
    chosen
}

const fn watch(interval: Duration, missed: u32, tells_others: bool) -> Watch {
    Watch { interval, silence: interval.saturating_mul(missed), tells_others }
}

/// The `a_side` nodes on each side of `own_rank` in a ring.
fn around<'a>(
    own_rank: u64,
    ring: &'a [NodeName],
    a_side: usize,
    members: &BTreeMap<NodeName, Member>,
) -> Vec<&'a NodeName> {
    let count = ring.len();
    if count <= a_side * 2 {
        return ring.iter().collect();
    }
    let after = ring.partition_point(|node| rank_in(members, node) < own_rank);
    let before = after + count - a_side;
    (0..a_side * 2).map(|step| &ring[(before + step) % count]).collect()
}

/// The nodes of another zone at which this node looks: the one at its own place in the ring, and the next ones as long
/// as those before are silent.
fn looks_at_zone<'a>(
    own_rank: u64,
    near_count: usize,
    nodes: &'a [NodeName],
    near: &[NodeName],
    members: &BTreeMap<NodeName, Member>,
) -> Vec<&'a NodeName> {
    let place = near.partition_point(|node| rank_in(members, node) < own_rank);
    let first = place * nodes.len() / (near_count + 1);
    let mut looks = Vec::new();
    for step in 0..nodes.len().min(MAX_LOOKS_AT_A_ZONE) {
        let node = &nodes[(first + step) % nodes.len()];
        looks.push(node);
        let is_silent = members.get(node).is_some_and(|member| member.reachability == Reachability::Silent);
        if !is_silent {
            break;
        }
    }
    looks
}

fn rank_in(members: &BTreeMap<NodeName, Member>, node: &NodeName) -> u64 {
    members.get(node).map_or(0, |member| member.rank)
}
