//! Digests of the membership, with which two nodes detect that one of them missed an update.
//!
//! All records are hashed into [`BUCKETS`] buckets by node name. Each heartbeat carries the digests of one or
//! more buckets. If the digests of a bucket on two nodes differ for a while, the nodes compare the record
//! versions in that bucket.

use std::collections::VecDeque;

use bitcode::{Decode, Encode};
use umberpond_model::NodeName;

use crate::record::RecordOrder;

/// Number of buckets. At 13,000 nodes a bucket holds 203 record versions, about 2.5 KB in a datagram.
pub const BUCKETS: u8 = 64;

/// Number of heartbeats that carry the digest of a changed bucket out of turn: two to each of about ten
/// neighbours.
const OUT_OF_TURN_SENDS: u8 = 20;

/// Maximum number of digests in a heartbeat. Each takes nine bytes.
const MAX_DIGESTS: usize = 6;

/// Digest of one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct BucketDigest {
    /// Index of the bucket.
    pub bucket: u8,
    /// Exclusive or of the hashes of its records.
    pub sum: u64,
}

/// Digests of all buckets.
#[derive(Debug, Clone)]
pub(crate) struct Digests {
    sums: [u64; BUCKETS as usize],
    next: u8,
    /// Recently changed buckets, each with the number of times it is still sent out of turn.
    recent: VecDeque<(u8, u8)>,
}

impl Digests {
    pub(crate) const fn new() -> Self {
        Self { sums: [0; BUCKETS as usize], next: 0, recent: VecDeque::new() }
    }

    /// Replaces a record's hash in the digest of its bucket.
    pub(crate) fn replace(&mut self, bucket: u8, before: u64, after: u64) {
        if before == after {
            return;
        }
        self.sums[usize::from(bucket)] ^= before ^ after;
        match self.recent.iter_mut().find(|(recent, _)| *recent == bucket) {
            Some((_, left)) => *left = OUT_OF_TURN_SENDS,
            None => self.recent.push_back((bucket, OUT_OF_TURN_SENDS)),
        }
    }

    /// The digests for the next heartbeat: recently changed buckets first, since a missed update shows there;
    /// otherwise the next bucket in turn.
    pub(crate) fn take_next(&mut self) -> Vec<BucketDigest> {
        let count = self.recent.len().clamp(1, MAX_DIGESTS);
        let buckets: Vec<u8> =
            (0..count).map(|_| self.take_recent().unwrap_or_else(|| self.take_in_turn())).collect();
        let digest = |bucket: u8| BucketDigest { bucket, sum: self.sums[usize::from(bucket)] };
        buckets.into_iter().map(digest).collect()
    }

    fn take_recent(&mut self) -> Option<u8> {
        let (bucket, left) = self.recent.pop_front()?;
        if left > 1 {
            self.recent.push_back((bucket, left - 1));
        }
        Some(bucket)
    }

    const fn take_in_turn(&mut self) -> u8 {
        let bucket = self.next;
        self.next = (self.next + 1) % BUCKETS;
        bucket
    }

    /// Whether `digest` differs from the digest of the same bucket here; `false` if the bucket does not
    /// exist.
    pub(crate) fn differs(&self, digest: BucketDigest) -> bool {
        self.sums.get(usize::from(digest.bucket)).is_some_and(|sum| *sum != digest.sum)
    }
}

/// Hash of the node name. It orders the nodes identically on all nodes.
pub(crate) fn rank_of(node: &NodeName) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let fnv = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    mix(node.as_str().as_bytes().iter().fold(OFFSET, fnv))
}

/// Bucket of the node with this rank.
pub(crate) const fn bucket_of(rank: u64) -> u8 {
    (rank % BUCKETS as u64) as u8
}

/// Hash of a record version, combined into the digest of its bucket.
pub(crate) const fn contribution_of(order: &RecordOrder) -> u64 {
    mix(mix(order.process_id ^ order.incarnation.0.rotate_left(32)).wrapping_add(order.sequence))
}

/// Mixes the bits of `value` (`SplitMix64`).
const fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
