//! Implementation of the transport over TCP and UDP.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::{BoxDatagrams, BoxListener, BoxStream, Datagrams, Listener, Network};

/// Time after which a connection is aborted if sent data stays unacknowledged (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first TCP keep-alive probe, and interval between probes. With it, a dead connection
/// on which a response is awaited is detected after [`UNACKNOWLEDGED_TIMEOUT`] too.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// TCP with Nagle's algorithm off, and UDP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork;

#[async_trait]
impl Network for TcpNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        let stream = TcpStream::connect(to).await?;
        set_socket_options(&stream)?;
        Ok(Box::new(stream))
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        Ok(Box::new(TcpStreamListener { listener, address }))
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<BoxDatagrams> {
        let socket = UdpSocket::bind(at).await?;
        let address = socket.local_addr()?;
        Ok(Box::new(UdpDatagrams { socket, address }))
    }
}

struct TcpStreamListener {
    listener: TcpListener,
    address: SocketAddr,
}

#[async_trait]
impl Listener for TcpStreamListener {
    fn local_addr(&self) -> SocketAddr {
        self.address
    }

    async fn accept(&mut self) -> io::Result<(BoxStream, SocketAddr)> {
        let (stream, peer) = self.listener.accept().await?;
        set_socket_options(&stream)?;
        Ok((Box::new(stream), peer))
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    // Without these options a dead peer is detected later, which is no reason to refuse the connection.
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let keep_alive = TcpKeepalive::new().with_time(KEEP_ALIVE_INTERVAL).with_interval(KEEP_ALIVE_INTERVAL);
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
        // A datagram that can't be sent counts as lost.
        let _ = self.socket.try_send_to(bytes, to);
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
