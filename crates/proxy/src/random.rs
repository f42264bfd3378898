//! Seeded randomness of the request path, in shards so that threads don't wait for one lock.

use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of generators.
const SHARDS: usize = 16;

/// Generators that take turns; with one thread the sequence depends on the seed alone.
pub(crate) struct RandomShards {
    shards: Vec<Mutex<ChaCha8Rng>>,
    next: AtomicUsize,
}

impl RandomShards {
    pub(crate) fn new(seed: u64) -> Self {
        let mut seeder = ChaCha8Rng::seed_from_u64(seed);
        let shards = (0..SHARDS).map(|_| Mutex::new(ChaCha8Rng::from_rng(&mut seeder))).collect();
        Self { shards, next: AtomicUsize::new(0) }
    }

    /// Runs `draw` with one of the generators.
    pub(crate) fn with<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        let shard = self.next.fetch_add(1, Ordering::Relaxed) % SHARDS;
        draw(&mut self.shards[shard].lock())
    }

    /// A random number of 128 bits.
    pub(crate) fn next_u128(&self) -> u128 {
        self.with(|generator| (u128::from(generator.next_u64()) << 64) | u128::from(generator.next_u64()))
    }
}
