//! Reads messages from one half of a connection.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};

use crate::body::{BodyDecoder, Decoded};
use crate::error::{BodyError, HeadError};
use crate::head::{Head, RequestHead, ResponseHead};

/// Space asked for before the first read of a connection, in bytes.
const FIRST_SPACE: usize = 1024;
/// Most space asked for before a read, in bytes.
const MOST_SPACE: usize = 16 * 1024;
/// Factor by which the space grows when a read fills it.
const SPACE_GROWTH: usize = 4;

/// Limits on reading the next request of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
}

/// Reads messages from `R` and keeps the bytes that belong to the next one.
#[derive(Debug)]
pub struct MessageReader<R> {
    stream: R,
    buffer: BytesMut,
    /// Space asked for before the next read, in bytes.
    space: usize,
    /// When the first byte of the head being read arrived.
    head_began: Option<Instant>,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// A reader at the start of a connection.
    pub fn new(stream: R) -> Self {
        Self { stream, buffer: BytesMut::new(), space: FIRST_SPACE, head_began: None }
    }

    /// Whether no byte is waiting to be taken as part of a message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The stream, to look at it without reading a message.
    pub fn stream(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Reads the head of the next request; `None` when the connection ends between two requests.
    ///
    /// # Errors
    /// Returns [`HeadError`] when there is no head to be had; the connection is of no further use then.
    pub async fn request_head(&mut self, limits: ReadLimits) -> Result<Option<RequestHead>, HeadError> {
        loop {
            if let Some(head) = self.buffered_head(limits.head_bytes)? {
                self.head_began = None;
                return Ok(Some(head));
            }
            if !self.buffer.is_empty() && self.head_began.is_none() {
                self.head_began = Some(Instant::now());
            }
            let count = match self.head_began {
                None => self.read_some().await?,
                Some(began) => timeout_at(began + limits.head_time, self.read_some())
                    .await
                    .map_err(|_elapsed| HeadError::TooSlow)??,
            };
            if count == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(HeadError::Truncated) };
            }
        }
    }

    /// Reads the head of an answer.
    ///
    /// # Errors
    /// Returns [`HeadError`] when there is no head to be had, [`HeadError::Truncated`] also if the connection ended
    /// without a byte.
    pub async fn response_head(&mut self, head_bytes: usize) -> Result<ResponseHead, HeadError> {
        loop {
            if let Some(head) = self.buffered_head(head_bytes)? {
                return Ok(head);
            }
            if self.read_some().await? == 0 {
                return Err(HeadError::Truncated);
            }
        }
    }

    /// Reads the next part of the body that `decoder` follows; `None` at its proper end.
    ///
    /// # Errors
    /// Returns [`BodyError`] when the body does not come to its end.
    pub async fn body_part(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Bytes>, BodyError> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                Decoded::Part(part) => return Ok(Some(part)),
                Decoded::End => return Ok(None),
                Decoded::NeedsMore => {}
            }
            if self.read_some().await? == 0 {
                decoder.on_connection_end()?;
                return Ok(None);
            }
        }
    }

    /// Reads a whole body. `None` if it is longer than `limit` bytes; what was read of it is lost then.
    ///
    /// # Errors
    /// Returns [`BodyError`] when the body does not come to its end.
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

    /// Waits until the peer ends the connection, keeping at most `limit` bytes that arrive meanwhile; with more than
    /// that waiting, it waits for ever.
    pub async fn peer_gone(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            match self.read_some().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    fn buffered_head<H: Head>(&mut self, head_bytes: usize) -> Result<Option<H>, HeadError> {
        self.skip_blank_lines();
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let parsed = H::parse(&self.buffer)?;
        let is_over = parsed.as_ref().map_or(self.buffer.len(), |(_head, length)| *length) > head_bytes;
        if is_over {
            return Err(HeadError::TooLarge);
        }
        Ok(parsed.map(|(head, length)| {
            self.buffer.advance(length);
            head
        }))
    }

    /// Blank lines before a message are passed over (RFC 9112, section 2.2).
    fn skip_blank_lines(&mut self) {
        let blank = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.buffer.advance(blank);
    }

    async fn read_some(&mut self) -> std::io::Result<usize> {
        self.buffer.reserve(self.space);
        let count = self.stream.read_buf(&mut self.buffer).await?;
        self.space = next_space(self.space, count);
        Ok(count)
    }
}

/// Space for the read after one that took `count` bytes into `space`: long bodies come in few reads, and connections that
/// carry little hold little.
fn next_space(space: usize, count: usize) -> usize {
    if count >= space {
        (space * SPACE_GROWTH).min(MOST_SPACE)
    } else if count * SPACE_GROWTH < space {
        (space / 2).max(FIRST_SPACE)
    } else {
        space
    }
}
