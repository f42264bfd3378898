//! Rendezvous hashing (Thaler and Ravishankar, 1998): the same key meets the same endpoint on every node, and a change
//! of the membership moves only the keys of the endpoint that came or went.

use std::sync::Arc;

use umberpond_model::{ContentHash, NodeName};

use crate::endpoint::Endpoint;

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

/// Endpoints arranged for choice by key. A choice looks at every hash, so they lie side by side.
#[derive(Debug, Default)]
pub(crate) struct KeyedEndpoints {
    hashes: Vec<u64>,
    endpoints: Vec<Arc<Endpoint>>,
}

impl KeyedEndpoints {
    pub(crate) fn new(endpoints: Vec<Arc<Endpoint>>) -> Self {
        Self { hashes: endpoints.iter().map(|endpoint| endpoint.hash).collect(), endpoints }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// The endpoint of the highest rank for `key` that is not excluded.
    pub(crate) fn choose(&self, key: u64, excluded: &[NodeName]) -> Option<&Arc<Endpoint>> {
        let excluded: Vec<_> = excluded.iter().map(node_hash).collect();
        let mut best = None;
        for (index, hash) in self.hashes.iter().enumerate() {
            let candidate = Some((rank(*hash, key), index));
            if candidate > best && !excluded.contains(hash) {
                best = candidate;
            }
        }
        best.and_then(|(_, index)| self.endpoints.get(index))
    }
}

/// Rank of an endpoint for a key (the finaliser of SplitMix64).
const fn rank(node: u64, key: u64) -> u64 {
    let mut mixed = node ^ key.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
