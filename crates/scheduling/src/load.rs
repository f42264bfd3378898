//! Load reports that nodes send about the back end beside them.

use std::time::Duration;

use bitcode::{Decode, Encode};

/// Load of one back end at one moment, as measured by the node beside it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Sequence number of the report within the lifetime of the node's process. A later report has a higher
    /// number.
    pub number: u64,
    /// Requests running in the back end.
    pub running: u32,
    /// Requests waiting at the node.
    pub waiting: u32,
    /// Maximum number of requests that the back end runs concurrently.
    pub slots: u32,
    /// Recent mean service time at average speed, in microseconds; 0 if unknown.
    pub service_micros: u32,
    /// Recent share of requests whose response was lost or invalid, in thousandths.
    pub failed_permille: u16,
    /// Current service time in hundredths of the average one; 0 if the back end doesn't report it.
    pub slowdown_percent: u16,
    /// Highest priority of the requests that were refused a moment ago for lack of capacity; absent if none
    /// were.
    pub refused_priority: Option<u8>,
    /// Time until a further request may start at the request limit of the back end, in milliseconds; 0 without a
    /// limit.
    pub limit_wait_millis: u16,
}

impl LoadReport {
    /// Time from the report until a further request may start at the request limit of the back end.
    #[must_use]
    pub fn limit_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.limit_wait_millis))
    }

    /// Recent mean service time, if known.
    #[must_use]
    pub const fn service_time(&self) -> Option<Duration> {
        if self.service_micros == 0 { None } else { Some(Duration::from_micros(self.service_micros as u64)) }
    }
}

/// Converts a duration to whole milliseconds, rounded up.
pub(crate) fn millis_rounded_up(duration: Duration) -> u16 {
    u16::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u16::MAX)
}

/// Converts a fraction to thousandths.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 0 and 1,000")]
pub(crate) fn permille(share: f64) -> u16 {
    (share * 1000.0).clamp(0.0, 1000.0) as u16
}
