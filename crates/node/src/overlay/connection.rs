//! One control connection: a task that reads frames, and one that writes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use umberpond_net::{BoxStream, FrameError, FrameReader, FrameWriter, Network};
use umberpond_overlay::PeerMessage;
use umberpond_overlay::interface::ConnectionId;
use umberpond_telemetry::{Direction, Event, Telemetry};

use super::OverlayMessage;
use super::message_kind::message_kind;
use crate::tasks::TaskGroup;

/// Longest time to open a control connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages that wait for a peer that reads slowly. A peer that falls behind further is cut off, and repairs what
/// it missed when it comes back.
const SEND_QUEUE_MESSAGES: usize = 1_024;

/// Messages of one connection that wait for the actor; the reader stops reading above it.
const RECEIVE_QUEUE_MESSAGES: usize = 32;

/// Longest time that a message may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// What the tasks of all control connections share.
#[derive(Clone)]
pub(super) struct ConnectionContext {
    pub(super) actor: ActorRef<OverlayMessage>,
    pub(super) network: Arc<dyn Network>,
    pub(super) tasks: TaskGroup,
    pub(super) telemetry: Telemetry,
}

/// The actor's end of a connection. Dropping it closes the connection once what was sent is written.
#[derive(Debug)]
pub(super) struct ConnectionHandle {
    messages: mpsc::Sender<PeerMessage>,
}

/// What the actor knows of a connection.
#[derive(Debug)]
pub(super) enum ConnectionState {
    /// Messages can be sent.
    Open(ConnectionHandle),
    /// The core has closed it; what was sent before is still being written.
    Closing,
}

/// The peer has fallen behind too far, or the connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SendRefused;

impl ConnectionHandle {
    /// Queues a message.
    pub(super) fn send(&self, message: PeerMessage) -> Result<(), SendRefused> {
        self.messages.try_send(message).map_err(|_| SendRefused)
    }
}

/// Tells the actor something; an actor that is gone needs no telling.
fn tell(actor: &ActorRef<OverlayMessage>, message: OverlayMessage) {
    let _ = actor.send_message(message);
}

/// Opens a connection and hands the stream to the actor.
pub(super) fn connect(context: &ConnectionContext, to: SocketAddr) {
    let inner = context.clone();
    context.tasks.spawn(async move {
        let message = match timeout(CONNECT_TIMEOUT, inner.network.connect(to)).await {
            Ok(Ok(stream)) => OverlayMessage::Connected { to, stream },
            Ok(Err(error)) => connect_failed(&inner, to, error.kind().to_string()),
            Err(_) => connect_failed(&inner, to, "no answer in time".to_owned()),
        };
        tell(&inner.actor, message);
    });
}

fn connect_failed(context: &ConnectionContext, to: SocketAddr, reason: String) -> OverlayMessage {
    context.telemetry.emit(Event::ControlConnectFailed { peer: to, reason });
    OverlayMessage::ConnectFailed { to }
}

/// Starts the reading and the writing of `stream`.
pub(super) fn open(
    context: &ConnectionContext,
    connection: ConnectionId,
    stream: BoxStream,
) -> ConnectionHandle {
    let (reader, writer) = tokio::io::split(stream);
    let (messages, queue) = mpsc::channel(SEND_QUEUE_MESSAGES);
    let ended = mpsc::channel::<()>(1);
    context.tasks.spawn(write(context.clone(), connection, writer, queue, ended.0));
    context.tasks.spawn(read(context.clone(), connection, reader, ended.1));
    ConnectionHandle { messages }
}

/// Writes until the actor drops its end or the connection fails; then the reader ends as well, because the sender
/// of `_ended` is dropped.
async fn write(
    context: ConnectionContext,
    connection: ConnectionId,
    writer: WriteHalf<BoxStream>,
    mut queue: mpsc::Receiver<PeerMessage>,
    _ended: mpsc::Sender<()>,
) {
    let mut stream = writer;
    let mut frames = FrameWriter::new(&mut stream);
    while let Some(message) = queue.recv().await {
        match timeout(WRITE_TIMEOUT, frames.send(&message)).await {
            Ok(Ok(bytes)) => {
                context.telemetry.metrics().control(Direction::Out, message_kind(&message), bytes)
            }
            Ok(Err(_)) | Err(_) => {
                tell(&context.actor, OverlayMessage::Ended { connection });
                return;
            }
        }
    }
    drop(frames);
    // The peer sees the end either way; a failure here has nobody left to tell.
    let _ = timeout(WRITE_TIMEOUT, stream.shutdown()).await;
}

async fn read(
    context: ConnectionContext,
    connection: ConnectionId,
    reader: ReadHalf<BoxStream>,
    mut writer_ended: mpsc::Receiver<()>,
) {
    let mut frames = FrameReader::new(reader);
    let places = Arc::new(Semaphore::new(RECEIVE_QUEUE_MESSAGES));
    let reason = loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { break "closed".to_owned() };
        let next = tokio::select! {
            biased;
            _ = writer_ended.recv() => break "closed by this node".to_owned(),
            next = frames.next() => next,
        };
        match next {
            Ok(Some((message, bytes))) => {
                let message: PeerMessage = message;
                context.telemetry.metrics().control(Direction::In, message_kind(&message), bytes);
                tell(&context.actor, OverlayMessage::Received { connection, message, place });
            }
            Ok(None) => break "closed by the peer".to_owned(),
            Err(FrameError::Undecodable(_)) => {
                // The core decides: it keeps what it has and closes the connection.
                tell(
                    &context.actor,
                    OverlayMessage::Received { connection, message: PeerMessage::Unknown, place },
                );
                break "a frame that is no known message".to_owned();
            }
            Err(error) => break error.to_string(),
        }
    };
    context.telemetry.emit(Event::ControlDisconnected { reason });
    tell(&context.actor, OverlayMessage::Ended { connection });
}
