//! When the next trial run of a quarantined request may be claimed.

use std::time::Duration;

use quickcheck::quickcheck;
use umberpond_quarantine::{ClaimedTrials, QuarantineSettings, TrialDecision, next_trial};

const HOUR: Duration = Duration::from_secs(3_600);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn claimed(count: u32, since_last: Duration) -> Option<ClaimedTrials> {
    Some(ClaimedTrials { count, since_last })
}

/// Back ends that crashed together need time to restart before one of them runs the request.
#[test]
fn first_trial_run_waits_until_back_ends_have_restarted() {
    let settings = QuarantineSettings::default();
    assert_eq!(next_trial(&settings, seconds(1), None), TrialDecision::Wait(seconds(3)));
    assert_eq!(next_trial(&settings, seconds(4), None), TrialDecision::Claim(1));
}

#[test]
fn second_trial_run_waits_for_the_result_of_the_first() {
    let settings = QuarantineSettings::default();
    let decide = |since_last| next_trial(&settings, HOUR, claimed(1, since_last));
    assert_eq!(decide(seconds(2)), TrialDecision::Wait(seconds(28)));
    assert_eq!(decide(seconds(30)), TrialDecision::Claim(2));
    let after_a_crash = next_trial(&settings, seconds(1), claimed(1, HOUR));
    assert_eq!(after_a_crash, TrialDecision::Wait(seconds(29)), "the first trial run has ended in a crash");
}

quickcheck! {
    /// The users allow three arrivals of a request later than some seconds after its third crash.
    fn no_more_trial_runs_are_claimed_than_allowed(steps: Vec<(u16, u16)>) -> bool {
        let settings = QuarantineSettings::default();
        let mut trials = None;
        for (since_crash, since_last) in steps {
            let trials_now = trials.map(|count| ClaimedTrials { count, since_last: seconds(since_last.into()) });
            if let TrialDecision::Claim(count) = next_trial(&settings, seconds(since_crash.into()), trials_now) {
                trials = Some(count);
            }
        }
        trials.unwrap_or(0) < 3
    }
}
