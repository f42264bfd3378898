//! Server side of an exchange between nodes, on the back end's node.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use tokio::io::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout_at;
use umberpond_net::{BoxStream, FrameError, FrameReader, FrameWriter};

use super::protocol::{HopBody, HopRequest, HopResponse, HopResponseHead, OpenExchange};
use crate::body::{BodyFlowControl, BodyPart, PendingBody};
use crate::inbound::Inbound;
use crate::message::{AttemptResult, RequestBody, Response, ResponseBody};

/// Number of body parts that are buffered before the sender has to wait.
const MAX_BUFFERED_PARTS: usize = 4;

type Reader = FrameReader<ReadHalf<BoxStream>, HopRequest>;
type Writer = FrameWriter<WriteHalf<BoxStream>, HopResponse>;

/// Serves the exchanges of one connection until the other node closes it or violates the protocol.
pub(crate) async fn serve_hop_connection(stream: BoxStream, inbound: Arc<Inbound>) {
    let (reader, writer) = tokio::io::split(stream);
    let mut reader: Reader = FrameReader::new(reader);
    let mut writer: Writer = FrameWriter::new(writer);
    while let Ok(Some((request, _size))) = reader.next().await {
        // Skips the remaining body parts of a request that got its response before its body ended.
        let HopRequest::Open(open) = request else { continue };
        let Some(result) = serve_exchange(&mut reader, &mut writer, *open, &inbound).await else { return };
        if send_result(&mut writer, result).await.is_err() {
            return;
        }
    }
}

/// Serves one exchange. Returns `None` if the other node cancelled it, which cancels it here too.
async fn serve_exchange(
    reader: &mut Reader,
    writer: &mut Writer,
    mut open: OpenExchange,
    inbound: &Inbound,
) -> Option<AttemptResult> {
    let body = std::mem::replace(&mut open.body, HopBody::Parts(None));
    match body {
        HopBody::Whole(whole) => {
            let attempt = open.into_attempt(RequestBody::Whole(whole.into()));
            tokio::select! {
                biased;
                result = inbound.serve(attempt) => Some(result),
                _unexpected = reader.next() => None,
            }
        }
        HopBody::Parts(length) => {
            let (granted, mut grants) = mpsc::unbounded_channel();
            let (sender, parts) = mpsc::channel(MAX_BUFFERED_PARTS);
            let demand = BodyFlowControl::new(granted, inbound.body_window());
            let pending = PendingBody::from_node(length, parts, demand);
            let serving = inbound.serve(open.into_attempt(RequestBody::Pending(pending)));
            tokio::pin!(serving);
            let mut receiver = BodyReceiver { sender: Some(sender), buffered: VecDeque::new() };
            loop {
                tokio::select! {
                    biased;
                    // The result may be available before the body has ended.
                    result = &mut serving => return Some(result),
                    () = receiver.forward_next(), if !receiver.buffered.is_empty() => {}
                    Some(bytes) = grants.recv() => writer.send(&HopResponse::SendBody(bytes)).await.ok().map(drop)?,
                    frame = reader.next() => receiver.on_frame(frame.ok()??.0)?,
                }
            }
        }
    }
}

/// Receives the parts of a body and forwards them. The amount buffered is bounded by the granted bytes.
struct BodyReceiver {
    sender: Option<mpsc::Sender<BodyPart>>,
    buffered: VecDeque<HopRequest>,
}

impl BodyReceiver {
    /// Returns `None` if the other node violates the protocol.
    fn on_frame(&mut self, frame: HopRequest) -> Option<()> {
        let is_body = matches!(frame, HopRequest::BodyPart(_) | HopRequest::BodyEnd);
        if !is_body || self.sender.is_none() {
            return None;
        }
        self.buffered.push_back(frame);
        Some(())
    }

    /// Forwards the first buffered part once the channel has capacity. Cancel safe.
    async fn forward_next(&mut self) {
        let Some(sender) = &self.sender else { return self.buffered.clear() };
        // If the receiver is dropped, the result of the exchange follows.
        let Ok(capacity) = sender.reserve().await else { return std::future::pending().await };
        match self.buffered.pop_front() {
            Some(HopRequest::BodyPart(part)) => capacity.send(Ok(part.into())),
            _ => {
                drop(capacity);
                self.sender = None;
            }
        }
    }
}

async fn send_result(writer: &mut Writer, result: AttemptResult) -> Result<(), FrameError> {
    match result {
        AttemptResult::Answered(response) => send_response(writer, response).await,
        AttemptResult::NotRun(not_run) => writer.send(&HopResponse::NotRun(not_run.into())).await.map(drop),
        AttemptResult::Unknown(reason) => writer.send(&HopResponse::Unknown(reason)).await.map(drop),
    }
}

async fn send_response(writer: &mut Writer, response: Response) -> Result<(), FrameError> {
    if let ResponseBody::Whole(whole) = &response.body {
        let message = HopResponseHead::of(&response, HopBody::Whole(whole.to_vec()));
        return writer.send(&HopResponse::Answered(Box::new(message))).await.map(drop);
    }
    let message = HopResponseHead::of(&response, HopBody::Parts(response.body.length()));
    writer.send(&HopResponse::Answered(Box::new(message))).await?;
    let deadline = response.body.deadline();
    let sending = send_body(writer, response.body);
    match deadline {
        // The other node may have stopped reading, so that no write returns.
        Some(deadline) => timeout_at(deadline, sending).await.unwrap_or(Err(timed_out())),
        None => sending.await,
    }
}

async fn send_body(writer: &mut Writer, mut body: ResponseBody) -> Result<(), FrameError> {
    loop {
        match body.next_part().await {
            Ok(Some(part)) => writer.send(&HopResponse::BodyPart(part.to_vec())).await?,
            Ok(None) => return writer.send(&HopResponse::BodyEnd).await.map(drop),
            Err(_broken) => return writer.send(&HopResponse::BodyBroken).await.map(drop),
        };
    }
}

fn timed_out() -> FrameError {
    FrameError::Transport(io::ErrorKind::TimedOut.into())
}
