//! The content hash of a snapshot. Every part of the input has a fixed size or is prefixed with its length,
//! so that different contents never have the same input.

use umberpond_model::ContentHash;

use crate::entries::Entries;
use crate::record::Record;
use crate::{RequestLimits, Topology};

/// Context string that separates this hash from other uses of BLAKE3. A change of what the hash covers
/// requires a new string.
const CONTEXT: &str = "umberpond 2026 snapshot content 4";

/// Serializes the content of one snapshot in a fixed order.
pub(crate) struct ContentHasher(Vec<u8>);

impl ContentHasher {
    pub(crate) fn new() -> Self {
        Self(Vec::new())
    }

    pub(crate) fn topology(&mut self, topology: &Topology) {
        self.count(topology.len());
        for (region, zones) in topology {
            self.text(region.as_str());
            self.count(zones.len());
            for zone in zones {
                self.text(zone.as_str());
            }
        }
    }

    pub(crate) fn limits(&mut self, limits: &RequestLimits) {
        for limit in [limits.head_bytes, limits.body_bytes, limits.head_time.0, limits.idle_time.0] {
            self.0.extend_from_slice(&limit.to_le_bytes());
        }
    }

    pub(crate) fn entries<T: Record>(&mut self, kind: &str, entries: &Entries<T>) {
        self.text(kind);
        self.count(entries.len());
        self.0.extend_from_slice(entries.hash().as_bytes());
    }

    pub(crate) fn finish(self) -> ContentHash {
        ContentHash::from_bytes(blake3::derive_key(CONTEXT, &self.0))
    }

    fn text(&mut self, text: &str) {
        self.count(text.len());
        self.0.extend_from_slice(text.as_bytes());
    }

    fn count(&mut self, count: usize) {
        self.0.extend_from_slice(&(count as u64).to_le_bytes());
    }
}
