//! One connection of a caller.

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
use super::receive::{BodyRefusal, Receiving, receive};
use super::writer::{Written, write_reply};
use crate::message::RequestBody;
use crate::outbound::{Outbound, ReplyReason};

/// Most requests of one connection that are handled at once.
const MAX_PIPELINED: usize = 16;
/// Bytes read ahead while no further request is taken, to notice that the caller has left.
const READ_AHEAD: usize = 64 * 1024;
/// Longest time in which what the caller still sends is read after the last answer, so that the answer arrives.
const LINGER: Duration = Duration::from_millis(500);

/// A connection of a caller beside this node.
pub(super) struct CallerConnection {
    reader: MessageReader<ReadHalf<BoxStream>>,
    writer: WriteHalf<BoxStream>,
    outbound: Arc<Outbound>,
    control: ServerControl,
    pending: PendingRequests,
    receiving: Option<Receiving>,
    /// Whether no further request is taken.
    is_last_taken: bool,
    idle_since: Instant,
}

/// What happened first.
enum Happened {
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
            receiving: None,
            is_last_taken: false,
            idle_since: Instant::now(),
        }
    }

    /// Serves requests until the connection ends. What is open when the caller leaves is given up.
    pub(super) async fn serve(mut self) {
        loop {
            let goes_on = match self.next().await {
                Happened::Ready(ready) => self.on_ready(ready).await,
                Happened::Head(head) => self.on_head(head).await,
                Happened::BodyStep(step) => self.on_body_step(step),
                Happened::PeerGone | Happened::Idle => false,
            };
            if !goes_on {
                return;
            }
        }
    }

    async fn next(&mut self) -> Happened {
        let limits = self.outbound.limits();
        let read_limits = ReadLimits {
            head_bytes: usize::try_from(limits.head_bytes).unwrap_or(usize::MAX),
            head_time: Duration::from_millis(limits.head_time.0),
        };
        let idle_end = self.idle_since + Duration::from_millis(limits.idle_time.0);
        let takes_more =
            !self.is_last_taken && self.receiving.is_none() && self.pending.len() < MAX_PIPELINED;
        let is_idle = self.pending.is_empty() && self.reader.is_empty();
        let Self { reader, pending, receiving, .. } = self;
        let has_pending = !pending.is_empty();
        tokio::select! {
            biased;
            ready = pending.next(), if has_pending => Happened::Ready(ready),
            happened = read(reader, receiving.as_mut(), takes_more, read_limits) => happened,
            () = sleep_until(idle_end), if is_idle => Happened::Idle,
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
        if !self.invite_body(&head, framing).await {
            return false;
        }
        let body_limit = self.outbound.limits().body_bytes;
        let (body, receiving) = match receive(&mut self.reader, framing, body_limit).await {
            Ok(received) => received,
            Err(BodyRefusal::TooLarge) => return self.refuse(ReplyReason::BodyTooLarge),
            Err(BodyRefusal::Broken) => return false,
        };
        self.receiving = receiving;
        self.start(head, body, arrived);
        true
    }

    fn is_leaving(&self) -> bool {
        self.control.phase() >= ServerPhase::Leaving
    }

    fn start(&mut self, head: RequestHead, body: RequestBody, arrived: Instant) {
        let is_last = head.version == HttpVersion::Http10 || head.fields.lists("connection", "close");
        self.is_last_taken |= is_last;
        let method = head.method.clone();
        if self.control.phase() >= ServerPhase::Refusing {
            let reply = self.outbound.refuse_while_stopping(&head);
            self.pending.push(std::future::ready(reply), method, self.control.open_request());
            return;
        }
        let handling = Arc::clone(&self.outbound).handle(head, body, arrived, self.control.clone());
        self.pending.push(handling, method, self.control.open_request());
    }

    /// Answers by itself, after what is open, and takes no further request.
    fn refuse(&mut self, reason: ReplyReason) -> bool {
        self.is_last_taken = true;
        let reply = self.outbound.refuse_bytes(reason);
        self.pending.push(std::future::ready(reply), bytes::Bytes::new(), self.control.open_request());
        true
    }

    /// Tells a caller to send its body, if it waits for that.
    async fn invite_body(&mut self, head: &RequestHead, framing: Framing) -> bool {
        let is_waiting = head.fields.lists("expect", "100-continue") && !framing.is_empty();
        if !is_waiting || !self.pending.is_empty() {
            return true;
        }
        self.writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_ok()
    }

    fn on_body_step(&mut self, step: Option<bool>) -> bool {
        if let Some(is_whole) = step {
            self.receiving = None;
            self.is_last_taken |= !is_whole;
        }
        true
    }

    async fn on_ready(&mut self, ready: Ready) -> bool {
        let is_unfinished = self.receiving.is_some() && self.pending.is_empty();
        self.is_last_taken |= ready.reply.closes || is_unfinished || self.is_leaving();
        let closes = self.is_last_taken && self.pending.is_empty() || ready.reply.closes;
        let Ready { reply, method, open } = ready;
        let written = write_reply(&mut self.writer, reply, &method, closes).await;
        drop(open);
        self.idle_since = Instant::now();
        let is_whole = matches!(written, Ok(Written::Whole));
        if is_whole && !closes {
            return true;
        }
        if is_whole {
            self.linger().await;
        }
        false
    }

    /// Ends the connection without taking the last answer from the caller: closing with bytes unread would reset it.
    async fn linger(&mut self) {
        let _ = self.writer.shutdown().await;
        let _ = timeout(LINGER, self.reader.peer_gone(usize::MAX)).await;
    }
}

/// Reads whatever comes next: the rest of a body, the next head, or nothing but the end of the connection.
async fn read(
    reader: &mut MessageReader<ReadHalf<BoxStream>>,
    receiving: Option<&mut Receiving>,
    takes_more: bool,
    limits: ReadLimits,
) -> Happened {
    if let Some(receiving) = receiving {
        return Happened::BodyStep(receiving.step(reader).await);
    }
    if takes_more {
        return Happened::Head(reader.request_head(limits).await);
    }
    reader.peer_gone(READ_AHEAD).await;
    Happened::PeerGone
}
