//! The transport over TCP and UDP.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::{BoxDatagrams, BoxListener, BoxStream, Datagrams, Listener, Network};

/// Time after which a connection is given up whose peer acknowledges nothing that was sent.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(3);

/// Time without a byte after which the peer's system is asked whether the connection still stands, and between two
/// questions: a connection that has gone silent while an answer is awaited is found after [`UNACKNOWLEDGED_TIME`] too.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(1);

/// TCP with Nagle's algorithm off, and UDP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork;

#[async_trait]
impl Network for TcpNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        let stream = TcpStream::connect(to).await?;
        prepare(&stream)?;
        Ok(Box::new(stream))
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        Ok(Box::new(TcpAcceptor { listener, address }))
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<BoxDatagrams> {
        let socket = UdpSocket::bind(at).await?;
        let address = socket.local_addr()?;
        Ok(Box::new(UdpDatagrams { socket, address }))
    }
}

struct TcpAcceptor {
    listener: TcpListener,
    address: SocketAddr,
}

#[async_trait]
impl Listener for TcpAcceptor {
    fn local_addr(&self) -> SocketAddr {
        self.address
    }

    async fn accept(&mut self) -> io::Result<(BoxStream, SocketAddr)> {
        let (stream, peer) = self.listener.accept().await?;
        prepare(&stream)?;
        Ok((Box::new(stream), peer))
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    // Without it a dead peer is found later; that is no reason to refuse the connection.
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME));
    let keep_alive = TcpKeepalive::new().with_time(KEEP_ALIVE_TIME).with_interval(KEEP_ALIVE_TIME);
    let _ = socket.set_tcp_keepalive(&keep_alive);
    Ok(())
}

struct UdpDatagrams {
    socket: UdpSocket,
    address: SocketAddr,
}

#[async_trait]
impl Datagrams for UdpDatagrams {
    fn local_addr(&self) -> SocketAddr {
        self.address
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        // A datagram that can't be sent is one that is lost.
        let _ = self.socket.try_send_to(bytes, to);
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
