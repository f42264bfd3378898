//! The check finds requests beyond a limit and after a leave, and accepts what is tolerated.

use std::time::Duration;

use tokio::time::Instant;

use super::{EdgeCall, EdgeCalls, EdgeRun, SentSignal, Signal};

const ANSWER_TIME: Duration = Duration::from_millis(20);

fn sent(signal: Signal, from: Instant) -> SentSignal {
    SentSignal { back_end: "archive-1".to_owned(), signal, from, until: None }
}

/// Requests at the given times after `begin`, each answered after [`ANSWER_TIME`] with both signals.
fn runs(begin: Instant, millis: impl Iterator<Item = u64>) -> Vec<EdgeRun> {
    let run = |millis| {
        let at = begin + Duration::from_millis(millis);
        let call = EdgeCall { sent_at: at, answered_at: Some(at + ANSWER_TIME) };
        EdgeRun { call, at, advertised_limit: Some(2_000), said_leaving: true }
    };
    millis.map(run).collect()
}

fn past() -> Instant {
    Instant::now().checked_sub(Duration::from_secs(20)).expect("the clock started long ago")
}

#[test]
fn exceeded_limit_is_found() {
    let begin = past();
    let limited = sent(Signal::Limited(2_000), begin);
    let check = |interval: u64| {
        EdgeCalls::default().violation(&limited, &runs(begin, (0..12_000).step_by(interval as usize)))
    };
    assert_eq!(check(250), None);
    assert!(check(200).is_some());
}

#[test]
fn request_after_a_leave_is_found() {
    let begin = past();
    let leaving = sent(Signal::Leaving, begin);
    let check = |millis: Vec<u64>| EdgeCalls::default().violation(&leaving, &runs(begin, millis.into_iter()));
    assert_eq!(check(vec![0, 2_020]), None);
    assert!(check(vec![0, 2_021]).is_some());
    assert_eq!(check(vec![]), None);
}

#[test]
fn node_counts_as_informed_only_by_a_response_with_the_signal() {
    let begin = past();
    let limited = sent(Signal::Limited(2_000), begin);
    let mut runs = runs(begin, (0..12_000).step_by(200));
    runs.iter_mut().for_each(|run| run.advertised_limit = None);
    assert_eq!(EdgeCalls::default().violation(&limited, &runs), None);
}
