//! The client against a peer that hangs, breaks off or answers nonsense: what each failure is told as.

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

/// What the peer does with a connection.
#[derive(Debug, Clone, Copy)]
enum Peer {
    Refuses,
    NeverConnects,
    /// Takes the request and says nothing more.
    Hangs,
    /// Sends this and closes.
    Sends(&'static str),
    /// Sends this and stays silent.
    SendsAndHangs(&'static str),
}

#[async_trait]
impl Network for Peer {
    async fn connect(&self, _to: SocketAddr) -> io::Result<BoxStream> {
        match self {
            Self::Refuses => return Err(io::ErrorKind::ConnectionRefused.into()),
            Self::NeverConnects => std::future::pending().await,
            _ => {}
        }
        let (near, far) = tokio::io::duplex(4096);
        tokio::spawn(play(*self, far));
        Ok(Box::new(near))
    }

    async fn listen(&self, _at: SocketAddr) -> io::Result<BoxListener> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

async fn play(peer: Peer, mut stream: DuplexStream) {
    let mut request = [0; 1024];
    let read = stream.read(&mut request).await.unwrap_or_default();
    assert!(request[..read].windows(2).any(|bytes| bytes == b"\r\n"), "a request arrives");
    if let Peer::Sends(text) | Peer::SendsAndHangs(text) = peer {
        let _ = stream.write_all(text.as_bytes()).await;
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
    let answer = client.put_if(ObjectKind::Head, "head", ObjectVersion(3), value).await;
    answer.expect_err("the peer never accepts")
}

const fn unknown(cause: UnknownCause) -> PlatformError {
    PlatformError::OutcomeUnknown { cause }
}

const fn not_sent(cause: NotSentCause) -> PlatformError {
    PlatformError::NotSent { cause }
}

#[tokio::test(start_paused = true)]
async fn each_failure_says_whether_the_change_may_have_happened() {
    let broken = "HTTP/1.1 200 OK\r\nobject-version: 4\r\ncontent-length: 9\r\n\r\nhalf";
    let nameless = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let conflict = "HTTP/1.1 409 Conflict\r\nobject-version: 8\r\ncontent-length: 0\r\n\r\n";
    let busy = "HTTP/1.1 429 Too Many Requests\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n";
    let failed = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
    let rejected = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        (Peer::Refuses, not_sent(NotSentCause::NoConnection)),
        (Peer::NeverConnects, not_sent(NotSentCause::ConnectTimeLimit)),
        (Peer::Hangs, unknown(UnknownCause::TimeLimit)),
        (Peer::Sends(""), unknown(UnknownCause::Broken)),
        (Peer::Sends("nonsense\r\n\r\n"), unknown(UnknownCause::Broken)),
        (Peer::Sends(broken), unknown(UnknownCause::Broken)),
        (Peer::SendsAndHangs(broken), unknown(UnknownCause::TimeLimit)),
        (Peer::Sends(nameless), unknown(UnknownCause::Malformed)),
        (Peer::Sends(failed), unknown(UnknownCause::ServerError { status: 500 })),
        (Peer::Sends(conflict), PlatformError::Conflict { standing: Some(ObjectVersion(8)) }),
        (Peer::Sends(busy), PlatformError::Refused { retry_after: Some(Duration::from_secs(7)) }),
        (Peer::Sends(rejected), PlatformError::Rejected { status: 400 }),
    ];
    for (peer, expected) in cases {
        let started = Instant::now();
        let error = put(&client(peer)).await;
        assert_eq!(error, expected, "{peer:?}");
        assert_eq!(error.may_have_changed(), matches!(expected, PlatformError::OutcomeUnknown { .. }));
        assert!(started.elapsed() <= ClientSettings::default().request_limit);
    }
}

#[tokio::test(start_paused = true)]
async fn a_name_that_could_change_the_path_is_never_sent() {
    let client = client(Peer::Hangs);
    for name in ["a/b", "a?after=1", "a b", "a\r\nx: y"] {
        let refused = client.get(ObjectKind::Content, name).await;
        assert_eq!(refused, Err(not_sent(NotSentCause::UnusableName)), "{name:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn requests_over_the_limit_wait_and_are_then_not_sent() {
    let client = client(Peer::Hangs);
    let (one, two) = tokio::join!(put(&client), put(&client));
    assert_eq!(one, unknown(UnknownCause::TimeLimit));
    assert_eq!(two, not_sent(NotSentCause::GateBusy));
    // The place is free again.
    assert_eq!(put(&client).await, unknown(UnknownCause::TimeLimit));
}

async fn watched(peer: Peer) -> Result<Vec<Result<u64, WatchError>>, WatchError> {
    let watch = client(peer).watch(ObjectKind::Head, Revision(1)).await?;
    Ok(watch.map(|event| event.map(|event| event.revision.0)).collect().await)
}

#[tokio::test(start_paused = true)]
async fn a_watch_ends_with_its_reason() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
    const EVENT: &str = "HTTP/1.1 200 OK\r\n\r\n\n{\"revision\":2,\"name\":\"head\",\"value\":\"AAE=\"}\n\n";
    const NONSENSE: &str = "HTTP/1.1 200 OK\r\n\r\n{\"revision\":2}\n";
    const BASE64: &str = "HTTP/1.1 200 OK\r\n\r\n{\"revision\":2,\"name\":\"head\",\"value\":\"*\"}\n";
    const GONE: &str = "HTTP/1.1 410 Gone\r\ncontent-length: 12\r\n\r\n{\"oldest\":9}";
    assert_eq!(watched(Peer::SendsAndHangs(HEAD)).await, Ok(vec![Err(WatchError::Silent)]));
    assert_eq!(watched(Peer::Sends(EVENT)).await, Ok(vec![Ok(2), Err(WatchError::Closed)]));
    assert_eq!(watched(Peer::Sends(NONSENSE)).await, Ok(vec![Err(WatchError::Malformed)]));
    assert_eq!(watched(Peer::Sends(BASE64)).await, Ok(vec![Err(WatchError::Malformed)]));
    assert_eq!(watched(Peer::Sends(GONE)).await, Err(WatchError::TooOld { oldest: Revision(9) }));
    let refused = WatchError::Unavailable(not_sent(NotSentCause::NoConnection));
    assert_eq!(watched(Peer::Refuses).await, Err(refused));
}
