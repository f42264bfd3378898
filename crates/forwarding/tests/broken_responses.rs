//! Responses of a back end that aren't valid HTTP/1.1 messages. None of them may reach a caller as a response.

mod support;

use support::TestCluster;
use support::back_end::{ScriptedResponse, ok};

/// Header fields and body of a valid response.
const VALID_REST: &str = "umberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 2\r\n\r\nno";

/// Checks that a caller of a non-idempotent route gets 502 if the back end responds with `broken`.
async fn assert_not_forwarded(broken: String) {
    let act = ScriptedResponse::Raw(broken.clone().leak());
    let world = TestCluster::with_routes(vec![vec![act, ok("next")]]).await;
    let reply = world.caller().await.ask("/write/a", "r1").await;
    assert_eq!(reply.status, 502, "{broken:?} gave {reply:?}");
    assert!(!reply.fields.contains("x-proof"), "the signature of the back end belongs to its own response");
    assert_eq!(world.arrivals(), 1, "the outcome is unknown");
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
