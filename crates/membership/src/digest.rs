//! Short sums of what a node knows, by which two nodes find out that one of them missed something.
//!
//! All records are spread over [`BUCKETS`] buckets by the node's name. A heartbeat carries the sum of one bucket, the next
//! one that of the next bucket; where the sums of two nodes differ for a while, they compare that bucket in full.

use std::collections::VecDeque;

use bitcode::{Decode, Encode};
use umberpond_model::NodeName;

use crate::record::RecordOrder;

/// Count of the buckets. At 13,000 nodes one holds 203 orders, about 2.5 KB in a datagram.
pub const BUCKETS: u8 = 64;

/// Heartbeats that carry the sum of a bucket out of turn after a change: two to each of some ten neighbours.
const TOLD_OUT_OF_TURN: u8 = 20;

/// Most sums in one heartbeat; one has nine bytes.
const MAX_DIGESTS: usize = 6;

/// Sum of one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct BucketDigest {
    /// The bucket.
    pub bucket: u8,
    /// Exclusive or over its records.
    pub sum: u64,
}

/// Sums of all buckets.
#[derive(Debug, Clone)]
pub(crate) struct Digests {
    sums: [u64; BUCKETS as usize],
    next: u8,
    /// Buckets that have changed lately, and how often each is still told out of turn.
    recent: VecDeque<(u8, u8)>,
}

impl Digests {
    pub(crate) const fn new() -> Self {
        Self { sums: [0; BUCKETS as usize], next: 0, recent: VecDeque::new() }
    }

    /// Replaces what a record has added to its bucket.
    pub(crate) fn replace(&mut self, bucket: u8, before: u64, after: u64) {
        if before == after {
            return;
        }
        self.sums[usize::from(bucket)] ^= before ^ after;
        match self.recent.iter_mut().find(|(recent, _)| *recent == bucket) {
            Some((_, left)) => *left = TOLD_OUT_OF_TURN,
            None => self.recent.push_back((bucket, TOLD_OUT_OF_TURN)),
        }
    }

    /// The sums of some buckets that have changed lately, for what somebody has missed shows there, or else of the next one.
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

    /// Whether a digest differs from the own one; not if it names no bucket.
    pub(crate) fn differs(&self, digest: BucketDigest) -> bool {
        self.sums.get(usize::from(digest.bucket)).is_some_and(|sum| *sum != digest.sum)
    }
}

/// Place of a node in all orders that are the same on every node.
pub(crate) fn rank_of(node: &NodeName) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let fnv = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    mix(node.as_str().as_bytes().iter().fold(OFFSET, fnv))
}

/// The bucket of a node with this rank.
pub(crate) const fn bucket_of(rank: u64) -> u8 {
    (rank % BUCKETS as u64) as u8
}

/// What a record adds to its bucket.
pub(crate) const fn contribution_of(order: &RecordOrder) -> u64 {
    mix(mix(order.life ^ order.incarnation.0.rotate_left(32)).wrapping_add(order.sequence))
}

/// Spreads the bits of a number (`SplitMix64`).
const fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
