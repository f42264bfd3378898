//! The tree of a zone, derived from the ranks of its members.
//!
//! Members are ranked by rendezvous hashing. The first ranks are readers; the next ranks are relays, in levels:
//! each level has as many relays as the level above can take children. All other members are leaves and may attach
//! to any relay. Parents are ordered by a hash of the pair, so a change of one member moves few others.

use umberpond_model::{Locality, NodeName};

use crate::{Limits, Role};

/// Rank of a node among the members of its zone; the lowest value is the first rank.
#[must_use]
pub(crate) fn rank(node: &NodeName, locality: &Locality) -> u64 {
    hash_of(&[node.as_str(), locality.region.as_str(), locality.zone.as_str()])
}

/// Preference of a child for a parent; the lowest value is preferred.
fn preference(child: &NodeName, parent: &NodeName) -> u64 {
    hash_of(&[child.as_str(), parent.as_str()])
}

fn hash_of(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Readers and relays of one zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ZonePlan {
    readers: Vec<NodeName>,
    levels: Vec<Vec<NodeName>>,
}

impl ZonePlan {
    /// The plan for members in the order of their ranks; `count` is how many there are.
    pub(crate) fn new<'a>(
        mut ranked: impl Iterator<Item = &'a NodeName>,
        count: usize,
        limits: &Limits,
    ) -> Self {
        let readers: Vec<NodeName> = ranked.by_ref().take(limits.readers_per_zone).cloned().collect();
        let mut relays_left = relay_count(count, limits);
        let mut width = limits.relay_arity * readers.len();
        let mut levels = Vec::new();
        while relays_left > 0 && width > 0 {
            let level: Vec<NodeName> = ranked.by_ref().take(width.min(relays_left)).cloned().collect();
            if level.is_empty() {
                break;
            }
            relays_left -= level.len();
            width = level.len() * limits.relay_arity;
            levels.push(level);
        }
        Self { readers, levels }
    }

    /// Readers of the zone.
    pub(crate) fn readers(&self) -> &[NodeName] {
        &self.readers
    }

    /// Role of a member by its rank.
    pub(crate) fn role_of(&self, node: &NodeName) -> Role {
        if self.readers.contains(node) {
            return Role::Reader;
        }
        if self.level_of(node).is_some() {
            return Role::Relay;
        }
        Role::Leaf
    }

    /// Nodes that `node` may attach to in `role`, best first.
    pub(crate) fn parents_of(&self, node: &NodeName, role: Role) -> Vec<NodeName> {
        match role {
            Role::Reader => Vec::new(),
            Role::Witness => {
                let mut parents = self.by_preference(node, self.readers.iter());
                parents.extend(self.by_preference(node, self.levels.iter().flatten()));
                parents
            }
            Role::Relay => self.relay_parents(node),
            Role::Leaf if self.levels.is_empty() => self.by_preference(node, self.readers.iter()),
            Role::Leaf => self.by_preference(node, self.levels.iter().flatten()),
        }
    }

    fn relay_parents(&self, node: &NodeName) -> Vec<NodeName> {
        let readers = self.by_preference(node, self.readers.iter());
        let level = self.level_of(node).unwrap_or(self.levels.len());
        if level == 0 {
            return readers;
        }
        let mut parents = self.by_preference(node, self.levels[level - 1].iter());
        parents.truncate(2);
        parents.extend(readers);
        parents
    }

    fn level_of(&self, node: &NodeName) -> Option<usize> {
        self.levels.iter().position(|level| level.contains(node))
    }

    fn by_preference<'a>(
        &self,
        child: &NodeName,
        candidates: impl Iterator<Item = &'a NodeName>,
    ) -> Vec<NodeName> {
        let mut parents: Vec<(u64, &NodeName)> = candidates
            .filter(|parent| *parent != child)
            .map(|parent| (preference(child, parent), parent))
            .collect();
        parents.sort_unstable();
        parents.into_iter().map(|(_, parent)| parent.clone()).collect()
    }
}

/// Relays of a zone of `count` members: none while the readers alone can serve all others.
fn relay_count(count: usize, limits: &Limits) -> usize {
    let others = count.saturating_sub(limits.readers_per_zone);
    if others <= limits.nodes_per_relay { 0 } else { others.div_ceil(limits.nodes_per_relay + 1) }
}
