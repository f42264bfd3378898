//! Times of day in stored entries, which outlast the processes that write them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The Unix time in milliseconds; 0 if the clock is set to a time before 1970.
#[must_use]
pub fn unix_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Time since a Unix time in milliseconds; zero if the clock was set back since.
#[must_use]
pub fn elapsed_since(millis: u64) -> Duration {
    Duration::from_millis(unix_millis(SystemTime::now()).saturating_sub(millis))
}
