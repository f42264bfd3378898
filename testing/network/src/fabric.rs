//! State of all hosts, links, listeners and datagram sockets.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use umberpond_model::Millis;

use super::datagrams::Datagram;
use super::stream::{SimStream, pair};

/// First port assigned to listeners that bind port 0, and to the calling side of streams.
const FIRST_FREE_PORT: u16 = 20_000;
/// Upper bound of the random jitter added to each delivery, in microseconds.
const MAX_JITTER_MICROS: u64 = 200;

type Incoming = mpsc::UnboundedSender<(SimStream, SocketAddr)>;

#[derive(Debug)]
pub(super) struct Fabric {
    seed: u64,
    delay_between: fn(IpAddr, IpAddr) -> Millis,
    links: BTreeMap<(IpAddr, IpAddr), Arc<LinkState>>,
    hosts: BTreeMap<IpAddr, HostState>,
    /// Send queue of each host, shared by all of its outgoing links.
    uplinks: BTreeMap<IpAddr, Arc<Uplink>>,
    listeners: BTreeMap<SocketAddr, Incoming>,
    datagrams: BTreeMap<SocketAddr, mpsc::UnboundedSender<Datagram>>,
    /// Addresses whose incoming streams are duplicated, with the extra delay of the second stream.
    duplicated: BTreeMap<SocketAddr, Duration>,
    next_port: u16,
}

#[derive(Debug, Default)]
struct HostState {
    generation: u64,
    alive: bool,
    frozen: bool,
    /// Set to true once, by a kill or a reset, to reset every open stream of the host.
    reset_signal: Option<watch::Sender<bool>>,
}

/// Delay and receiving socket of one datagram in flight.
#[derive(Debug)]
pub(super) struct DatagramDelivery {
    pub(super) delay: Duration,
    pub(super) receiver: mpsc::UnboundedSender<Datagram>,
}

/// Send queue of a host; its bandwidth is shared by all destinations.
#[derive(Debug, Default)]
struct Uplink {
    state: Mutex<UplinkState>,
}

#[derive(Debug, Default)]
struct UplinkState {
    /// Bandwidth limit; unlimited if absent.
    bytes_per_second: Option<u32>,
    /// When the last byte queued so far has been sent.
    idle_at: Option<Instant>,
}

impl Uplink {
    /// Queues `bytes` behind earlier ones and returns when the last of them has been sent.
    fn send(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(bytes_per_second) = state.bytes_per_second else { return now };
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let sending = Duration::from_secs_f64(f64::from(bytes) / f64::from(bytes_per_second));
        let sent_at = state.idle_at.unwrap_or(now).max(now) + sending;
        state.idle_at = Some(sent_at);
        sent_at
    }
}

/// One direction of the link between two hosts.
#[derive(Debug)]
pub(super) struct LinkState {
    uplink: Arc<Uplink>,
    blocked: watch::Sender<bool>,
    cut: Mutex<bool>,
    delay: Mutex<Duration>,
    base_delay: Duration,
    jitter: Mutex<ChaCha8Rng>,
    /// Fraction of datagrams that are lost.
    loss: Mutex<f64>,
    bytes: AtomicU64,
}

impl LinkState {
    /// Waits for one delivery delay, then until the link is neither cut nor frozen.
    pub(super) async fn traverse(&self) {
        tokio::time::sleep(self.sample_delay()).await;
        self.wait_open().await;
    }

    /// Waits until the link is neither cut nor frozen.
    pub(super) async fn wait_open(&self) {
        let mut blocked = self.blocked.subscribe();
        // `self` owns the sender, so `wait_for` can't fail.
        let _ = blocked.wait_for(|blocked| !blocked).await;
    }

    pub(super) fn sample_delay(&self) -> Duration {
        let jitter = self.jitter.lock().random_range(0..=MAX_JITTER_MICROS);
        *self.delay.lock() + Duration::from_micros(jitter)
    }

    /// Returns when `bytes` that are sent now arrive.
    pub(super) fn delivery_time(&self, bytes: usize) -> Instant {
        self.uplink.send(bytes) + self.sample_delay()
    }

    pub(super) fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Fabric {
    pub(super) fn new(seed: u64, delay_between: fn(IpAddr, IpAddr) -> Millis) -> Self {
        Self {
            seed,
            delay_between,
            links: BTreeMap::new(),
            hosts: BTreeMap::new(),
            uplinks: BTreeMap::new(),
            listeners: BTreeMap::new(),
            datagrams: BTreeMap::new(),
            duplicated: BTreeMap::new(),
            next_port: FIRST_FREE_PORT,
        }
    }

    pub(super) fn start_host(&mut self, host: IpAddr) -> u64 {
        let state = self.hosts.entry(host).or_default();
        if !state.alive {
            state.generation += 1;
            state.alive = true;
            state.reset_signal = Some(watch::Sender::new(false));
        }
        state.generation
    }

    pub(super) fn kill(&mut self, host: IpAddr) {
        if let Some(state) = self.hosts.get_mut(&host) {
            state.alive = false;
            if let Some(reset_signal) = state.reset_signal.take() {
                reset_signal.send_replace(true);
            }
        }
        self.listeners.retain(|address, _| address.ip() != host);
        self.datagrams.retain(|address, _| address.ip() != host);
    }

    pub(super) fn reset(&mut self, host: IpAddr) {
        if let Some(state) = self.hosts.get_mut(&host).filter(|state| state.alive) {
            let open = state.reset_signal.replace(watch::Sender::new(false));
            if let Some(open) = open {
                open.send_replace(true);
            }
        }
    }

    pub(super) fn set_cut(&mut self, one: IpAddr, other: IpAddr, cut: bool) {
        for (from, to) in [(one, other), (other, one)] {
            self.set_cut_one_way(from, to, cut);
        }
    }

    pub(super) fn set_cut_one_way(&mut self, from: IpAddr, to: IpAddr, cut: bool) {
        *self.link(from, to).cut.lock() = cut;
        self.update_blocked(from, to);
    }

    pub(super) fn set_loss(&mut self, from: IpAddr, to: IpAddr, loss: f64) {
        *self.link(from, to).loss.lock() = loss;
    }

    pub(super) fn set_frozen(&mut self, host: IpAddr, frozen: bool) {
        self.hosts.entry(host).or_default().frozen = frozen;
        let affected: Vec<_> =
            self.links.keys().copied().filter(|(from, to)| *from == host || *to == host).collect();
        for (from, to) in affected {
            self.update_blocked(from, to);
        }
    }

    pub(super) fn set_extra_delay(&mut self, from: IpAddr, to: IpAddr, extra: Millis) {
        let link = self.link(from, to);
        *link.delay.lock() = link.base_delay + Duration::from_millis(extra.0);
    }

    pub(super) fn set_bandwidth(&mut self, host: IpAddr, bytes_per_second: u32) {
        self.uplink(host).state.lock().bytes_per_second = Some(bytes_per_second);
    }

    fn uplink(&mut self, host: IpAddr) -> Arc<Uplink> {
        Arc::clone(self.uplinks.entry(host).or_default())
    }

    pub(super) fn set_duplicated(&mut self, address: SocketAddr, extra_delay: Option<Millis>) {
        match extra_delay {
            Some(extra_delay) => self.duplicated.insert(address, Duration::from_millis(extra_delay.0)),
            None => self.duplicated.remove(&address),
        };
    }

    pub(super) fn bytes_sent(&self, from: IpAddr, to: IpAddr) -> u64 {
        self.links.get(&(from, to)).map_or(0, |link| link.bytes.load(Ordering::Relaxed))
    }

    pub(super) fn link(&mut self, from: IpAddr, to: IpAddr) -> Arc<LinkState> {
        if let Some(link) = self.links.get(&(from, to)) {
            return Arc::clone(link);
        }
        let base_delay = Duration::from_millis((self.delay_between)(from, to).0);
        let link = Arc::new(LinkState {
            uplink: if from == to { Arc::default() } else { self.uplink(from) },
            blocked: watch::Sender::new(self.is_frozen(from) || self.is_frozen(to)),
            cut: Mutex::new(false),
            delay: Mutex::new(base_delay),
            base_delay,
            jitter: Mutex::new(ChaCha8Rng::from_seed(self.link_seed(from, to))),
            loss: Mutex::new(0.0),
            bytes: AtomicU64::new(0),
        });
        self.links.insert((from, to), Arc::clone(&link));
        link
    }

    pub(super) fn open(&mut self, from: IpAddr, generation: u64, to: SocketAddr) -> io::Result<SimStream> {
        let caller_reset = self.subscribe_reset(from, generation)?;
        let callee_generation = self.hosts.get(&to.ip()).map_or(0, |host| host.generation);
        let Some(incoming) = self.listeners.get(&to).cloned() else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let callee_reset = self.subscribe_reset(to.ip(), callee_generation)?;
        let forward_link = self.link(from, to.ip());
        let return_link = self.link(to.ip(), from);
        let (mut caller_end, callee_end) = pair(
            Arc::clone(&forward_link),
            Arc::clone(&return_link),
            caller_reset.clone(),
            callee_reset.clone(),
        );
        let peer = SocketAddr::new(from, self.allocate_port());
        let refused = |_| io::Error::from(io::ErrorKind::ConnectionRefused);
        incoming.send((callee_end, peer)).map_err(refused)?;
        if let Some(extra_delay) = self.duplicated.get(&to).copied() {
            let (mirror, callee_end) = pair(forward_link, return_link, caller_reset, callee_reset);
            let peer = SocketAddr::new(from, self.allocate_port());
            incoming.send((callee_end, peer)).map_err(refused)?;
            caller_end.mirror_writes_to(mirror, extra_delay);
        }
        Ok(caller_end)
    }

    pub(super) fn listen(
        &mut self,
        generation: u64,
        at: SocketAddr,
    ) -> io::Result<(SocketAddr, mpsc::UnboundedReceiver<(SimStream, SocketAddr)>)> {
        self.subscribe_reset(at.ip(), generation)?;
        let port = if at.port() == 0 { self.allocate_port() } else { at.port() };
        let address = SocketAddr::new(at.ip(), port);
        if self.listeners.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        self.listeners.insert(address, sender);
        Ok((address, receiver))
    }

    pub(super) fn open_datagrams(
        &mut self,
        generation: u64,
        at: SocketAddr,
    ) -> io::Result<(SocketAddr, mpsc::UnboundedReceiver<Datagram>)> {
        self.subscribe_reset(at.ip(), generation)?;
        let port = if at.port() == 0 { self.allocate_port() } else { at.port() };
        let address = SocketAddr::new(at.ip(), port);
        if self.datagrams.get(&address).is_some_and(|open| !open.is_closed()) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        self.datagrams.insert(address, sender);
        Ok((address, receiver))
    }

    /// Returns the delivery of a datagram that is sent now, or `None` if it is lost.
    pub(super) fn send_datagram(
        &mut self,
        generation: u64,
        from: SocketAddr,
        to: SocketAddr,
    ) -> Option<DatagramDelivery> {
        self.subscribe_reset(from.ip(), generation).ok()?;
        let link = self.link(from.ip(), to.ip());
        let receiver = self.datagrams.get(&to)?.clone();
        let is_lost = link.jitter.lock().random_bool(*link.loss.lock());
        let is_blocked = *link.blocked.borrow();
        let delay = link.sample_delay();
        (!is_lost && !is_blocked).then_some(DatagramDelivery { delay, receiver })
    }

    pub(super) fn stop_listening(&mut self, address: SocketAddr) {
        // After a restart a listener of the next process may already use the address.
        if self.listeners.get(&address).is_some_and(mpsc::UnboundedSender::is_closed) {
            self.listeners.remove(&address);
        }
    }

    fn subscribe_reset(&self, host: IpAddr, generation: u64) -> io::Result<watch::Receiver<bool>> {
        let state = self.hosts.get(&host).filter(|state| state.alive && state.generation == generation);
        let reset_signal = state.and_then(|state| state.reset_signal.as_ref());
        reset_signal.map(watch::Sender::subscribe).ok_or_else(|| io::ErrorKind::ConnectionRefused.into())
    }

    fn update_blocked(&mut self, from: IpAddr, to: IpAddr) {
        let frozen = self.is_frozen(from) || self.is_frozen(to);
        let link = self.link(from, to);
        let blocked = frozen || *link.cut.lock();
        link.blocked.send_replace(blocked);
    }

    fn is_frozen(&self, host: IpAddr) -> bool {
        self.hosts.get(&host).is_some_and(|state| state.frozen)
    }

    fn allocate_port(&mut self) -> u16 {
        let port = self.next_port;
        self.next_port = self.next_port.checked_add(1).unwrap_or(FIRST_FREE_PORT);
        port
    }

    fn link_seed(&self, from: IpAddr, to: IpAddr) -> [u8; 32] {
        let name = format!("{} {from} {to}", self.seed);
        *blake3::hash(name.as_bytes()).as_bytes()
    }
}
