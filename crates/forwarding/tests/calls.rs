//! Tests runs that call an overloaded service.

mod support;

use std::time::Duration;

use support::chain::{CallChain, CalledBackEnd, Outcome};
use umberpond_telemetry::Event;

/// Handles 16 calls per second.
const OVERLOADED_SERVICE: CalledBackEnd = CalledBackEnd { host: 30, slots: 1, work: 60 };
/// Handles 800 calls per second.
const FAST_SERVICE: CalledBackEnd = CalledBackEnd { host: 31, slots: 8, work: 10 };
/// Requests of callers per second, slightly more than the calling service alone can handle.
const REQUESTS_PER_SECOND: u32 = 100;
/// Timeout of the called route, in milliseconds.
const CALL_TIMEOUT_MILLIS: u64 = 400;

fn count(outcomes: &[Outcome], status: u16, body: &str) -> usize {
    let is_counted = |outcome: &&Outcome| outcome.answer.status == status && outcome.answer.text() == body;
    outcomes.iter().filter(is_counted).count()
}

/// Otherwise each run occupies its slot until its call is refused, and its caller receives a failure that
/// leaves open whether the request ran.
#[tokio::test(start_paused = true)]
async fn runs_whose_calls_would_be_refused_do_not_start() {
    let chain = CallChain::start(OVERLOADED_SERVICE, CALL_TIMEOUT_MILLIS).await;
    chain.send("w", REQUESTS_PER_SECOND, Duration::from_secs(3)).await;
    let outcomes = chain.send("r", REQUESTS_PER_SECOND, Duration::from_secs(3)).await;
    let refused: Vec<&Outcome> =
        outcomes.iter().filter(|outcome| outcome.answer.text() == "calls-overloaded").collect();
    let (answered, failed) = (count(&outcomes, 200, ""), count(&outcomes, 500, ""));
    println!("{} refused, {answered} served, {failed} failed", refused.len());
    assert!(refused.len() >= 100, "{} of {}", refused.len(), outcomes.len());
    assert!(answered >= 40, "{answered} served; the called service has capacity for 48");
    assert!(failed < outcomes.len() / 3, "{failed} failed");
    for outcome in refused {
        assert!(!chain.has_run(&outcome.id), "request {} has run", outcome.id);
        assert!(outcome.answer.fields.contains("retry-after"));
        assert!(outcome.taken < Duration::from_millis(20), "{:?}", outcome.taken);
    }
    assert!(chain.recorder.events().iter().any(|event| matches!(event, Event::RunWithheld { .. })));
}

/// The node in front of the overloaded service stops under load, and another one replaces it.
#[tokio::test(start_paused = true)]
async fn runs_are_admitted_within_five_seconds_after_the_called_node_is_replaced() {
    let chain = CallChain::start(OVERLOADED_SERVICE, CALL_TIMEOUT_MILLIS).await;
    chain.send("w", REQUESTS_PER_SECOND, Duration::from_secs(3)).await;
    chain.network.kill(support::host(OVERLOADED_SERVICE.host));
    chain.replace_called_back_end(FAST_SERVICE).await;
    chain.send("o", REQUESTS_PER_SECOND, Duration::from_secs(5)).await;
    let outcomes = chain.send("r", REQUESTS_PER_SECOND, Duration::from_secs(2)).await;
    assert_eq!(count(&outcomes, 503, "calls-overloaded"), 0);
    assert_eq!(count(&outcomes, 500, ""), 0);
    assert!(count(&outcomes, 200, "") >= 150, "the calling service can handle 80 requests per second");
}

/// Without requests there are no outcomes of calls to the called service either.
#[tokio::test(start_paused = true)]
async fn no_run_is_refused_without_call_outcomes_for_five_seconds() {
    let chain = CallChain::start(OVERLOADED_SERVICE, CALL_TIMEOUT_MILLIS).await;
    chain.send("w", REQUESTS_PER_SECOND, Duration::from_secs(3)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let outcomes = chain.send("r", REQUESTS_PER_SECOND, Duration::from_millis(100)).await;
    assert_eq!(count(&outcomes, 503, "calls-overloaded"), 0);
}

/// A response after the deadline of the run is useless, and the slot of the run is reassigned.
#[tokio::test(start_paused = true)]
async fn call_deadline_does_not_exceed_that_of_its_run() {
    let chain = CallChain::start(FAST_SERVICE, 60_000).await;
    chain.send("r", 10, Duration::from_secs(1)).await;
    let calls = chain.calls();
    assert_eq!(calls.len(), 10);
    for call in calls {
        let left: u64 = call.fields.text("umberpond-deadline").unwrap().parse().unwrap();
        assert!(left <= 1_000, "the call has {left} ms, but its run has only 1,000 ms");
    }
}
