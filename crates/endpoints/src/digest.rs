//! Digests of the records of one zone, compared between neighbours for anti-entropy.

use bitcode::{Decode, Encode};
use umberpond_model::EndpointRecord;

const LANES: usize = 4;
const LANE_BYTES: usize = 8;

/// Count and sum of the hashes of a set of records; independent of their order, and updated in constant time.
///
/// The hash is BLAKE3, summed in four lanes of 64 bits that wrap around. Equal sets have equal digests; different
/// sets have different ones but for a collision, which only delays a repair until the next change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct ZoneDigest {
    count: u32,
    sum: [u64; LANES],
}

impl ZoneDigest {
    /// Count of the records.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Whether the digest covers no record.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(crate) fn add(&mut self, record: &EndpointRecord) {
        self.count += 1;
        for (lane, value) in self.sum.iter_mut().zip(lanes(record)) {
            *lane = lane.wrapping_add(value);
        }
    }

    pub(crate) fn remove(&mut self, record: &EndpointRecord) {
        self.count -= 1;
        for (lane, value) in self.sum.iter_mut().zip(lanes(record)) {
            *lane = lane.wrapping_sub(value);
        }
    }
}

fn lanes(record: &EndpointRecord) -> [u64; LANES] {
    let hash = blake3::hash(&bitcode::encode(record));
    let mut lanes = [0; LANES];
    for (lane, bytes) in lanes.iter_mut().zip(hash.as_bytes().chunks_exact(LANE_BYTES)) {
        *lane = bytes.iter().fold(0, |value, byte| value << 8 | u64::from(*byte));
    }
    lanes
}
