//! Tests of a response body that is forwarded while it arrives.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::advance;
use umberpond_http1::Framing;
use umberpond_net::TcpNetwork;

use super::*;
use crate::upstream::UpstreamSettings;

/// A connection on which bytes are always there to read.
struct EndlessStream;

impl AsyncRead for EndlessStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let bytes = buffer.remaining();
        buffer.put_slice(&vec![b'x'; bytes]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndlessStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A body that never had to wait for its next part was forwarded for as long as the caller read it.
#[tokio::test(start_paused = true)]
async fn body_that_never_pauses_ends_at_the_deadline() {
    let settings = UpstreamSettings { connect_time: Duration::from_secs(1), idle: 1 };
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let mut body = UpstreamBody {
        first: None,
        connection: Some(UpstreamConnection::new(Box::new(EndlessStream))),
        decoder: BodyDecoder::new(Framing::UntilClose),
        length: None,
        stays_open: false,
        pool: UpstreamPool::new(Arc::new(TcpNetwork), address, settings),
        deadline: Instant::now() + Duration::from_secs(2),
        permit: None,
    };
    advance(Duration::from_millis(1_999)).await;
    assert!(body.next_part().await.is_ok_and(|part| part.is_some()));
    advance(Duration::from_millis(1)).await;
    assert_eq!(body.next_part().await, Err(ResponseBodyError));
}
