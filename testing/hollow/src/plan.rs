//! What one process of hollow nodes is told to run.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Places;

/// Seeds of the own zone that a node is given.
const SEEDS_OF_OWN_ZONE: usize = 3;

/// The hollow nodes of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Number of the first node.
    pub first: usize,
    /// Count of nodes.
    pub count: usize,
    /// Regions, zones and services.
    pub places: Places,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Nodes that run already.
    pub seeds: Vec<Seed>,
    /// Time over which the nodes start, in milliseconds.
    pub start_millis: u64,
}

/// A node by which others find the overlay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seed {
    /// Number of its zone.
    pub zone: usize,
    /// Its control address.
    pub control: SocketAddr,
}

impl FleetPlan {
    /// Seeds for node `number`: a few of its own zone and one of any, turning with the number so that no seed bears
    /// all.
    #[must_use]
    pub fn seeds_of(&self, number: usize) -> Vec<SocketAddr> {
        let zone = number % self.places.zones.max(1);
        let turn = number / self.places.zones.max(1);
        let near: Vec<SocketAddr> =
            self.seeds.iter().filter(|seed| seed.zone == zone).map(|seed| seed.control).collect();
        let take = SEEDS_OF_OWN_ZONE.min(near.len());
        let mut seeds: Vec<SocketAddr> = (0..take).map(|index| near[(turn + index) % near.len()]).collect();
        let any = self.seeds.get(number % self.seeds.len().max(1)).map(|seed| seed.control);
        seeds.extend(any.filter(|any| !seeds.contains(any)));
        seeds
    }
}
