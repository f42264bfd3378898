//! The hash of a snapshot's content. Every part has a fixed size or is preceded by its length, so that no two contents
//! share an input.

use umberpond_model::ContentHash;

use crate::entries::Entries;
use crate::record::Record;
use crate::{RequestLimits, Topology};

/// Domain separation from every other use of BLAKE3; changes with the meaning of the hash.
const DOMAIN: &str = "umberpond 2026 snapshot content 4";

/// Collects the content of one snapshot in its fixed order.
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
        ContentHash::from_bytes(blake3::derive_key(DOMAIN, &self.0))
    }

    fn text(&mut self, text: &str) {
        self.count(text.len());
        self.0.extend_from_slice(text.as_bytes());
    }

    fn count(&mut self, count: usize) {
        self.0.extend_from_slice(&(count as u64).to_le_bytes());
    }
}
