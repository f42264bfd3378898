//! Configurations from node to node: one question and one answer on a connection.
//!
//! A short answer is sent to everybody at once. Long ones are sent to a few at a time, so that those arrive soon and
//! serve others in their turn; whoever else asks is told to ask elsewhere.

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
use umberpond_distribution::Held;
use umberpond_net::{BoxListener, BoxStream, FrameError, FrameReader, FrameWriter, Network};
use umberpond_telemetry::{Direction, Event, Metrics, Telemetry};

use super::message::{ConfigurationMessage, Fetched};

/// Longest time to open a connection to another node.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Longest time until the next part of an answer arrives.
const PART_TIME: Duration = Duration::from_millis(1_000);
/// Longest time that the actor takes to answer.
const ACTOR_TIME: Duration = Duration::from_millis(1_000);
/// Longest time of a whole exchange.
const EXCHANGE_TIME: Duration = Duration::from_secs(10);
/// Bytes in one part of an answer.
const PART_BYTES: usize = 16 * 1024;
/// Long answers sent at once. Each one more makes all of them slower.
const LONG_ANSWERS_AT_ONCE: usize = 2;
/// Most connections served at once.
const MAX_CONNECTIONS: usize = 400;
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A question of another node.
#[derive(Debug, Encode, Decode)]
enum PeerQuestion {
    /// What is newer than this?
    Pull(Option<Held>),
}

/// A part of the answer.
#[derive(Debug, Encode, Decode)]
enum PeerAnswer {
    /// Bytes of the encoded transfer; more follow.
    Part(Vec<u8>),
    /// The last bytes of the encoded transfer.
    LastPart(Vec<u8>),
    /// Enough others are being served.
    Busy,
}

/// Kind of message in the figures.
pub(super) const TRANSFER: &str = "configuration";

/// Asks the node at `peer` for what it holds beyond `held`.
pub(super) async fn fetch(network: &dyn Network, peer: SocketAddr, held: Option<Held>) -> Fetched {
    let exchange = timeout(EXCHANGE_TIME, exchange(network, peer, held));
    exchange.await.ok().flatten().unwrap_or(Fetched::NoAnswer)
}

async fn exchange(network: &dyn Network, peer: SocketAddr, held: Option<Held>) -> Option<Fetched> {
    let stream = timeout(CONNECT_TIME, network.connect(peer)).await.ok()?.ok()?;
    let (reader, writer) = tokio::io::split(stream);
    let mut writer: FrameWriter<WriteHalf<BoxStream>, PeerQuestion> = FrameWriter::new(writer);
    let mut reader: FrameReader<ReadHalf<BoxStream>, PeerAnswer> = FrameReader::new(reader);
    writer.send(&PeerQuestion::Pull(held)).await.ok()?;
    let mut encoded = Vec::new();
    loop {
        let (part, _size) = timeout(PART_TIME, reader.next()).await.ok()?.ok()??;
        match part {
            PeerAnswer::Busy => return Some(Fetched::Busy),
            PeerAnswer::Part(bytes) => encoded.extend(bytes),
            PeerAnswer::LastPart(bytes) => {
                encoded.extend(bytes);
                return Some(Fetched::Transfer(encoded));
            }
        }
    }
}

/// Answers the questions of other nodes, without end.
pub(crate) async fn serve_peers(
    mut listener: BoxListener,
    configuration: ActorRef<ConfigurationMessage>,
    telemetry: Telemetry,
) {
    let long_answers = Arc::new(Semaphore::new(LONG_ANSWERS_AT_ONCE));
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
                let long_answers = Arc::clone(&long_answers);
                connections.spawn(async move {
                    let answering = answer(stream, configuration, &long_answers, telemetry.metrics());
                    let answered = timeout(EXCHANGE_TIME, answering).await;
                    if let Ok(Err(error)) = answered {
                        telemetry.emit(Event::ControlMessageRefused { reason: error.to_string() });
                    }
                });
            }
            Err(_one_connection) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Answers the question on one connection, if there is one.
async fn answer(
    stream: BoxStream,
    configuration: ActorRef<ConfigurationMessage>,
    long_answers: &Semaphore,
    metrics: &Metrics,
) -> Result<(), FrameError> {
    let (reader, writer) = tokio::io::split(stream);
    let mut reader: FrameReader<ReadHalf<BoxStream>, PeerQuestion> = FrameReader::new(reader);
    let mut writer: FrameWriter<WriteHalf<BoxStream>, PeerAnswer> = FrameWriter::new(writer);
    let Some((PeerQuestion::Pull(held), _size)) = reader.next().await? else { return Ok(()) };
    let asked = configuration.call(|reply| ConfigurationMessage::Pull { held, reply }, Some(ACTOR_TIME));
    let Ok(CallResult::Success(encoded)) = asked.await else { return Ok(()) };
    let is_long = encoded.len() > PART_BYTES;
    let permit = if is_long { long_answers.try_acquire().ok() } else { None };
    if is_long && permit.is_none() {
        return writer.send(&PeerAnswer::Busy).await.map(drop);
    }
    metrics.control(Direction::Out, TRANSFER, encoded.len());
    send_in_parts(&mut writer, &encoded).await?;
    // The answer has left this machine when the other node, which has the whole of it, ends the connection.
    let _ = timeout(PART_TIME, reader.next()).await;
    Ok(())
}

async fn send_in_parts(
    writer: &mut FrameWriter<WriteHalf<BoxStream>, PeerAnswer>,
    encoded: &[u8],
) -> Result<(), FrameError> {
    let mut rest = encoded;
    while rest.len() > PART_BYTES {
        let (part, after) = rest.split_at(PART_BYTES);
        writer.send(&PeerAnswer::Part(part.to_vec())).await?;
        rest = after;
    }
    writer.send(&PeerAnswer::LastPart(rest.to_vec())).await.map(drop)
}
