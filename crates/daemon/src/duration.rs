//! Conversion of durations for event fields.

use std::time::Duration;

/// The duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
