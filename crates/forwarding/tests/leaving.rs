//! Back ends that shut down, and processes that stop.

mod support;

use std::time::Duration;

use support::back_end::{ScriptedResponse, ok};
use support::{SLOTS, TestCluster, name, pause};
use tokio::time::Instant;
use umberpond_forwarding::{BackEnd, BackEndFinding, ServerPhase};
use umberpond_model::BackEndProcess;

#[tokio::test(start_paused = true)]
async fn closed_back_end_gets_no_new_requests_and_finishes_running_ones() {
    let slow = ScriptedResponse::Respond { status: 200, body: "finished", after: 800 };
    let world = TestCluster::with_routes(vec![vec![slow.clone()]]).await;
    let mut tasks = Vec::new();
    for number in 0..4 {
        let mut caller = world.caller().await;
        tasks.push(tokio::spawn(async move { caller.ask("/write/a", &format!("r{number}")).await.status }));
    }
    pause(100).await;
    world.served[0].inbound.close();
    assert_eq!(world.caller().await.ask("/write/a", "late").await.status, 503);
    let mut statuses = Vec::new();
    for task in tasks {
        statuses.push(task.await.unwrap());
    }
    statuses.sort_unstable();
    // The requests that waited for a slot did not run and were rejected.
    assert_eq!(statuses, [200, 200, 503, 503]);
    assert_eq!(world.arrivals(), SLOTS as usize);
}

#[tokio::test(start_paused = true)]
async fn requests_waiting_for_a_closed_back_end_are_sent_to_another() {
    let slow = ScriptedResponse::Respond { status: 200, body: "a", after: 100 };
    let world = TestCluster::with_routes(vec![vec![slow.clone()], vec![slow]]).await;
    // Lets the nodes measure the service times of the back ends.
    for number in 0..6 {
        assert_eq!(world.caller().await.ask("/write/a", &format!("w{number}")).await.status, 200);
    }
    let before = world.served[0].back_end.received().len();
    let mut tasks = Vec::new();
    for number in 0..6 {
        let mut caller = world.caller().await;
        tasks.push(tokio::spawn(async move { caller.ask("/write/a", &format!("r{number}")).await.status }));
    }
    pause(20).await;
    world.served[0].inbound.close();
    for task in tasks {
        assert_eq!(task.await.unwrap(), 200);
    }
    assert_eq!(world.served[0].back_end.received().len() - before, SLOTS as usize);
}

#[tokio::test(start_paused = true)]
async fn request_is_not_sent_to_a_back_end_of_another_service() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    let address = "10.0.0.10:102".parse().unwrap();
    let other = BackEnd {
        process: BackEndProcess::of("another"),
        service: name("billing"),
        release: None,
        address,
        slots: SLOTS,
    };
    world.served[0].inbound.open(other);
    assert_eq!(world.caller().await.ask("/write/a", "r1").await.status, 503);
    assert_eq!(world.arrivals(), 0);
}

#[tokio::test(start_paused = true)]
async fn unreachable_back_end_is_reported_to_its_node() {
    let world = TestCluster::with_routes(vec![vec![ok("a")], vec![ok("b")]]).await;
    let unused_address = "10.0.0.10:999".parse().unwrap();
    let gone = BackEnd {
        process: BackEndProcess::of("life-10"),
        service: name("archive"),
        release: None,
        address: unused_address,
        slots: SLOTS,
    };
    let mut findings = world.served[0].inbound.watch_findings();
    world.served[0].inbound.open(gone);
    for number in 0..6 {
        assert_eq!(world.caller().await.ask("/write/a", &format!("r{number}")).await.text(), "b");
    }
    let unreachable = BackEndFinding::Unreachable(BackEndProcess::of("life-10"));
    assert_eq!(findings.recv().await, Some(unreachable));
}

#[tokio::test(start_paused = true)]
async fn health_check_returns_the_instance_and_the_slots() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    let address = "10.0.0.10:102".parse().unwrap();
    let health = world.served[0].inbound.probe_health(address, "/well").await.unwrap();
    assert_eq!((health.instance.as_deref(), health.slots), (Some("life-10"), Some(7)));
    let unused_address = "10.0.0.10:999".parse().unwrap();
    assert!(world.served[0].inbound.probe_health(unused_address, "/well").await.is_none());
}

#[tokio::test(start_paused = true)]
async fn draining_node_closes_each_connection_after_its_response() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    let mut kept = world.caller().await;
    assert_eq!(kept.ask("/write/a", "r1").await.fields.text("connection"), None);
    world.control.start_drain(Instant::now() + Duration::from_secs(5));
    let response = kept.ask("/write/a", "r2").await;
    assert_eq!((response.status, response.fields.text("connection")), (200, Some("close")));
    assert!(kept.read().await.is_none());
    assert_eq!(world.caller().await.ask("/write/a", "r3").await.status, 200);
}

#[tokio::test(start_paused = true)]
async fn refusing_node_sends_retry_after_immediately_and_finishes_open_requests() {
    let slow = ScriptedResponse::Respond { status: 200, body: "finished", after: 900 };
    let world = TestCluster::with_routes(vec![vec![slow]]).await;
    let mut open = world.caller().await;
    open.send("/write/a", "r1").await;
    pause(50).await;
    world.control.start_drain(Instant::now() + Duration::from_secs(5));
    world.control.advance(ServerPhase::Refusing);
    let began = Instant::now();
    let refused = world.caller().await.ask("/write/a", "r2").await;
    assert_eq!(refused.status, 503);
    assert!(refused.fields.contains("retry-after"));
    assert!(began.elapsed() < Duration::from_millis(20));
    assert_eq!(world.control.open_requests(), 1);
    assert_eq!(open.read().await.unwrap().text(), "finished");
    assert_eq!(world.control.open_requests(), 0);
}

#[tokio::test(start_paused = true)]
async fn every_request_gets_a_final_response_before_the_process_ends() {
    let world = TestCluster::with_routes(vec![vec![ScriptedResponse::NoResponse]]).await;
    let mut early = world.caller().await;
    early.send("/write/a", "r1").await;
    pause(50).await;
    let began = Instant::now();
    world.control.start_drain(began + Duration::from_millis(700));
    let mut late = world.caller().await;
    late.send("/write/a", "r2").await;
    assert_eq!(early.read().await.unwrap().status, 504);
    assert_eq!(late.read().await.unwrap().status, 504);
    assert!(began.elapsed() < Duration::from_millis(800), "{:?}", began.elapsed());
}

/// A heartbeat that changes what is known of the back end opened it again, although its node was about to end.
#[tokio::test(start_paused = true)]
async fn back_end_of_a_stopping_node_stays_closed_whatever_it_announces() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    let served = &world.served[0];
    let back_end = |slots, instance: &str| BackEnd {
        process: BackEndProcess::of(instance),
        service: "archive".parse().unwrap(),
        release: None,
        address: "10.0.0.10:102".parse().unwrap(),
        slots,
    };
    served.inbound.shut_down();
    for (number, back_end) in
        [back_end(5, &served.endpoint.instance), back_end(2, "next-life")].into_iter().enumerate()
    {
        served.inbound.open(back_end);
        assert_eq!(world.caller().await.ask("/write/a", &format!("r{number}")).await.status, 503);
    }
    assert_eq!(world.arrivals(), 0);
}
