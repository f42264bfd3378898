//! Settings of the quarantine.

use std::time::Duration;

/// Maximum number of trial runs of a quarantined request. The users allow three arrivals at back ends after the
/// third crash; one is left for an arrival that was under way.
const MAX_TRIALS: usize = 2;

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
    /// Times from the last crash, or the last trial run, to the next trial run, by the number of trial runs
    /// before it. The first leaves the back ends time to restart; the second is for a request whose first trial
    /// run got no response for another reason.
    pub trial_delays: [Duration; MAX_TRIALS],
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
            trial_delays: [Duration::from_secs(4), Duration::from_secs(30)],
            lifetime: Duration::from_secs(24 * 3_600),
            capacity: 4_096,
        }
    }
}
