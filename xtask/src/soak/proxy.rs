//! A loopback proxy in front of one listener, which delays, blocks or resets its traffic to simulate
//! network faults.

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

/// Attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: u32 = 20;
/// Size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Network impairment that the proxy applies to traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Impairment {
    /// Delay added to each chunk and datagram, in both directions.
    pub delay: Duration,
    /// Blocks traffic to the listener.
    pub blocks_requests: bool,
    /// Blocks traffic from the listener.
    pub blocks_responses: bool,
}

/// State shared by the proxy's tasks.
#[derive(Debug)]
struct Shared {
    /// Address of the real listener; `None` while its process does not run.
    target: watch::Sender<Option<SocketAddr>>,
    impairment: watch::Sender<Impairment>,
    /// Number of calls of [`FaultProxy::reset_all`]; connections watch it for changes.
    resets: watch::Sender<u64>,
}

/// Direction of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToListener,
    FromListener,
}

impl Shared {
    /// Waits for the delay, and then until traffic in this direction is not blocked.
    async fn wait_to_forward(&self, direction: Direction) {
        let delay = self.impairment.borrow().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let mut impairment = self.impairment.subscribe();
        // `wait_for` fails only when the sender is dropped, and `self` owns it.
        let _ = impairment.wait_for(|now| !blocks(*now, direction)).await;
    }
}

const fn blocks(impairment: Impairment, direction: Direction) -> bool {
    match direction {
        Direction::ToListener => impairment.blocks_requests,
        Direction::FromListener => impairment.blocks_responses,
    }
}

/// A proxy in front of one listener. Dropping it aborts its tasks and closes its connections.
#[derive(Debug)]
pub struct FaultProxy {
    /// Address that the proxy listens on.
    pub listen_address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl FaultProxy {
    /// Starts a proxy for TCP connections and UDP datagrams.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start() -> Result<Self, XtaskError> {
        let (listener, socket) = bind().await.map_err(XtaskError::file("loopback"))?;
        let listen_address = listener.local_addr().map_err(XtaskError::file("loopback"))?;
        let shared = Arc::new(Shared {
            target: watch::Sender::new(None),
            impairment: watch::Sender::new(Impairment::default()),
            resets: watch::Sender::new(0),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_streams(listener, Arc::clone(&shared)));
        tasks.spawn(serve_datagrams(Arc::new(socket), Arc::clone(&shared)));
        Ok(Self { listen_address, shared, _tasks: tasks })
    }

    /// Sets the address of the real listener. Open connections keep the previous one.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.shared.target.send_replace(target);
    }

    /// Sets the impairment of all traffic from now on.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.shared.impairment.send_replace(impairment);
    }

    /// Resets every open connection.
    pub fn reset_all(&self) {
        self.shared.resets.send_modify(|count| *count += 1);
    }
}

/// Binds a TCP listener and a UDP socket to the same port.
async fn bind() -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut last = None;
    for _ in 0..PORT_ATTEMPTS {
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
                if let Ok((client, _peer)) = accepted {
                    connections.spawn(serve_stream(client, Arc::clone(&shared)));
                }
            }
        }
    }
}

async fn serve_stream(client: TcpStream, shared: Arc<Shared>) {
    let mut resets = shared.resets.subscribe();
    resets.mark_unchanged();
    let target = *shared.target.borrow();
    shared.wait_to_forward(Direction::ToListener).await;
    let server = match target {
        Some(target) => TcpStream::connect(target).await.ok(),
        None => None,
    };
    let Some(server) = server else { return reset_on_close(&client) };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let both = async {
        tokio::join!(
            forward_stream(client_reader, server_writer, &shared, Direction::ToListener),
            forward_stream(server_reader, client_writer, &shared, Direction::FromListener),
        )
    };
    tokio::select! {
        biased;
        _ = resets.changed() => {}
        _ = both => {}
    }
}

/// Forwards bytes until the reader ends or either side fails, and passes on the end of the stream or resets
/// the connection.
async fn forward_stream(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    shared: &Shared,
    direction: Direction,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = reader.read(&mut buffer).await;
        shared.wait_to_forward(direction).await;
        match read {
            Ok(0) => {
                let _ = writer.shutdown().await;
                return;
            }
            Ok(count) if writer.write_all(&buffer[..count]).await.is_ok() => {}
            Ok(_) | Err(_) => return reset_on_close(writer.as_ref()),
        }
    }
}

/// Makes the connection end with a TCP reset when it is dropped.
fn reset_on_close(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Sockets to the real listener, by the sender whose datagrams they forward.
type UpstreamSockets = Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>;

async fn serve_datagrams(listen_socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let upstream_sockets: Arc<UpstreamSockets> = Arc::default();
    let mut response_tasks = JoinSet::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok((count, sender)) = listen_socket.recv_from(&mut buffer).await else { continue };
        let impairment = *shared.impairment.borrow();
        let Some(target) = *shared.target.borrow() else { continue };
        if impairment.blocks_requests {
            continue;
        }
        let known = upstream_sockets.lock().await.get(&sender).cloned();
        let upstream = match known {
            Some(upstream) => upstream,
            None => {
                let Ok(upstream) = UdpSocket::bind(ANY_PORT).await.map(Arc::new) else { continue };
                upstream_sockets.lock().await.insert(sender, Arc::clone(&upstream));
                let (listen_socket, shared) = (Arc::clone(&listen_socket), Arc::clone(&shared));
                response_tasks.spawn(forward_responses(Arc::clone(&upstream), listen_socket, sender, shared));
                upstream
            }
        };
        let bytes = buffer[..count].to_vec();
        tokio::spawn(async move {
            sleep(impairment.delay).await;
            let _ = upstream.send_to(&bytes, target).await;
        });
    }
}

async fn forward_responses(
    upstream: Arc<UdpSocket>,
    listen_socket: Arc<UdpSocket>,
    to: SocketAddr,
    shared: Arc<Shared>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok((count, _from)) = upstream.recv_from(&mut buffer).await else { continue };
        let impairment = *shared.impairment.borrow();
        if !impairment.blocks_responses {
            sleep(impairment.delay).await;
            let _ = listen_socket.send_to(&buffer[..count], to).await;
        }
    }
}
