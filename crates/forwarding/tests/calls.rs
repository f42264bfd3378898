//! Runs that call a service which is full.

mod support;

use std::time::Duration;

use support::chain::{Called, Chain, Outcome};
use umberpond_telemetry::Event;

/// It bears 16 calls a second.
const SLOW: Called = Called { host: 30, slots: 1, work: 60 };
/// It bears 800 calls a second.
const FAST: Called = Called { host: 31, slots: 8, work: 10 };
/// Requests of callers a second, a little more than the calling service bears by itself.
const PER_SECOND: u32 = 100;
/// Timeout of the called route, in milliseconds.
const CALL_TIME: u64 = 400;

fn count(outcomes: &[Outcome], status: u16, body: &str) -> usize {
    let is_counted = |outcome: &&Outcome| outcome.answer.status == status && outcome.answer.text() == body;
    outcomes.iter().filter(is_counted).count()
}

/// Every run held its slot until its call was refused, and its caller got a failure that it may have run.
#[tokio::test(start_paused = true)]
async fn runs_whose_calls_would_be_refused_are_refused_before_they_run() {
    let chain = Chain::start(SLOW, CALL_TIME).await;
    chain.send("w", PER_SECOND, Duration::from_secs(3)).await;
    let outcomes = chain.send("r", PER_SECOND, Duration::from_secs(3)).await;
    let withheld: Vec<&Outcome> =
        outcomes.iter().filter(|outcome| outcome.answer.text() == "calls-overloaded").collect();
    let (answered, failed) = (count(&outcomes, 200, ""), count(&outcomes, 500, ""));
    println!("{} withheld, {answered} answered, {failed} failed", withheld.len());
    assert!(withheld.len() >= 100, "{} of {}", withheld.len(), outcomes.len());
    assert!(answered >= 40, "{answered} answered, of 48 whose calls there was room for");
    assert!(failed < outcomes.len() / 3, "{failed} failed");
    for outcome in withheld {
        assert!(!chain.has_run(&outcome.id), "{} has run", outcome.id);
        assert!(outcome.answer.fields.contains("retry-after"));
        assert!(outcome.taken < Duration::from_millis(20), "{:?}", outcome.taken);
    }
    assert!(chain.recorder.events().iter().any(|event| matches!(event, Event::RunWithheld { .. })));
}

/// The node beside the full service ends in the middle of the load, and another one takes its place.
#[tokio::test(start_paused = true)]
async fn callers_of_a_node_that_has_ended_open_again_within_five_seconds() {
    let chain = Chain::start(SLOW, CALL_TIME).await;
    chain.send("w", PER_SECOND, Duration::from_secs(3)).await;
    chain.network.kill(support::host(SLOW.host));
    chain.replace_called_back_end(FAST).await;
    chain.send("o", PER_SECOND, Duration::from_secs(5)).await;
    let outcomes = chain.send("r", PER_SECOND, Duration::from_secs(2)).await;
    assert_eq!(count(&outcomes, 503, "calls-overloaded"), 0);
    assert_eq!(count(&outcomes, 500, ""), 0);
    assert!(count(&outcomes, 200, "") >= 150, "the calling service bears 80 a second");
}

/// Nothing is asked for a while, so that nothing is heard of the called service either.
#[tokio::test(start_paused = true)]
async fn without_news_for_five_seconds_no_run_is_withheld() {
    let chain = Chain::start(SLOW, CALL_TIME).await;
    chain.send("w", PER_SECOND, Duration::from_secs(3)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let outcomes = chain.send("r", PER_SECOND, Duration::from_millis(100)).await;
    assert_eq!(count(&outcomes, 503, "calls-overloaded"), 0);
}

/// An answer that comes after the end of the run is of no use, and its slot is another's.
#[tokio::test(start_paused = true)]
async fn a_call_ends_with_its_run() {
    let chain = Chain::start(FAST, 60_000).await;
    chain.send("r", 10, Duration::from_secs(1)).await;
    let calls = chain.calls();
    assert_eq!(calls.len(), 10);
    for call in calls {
        let left: u64 = call.fields.text("umberpond-deadline").unwrap().parse().unwrap();
        assert!(left <= 1_000, "{left} ms, and its run has 1,000");
    }
}
