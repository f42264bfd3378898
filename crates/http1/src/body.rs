//! Incremental decoder of message bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::error::BodyError;
use crate::framing::Framing;

/// Longest accepted chunk header, in bytes.
const MAX_CHUNK_LINE: usize = 4096;
/// Longest accepted trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// Maximum number of fields in a trailer section.
const MAX_TRAILER_FIELDS: usize = 100;

/// Result of a decoding step.
pub(crate) enum Decoded {
    /// A part of the body, never empty.
    Part(Bytes),
    /// The body is complete.
    End,
    /// More bytes are needed.
    NeedsMore,
}

/// Decoder state: the position inside a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// Inside a body of known length; the number of bytes left.
    Counted(u64),
    /// Before the header of a chunk.
    ChunkHead,
    /// Inside the data of a chunk; the number of bytes left.
    ChunkData(u64),
    /// Before the CRLF after the data of a chunk.
    ChunkEnd,
    /// Inside the trailer section.
    Trailer,
    /// Inside a body that extends to the end of the connection.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Decodes one body and detects its end.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    position: Position,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
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

    /// Whether the body is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.position == Position::Done
    }

    /// Takes the next part of the body out of `buffer`.
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
                Position::ChunkHead => match take_chunk_header(buffer)? {
                    None => return Ok(Decoded::NeedsMore),
                    Some(0) => self.position = Position::Trailer,
                    Some(length) => self.position = Position::ChunkData(length),
                },
                Position::ChunkEnd => match take_line(buffer)? {
                    None => return Ok(Decoded::NeedsMore),
                    Some(line) if line.is_empty() => self.position = Position::ChunkHead,
                    Some(_) => return Err(BodyError::Malformed),
                },
                Position::Trailer => match skip_trailer(buffer)? {
                    None => return Ok(Decoded::NeedsMore),
                    Some(()) => self.position = Position::Done,
                },
            }
        }
    }

    /// Handles a clean end of the connection.
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

/// Takes at most `left` bytes out of the buffer and returns them with the number still left; `None` if the
/// buffer is empty.
fn take(buffer: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
    let part = buffer.split_to(length).freeze();
    Some((part, left - length as u64))
}

/// Takes a chunk header and returns the chunk's length; `None` until the header is complete.
fn take_chunk_header(buffer: &mut BytesMut) -> Result<Option<u64>, BodyError> {
    // `httparse` reads a line without digits as size 0, which would end the body.
    if buffer.first().is_some_and(|first| !first.is_ascii_hexdigit()) {
        return Err(BodyError::Malformed);
    }
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((head, length))) => {
            buffer.advance(head);
            Ok(Some(length))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(BodyError::Malformed),
    }
}

/// Skips the trailer section; `None` until it is complete.
fn skip_trailer(buffer: &mut BytesMut) -> Result<Option<()>, BodyError> {
    match httparse::parse_headers(buffer, &mut [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS]) {
        Ok(httparse::Status::Complete((length, _fields))) => {
            buffer.advance(length);
            Ok(Some(()))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_TRAILER_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(BodyError::Malformed),
    }
}

/// Takes the next line and returns it without CRLF; `None` until the line is complete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
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
