//! The caller's side of an exchange with another node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use parking_lot::Mutex;
use tokio::io::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use umberpond_net::{BoxStream, FrameReader, FrameWriter, Network};

use super::protocol::{HopAnswer, HopBody, HopRequest, HopResponse, OpenHop, decode_fields};
use crate::body::{BodyStream, PendingBody, RequestBodyError};
use crate::message::{
    Attempt, AttemptResult, NotRun, RequestBody, Response, ResponseBody, ResponseBodyError,
};
use crate::outcome::{NotRunReason, UnknownReason};

/// Length in bytes up to which a body is sent along with the head of its request, also to another zone: asking for it would cost
/// about as much.
const PUSHED_LENGTH: usize = 512;
/// Time beyond the deadline in which the other node's last word arrives.
const LAST_WORD: Duration = Duration::from_millis(40);

/// Limits of the connections to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HopPoolSettings {
    /// Longest time to open a connection.
    pub(crate) connect_time: Duration,
    /// Longest time that an idle connection is kept.
    pub(crate) idle_time: Duration,
    /// Most idle connections kept to one node.
    pub(crate) idle_per_node: usize,
}

struct HopConnection {
    reader: FrameReader<ReadHalf<BoxStream>, HopResponse>,
    writer: FrameWriter<WriteHalf<BoxStream>, HopRequest>,
    idle_since: Instant,
}

impl HopConnection {
    fn new(stream: BoxStream) -> Self {
        let (reader, writer) = tokio::io::split(stream);
        Self {
            reader: FrameReader::new(reader),
            writer: FrameWriter::new(writer),
            idle_since: Instant::now(),
        }
    }

    /// Whether the other node has neither closed the connection nor said anything unasked.
    fn is_usable(&mut self, idle_time: Duration) -> bool {
        self.idle_since.elapsed() < idle_time && self.reader.next().now_or_never().is_none()
    }
}

/// Idle connections to other nodes.
pub(crate) struct HopPool {
    network: Arc<dyn Network>,
    settings: HopPoolSettings,
    idle: Mutex<BTreeMap<SocketAddr, Vec<HopConnection>>>,
}

impl HopPool {
    pub(crate) fn new(network: Arc<dyn Network>, settings: HopPoolSettings) -> Arc<Self> {
        Arc::new(Self { network, settings, idle: Mutex::default() })
    }

    /// Sends `attempt` to the node at `address`. Dropping the future gives the attempt up there too.
    pub(crate) async fn run(self: &Arc<Self>, address: SocketAddr, mut attempt: Attempt) -> AttemptResult {
        let deadline = attempt.deadline;
        let Some(connection) = self.connection(address, deadline).await else {
            return AttemptResult::NotRun(NotRun::before_back_end(NotRunReason::NodeUnreachable));
        };
        let body = std::mem::replace(&mut attempt.body, RequestBody::Consumed);
        let exchange = self.exchange(address, connection, &attempt, body);
        // The other node keeps the same deadline and can say whether the request ran; its word is awaited a little.
        match timeout_at(deadline + LAST_WORD, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => {
                // Not even the last word came: the other connections to that node may have gone silent as well.
                self.idle.lock().remove(&address);
                AttemptResult::Unknown(UnknownReason::TimedOut)
            }
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.lock().clear();
    }

    /// Closes the connections that were idle too long or that the other node has closed.
    pub(crate) fn close_expired(&self) {
        self.idle.lock().retain(|_address, connections| {
            connections.retain_mut(|connection| connection.is_usable(self.settings.idle_time));
            !connections.is_empty()
        });
    }

    async fn connection(&self, address: SocketAddr, deadline: Instant) -> Option<HopConnection> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.is_usable(self.settings.idle_time) {
                return Some(connection);
            }
        }
        let until = deadline.min(Instant::now() + self.settings.connect_time);
        let connecting = timeout_at(until, self.network.connect(address));
        connecting.await.ok()?.ok().map(HopConnection::new)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HopConnection> {
        self.idle.lock().get_mut(&address)?.pop()
    }

    fn put_back(&self, address: SocketAddr, mut connection: HopConnection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.settings.idle_per_node {
            connections.push(connection);
        }
    }

    async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: HopConnection,
        attempt: &Attempt,
        body: RequestBody,
    ) -> AttemptResult {
        let lost = AttemptResult::Unknown(UnknownReason::NodeConnectionLost);
        let body = if attempt.is_cross_zone { on_demand(body) } else { body };
        let (first, is_sent_whole) = match body {
            RequestBody::Whole(whole) => {
                let open = OpenHop::of(attempt, HopBody::Whole(whole.to_vec()));
                if connection.writer.send(&HopRequest::Open(Box::new(open))).await.is_err() {
                    return lost;
                }
                (connection.reader.next().await, true)
            }
            RequestBody::Pending(pending) => {
                let open = OpenHop::of(attempt, HopBody::Parts(pending.length()));
                if connection.writer.send(&HopRequest::Open(Box::new(open))).await.is_err() {
                    return lost;
                }
                send_on_demand(&mut connection, &pending).await
            }
            RequestBody::Consumed => {
                return AttemptResult::NotRun(NotRun::before_back_end(NotRunReason::BodyBroken));
            }
        };
        let Ok(Some((response, _size))) = first else { return lost };
        match response {
            HopResponse::Answered(answer) => {
                self.answered(address, connection, *answer, is_sent_whole, attempt.deadline)
            }
            HopResponse::NotRun(told) => {
                if is_sent_whole {
                    self.put_back(address, connection);
                }
                AttemptResult::NotRun(told.into())
            }
            HopResponse::Unknown(reason) => {
                if is_sent_whole {
                    self.put_back(address, connection);
                }
                AttemptResult::Unknown(reason)
            }
            HopResponse::SendBody(_)
            | HopResponse::BodyPart(_)
            | HopResponse::BodyEnd
            | HopResponse::BodyBroken => lost,
        }
    }

    fn answered(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: HopConnection,
        answer: HopAnswer,
        is_sent_whole: bool,
        deadline: Instant,
    ) -> AttemptResult {
        let body = match answer.body {
            HopBody::Whole(whole) => {
                if is_sent_whole {
                    self.put_back(address, connection);
                }
                ResponseBody::Whole(whole.into())
            }
            HopBody::Parts(length) => ResponseBody::Hop(Box::new(HopResponseBody {
                connection: Some(connection),
                pool: Arc::clone(self),
                address,
                length,
                deadline,
                is_kept: is_sent_whole,
            })),
        };
        AttemptResult::Answered(Response {
            status: answer.status,
            fields: decode_fields(answer.fields),
            body,
            back_end_time: Duration::from_micros(answer.back_end_time),
            waited: Duration::from_micros(answer.waited),
            load: answer.load,
        })
    }
}

impl std::fmt::Debug for HopPool {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("HopPool").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// The body as it is sent to a node in another zone: bytes between zones are dear, so a body that is not short crosses only once its
/// request has a slot there.
fn on_demand(body: RequestBody) -> RequestBody {
    match body {
        RequestBody::Whole(whole) if whole.len() > PUSHED_LENGTH => {
            let length = whole.len() as u64;
            let (sender, parts) = mpsc::channel(1);
            // The channel has room for the only part, and its receiver is still there.
            let _ = sender.try_send(Ok(whole));
            RequestBody::Pending(PendingBody::from_caller(Some(length), Bytes::new(), parts))
        }
        other => other,
    }
}

type Frame = Result<Option<(HopResponse, usize)>, umberpond_net::FrameError>;

/// Sends the body as the other node asks for it, until an answer comes; tells the answer, and whether the connection is
/// at the boundary of two exchanges then.
async fn send_on_demand(connection: &mut HopConnection, pending: &PendingBody) -> (Frame, bool) {
    let HopConnection { reader, writer, .. } = connection;
    let mut sender = BodySender::new(pending);
    loop {
        let wants_part = sender.wants_part();
        tokio::select! {
            biased;
            frame = reader.next() => match frame {
                Ok(Some((HopResponse::SendBody(bytes), _size))) => sender.grant(bytes),
                other => return (other, sender.is_at_boundary()),
            },
            part = sender.next_part(), if wants_part => {
                // The caller's body broke off: the other node is told by the end of the connection.
                let Ok(part) = part else { return (Ok(None), false) };
                sender.on_part(part);
            }
        }
        if sender.send(writer).await.is_err() {
            return (Ok(None), false);
        }
    }
}

/// Sends the parts of one body within what the other node has granted.
struct BodySender<'a> {
    pending: &'a PendingBody,
    stream: Option<BodyStream>,
    /// What was taken from the stream and not granted yet.
    rest: Bytes,
    /// Bytes that may be sent.
    granted: usize,
    has_ended: bool,
    is_sent_whole: bool,
}

impl<'a> BodySender<'a> {
    fn new(pending: &'a PendingBody) -> Self {
        Self { pending, stream: None, rest: Bytes::new(), granted: 0, has_ended: false, is_sent_whole: false }
    }

    fn grant(&mut self, bytes: u32) {
        self.granted += bytes as usize;
        if self.stream.is_none() {
            self.stream = self.pending.begin();
        }
    }

    fn wants_part(&self) -> bool {
        self.stream.is_some() && self.rest.is_empty() && self.granted > 0 && !self.has_ended
    }

    /// The next part of the stream. Safe to cancel.
    async fn next_part(&mut self) -> Result<Option<Bytes>, RequestBodyError> {
        let Some(stream) = &mut self.stream else { return Err(RequestBodyError) };
        stream.next().await.transpose()
    }

    fn on_part(&mut self, part: Option<Bytes>) {
        match part {
            Some(part) => self.rest = part,
            None => self.has_ended = true,
        }
    }

    /// Sends what may be sent of the rest, and the end of the body once it has come.
    async fn send(
        &mut self,
        writer: &mut FrameWriter<WriteHalf<BoxStream>, HopRequest>,
    ) -> Result<(), umberpond_net::FrameError> {
        let length = self.rest.len().min(self.granted);
        if length > 0 {
            let part = self.rest.split_to(length);
            self.granted -= length;
            writer.send(&HopRequest::BodyPart(part.to_vec())).await?;
        }
        if self.has_ended && !self.is_sent_whole {
            writer.send(&HopRequest::BodyEnd).await?;
            self.is_sent_whole = true;
        }
        Ok(())
    }

    /// Whether nothing of the body was sent, or all of it.
    const fn is_at_boundary(&self) -> bool {
        self.stream.is_none() || self.is_sent_whole
    }
}

/// The rest of a long body that comes from another node.
pub struct HopResponseBody {
    connection: Option<HopConnection>,
    pool: Arc<HopPool>,
    address: SocketAddr,
    length: Option<u64>,
    deadline: Instant,
    is_kept: bool,
}

impl std::fmt::Debug for HopResponseBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("HopAnswerBody").field("address", &self.address).finish_non_exhaustive()
    }
}

impl HopResponseBody {
    pub(crate) const fn length(&self) -> Option<u64> {
        self.length
    }

    pub(crate) async fn next_part(&mut self) -> Result<Option<Bytes>, ResponseBodyError> {
        let Some(mut connection) = self.connection.take() else { return Ok(None) };
        let frame = timeout_at(self.deadline, connection.reader.next())
            .await
            .map_err(|_elapsed| ResponseBodyError)?;
        let frame = frame.map_err(|_broken| ResponseBodyError)?;
        match frame.map(|(response, _size)| response) {
            Some(HopResponse::BodyPart(part)) => {
                self.connection = Some(connection);
                Ok(Some(part.into()))
            }
            Some(HopResponse::BodyEnd) => {
                if self.is_kept {
                    self.pool.put_back(self.address, connection);
                }
                Ok(None)
            }
            _ => Err(ResponseBodyError),
        }
    }
}
