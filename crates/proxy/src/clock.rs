//! The process clock on top of `tokio::time`, which a simulation pauses.

use std::time::Duration;

use tokio::time::Instant;
use umberpond_model::{Millis, Timestamp};

/// Maps instants of `tokio::time` to the [`Timestamp`]s that the decision cores take.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// A clock that reads zero at `origin`, the start of the process.
    #[must_use]
    pub const fn starting_at(origin: Instant) -> Self {
        Self { origin }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// The timestamp of `instant`; zero before the origin.
    #[must_use]
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        let elapsed = instant.saturating_duration_since(self.origin);
        Timestamp(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// The instant of `timestamp`.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.origin + Duration::from_millis(timestamp.0)
    }
}

/// `duration` in whole milliseconds, rounded down.
#[must_use]
pub(crate) fn millis(duration: Duration) -> Millis {
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
