//! Selects the nodes that a node monitors.
//!
//! The nodes of a zone form a ring, in an order that is the same on all nodes. Each node monitors a few on
//! either side, so that as many monitor it. In every other zone it monitors one node, to detect whether the
//! zone is reachable. If that node is silent, it probes the next ones before it considers the zone
//! unreachable.

use std::collections::BTreeMap;
use std::time::Duration;

use umberpond_model::{Locality, NodeName};

use crate::member::{Member, Reachability, Watch};
use crate::settings::MembershipSettings;

/// Maximum number of nodes probed in another zone.
const MAX_PROBES_PER_ZONE: usize = 3;

/// The nodes that are not excluded, by zone, in ring order.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    pub(crate) near: Vec<NodeName>,
    pub(crate) far: BTreeMap<Locality, Vec<NodeName>>,
}

impl Zones {
    pub(crate) fn of(own: &Locality, members: &BTreeMap<NodeName, Member>) -> Self {
        let mut by_zone: BTreeMap<&Locality, Vec<(u64, &NodeName)>> = BTreeMap::new();
        for (node, member) in members.iter().filter(|(_, member)| !member.is_excluded()) {
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

    /// All nodes, those of the own zone first.
    pub(crate) fn all(&self) -> impl Iterator<Item = &NodeName> {
        self.near.iter().chain(self.far.values().flatten())
    }
}

/// The nodes that a node with rank `own_rank` monitors, and how.
pub(crate) fn neighbours(
    settings: &MembershipSettings,
    own_rank: u64,
    zones: &Zones,
    members: &BTreeMap<NodeName, Member>,
    is_full_mesh: bool,
) -> BTreeMap<NodeName, Watch> {
    let near = watch(settings.interval, settings.missed_intervals, true);
    if is_full_mesh {
        // Each node detects failures itself, so accusations are not needed.
        let near = Watch { sends_accusations: false, ..near };
        return zones.all().map(|node| (node.clone(), near)).collect();
    }
    let far = watch(settings.far_interval, settings.far_missed_intervals, false);
    let next_probe = watch(settings.interval, settings.missed_intervals, false);
    let mut chosen = BTreeMap::new();
    for nodes in zones.far.values() {
        let probes = zone_probes(own_rank, zones.near.len(), nodes, &zones.near, members);
        for (index, node) in probes.into_iter().enumerate() {
            chosen.insert(node.clone(), if index == 0 { far } else { next_probe });
        }
    }
    let wanted = settings.neighbours_per_side * 2;
    let ring = ring_neighbours(own_rank, &zones.near, settings.neighbours_per_side, members);
    let missing = wanted.saturating_sub(ring.len());
    chosen.extend(ring.into_iter().map(|node| (node.clone(), near)));
    if missing > 0 {
        // A zone too small to detect its own silent nodes is monitored by nodes of other zones.
        let mut others: Vec<NodeName> = zones.far.values().flatten().cloned().collect();
        others.sort_unstable_by_key(|node| (rank_in(members, node), node.clone()));
        let helping = ring_neighbours(own_rank, &others, missing.div_ceil(2), members);
        chosen.extend(helping.into_iter().map(|node| (node.clone(), near)));
    }
    chosen
}

const fn watch(interval: Duration, missed: u32, sends_accusations: bool) -> Watch {
    Watch { interval, silence_timeout: interval.saturating_mul(missed), sends_accusations }
}

/// The `per_side` nodes on each side of `own_rank` in the ring.
fn ring_neighbours<'a>(
    own_rank: u64,
    ring: &'a [NodeName],
    per_side: usize,
    members: &BTreeMap<NodeName, Member>,
) -> Vec<&'a NodeName> {
    let count = ring.len();
    if count <= per_side * 2 {
        return ring.iter().collect();
    }
    let after = ring.partition_point(|node| rank_in(members, node) < own_rank);
    let before = after + count - per_side;
    (0..per_side * 2).map(|step| &ring[(before + step) % count]).collect()
}

/// The nodes of another zone that this node probes: the one at its own relative position in the ring, and the
/// next ones as long as the previous ones are silent.
fn zone_probes<'a>(
    own_rank: u64,
    near_count: usize,
    nodes: &'a [NodeName],
    near: &[NodeName],
    members: &BTreeMap<NodeName, Member>,
) -> Vec<&'a NodeName> {
    let place = near.partition_point(|node| rank_in(members, node) < own_rank);
    let first = place * nodes.len() / (near_count + 1);
    let mut probes = Vec::new();
    for step in 0..nodes.len().min(MAX_PROBES_PER_ZONE) {
        let node = &nodes[(first + step) % nodes.len()];
        probes.push(node);
        let is_silent = members.get(node).is_some_and(|member| member.reachability == Reachability::Silent);
        if !is_silent {
            break;
        }
    }
    probes
}

fn rank_in(members: &BTreeMap<NodeName, Member>, node: &NodeName) -> u64 {
    members.get(node).map_or(0, |member| member.rank)
}
