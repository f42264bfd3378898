//! Trial runs of quarantined requests at this node: which ones are claimed, and which requests use them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_quarantine::RequestFingerprint;

#[cfg(test)]
mod tests;

/// Maximum number of requests whose trial runs are tracked. No trial run of a further one is claimed.
const MAX_TRACKED: usize = 256;
/// Time after a failed claim before the next one.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a node looks again whether trial runs are left, since an operator can replace the entry.
const EXHAUSTED_PAUSE: Duration = Duration::from_secs(600);
/// Expected time until the response of a trial run, which may end the quarantine.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Result of a claim for a trial run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialClaim {
    /// This node may send the request once; this is the number of the trial run.
    Claimed(u32),
    /// The next trial run is due after this time.
    NotDue(Duration),
    /// No trial runs are left.
    Exhausted,
    /// The claim failed, or its result is unknown.
    Failed,
}

impl TrialClaim {
    /// The result as an identifier for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Claimed(_) => "claimed",
            Self::NotDue(_) => "not-due",
            Self::Exhausted => "exhausted",
            Self::Failed => "failed",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrialState {
    /// A claim is requested or in progress.
    Claiming,
    /// A trial run is claimed, and the next request starts it.
    Claimed(u32),
    /// A request was sent, or is about to be sent, as this trial run.
    Running(u32),
    /// No trial run is claimed before this time, after which one may be left or not.
    NotBefore { at: Instant, is_any_left: bool },
}

/// What a quarantined request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialStart {
    /// It is sent as the trial run with this number.
    Started(u32),
    /// It waits for the claim that it has caused.
    Claiming,
    /// It is refused, and may be sent again after this time; `None` if no trial runs are left.
    Refused(Option<Duration>),
}

/// The trial runs of all quarantined requests at this node.
#[derive(Debug, Default)]
pub(super) struct TrialRuns {
    states: BTreeMap<RequestFingerprint, TrialState>,
    /// Claims that nobody has taken up yet.
    requested: VecDeque<RequestFingerprint>,
}

impl TrialRuns {
    /// Decides what a quarantined request does for which the first trial run is due after `left`.
    pub(super) fn start(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        left: Duration,
    ) -> TrialStart {
        match self.states.get(&fingerprint) {
            Some(TrialState::Claimed(number)) => {
                let number = *number;
                self.states.insert(fingerprint, TrialState::Running(number));
                TrialStart::Started(number)
            }
            Some(TrialState::Claiming | TrialState::Running(_)) => TrialStart::Refused(Some(TRIAL_TIME)),
            Some(TrialState::NotBefore { at, is_any_left }) if *at > now => {
                TrialStart::Refused(is_any_left.then(|| *at - now))
            }
            None if self.states.len() >= MAX_TRACKED => TrialStart::Refused(None),
            _ if !left.is_zero() => TrialStart::Refused(Some(left)),
            _ => {
                self.states.insert(fingerprint, TrialState::Claiming);
                self.requested.push_back(fingerprint);
                TrialStart::Claiming
            }
        }
    }

    /// Whether a claim for this request is requested or in progress.
    pub(super) fn is_claiming(&self, fingerprint: &RequestFingerprint) -> bool {
        self.states.get(fingerprint) == Some(&TrialState::Claiming)
    }

    /// Takes the next claim to be made.
    pub(super) fn take_requested(&mut self) -> Option<RequestFingerprint> {
        self.requested.pop_front()
    }

    /// Records the result of a claim.
    pub(super) fn on_claim(&mut self, now: Instant, fingerprint: RequestFingerprint, claim: TrialClaim) {
        let not_before = |pause, is_any_left| TrialState::NotBefore { at: now + pause, is_any_left };
        let state = match claim {
            TrialClaim::Claimed(number) => TrialState::Claimed(number),
            TrialClaim::NotDue(left) => not_before(left, true),
            TrialClaim::Exhausted => not_before(EXHAUSTED_PAUSE, false),
            TrialClaim::Failed => not_before(FAILURE_PAUSE, true),
        };
        self.states.insert(fingerprint, state);
    }

    /// Records that the request which used a trial run has ended. If it was never sent, another request can
    /// use the trial run.
    pub(super) fn on_ended(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        number: u32,
        was_sent: bool,
    ) {
        // The state of a request that was cleared meanwhile is gone.
        if self.states.get(&fingerprint) != Some(&TrialState::Running(number)) {
            return;
        }
        let state = if was_sent {
            TrialState::NotBefore { at: now + TRIAL_TIME, is_any_left: true }
        } else {
            TrialState::Claimed(number)
        };
        self.states.insert(fingerprint, state);
    }

    /// Forgets the trial runs of a request that is not quarantined any more.
    pub(super) fn forget(&mut self, fingerprint: &RequestFingerprint) {
        self.states.remove(fingerprint);
    }
}
