//! A process dies at each step of the exchange; what the caller is told is compared with what ran.

mod support;

use support::mesh::{backend_at, inbound_at};
use support::peer::{inbound_answer, origin, response};
use support::{Answer, MemoryNetwork, MeshBuilder, Peer, Step, post};

/// The steps at which a peer dies, and what a caller may be told of a request that may run only once.
fn deaths(answer: &[u8]) -> Vec<(&'static str, Step, &'static [&'static str])> {
    let head = answer.len() - 9;
    vec![
        // Whether a byte was written before the close is noticed depends on the schedule; both words are true.
        ("before anything is read", Step::CloseAtOnce, &["rejected", "unknown"]),
        ("half of the head read", Step::ReadThenClose(20), &["unknown"]),
        ("the whole request read", Step::RunThenClose, &["unknown"]),
        ("half of the answer's head written", Step::RunThenCut(answer[..30].to_vec()), &["unknown"]),
        ("the answer's head written", Step::RunThenCut(answer[..head].to_vec()), &["answered", "unknown"]),
        ("half of the answer's body written", Step::RunThenCut(answer[..head + 4].to_vec()), &["answered"]),
    ]
}

/// The promises that hold for every death. `ran` counts runs at all peers.
fn check(step: &str, answer: &Answer, ran: usize, is_idempotent: bool) {
    if answer.outcome() == "rejected" {
        assert_eq!(ran, 0, "{step}: told `rejected`, but it ran");
        assert!(answer.header("retry-after").is_some(), "{step}: no retry-after");
    }
    if !is_idempotent {
        assert!(ran <= 1, "{step}: ran {ran} times");
    }
    if answer.status == 200 && answer.whole {
        assert_eq!(answer.body, b"the grid!", "{step}: the answer is not its own");
        assert!(ran >= 1, "{step}: answered without a run");
    }
}

#[tokio::test(start_paused = true)]
async fn the_back_end_dies_and_a_request_that_runs_once_is_not_sent_again() {
    for (step, script, told) in deaths(&response(200, "", "the grid!")) {
        let network = MemoryNetwork::new();
        let first = Peer::start(&network, backend_at(0), vec![script.clone(), Step::ok("the grid!")]);
        let second = Peer::start(&network, backend_at(1), vec![script.clone(), Step::ok("the grid!")]);
        let mesh = MeshBuilder { servers: 2, ..MeshBuilder::default() }.build(&network).await;

        let answer = post(&network, mesh.entry(), "/buy/gift", "", b"one").await;

        let ran = first.ran().len() + second.ran().len();
        check(step, &answer, ran, false);
        let retried = mesh.events.count("Retried") > 0;
        assert!(retried || told.contains(&answer.outcome()), "{step}: told {}", answer.outcome());
        assert!(!answer.whole || answer.status != 200 || retried, "{step}: a cut answer looked whole");
    }
}

#[tokio::test(start_paused = true)]
async fn the_back_end_dies_and_an_idempotent_request_is_answered_elsewhere() {
    for (step, script, told) in deaths(&response(200, "", "the grid!")) {
        let network = MemoryNetwork::new();
        let first = Peer::start(&network, backend_at(0), vec![script.clone(), Step::ok("the grid!")]);
        let second = Peer::start(&network, backend_at(1), vec![script.clone(), Step::ok("the grid!")]);
        let mesh = MeshBuilder { servers: 2, ..MeshBuilder::default() }.build(&network).await;

        let answer = post(&network, mesh.entry(), "/read/grid", "", b"one").await;

        check(step, &answer, first.ran().len() + second.ran().len(), true);
        assert_eq!(answer.status, 200, "{step}");
        let may_be_cut = told.contains(&"answered");
        let retried = mesh.events.count("Retried") > 0;
        assert!(answer.whole || may_be_cut, "{step}: not answered elsewhere");
        assert!(answer.whole == retried, "{step}: once part of an answer has passed nothing is sent again");
    }
}

#[tokio::test(start_paused = true)]
async fn the_inbound_proxy_dies() {
    for (step, script, told) in deaths(&inbound_answer(200, "answered", &origin(0, "a"), "the grid!")) {
        let network = MemoryNetwork::new();
        let peer = Peer::start(&network, inbound_at(0), vec![script, Step::RunThenClose]);
        let builder = MeshBuilder { real_inbound: false, ..MeshBuilder::default() };
        let mesh = builder.build(&network).await;

        let answer = post(&network, mesh.entry(), "/buy/gift", "", b"one").await;

        check(step, &answer, peer.ran().len(), false);
        let retried = mesh.events.count("Retried") > 0;
        assert!(retried || told.contains(&answer.outcome()), "{step}: told {}", answer.outcome());
        assert!(!answer.whole || answer.status != 200, "{step}: a cut answer looked whole");
    }
}

#[tokio::test(start_paused = true)]
async fn nobody_listens() {
    let network = MemoryNetwork::new();
    let mesh = MeshBuilder::default().build(&network).await;
    let no_back_end = post(&network, mesh.entry(), "/buy/gift", "", b"one").await;
    assert_eq!((no_back_end.status, no_back_end.outcome()), (503, "rejected"));
    assert!(no_back_end.header("retry-after").is_some());

    let network = MemoryNetwork::new();
    let builder = MeshBuilder { real_inbound: false, ..MeshBuilder::default() };
    let mesh = builder.build(&network).await;
    let no_inbound = post(&network, mesh.entry(), "/buy/gift", "", b"one").await;
    assert_eq!((no_inbound.status, no_inbound.outcome()), (503, "rejected"));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_runs_once_is_sent_again_after_a_proven_rejection_with_its_whole_body() {
    let network = MemoryNetwork::new();
    let mesh = MeshBuilder { servers: 2, ..MeshBuilder::default() }.build(&network).await;
    let rejected = response(503, "umberpond-outcome: rejected\r\nretry-after: 2\r\n", "full");
    let shed = Step::Run { wait: std::time::Duration::ZERO, answer: rejected };
    let first = Peer::start(&network, backend_at(0), vec![shed.clone(), Step::ok("the grid!")]);
    let second = Peer::start(&network, backend_at(1), vec![shed, Step::ok("the grid!")]);
    let body = vec![b'x'; 20_000];

    let answer = post(&network, mesh.entry(), "/buy/gift", "", &body).await;

    assert_eq!((answer.status, answer.outcome(), answer.text()), (200, "answered", "the grid!"));
    let received: Vec<_> = first.ran().into_iter().chain(second.ran()).collect();
    assert_eq!(received.len(), 3, "two shed, one answered");
    assert!(received.iter().all(|request| request.body == body));
    let ids: std::collections::BTreeSet<_> =
        received.iter().map(|request| request.header("umberpond-request-id").unwrap().to_owned()).collect();
    assert_eq!(ids.len(), 1, "one id for all attempts");
}

#[tokio::test(start_paused = true)]
async fn a_body_too_large_to_keep_is_sent_once_and_the_rejection_is_passed_on() {
    let network = MemoryNetwork::new();
    let mesh = MeshBuilder { servers: 2, ..MeshBuilder::default() }.build(&network).await;
    let rejected = response(503, "umberpond-outcome: rejected\r\nretry-after: 2\r\n", "full");
    let shed = Step::Run { wait: std::time::Duration::ZERO, answer: rejected };
    let first = Peer::start(&network, backend_at(0), vec![shed.clone()]);
    let second = Peer::start(&network, backend_at(1), vec![shed]);

    let answer = post(&network, mesh.entry(), "/buy/gift", "", &vec![b'x'; 200_000]).await;

    assert_eq!((answer.status, answer.outcome()), (503, "rejected"));
    assert_eq!(answer.header("retry-after"), Some("2"));
    assert_eq!(first.ran().len() + second.ran().len(), 1);
}

/// A whole answer with a length, and one in chunks.
fn whole_answers() -> [Vec<u8>; 2] {
    let chunked = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n4\r\nthe \r\n5\r\ngrid!\r\n0\r\n\r\n";
    [response(200, "", "the grid!"), chunked.as_bytes().to_vec()]
}

#[tokio::test(start_paused = true)]
async fn an_answer_cut_at_any_byte_is_cut_for_the_caller() {
    for answer in whole_answers() {
        for length in 0..=answer.len() {
            let network = MemoryNetwork::new();
            let split = length / 2;
            let parts = vec![answer[..split].to_vec(), answer[split..length].to_vec()];
            let pause = std::time::Duration::from_millis(5);
            let backend =
                Peer::start(&network, backend_at(0), vec![Step::Stream { pause, parts, closes: true }]);
            let mesh = MeshBuilder::default().build(&network).await;

            let told = post(&network, mesh.entry(), "/buy/gift", "", b"one").await;

            let looks_whole = told.status == 200 && told.whole;
            assert_eq!(looks_whole, length == answer.len(), "cut after {length} bytes: {told:?}");
            assert!(matches!(told.outcome(), "answered" | "unknown"), "cut after {length} bytes: {told:?}");
            assert_eq!(backend.ran().len(), 1);
        }
    }
}
