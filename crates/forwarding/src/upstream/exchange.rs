//! One request to the back end and its response.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::ReadHalf;
use tokio::time::{Instant, timeout, timeout_at};
use umberpond_http1::{
    BodyDecoder, BodyError, Fields, Framing, HeadError, MessageReader, ResponseHead, response_framing,
    write_chunk, write_last_chunk, write_request_head,
};
use umberpond_net::BoxStream;

use super::body::UpstreamBody;
use super::connection::UpstreamConnection;
use super::pool::UpstreamPool;
use crate::body::{BodyStream, PendingBody};
use crate::header_profile::HeaderProfile;
use crate::message::{RequestBody, ResponseBody};
use crate::outcome::{NotRunReason, UnknownReason};

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a body that is buffered before it is forwarded. Until then a response that breaks off can
/// still be replaced.
const MAX_BUFFERED_BODY: usize = 1024 * 1024;
/// Time after the head for which a body is buffered. A body that takes longer is forwarded as it arrives.
const BUFFERING_TIME: Duration = Duration::from_millis(150);
/// Time for which the rest of a rejection is awaited so that its connection can be reused. The request waits
/// meanwhile, although another back end may take it.
const DISCARD_TIME: Duration = Duration::from_millis(20);
/// Time for which the rest of a response to an earlier request is awaited. The own response can't come before it.
const SKIP_TIME: Duration = Duration::from_millis(150);
/// Maximum number of responses to earlier requests that are skipped before the own one.
const MAX_SURPLUS: u32 = 4;
/// Maximum number of interim responses that are skipped before the own one.
const MAX_INTERIM: u32 = 16;

/// Status after which a connection carries another protocol. Requests never ask for that.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Status with which a back end reports that the request was meant for another one. It does not run the
/// request.
pub(crate) const MISDIRECTED: u16 = 421;

/// A request as it is written to the back end.
#[derive(Debug)]
pub(crate) struct ExchangeRequest<'a> {
    pub(crate) id: &'a [u8],
    pub(crate) method: &'a [u8],
    pub(crate) target: &'a [u8],
    /// Header fields without those for framing.
    pub(crate) fields: &'a Fields,
    pub(crate) deadline: Instant,
}

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum ExchangeEnd {
    /// The back end sent a response to this request, whatever its status.
    Answered { status: u16, fields: Fields, body: ResponseBody },
    /// No part of the request reached the back end.
    NotSent(NotRunReason),
    /// The back end reported that it did not run the request.
    Rejected { status: u16 },
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Runs exchanges over the connections of a pool.
pub(crate) struct Exchanger<'a> {
    pub(crate) pool: &'a Arc<UpstreamPool>,
    pub(crate) header_profile: &'a HeaderProfile,
    /// Receives the head of each response before the response body is read.
    pub(crate) listener: &'a dyn ResponseListener,
}

/// Receives the heads of a back end's responses.
pub(crate) trait ResponseListener: Send + Sync {
    /// Called with the head of the response to a request that was sent at `sent_at`. `is_trusted` tells whether
    /// the response will be forwarded.
    fn on_response_head(&self, sent_at: Instant, head: &ResponseHead, is_trusted: bool);
}

/// How far a request had been sent when the head of its response was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendProgress {
    /// Not completely.
    Partial,
    /// Completely.
    Whole,
    /// Not completely, because the connection failed.
    Failed,
}

/// Numbers of responses that were skipped before the own one.
#[derive(Debug, Default)]
struct SkippedResponses {
    interim: u32,
    surplus: u32,
}

/// Why no response head was received.
enum HeadFailure {
    /// Nothing was written; another connection may be tried.
    NothingWritten,
    Unknown(UnknownReason),
}

impl Exchanger<'_> {
    /// Sends `request` and reads its response.
    pub(crate) async fn run(&self, request: &ExchangeRequest<'_>, body: RequestBody) -> ExchangeEnd {
        let exchange = self.exchange(request, body);
        match timeout_at(request.deadline, exchange).await {
            Ok(end) => end,
            Err(_elapsed) => ExchangeEnd::Unknown(UnknownReason::TimedOut),
        }
    }

    async fn exchange(&self, request: &ExchangeRequest<'_>, body: RequestBody) -> ExchangeEnd {
        // An idle connection that the back end has just closed accepts no data, so the next one is tried.
        while let Some(connection) = self.pool.idle() {
            let Some(body) = body.for_attempt() else {
                return ExchangeEnd::NotSent(NotRunReason::BodyBroken);
            };
            match self.on_connection(connection, request, body).await {
                Err(HeadFailure::NothingWritten) => {}
                Err(HeadFailure::Unknown(reason)) => return ExchangeEnd::Unknown(reason),
                Ok(end) => return end,
            }
        }
        let Some(connection) = self.pool.connect(request.deadline).await else {
            return ExchangeEnd::NotSent(NotRunReason::BackEndUnreachable);
        };
        let Some(body) = body.for_attempt() else { return ExchangeEnd::NotSent(NotRunReason::BodyBroken) };
        match self.on_connection(connection, request, body).await {
            Err(HeadFailure::NothingWritten) => ExchangeEnd::NotSent(NotRunReason::BackEndUnreachable),
            Err(HeadFailure::Unknown(reason)) => ExchangeEnd::Unknown(reason),
            Ok(end) => end,
        }
    }

    async fn on_connection(
        &self,
        mut connection: UpstreamConnection,
        request: &ExchangeRequest<'_>,
        body: RequestBody,
    ) -> Result<ExchangeEnd, HeadFailure> {
        let sent_at = Instant::now();
        let (head, progress) = match body {
            RequestBody::Whole(whole) => {
                let progress = write_whole(&mut connection, request, &whole).await?;
                (self.read_own_head(&mut connection, request).await?, progress)
            }
            RequestBody::Pending(pending) => {
                self.exchange_pending(&mut connection, request, &pending).await?
            }
            RequestBody::Consumed => return Ok(ExchangeEnd::NotSent(NotRunReason::BodyBroken)),
        };
        self.listener.on_response_head(sent_at, &head, self.is_trusted(&head));
        self.read_response(connection, request, head, progress).await
    }

    /// Starts a body, sends it while it arrives, and reads the response, which may arrive before the body is
    /// sent.
    async fn exchange_pending(
        &self,
        connection: &mut UpstreamConnection,
        request: &ExchangeRequest<'_>,
        pending: &PendingBody,
    ) -> Result<(ResponseHead, SendProgress), HeadFailure> {
        let framing = pending.length().map_or(Framing::Chunked, Framing::Length);
        let mut head = BytesMut::new();
        write_request_head(&mut head, request.method, request.target, request.fields, framing);
        connection.write(&head).await.map_err(|failure| write_failure(failure.has_written))?;
        let Some(mut stream) = pending.begin() else {
            return Err(HeadFailure::Unknown(UnknownReason::BodyBroken));
        };
        let UpstreamConnection { reader, writer, .. } = connection;
        let mut progress = SendProgress::Partial;
        let mut skipped = SkippedResponses::default();
        let sending = send_stream(writer, &mut stream, framing);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                biased;
                head = reader.response_head(MAX_HEAD_BYTES) => {
                    let head = head.map_err(head_failure)?;
                    if self.is_own(&head, request.id) {
                        return Ok((head, progress));
                    }
                    self.skip(reader, &head, request.method, &mut skipped).await?;
                }
                sent = &mut sending, if progress == SendProgress::Partial => progress = match sent {
                    Ok(()) => SendProgress::Whole,
                    Err(StreamFailure::Caller) => return Err(HeadFailure::Unknown(UnknownReason::BodyBroken)),
                    // The back end may have responded before it read the whole body, so its response is
                    // still read.
                    Err(StreamFailure::BackEnd) => SendProgress::Failed,
                }
            }
        }
    }

    /// Reads heads until one belongs to this request. Interim responses, and surplus responses to earlier
    /// requests of the connection, may precede it.
    async fn read_own_head(
        &self,
        connection: &mut UpstreamConnection,
        request: &ExchangeRequest<'_>,
    ) -> Result<ResponseHead, HeadFailure> {
        let mut skipped = SkippedResponses::default();
        loop {
            let head = connection.reader.response_head(MAX_HEAD_BYTES).await.map_err(head_failure)?;
            if self.is_own(&head, request.id) {
                return Ok(head);
            }
            self.skip(&mut connection.reader, &head, request.method, &mut skipped).await?;
        }
    }

    /// Skips the response that starts with `head`: an interim one, or one to an earlier request.
    async fn skip(
        &self,
        reader: &mut MessageReader<ReadHalf<BoxStream>>,
        head: &ResponseHead,
        method: &[u8],
        skipped: &mut SkippedResponses,
    ) -> Result<(), HeadFailure> {
        let is_skipped = if is_interim(head) {
            skipped.interim += 1;
            skipped.interim <= MAX_INTERIM && head.status != SWITCHING_PROTOCOLS
        } else {
            skipped.surplus += 1;
            let names_another = head.fields.get(self.header_profile.request_id).is_some();
            names_another && skipped.surplus <= MAX_SURPLUS && skip_body(reader, head, method).await
        };
        if is_skipped { Ok(()) } else { Err(HeadFailure::Unknown(UnknownReason::InvalidResponse)) }
    }

    /// Whether a head is that of the final response to the request `id`. A rejection need not name the request.
    fn is_own(&self, head: &ResponseHead, id: &[u8]) -> bool {
        if is_interim(head) {
            return false;
        }
        match head.fields.get(self.header_profile.request_id) {
            Some(echoed) => echoed == id,
            None => !self.header_profile.echoes_request_id || self.is_rejection(head),
        }
    }

    /// Whether the back end reports that it did not run the request.
    fn is_rejection(&self, head: &ResponseHead) -> bool {
        self.header_profile.not_executed.is_in(&head.fields) || head.status == MISDIRECTED
    }

    async fn read_response(
        &self,
        mut connection: UpstreamConnection,
        request: &ExchangeRequest<'_>,
        head: ResponseHead,
        progress: SendProgress,
    ) -> Result<ExchangeEnd, HeadFailure> {
        let invalid = Ok(ExchangeEnd::Unknown(UnknownReason::InvalidResponse));
        let Ok(framing) = response_framing(&head, request.method) else { return invalid };
        let is_kept = connection.update_keep_alive(&head.fields)
            && progress == SendProgress::Whole
            && framing != Framing::UntilClose;
        if self.is_rejection(&head) {
            self.discard(connection, framing, is_kept).await;
            return Ok(ExchangeEnd::Rejected { status: head.status });
        }
        if !self.is_trusted(&head) {
            return invalid;
        }
        // The transport reports an error once. The writer has received it, so the reader can't tell an orderly
        // end of the body from a reset.
        if framing == Framing::UntilClose && progress == SendProgress::Failed {
            return Ok(ExchangeEnd::Unknown(UnknownReason::TruncatedResponse));
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut buffered = BytesMut::new();
        let buffer_until = Instant::now() + BUFFERING_TIME;
        while buffered.len() <= MAX_BUFFERED_BODY {
            let part = match timeout_at(buffer_until, connection.reader.body_part(&mut decoder)).await {
                Ok(Ok(part)) => part,
                Ok(Err(error)) => return Ok(ExchangeEnd::Unknown(body_failure(&error))),
                Err(_elapsed) => break,
            };
            let Some(part) = part else {
                if is_kept {
                    self.pool.put_back(connection);
                }
                let body = ResponseBody::Whole(buffered.freeze());
                return Ok(answered(head, body));
            };
            if decoder.is_done() && buffered.is_empty() {
                if is_kept {
                    self.pool.put_back(connection);
                }
                return Ok(answered(head, ResponseBody::Whole(part)));
            }
            buffered.extend_from_slice(&part);
        }
        let length = if let Framing::Length(length) = framing { Some(length) } else { None };
        let body = UpstreamBody {
            first: Some(buffered.freeze()).filter(|first| !first.is_empty()),
            connection: Some(connection),
            decoder,
            length,
            stays_open: is_kept,
            pool: Arc::clone(self.pool),
            deadline: request.deadline,
            permit: None,
        };
        Ok(answered(head, ResponseBody::Upstream(Box::new(body))))
    }

    /// Whether a successful response carries the back end's signature to the caller and has no content encoding,
    /// since none was requested. Other responses need neither.
    fn is_trusted(&self, head: &ResponseHead) -> bool {
        let is_success = (200..300).contains(&head.status);
        let is_signed = self
            .header_profile
            .signature
            .is_none_or(|name| head.fields.contains(name) && !head.fields.lists("connection", name));
        !is_success || (is_signed && !head.fields.contains("content-encoding"))
    }

    /// Discards the body of a rejection and keeps the connection if the body ends soon.
    async fn discard(&self, mut connection: UpstreamConnection, framing: Framing, is_kept: bool) {
        if !is_kept {
            return;
        }
        let mut decoder = BodyDecoder::new(framing);
        let reading = connection.reader.whole_body(&mut decoder, MAX_BUFFERED_BODY);
        if matches!(timeout(DISCARD_TIME, reading).await, Ok(Ok(Some(_)))) {
            self.pool.put_back(connection);
        }
    }
}

fn answered(head: ResponseHead, body: ResponseBody) -> ExchangeEnd {
    ExchangeEnd::Answered { status: head.status, fields: head.fields, body }
}

const fn is_interim(head: &ResponseHead) -> bool {
    matches!(head.status, 100..=199)
}

const fn write_failure(has_written: bool) -> HeadFailure {
    if has_written { HeadFailure::Unknown(UnknownReason::BackEndClosed) } else { HeadFailure::NothingWritten }
}

fn head_failure(error: HeadError) -> HeadFailure {
    HeadFailure::Unknown(match error {
        HeadError::Truncated | HeadError::Transport(_) => UnknownReason::BackEndClosed,
        HeadError::Malformed | HeadError::TooLarge | HeadError::TooSlow => UnknownReason::InvalidResponse,
    })
}

const fn body_failure(error: &BodyError) -> UnknownReason {
    match error {
        BodyError::Malformed => UnknownReason::InvalidResponse,
        BodyError::Truncated | BodyError::Transport(_) => UnknownReason::TruncatedResponse,
    }
}

/// Writes the whole request. If the connection fails after a part of it, the back end may have responded before
/// it read everything, so its response is still read.
async fn write_whole(
    connection: &mut UpstreamConnection,
    request: &ExchangeRequest<'_>,
    body: &Bytes,
) -> Result<SendProgress, HeadFailure> {
    let mut bytes = BytesMut::with_capacity(512 + body.len());
    let framing = Framing::Length(body.len() as u64);
    write_request_head(&mut bytes, request.method, request.target, request.fields, framing);
    bytes.extend_from_slice(body);
    match connection.write(&bytes).await {
        Ok(()) => Ok(SendProgress::Whole),
        Err(failure) if failure.has_written => Ok(SendProgress::Failed),
        Err(_) => Err(HeadFailure::NothingWritten),
    }
}

/// The side that interrupted a streamed body.
enum StreamFailure {
    Caller,
    BackEnd,
}

async fn send_stream(
    writer: &mut (impl tokio::io::AsyncWrite + Unpin),
    stream: &mut BodyStream,
    framing: Framing,
) -> Result<(), StreamFailure> {
    use tokio::io::AsyncWriteExt;
    let mut buffer = BytesMut::new();
    while let Some(part) = stream.next().await {
        let part = part.map_err(|_broken| StreamFailure::Caller)?;
        if framing == Framing::Chunked {
            write_chunk(&mut buffer, &part);
        } else {
            buffer.extend_from_slice(&part);
        }
        writer.write_all(&buffer).await.map_err(|_broken| StreamFailure::BackEnd)?;
        buffer.clear();
    }
    if framing == Framing::Chunked {
        write_last_chunk(&mut buffer);
        writer.write_all(&buffer).await.map_err(|_broken| StreamFailure::BackEnd)?;
    }
    Ok(())
}

/// Skips the body of a response to an earlier request; returns `false` if the end of the body cannot be
/// determined, or doesn't come soon.
async fn skip_body(
    reader: &mut MessageReader<ReadHalf<BoxStream>>,
    head: &ResponseHead,
    method: &[u8],
) -> bool {
    let Ok(framing) = response_framing(head, method) else { return false };
    if framing == Framing::UntilClose || head.fields.lists("connection", "close") {
        return false;
    }
    let mut decoder = BodyDecoder::new(framing);
    let reading = reader.whole_body(&mut decoder, MAX_BUFFERED_BODY);
    matches!(timeout(SKIP_TIME, reading).await, Ok(Ok(Some(_))))
}
