use std::time::{Duration, Instant};

use umberpond_quarantine::{RequestContent, RequestFingerprint};

use super::{TrialClaim, TrialRuns, TrialStart};

const NOT_DUE: Duration = Duration::from_secs(3);

fn fingerprint(target: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: b"GET",
        host: "a.example",
        target: target.as_bytes(),
        body_length: Some(0),
        body: b"",
    })
}

/// Trial runs of which the first was claimed for `/today`.
fn with_claim(now: Instant, claim: TrialClaim) -> TrialRuns {
    let mut trials = TrialRuns::default();
    assert_eq!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Claiming);
    assert_eq!(trials.take_requested(), Some(fingerprint("/today")));
    trials.on_claim(now, fingerprint("/today"), claim);
    trials
}

#[test]
fn request_is_refused_without_a_claim_before_the_first_trial_run_is_due() {
    let mut trials = TrialRuns::default();
    let start = trials.start(Instant::now(), fingerprint("/today"), NOT_DUE);
    assert_eq!(start, TrialStart::Refused(Some(NOT_DUE)));
    assert_eq!(trials.take_requested(), None);
}

/// Thousands of requests may arrive while one claim is in progress.
#[test]
fn only_one_claim_is_made_for_many_requests() {
    let now = Instant::now();
    let mut trials = TrialRuns::default();
    assert_eq!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Claiming);
    for _ in 0..100 {
        let start = trials.start(now, fingerprint("/today"), Duration::ZERO);
        assert!(matches!(start, TrialStart::Refused(Some(_))), "{start:?}");
    }
    assert!(trials.take_requested().is_some());
    assert_eq!(trials.take_requested(), None);
}

#[test]
fn one_request_uses_a_claimed_trial_run() {
    let now = Instant::now();
    let mut trials = with_claim(now, TrialClaim::Claimed(1));
    assert_eq!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Started(1));
    let second = trials.start(now, fingerprint("/today"), Duration::ZERO);
    assert!(matches!(second, TrialStart::Refused(Some(_))), "{second:?}");
}

/// A trial run that found no free back end would otherwise be lost.
#[test]
fn trial_run_that_was_not_sent_is_left_to_the_next_request() {
    let now = Instant::now();
    let mut trials = with_claim(now, TrialClaim::Claimed(1));
    assert_eq!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Started(1));
    trials.on_ended(now, fingerprint("/today"), 1, false);
    assert_eq!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Started(1));
    trials.on_ended(now, fingerprint("/today"), 1, true);
    assert!(matches!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Refused(Some(_))));
    let later = now + Duration::from_secs(2);
    assert_eq!(trials.start(later, fingerprint("/today"), Duration::ZERO), TrialStart::Claiming);
}

#[test]
fn caller_learns_when_the_next_trial_run_is_due_and_that_none_is_left() {
    let now = Instant::now();
    let mut trials = with_claim(now, TrialClaim::NotDue(NOT_DUE));
    let start = trials.start(now, fingerprint("/today"), Duration::ZERO);
    assert_eq!(start, TrialStart::Refused(Some(NOT_DUE)));
    let mut trials = with_claim(now, TrialClaim::Exhausted);
    assert_eq!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Refused(None));
}

/// The end of a trial run that was cleared meanwhile must not block the claims of a later quarantine.
#[test]
fn trial_runs_of_a_cleared_request_are_forgotten() {
    let now = Instant::now();
    let mut trials = with_claim(now, TrialClaim::Claimed(1));
    assert_eq!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Started(1));
    trials.forget(&fingerprint("/today"));
    trials.on_ended(now, fingerprint("/today"), 1, true);
    assert_eq!(trials.start(now, fingerprint("/today"), Duration::ZERO), TrialStart::Claiming);
}

#[test]
fn number_of_tracked_requests_is_bounded() {
    let now = Instant::now();
    let mut trials = TrialRuns::default();
    let starts =
        (0..1_000).map(|number| trials.start(now, fingerprint(&format!("/{number}")), Duration::ZERO));
    let claiming = starts.filter(|start| *start == TrialStart::Claiming).count();
    assert_eq!(claiming, super::MAX_TRACKED);
}
