//! Tests of a service whose back ends all reject a part of the requests although they have free slots. A
//! rejected request has not run, so the route's limit on runs is not used up, and another back end may take
//! it.

mod support;

use support::back_end::{ScriptedResponse, ok};
use support::{SLOTS, TestCluster, pause};
use umberpond_telemetry::Event;

const REJECTED: ScriptedResponse =
    ScriptedResponse::Raw("HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nContent-Length: 0\r\n\r\n");
const INVALID: ScriptedResponse = ScriptedResponse::RawThenClose("this is no answer\r\n\r\n");
/// Number of back ends that may run one request on the routes of these tests.
const ATTEMPTS: usize = 2;
/// Maximum number of back ends that a request reaches.
const MAX_ARRIVALS: usize = 4;

/// One back end that acts as given, and `count` that reject everything.
async fn world(count: usize, act: ScriptedResponse) -> TestCluster {
    let mut scripts = vec![vec![REJECTED]; count];
    scripts.push(vec![act]);
    TestCluster::with_routes(scripts).await
}

#[tokio::test(start_paused = true)]
async fn rejections_do_not_use_up_the_runs_of_the_route() {
    for path in ["/read/a", "/write/a"] {
        let world = world(ATTEMPTS + 1, ok("a")).await;
        for number in 0..20 {
            let response = world.caller().await.ask(path, &format!("r{number}")).await;
            assert_eq!((response.status, response.text()), (200, "a"), "{path} {number}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn rejected_request_reaches_four_back_ends_at_most() {
    let world = TestCluster::with_routes(vec![vec![REJECTED]; MAX_ARRIVALS + 3]).await;
    let response = world.caller().await.ask("/read/a", "r1").await;
    assert_eq!(response.status, 503);
    assert_eq!(world.arrivals(), MAX_ARRIVALS);
}

#[tokio::test(start_paused = true)]
async fn runs_stay_within_the_limit_of_the_route_after_rejections() {
    let mut scripts = vec![vec![REJECTED]; 2];
    scripts.extend(vec![vec![INVALID]; 4]);
    let world = TestCluster::with_routes(scripts).await;
    for number in 0..20 {
        let before = world.arrivals();
        let response = world.caller().await.ask("/read/a", &format!("r{number}")).await;
        assert_eq!(response.status, 502);
        assert!(world.arrivals() - before <= MAX_ARRIVALS);
    }
    for served in &world.served[2..] {
        let received = served.back_end.received();
        assert!(!received.is_empty());
    }
    for number in 0..20 {
        let id = format!("r{number}");
        let is_of =
            |received: &support::back_end::ReceivedRequest| received.text("umberpond-request") == Some(&id);
        let received = world.served[2..].iter().flat_map(|served| served.back_end.received());
        assert!(received.filter(is_of).count() <= ATTEMPTS);
    }
}

#[tokio::test(start_paused = true)]
async fn rejections_with_and_without_free_slots_have_different_reasons() {
    const SLOW_REJECTED: ScriptedResponse = ScriptedResponse::InTwoParts {
        first: "",
        second: "HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nContent-Length: 0\r\n\r\n",
        after: 50,
    };
    let world = TestCluster::with_routes(vec![vec![SLOW_REJECTED]]).await;
    world.caller().await.ask("/read/a", "alone").await;
    let mut pending = Vec::new();
    for number in 0..SLOTS {
        let mut caller = world.caller().await;
        pending.push(tokio::spawn(async move { caller.ask("/read/a", &format!("r{number}")).await }));
    }
    for task in pending {
        assert_eq!(task.await.unwrap().status, 503);
    }
    pause(1_000).await;
    let reasons: Vec<&str> = world.recorder.events().into_iter().filter_map(reason).collect();
    assert_eq!(reasons.first(), Some(&"back-end-rejected"));
    assert!(reasons[1..].contains(&"back-end-full"), "{reasons:?}");
}

fn reason(event: Event) -> Option<&'static str> {
    match event {
        Event::AdmissionRefused { reason, .. } => Some(reason),
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn retry_delays_after_a_fault_are_within_the_objective() {
    // The objective is 500 ms.
    let world = TestCluster::with_routes(vec![vec![REJECTED]; 2]).await;
    let mut delays = Vec::new();
    for number in 0..40 {
        let response = world.caller().await.ask("/read/a", &format!("r{number}")).await;
        assert_eq!(response.status, 503);
        delays.push(response.fields.text("retry-after").unwrap().parse::<f64>().unwrap());
    }
    assert!(delays.iter().all(|after| (0.005..=0.25).contains(after)), "{delays:?}");
    let (first, last) = delays.iter().fold((f64::MAX, 0.0_f64), |(low, high), x| (low.min(*x), high.max(*x)));
    assert!(last - first > 0.03, "all callers would retry together: {first} to {last}");
}

#[tokio::test(start_paused = true)]
async fn retry_delay_of_a_refused_caller_is_logged() {
    let world = TestCluster::with_routes(vec![vec![REJECTED]; 2]).await;
    world.caller().await.ask("/read/a", "r1").await;
    let logged_delay = |event: &Event| match event {
        Event::ComeBackTold { request, reason, after_millis, objective_left_millis, .. } => {
            Some((request.clone(), *reason, *after_millis, *objective_left_millis))
        }
        _ => None,
    };
    let lines: Vec<_> = world.recorder.events().iter().filter_map(logged_delay).collect();
    let [(request, reason, after, left)] = &lines[..] else { panic!("{lines:?}") };
    assert_eq!((request.as_str(), *reason), ("r1", "back-end-rejected"));
    assert!(after < left && *left < 500, "after {after} of {left} ms");
}
