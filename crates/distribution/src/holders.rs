//! Who is known to hold a newer configuration than this node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;
use umberpond_model::Version;

/// The other nodes that were heard to hold something newer.
#[derive(Debug, Default)]
pub struct Holders {
    newer: BTreeMap<SocketAddr, Version>,
}

impl Holders {
    /// Takes in that the node at `address` holds `version`, and this one `held`.
    pub fn on_heard(&mut self, address: SocketAddr, version: Version, held: Option<Version>) {
        if held < Some(version) {
            self.newer.insert(address, version);
        }
    }

    /// Takes in that this node holds `version` now.
    pub fn on_held(&mut self, version: Version) {
        self.newer.retain(|_, newer| *newer > version);
    }

    /// Takes in that the node at `address` gave no answer: it is left out until it is heard again.
    pub fn on_no_answer(&mut self, address: SocketAddr) {
        self.newer.remove(&address);
    }

    /// One of those that hold the newest version, drawn at random so that nodes that are equally late don't all ask the
    /// same one.
    pub fn choose(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        let newest = self.newer.values().max()?;
        let holders = self.newer.iter().filter(|(_, version)| *version == newest);
        holders.map(|(address, _)| *address).choose(random)
    }
}
