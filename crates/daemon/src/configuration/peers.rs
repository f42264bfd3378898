//! Transfers of configurations between nodes, with one request and one response per connection.
//!
//! Short responses are sent without a limit. Long ones are sent to a few nodes at a time, so that these
//! receive them soon and can serve others; all other nodes get a busy response and try another peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitcode::{Decode, Encode};
use ractor::ActorRef;
use ractor::rpc::CallResult;
use tokio::io::{ReadHalf, WriteHalf};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;
use umberpond_distribution::ConfigurationId;
use umberpond_net::{BoxListener, BoxStream, FrameError, FrameReader, FrameWriter, Network};
use umberpond_telemetry::{Direction, Event, Metrics, Telemetry};

use super::message::{ConfigurationMessage, Fetched};

/// Timeout for opening a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the next part of a response.
const PART_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for the reply of the configuration actor.
const ACTOR_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for a whole exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of bytes in one part of a response.
const PART_BYTES: usize = 16 * 1024;
/// Maximum number of long responses sent concurrently. Each further one would slow down all of them.
const MAX_LONG_RESPONSES: usize = 2;
/// Maximum number of connections served concurrently.
const MAX_CONNECTIONS: usize = 400;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request of another node.
#[derive(Debug, Encode, Decode)]
enum PeerRequest {
    /// Requests everything that is newer than the given configuration.
    Pull(Option<ConfigurationId>),
}

/// A part of the response.
#[derive(Debug, Encode, Decode)]
enum PeerResponse {
    /// Bytes of the encoded transfer; more follow.
    Part(Vec<u8>),
    /// The last bytes of the encoded transfer.
    LastPart(Vec<u8>),
    /// Too many transfers are running; the requester should try another node.
    Busy,
}

/// Kind of message in the metrics.
pub(super) const TRANSFER: &str = "configuration";

/// Fetches from the node at `peer` what is newer than `held`.
pub(super) async fn fetch(network: &dyn Network, peer: SocketAddr, held: Option<ConfigurationId>) -> Fetched {
    let exchange = timeout(EXCHANGE_TIMEOUT, exchange(network, peer, held));
    exchange.await.ok().flatten().unwrap_or(Fetched::NoResponse)
}

async fn exchange(network: &dyn Network, peer: SocketAddr, held: Option<ConfigurationId>) -> Option<Fetched> {
    let stream = timeout(CONNECT_TIMEOUT, network.connect(peer)).await.ok()?.ok()?;
    let (reader, writer) = tokio::io::split(stream);
    let mut writer: FrameWriter<WriteHalf<BoxStream>, PeerRequest> = FrameWriter::new(writer);
    let mut reader: FrameReader<ReadHalf<BoxStream>, PeerResponse> = FrameReader::new(reader);
    writer.send(&PeerRequest::Pull(held)).await.ok()?;
    let mut encoded = Vec::new();
    loop {
        let (part, _size) = timeout(PART_TIMEOUT, reader.next()).await.ok()?.ok()??;
        match part {
            PeerResponse::Busy => return Some(Fetched::Busy),
            PeerResponse::Part(bytes) => encoded.extend(bytes),
            PeerResponse::LastPart(bytes) => {
                encoded.extend(bytes);
                return Some(Fetched::Transfer(encoded));
            }
        }
    }
}

/// Serves the requests of other nodes until the task is aborted.
pub(crate) async fn serve_peers(
    mut listener: BoxListener,
    configuration: ActorRef<ConfigurationMessage>,
    telemetry: Telemetry,
) {
    let long_responses = Arc::new(Semaphore::new(MAX_LONG_RESPONSES));
    let mut connections = JoinSet::new();
    loop {
        while connections.len() >= MAX_CONNECTIONS {
            connections.join_next().await;
        }
        let accepted = loop {
            tokio::select! {
                biased;
                Some(_ended) = connections.join_next() => {}
                accepted = listener.accept() => break accepted,
            }
        };
        match accepted {
            Ok((stream, _peer)) => {
                let (configuration, telemetry) = (configuration.clone(), telemetry.clone());
                let long_responses = Arc::clone(&long_responses);
                connections.spawn(async move {
                    let responding = respond(stream, configuration, &long_responses, telemetry.metrics());
                    let responded = timeout(EXCHANGE_TIMEOUT, responding).await;
                    if let Ok(Err(error)) = responded {
                        telemetry.emit(Event::ControlMessageRefused { reason: error.to_string() });
                    }
                });
            }
            // The error affects only this connection; the listener continues after a pause.
            Err(_error) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Responds to the request on one connection, if there is one.
async fn respond(
    stream: BoxStream,
    configuration: ActorRef<ConfigurationMessage>,
    long_responses: &Semaphore,
    metrics: &Metrics,
) -> Result<(), FrameError> {
    let (reader, writer) = tokio::io::split(stream);
    let mut reader: FrameReader<ReadHalf<BoxStream>, PeerRequest> = FrameReader::new(reader);
    let mut writer: FrameWriter<WriteHalf<BoxStream>, PeerResponse> = FrameWriter::new(writer);
    let Some((PeerRequest::Pull(held), _size)) = reader.next().await? else { return Ok(()) };
    let reply = configuration.call(|reply| ConfigurationMessage::Pull { held, reply }, Some(ACTOR_TIMEOUT));
    let Ok(CallResult::Success(encoded)) = reply.await else { return Ok(()) };
    let is_long = encoded.len() > PART_BYTES;
    let permit = if is_long { long_responses.try_acquire().ok() } else { None };
    if is_long && permit.is_none() {
        return writer.send(&PeerResponse::Busy).await.map(drop);
    }
    metrics.control(Direction::Out, TRANSFER, encoded.len());
    send_in_parts(&mut writer, &encoded).await?;
    // The other node closes the connection once it has the whole response. The permit is held until then, so
    // that no other long response starts while this one is still being sent.
    let _ = timeout(PART_TIMEOUT, reader.next()).await;
    Ok(())
}

async fn send_in_parts(
    writer: &mut FrameWriter<WriteHalf<BoxStream>, PeerResponse>,
    encoded: &[u8],
) -> Result<(), FrameError> {
    let mut rest = encoded;
    while rest.len() > PART_BYTES {
        let (part, after) = rest.split_at(PART_BYTES);
        writer.send(&PeerResponse::Part(part.to_vec())).await?;
        rest = after;
    }
    writer.send(&PeerResponse::LastPart(rest.to_vec())).await.map(drop)
}
