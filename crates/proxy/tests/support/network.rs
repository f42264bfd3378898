//! A network of in-memory pipes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::io::{DuplexStream, duplex};
use tokio::sync::mpsc;
use umberpond_net::{BoxListener, BoxStream, Listener, Network};

/// Bytes that a pipe holds in each direction.
const PIPE_BYTES: usize = 64 * 1024;

type Inbox = mpsc::UnboundedSender<DuplexStream>;

/// Addresses listened at, and how many connections each has got.
#[derive(Default)]
pub struct MemoryNetwork {
    listeners: Mutex<BTreeMap<SocketAddr, Inbox>>,
    connections: Mutex<BTreeMap<SocketAddr, usize>>,
}

impl MemoryNetwork {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    pub fn dial(&self, to: SocketAddr) -> io::Result<DuplexStream> {
        let (near, far) = duplex(PIPE_BYTES);
        let listeners = self.listeners.lock();
        let inbox = listeners.get(&to).ok_or(io::ErrorKind::ConnectionRefused)?;
        inbox.send(far).map_err(|_| io::ErrorKind::ConnectionRefused)?;
        *self.connections.lock().entry(to).or_default() += 1;
        Ok(near)
    }

    /// Connections opened to `to` so far.
    pub fn connections_to(&self, to: SocketAddr) -> usize {
        self.connections.lock().get(&to).copied().unwrap_or(0)
    }

    pub fn bind(&self, at: SocketAddr) -> MemoryListener {
        let (sender, inbox) = mpsc::unbounded_channel();
        self.listeners.lock().insert(at, sender);
        MemoryListener { at, inbox }
    }
}

pub struct MemoryListener {
    at: SocketAddr,
    inbox: mpsc::UnboundedReceiver<DuplexStream>,
}

impl MemoryListener {
    pub async fn next(&mut self) -> Option<DuplexStream> {
        self.inbox.recv().await
    }
}

#[async_trait]
impl Network for MemoryNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        Ok(Box::new(self.dial(to)?))
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        Ok(Box::new(self.bind(at)))
    }
}

#[async_trait]
impl Listener for MemoryListener {
    fn local_addr(&self) -> SocketAddr {
        self.at
    }

    async fn accept(&mut self) -> io::Result<(BoxStream, SocketAddr)> {
        match self.next().await {
            Some(stream) => Ok((Box::new(stream), self.at)),
            None => std::future::pending().await,
        }
    }
}
