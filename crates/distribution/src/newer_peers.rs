//! Peers that hold a newer configuration than this node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;
use umberpond_model::Version;

/// Version and proximity of a peer.
#[derive(Debug, Clone, Copy)]
struct NewerPeer {
    version: Version,
    is_near: bool,
}

/// Peers that have reported a newer version than this node holds.
#[derive(Debug, Default)]
pub struct NewerPeers {
    newer: BTreeMap<SocketAddr, NewerPeer>,
}

impl NewerPeers {
    /// Records that the peer at `address` holds `version` while this node holds `held`. A peer is near if it
    /// is in the same zone.
    pub fn on_peer_version(
        &mut self,
        address: SocketAddr,
        version: Version,
        held: Option<Version>,
        is_near: bool,
    ) {
        if held < Some(version) {
            self.newer.insert(address, NewerPeer { version, is_near });
        }
    }

    /// Drops the peers that hold nothing newer than `version`, which this node holds now.
    pub fn on_own_version(&mut self, version: Version) {
        self.newer.retain(|_, peer| peer.version > version);
    }

    /// Drops the peer at `address` after a failed request, until it reports its version again.
    pub fn on_no_response(&mut self, address: SocketAddr) {
        self.newer.remove(&address);
    }

    /// Picks a random peer among those with the newest version, preferring the same zone. The choice is
    /// random so that nodes that are equally out of date don't all send requests to the same peer.
    pub fn choose(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        let newest = self.newer.values().map(|peer| peer.version).max()?;
        let is_near = self.newer.values().any(|peer| peer.version == newest && peer.is_near);
        let peers = self.newer.iter().filter(|(_, peer)| peer.version == newest && peer.is_near == is_near);
        peers.map(|(address, _)| *address).choose(random)
    }
}
