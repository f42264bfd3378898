//! End-to-end tests with real processes: apply a bundle, send requests, stop a node gracefully, and check
//! that no secret is exposed.

mod support;

use std::time::Duration;

use support::mesh::{Mesh, PLAINTEXT, path};
use support::{umberpond_with, until_or};

#[tokio::test(flavor = "multi_thread")]
async fn applied_bundle_serves_requests_and_a_drain_aborts_none() {
    let mut mesh = Mesh::start("whole-path").await;
    let applied = mesh.apply().await;
    assert_eq!(applied["result"], "accepted");
    assert_eq!(applied["version"], 1);
    assert_eq!(applied["progress"]["everywhere"], true, "{applied}");

    for node in mesh.nodes.iter().chain([&mesh.edge]) {
        node.ready().await;
    }
    until_or(
        "a back end responds through the edge",
        || async {
            let response = mesh.call("/job/page?bytes=1000").await;
            response.is_some_and(|response| response.status() == 200)
                && mesh.back_ends.iter().any(|back_end| !back_end.ledger().entries.is_empty())
        },
        || mesh.logs(),
    )
    .await;
    let response = mesh.call("/job/page?bytes=1000").await.expect("a response");
    assert_eq!(response.headers()["umberpond-outcome"], "answered");
    assert_eq!(response.headers()["umberpond-config-version"], "1");

    // A long request is in flight at the draining node: it must complete, and new requests go to the other
    // node.
    let long = mesh.call("/job/long?bytes=100000&stream_millis=1500");
    let drain = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        mesh.nodes[0].terminate();
        mesh.nodes[1].address("admin")
    };
    let (long, _) = tokio::join!(long, drain);
    let long = long.expect("the long response is complete");
    assert_eq!(long.status(), 200);
    assert!(long.body().len() >= 100_000);
    let status = mesh.nodes[0].exit_status().await;
    assert_eq!(status.code(), Some(0), "{}", mesh.nodes[0].log());
    assert!(mesh.nodes[0].has_logged("drain-finished"), "{}", mesh.nodes[0].log());
    for _ in 0..20 {
        let response = mesh.call("/job/after").await.expect("a response");
        assert_eq!(response.status(), 200, "{response:?}\n{}", mesh.logs());
        assert_eq!(response.headers()["umberpond-served-by"], "web-b");
    }
    drop(mesh.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn secret_value_is_never_exposed_in_logs_pages_or_output() {
    let mesh = Mesh::start("secrets").await;
    mesh.apply().await;
    mesh.edge.ready().await;
    mesh.call("/job/page").await;

    let mut seen = mesh.logs();
    for node in mesh.nodes.iter().chain([&mesh.edge]) {
        for page in ["/v1/status", "/metrics", "/readyz", "/v1/versions/1", "/v1/seal-keys"] {
            seen.push_str(&String::from_utf8_lossy(node.admin(page).await.body()));
        }
        for page in ["/v1/configuration"] {
            seen.push_str(&String::from_utf8_lossy(node.admin(page).await.body()));
        }
    }
    let bundle = mesh.directory.join("store");
    let admin = mesh.admin();
    for arguments in [
        vec!["status", "--node", &admin],
        vec!["plan", "store", path(&bundle), "--node", &admin],
        vec!["apply", "shop", path(&bundle), "--node", &admin],
    ] {
        let output = umberpond_with(&arguments, &[("STORE_TOKEN", PLAINTEXT)]).await;
        seen.push_str(&String::from_utf8_lossy(&output.stdout));
        seen.push_str(&String::from_utf8_lossy(&output.stderr));
    }
    assert!(seen.contains("token"), "the output should contain the secret's name");
    assert!(!seen.contains(PLAINTEXT), "the secret's value was exposed");
}
