//! Serves one connection of a caller.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep_until, timeout};
use umberpond_http1::{
    Framing, HeadError, HttpVersion, MessageReader, ReadLimits, RequestHead, request_framing,
};
use umberpond_net::BoxStream;

use super::control::{ServerControl, ServerPhase};
use super::pending::{PendingRequests, Ready};
use super::receive::{BodyReceiver, BodyRefusal, receive};
use super::writer::{WriteOutcome, write_reply};
use crate::message::RequestBody;
use crate::outbound::{Outbound, ReplyReason};

/// Maximum number of pipelined requests that are handled concurrently on one connection.
const MAX_PIPELINED: usize = 16;
/// Maximum bytes that are read ahead while no further request is accepted, to detect that the caller has
/// disconnected.
const READ_AHEAD: usize = 64 * 1024;
/// Maximum time for which input is still read after the last reply, so that the reply isn't lost to a
/// connection reset.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// A connection of a local caller.
pub(super) struct CallerConnection {
    reader: MessageReader<ReadHalf<BoxStream>>,
    writer: WriteHalf<BoxStream>,
    outbound: Arc<Outbound>,
    control: ServerControl,
    pending: PendingRequests,
    body_receiver: Option<BodyReceiver>,
    /// Whether the last request of the connection has been accepted.
    is_last_accepted: bool,
    idle_since: Instant,
}

/// The next event on the connection.
enum ConnectionEvent {
    Ready(Ready),
    Head(Result<Option<RequestHead>, HeadError>),
    BodyStep(Option<bool>),
    PeerGone,
    Idle,
}

impl CallerConnection {
    pub(super) fn new(stream: BoxStream, outbound: Arc<Outbound>, control: ServerControl) -> Self {
        let (reader, writer) = tokio::io::split(stream);
        Self {
            reader: MessageReader::new(reader),
            writer,
            outbound,
            control,
            pending: PendingRequests::default(),
            body_receiver: None,
            is_last_accepted: false,
            idle_since: Instant::now(),
        }
    }

    /// Serves requests until the connection ends. Requests that are still open when the caller disconnects
    /// are cancelled.
    pub(super) async fn serve(mut self) {
        loop {
            let stays_open = match self.next().await {
                ConnectionEvent::Ready(ready) => self.on_ready(ready).await,
                ConnectionEvent::Head(head) => self.on_head(head).await,
                ConnectionEvent::BodyStep(step) => self.on_body_step(step),
                ConnectionEvent::PeerGone | ConnectionEvent::Idle => false,
            };
            if !stays_open {
                return;
            }
        }
    }

    async fn next(&mut self) -> ConnectionEvent {
        let limits = self.outbound.limits();
        let read_limits = ReadLimits {
            head_bytes: usize::try_from(limits.head_bytes).unwrap_or(usize::MAX),
            head_time: Duration::from_millis(limits.head_time.0),
        };
        let idle_end = self.idle_since + Duration::from_millis(limits.idle_time.0);
        let accepts_more =
            !self.is_last_accepted && self.body_receiver.is_none() && self.pending.len() < MAX_PIPELINED;
        let is_idle = self.pending.is_empty() && self.reader.is_empty();
        let Self { reader, pending, body_receiver, .. } = self;
        let has_pending = !pending.is_empty();
        tokio::select! {
            biased;
            ready = pending.next(), if has_pending => ConnectionEvent::Ready(ready),
            event = read(reader, body_receiver.as_mut(), accepts_more, read_limits) => event,
            () = sleep_until(idle_end), if is_idle => ConnectionEvent::Idle,
        }
    }

    async fn on_head(&mut self, head: Result<Option<RequestHead>, HeadError>) -> bool {
        let arrived = Instant::now();
        let head = match head {
            Ok(Some(head)) => head,
            Ok(None) | Err(HeadError::Truncated | HeadError::Transport(_)) => return false,
            Err(HeadError::Malformed) => return self.refuse(ReplyReason::Malformed),
            Err(HeadError::TooLarge) => return self.refuse(ReplyReason::HeadTooLarge),
            Err(HeadError::TooSlow) => return self.refuse(ReplyReason::HeadTooSlow),
        };
        let Ok(framing) = request_framing(&head) else { return self.refuse(ReplyReason::Malformed) };
        if !self.send_continue(&head, framing).await {
            return false;
        }
        let body_limit = self.outbound.limits().body_bytes;
        let (body, body_receiver) = match receive(&mut self.reader, framing, body_limit).await {
            Ok(received) => received,
            Err(BodyRefusal::TooLarge) => return self.refuse(ReplyReason::BodyTooLarge),
            Err(BodyRefusal::Truncated) => return false,
        };
        self.body_receiver = body_receiver;
        self.start(head, body, arrived);
        true
    }

    fn is_leaving(&self) -> bool {
        self.control.phase() >= ServerPhase::Draining
    }

    fn start(&mut self, head: RequestHead, body: RequestBody, arrived: Instant) {
        let is_last = head.version == HttpVersion::Http10 || head.fields.lists("connection", "close");
        self.is_last_accepted |= is_last;
        let method = head.method.clone();
        if self.control.phase() >= ServerPhase::Refusing {
            let reply = self.outbound.refuse_while_stopping(&head);
            self.pending.push(std::future::ready(reply), method, self.control.open_request());
            return;
        }
        let handling = Arc::clone(&self.outbound).handle(head, body, arrived, self.control.clone());
        self.pending.push(handling, method, self.control.open_request());
    }

    /// Queues a locally generated reply behind the open requests and accepts no further request.
    fn refuse(&mut self, reason: ReplyReason) -> bool {
        self.is_last_accepted = true;
        let reply = self.outbound.refuse_unparsed(reason);
        self.pending.push(std::future::ready(reply), bytes::Bytes::new(), self.control.open_request());
        true
    }

    /// Sends `100 Continue` if the caller waits for it before it sends the body.
    async fn send_continue(&mut self, head: &RequestHead, framing: Framing) -> bool {
        let is_waiting = head.fields.lists("expect", "100-continue") && !framing.is_empty();
        if !is_waiting || !self.pending.is_empty() {
            return true;
        }
        self.writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_ok()
    }

    fn on_body_step(&mut self, step: Option<bool>) -> bool {
        if let Some(is_whole) = step {
            self.body_receiver = None;
            self.is_last_accepted |= !is_whole;
        }
        true
    }

    async fn on_ready(&mut self, ready: Ready) -> bool {
        let is_unfinished = self.body_receiver.is_some() && self.pending.is_empty();
        self.is_last_accepted |= ready.reply.closes || is_unfinished || self.is_leaving();
        let closes = self.is_last_accepted && self.pending.is_empty() || ready.reply.closes;
        let Ready { reply, method, open } = ready;
        let written = write_reply(&mut self.writer, reply, &method, closes).await;
        drop(open);
        self.idle_since = Instant::now();
        let is_whole = matches!(written, Ok(WriteOutcome::Whole));
        if is_whole && !closes {
            return true;
        }
        if is_whole {
            self.linger().await;
        }
        false
    }

    /// Shuts down the write side and drains the input for a while: closing a connection with unread input
    /// would reset it, and the caller would lose the last reply.
    async fn linger(&mut self) {
        let _ = self.writer.shutdown().await;
        let _ = timeout(LINGER_TIME, self.reader.discard_until_gone()).await;
    }
}

/// Reads the rest of a body, the next request head, or waits for the end of the connection.
async fn read(
    reader: &mut MessageReader<ReadHalf<BoxStream>>,
    body_receiver: Option<&mut BodyReceiver>,
    accepts_more: bool,
    limits: ReadLimits,
) -> ConnectionEvent {
    if let Some(body_receiver) = body_receiver {
        return ConnectionEvent::BodyStep(body_receiver.step(reader).await);
    }
    if accepts_more {
        return ConnectionEvent::Head(reader.request_head(limits).await);
    }
    reader.peer_gone(READ_AHEAD).await;
    ConnectionEvent::PeerGone
}
