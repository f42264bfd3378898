//! The transport over TCP.

use std::io;
use std::net::SocketAddr;

use async_trait::async_trait;
use tokio::net::{TcpListener, TcpStream};

use crate::{BoxListener, BoxStream, Listener, Network};

/// TCP with Nagle's algorithm off.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork;

#[async_trait]
impl Network for TcpNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        Ok(Box::new(TcpAcceptor { listener, address }))
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
        stream.set_nodelay(true)?;
        Ok((Box::new(stream), peer))
    }
}
