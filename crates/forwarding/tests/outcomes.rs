//! What is told about a request when something goes wrong: the truth, and no more.

mod support;

use std::time::Duration;

use support::back_end::{ScriptedResponse, ok};
use support::{World, host, pause};
use tokio::time::Instant;
use umberpond_selection::RetryBudgetSettings;

const NOT_RUN: ScriptedResponse =
    ScriptedResponse::Raw("HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nContent-Length: 0\r\n\r\n");
const SPOILED: ScriptedResponse = ScriptedResponse::RawThenClose("this is no answer\r\n\r\n");
const CUT: ScriptedResponse = ScriptedResponse::RawThenClose(
    "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 100\r\n\r\nonly a part",
);
const UNSIGNED: ScriptedResponse =
    ScriptedResponse::Raw("HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nContent-Length: 2\r\n\r\nno");
const ENCODED: ScriptedResponse = ScriptedResponse::Raw(
    "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Encoding: gzip\r\n\
     Content-Length: 2\r\n\r\nno",
);

#[tokio::test(start_paused = true)]
async fn a_request_that_a_back_end_did_not_run_is_sent_to_another_whatever_its_kind() {
    const MISDIRECTED: ScriptedResponse = ScriptedResponse::Raw(
        "HTTP/1.1 421 Other\r\numberpond-serving-instance: other\r\nContent-Length: 0\r\n\r\n",
    );
    for path in ["/read/a", "/write/a"] {
        for refusal in [NOT_RUN, MISDIRECTED] {
            let world = World::with_routes(vec![vec![refusal.clone()], vec![refusal]]).await;
            let answer = world.caller().await.ask(path, "r1").await;
            assert_eq!(answer.status, 503, "both said that they did not run it");
            assert!(answer.fields.contains("retry-after"));
            assert_eq!(world.arrivals(), 2);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_idempotent_request_whose_answer_is_lost_is_sent_again() {
    for trouble in [SPOILED, CUT, UNSIGNED, ENCODED] {
        let world = World::with_routes(vec![vec![trouble.clone(), ok("b")], vec![trouble, ok("b")]]).await;
        let answer = world.caller().await.ask("/read/a", "r1").await;
        // Each back end spoils its first answer: two attempts are all that the route allows.
        assert_eq!(answer.status, 502);
        assert_eq!(world.arrivals(), 2);
        assert_eq!(world.caller().await.ask("/read/a", "r2").await.text(), "b");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_must_not_repeat_is_sent_once_and_nothing_is_promised() {
    for trouble in [SPOILED, CUT, UNSIGNED, ENCODED] {
        let world = World::with_routes(vec![vec![trouble.clone()], vec![trouble]]).await;
        let answer = world.caller().await.ask("/write/a", "r1").await;
        assert_eq!(answer.status, 502);
        assert!(!answer.fields.contains("retry-after"));
        assert_eq!(world.arrivals(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn a_failure_of_the_back_end_is_passed_on_if_the_request_must_not_repeat() {
    let failed = ScriptedResponse::Answer { status: 500, body: "sorry", after: 1 };
    let world = World::with_routes(vec![vec![failed.clone()], vec![failed]]).await;
    let answer = world.caller().await.ask("/write/a", "r1").await;
    assert_eq!((answer.status, answer.text()), (500, "sorry"));
    assert!(answer.fields.contains("x-proof"));
    assert_eq!(world.arrivals(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_second_answer_of_a_failing_back_end_is_the_last_one() {
    let failed = ScriptedResponse::Answer { status: 500, body: "sorry", after: 1 };
    let world = World::with_routes(vec![vec![failed.clone()], vec![failed]]).await;
    let answer = world.caller().await.ask("/read/a", "r1").await;
    assert_eq!((answer.status, answer.text()), (500, "sorry"));
    assert_eq!(world.arrivals(), 2);
}

#[tokio::test(start_paused = true)]
async fn silence_ends_at_the_time_of_the_route_without_a_promise() {
    let world = World::with_routes(vec![vec![ScriptedResponse::Silence]]).await;
    let began = Instant::now();
    let answer = world.caller().await.ask("/write/a", "r1").await;
    assert_eq!(answer.status, 504);
    let taken = began.elapsed();
    assert!(taken > Duration::from_millis(1_900) && taken < Duration::from_millis(2_200), "{taken:?}");
    assert_eq!(world.arrivals(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waited_until_the_end_of_its_time_is_promised_not_to_have_run() {
    let slow = ScriptedResponse::Answer { status: 200, body: "a", after: 1_900 };
    let world = World::with_routes(vec![vec![slow]]).await;
    let mut asking = Vec::new();
    for number in 0..3 {
        let mut caller = world.caller().await;
        asking.push(tokio::spawn(async move { caller.ask("/write/a", &format!("r{number}")).await.status }));
        pause(1).await;
    }
    let mut told = Vec::new();
    for asked in asking {
        told.push(asked.await.unwrap());
    }
    // The third got a slot when there was hardly any time left, or none at all.
    assert_eq!(told[..2], [200, 200]);
    let arrived = world.arrivals();
    assert!((told[2] == 503 && arrived == 2) || (told[2] == 504 && arrived == 3), "{told:?} {arrived}");
}

#[tokio::test(start_paused = true)]
async fn a_surplus_answer_in_the_place_of_the_next_is_passed_over() {
    const TWICE: ScriptedResponse = ScriptedResponse::Raw(
        "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 5\r\n\r\nfirst",
    );
    // The first answer is written a second time, just before the next one.
    const LATE: ScriptedResponse = ScriptedResponse::Raw(
        "HTTP/1.1 200 OK\r\numberpond-request: r1\r\nx-proof: p\r\nContent-Length: 5\r\n\r\nfirst\
         HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 6\r\n\r\nsecond",
    );
    let world = World::with_routes(vec![vec![TWICE, LATE]]).await;
    let mut caller = world.caller().await;
    assert_eq!(caller.ask("/write/a", "r1").await.text(), "first");
    assert_eq!(caller.ask("/write/a", "r2").await.text(), "second");
    assert_eq!(world.served[0].back_end.connections(), 1);
}

#[tokio::test(start_paused = true)]
async fn bytes_after_a_whole_answer_belong_to_no_request() {
    const MORE: ScriptedResponse = ScriptedResponse::Raw(
        "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 5\r\n\r\nfirst\
         and more of it",
    );
    let world = World::with_routes(vec![vec![MORE, ok("second")]]).await;
    let mut caller = world.caller().await;
    assert_eq!(caller.ask("/write/a", "r1").await.text(), "first");
    assert_eq!(caller.ask("/write/a", "r2").await.text(), "second");
    assert_eq!(world.served[0].back_end.connections(), 2, "the first connection can't be trusted");
}

#[tokio::test(start_paused = true)]
async fn an_answer_without_a_length_is_whole_at_a_clean_end_and_at_no_other() {
    const UNFRAMED: ScriptedResponse = ScriptedResponse::RawThenClose(
        "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\n\r\nall there is",
    );
    let world = World::with_routes(vec![vec![UNFRAMED]]).await;
    let answer = world.caller().await.ask("/write/a", "r1").await;
    assert_eq!((answer.status, answer.text()), (200, "all there is"));

    const HELD: ScriptedResponse =
        ScriptedResponse::Raw("HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\n\r\nall there");
    let world = World::with_routes(vec![vec![HELD]]).await;
    let mut caller = world.caller().await;
    caller.send("/write/a", "r1").await;
    pause(100).await;
    // The back end's machine resets its connections; so is the connection between the two nodes.
    world.network.reset(host(10));
    assert_eq!(caller.read().await.unwrap().status, 502);
}

#[tokio::test(start_paused = true)]
async fn an_early_answer_is_passed_on_and_the_rest_of_the_body_reaches_nobody() {
    let early = ScriptedResponse::EarlyAnswer { status: 413, body: "too long for me" };
    let world = World::with_routes(vec![vec![early, ok("next")]]).await;
    let mut caller = world.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: r1\r\n";
    caller.write(format!("{head}Content-Length: 500000\r\n\r\n")).await;
    caller.write(vec![b'x'; 300_000]).await;
    let answer = caller.read().await.unwrap();
    assert_eq!((answer.status, answer.text()), (413, "too long for me"));
    let answer = world.caller().await.ask("/write/a", "r2").await;
    assert_eq!(answer.text(), "next");
    let seen = world.served[0].back_end.seen();
    assert_eq!(seen.last().unwrap().connection, 2, "the rest of the body is still due on the first");
}

#[tokio::test(start_paused = true)]
async fn a_body_that_breaks_off_runs_nothing_more_and_the_caller_is_gone() {
    let world = World::with_routes(vec![vec![ok("a")]]).await;
    let mut caller = world.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: r1\r\n";
    caller.write(format!("{head}Content-Length: 1000\r\n\r\nonly a part")).await;
    drop(caller);
    pause(500).await;
    assert_eq!(world.arrivals(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_dead_node_is_found_out_and_the_request_goes_elsewhere() {
    let world = World::with_routes(vec![vec![ok("a")], vec![ok("b")]]).await;
    world.network.kill(host(10));
    for number in 0..5 {
        let answer = world.caller().await.ask("/write/a", &format!("r{number}")).await;
        assert_eq!((answer.status, answer.text()), (200, "b"));
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_dies_with_a_request_leaves_its_outcome_unknown() {
    let slow = ScriptedResponse::Answer { status: 200, body: "a", after: 1_000 };
    let world = World::with_routes(vec![vec![slow]]).await;
    let mut caller = world.caller().await;
    caller.send("/write/a", "r1").await;
    pause(100).await;
    world.network.kill(host(10));
    assert_eq!(caller.read().await.unwrap().status, 502);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_ends_the_work_at_the_back_end() {
    let slow = ScriptedResponse::Answer { status: 200, body: "a", after: 1_500 };
    let world = World::with_routes(vec![vec![slow]]).await;
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
async fn a_caller_that_leaves_with_pipelined_requests_behind_ends_them_all() {
    let slow = ScriptedResponse::Answer { status: 200, body: "a", after: 1_500 };
    let world = World::with_routes(vec![vec![slow]]).await;
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
    assert_eq!(world.arrivals(), 2, "only those that had a slot ever ran");
}

#[tokio::test(start_paused = true)]
async fn the_retry_budget_bounds_what_is_sent_again() {
    let failed = ScriptedResponse::Answer { status: 500, body: "sorry", after: 1 };
    let budget = RetryBudgetSettings { ratio: 0.2, extra: 100.0, window: Duration::from_secs(10) };
    let world = World::with_budget(vec![vec![failed.clone()], vec![failed]], budget).await;
    world.outbound.set_sharing_nodes(1);
    let mut caller = world.caller().await;
    caller.ask("/read/a", "first").await;
    assert_eq!(world.arrivals(), 1, "a process that has just started has saved nothing");
    pause(10_000).await;
    let began = Instant::now();
    for number in 0..300 {
        caller.ask("/read/a", &format!("r{number}")).await;
    }
    // Half of the extra was saved, the other half comes in meanwhile, and each request earns a tenth.
    let saved = 50.0 + 30.0 + 50.0 * began.elapsed().as_secs_f64() / 10.0;
    let repeats = u32::try_from(world.arrivals() - 301).unwrap();
    assert!((saved - 2.0..=saved).contains(&f64::from(repeats)), "{repeats} of {saved}");
}
