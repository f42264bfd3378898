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

/// Maximum size in bytes of a body that is buffered before the request is forwarded. A buffered body can be
/// sent again, and its fingerprint covers all of it.
const MAX_BUFFERED: usize = FINGERPRINTED_BYTES;
/// Number of parts of a longer body that are buffered before the caller is throttled.
const MAX_BUFFERED_PARTS: usize = 4;
/// Timeout for the next part of a body.
const PART_TIMEOUT: Duration = Duration::from_secs(10);

/// A body that is still being received.
pub(super) struct BodyReceiver {
    decoder: BodyDecoder,
    sender: mpsc::Sender<BodyPart>,
    remaining_limit: u64,
}

/// Why a body can't be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyRefusal {
    TooLarge,
    Truncated,
}

/// Buffers a short body; a longer one is received while the request is forwarded.
pub(super) async fn receive<R: AsyncRead + Unpin>(
    reader: &mut MessageReader<R>,
    framing: Framing,
    body_limit: u64,
) -> Result<(RequestBody, Option<BodyReceiver>), BodyRefusal> {
    let length = if let Framing::Length(length) = framing { Some(length) } else { None };
    if length.is_some_and(|length| length > body_limit) {
        return Err(BodyRefusal::TooLarge);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut buffered = BytesMut::new();
    while buffered.len() < MAX_BUFFERED {
        let Some(part) = next_part(reader, &mut decoder).await.map_err(|_broken| BodyRefusal::Truncated)?
        else {
            return Ok((RequestBody::Whole(buffered.freeze()), None));
        };
        buffered.extend_from_slice(&part);
        if buffered.len() as u64 > body_limit {
            return Err(BodyRefusal::TooLarge);
        }
    }
    let remaining_limit = body_limit.saturating_sub(buffered.len() as u64);
    let (sender, parts) = mpsc::channel(MAX_BUFFERED_PARTS);
    // The channel is empty, so this can't fail.
    let beginning = buffered.freeze();
    let _ = sender.try_send(Ok(beginning.clone()));
    let body = RequestBody::Pending(PendingBody::from_caller(length, beginning, parts));
    Ok((body, Some(BodyReceiver { decoder, sender, remaining_limit })))
}

async fn next_part<R: AsyncRead + Unpin>(
    reader: &mut MessageReader<R>,
    decoder: &mut BodyDecoder,
) -> Result<Option<Bytes>, BodyError> {
    let reading = timeout(PART_TIMEOUT, reader.body_part(decoder));
    reading.await.unwrap_or(Err(BodyError::Truncated))
}

impl BodyReceiver {
    /// Forwards the next part. Returns `Some(true)` at the end of the body, and `Some(false)` if it was
    /// truncated or nobody reads it any more. Cancel safe.
    pub(super) async fn step<R: AsyncRead + Unpin>(&mut self, reader: &mut MessageReader<R>) -> Option<bool> {
        let Ok(room) = self.sender.clone().reserve_owned().await else { return Some(false) };
        match next_part(reader, &mut self.decoder).await {
            Ok(Some(part)) if part.len() as u64 <= self.remaining_limit => {
                self.remaining_limit -= part.len() as u64;
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
