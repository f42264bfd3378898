//! What a node tells others about the load of the back end beside it.

use std::time::Duration;

use bitcode::{Decode, Encode};

/// Load of one back end at one moment, as the node beside it counts it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Count of the report within one life of the node's process; a later report has a higher one.
    pub number: u64,
    /// Requests that the back end works on.
    pub running: u32,
    /// Requests that wait at the node.
    pub waiting: u32,
    /// Requests that the back end may work on at once.
    pub slots: u32,
    /// Mean time the back end took for a request lately, at its usual speed, in microseconds; 0 if nothing is known.
    pub service_micros: u32,
    /// Share of requests lately whose answer was lost or spoiled, in thousandths.
    pub failed_permille: u16,
    /// How long work takes there at this moment, in hundredths of the time on average; 0 if the back end doesn't tell.
    pub slowdown_percent: u16,
    /// Most urgent rank of which requests were refused a moment ago for want of room; absent if none were.
    pub refused_priority: Option<u8>,
}

impl LoadReport {
    /// Mean time the back end took for a request lately, if known.
    #[must_use]
    pub const fn service_time(&self) -> Option<Duration> {
        if self.service_micros == 0 { None } else { Some(Duration::from_micros(self.service_micros as u64)) }
    }
}

/// A share in thousandths.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 0 and 1,000")]
pub(crate) fn permille(share: f64) -> u16 {
    (share * 1000.0).clamp(0.0, 1000.0) as u16
}
