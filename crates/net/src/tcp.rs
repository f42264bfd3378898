//! The transport over TCP and UDP.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::{BoxDatagrams, BoxListener, BoxStream, Datagrams, Listener, Network};

/// Time after which a connection is given up whose peer acknowledges nothing that was sent.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(3);

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
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME));
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
