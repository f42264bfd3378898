//! The side of an exchange between nodes that lies beside the back end.

use std::sync::Arc;

use bytes::Bytes;
use tokio::io::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use umberpond_net::{BoxStream, FrameReader, FrameWriter};

use super::protocol::{HopAnswer, HopBody, HopRequest, HopResponse, OpenHop};
use crate::inbound::Inbound;
use crate::message::{Answer, AnswerBody, AttemptResult, BodyStream, BrokenBody, RequestBody};

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
        let Some(result) = serve_exchange(&mut reader, *open, &inbound).await else { return };
        if send_result(&mut writer, result).await.is_err() {
            return;
        }
    }
}

/// The result of one exchange; absent if the other node gave it up, in which case it is given up here too.
async fn serve_exchange(reader: &mut Reader, mut open: OpenHop, inbound: &Inbound) -> Option<AttemptResult> {
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
            let (sender, parts) = mpsc::channel(BODY_PARTS);
            let attempt = open.into_attempt(RequestBody::Stream(BodyStream { length, parts }));
            let serving = inbound.serve(attempt);
            tokio::pin!(serving);
            let is_whole = tokio::select! {
                biased;
                // An answer before the end of the body.
                result = &mut serving => return Some(result),
                is_whole = receive_body(reader, sender) => is_whole,
            };
            if !is_whole {
                return None;
            }
            tokio::select! {
                biased;
                result = &mut serving => Some(result),
                _unasked = reader.next() => None,
            }
        }
    }
}

/// Passes the parts of a body on; `false` if it broke off.
async fn receive_body(reader: &mut Reader, sender: mpsc::Sender<Result<Bytes, BrokenBody>>) -> bool {
    loop {
        match reader.next().await {
            Ok(Some((HopRequest::BodyPart(part), _size))) => {
                if sender.send(Ok(part.into())).await.is_err() {
                    // The exchange needs no more of it; its result follows.
                    std::future::pending::<()>().await;
                }
            }
            Ok(Some((HopRequest::BodyEnd, _size))) => return true,
            _ => {
                let _ = sender.send(Err(BrokenBody)).await;
                return false;
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

async fn send_answer(writer: &mut Writer, mut answer: Answer) -> Result<(), umberpond_net::FrameError> {
    if let AnswerBody::Whole(whole) = &answer.body {
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
