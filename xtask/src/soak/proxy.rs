//! A proxy on loopback that stands before one listener and does to its traffic what a bad network does.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::demo::layout::ANY_PORT;
use crate::error::XtaskError;

/// Tries to find a port that is free for streams and datagrams alike.
const PORT_TRIES: u32 = 20;
/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What the proxy does to traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Interference {
    /// Time added to everything.
    pub delay: Duration,
    /// Nothing passes towards the listener.
    pub blocks_requests: bool,
    /// Nothing passes from the listener.
    pub blocks_answers: bool,
}

/// What the proxy's tasks share.
#[derive(Debug)]
struct Shared {
    /// The real listener; absent while its process does not run.
    target: watch::Sender<Option<SocketAddr>>,
    interference: watch::Sender<Interference>,
    /// Counts the resets of all connections.
    resets: watch::Sender<u64>,
}

/// The way of the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    ToListener,
    FromListener,
}

impl Shared {
    /// Waits as the interference asks, until a chunk may pass.
    async fn pass(&self, way: Way) {
        let delay = self.interference.borrow().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let mut interference = self.interference.subscribe();
        // The sender lives in `self`, so waiting can't fail.
        let _ = interference.wait_for(|now| !blocks(*now, way)).await;
    }
}

const fn blocks(interference: Interference, way: Way) -> bool {
    match way {
        Way::ToListener => interference.blocks_requests,
        Way::FromListener => interference.blocks_answers,
    }
}

/// A proxy before one listener. Dropping it cuts everything.
#[derive(Debug)]
pub struct FaultProxy {
    /// Where the proxy listens.
    pub front: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl FaultProxy {
    /// Starts a proxy for streams and datagrams.
    ///
    /// # Errors
    /// Fails when no port can be listened at.
    pub async fn start() -> Result<Self, XtaskError> {
        let (listener, socket) = bind().await.map_err(XtaskError::file("loopback"))?;
        let front = listener.local_addr().map_err(XtaskError::file("loopback"))?;
        let shared = Arc::new(Shared {
            target: watch::Sender::new(None),
            interference: watch::Sender::new(Interference::default()),
            resets: watch::Sender::new(0),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_streams(listener, Arc::clone(&shared)));
        tasks.spawn(serve_datagrams(Arc::new(socket), Arc::clone(&shared)));
        Ok(Self { front, shared, _tasks: tasks })
    }

    /// Sets the real listener.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.shared.target.send_replace(target);
    }

    /// Sets what is done to traffic from now on.
    pub fn interfere(&self, interference: Interference) {
        self.shared.interference.send_replace(interference);
    }

    /// Resets every open connection.
    pub fn reset_all(&self) {
        self.shared.resets.send_modify(|count| *count += 1);
    }
}

/// A listener and a socket for datagrams at the same port.
async fn bind() -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut last = None;
    for _ in 0..PORT_TRIES {
        let listener = TcpListener::bind(ANY_PORT).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

async fn serve_streams(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            Some(_ended) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((near, _peer)) = accepted {
                    connections.spawn(serve_stream(near, Arc::clone(&shared)));
                }
            }
        }
    }
}

async fn serve_stream(near: TcpStream, shared: Arc<Shared>) {
    let mut resets = shared.resets.subscribe();
    resets.mark_unchanged();
    let target = *shared.target.borrow();
    shared.pass(Way::ToListener).await;
    let far = match target {
        Some(target) => TcpStream::connect(target).await.ok(),
        None => None,
    };
    let Some(far) = far else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    let both = async {
        tokio::join!(
            pump(near_reader, far_writer, &shared, Way::ToListener),
            pump(far_reader, near_writer, &shared, Way::FromListener),
        )
    };
    tokio::select! {
        biased;
        _ = resets.changed() => {}
        _ = both => {}
    }
}

/// Passes bytes on until one side ends; the end is passed on too.
async fn pump(mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf, shared: &Shared, way: Way) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = reader.read(&mut buffer).await;
        shared.pass(way).await;
        match read {
            Ok(0) => {
                let _ = writer.shutdown().await;
                return;
            }
            Ok(count) if writer.write_all(&buffer[..count]).await.is_ok() => {}
            Ok(_) | Err(_) => return reset(writer.as_ref()),
        }
    }
}

/// Lets the connection end by a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Sockets towards the listener by the sender whose datagrams they carry.
type Carriers = Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>;

async fn serve_datagrams(front: Arc<UdpSocket>, shared: Arc<Shared>) {
    let carriers: Arc<Carriers> = Arc::default();
    let mut answers = JoinSet::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok((count, sender)) = front.recv_from(&mut buffer).await else { continue };
        let interference = *shared.interference.borrow();
        let Some(target) = *shared.target.borrow() else { continue };
        if interference.blocks_requests {
            continue;
        }
        let known = carriers.lock().await.get(&sender).cloned();
        let carrier = match known {
            Some(carrier) => carrier,
            None => {
                let Ok(carrier) = UdpSocket::bind(ANY_PORT).await.map(Arc::new) else { continue };
                carriers.lock().await.insert(sender, Arc::clone(&carrier));
                let (front, shared) = (Arc::clone(&front), Arc::clone(&shared));
                answers.spawn(carry_answers(Arc::clone(&carrier), front, sender, shared));
                carrier
            }
        };
        let bytes = buffer[..count].to_vec();
        tokio::spawn(async move {
            sleep(interference.delay).await;
            let _ = carrier.send_to(&bytes, target).await;
        });
    }
}

async fn carry_answers(carrier: Arc<UdpSocket>, front: Arc<UdpSocket>, to: SocketAddr, shared: Arc<Shared>) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok((count, _from)) = carrier.recv_from(&mut buffer).await else { continue };
        let interference = *shared.interference.borrow();
        if !interference.blocks_answers {
            sleep(interference.delay).await;
            let _ = front.send_to(&buffer[..count], to).await;
        }
    }
}
