//! Who is known to hold a newer configuration than this node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;
use umberpond_model::Version;

/// What is known of one of them.
#[derive(Debug, Clone, Copy)]
struct Holder {
    version: Version,
    is_near: bool,
}

/// The other nodes that were heard to hold something newer.
#[derive(Debug, Default)]
pub struct NewerPeers {
    newer: BTreeMap<SocketAddr, Holder>,
}

impl NewerPeers {
    /// Takes in that the node at `address` holds `version`, and this one `held`. A near node is one of the same zone.
    pub fn on_peer_version(
        &mut self,
        address: SocketAddr,
        version: Version,
        held: Option<Version>,
        is_near: bool,
    ) {
        if held < Some(version) {
            self.newer.insert(address, Holder { version, is_near });
        }
    }

    /// Takes in that this node holds `version` now.
    pub fn on_own_version(&mut self, version: Version) {
        self.newer.retain(|_, holder| holder.version > version);
    }

    /// Takes in that the node at `address` gave no answer: it is left out until it is heard again.
    pub fn on_no_response(&mut self, address: SocketAddr) {
        self.newer.remove(&address);
    }

    /// One of those that hold the newest version, a near one if there is one, drawn at random so that nodes that are equally
    /// late don't all ask the same one.
    pub fn choose(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        let newest = self.newer.values().map(|holder| holder.version).max()?;
        let is_near = self.newer.values().any(|holder| holder.version == newest && holder.is_near);
        let holders =
            self.newer.iter().filter(|(_, holder)| holder.version == newest && holder.is_near == is_near);
        holders.map(|(address, _)| *address).choose(random)
    }
}
