//! Choice of the witnesses of a version.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{Locality, Member, NodeName};

/// Largest number of witnesses; one per zone at the planned size.
pub const MAX_WITNESSES: usize = 15;

/// Smallest number of witnesses that survives the loss of one.
const MIN_WITNESSES: usize = 3;

/// The machines that may become witnesses, as the accepting node knows them.
pub trait WitnessCandidates: Send + Sync + 'static {
    /// Live machines that are not leaving. Empty if none are known.
    fn candidates(&self) -> Vec<Member>;
}

impl<F: Fn() -> Vec<Member> + Send + Sync + 'static> WitnessCandidates for F {
    fn candidates(&self) -> Vec<Member> {
        self()
    }
}

/// Chooses the witnesses of the next version.
///
/// The count is odd: one witness per zone where there are at least three zones, at most [`MAX_WITNESSES`];
/// otherwise three, or one where there are fewer than three nodes. Previous witnesses that are still candidates
/// stay, as far as the count and the spread over zones allow; free places go to the zone with the fewest
/// witnesses and there to the node with the highest rendezvous hash. Without candidates nothing changes.
#[must_use]
pub fn choose_witnesses(candidates: &[Member], previous: &[NodeName]) -> Vec<NodeName> {
    if candidates.is_empty() {
        return previous.to_vec();
    }
    let by_name: BTreeMap<&NodeName, &Locality> =
        candidates.iter().map(|member| (&member.node, &member.locality)).collect();
    let zones: BTreeSet<&Locality> = by_name.values().copied().collect();
    let count = witness_count(by_name.len(), zones.len());
    let per_zone = count.div_ceil(zones.len());
    let mut choice = Choice { per_zone, ..Choice::default() };
    for node in previous {
        if let Some(locality) = by_name.get(node).filter(|_| choice.nodes.len() < count) {
            choice.keep(node, locality);
        }
    }
    while choice.nodes.len() < count {
        let Some((node, locality)) = choice.best_of(&by_name) else {
            break;
        };
        choice.add(node, locality);
    }
    choice.nodes.into_iter().cloned().collect()
}

const fn witness_count(nodes: usize, zones: usize) -> usize {
    if nodes < MIN_WITNESSES {
        return 1;
    }
    if zones < MIN_WITNESSES {
        return MIN_WITNESSES;
    }
    let most = if zones < MAX_WITNESSES { zones } else { MAX_WITNESSES };
    // The largest odd number that is not larger.
    (most - 1) / 2 * 2 + 1
}

#[derive(Default)]
struct Choice<'a> {
    nodes: BTreeSet<&'a NodeName>,
    in_zone: BTreeMap<&'a Locality, usize>,
    per_zone: usize,
}

impl<'a> Choice<'a> {
    fn witnesses_in(&self, locality: &Locality) -> usize {
        self.in_zone.get(locality).copied().unwrap_or_default()
    }

    fn keep(&mut self, node: &'a NodeName, locality: &'a Locality) {
        if self.witnesses_in(locality) < self.per_zone {
            self.add(node, locality);
        }
    }

    fn add(&mut self, node: &'a NodeName, locality: &'a Locality) {
        if self.nodes.insert(node) {
            *self.in_zone.entry(locality).or_default() += 1;
        }
    }

    fn best_of(
        &self,
        candidates: &BTreeMap<&'a NodeName, &'a Locality>,
    ) -> Option<(&'a NodeName, &'a Locality)> {
        candidates
            .iter()
            .filter(|(node, _)| !self.nodes.contains(*node))
            .min_by_key(|(node, locality)| (self.witnesses_in(locality), std::cmp::Reverse(rendezvous(node))))
            .map(|(node, locality)| (*node, *locality))
    }
}

/// Rendezvous hash of a node as a witness.
fn rendezvous(node: &NodeName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(b"witness\0");
    hasher.update(node.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
