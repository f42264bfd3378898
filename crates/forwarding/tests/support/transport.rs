//! A transport on which the test decides in which order a node sees what happens on its connection to a back end.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use async_trait::async_trait;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use umberpond_net::{BoxListener, BoxStream, Network};

/// What the node sees on a connection to its back end.
#[derive(Debug, Clone, Copy)]
pub struct ScriptedConnection {
    /// Number of bytes of the request that the connection accepts before it acts on the next write.
    pub accepted_bytes: usize,
    /// What happens to that write.
    pub next_write: NextWrite,
    /// The bytes that arrive after it.
    pub response: &'static str,
    /// The bytes that follow again and again, without a pause. If there are none, the stream ends.
    pub repeated: &'static str,
}

/// What happens to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextWrite {
    /// It fails because the back end has reset the connection. As on a TCP socket, the error is reported once,
    /// so the reader sees an orderly end.
    Reset,
    /// It waits for ever, because the back end reads nothing more.
    Blocked,
}

/// A network on which all connections to one address are scripted.
pub struct ScriptedTransport {
    pub network: Arc<dyn Network>,
    pub scripted_address: SocketAddr,
    pub connection: ScriptedConnection,
}

#[async_trait]
impl Network for ScriptedTransport {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        if to != self.scripted_address {
            return self.network.connect(to).await;
        }
        Ok(Box::new(ScriptedStream::new(self.connection)))
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        self.network.listen(at).await
    }
}

struct ScriptedStream {
    left_to_accept: usize,
    next_write: NextWrite,
    /// The bytes that arrive next.
    response: &'static [u8],
    repeated: &'static [u8],
    has_response: bool,
    reader: Option<Waker>,
}

impl ScriptedStream {
    fn new(connection: ScriptedConnection) -> Self {
        Self {
            left_to_accept: connection.accepted_bytes,
            next_write: connection.next_write,
            response: connection.response.as_bytes(),
            repeated: connection.repeated.as_bytes(),
            has_response: false,
            reader: None,
        }
    }
}

impl AsyncRead for ScriptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.has_response {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        if self.response.is_empty() {
            self.response = self.repeated;
        }
        let (part, rest) = self.response.split_at(self.response.len().min(buffer.remaining()));
        buffer.put_slice(part);
        self.response = rest;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ScriptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let accepted = self.left_to_accept.min(bytes.len());
        if accepted > 0 {
            self.left_to_accept -= accepted;
            return Poll::Ready(Ok(accepted));
        }
        self.has_response = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        match self.next_write {
            NextWrite::Reset => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            NextWrite::Blocked => Poll::Pending,
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
