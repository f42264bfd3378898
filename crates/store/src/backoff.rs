//! Exponential backoff with full jitter.
//!
//! Each wait is drawn evenly between zero and a bound that doubles, so that many processes that failed at the
//! same moment do not come back at the same moment (Brooker, "Exponential Backoff And Jitter", 2015).

use std::time::Duration;

use rand::{Rng, RngExt};

/// Bounds of a backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Upper bound of the first wait.
    pub base: Duration,
    /// Upper bound of every wait, and of what is added to a wait that the platform asked for.
    pub cap: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { base: Duration::from_millis(100), cap: Duration::from_secs(10) }
    }
}

/// Largest exponent of the doubling; the cap is reached long before with any sensible base.
const MAX_DOUBLINGS: u32 = 16;

/// The waits between the tries of one task.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
}

impl Backoff {
    /// A backoff without a failure yet.
    #[must_use]
    pub const fn new(settings: BackoffSettings) -> Self {
        Self { settings, failures: 0 }
    }

    /// Forgets the failures; called after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts one failure and draws the wait before the next try. A wait that the platform asked for is kept
    /// in full, and the jitter comes on top of it.
    pub fn next_wait(&mut self, rng: &mut impl Rng, retry_after: Option<Duration>) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let bound = self.settings.base.saturating_mul(1 << doublings).min(self.settings.cap);
        let jitter = bound.mul_f64(rng.random::<f64>());
        retry_after.unwrap_or_default().saturating_add(jitter)
    }
}
