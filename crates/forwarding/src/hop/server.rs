//! The side of an exchange between nodes that lies beside the back end.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::io::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use umberpond_net::{BoxStream, FrameReader, FrameWriter};

use super::protocol::{HopAnswer, HopBody, HopRequest, HopResponse, OpenHop};
use crate::body::{BodyFlowControl, BodyPart, PendingBody};
use crate::inbound::Inbound;
use crate::message::{AttemptResult, RequestBody, Response, ResponseBody};

/// Parts of a body that are held before the sender has to wait.
const BODY_PARTS: usize = 4;

type Reader = FrameReader<ReadHalf<BoxStream>, HopRequest>;
type Writer = FrameWriter<WriteHalf<BoxStream>, HopResponse>;

/// Serves the exchanges of one connection until the other node closes it or breaks the protocol.
pub(crate) async fn serve_hop_connection(stream: BoxStream, inbound: Arc<Inbound>) {
    let (reader, writer) = tokio::io::split(stream);
    let mut reader: Reader = FrameReader::new(reader);
    let mut writer: Writer = FrameWriter::new(writer);
    while let Ok(Some((request, _size))) = reader.next().await {
        // Parts of a body that was answered before its end are passed over.
        let HopRequest::Open(open) = request else { continue };
        let Some(result) = serve_exchange(&mut reader, &mut writer, *open, &inbound).await else { return };
        if send_result(&mut writer, result).await.is_err() {
            return;
        }
    }
}

/// The result of one exchange; absent if the other node gave it up, in which case it is given up here too.
async fn serve_exchange(
    reader: &mut Reader,
    writer: &mut Writer,
    mut open: OpenHop,
    inbound: &Inbound,
) -> Option<AttemptResult> {
    let body = std::mem::replace(&mut open.body, HopBody::Parts(None));
    match body {
        HopBody::Whole(whole) => {
            let attempt = open.into_attempt(RequestBody::Whole(whole.into()));
            tokio::select! {
                biased;
                result = inbound.serve(attempt) => Some(result),
                _unasked = reader.next() => None,
            }
        }
        HopBody::Parts(length) => {
            let (granted, mut grants) = mpsc::unbounded_channel();
            let (sender, parts) = mpsc::channel(BODY_PARTS);
            let demand = BodyFlowControl::new(granted, inbound.body_window());
            let pending = PendingBody::from_node(length, parts, demand);
            let serving = inbound.serve(open.into_attempt(RequestBody::Pending(pending)));
            tokio::pin!(serving);
            let mut receiver = BodyReceiver { sender: Some(sender), arrived: VecDeque::new() };
            loop {
                tokio::select! {
                    biased;
                    // It may come before the end of the body.
                    result = &mut serving => return Some(result),
                    () = receiver.pass_on(), if !receiver.arrived.is_empty() => {}
                    Some(bytes) = grants.recv() => writer.send(&HopResponse::SendBody(bytes)).await.ok().map(drop)?,
                    frame = reader.next() => receiver.on_frame(frame.ok()??.0)?,
                }
            }
        }
    }
}

/// Takes the parts of a body in and passes them on. What arrives is bounded by what was asked for.
struct BodyReceiver {
    sender: Option<mpsc::Sender<BodyPart>>,
    arrived: VecDeque<HopRequest>,
}

impl BodyReceiver {
    /// Absent if the other node breaks the protocol.
    fn on_frame(&mut self, frame: HopRequest) -> Option<()> {
        let is_body = matches!(frame, HopRequest::BodyPart(_) | HopRequest::BodyEnd);
        if !is_body || self.sender.is_none() {
            return None;
        }
        self.arrived.push_back(frame);
        Some(())
    }

    /// Passes the first part on once there is room. Safe to cancel.
    async fn pass_on(&mut self) {
        let Some(sender) = &self.sender else { return self.arrived.clear() };
        // If nobody takes it any more, the result of the exchange follows.
        let Ok(room) = sender.reserve().await else { return std::future::pending().await };
        match self.arrived.pop_front() {
            Some(HopRequest::BodyPart(part)) => room.send(Ok(part.into())),
            _ => {
                drop(room);
                self.sender = None;
            }
        }
    }
}

async fn send_result(writer: &mut Writer, result: AttemptResult) -> Result<(), umberpond_net::FrameError> {
    match result {
        AttemptResult::Answered(answer) => send_answer(writer, answer).await,
        AttemptResult::NotRun(not_run) => writer.send(&HopResponse::NotRun(not_run.into())).await.map(drop),
        AttemptResult::Unknown(reason) => writer.send(&HopResponse::Unknown(reason)).await.map(drop),
    }
}

async fn send_answer(writer: &mut Writer, mut answer: Response) -> Result<(), umberpond_net::FrameError> {
    if let ResponseBody::Whole(whole) = &answer.body {
        let message = HopAnswer::of(&answer, HopBody::Whole(whole.to_vec()));
        return writer.send(&HopResponse::Answered(Box::new(message))).await.map(drop);
    }
    let message = HopAnswer::of(&answer, HopBody::Parts(answer.body.length()));
    writer.send(&HopResponse::Answered(Box::new(message))).await?;
    loop {
        match answer.body.next_part().await {
            Ok(Some(part)) => writer.send(&HopResponse::BodyPart(part.to_vec())).await?,
            Ok(None) => return writer.send(&HopResponse::BodyEnd).await.map(drop),
            Err(_broken) => return writer.send(&HopResponse::BodyBroken).await.map(drop),
        };
    }
}
