//! Client side of an exchange with another node.

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

use super::protocol::{HopBody, HopRequest, HopResponse, HopResponseHead, OpenExchange, decode_fields};
use crate::body::{BodyStream, PendingBody, RequestBodyError};
use crate::message::{
    Attempt, AttemptResult, NotRun, RequestBody, Response, ResponseBody, ResponseBodyError,
};
use crate::outcome::{NotRunReason, UnknownReason};

/// Maximum length in bytes of a body that is sent together with the head of its request, also to another
/// zone: requesting it separately would cost about as much.
const MAX_INLINE_LENGTH: usize = 512;
/// Time after the deadline for which the final response of the other node is awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(40);

/// Limits of the connection pool to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HopPoolSettings {
    /// Timeout for opening a connection.
    pub(crate) connect_time: Duration,
    /// Time after which an idle connection is closed.
    pub(crate) idle_time: Duration,
    /// Maximum number of idle connections to one node.
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

    /// Whether the connection has not been idle too long, and the other node has neither closed it nor sent
    /// anything unsolicited.
    fn is_usable(&mut self, idle_time: Duration) -> bool {
        self.idle_since.elapsed() < idle_time && self.reader.next().now_or_never().is_none()
    }
}

/// Pool of idle connections to other nodes.
pub(crate) struct HopPool {
    network: Arc<dyn Network>,
    settings: HopPoolSettings,
    idle: Mutex<BTreeMap<SocketAddr, Vec<HopConnection>>>,
}

impl HopPool {
    pub(crate) fn new(network: Arc<dyn Network>, settings: HopPoolSettings) -> Arc<Self> {
        Arc::new(Self { network, settings, idle: Mutex::default() })
    }

    /// Sends `attempt` to the node at `address`. Dropping the future cancels the attempt there too.
    pub(crate) async fn run(self: &Arc<Self>, address: SocketAddr, mut attempt: Attempt) -> AttemptResult {
        let deadline = attempt.deadline;
        let Some(connection) = self.connection(address, deadline).await else {
            return AttemptResult::NotRun(NotRun::before_back_end(NotRunReason::NodeUnreachable));
        };
        let body = std::mem::replace(&mut attempt.body, RequestBody::Consumed);
        let exchange = self.exchange(address, connection, &attempt, body);
        // The other node enforces the same deadline and can report whether the request ran, so its response
        // is awaited a little longer.
        match timeout_at(deadline + RESPONSE_GRACE, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => {
                // No response arrived at all, so the idle connections to that node may be dead as well.
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
        let body = if attempt.is_cross_zone { into_pending_body(body) } else { body };
        let (first, is_sent_whole) = match body {
            RequestBody::Whole(whole) => {
                let open = OpenExchange::of(attempt, HopBody::Whole(whole.to_vec()));
                if connection.writer.send(&HopRequest::Open(Box::new(open))).await.is_err() {
                    return lost;
                }
                (connection.reader.next().await, true)
            }
            RequestBody::Pending(pending) => {
                let open = OpenExchange::of(attempt, HopBody::Parts(pending.length()));
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
            HopResponse::Answered(head) => {
                self.on_response_head(address, connection, *head, is_sent_whole, attempt.deadline)
            }
            HopResponse::NotRun(hop_not_run) => {
                if is_sent_whole {
                    self.put_back(address, connection);
                }
                AttemptResult::NotRun(hop_not_run.into())
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

    fn on_response_head(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: HopConnection,
        head: HopResponseHead,
        is_sent_whole: bool,
        deadline: Instant,
    ) -> AttemptResult {
        let body = match head.body {
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
                is_reusable: is_sent_whole,
            })),
        };
        AttemptResult::Answered(Response {
            status: head.status,
            fields: decode_fields(head.fields),
            body,
            back_end_time: Duration::from_micros(head.back_end_time),
            waited: Duration::from_micros(head.waited),
            load: head.load,
        })
    }
}

impl std::fmt::Debug for HopPool {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("HopPool").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// Converts the body of a request to a node in another zone. Traffic between zones is expensive, so a body
/// that is not short is sent only once its request has a slot there.
fn into_pending_body(body: RequestBody) -> RequestBody {
    match body {
        RequestBody::Whole(whole) if whole.len() > MAX_INLINE_LENGTH => {
            let length = whole.len() as u64;
            let (sender, parts) = mpsc::channel(1);
            // The send cannot fail: the channel has capacity for the only part, and its receiver exists.
            let _ = sender.try_send(Ok(whole));
            RequestBody::Pending(PendingBody::from_caller(Some(length), Bytes::new(), parts))
        }
        other => other,
    }
}

type Frame = Result<Option<(HopResponse, usize)>, umberpond_net::FrameError>;

/// Sends the body as the other node requests it, until a response arrives. Returns the response, and whether
/// the connection is then at the boundary between two exchanges.
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
                // The caller's body is incomplete. The end of the connection reports that to the other node.
                let Ok(part) = part else { return (Ok(None), false) };
                sender.on_part(part);
            }
        }
        if sender.send(writer).await.is_err() {
            return (Ok(None), false);
        }
    }
}

/// Sends the parts of one body within the number of bytes that the other node has granted.
struct BodySender<'a> {
    pending: &'a PendingBody,
    stream: Option<BodyStream>,
    /// Data taken from the stream that is not granted yet.
    buffered: Bytes,
    /// Number of granted bytes that are not sent yet.
    granted: usize,
    has_ended: bool,
    is_sent_whole: bool,
}

impl<'a> BodySender<'a> {
    fn new(pending: &'a PendingBody) -> Self {
        Self {
            pending,
            stream: None,
            buffered: Bytes::new(),
            granted: 0,
            has_ended: false,
            is_sent_whole: false,
        }
    }

    fn grant(&mut self, bytes: u32) {
        self.granted += bytes as usize;
        if self.stream.is_none() {
            self.stream = self.pending.begin();
        }
    }

    fn wants_part(&self) -> bool {
        self.stream.is_some() && self.buffered.is_empty() && self.granted > 0 && !self.has_ended
    }

    /// Reads the next part of the stream. Cancel safe.
    async fn next_part(&mut self) -> Result<Option<Bytes>, RequestBodyError> {
        let Some(stream) = &mut self.stream else { return Err(RequestBodyError) };
        stream.next().await.transpose()
    }

    fn on_part(&mut self, part: Option<Bytes>) {
        match part {
            Some(part) => self.buffered = part,
            None => self.has_ended = true,
        }
    }

    /// Sends the granted part of the data, and the end of the body once it is reached.
    async fn send(
        &mut self,
        writer: &mut FrameWriter<WriteHalf<BoxStream>, HopRequest>,
    ) -> Result<(), umberpond_net::FrameError> {
        let length = self.buffered.len().min(self.granted);
        if length > 0 {
            let part = self.buffered.split_to(length);
            self.granted -= length;
            writer.send(&HopRequest::BodyPart(part.to_vec())).await?;
        }
        if self.has_ended && !self.is_sent_whole {
            writer.send(&HopRequest::BodyEnd).await?;
            self.is_sent_whole = true;
        }
        Ok(())
    }

    /// Whether none of the body was sent, or all of it.
    const fn is_at_boundary(&self) -> bool {
        self.stream.is_none() || self.is_sent_whole
    }
}

/// Remainder of a long response body that arrives from another node.
pub struct HopResponseBody {
    connection: Option<HopConnection>,
    pool: Arc<HopPool>,
    address: SocketAddr,
    length: Option<u64>,
    deadline: Instant,
    is_reusable: bool,
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

    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
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
                if self.is_reusable {
                    self.pool.put_back(self.address, connection);
                }
                Ok(None)
            }
            _ => Err(ResponseBodyError),
        }
    }
}
