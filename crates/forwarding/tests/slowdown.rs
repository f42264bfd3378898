//! Back ends that report their current slowdown.

mod support;

use std::net::SocketAddr;

use support::back_end::ScriptedResponse;
use support::{BACK_END_PORT, TestCluster, host};
use umberpond_forwarding::ReportedSlowdown;
use umberpond_telemetry::Event;

/// Service time of the back end in milliseconds. The objective is 500 ms.
const WORK_MILLIS: u64 = 100;
const HEAD: &str = "HTTP/1.1 200 Said\r\numberpond-request: {id}\r\nx-proof: proof\r\n";
const USUAL: &str = "umberpond-load: 1,0,2,100\r\nContent-Length: 1\r\n\r\na";
const SLOW: &str = "umberpond-load: 1,0,2,900\r\nContent-Length: 1\r\n\r\na";

const fn responding(rest: &'static str) -> ScriptedResponse {
    ScriptedResponse::InTwoParts { first: HEAD, second: rest, after: WORK_MILLIS }
}

/// Sends `count` requests for `/read/a`.
async fn ask(world: &TestCluster, prefix: &str, count: usize) {
    let mut caller = world.caller().await;
    for number in 0..count {
        assert_eq!(caller.ask("/read/a", &format!("{prefix}{number}")).await.status, 200);
    }
}

fn avoided_count(world: &TestCluster) -> usize {
    let events = world.recorder.events();
    events.iter().filter(|event| matches!(event, Event::SlowBackEndAvoided { .. })).count()
}

#[tokio::test(start_paused = true)]
async fn reported_slowdown_is_in_the_load_report_until_it_expires() {
    let world = TestCluster::with_routes(vec![vec![responding(USUAL), responding(SLOW)]]).await;
    let load = || world.served[0].inbound.load();
    assert_eq!(load().slowdown_percent, 0);
    ask(&world, "a", 1).await;
    assert_eq!(load().slowdown_percent, 100);
    ask(&world, "b", 1).await;
    assert_eq!(load().slowdown_percent, 900);
    support::pause(1_000).await;
    assert_eq!(load().slowdown_percent, 0);
}

/// Invalid values are ignored, and the response still counts.
#[tokio::test(start_paused = true)]
async fn invalid_slowdown_is_counted_and_ignored() {
    let invalid = [
        "umberpond-load: 1,0,2,0\r\nContent-Length: 1\r\n\r\na",
        "umberpond-load: 1,0,2,-5\r\nContent-Length: 1\r\n\r\na",
        "umberpond-load: 1,0,2,fast\r\nContent-Length: 1\r\n\r\na",
        "umberpond-load: 1,0,2,60000\r\nContent-Length: 1\r\n\r\na",
        "umberpond-load: 1,0,2\r\nContent-Length: 1\r\n\r\na",
    ];
    let world = TestCluster::with_routes(vec![invalid.map(responding).to_vec()]).await;
    ask(&world, "a", invalid.len()).await;
    assert_eq!(world.served[0].inbound.load().slowdown_percent, 0);
    let learnt = world.served[0].inbound.load().service_time().unwrap().as_millis();
    // Includes the network latency to and from the back end.
    assert!((100..=105).contains(&learnt), "{learnt} ms");
    let page = world.telemetry.metrics().encode();
    assert!(page.contains(r#"umberpond_slowdown_words_total{outcome="invalid"} 4"#), "{page}");
}

/// The only back end is slow: requests that would be late there are rejected without a run, and served again
/// once the reported slowdown has expired.
#[tokio::test(start_paused = true)]
async fn late_requests_are_rejected_without_a_run_until_the_slowdown_expires() {
    let usual = vec![responding(USUAL); 10];
    let world =
        TestCluster::with_routes(vec![[usual, vec![responding(SLOW), responding(USUAL)]].concat()]).await;
    ask(&world, "a", 11).await;
    let refused = world.caller().await.ask("/read/a", "b").await;
    assert_eq!(refused.status, 503);
    assert!(refused.fields.contains("retry-after"));
    assert_eq!((world.arrivals(), avoided_count(&world)), (11, 1));
    support::pause(1_000).await;
    ask(&world, "c", 1).await;
    assert_eq!((world.arrivals(), avoided_count(&world)), (12, 1));
}

/// The slowdown in a health response counts like that in any other response, unless another back end reports
/// it.
#[tokio::test(start_paused = true)]
async fn slowdown_in_a_health_response_counts_only_from_the_current_back_end() {
    let world = TestCluster::with_routes(vec![vec![responding(USUAL)], vec![responding(USUAL)]]).await;
    let [present, another] = [10, 11].map(|number| SocketAddr::new(host(number), BACK_END_PORT));
    let inbound = &world.served[0].inbound;
    world.served[0].back_end.set_health_load("1,0,7,250");
    world.served[1].back_end.set_health_load("1,0,7,400");
    assert_eq!(
        inbound.probe_health(present, "/well").await.unwrap().slowdown,
        ReportedSlowdown::Percent(250)
    );
    assert_eq!(inbound.load().slowdown_percent, 250);
    assert!(inbound.probe_health(another, "/well").await.is_some());
    assert_eq!(inbound.load().slowdown_percent, 250);
    world.served[0].back_end.set_health_load("1,0,7");
    assert!(inbound.probe_health(present, "/well").await.is_some());
    assert_eq!(inbound.load().slowdown_percent, 250);
}

/// Each response time is compared with the expected one, and counted by the cause of the difference.
#[tokio::test(start_paused = true)]
async fn responses_are_counted_by_the_ratio_of_actual_to_expected_time() {
    let slow = ScriptedResponse::InTwoParts { first: HEAD, second: USUAL, after: 8 * WORK_MILLIS };
    let world = TestCluster::with_routes(vec![[vec![responding(USUAL); 10], vec![slow]].concat()]).await;
    ask(&world, "a", 10).await;
    let has = |line: &str| world.telemetry.metrics().encode().lines().any(|found| found == line);
    assert!(has(r#"umberpond_answer_expected_ratios_bucket{le="5.0",cause="work"} 10"#));
    ask(&world, "b", 1).await;
    assert!(has(r#"umberpond_answer_expected_ratios_bucket{le="5.0",cause="work"} 10"#));
    assert!(has(r#"umberpond_answer_expected_ratios_bucket{le="10.0",cause="work"} 11"#));
}
