//! Settings of the quarantine.

use std::time::Duration;

/// Thresholds and limits of the quarantine of requests that crash back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Number of crashes that a request is blamed for, without a response since, after which it is rejected.
    /// One crash may be a coincidence, and so may a second one while several back ends crash for another
    /// reason. The users' requirement counts from the third crash.
    pub crashes: usize,
    /// Time for which a request is rejected when it is one crash away from quarantine, so that the back ends
    /// have restarted before it can crash the next one. With four back ends and half of their slots in use,
    /// 1.00 of all other requests are served; without this pause, 0.96.
    pub pause: Duration,
    /// Time after the last crash for which findings are kept. A request that is sent again later counts as
    /// new.
    pub lifetime: Duration,
    /// Maximum number of fingerprints with findings: 400 KB at about 100 bytes each.
    pub capacity: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes: 3,
            pause: Duration::from_secs(4),
            lifetime: Duration::from_secs(24 * 3_600),
            capacity: 4_096,
        }
    }
}
