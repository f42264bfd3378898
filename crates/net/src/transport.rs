//! Traits of the transport: streams, listeners and datagram sockets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use tokio::io::{AsyncRead, AsyncWrite};

/// A reliable byte stream between two processes.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> Stream for T {}

/// A boxed stream of any transport.
pub type BoxStream = Box<dyn Stream>;

/// A boxed listener of any transport.
pub type BoxListener = Box<dyn Listener>;

/// A boxed datagram socket of any transport.
pub type BoxDatagrams = Box<dyn Datagrams>;

/// A datagram socket. Datagrams may be lost, duplicated or reordered.
#[async_trait]
pub trait Datagrams: Send + Sync + 'static {
    /// Local address, at which datagrams are received.
    fn local_addr(&self) -> SocketAddr;

    /// Sends one datagram, or drops it if the send buffer is full.
    fn send(&self, bytes: &[u8], to: SocketAddr);

    /// Waits for the next datagram; returns its length and its sender.
    ///
    /// # Errors
    /// Returns the error of the transport. The socket stays usable.
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;
}

/// Opens streams, listeners and datagram sockets.
#[async_trait]
pub trait Network: Send + Sync + 'static {
    /// Opens a stream to `to`.
    ///
    /// # Errors
    /// Returns the error of the transport: refused, unreachable, reset. There is no timeout; the caller sets
    /// one.
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream>;

    /// Listens at `at`; port 0 takes any free port.
    ///
    /// # Errors
    /// Fails when the address is taken or not local.
    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener>;

    /// Opens a socket for datagrams at `at`; port 0 takes any free port.
    ///
    /// # Errors
    /// Fails when the address is taken or not local, or when the transport has no datagrams.
    async fn datagrams(&self, at: SocketAddr) -> io::Result<BoxDatagrams> {
        let _ = at;
        Err(io::ErrorKind::Unsupported.into())
    }
}

/// Accepts streams at one address.
#[async_trait]
pub trait Listener: Send + 'static {
    /// Local address of the listener.
    fn local_addr(&self) -> SocketAddr;

    /// Waits for the next stream.
    ///
    /// # Errors
    /// Returns the error of the transport. An error concerns one stream; the listener stays usable.
    async fn accept(&mut self) -> io::Result<(BoxStream, SocketAddr)>;
}

#[async_trait]
impl<N: Network + ?Sized> Network for Arc<N> {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        (**self).connect(to).await
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        (**self).listen(at).await
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<BoxDatagrams> {
        (**self).datagrams(at).await
    }
}
