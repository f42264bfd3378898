//! Tests where a request may be served, and which node handles a caller's idempotency key.

mod support;

use support::back_end::{ScriptedResponse, ok};
use support::{TestCluster, name, snapshot};
use umberpond_config::Entry;
use umberpond_model::LocalityRule;

#[tokio::test(start_paused = true)]
async fn request_is_served_only_in_allowed_regions() {
    let mut world = TestCluster::with_routes(vec![vec![ok("a")], vec![ok("b")]]).await;
    world.served[1].endpoint.locality.region = name("south");
    world.publish_endpoints();
    let mut changed = snapshot();
    let mut archive = (**changed.services.get("archive").unwrap()).clone();
    archive.allowed = vec![LocalityRule { region: name("south"), zone: None }];
    changed.services.insert(archive.name.clone(), Entry::new(archive.clone()));
    world.activate(2, &changed);
    for number in 0..10 {
        assert_eq!(world.caller().await.ask("/read/a", &format!("r{number}")).await.text(), "b");
    }
    archive.allowed = vec![LocalityRule { region: name("east"), zone: None }];
    changed.services.insert(archive.name.clone(), Entry::new(archive));
    world.activate(3, &changed);
    assert_eq!(
        world.caller().await.ask("/read/a", "r").await.status,
        503,
        "the request should not be served outside the allowed regions"
    );
}

#[tokio::test(start_paused = true)]
async fn node_refuses_requests_for_a_service_not_allowed_in_its_locality() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]]).await;
    world.served[0].inbound.set_may_serve(false);
    assert_eq!(world.caller().await.ask("/write/a", "r1").await.status, 503);
    assert_eq!(world.arrivals(), 0);
}

fn keyed(id: &str, key: &str) -> String {
    format!("GET /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: {id}\r\nx-key: {key}\r\n\r\n")
}

#[tokio::test(start_paused = true)]
async fn request_resent_with_the_same_idempotency_key_runs_once() {
    let world = TestCluster::with_routes(vec![vec![ok("a")]; 4]).await;
    for key in ["k1", "k2", "k3", "k4", "k5", "k6"] {
        let mut caller = world.caller().await;
        caller.write(keyed(&format!("{key}-first"), key)).await;
        assert_eq!(caller.read().await.unwrap().status, 200);
        caller.write(keyed(&format!("{key}-second"), key)).await;
        assert_eq!(caller.read().await.unwrap().status, 409);
    }
    assert_eq!(world.arrivals(), 6);
    let spread = world.served.iter().filter(|served| !served.back_end.received().is_empty()).count();
    assert!(spread >= 2, "keys should be distributed over the nodes");
}

#[tokio::test(start_paused = true)]
async fn idempotency_key_can_be_reused_after_a_rejected_request() {
    const NOT_RUN: ScriptedResponse =
        ScriptedResponse::Raw("HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nContent-Length: 0\r\n\r\n");
    let world = TestCluster::with_routes(vec![vec![NOT_RUN, ok("a")]]).await;
    let mut caller = world.caller().await;
    caller.write(keyed("r1", "k")).await;
    assert_eq!(caller.read().await.unwrap().status, 503);
    caller.write(keyed("r2", "k")).await;
    assert_eq!(caller.read().await.unwrap().status, 200);
}
