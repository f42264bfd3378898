//! Responses of a back end that aren't valid HTTP/1.1 messages. None of them may reach a caller as a response.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use support::back_end::{ScriptedResponse, ok};
use support::caller::ReceivedResponse;
use support::transport::{NextWrite, ScriptedConnection};
use support::{BACK_END_PORT, TestCluster, host, pause};
use tokio::io::AsyncReadExt;
use umberpond_net::Network;
use umberpond_telemetry::Event;

/// Header fields and body of a valid response.
const VALID_REST: &str = "umberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 2\r\n\r\nno";
/// Head of a valid response in chunks.
const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Checks that a caller of a non-idempotent route gets 502 if the back end responds with `broken`.
async fn assert_not_forwarded(broken: String) {
    let act = ScriptedResponse::Raw(broken.clone().leak());
    let world = TestCluster::with_routes(vec![vec![act, ok("next")]]).await;
    let reply = world.caller().await.ask("/write/a", "r1").await;
    assert_eq!(reply.status, 502, "{broken:?} gave {reply:?}");
    assert!(!reply.fields.contains("x-proof"), "the signature of the back end belongs to its own response");
    assert_eq!(world.arrivals(), 1, "the outcome is unknown");
    pause(5).await;
    assert_eq!(world.served[0].back_end.closed().len(), 1, "the connection is closed at once");
    assert_eq!(world.caller().await.ask("/write/a", "r2").await.text(), "next");
    assert_eq!(world.served[0].back_end.connections(), 2, "the first connection must not be reused");
}

/// A back end in trouble responded with status 000, and the caller received that status.
#[tokio::test(start_paused = true)]
async fn status_outside_the_valid_range_is_not_forwarded() {
    for status in ["000", "001", "099", "600", "999"] {
        assert_not_forwarded(format!("HTTP/1.1 {status} Said\r\n{VALID_REST}")).await;
    }
}

/// No request asks for another protocol, so what follows such a response isn't HTTP.
#[tokio::test(start_paused = true)]
async fn switch_to_another_protocol_is_not_forwarded() {
    assert_not_forwarded(format!("HTTP/1.1 101 Switching Protocols\r\n{VALID_REST}")).await;
    let switched = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n";
    assert_not_forwarded(format!("{switched}HTTP/1.1 200 OK\r\n{VALID_REST}")).await;
}

/// Fields that `Connection` lists aren't forwarded, so the caller received a success without a signature.
#[tokio::test(start_paused = true)]
async fn success_whose_signature_is_a_connection_field_is_not_forwarded() {
    for listed in ["x-proof", "keep-alive, X-Proof"] {
        assert_not_forwarded(format!("HTTP/1.1 200 OK\r\nConnection: {listed}\r\n{VALID_REST}")).await;
    }
}

/// The line must be neither forwarded nor skipped: a skipped length would give the caller another body.
#[tokio::test(start_paused = true)]
async fn response_with_an_invalid_field_name_is_not_forwarded() {
    for line in [
        "X Y: 1",
        "X\tY: 1",
        "X\u{1}Y: 1",
        "X\0Y: 1",
        "X\rY: 1",
        "X\u{7f}: 1",
        "X : 1",
        " X: 1",
        "\tX: 1",
        ": 1",
        "X",
        " ",
    ] {
        assert_not_forwarded(format!("HTTP/1.1 200 Said\r\n{line}\r\n{VALID_REST}")).await;
        assert_not_forwarded(format!("HTTP/1.1 200 Said\r\nA: 1\r\n{line}\r\n{VALID_REST}")).await;
    }
    for length in ["Content-Length : 2", "Content Length: 2", "Content-Length\u{b}: 2", " Content-Length: 2"]
    {
        let rest = VALID_REST.replace("Content-Length: 2", length);
        assert_not_forwarded(format!("HTTP/1.1 200 Said\r\n{rest}")).await;
    }
}

/// A line without a size was taken for the last chunk, so the caller received a part of the body as all of it.
#[tokio::test(start_paused = true)]
async fn chunked_response_without_a_chunk_size_is_not_forwarded() {
    for size in ["", ";", ";extension=1", " ", "\t;"] {
        assert_not_forwarded(format!("{CHUNKED_HEAD}4\r\npart\r\n{size}\r\n\r\n")).await;
    }
}

/// The name of a field in the trailer section is as much a part of the message as one in the head.
#[tokio::test(start_paused = true)]
async fn chunked_response_with_an_invalid_trailer_is_not_forwarded() {
    for line in ["X Y: 1", "X\u{1}Y: 1", "X : 1", " X: 1", ": 1", "X", "HTTP/1.1 200 OK", "X: \u{1}"] {
        assert_not_forwarded(format!("{CHUNKED_HEAD}2\r\nno\r\n0\r\n{line}\r\n\r\n")).await;
    }
    let valid = format!("{CHUNKED_HEAD}2\r\nno\r\n0\r\nX-Sum: 1\r\nX-More: yes\r\n\r\n");
    let world = TestCluster::with_routes(vec![vec![ScriptedResponse::Raw(valid.leak())]]).await;
    for number in 0..2 {
        assert_eq!(world.caller().await.ask("/write/a", &format!("r{number}")).await.text(), "no");
    }
    assert_eq!(world.served[0].back_end.connections(), 1, "the connection is reused");
}

/// On-call looks for the fault in what the back end sent, not in its connections.
#[tokio::test(start_paused = true)]
async fn malformed_body_is_logged_as_an_invalid_response() {
    let broken = format!("{CHUNKED_HEAD}2\r\nno\r\nno size\r\n");
    let world = TestCluster::with_routes(vec![vec![ScriptedResponse::Raw(broken.leak())]]).await;
    assert_eq!(world.caller().await.ask("/write/a", "r1").await.status, 502);
    let reasons: Vec<&str> = world.recorder.events().into_iter().filter_map(lost_reason).collect();
    assert_eq!(reasons, ["answer-spoiled"]);
}

fn lost_reason(event: Event) -> Option<&'static str> {
    match event {
        Event::ExchangeLost { reason, .. } => Some(reason),
        _ => None,
    }
}

/// Numbers in the fields of a response that are larger than any that makes sense.
#[tokio::test(start_paused = true)]
async fn response_with_too_large_numbers_is_forwarded() {
    for field in [
        "Keep-Alive: timeout=18446744073709551615",
        "Keep-Alive: timeout=99999999999999999999999",
        "umberpond-request-limit: 1e400",
        "umberpond-request-limit: 179769313486231570000000000000000000000000000000000000000000000000000000",
        "umberpond-load: 4294967295,4294967295,4294967295,4294967295",
        "umberpond-load: 99999999999,0,99999999999,-1",
        "umberpond-cold: 18446744073709551615",
    ] {
        let raw = format!("HTTP/1.1 200 OK\r\n{field}\r\n{VALID_REST}");
        let world = TestCluster::with_routes(vec![vec![ScriptedResponse::Raw(raw.leak())]]).await;
        for number in 0..3 {
            let reply = world.caller().await.ask("/write/a", &format!("r{number}")).await;
            assert_eq!((reply.status, reply.text()), (200, "no"), "{field}");
        }
    }
}

/// Neither the state of the back end nor its signals are read from such a response.
#[tokio::test(start_paused = true)]
async fn broken_health_response_counts_as_none() {
    const FIELDS: &str = "umberpond-serving-instance: life-10\r\numberpond-leaving: 1\r\n\
                          umberpond-request-limit: 0\r\nContent-Length: 0\r\n\r\n";
    let heads =
        ["HTTP/1.1 000 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "no response\r\n"];
    for head in heads {
        let world = TestCluster::with_routes(vec![vec![ok("next")]]).await;
        let served = &world.served[0];
        served.back_end.set_raw_health(format!("{head}{FIELDS}").leak());
        let address = SocketAddr::new(host(10), BACK_END_PORT);
        assert_eq!(served.inbound.probe_health(address, "/well").await, None, "{head:?}");
        assert_eq!(served.inbound.request_limit(), None, "{head:?}");
        assert_eq!(world.caller().await.ask("/write/a", "r1").await.text(), "next", "{head:?}");
    }
}

/// Part of a response that ends with its connection.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\numberpond-request: r1\r\nx-proof: p\r\n\r\npart of it";

/// The reply to an upload of `body_bytes` on a connection to the back end that acts as given.
async fn reply_to_upload(body_bytes: usize, connection: ScriptedConnection) -> ReceivedResponse {
    let world = TestCluster::with_connection(connection).await;
    let mut caller = world.caller().await;
    let head = "POST /write/a HTTP/1.1\r\nHost: x.example\r\numberpond-request: r1\r\n";
    caller.write(format!("{head}Content-Length: {body_bytes}\r\n\r\n")).await;
    caller.write(vec![b'x'; body_bytes]).await;
    caller.read().await.unwrap()
}

/// A back end responded to a long upload at once, without a length, and reset the connection. The node was
/// still writing, so its writer received the error of the reset, and its reader saw an orderly end: the caller
/// received the part of the body as a complete response.
#[tokio::test(start_paused = true)]
async fn response_without_length_is_truncated_if_the_upload_was_reset() {
    const SHORT_BODY: usize = 8_000;
    const LONG_BODY: usize = 300_000;
    const OLD_VERSION: &str = "HTTP/1.0 200 OK\r\numberpond-request: r1\r\nx-proof: p\r\n\r\npart of it";
    const NO_BODY: &str = "HTTP/1.1 200 OK\r\numberpond-request: r1\r\nx-proof: p\r\n\r\n";
    const FAILURE: &str = "HTTP/1.1 413 Long\r\numberpond-request: r1\r\nx-proof: p\r\n\r\npart of it";
    for body_bytes in [SHORT_BODY, LONG_BODY] {
        for response in [UNFRAMED, OLD_VERSION, NO_BODY, FAILURE] {
            let connection = ScriptedConnection {
                accepted_bytes: 4_000,
                next_write: NextWrite::Reset,
                response,
                repeated: "",
            };
            let reply = reply_to_upload(body_bytes, connection).await;
            assert_eq!(reply.status, 502, "{body_bytes} bytes, {response:?}: {reply:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn response_without_length_is_complete_if_it_ends_before_the_upload() {
    let connection = ScriptedConnection {
        accepted_bytes: 4_000,
        next_write: NextWrite::Blocked,
        response: UNFRAMED,
        repeated: "",
    };
    let reply = reply_to_upload(300_000, connection).await;
    assert_eq!((reply.status, reply.text()), (200, "part of it"));
}

/// Responses with each framing of a body; every prefix of them is a head that stops in the middle, or a part of a body.
const WHOLE_RESPONSES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 4\r\n\r\nwell",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\numberpond-request: {id}\r\nx-proof: p\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\numberpond-request: {id}\r\nx-proof: p\r\n\r\n4\r\nwell\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\numberpond-request: {id}\r\nx-proof: p\r\nConnection: close\r\n\r\nwell",
];

/// On other systems callers received a 200 with an empty or short body, framed as complete, after a back end had
/// stopped in the middle of its head and closed the connection.
#[tokio::test(start_paused = true)]
async fn head_that_stops_in_the_middle_is_not_forwarded() {
    for whole in WHOLE_RESPONSES {
        let head_bytes = whole.find("\r\n\r\n").unwrap() + "\r\n\r\n".len();
        for end in 0..head_bytes {
            let part = ScriptedResponse::RawThenClose(&whole[..end]);
            for script in [vec![part.clone()], vec![ok("before"), part]] {
                let is_reused = script.len() > 1;
                let world = TestCluster::with_routes(vec![script]).await;
                if is_reused {
                    assert_eq!(world.caller().await.ask("/write/a", "r0").await.text(), "before");
                }
                let reply = world.caller().await.ask("/write/a", "r1").await;
                assert_eq!(reply.status, 502, "{:?}, reused: {is_reused}: {reply:?}", &whole[..end]);
                assert!(!reply.fields.contains("x-proof"), "{:?}", &whole[..end]);
                assert_eq!(world.arrivals(), 1 + usize::from(is_reused), "the outcome is unknown");
            }
        }
    }
}

/// As [`head_that_stops_in_the_middle_is_not_forwarded`], with a reset in place of an orderly end. The reset is reported
/// to the write of a long upload, so that the reader sees an orderly end.
#[tokio::test(start_paused = true)]
async fn head_that_is_reset_in_the_middle_is_not_forwarded() {
    for whole in WHOLE_RESPONSES {
        let whole: &'static str = whole.replace("{id}", "r1").leak();
        let head_bytes = whole.find("\r\n\r\n").unwrap() + "\r\n\r\n".len();
        for end in 0..head_bytes {
            let connection = ScriptedConnection {
                accepted_bytes: 4_000,
                next_write: NextWrite::Reset,
                response: &whole[..end],
                repeated: "",
            };
            let reply = reply_to_upload(8_000, connection).await;
            assert_eq!(reply.status, 502, "{:?}: {reply:?}", &whole[..end]);
            assert!(!reply.fields.contains("x-proof"), "{:?}", &whole[..end]);
        }
    }
}

/// Listens at `at` and forwards each connection to `to`, and closes it after `bytes` bytes of what comes back.
async fn start_cutting_proxy(network: Arc<dyn Network>, at: SocketAddr, to: SocketAddr, bytes: u64) {
    let mut listener = network.listen(at).await.unwrap();
    tokio::spawn(async move {
        while let Ok((near, _peer)) = listener.accept().await {
            let far = network.connect(to).await.unwrap();
            let (mut near_reader, mut near_writer) = tokio::io::split(near);
            let (far_reader, mut far_writer) = tokio::io::split(far);
            let forward =
                tokio::spawn(async move { tokio::io::copy(&mut near_reader, &mut far_writer).await });
            let _ = tokio::io::copy(&mut far_reader.take(bytes), &mut near_writer).await;
            forward.abort();
        }
    });
}

/// As [`head_that_stops_in_the_middle_is_not_forwarded`], with a link between two nodes that breaks after any number of
/// bytes, at a first and at a second request on it.
#[tokio::test(start_paused = true)]
async fn response_cut_between_two_nodes_is_not_forwarded_as_complete() {
    const PROXY_PORT: u16 = 110;
    let mut whole_replies = 0;
    for bytes in 0..400 {
        let mut world = TestCluster::with_routes(vec![vec![ok("well")]]).await;
        let node = &mut world.served[0].endpoint;
        let proxy = SocketAddr::new(node.address.ip(), PROXY_PORT);
        let network = world.network.host(node.address.ip());
        start_cutting_proxy(network, proxy, std::mem::replace(&mut node.address, proxy), bytes).await;
        world.publish_endpoints();
        for id in ["r1", "r2"] {
            let reply = world.caller().await.ask("/write/a", id).await;
            match (reply.status, &reply.body) {
                (200, Some(body)) => {
                    assert_eq!(body, b"well", "cut after {bytes} bytes");
                    whole_replies += 1;
                }
                // The caller sees that the body ends early.
                (200, None) => {}
                (status, _) => {
                    let received = world.served[0].back_end.received();
                    let has_arrived =
                        received.iter().any(|request| request.text("umberpond-request") == Some(id));
                    let is_true = status == 502 || (status == 503 && !has_arrived);
                    assert!(is_true, "cut after {bytes} bytes: {reply:?}, has arrived: {has_arrived}");
                    assert!(!reply.fields.contains("x-proof"), "cut after {bytes} bytes");
                }
            }
        }
    }
    assert!((1..800).contains(&whole_replies), "{whole_replies} of 800 are whole");
}
