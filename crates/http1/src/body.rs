//! Takes a body out of a buffer, part by part.

use bytes::{Buf, Bytes, BytesMut};

use crate::error::BodyError;
use crate::framing::Framing;

/// Longest chunk head or trailer line accepted, in bytes.
const MAX_CHUNK_LINE: usize = 4096;

/// What the decoder found in the buffer.
pub(crate) enum Decoded {
    /// A part of the body, never empty.
    Part(Bytes),
    /// The body has come to its proper end.
    End,
    /// More bytes are needed.
    NeedsMore,
}

/// Position inside one body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// So many bytes are left.
    Counted(u64),
    /// Before the head of a chunk.
    ChunkHead,
    /// So many bytes of the chunk are left.
    ChunkData(u64),
    /// Before the line end that follows a chunk's data.
    ChunkEnd,
    /// Inside the trailer.
    Trailer,
    /// Everything up to the end of the connection.
    UntilClose,
    /// The body has ended.
    Done,
}

/// Finds the end of one body.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    position: Position,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let position = match framing {
            Framing::Length(0) => Position::Done,
            Framing::Length(length) => Position::Counted(length),
            Framing::Chunked => Position::ChunkHead,
            Framing::UntilClose => Position::UntilClose,
        };
        Self { position }
    }

    /// Whether the body has come to its proper end.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.position == Position::Done
    }

    /// Takes the next part out of `buffer`.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, BodyError> {
        loop {
            match self.position {
                Position::Done => return Ok(Decoded::End),
                Position::UntilClose if buffer.is_empty() => return Ok(Decoded::NeedsMore),
                Position::UntilClose => return Ok(Decoded::Part(buffer.split().freeze())),
                Position::Counted(left) => {
                    let Some((part, left)) = take(buffer, left) else { return Ok(Decoded::NeedsMore) };
                    self.position = if left == 0 { Position::Done } else { Position::Counted(left) };
                    return Ok(Decoded::Part(part));
                }
                Position::ChunkData(left) => {
                    let Some((part, left)) = take(buffer, left) else { return Ok(Decoded::NeedsMore) };
                    self.position = if left == 0 { Position::ChunkEnd } else { Position::ChunkData(left) };
                    return Ok(Decoded::Part(part));
                }
                Position::ChunkHead => match chunk_head(buffer)? {
                    None => return Ok(Decoded::NeedsMore),
                    Some(0) => self.position = Position::Trailer,
                    Some(length) => self.position = Position::ChunkData(length),
                },
                Position::ChunkEnd => match line(buffer)? {
                    None => return Ok(Decoded::NeedsMore),
                    Some(line) if line.is_empty() => self.position = Position::ChunkHead,
                    Some(_) => return Err(BodyError::Malformed),
                },
                Position::Trailer => match line(buffer)? {
                    None => return Ok(Decoded::NeedsMore),
                    Some(line) if line.is_empty() => self.position = Position::Done,
                    Some(_trailer_field) => {}
                },
            }
        }
    }

    /// Takes in that the connection has ended cleanly.
    pub(crate) fn on_connection_end(&mut self) -> Result<(), BodyError> {
        match self.position {
            Position::UntilClose | Position::Done => {
                self.position = Position::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }
}

/// At most `left` bytes of the buffer and how many are left then; nothing if the buffer is empty.
fn take(buffer: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
    let part = buffer.split_to(length).freeze();
    Some((part, left - length as u64))
}

/// Length of the next chunk, once its whole head has arrived.
fn chunk_head(buffer: &mut BytesMut) -> Result<Option<u64>, BodyError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((head, length))) => {
            buffer.advance(head);
            Ok(Some(length))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(BodyError::Malformed),
    }
}

/// The next line without its end, once it has arrived.
fn line(buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
    let Some(end) = memchr::memchr(b'\n', buffer) else {
        return if buffer.len() <= MAX_CHUNK_LINE { Ok(None) } else { Err(BodyError::Malformed) };
    };
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(end);
    if line.last() != Some(&b'\r') {
        return Err(BodyError::Malformed);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}
