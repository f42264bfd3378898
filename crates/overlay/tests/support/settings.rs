//! Size and course of a test world.

#[derive(Debug, Clone)]
pub struct WorldSettings {
    pub seed: u64,
    pub zones: usize,
    pub nodes_per_zone: usize,
    pub services: usize,
    /// Seeds are the first nodes of each zone.
    pub seeds_per_zone: usize,
    /// Encodes and decodes every message, and counts its bytes.
    pub encode: bool,
    /// Hashes everything that nodes ask for, to compare runs.
    pub trace: bool,
    pub limits: umberpond_overlay::Limits,
}

impl WorldSettings {
    pub fn new(seed: u64, zones: usize, nodes_per_zone: usize) -> Self {
        Self {
            seed,
            zones,
            nodes_per_zone,
            services: 12,
            seeds_per_zone: 2,
            encode: true,
            trace: true,
            limits: umberpond_overlay::Limits::default(),
        }
    }
}
