//! The path from a caller to a back end and back.

mod support;

use support::mesh::{TOKEN, backend_at, node_name};
use support::{MemoryNetwork, MeshBuilder, Peer, Step, get, post};

#[tokio::test(start_paused = true)]
async fn a_request_reaches_the_back_end_and_its_answer_the_caller() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("today's grid")]);
    let mesh = MeshBuilder::default().build(&network).await;

    let answer = get(&network, mesh.entry(), "/read/grid?day=3", "umberpond-deadline: 900\r\n").await;

    assert_eq!((answer.status, answer.text(), answer.whole), (200, "today's grid", true));
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(answer.header("umberpond-served-by"), Some(node_name(0).as_str()));
    assert_eq!(answer.header("umberpond-locality"), Some("north/a"));
    assert_eq!(answer.header("umberpond-config-version"), Some("1"));
    assert_eq!(answer.header("umberpond-load"), None, "internal headers stay inside the mesh");
    let ran = backend.ran();
    assert_eq!(ran.len(), 1);
    assert!(ran[0].head.starts_with("GET /read/grid?day=3 HTTP/1.1\r\n"), "{}", ran[0].head);
    assert_eq!(ran[0].header("authorization"), Some(TOKEN));
    let deadline: u64 = ran[0].header("umberpond-deadline").unwrap().parse().unwrap();
    assert!((800..=900).contains(&deadline));
    assert_eq!(ran[0].header("umberpond-request-id").map(str::len), Some(32));
}

#[tokio::test(start_paused = true)]
async fn a_caller_cannot_set_internal_headers() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::RunThenClose, Step::ok("never")]);
    let mesh = MeshBuilder { servers: 1, ..MeshBuilder::default() }.build(&network).await;

    let forged = "umberpond-idempotent: true\r\numberpond-request-id: 00\r\numberpond-served-by: me\r\n\
        authorization: mine\r\nidempotency-key: order-9\r\n";
    let answer = post(&network, mesh.entry(), "/buy/gift", forged, b"one").await;

    assert_eq!(answer.outcome(), "unknown", "a forged idempotence must not allow a second run");
    let ran = backend.ran();
    assert_eq!(ran.len(), 1);
    assert_eq!(ran[0].header("authorization"), Some(TOKEN));
    assert_eq!(ran[0].header("idempotency-key"), Some("order-9"));
    assert_eq!(ran[0].header("umberpond-idempotent"), None);
    assert_ne!(ran[0].header("umberpond-request-id"), Some("00"));
    assert_eq!(ran[0].body, b"one");
}

#[tokio::test(start_paused = true)]
async fn what_no_route_matches_is_refused_by_type() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let mesh = MeshBuilder::default().build(&network).await;

    let no_route = get(&network, mesh.entry(), "/reading", "").await;
    assert_eq!((no_route.status, no_route.outcome()), (404, "rejected"));
    assert_eq!(no_route.header("umberpond-reason"), Some("no-route"));
    let raw = b"GET /read HTTP/1.1\r\nhost: other\r\nconnection: close\r\n\r\n";
    let answer = support::caller::raw(&network, mesh.entry(), raw).await;
    let unknown_host = support::Answer::parse(&answer).unwrap();
    assert_eq!((unknown_host.status, unknown_host.header("umberpond-reason")), (404, Some("unknown-host")));
    assert!(backend.ran().is_empty());
}

#[tokio::test(start_paused = true)]
async fn large_bodies_stream_both_ways() {
    let network = MemoryNetwork::new();
    let text = "0123456789abcdef".repeat(64 * 1024);
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok(&text)]);
    let mesh = MeshBuilder::default().build(&network).await;

    let answer = post(&network, mesh.entry(), "/buy/archive", "", text.as_bytes()).await;

    assert!(answer.whole && answer.body == text.as_bytes());
    assert!(backend.ran()[0].body == text.as_bytes());
}
