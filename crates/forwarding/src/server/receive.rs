//! Receives the body of a caller's request.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;
use tokio::sync::mpsc;
use tokio::time::timeout;
use umberpond_http1::{BodyDecoder, BodyError, Framing, MessageReader};
use umberpond_quarantine::FINGERPRINTED_BYTES;

use crate::body::{BodyPart, PendingBody, RequestBodyError};
use crate::message::RequestBody;

/// Longest body in bytes that is collected before the request is sent on; it can be sent again then, and its fingerprint is that of the whole.
const MAX_COLLECTED: usize = FINGERPRINTED_BYTES;
/// Parts of a longer body that are held before the caller has to wait.
const HELD_PARTS: usize = 4;
/// Longest pause between two parts of a body.
const PART_TIME: Duration = Duration::from_secs(10);

/// A body that is still arriving.
pub(super) struct Receiving {
    decoder: BodyDecoder,
    sender: mpsc::Sender<BodyPart>,
    left_over_limit: u64,
}

/// Why a body can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyRefusal {
    TooLarge,
    Broken,
}

/// Collects a short body; a long one is left to arrive while the request is sent on.
pub(super) async fn receive<R: AsyncRead + Unpin>(
    reader: &mut MessageReader<R>,
    framing: Framing,
    body_limit: u64,
) -> Result<(RequestBody, Option<Receiving>), BodyRefusal> {
    let length = if let Framing::Length(length) = framing { Some(length) } else { None };
    if length.is_some_and(|length| length > body_limit) {
        return Err(BodyRefusal::TooLarge);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut collected = BytesMut::new();
    while collected.len() < MAX_COLLECTED {
        let Some(part) = next_part(reader, &mut decoder).await.map_err(|_broken| BodyRefusal::Broken)? else {
            return Ok((RequestBody::Whole(collected.freeze()), None));
        };
        collected.extend_from_slice(&part);
        if collected.len() as u64 > body_limit {
            return Err(BodyRefusal::TooLarge);
        }
    }
    let left_over_limit = body_limit.saturating_sub(collected.len() as u64);
    let (sender, parts) = mpsc::channel(HELD_PARTS);
    // The channel is new, so there is room.
    let beginning = collected.freeze();
    let _ = sender.try_send(Ok(beginning.clone()));
    let body = RequestBody::Pending(PendingBody::from_caller(length, beginning, parts));
    Ok((body, Some(Receiving { decoder, sender, left_over_limit })))
}

async fn next_part<R: AsyncRead + Unpin>(
    reader: &mut MessageReader<R>,
    decoder: &mut BodyDecoder,
) -> Result<Option<Bytes>, BodyError> {
    let reading = timeout(PART_TIME, reader.body_part(decoder));
    reading.await.unwrap_or(Err(BodyError::Truncated))
}

impl Receiving {
    /// Passes the next part on. `Some(true)`: the body has come to its end; `Some(false)`: it broke off or nobody
    /// takes it any more. Safe to cancel.
    pub(super) async fn step<R: AsyncRead + Unpin>(&mut self, reader: &mut MessageReader<R>) -> Option<bool> {
        let Ok(room) = self.sender.clone().reserve_owned().await else { return Some(false) };
        match next_part(reader, &mut self.decoder).await {
            Ok(Some(part)) if part.len() as u64 <= self.left_over_limit => {
                self.left_over_limit -= part.len() as u64;
                room.send(Ok(part));
                None
            }
            Ok(None) => Some(true),
            Ok(Some(_)) | Err(_) => {
                room.send(Err(RequestBodyError));
                Some(false)
            }
        }
    }
}
