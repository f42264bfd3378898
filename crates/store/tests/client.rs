//! Tests of the client against a peer that hangs, closes the connection early or sends malformed responses:
//! each failure must be reported as the right error.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::{Instant, sleep};
use umberpond_net::{BoxListener, BoxStream, Network};
use umberpond_store::{
    ClientSettings, GateLimits, NotSentCause, ObjectKind, ObjectStore, ObjectVersion, PlatformClient,
    PlatformError, PlatformGate, Revision, UnknownCause, WatchError,
};

/// How the peer handles a connection.
#[derive(Debug, Clone, Copy)]
enum Peer {
    Refuses,
    NeverConnects,
    /// Reads the request and never responds.
    Hangs,
    /// Sends the text and closes the connection.
    Sends(&'static str),
    /// Sends the text and keeps the connection open.
    SendsAndHangs(&'static str),
    /// Sends the first text, and then the second one until the client closes the connection.
    SendsForEver(&'static str, &'static str),
}

/// Size of the blocks that a peer sends for ever, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

#[async_trait]
impl Network for Peer {
    async fn connect(&self, _to: SocketAddr) -> io::Result<BoxStream> {
        match self {
            Self::Refuses => return Err(io::ErrorKind::ConnectionRefused.into()),
            Self::NeverConnects => std::future::pending().await,
            _ => {}
        }
        let (near, far) = tokio::io::duplex(4096);
        tokio::spawn(serve_connection(*self, far));
        Ok(Box::new(near))
    }

    async fn listen(&self, _at: SocketAddr) -> io::Result<BoxListener> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

async fn serve_connection(peer: Peer, mut stream: DuplexStream) {
    let mut request = [0; 1024];
    let read = stream.read(&mut request).await.unwrap_or_default();
    assert!(request[..read].windows(2).any(|bytes| bytes == b"\r\n"), "a request arrives");
    if let Peer::Sends(text) | Peer::SendsAndHangs(text) = peer {
        let _ = stream.write_all(text.as_bytes()).await;
    }
    if let Peer::SendsForEver(first, repeated) = peer {
        let block = repeated.repeat(BLOCK_BYTES.div_ceil(repeated.len()));
        let _ = stream.write_all(first.as_bytes()).await;
        while stream.write_all(block.as_bytes()).await.is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
        return;
    }
    if !matches!(peer, Peer::Sends(_)) {
        sleep(Duration::from_secs(3_600)).await;
    }
}

fn client(peer: Peer) -> PlatformClient {
    let gate = PlatformGate::new(GateLimits { requests: 1, watches: 1 });
    PlatformClient::new(Arc::new(peer), ([127, 0, 0, 1], 1).into(), gate, ClientSettings::default())
}

async fn put(client: &PlatformClient) -> PlatformError {
    let value = Bytes::from_static(b"head");
    let result = client.put_if(ObjectKind::Head, "head", ObjectVersion(3), value).await;
    result.expect_err("the peer never accepts")
}

const fn unknown(cause: UnknownCause) -> PlatformError {
    PlatformError::OutcomeUnknown { cause }
}

const fn not_sent(cause: NotSentCause) -> PlatformError {
    PlatformError::NotSent { cause }
}

#[tokio::test(start_paused = true)]
async fn each_error_reports_whether_the_change_may_have_taken_effect() {
    let truncated = "HTTP/1.1 200 OK\r\nobject-version: 4\r\ncontent-length: 9\r\n\r\nhalf";
    let without_version = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let conflict = "HTTP/1.1 409 Conflict\r\nobject-version: 8\r\ncontent-length: 0\r\n\r\n";
    let busy = "HTTP/1.1 429 Too Many Requests\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n";
    let failed = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
    let rejected = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
    let without_status = "HTTP/1.1 000 OK\r\nobject-version: 4\r\ncontent-length: 0\r\n\r\n";
    let invalid_name = "HTTP/1.1 200 OK\r\nobject version: 4\r\ncontent-length: 0\r\n\r\n";
    let without_chunk_size =
        "HTTP/1.1 200 OK\r\nobject-version: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n\r\n\r\n";
    let cases = [
        (Peer::Sends(without_status), unknown(UnknownCause::ConnectionLost)),
        (Peer::Sends(invalid_name), unknown(UnknownCause::ConnectionLost)),
        (Peer::Sends(without_chunk_size), unknown(UnknownCause::ConnectionLost)),
        (Peer::SendsForEver("HTTP/1.1 200 OK\r\nx: ", "more"), unknown(UnknownCause::ConnectionLost)),
        (Peer::SendsForEver("HTTP/1.1 200 OK\r\n\r\n", "more"), unknown(UnknownCause::ResponseTooLarge)),
        (Peer::SendsForEver("", "HTTP/1.1 100 Continue\r\n\r\n"), unknown(UnknownCause::Timeout)),
        (Peer::Refuses, not_sent(NotSentCause::ConnectionFailed)),
        (Peer::NeverConnects, not_sent(NotSentCause::ConnectTimeout)),
        (Peer::Hangs, unknown(UnknownCause::Timeout)),
        (Peer::Sends(""), unknown(UnknownCause::ConnectionLost)),
        (Peer::Sends("nonsense\r\n\r\n"), unknown(UnknownCause::ConnectionLost)),
        (Peer::Sends(truncated), unknown(UnknownCause::ConnectionLost)),
        (Peer::SendsAndHangs(truncated), unknown(UnknownCause::Timeout)),
        (Peer::Sends(without_version), unknown(UnknownCause::Malformed)),
        (Peer::Sends(failed), unknown(UnknownCause::ServerError { status: 500 })),
        (Peer::Sends(conflict), PlatformError::Conflict { current: Some(ObjectVersion(8)) }),
        (Peer::Sends(busy), PlatformError::Refused { retry_after: Some(Duration::from_secs(7)) }),
        (Peer::Sends(rejected), PlatformError::Rejected { status: 400 }),
    ];
    for (peer, expected) in cases {
        let started = Instant::now();
        let error = put(&client(peer)).await;
        assert_eq!(error, expected, "{peer:?}");
        assert_eq!(error.may_have_changed(), matches!(expected, PlatformError::OutcomeUnknown { .. }));
        assert!(started.elapsed() <= ClientSettings::default().request_timeout);
    }
}

#[tokio::test(start_paused = true)]
async fn a_name_that_could_change_the_path_is_never_sent() {
    let client = client(Peer::Hangs);
    for name in ["a/b", "a?after=1", "a b", "a\r\nx: y"] {
        let refused = client.get(ObjectKind::Content, name).await;
        assert_eq!(refused, Err(not_sent(NotSentCause::InvalidName)), "{name:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn requests_over_the_concurrency_limit_time_out_without_being_sent() {
    let client = client(Peer::Hangs);
    let (one, two) = tokio::join!(put(&client), put(&client));
    assert_eq!(one, unknown(UnknownCause::Timeout));
    assert_eq!(two, not_sent(NotSentCause::TooManyRequests));
    // The permit is available again.
    assert_eq!(put(&client).await, unknown(UnknownCause::Timeout));
}

async fn watch_events(peer: Peer) -> Result<Vec<Result<u64, WatchError>>, WatchError> {
    let watch = client(peer).watch(ObjectKind::Head, Revision(1)).await?;
    Ok(watch.map(|event| event.map(|event| event.revision.0)).collect().await)
}

#[tokio::test(start_paused = true)]
async fn a_watch_reports_why_it_ended() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
    const EVENT: &str = "HTTP/1.1 200 OK\r\n\r\n\n{\"revision\":2,\"name\":\"head\",\"value\":\"AAE=\"}\n\n";
    const NONSENSE: &str = "HTTP/1.1 200 OK\r\n\r\n{\"revision\":2}\n";
    const BASE64: &str = "HTTP/1.1 200 OK\r\n\r\n{\"revision\":2,\"name\":\"head\",\"value\":\"*\"}\n";
    const GONE: &str = "HTTP/1.1 410 Gone\r\ncontent-length: 12\r\n\r\n{\"oldest\":9}";
    assert_eq!(watch_events(Peer::SendsAndHangs(HEAD)).await, Ok(vec![Err(WatchError::Silent)]));
    assert_eq!(watch_events(Peer::Sends(EVENT)).await, Ok(vec![Ok(2), Err(WatchError::Closed)]));
    assert_eq!(watch_events(Peer::Sends(NONSENSE)).await, Ok(vec![Err(WatchError::Malformed)]));
    assert_eq!(watch_events(Peer::Sends(BASE64)).await, Ok(vec![Err(WatchError::Malformed)]));
    assert_eq!(watch_events(Peer::Sends(GONE)).await, Err(WatchError::TooOld { oldest: Revision(9) }));
    let refused = WatchError::Unavailable(not_sent(NotSentCause::ConnectionFailed));
    assert_eq!(watch_events(Peer::Refuses).await, Err(refused));
}
