//! Trial runs of quarantined requests.
//!
//! A request is quarantined because it ran at several back ends when they crashed, which another cause can
//! bring about as well. No response can clear a request that is never sent. Therefore it is sent again a few
//! times, alone and to one back end: a response clears it, a crash confirms the quarantine.

use std::time::Duration;

use crate::settings::QuarantineSettings;

/// Trial runs of one request that any node has claimed, as the store records them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimedTrials {
    /// Number of claimed trial runs.
    pub count: u32,
    /// Time since the last one was claimed.
    pub since_last: Duration,
}

/// Whether a node may claim the next trial run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialDecision {
    /// The next trial run is due; with it, this number of them is claimed.
    Claim(u32),
    /// The next trial run is due after this time.
    Wait(Duration),
    /// There are no trial runs left.
    Exhausted,
}

/// Decides whether the next trial run of a request may be claimed, this long after the last crash that it is
/// blamed for. `claimed` is absent if none was claimed so far.
#[must_use]
pub fn next_trial(
    settings: &QuarantineSettings,
    since_crash: Duration,
    claimed: Option<ClaimedTrials>,
) -> TrialDecision {
    let count = claimed.map_or(0, |claimed| claimed.count);
    let Some(delay) = usize::try_from(count).ok().and_then(|index| settings.trial_delays.get(index)) else {
        return TrialDecision::Exhausted;
    };
    let since_last = claimed.map_or(since_crash, |claimed| claimed.since_last.min(since_crash));
    let left = delay.saturating_sub(since_last);
    if left.is_zero() { TrialDecision::Claim(count + 1) } else { TrialDecision::Wait(left) }
}
