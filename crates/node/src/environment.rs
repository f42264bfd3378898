//! What a node needs from its surroundings. The daemon and the simulation differ here and nowhere else.

use std::fmt;
use std::sync::Arc;

use tokio::time::Instant;
use umberpond_model::{Incarnation, Timestamp};
use umberpond_net::Network;
use umberpond_proxy::ProcessClock;
use umberpond_telemetry::Telemetry;

/// Surroundings of one node. There is no global state beside it: many nodes run in one process.
#[derive(Clone)]
pub struct Environment {
    /// Opens and accepts every connection of the node.
    pub network: Arc<dyn Network>,
    /// Seed of all randomness of the node. A process must not reuse the seed of an earlier one.
    pub seed: u64,
    /// Wall-clock microseconds at the process's start; a later process of the same name has a greater one.
    pub incarnation: Incarnation,
    /// Start of the process on the clock of `tokio::time`, which a simulation pauses.
    pub started: Instant,
    /// Events and metrics.
    pub telemetry: Telemetry,
}

impl Environment {
    /// The process clock.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        ProcessClock::starting_at(self.started)
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock().now()
    }

    /// Wall-clock time in milliseconds since the Unix epoch, worked out from the start; for people only.
    #[must_use]
    pub fn unix_millis(&self) -> u64 {
        const MICROS_PER_MILLI: u64 = 1_000;
        self.incarnation.0 / MICROS_PER_MILLI + self.now().0
    }
}

impl fmt::Debug for Environment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Environment")
            .field("seed", &self.seed)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

/// Uses of randomness in a node; each has a seed of its own, so that one more draw in one of them does not move
/// the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SeedUse {
    /// Decisions of the overlay.
    Overlay = 1,
    /// Choices on the request path.
    RequestPath = 2,
    /// Backoff towards the platform.
    Platform = 3,
    /// Accepting submissions.
    Acceptance = 4,
}

impl Environment {
    /// Seed for one use, spread from the node's seed by SplitMix64.
    pub(crate) const fn seed_for(&self, purpose: SeedUse) -> u64 {
        const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mixed = self.seed.wrapping_add(INCREMENT.wrapping_mul(purpose as u64));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
