//! Rendezvous hashing (Thaler and Ravishankar, 1998): the same key meets the same endpoint on every node.

use umberpond_model::{ContentHash, NodeName};

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

/// Rank of an endpoint for a key: the highest wins (the finaliser of SplitMix64).
pub(crate) const fn rank(node: u64, key: u64) -> u64 {
    let mut mixed = node ^ key.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
