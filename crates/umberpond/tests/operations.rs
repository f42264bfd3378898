//! Operator scenarios beyond a successful `apply`: queries, refusals, store outages, malformed input and a
//! second stop signal.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::mesh::{Mesh, PLAINTEXT, path};
use support::{json, umberpond, umberpond_with, until_or};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use umberpond_standins::platform::FaultChange;

#[tokio::test(flavor = "multi_thread")]
async fn operator_requests_get_a_result_within_bounded_time_even_in_an_outage() {
    let mesh = Mesh::start("operations").await;
    let applied = mesh.apply().await;
    let submission = applied["submission"].as_str().expect("an identifier").to_owned();
    let admin = mesh.admin();
    let bundle = mesh.directory.join("store");
    let environment = [("STORE_TOKEN", PLAINTEXT)];

    let resolved = umberpond(&["submission", &submission, "--node", &admin, "--json"]).await;
    assert_eq!((resolved.status.code(), json(&resolved)["version"].as_u64()), (Some(0), Some(1)));

    let repeated = umberpond_with(
        &["apply", "store", path(&bundle), "--submission", &submission, "--node", &admin, "--json"],
        &environment,
    )
    .await;
    assert_eq!(json(&repeated)["version"], 1, "resubmission must not create a second version: {repeated:?}");

    let status = json(&umberpond(&["status", "--node", &admin, "--json"]).await);
    assert_eq!(status["version"], 1);
    assert_eq!(status["readiness"]["ready"], true);

    let plan =
        umberpond_with(&["plan", "store", path(&bundle), "--node", &admin, "--json"], &environment).await;
    assert_eq!(plan.status.code(), Some(0), "{plan:?}");
    assert!(json(&plan)["routes"].is_object());

    let abandoned = umberpond(&["submission", "abc", "--abandon", "--node", &admin, "--json"]).await;
    assert_eq!((abandoned.status.code(), &json(&abandoned)["result"]), (Some(3), &"not-accepted".into()));
    let late = ["apply", "store", path(&bundle), "--submission", "abc", "--node", &admin, "--json"];
    let late = umberpond_with(&late, &environment).await;
    assert_eq!(late.status.code(), Some(1), "an abandoned submission must never be accepted: {late:?}");

    // A bundle that is not active can't be withdrawn.
    let refused = umberpond(&["withdraw", "ghost", "--node", &admin, "--json"]).await;
    assert_eq!((refused.status.code(), &json(&refused)["result"]), (Some(1), &"conflict".into()));

    mesh.platform.change_faults(&FaultChange { down: Some(true), ..FaultChange::default() });
    let started = Instant::now();
    let not_accepted = umberpond(&["withdraw", "store", "--node", &admin, "--json"]).await;
    assert!(matches!(not_accepted.status.code(), Some(3 | 4)), "{not_accepted:?}");
    assert!(started.elapsed() < Duration::from_secs(20), "the response must arrive within a bounded time");
    assert_eq!(
        mesh.call("/job/page").await.expect("a response").status(),
        200,
        "requests must still be served"
    );
    mesh.platform.change_faults(&FaultChange { down: Some(false), ..FaultChange::default() });

    let withdrawn = umberpond(&["withdraw", "store", "--wait", "15s", "--node", &admin, "--json"]).await;
    assert_eq!(withdrawn.status.code(), Some(0), "{withdrawn:?}\n{}", mesh.logs());
    assert_eq!(mesh.call("/job/page").await.expect("a response").status(), 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_stops_the_node_immediately_and_logs_aborted_requests() {
    let mut mesh = Mesh::start("second-signal").await;
    mesh.apply().await;
    mesh.edge.ready().await;
    until_or(
        "requests pass",
        || async { mesh.call("/job/page").await.is_some_and(|response| response.status() == 200) },
        || mesh.logs(),
    )
    .await;

    let edge = mesh.edge.address("outbound");
    let mut caller = TcpStream::connect(edge).await.expect("the edge takes connections");
    let request = "GET /job/long?bytes=100000&stream_millis=4000 HTTP/1.1\r\nhost: web\r\n\r\n";
    caller.write_all(request.as_bytes()).await.expect("the request is written");
    let mut head = [0; 64];
    caller.read_exact(&mut head).await.expect("the response begins");

    mesh.edge.terminate();
    until_or("the drain begins", || async { mesh.edge.has_logged("drain-started") }, || mesh.edge.log())
        .await;
    mesh.edge.terminate();
    let second_signal_at = Instant::now();
    assert_eq!(mesh.edge.exit_status().await.code(), Some(7), "{}", mesh.edge.log());
    assert!(second_signal_at.elapsed() < Duration::from_secs(2), "the node must not wait for the response");
    until_or(
        "the immediate stop is logged",
        || async { mesh.edge.has_logged("stopped-at-once") },
        || mesh.edge.log(),
    )
    .await;
}

/// Sends `bytes` and reads once, for a second at most.
async fn send_bytes(address: SocketAddr, bytes: &[u8]) {
    let exchange = async {
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        // The peer may close the connection before all bytes are written.
        let _ = stream.write_all(bytes).await;
        let _ = stream.read(&mut [0; 256]).await;
    };
    let _ = timeout(Duration::from_secs(1), exchange).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_on_any_listener_change_no_state() {
    let mesh = Mesh::start("hostile").await;
    mesh.apply().await;
    let node = &mesh.nodes[0];
    node.ready().await;
    let oversized_head = format!("GET / HTTP/1.1\r\nhost: web\r\nx: {}\r\n\r\n", "y".repeat(200_000));
    let hostile: Vec<Vec<u8>> = vec![
        b"\xff\xff\xff\xff\xff\xff\xff\xff".to_vec(),
        [0u8, 0, 0, 200].iter().copied().chain([7; 200]).collect(),
        b"GET /job/x HTTP/1.1\r\nhost: web\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello".to_vec(),
        b"POST /job/x HTTP/1.1\r\nhost: web\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(),
        b"PUT /v1/bundles/store?submission=1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n\x01\xff\xff\xff".to_vec(),
        b"PUT /v1/bundles/store?submission=2 HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\nx".to_vec(),
        b"GET /v1/versions/not-a-number HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
        oversized_head.into_bytes(),
        b"GET / HT".to_vec(),
    ];
    for listener in ["inbound", "outbound", "admin", "control"] {
        let sends = hostile.iter().map(|bytes| send_bytes(node.address(listener), bytes));
        futures_util::future::join_all(sends).await;
    }

    let status = json(&umberpond(&["status", "--node", &mesh.admin(), "--json"]).await);
    assert_eq!(status["version"], 1, "{}", node.log());
    assert_eq!(status["readiness"]["ready"], true);
    assert!(!node.has_logged("actor-failed"), "{}", node.log());
    let is_logged = || async { node.has_logged("control-message-refused") };
    until_or("the refusal is logged", is_logged, || node.log()).await;
    assert_eq!(mesh.call("/job/page").await.expect("a response").status(), 200);
}
