//! The environment of a daemon. Only here do the program and the simulation differ.

use std::fmt;
use std::sync::Arc;

use umberpond_net::Network;
use umberpond_telemetry::Telemetry;

use crate::suspension::BootClock;

/// Environment of one daemon. There is no global state besides it, so that many daemons can run in one
/// process.
#[derive(Clone)]
pub struct Environment {
    /// Network for all connections and datagrams.
    pub network: Arc<dyn Network>,
    /// Seed of all random numbers. A process must not reuse the seed of an earlier one.
    pub seed: u64,
    /// Events and metrics.
    pub telemetry: Telemetry,
    /// Clock that advances while the machine is suspended.
    pub boot_clock: Arc<dyn BootClock>,
}

impl fmt::Debug for Environment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Environment").field("seed", &self.seed).finish_non_exhaustive()
    }
}

/// Uses of random numbers in a daemon. Each has its own seed, so that an additional draw for one of them
/// doesn't change the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SeedUse {
    /// Random number that identifies this process to other nodes.
    Life = 1,
    /// Choices on the request path.
    RequestPath = 2,
    /// Backoff of calls to the store.
    Store = 3,
    /// Choice of the node from which a configuration is fetched.
    Fetch = 4,
}

impl Environment {
    /// Seed for one use, derived from the daemon's seed by SplitMix64.
    pub(crate) const fn seed_for(&self, purpose: SeedUse) -> u64 {
        const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mixed = self.seed.wrapping_add(INCREMENT.wrapping_mul(purpose as u64));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
