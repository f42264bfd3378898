//! In-memory network on tokio's paused clock, with link delay, bandwidth limits and fault injection.
//!
//! One [`SimNetwork`] holds all hosts of a run; a host is an IP address. A stream delivers each written chunk
//! after the delay of its link, in order. While a link is cut or a host is frozen, chunks are held and
//! delivered when the fault ends, as by a transport that retransmits. Datagrams sent in that time are lost.
//! Killing a host resets all of its streams.

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
    /// Creates a network whose link delays are given by `delay_between`. `seed` determines jitter and loss.
    #[must_use]
    pub fn new(seed: u64, delay_between: fn(IpAddr, IpAddr) -> Millis) -> Self {
        Self { fabric: Arc::new(Mutex::new(Fabric::new(seed, delay_between))) }
    }

    /// Returns the network interface of the process at `host`. Restarts the host if it was killed.
    #[must_use]
    pub fn host(&self, host: IpAddr) -> Arc<dyn Network> {
        let generation = self.fabric.lock().start_host(host);
        Arc::new(Host { network: self.clone(), address: host, generation })
    }

    /// Kills the process at `host` as seen by others: its streams are reset and new connections refused.
    pub fn kill(&self, host: IpAddr) {
        self.fabric.lock().kill(host);
    }

    /// Resets every open stream from or to `host`; its process keeps running.
    pub fn reset(&self, host: IpAddr) {
        self.fabric.lock().reset(host);
    }

    /// Cuts the link in the direction `from` to `to`; the other direction is unaffected.
    pub fn cut_one_way(&self, from: IpAddr, to: IpAddr) {
        self.fabric.lock().set_cut_one_way(from, to, true);
    }

    /// Sets the fraction of datagrams that are lost in the direction `from` to `to`.
    pub fn set_datagram_loss(&self, from: IpAddr, to: IpAddr, loss: f64) {
        self.fabric.lock().set_loss(from, to, loss);
    }

    /// Cuts the link between two hosts in both directions.
    pub fn cut(&self, one: IpAddr, other: IpAddr) {
        self.fabric.lock().set_cut(one, other, true);
    }

    /// Restores the link between two hosts in both directions.
    pub fn mend(&self, one: IpAddr, other: IpAddr) {
        self.fabric.lock().set_cut(one, other, false);
    }

    /// Blocks all traffic from and to `host` until [`SimNetwork::thaw`]: stream data is held, datagrams are
    /// lost.
    pub fn freeze(&self, host: IpAddr) {
        self.fabric.lock().set_frozen(host, true);
    }

    /// Unblocks the traffic of a frozen `host` and delivers held stream data.
    pub fn thaw(&self, host: IpAddr) {
        self.fabric.lock().set_frozen(host, false);
    }

    /// Adds `extra` to the link's base delay for everything sent from now on in the direction `from` to `to`.
    /// Order is kept only within one stream, so messages of two streams may arrive out of order.
    pub fn slow(&self, from: IpAddr, to: IpAddr, extra: Millis) {
        self.fabric.lock().set_extra_delay(from, to, extra);
    }

    /// Limits the total rate of all streams from `host` to other hosts.
    pub fn limit_bandwidth(&self, host: IpAddr, bytes_per_second: u32) {
        self.fabric.lock().set_bandwidth(host, bytes_per_second);
    }

    /// Duplicates every stream that is opened to `address` from now on: writes of the caller also go to a
    /// second stream, `extra_delay` later, whose responses are discarded. `None` ends the duplication.
    pub fn duplicate_streams(&self, address: SocketAddr, extra_delay: Option<Millis>) {
        self.fabric.lock().set_duplicated(address, extra_delay);
    }

    /// Stream bytes written so far in the direction `from` to `to`.
    #[must_use]
    pub fn bytes_sent(&self, from: IpAddr, to: IpAddr) -> u64 {
        self.fabric.lock().bytes_sent(from, to)
    }
}

/// Network interface of one process of a host; `generation` counts the processes of the host.
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
        // One round trip as in a handshake. While the link from the caller is cut, the caller waits.
        link.traverse().await;
        link.traverse().await;
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

/// A stream listener of the simulated network; dropping it releases its address.
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
            // The host was killed, so no further stream can be accepted.
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
