//! Multi-probe consistent hashing (Appleton and O'Reilly, 2015): the same key meets the same endpoint on every node, a
//! change of the membership moves only the keys of the endpoint that came or went, and a look-up doesn't depend on how
//! many endpoints there are.
//!
//! Every endpoint has a few points on a ring of 64-bit positions. A key probes the ring at several positions, and the
//! probe that lies nearest before a point chooses that point's endpoint.

use std::sync::Arc;

use umberpond_model::{ContentHash, NodeName};

use crate::endpoint::Endpoint;

/// Points of one endpoint.
const POINTS: u64 = 8;
/// Probes of one key. Each evens out the shares; each costs a look-up.
const PROBES: u64 = 8;
/// Keeps the points of an endpoint apart from the probes of a key.
const POINT_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash of a node's name, computed once per endpoint; the same in every process.
pub(crate) fn node_hash(node: &NodeName) -> u64 {
    hash_bytes(node.as_str().as_bytes())
}

/// Hash of a caller's key; the same in every process.
pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    let digest = ContentHash::of(bytes);
    let (head, _) = digest.as_bytes().split_first_chunk::<8>().expect("a digest holds 32 bytes");
    u64::from_le_bytes(*head)
}

/// Endpoints arranged for choice by key, in the order of their hashes.
#[derive(Debug, Default)]
pub(crate) struct KeyedEndpoints {
    endpoints: Vec<Arc<Endpoint>>,
    ring: Arc<Ring>,
}

/// The points of a set of endpoints. Depends on their hashes alone, so it outlives changes of their states.
#[derive(Debug, Default)]
struct Ring {
    /// Hashes of the endpoints, in order.
    hashes: Vec<u64>,
    /// Points by position, and for each the index of its endpoint.
    positions: Vec<u64>,
    owners: Vec<u32>,
    /// For each of equal parts of the ring the index of its first point.
    first_points: Vec<u32>,
    /// Bits by which a position is shifted to get its part.
    shift: u32,
}

impl KeyedEndpoints {
    /// Arranges `endpoints`; takes the ring of `previous` over if the set is the same.
    pub(crate) fn new(mut endpoints: Vec<Arc<Endpoint>>, previous: &Self) -> Self {
        endpoints.sort_by_key(|endpoint| endpoint.hash);
        let is_same = endpoints.iter().map(|endpoint| &endpoint.hash).eq(&previous.ring.hashes);
        if is_same {
            return Self { endpoints, ring: Arc::clone(&previous.ring) };
        }
        let ring = Ring::new(endpoints.iter().map(|endpoint| endpoint.hash).collect());
        Self { endpoints, ring: Arc::new(ring) }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// The endpoint that `key` belongs to among those that are not excluded.
    pub(crate) fn choose(&self, key: u64, excluded: &[NodeName]) -> Option<&Arc<Endpoint>> {
        let excluded: Vec<_> = excluded.iter().map(node_hash).collect();
        self.endpoints.get(self.ring.owner_of(key, &excluded)?)
    }
}

impl Ring {
    fn new(hashes: Vec<u64>) -> Self {
        let mut points = Vec::with_capacity(hashes.len() * usize::try_from(POINTS).unwrap_or(1));
        for (owner, hash) in (0_u32..).zip(&hashes) {
            points.extend((0..POINTS).map(|number| (mix(*hash, POINT_SALT ^ number), owner)));
        }
        points.sort_unstable();
        let parts_bits = points.len().next_power_of_two().trailing_zeros().max(1);
        let shift = u64::BITS - parts_bits;
        let (positions, owners): (Vec<u64>, Vec<u32>) = points.into_iter().unzip();
        let mut first_points = Vec::with_capacity(1 << parts_bits);
        let mut first = 0;
        for part in 0..1_u64 << parts_bits {
            while positions.get(first as usize).is_some_and(|position| *position >> shift < part) {
                first += 1;
            }
            first_points.push(first);
        }
        Self { hashes, positions, owners, first_points, shift }
    }

    fn owner_of(&self, key: u64, excluded: &[u64]) -> Option<usize> {
        let probes = (0..PROBES).map(|number| mix(key, number));
        probes.filter_map(|probe| self.next_point(probe, excluded)).min().map(|(_, owner)| owner)
    }

    /// Distance to the next point of an endpoint that is not excluded, and the index of that endpoint.
    #[allow(clippy::cast_possible_truncation, reason = "a part's number is below the number of parts")]
    fn next_point(&self, probe: u64, excluded: &[u64]) -> Option<(u64, usize)> {
        let part = (probe >> self.shift) as usize;
        let mut index = *self.first_points.get(part)? as usize;
        while self.positions.get(index).is_some_and(|position| *position < probe) {
            index += 1;
        }
        let (before, after) = self.owners.split_at(index);
        let owners = after.iter().chain(before).map(|owner| *owner as usize);
        let is_allowed = |owner: usize| !excluded.contains(&self.hashes[owner]);
        let (steps, owner) = owners.enumerate().find(|(_, owner)| is_allowed(*owner))?;
        let position = self.positions[(index + steps) % self.positions.len()];
        Some((position.wrapping_sub(probe), owner))
    }
}

/// Mixes two numbers (the finaliser of SplitMix64).
const fn mix(hash: u64, number: u64) -> u64 {
    let mut mixed = hash ^ number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
