//! What a daemon needs from its surroundings. The program and the simulation differ here and nowhere else.

use std::fmt;
use std::sync::Arc;

use umberpond_net::Network;
use umberpond_telemetry::Telemetry;

use crate::suspension::BootClock;

/// Surroundings of one daemon. There is no global state beside it: many daemons run in one process.
#[derive(Clone)]
pub struct Environment {
    /// Opens and accepts every connection and datagram.
    pub network: Arc<dyn Network>,
    /// Seed of all randomness. A process must not reuse the seed of an earlier one.
    pub seed: u64,
    /// Events and metrics.
    pub telemetry: Telemetry,
    /// Goes on while the machine is suspended.
    pub boot_clock: Arc<dyn BootClock>,
}

impl fmt::Debug for Environment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Environment").field("seed", &self.seed).finish_non_exhaustive()
    }
}

/// Uses of randomness in a daemon; each has a seed of its own, so that one more draw in one of them does not move the
/// others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SeedUse {
    /// Identity of the process among the nodes.
    Life = 1,
    /// Choices on the request path.
    RequestPath = 2,
    /// Backoff towards the store.
    Store = 3,
    /// Which node is asked for a configuration.
    Fetch = 4,
}

impl Environment {
    /// Seed for one use, spread from the daemon's seed by SplitMix64.
    pub(crate) const fn seed_for(&self, purpose: SeedUse) -> u64 {
        const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mixed = self.seed.wrapping_add(INCREMENT.wrapping_mul(purpose as u64));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
