//! Connection reuse: only after an exchange that finished whole, and never so that answers cross.

mod support;

use std::time::Duration;

use support::mesh::{backend_at, inbound_at, settle};
use support::peer::{OWN_ID, inbound_answer, origin, response};
use support::{Answer, MemoryNetwork, MeshBuilder, Peer, Step, get, post};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test(start_paused = true)]
async fn a_connection_serves_again_after_a_whole_exchange_until_it_is_idle_too_long() {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("x")]);
    let mesh = MeshBuilder::default().build(&network).await;
    for _ in 0..3 {
        assert_eq!(post(&network, mesh.entry(), "/buy/gift", "", b"one").await.status, 200);
        settle().await;
    }
    assert_eq!((network.connections_to(inbound_at(0)), backend.connections()), (1, 1));

    tokio::time::sleep(Duration::from_secs(31)).await;
    assert_eq!(get(&network, mesh.entry(), "/read", "").await.status, 200);
    assert_eq!((network.connections_to(inbound_at(0)), backend.connections()), (2, 2));
}

#[tokio::test(start_paused = true)]
async fn a_late_answer_is_never_given_to_the_next_request() {
    let network = MemoryNetwork::new();
    let script = vec![Step::ok_after(Duration::from_millis(200), "first"), Step::ok("second")];
    let backend = Peer::start(&network, backend_at(0), script);
    let mesh = MeshBuilder::default().build(&network).await;

    let late = post(&network, mesh.entry(), "/buy/gift", "umberpond-deadline: 100\r\n", b"1").await;
    assert_eq!((late.status, late.outcome()), (504, "unknown"));
    let next = post(&network, mesh.entry(), "/buy/gift", "", b"2").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let third = post(&network, mesh.entry(), "/buy/gift", "", b"3").await;

    assert_eq!((next.text(), third.text()), ("second", "second"));
    assert_eq!(backend.connections(), 2, "the connection with the late answer is closed");
    assert_eq!(backend.cancelled(), 1, "and that cancels the request");
}

#[tokio::test(start_paused = true)]
async fn a_doubled_answer_is_never_given_to_the_next_request() {
    let network = MemoryNetwork::new();
    let doubled = [response(200, "", "first"), response(200, "", "stale")].concat();
    let script = vec![Step::Run { wait: Duration::ZERO, answer: doubled }, Step::ok("second")];
    Peer::start(&network, backend_at(0), script);
    let mesh = MeshBuilder::default().build(&network).await;
    assert_eq!(post(&network, mesh.entry(), "/buy/gift", "", b"1").await.text(), "first");
    assert_eq!(post(&network, mesh.entry(), "/buy/gift", "", b"2").await.text(), "second");
}

#[tokio::test(start_paused = true)]
async fn what_another_request_was_told_counts_for_nothing() {
    for outcome in ["answered", "rejected", "unknown"] {
        let network = MemoryNetwork::new();
        let crossed = inbound_answer(200, outcome, &origin(0, "a"), "of another");
        let crossed = String::from_utf8(crossed).unwrap().replace(OWN_ID, &"0".repeat(32)).into_bytes();
        let peer =
            Peer::start(&network, inbound_at(0), vec![Step::Run { wait: Duration::ZERO, answer: crossed }]);
        let mesh = MeshBuilder { real_inbound: false, ..MeshBuilder::default() }.build(&network).await;
        let told = post(&network, mesh.entry(), "/buy/gift", "", b"1").await;
        assert_eq!((told.status, told.outcome()), (502, "unknown"), "crossed `{outcome}`");
        assert_eq!(peer.ran().len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn a_connection_with_an_unfinished_upload_is_not_used_again() {
    let network = MemoryNetwork::new();
    let early = response(200, "", "early");
    let backend = Peer::start(&network, backend_at(0), vec![Step::AnswerEarly(early), Step::ok("whole")]);
    let mesh = MeshBuilder::default().build(&network).await;

    let first = post(&network, mesh.entry(), "/buy/gift", "", &vec![b'x'; 2_000_000]).await;
    assert_eq!((first.status, first.text()), (200, "early"));
    settle().await;
    let second = post(&network, mesh.entry(), "/buy/gift", "", b"2").await;

    assert_eq!((second.status, second.text()), (200, "whole"));
    assert_eq!(backend.ran().last().unwrap().body, b"2");
    assert_eq!(backend.connections(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_connection_whose_answer_the_caller_left_is_not_used_again() {
    let network = MemoryNetwork::new();
    let slow = Step::Stream {
        pause: Duration::from_millis(100),
        parts: vec![
            b"HTTP/1.1 200 X\r\ncontent-length: 6\r\n\r\n".to_vec(),
            b"abc".to_vec(),
            b"def".to_vec(),
        ],
        closes: false,
    };
    let backend = Peer::start(&network, backend_at(0), vec![slow, Step::ok("whole")]);
    let mesh = MeshBuilder::default().build(&network).await;

    let leaving = get(&network, mesh.entry(), "/read/a", "");
    assert!(tokio::time::timeout(Duration::from_millis(250), leaving).await.is_err());
    settle().await;
    assert_eq!(backend.cancelled(), 1);
    assert_eq!(mesh.events.count("CallerGone"), 2, "at both halves: {:?}", mesh.events.all());
    assert_eq!(get(&network, mesh.entry(), "/read/b", "").await.text(), "whole");
    assert_eq!(backend.connections(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_back_end_that_closed_an_idle_connection_costs_no_request() {
    let network = MemoryNetwork::new();
    let script = vec![Step::RunThenCut(response(200, "", "one")), Step::ok("two")];
    let backend = Peer::start(&network, backend_at(0), script);
    let mesh = MeshBuilder::default().build(&network).await;
    assert_eq!(post(&network, mesh.entry(), "/buy/gift", "", b"1").await.text(), "one");
    settle().await;
    assert_eq!(post(&network, mesh.entry(), "/buy/gift", "", b"2").await.text(), "two");
    assert_eq!(backend.connections(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_answer_whose_end_cannot_be_told_from_a_cut_is_not_passed_on() {
    let close_delimited = b"HTTP/1.1 200 X\r\n\r\nall of it?".to_vec();
    let two_lengths =
        b"HTTP/1.1 200 X\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for answer in [close_delimited, two_lengths.to_vec()] {
        let network = MemoryNetwork::new();
        Peer::start(&network, backend_at(0), vec![Step::RunThenCut(answer)]);
        let mesh = MeshBuilder::default().build(&network).await;
        let told = post(&network, mesh.entry(), "/buy/gift", "", b"1").await;
        assert_eq!((told.status, told.outcome()), (502, "unknown"));
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_before_the_end_of_the_upload_says_that_its_connection_closes() {
    let network = MemoryNetwork::new();
    let mesh = MeshBuilder { servers: 0, ..MeshBuilder::default() }.build(&network).await;
    let head =
        |length: usize| format!("POST /buy/a HTTP/1.1\r\nhost: archive\r\ncontent-length: {length}\r\n\r\n");
    for (length, sent, closes) in [(60_000, 100, true), (100, 100, false), (0, 0, false)] {
        let mut stream = network.dial(mesh.entry()).unwrap();
        stream.write_all(head(length).as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; sent]).await.unwrap();
        let mut raw = vec![0; 4_096];
        let count = stream.read(&mut raw).await.unwrap();
        let refused = Answer::parse(&raw[..count]).unwrap();
        assert_eq!((refused.status, refused.outcome()), (503, "rejected"));
        assert_eq!(refused.header("connection").is_some(), closes, "{sent} of {length} bytes were sent");
        stream.write_all(head(0).as_bytes()).await.unwrap();
        let next =
            tokio::time::timeout(Duration::from_secs(1), stream.read(&mut raw)).await.unwrap().unwrap();
        assert_eq!(next == 0, closes, "an answer on a connection that stays, else its end");
    }
}
