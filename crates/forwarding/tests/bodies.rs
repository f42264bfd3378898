//! Long request bodies: when they are transferred, and their effect on other requests.

mod support;

use support::back_end::{ScriptedResponse, ok};
use support::caller::get;
use support::{TestCluster, host, pause};
use tokio::time::Instant;
use umberpond_forwarding::BackEnd;

/// Bandwidth of the slow links in bytes per second.
const SLOW_LINK: f64 = 1_250_000.0;
const CALLERS: u8 = 1;

fn upload_head(id: &str, length: usize) -> String {
    format!(
        "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: {id}\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Bytes of all values, so that no codec can compress them.
fn incompressible(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index.wrapping_mul(2_654_435_761) >> 7) as u8).collect()
}

/// Sets the number of slots of the first node's back end.
fn set_slots(world: &TestCluster, slots: u32) {
    let served = &world.served[0];
    served.inbound.open(BackEnd {
        process: umberpond_model::BackEndProcess::of(&served.endpoint.instance),
        release: None,
        service: "archive".parse().unwrap(),
        address: std::net::SocketAddr::new(host(10), support::BACK_END_PORT),
        slots,
    });
}

#[tokio::test(start_paused = true)]
async fn long_body_is_sent_to_another_back_end_after_a_rejection() {
    let world = TestCluster::with_routes(vec![vec![ok("a")], vec![ok("b")]]).await;
    world.served[0].inbound.close();
    let long = incompressible(360_000);
    for number in 0..6 {
        let mut caller = world.caller().await;
        caller.write(upload_head(&format!("r{number}"), long.len())).await;
        caller.write(&long).await;
        let response = caller.read().await.unwrap();
        assert_eq!((response.status, response.text()), (200, "b"));
    }
    let received = world.served[1].back_end.received();
    assert_eq!(received.len(), 6);
    assert!(received.iter().all(|received| received.body == long));
}

#[tokio::test(start_paused = true)]
async fn body_of_a_rejected_request_is_not_sent_over_the_link() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    world.served[0].inbound.close();
    for number in 0..6 {
        let mut caller = world.caller().await;
        caller.write(upload_head(&format!("r{number}"), 200_000)).await;
        caller.write(incompressible(200_000)).await;
        assert_eq!(caller.read().await.unwrap().status, 503);
    }
    let sent = world.network.bytes_sent(host(CALLERS), host(10));
    assert!(sent < 10_000, "{sent} bytes were sent for rejected requests");
}

#[tokio::test(start_paused = true)]
async fn rejection_of_a_long_body_closes_the_connection_after_the_response() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    world.served[0].inbound.close();
    let mut caller = world.caller().await;
    caller.write(upload_head("r1", 200_000)).await;
    caller.write(vec![b'x'; 50_000]).await;
    let response = caller.read().await.unwrap();
    assert_eq!((response.status, response.fields.contains("retry-after")), (503, true));
    assert_eq!(response.fields.text("connection"), Some("close"), "the remainder of the body was not read");
}

#[tokio::test(start_paused = true)]
async fn small_requests_are_not_blocked_by_long_bodies_on_a_slow_link() {
    let world = TestCluster::with_link(vec![vec![ok("a")]], SLOW_LINK).await;
    set_slots(&world, 12);
    // Lets the node measure the service time of the back end.
    for number in 0..3 {
        assert_eq!(world.caller().await.ask("/write/a", &format!("w{number}")).await.status, 200);
    }
    world.network.limit_bandwidth(host(CALLERS), 1_250_000);
    let mut uploads = Vec::new();
    for number in 0..4 {
        let mut caller = world.caller().await;
        uploads.push(tokio::spawn(async move {
            caller.write(upload_head(&format!("u{number}"), 60_000)).await;
            caller.write(incompressible(60_000)).await;
            caller.read().await.unwrap().status
        }));
    }
    pause(60).await;
    let mut caller = world.caller().await;
    for number in 0..3 {
        let began = Instant::now();
        caller.write(get("/read/a", &format!("r{number}"))).await;
        assert_eq!(caller.read().await.unwrap().status, 200);
        let taken = began.elapsed().as_millis();
        assert!(taken <= 60, "a small request took {taken} ms");
    }
    for upload in uploads {
        assert_eq!(upload.await.unwrap(), 200);
    }
}

#[tokio::test(start_paused = true)]
async fn body_that_would_arrive_too_late_is_rejected_before_the_transfer() {
    let slow = ScriptedResponse::Respond { status: 200, body: "a", after: 50 };
    let world = TestCluster::with_link(vec![vec![slow]], SLOW_LINK).await;
    set_slots(&world, 64);
    world.network.limit_bandwidth(host(CALLERS), 1_250_000);
    let mut uploads = Vec::new();
    for number in 0..30 {
        let mut caller = world.caller().await;
        uploads.push(tokio::spawn(async move {
            let began = Instant::now();
            caller.write(upload_head(&format!("u{number}"), 60_000)).await;
            caller.write(incompressible(60_000)).await;
            (caller.read().await.unwrap().status, began.elapsed().as_millis())
        }));
    }
    let (mut served, mut refused) = (0, 0);
    for upload in uploads {
        match upload.await.unwrap() {
            (200, taken) => {
                served += 1;
                assert!(taken <= 500, "response after {taken} ms, beyond the objective");
            }
            (status, taken) => {
                refused += 1;
                assert_eq!(status, 503);
                assert!(taken <= 60, "rejected after {taken} ms");
            }
        }
    }
    // The link transfers ten bodies in 500 ms.
    assert!((4..=10).contains(&served), "{served} were served, {refused} rejected");
}

#[tokio::test(start_paused = true)]
async fn body_truncated_by_the_caller_ends_the_back_end_connection() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    let mut caller = world.caller().await;
    caller.write(upload_head("r1", 360_000)).await;
    caller.write(vec![b'x'; 100_000]).await;
    pause(50).await;
    drop(caller);
    pause(500).await;
    assert_eq!(world.arrivals(), 0, "the back end has received no complete request");
    assert_eq!(world.caller().await.ask("/read/a", "r2").await.status, 200);
    let received = world.served[0].back_end.received();
    assert_eq!((received.len(), received[0].connection), (1, 2), "the next request uses another connection");
}

#[tokio::test(start_paused = true)]
async fn body_interrupted_by_a_node_crash_has_an_unknown_outcome() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    let mut caller = world.caller().await;
    caller.write(upload_head("r1", 360_000)).await;
    caller.write(vec![b'x'; 100_000]).await;
    pause(50).await;
    world.network.kill(host(10));
    let response = caller.read().await.unwrap();
    assert_eq!(response.status, 502, "the request head has reached the back end");
}

#[tokio::test(start_paused = true)]
async fn long_chunked_body_arrives_complete() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    let mut caller = world.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: r1\r\n";
    caller.write(format!("{head}Transfer-Encoding: chunked\r\n\r\n")).await;
    for _ in 0..90 {
        caller.write(format!("fa0\r\n{}\r\n", "y".repeat(4000))).await;
    }
    caller.write("0\r\n\r\n").await;
    assert_eq!(caller.read().await.unwrap().status, 200);
    assert_eq!(world.served[0].back_end.received()[0].body, vec![b'y'; 360_000]);
}

#[tokio::test(start_paused = true)]
async fn late_response_to_an_earlier_request_is_not_taken_for_that_of_a_long_body() {
    let first = ScriptedResponse::InTwoParts {
        first: "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 3\r\n\r\none",
        second: "HTTP/1.1 200 OK\r\numberpond-request: r1\r\nx-proof: p\r\nContent-Length: 4\r\n\r\nlate",
        after: 30,
    };
    let world = TestCluster::with_routes(vec![vec![first, ok("own")]]).await;
    assert_eq!(world.caller().await.ask("/read/a", "r1").await.text(), "one");
    let mut caller = world.caller().await;
    caller.write(upload_head("r2", 200_000)).await;
    pause(10).await;
    caller.write(incompressible(200_000)).await;
    let response = caller.read().await.unwrap();
    assert_eq!((response.status, response.text()), (200, "own"));
}

/// Moves the first node to a zone other than that of the callers.
fn move_to_other_zone(world: &mut TestCluster) {
    world.served[0].endpoint.locality.zone = "b".parse().unwrap();
    world.publish_endpoints();
}

/// Traffic between zones is expensive, and under overload most requests sent there are rejected.
#[tokio::test(start_paused = true)]
async fn body_is_sent_to_another_zone_only_once_its_request_has_a_slot() {
    let mut world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    move_to_other_zone(&mut world);
    let body = incompressible(6_000);
    let mut caller = world.caller().await;
    caller.write(upload_head("r1", body.len())).await;
    caller.write(&body).await;
    assert_eq!(caller.read().await.unwrap().status, 200);
    assert_eq!(world.served[0].back_end.received()[0].body, body);
    let before = world.network.bytes_sent(host(CALLERS), host(10));
    world.served[0].inbound.close();
    for number in 0..4 {
        let mut caller = world.caller().await;
        caller.write(upload_head(&format!("refused{number}"), body.len())).await;
        caller.write(&body).await;
        assert_eq!(caller.read().await.unwrap().status, 503);
    }
    let sent = world.network.bytes_sent(host(CALLERS), host(10)) - before;
    assert!(sent < 3_000, "{sent} bytes were sent for rejected requests");
}

/// The body can be sent again, unlike that of a caller that is still sending.
#[tokio::test(start_paused = true)]
async fn request_rejected_in_another_zone_is_retried_elsewhere_with_its_whole_body() {
    let mut world = TestCluster::with_routes(vec![vec![ok("a")], vec![ok("b")]]).await;
    move_to_other_zone(&mut world);
    world.served[0].inbound.close();
    let body = incompressible(6_000);
    for number in 0..6 {
        let mut caller = world.caller().await;
        caller.write(upload_head(&format!("r{number}"), body.len())).await;
        caller.write(&body).await;
        assert_eq!(caller.read().await.unwrap().text(), "b");
    }
    assert!(world.served[1].back_end.received().iter().all(|received| received.body == body));
}
