//! The hash of a snapshot's content. Every part is preceded by its length, so that no two contents share an input.

use std::borrow::Borrow;
use std::collections::BTreeMap;

use umberpond_model::ContentHash;

use crate::{Entry, Topology};

/// Domain separation from every other use of BLAKE3; changes with the meaning of the hash.
const DOMAIN: &str = "umberpond 2026 snapshot content 1";

/// Collects the content of one snapshot in its fixed order.
///
/// The input is gathered and hashed in one piece: BLAKE3 works on several chunks at once then, and is
/// several times slower when it is fed name by name (figures in design note 0012).
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

    pub(crate) fn entries<K: Borrow<str>, T>(&mut self, kind: &str, entries: &BTreeMap<K, Entry<T>>) {
        self.text(kind);
        self.count(entries.len());
        for (name, entry) in entries {
            self.text(name.borrow());
            self.0.extend_from_slice(entry.hash().as_bytes());
        }
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
