//! Configurations from node to node: one question and one answer on a connection.

use std::net::SocketAddr;
use std::time::Duration;

use bitcode::{Decode, Encode};
use ractor::ActorRef;
use ractor::rpc::CallResult;
use tokio::io::{ReadHalf, WriteHalf};
use tokio::task::JoinSet;
use tokio::time::timeout;
use umberpond_distribution::{Held, Transfer};
use umberpond_net::{BoxListener, BoxStream, FrameError, FrameReader, FrameWriter, Network};
use umberpond_telemetry::{Event, Telemetry};

use super::actor::ConfigurationMessage;

/// Longest time of a whole question and answer.
const EXCHANGE_TIME: Duration = Duration::from_millis(1_000);
/// Longest time that the actor takes to answer.
const ACTOR_TIME: Duration = Duration::from_millis(1_000);
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

/// Fetches what the node at `peer` holds beyond `held`; absent if it can't be had.
pub(super) async fn fetch(network: &dyn Network, peer: SocketAddr, held: Option<Held>) -> Option<Transfer> {
    timeout(EXCHANGE_TIME, exchange(network, peer, held)).await.ok().flatten()
}

async fn exchange(network: &dyn Network, peer: SocketAddr, held: Option<Held>) -> Option<Transfer> {
    let stream = network.connect(peer).await.ok()?;
    let (reader, writer) = tokio::io::split(stream);
    let mut writer: FrameWriter<WriteHalf<BoxStream>, PeerQuestion> = FrameWriter::new(writer);
    let mut reader: FrameReader<ReadHalf<BoxStream>, Transfer> = FrameReader::new(reader);
    writer.send(&PeerQuestion::Pull(held)).await.ok()?;
    let (transfer, _size) = reader.next().await.ok()??;
    Some(transfer)
}

/// Answers the questions of other nodes, without end.
pub(crate) async fn serve_peers(
    mut listener: BoxListener,
    configuration: ActorRef<ConfigurationMessage>,
    telemetry: Telemetry,
) {
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
                connections.spawn(async move {
                    let answered = timeout(EXCHANGE_TIME, answer(stream, configuration)).await;
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
async fn answer(stream: BoxStream, configuration: ActorRef<ConfigurationMessage>) -> Result<(), FrameError> {
    let (reader, writer) = tokio::io::split(stream);
    let mut reader: FrameReader<ReadHalf<BoxStream>, PeerQuestion> = FrameReader::new(reader);
    let mut writer: FrameWriter<WriteHalf<BoxStream>, Transfer> = FrameWriter::new(writer);
    let Some((PeerQuestion::Pull(held), _size)) = reader.next().await? else { return Ok(()) };
    let asked = configuration.call(|reply| ConfigurationMessage::Pull { held, reply }, Some(ACTOR_TIME));
    let Ok(CallResult::Success(transfer)) = asked.await else { return Ok(()) };
    writer.send(&transfer).await.map(drop)
}
