//! Reads messages from the receiving half of a connection.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};

use crate::body::{BodyDecoder, Decoded};
use crate::error::{BodyError, HeadError};
use crate::head::{Head, RequestHead, ResponseHead};

/// Buffer space reserved for the first read of a connection, in bytes.
const INITIAL_READ_BYTES: usize = 1024;
/// Maximum buffer space reserved for a read, in bytes.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Factor by which the reserved space grows after a read that fills it.
const READ_GROWTH_FACTOR: usize = 4;

/// Limits on reading the next request of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// Maximum size of the head, in bytes.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_time: Duration,
}

/// Reads messages from `R` and buffers the bytes that belong to the next one.
#[derive(Debug)]
pub struct MessageReader<R> {
    stream: R,
    buffer: BytesMut,
    /// Buffer space to reserve for the next read, in bytes.
    space: usize,
    /// When the first byte of the head being read arrived.
    head_started_at: Option<Instant>,
    /// Number of bytes of empty lines skipped before the head being read.
    blank_bytes: usize,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Creates a reader at the start of a connection.
    pub fn new(stream: R) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            space: INITIAL_READ_BYTES,
            head_started_at: None,
            blank_bytes: 0,
        }
    }

    /// Whether the buffer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The underlying stream, for access without reading a message.
    pub fn stream(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Reads the head of the next request; `None` if the connection ends between two requests.
    ///
    /// # Errors
    /// Returns [`HeadError`] if no valid head was read; the connection can't be reused then.
    pub async fn request_head(&mut self, limits: ReadLimits) -> Result<Option<RequestHead>, HeadError> {
        loop {
            if let Some(head) = self.buffered_head(limits.head_bytes)? {
                self.head_started_at = None;
                return Ok(Some(head));
            }
            if !self.buffer.is_empty() && self.head_started_at.is_none() {
                self.head_started_at = Some(Instant::now());
            }
            let count = match self.head_started_at {
                None => self.fill_buffer().await?,
                Some(began) => timeout_at(began + limits.head_time, self.fill_buffer())
                    .await
                    .map_err(|_elapsed| HeadError::TooSlow)??,
            };
            if count == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(HeadError::Truncated) };
            }
        }
    }

    /// Reads the head of a response.
    ///
    /// # Errors
    /// Returns [`HeadError`] if no valid head was read; [`HeadError::Truncated`] also if the connection ended
    /// without a byte.
    pub async fn response_head(&mut self, head_bytes: usize) -> Result<ResponseHead, HeadError> {
        loop {
            if let Some(head) = self.buffered_head(head_bytes)? {
                return Ok(head);
            }
            if self.fill_buffer().await? == 0 {
                return Err(HeadError::Truncated);
            }
        }
    }

    /// Reads the next part of the body that `decoder` decodes; `None` once the body is complete.
    ///
    /// # Errors
    /// Returns [`BodyError`] if the body can't be read completely.
    pub async fn body_part(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Bytes>, BodyError> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                Decoded::Part(part) => return Ok(Some(part)),
                Decoded::End => return Ok(None),
                Decoded::NeedsMore => {}
            }
            if self.fill_buffer().await? == 0 {
                decoder.on_connection_end()?;
                return Ok(None);
            }
        }
    }

    /// Reads a whole body. Returns `None` if it is longer than `limit` bytes, and discards what was read.
    ///
    /// # Errors
    /// Returns [`BodyError`] if the body can't be read completely.
    pub async fn whole_body(
        &mut self,
        decoder: &mut BodyDecoder,
        limit: usize,
    ) -> Result<Option<Bytes>, BodyError> {
        let Some(first) = self.body_part(decoder).await? else { return Ok(Some(Bytes::new())) };
        if first.len() <= limit && decoder.is_done() {
            return Ok(Some(first));
        }
        let mut whole = BytesMut::from(first);
        while let Some(part) = self.body_part(decoder).await? {
            if whole.len() + part.len() > limit {
                return Ok(None);
            }
            whole.extend_from_slice(&part);
        }
        Ok(Some(whole.freeze()).filter(|whole| whole.len() <= limit))
    }

    /// Waits until the peer closes the connection, buffering at most `limit` bytes that arrive meanwhile.
    /// Once the buffer holds that many bytes, it waits for ever.
    pub async fn peer_gone(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            match self.fill_buffer().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Waits until the peer closes the connection, discarding what arrives meanwhile.
    pub async fn discard_until_gone(&mut self) {
        loop {
            self.buffer.clear();
            if matches!(self.fill_buffer().await, Ok(0) | Err(_)) {
                return;
            }
        }
    }

    fn buffered_head<H: Head>(&mut self, head_bytes: usize) -> Result<Option<H>, HeadError> {
        self.skip_blank_lines();
        if self.blank_bytes > head_bytes {
            return Err(HeadError::TooLarge);
        }
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let parsed = H::parse(&self.buffer)?;
        let exceeds_limit = parsed.as_ref().map_or(self.buffer.len(), |(_head, length)| *length) > head_bytes;
        if exceeds_limit {
            return Err(HeadError::TooLarge);
        }
        Ok(parsed.map(|(head, length)| {
            self.buffer.advance(length);
            self.blank_bytes = 0;
            head
        }))
    }

    /// Skips empty lines before a message (RFC 9112, section 2.2).
    fn skip_blank_lines(&mut self) {
        let blank = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.buffer.advance(blank);
        self.blank_bytes += blank;
    }

    async fn fill_buffer(&mut self) -> std::io::Result<usize> {
        self.buffer.reserve(self.space);
        let count = self.stream.read_buf(&mut self.buffer).await?;
        self.space = next_read_size(self.space, count);
        Ok(count)
    }
}

/// Space to reserve after a read of `count` bytes into `space`: long bodies need few reads, and connections
/// with little traffic keep small buffers.
fn next_read_size(space: usize, count: usize) -> usize {
    if count >= space {
        (space * READ_GROWTH_FACTOR).min(MAX_READ_BYTES)
    } else if count * READ_GROWTH_FACTOR < space {
        (space / 2).max(INITIAL_READ_BYTES)
    } else {
        space
    }
}
