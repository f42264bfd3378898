//! Back ends that send bytes without end until the node closes the connection.

mod support;

use std::time::Duration;

use support::back_end::{ScriptedResponse, ok};
use support::caller::ReceivedResponse;
use support::transport::{NextWrite, ScriptedConnection};
use support::{TestCluster, host, pause};
use tokio::time::{Instant, timeout};

/// Objective of the routes. A response that can't become valid any more has to be given up within it.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The reply to a non-idempotent request whose back end writes `first`, and then `repeated` without end. The
/// node has to reply within the objective and to close the connection.
async fn reply_to(first: &'static str, repeated: &'static str) -> ReceivedResponse {
    let endless = ScriptedResponse::Endless { first, repeated };
    let world = TestCluster::with_routes(vec![vec![endless, ok("next")]]).await;
    let began = Instant::now();
    let reply = world.caller().await.ask("/write/a", "r1").await;
    let taken = began.elapsed();
    assert!(taken <= OBJECTIVE, "{first:?} and then {repeated:?}: {} after {taken:?}", reply.status);
    pause(50).await;
    assert_eq!(world.served[0].back_end.closed().len(), 1, "the node has not closed the connection");
    assert_eq!(world.caller().await.ask("/write/a", "r2").await.text(), "next");
    reply
}

#[tokio::test(start_paused = true)]
async fn endless_head_is_given_up() {
    for (first, repeated) in [
        ("HTTP/1.1 200 ", "reason "),
        ("HTTP/1.1 200 OK\r\numberpond-request: {id}\r\n", "X-More: yes\r\n"),
        ("HTTP/1.1 200 OK\r\nX-More: ", "more and "),
        ("", "\u{7}"),
        ("", "no answer at all\r\n"),
    ] {
        assert_eq!(reply_to(first, repeated).await.status, 502);
    }
}

#[tokio::test(start_paused = true)]
async fn endless_blank_lines_before_a_head_are_given_up() {
    for blank in ["\r\n", "\n"] {
        assert_eq!(reply_to("", blank).await.status, 502);
    }
}

#[tokio::test(start_paused = true)]
async fn endless_interim_responses_are_given_up() {
    for status_line in ["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"] {
        assert_eq!(reply_to("", status_line).await.status, 502);
    }
}

#[tokio::test(start_paused = true)]
async fn endless_trailer_section_is_given_up() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\n\
                           Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n";
    for repeated in ["X-More: yes\r\n", "no field at all\r\n"] {
        reply_to(CHUNKED, repeated).await;
    }
}

/// The head says that the request has not run, so the caller learns that at once and may repeat the request.
#[tokio::test(start_paused = true)]
async fn rejection_with_an_endless_body_is_reported_at_once() {
    const UNFRAMED: &str = "HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\n\r\n";
    const CHUNKED: &str = "HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const LONG: &str = "HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nContent-Length: 9999999999\r\n\r\n";
    for (head, repeated) in [(UNFRAMED, "more"), (CHUNKED, "4\r\nmore\r\n"), (LONG, "more")] {
        let reply = reply_to(head, repeated).await;
        assert_eq!(reply.status, 503);
        assert!(reply.fields.contains("retry-after"));
    }
}

/// As above, with a body that stops after its first bytes.
#[tokio::test(start_paused = true)]
async fn rejection_with_an_unfinished_body_is_reported_at_once() {
    const UNFINISHED: ScriptedResponse =
        ScriptedResponse::Raw("HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nContent-Length: 9\r\n\r\nFull");
    let world = TestCluster::with_routes(vec![vec![UNFINISHED, ok("next")]]).await;
    let began = Instant::now();
    assert_eq!(world.caller().await.ask("/write/a", "r1").await.status, 503);
    assert!(began.elapsed() <= OBJECTIVE, "{:?}", began.elapsed());
    assert_eq!(world.caller().await.ask("/write/a", "r2").await.text(), "next");
}

/// The own response comes after the surplus one, so it can't come any more on this connection.
#[tokio::test(start_paused = true)]
async fn endless_surplus_response_is_given_up() {
    const SURPLUS: &str = "HTTP/1.1 200 OK\r\numberpond-request: earlier\r\nx-proof: p\r\n";
    let long = format!("{SURPLUS}Content-Length: 9999999999\r\n\r\n");
    let chunked = format!("{SURPLUS}Transfer-Encoding: chunked\r\n\r\n");
    for (head, repeated) in [(long, "more"), (chunked, "4\r\nmore\r\n")] {
        assert_eq!(reply_to(head.leak(), repeated).await.status, 502);
    }
}

/// The caller gets what comes until its timeout, and sees that it isn't all.
#[tokio::test(start_paused = true)]
async fn endless_body_is_forwarded_until_the_timeout_and_then_truncated() {
    const SIGNED: &str = "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\n";
    let unframed = format!("{SIGNED}\r\n");
    let long = format!("{SIGNED}Content-Length: 9999999999\r\n\r\n");
    let chunked = format!("{SIGNED}Transfer-Encoding: chunked\r\n\r\n");
    for (head, repeated) in [(unframed, "more"), (long, "more"), (chunked, "4\r\nmore\r\n")] {
        let endless = ScriptedResponse::Endless { first: head.leak(), repeated };
        let world = TestCluster::with_routes(vec![vec![endless, ok("next")]]).await;
        let began = Instant::now();
        let reply = world.caller().await.ask("/write/a", "r1").await;
        let taken = began.elapsed();
        assert_eq!((reply.status, reply.body), (200, None), "a truncated response");
        assert!(taken <= TIMEOUT + Duration::from_millis(100), "{taken:?}");
        pause(50).await;
        assert_eq!(world.served[0].back_end.closed().len(), 1, "the node has not closed the connection");
        assert_eq!(world.served[0].inbound.load().running, 0, "the slot is still held");
        assert_eq!(world.caller().await.ask("/write/a", "r2").await.text(), "next");
    }
}

/// Each read of the node finds more bytes, so the node never waits for the next part.
#[tokio::test(start_paused = true)]
async fn endless_body_that_never_pauses_ends_at_the_timeout() {
    const BODY_BYTES: usize = 100_000;
    /// Bandwidth of the link between the two nodes in bytes per second. It is slower than the back end.
    const LINK_RATE: u32 = 1_000_000;
    let world = TestCluster::with_connection(ScriptedConnection {
        accepted_bytes: 4_000,
        next_write: NextWrite::Blocked,
        response: "HTTP/1.1 200 OK\r\numberpond-request: r1\r\nx-proof: p\r\n\r\n",
        repeated: "more and more and more",
    })
    .await;
    world.network.limit_bandwidth(host(10), LINK_RATE);
    let mut caller = world.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: r1\r\n";
    caller.write(format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n")).await;
    caller.write(vec![b'x'; BODY_BYTES]).await;
    let began = Instant::now();
    let head = caller.read_head().await;
    assert_eq!(head.status, 200);
    let end = timeout(TIMEOUT * 2, caller.discard()).await;
    assert!(end.is_ok(), "bytes still come after {:?}", began.elapsed());
    assert!(began.elapsed() <= TIMEOUT + Duration::from_millis(100), "{:?}", began.elapsed());
    assert_eq!(world.served[0].inbound.load().running, 0, "the slot is still held");
}

/// A caller that stops reading must not keep the slot of the back end: its node can't write any more, so
/// nobody waits for the next part of the body.
#[tokio::test(start_paused = true)]
async fn endless_body_ends_at_the_timeout_if_the_caller_stops_reading() {
    const BODY: ScriptedResponse = ScriptedResponse::Endless {
        first: "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\n\r\n",
        repeated: "more",
    };
    let world = TestCluster::with_routes(vec![vec![BODY, ok("next")]]).await;
    let mut caller = world.caller().await;
    caller.send("/write/a", "r1").await;
    tokio::time::sleep(TIMEOUT + Duration::from_millis(200)).await;
    assert_eq!(world.served[0].inbound.load().running, 0, "the slot is still held");
    assert_eq!(world.served[0].back_end.closed().len(), 1, "the node has not closed the connection");
    assert_eq!(world.control.open_requests(), 0, "the caller's node still holds the request");
    drop(caller);
}
