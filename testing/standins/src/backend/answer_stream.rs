//! The body of a back end's answer: whole, spread over time, or cut.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::sleep;

use super::state::RunningWork;
use crate::http_answer::{AnswerBody, BodyCut};

/// Largest piece of an answer that is written at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Pieces into which an answer that is spread over time is cut, at least.
const STREAMED_PIECES: usize = 10;

/// Pause before a cut. The server flushes while it waits for the next piece, so the pieces before the cut reach the
/// other side; an error right after them would discard them with the head of the answer.
const FLUSH_BEFORE_CUT: Duration = Duration::from_millis(1);

/// An answer that is being written.
#[derive(Debug)]
pub struct AnswerStream {
    work: RunningWork,
    remaining: Bytes,
    piece: usize,
    pause: Duration,
    cut_after: Option<usize>,
}

impl AnswerStream {
    /// Writes `content` for `work`, spread over `spread`, and cuts it after `cut_after` bytes if given.
    pub fn new(work: RunningWork, content: Bytes, spread: Duration, cut_after: Option<usize>) -> Self {
        let piece = if spread.is_zero() { PIECE_BYTES } else { content.len().div_ceil(STREAMED_PIECES) };
        let piece = piece.clamp(1, PIECE_BYTES);
        let pieces = content.len().div_ceil(piece).max(1);
        let pause = spread / u32::try_from(pieces).unwrap_or(u32::MAX);
        Self { work, remaining: content, piece, pause, cut_after }
    }

    /// The stream as a body.
    pub fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut answer| async move {
            let piece = answer.next().await?;
            Some((piece.map(Frame::data), answer))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyCut>> {
        if self.remaining.is_empty() {
            return None;
        }
        if self.cut_after == Some(0) {
            sleep(FLUSH_BEFORE_CUT).await;
            return Some(Err(BodyCut));
        }
        if !self.pause.is_zero() {
            sleep(self.pause).await;
        }
        let allowed = self.cut_after.unwrap_or(usize::MAX);
        let length = self.piece.min(self.remaining.len()).min(allowed);
        let piece = self.remaining.split_to(length);
        self.cut_after = self.cut_after.map(|allowed| allowed - length);
        if self.remaining.is_empty() {
            self.work.finish();
        }
        Some(Ok(piece))
    }
}
