//! Tests of the outcome that is reported for a request after a fault: it must be true, and must not claim
//! more than is known.

mod support;

use std::time::Duration;

use support::back_end::{ScriptedResponse, ok};
use support::{TestCluster, host, pause};
use tokio::time::Instant;
use umberpond_selection::RetryBudgetSettings;

const NOT_RUN: ScriptedResponse =
    ScriptedResponse::Raw("HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nContent-Length: 0\r\n\r\n");
const INVALID: ScriptedResponse = ScriptedResponse::RawThenClose("this is no answer\r\n\r\n");
const TRUNCATED: ScriptedResponse = ScriptedResponse::RawThenClose(
    "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 100\r\n\r\nonly a part",
);
const UNSIGNED: ScriptedResponse =
    ScriptedResponse::Raw("HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nContent-Length: 2\r\n\r\nno");
const ENCODED: ScriptedResponse = ScriptedResponse::Raw(
    "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Encoding: gzip\r\n\
     Content-Length: 2\r\n\r\nno",
);

#[tokio::test(start_paused = true)]
async fn rejected_request_is_sent_to_another_back_end_even_if_not_idempotent() {
    const MISDIRECTED: ScriptedResponse = ScriptedResponse::Raw(
        "HTTP/1.1 421 Other\r\numberpond-serving-instance: other\r\nContent-Length: 0\r\n\r\n",
    );
    for path in ["/read/a", "/write/a"] {
        for refusal in [NOT_RUN, MISDIRECTED] {
            let world = TestCluster::with_routes(vec![vec![refusal.clone()], vec![refusal]]).await;
            let response = world.caller().await.ask(path, "r1").await;
            assert_eq!(response.status, 503, "both back ends reported that they did not run it");
            assert!(response.fields.contains("retry-after"));
            assert_eq!(world.arrivals(), 2);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn idempotent_request_with_a_lost_response_is_retried() {
    for trouble in [INVALID, TRUNCATED, UNSIGNED, ENCODED] {
        let world =
            TestCluster::with_routes(vec![vec![trouble.clone(), ok("b")], vec![trouble, ok("b")]]).await;
        let response = world.caller().await.ask("/read/a", "r1").await;
        // The first response of each back end is invalid, and two attempts are all that the route allows.
        assert_eq!(response.status, 502);
        assert_eq!(world.arrivals(), 2);
        assert_eq!(world.caller().await.ask("/read/a", "r2").await.text(), "b");
    }
}

#[tokio::test(start_paused = true)]
async fn non_idempotent_request_with_a_lost_response_is_sent_once_and_its_outcome_is_unknown() {
    for trouble in [INVALID, TRUNCATED, UNSIGNED, ENCODED] {
        let world = TestCluster::with_routes(vec![vec![trouble.clone()], vec![trouble]]).await;
        let response = world.caller().await.ask("/write/a", "r1").await;
        assert_eq!(response.status, 502);
        assert!(!response.fields.contains("retry-after"));
        assert_eq!(world.arrivals(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn failure_response_to_a_non_idempotent_request_is_forwarded() {
    let failed = ScriptedResponse::Respond { status: 500, body: "sorry", after: 1 };
    let world = TestCluster::with_routes(vec![vec![failed.clone()], vec![failed]]).await;
    let response = world.caller().await.ask("/write/a", "r1").await;
    assert_eq!((response.status, response.text()), (500, "sorry"));
    assert!(response.fields.contains("x-proof"));
    assert_eq!(world.arrivals(), 1);
}

#[tokio::test(start_paused = true)]
async fn failure_response_of_the_last_attempt_is_forwarded() {
    let failed = ScriptedResponse::Respond { status: 500, body: "sorry", after: 1 };
    let world = TestCluster::with_routes(vec![vec![failed.clone()], vec![failed]]).await;
    let response = world.caller().await.ask("/read/a", "r1").await;
    assert_eq!((response.status, response.text()), (500, "sorry"));
    assert_eq!(world.arrivals(), 2);
}

#[tokio::test(start_paused = true)]
async fn silent_back_end_ends_in_the_timeout_of_the_route_with_unknown_outcome() {
    let world = TestCluster::with_routes(vec![vec![ScriptedResponse::NoResponse]]).await;
    let began = Instant::now();
    let response = world.caller().await.ask("/write/a", "r1").await;
    assert_eq!(response.status, 504);
    let taken = began.elapsed();
    assert!(taken > Duration::from_millis(1_900) && taken < Duration::from_millis(2_200), "{taken:?}");
    assert_eq!(world.arrivals(), 1);
}

#[tokio::test(start_paused = true)]
async fn request_that_timed_out_in_the_queue_is_reported_as_not_run() {
    let slow = ScriptedResponse::Respond { status: 200, body: "a", after: 1_900 };
    let world = TestCluster::with_routes(vec![vec![slow]]).await;
    let mut pending = Vec::new();
    for number in 0..3 {
        let mut caller = world.caller().await;
        pending.push(tokio::spawn(async move { caller.ask("/write/a", &format!("r{number}")).await.status }));
        pause(1).await;
    }
    let mut statuses = Vec::new();
    for task in pending {
        statuses.push(task.await.unwrap());
    }
    // The third request got a slot with hardly any time left, or none at all.
    assert_eq!(statuses[..2], [200, 200]);
    let arrived = world.arrivals();
    assert!(
        (statuses[2] == 503 && arrived == 2) || (statuses[2] == 504 && arrived == 3),
        "{statuses:?} {arrived}"
    );
}

#[tokio::test(start_paused = true)]
async fn duplicated_response_is_not_taken_for_that_of_the_next_request() {
    const FIRST: ScriptedResponse = ScriptedResponse::Raw(
        "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 5\r\n\r\nfirst",
    );
    // The first response is written a second time, just before the next one.
    const LATE: ScriptedResponse = ScriptedResponse::Raw(
        "HTTP/1.1 200 OK\r\numberpond-request: r1\r\nx-proof: p\r\nContent-Length: 5\r\n\r\nfirst\
         HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 6\r\n\r\nsecond",
    );
    let world = TestCluster::with_routes(vec![vec![FIRST, LATE]]).await;
    let mut caller = world.caller().await;
    assert_eq!(caller.ask("/write/a", "r1").await.text(), "first");
    assert_eq!(caller.ask("/write/a", "r2").await.text(), "second");
    assert_eq!(world.served[0].back_end.connections(), 1);
}

#[tokio::test(start_paused = true)]
async fn bytes_after_a_complete_response_are_not_taken_for_the_next_response() {
    const MORE: ScriptedResponse = ScriptedResponse::Raw(
        "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 5\r\n\r\nfirst\
         and more of it",
    );
    let world = TestCluster::with_routes(vec![vec![MORE, ok("second")]]).await;
    let mut caller = world.caller().await;
    assert_eq!(caller.ask("/write/a", "r1").await.text(), "first");
    assert_eq!(caller.ask("/write/a", "r2").await.text(), "second");
    assert_eq!(world.served[0].back_end.connections(), 2, "the first connection must not be reused");
}

#[tokio::test(start_paused = true)]
async fn response_without_length_is_complete_only_at_a_clean_close() {
    const UNFRAMED: ScriptedResponse = ScriptedResponse::RawThenClose(
        "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\n\r\nall there is",
    );
    let world = TestCluster::with_routes(vec![vec![UNFRAMED]]).await;
    let response = world.caller().await.ask("/write/a", "r1").await;
    assert_eq!((response.status, response.text()), (200, "all there is"));

    const HELD: ScriptedResponse =
        ScriptedResponse::Raw("HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\n\r\nall there");
    let world = TestCluster::with_routes(vec![vec![HELD]]).await;
    let mut caller = world.caller().await;
    caller.send("/write/a", "r1").await;
    pause(100).await;
    // The back end's machine resets its connections, including the one between the two nodes.
    world.network.reset(host(10));
    assert_eq!(caller.read().await.unwrap().status, 502);
}

#[tokio::test(start_paused = true)]
async fn early_response_is_forwarded_and_the_connection_is_not_reused() {
    let early = ScriptedResponse::RespondEarly { status: 413, body: "too long for me" };
    let world = TestCluster::with_routes(vec![vec![early, ok("next")]]).await;
    let mut caller = world.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: r1\r\n";
    caller.write(format!("{head}Content-Length: 500000\r\n\r\n")).await;
    caller.write(vec![b'x'; 300_000]).await;
    let response = caller.read().await.unwrap();
    assert_eq!((response.status, response.text()), (413, "too long for me"));
    let response = world.caller().await.ask("/write/a", "r2").await;
    assert_eq!(response.text(), "next");
    let received = world.served[0].back_end.received();
    assert_eq!(
        received.last().unwrap().connection,
        2,
        "the first connection still expects the rest of the body"
    );
}

#[tokio::test(start_paused = true)]
async fn truncated_request_body_never_reaches_a_back_end() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    let mut caller = world.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: r1\r\n";
    caller.write(format!("{head}Content-Length: 1000\r\n\r\nonly a part")).await;
    drop(caller);
    pause(500).await;
    assert_eq!(world.arrivals(), 0);
}

#[tokio::test(start_paused = true)]
async fn requests_to_a_dead_node_are_sent_elsewhere() {
    let world = TestCluster::with_routes(vec![vec![ok("a")], vec![ok("b")]]).await;
    world.network.kill(host(10));
    for number in 0..5 {
        let response = world.caller().await.ask("/write/a", &format!("r{number}")).await;
        assert_eq!((response.status, response.text()), (200, "b"));
    }
}

#[tokio::test(start_paused = true)]
async fn node_crash_during_a_request_leaves_its_outcome_unknown() {
    let slow = ScriptedResponse::Respond { status: 200, body: "a", after: 1_000 };
    let world = TestCluster::with_routes(vec![vec![slow]]).await;
    let mut caller = world.caller().await;
    caller.send("/write/a", "r1").await;
    pause(100).await;
    world.network.kill(host(10));
    assert_eq!(caller.read().await.unwrap().status, 502);
}

#[tokio::test(start_paused = true)]
async fn caller_disconnect_cancels_the_request_at_the_back_end() {
    let slow = ScriptedResponse::Respond { status: 200, body: "a", after: 1_500 };
    let world = TestCluster::with_routes(vec![vec![slow]]).await;
    let mut caller = world.caller().await;
    caller.send("/read/a", "r1").await;
    pause(200).await;
    assert_eq!(world.arrivals(), 1);
    let left = Instant::now();
    drop(caller);
    pause(400).await;
    let closed = world.served[0].back_end.closed();
    let [(_, at)] = closed[..] else { panic!("{closed:?}") };
    assert!(at - left < Duration::from_millis(100), "{:?}", at - left);
    assert_eq!(world.served[0].inbound.load().running, 0);
}

#[tokio::test(start_paused = true)]
async fn caller_disconnect_cancels_all_pipelined_requests() {
    let slow = ScriptedResponse::Respond { status: 200, body: "a", after: 1_500 };
    let world = TestCluster::with_routes(vec![vec![slow]]).await;
    let mut caller = world.caller().await;
    for number in 0..6 {
        caller.send("/read/a", &format!("r{number}")).await;
    }
    pause(100).await;
    drop(caller);
    pause(100).await;
    let load = world.served[0].inbound.load();
    assert_eq!((load.running, load.waiting), (0, 0));
    pause(2_000).await;
    assert_eq!(world.arrivals(), 2, "only requests that had a slot may run");
}

#[tokio::test(start_paused = true)]
async fn retries_stay_within_the_retry_budget() {
    let failed = ScriptedResponse::Respond { status: 500, body: "sorry", after: 1 };
    let budget = RetryBudgetSettings { ratio: 0.2, extra: 100.0, window: Duration::from_secs(10) };
    let world = TestCluster::with_budget(vec![vec![failed.clone()], vec![failed]], budget).await;
    world.outbound.set_sharing_nodes(1);
    let mut caller = world.caller().await;
    caller.ask("/read/a", "first").await;
    assert_eq!(world.arrivals(), 1, "a process that has just started has no saved budget");
    pause(10_000).await;
    let began = Instant::now();
    for number in 0..300 {
        caller.ask("/read/a", &format!("r{number}")).await;
    }
    // Half of the extra budget was saved, the other half accrues meanwhile, and each request adds a tenth.
    let saved = 50.0 + 30.0 + 50.0 * began.elapsed().as_secs_f64() / 10.0;
    let repeats = u32::try_from(world.arrivals() - 301).unwrap();
    assert!((saved - 2.0..=saved).contains(&f64::from(repeats)), "{repeats} of {saved}");
}
