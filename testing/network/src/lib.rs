//! In-memory links on tokio's paused clock: delay, bandwidth, cut, freeze, kill.
//!
//! One [`SimNetwork`] holds all hosts of a run; a host is an IP address. A stream delivers each written chunk
//! after the delay of its link, in order. While a link is cut or a host frozen, chunks wait and come late when
//! the fault ends, as a retransmitting transport would deliver them. Killing a host resets all of its streams.

mod datagrams;
mod fabric;
mod stream;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use umberpond_model::Millis;
use umberpond_net::{BoxDatagrams, BoxListener, BoxStream, Listener, Network};

use datagrams::SimDatagrams;
use fabric::{Fabric, LinkState};
use stream::SimStream;

/// All hosts and links of a run.
#[derive(Debug, Clone)]
pub struct SimNetwork {
    fabric: Arc<Mutex<Fabric>>,
}

impl SimNetwork {
    /// A network whose links all have the delay that `delay_between` gives; `seed` draws the jitter.
    #[must_use]
    pub fn new(seed: u64, delay_between: fn(IpAddr, IpAddr) -> Millis) -> Self {
        Self { fabric: Arc::new(Mutex::new(Fabric::new(seed, delay_between))) }
    }

    /// The network as the process at `host` sees it. A host that was killed is alive again from here on.
    #[must_use]
    pub fn host(&self, host: IpAddr) -> Arc<dyn Network> {
        let generation = self.fabric.lock().start_host(host);
        Arc::new(Host { network: self.clone(), address: host, generation })
    }

    /// Ends the process at `host` for the outside: its streams are reset, its listeners refuse.
    pub fn kill(&self, host: IpAddr) {
        self.fabric.lock().kill(host);
    }

    /// Resets every stream that is open from or to `host`; its process goes on.
    pub fn reset(&self, host: IpAddr) {
        self.fabric.lock().reset(host);
    }

    /// Cuts the link from one host to another; the other direction goes on.
    pub fn cut_one_way(&self, from: IpAddr, to: IpAddr) {
        self.fabric.lock().set_cut_one_way(from, to, true);
    }

    /// Lets the share `loss` of the datagrams from one host to another disappear.
    pub fn lose(&self, from: IpAddr, to: IpAddr, loss: f64) {
        self.fabric.lock().set_loss(from, to, loss);
    }

    /// Cuts the link between two hosts, both ways.
    pub fn cut(&self, one: IpAddr, other: IpAddr) {
        self.fabric.lock().set_cut(one, other, true);
    }

    /// Mends the link between two hosts.
    pub fn mend(&self, one: IpAddr, other: IpAddr) {
        self.fabric.lock().set_cut(one, other, false);
    }

    /// Stops everything from and to `host` until [`SimNetwork::thaw`].
    pub fn freeze(&self, host: IpAddr) {
        self.fabric.lock().set_frozen(host, true);
    }

    /// Lets everything that waited from and to `host` go on.
    pub fn thaw(&self, host: IpAddr) {
        self.fabric.lock().set_frozen(host, false);
    }

    /// Adds `extra` to the delay of everything that is sent from now on from `from` to `to`. Streams that are
    /// opened later are not slowed by earlier ones, so messages of two streams cross.
    pub fn slow(&self, from: IpAddr, to: IpAddr, extra: Millis) {
        self.fabric.lock().set_extra_delay(from, to, extra);
    }

    /// Lets the streams from `host`, all together, carry no more than so many bytes a second.
    pub fn limit_bandwidth(&self, host: IpAddr, bytes_per_second: u32) {
        self.fabric.lock().set_bandwidth(host, bytes_per_second);
    }

    /// Lets every stream that is opened to `address` from now on arrive twice: what is written to it also goes over a
    /// second stream, later by the given time, whose answers nobody sees. `None` ends it.
    pub fn double(&self, address: SocketAddr, later: Option<Millis>) {
        self.fabric.lock().set_doubled(address, later);
    }

    /// Bytes written so far from `from` to `to`.
    #[must_use]
    pub fn bytes_sent(&self, from: IpAddr, to: IpAddr) -> u64 {
        self.fabric.lock().bytes_sent(from, to)
    }
}

/// One process's view of the network.
#[derive(Debug, Clone)]
struct Host {
    network: SimNetwork,
    address: IpAddr,
    generation: u64,
}

#[async_trait]
impl Network for Host {
    async fn connect(&self, to: SocketAddr) -> io::Result<BoxStream> {
        let link = self.network.fabric.lock().link(self.address, to.ip());
        // One way there and one back, as in a handshake; a cut link keeps the caller waiting.
        link.pass().await;
        link.pass().await;
        let mut fabric = self.network.fabric.lock();
        let stream = fabric.open(self.address, self.generation, to)?;
        Ok(Box::new(stream))
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<BoxListener> {
        let (address, incoming) = self.network.fabric.lock().listen(self.generation, at)?;
        Ok(Box::new(SimListener { address, incoming, network: self.network.clone() }))
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<BoxDatagrams> {
        let (address, incoming) = self.network.fabric.lock().open_datagrams(self.generation, at)?;
        let sender = self.clone();
        Ok(Box::new(SimDatagrams { address, incoming: tokio::sync::Mutex::new(incoming), sender }))
    }
}

/// A listener of the simulated network; its address is free again once it is dropped.
#[derive(Debug)]
struct SimListener {
    address: SocketAddr,
    incoming: mpsc::UnboundedReceiver<(SimStream, SocketAddr)>,
    network: SimNetwork,
}

#[async_trait]
impl Listener for SimListener {
    fn local_addr(&self) -> SocketAddr {
        self.address
    }

    async fn accept(&mut self) -> io::Result<(BoxStream, SocketAddr)> {
        match self.incoming.recv().await {
            Some((stream, peer)) => Ok((Box::new(stream), peer)),
            // The host was killed: nothing will ever be accepted here again.
            None => std::future::pending().await,
        }
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        self.incoming.close();
        self.network.fabric.lock().stop_listening(self.address);
    }
}
