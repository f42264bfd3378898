//! Exponential backoff with full jitter.
//!
//! Each delay is drawn uniformly between zero and a bound that doubles with every failure, so that processes
//! that failed at the same time do not retry at the same time (Brooker, "Exponential Backoff And Jitter",
//! 2015).

use std::time::Duration;

use rand::{Rng, RngExt};

/// Bounds of a backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay, and of the jitter added to a `Retry-After` delay of the platform.
    pub cap: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { base: Duration::from_millis(100), cap: Duration::from_secs(10) }
    }
}

/// Largest exponent of the doubling. With any reasonable base the cap applies long before.
const MAX_DOUBLINGS: u32 = 16;

/// The delays between the attempts of one task.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    #[must_use]
    pub const fn new(settings: BackoffSettings) -> Self {
        Self { settings, failures: 0 }
    }

    /// Resets the failure count; called after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts one failure and draws the delay before the next attempt. The jitter is added to `retry_after`,
    /// so the delay that the platform requested is always observed in full.
    pub fn next_wait(&mut self, rng: &mut impl Rng, retry_after: Option<Duration>) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let bound = self.settings.base.saturating_mul(1 << doublings).min(self.settings.cap);
        let jitter = bound.mul_f64(rng.random::<f64>());
        retry_after.unwrap_or_default().saturating_add(jitter)
    }
}
