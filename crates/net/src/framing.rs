//! Frames of the internal protocol: a four-byte big-endian length, then one bitcode message.

use std::io;
use std::marker::PhantomData;

use bitcode::{DecodeOwned, Encode};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Largest accepted frame, in bytes. A full transfer of the configuration of the planned size stays below it.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A frame that could not be read or written. After any of these the connection is closed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The transport failed, or the peer sent a frame over the limit.
    #[error("the connection failed")]
    Transport(#[from] io::Error),
    /// The frame holds no message of this protocol version.
    #[error("the peer sent a frame that is no known message")]
    Undecodable(#[source] bitcode::Error),
}

/// Space for one side of a connection at its start, in bytes; it grows with what passes. Most connections carry small
/// messages, and a busy node has more than a thousand of them.
const FIRST_SPACE: usize = 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Reads messages of type `M`.
#[derive(Debug)]
pub struct FrameReader<R, M> {
    frames: FramedRead<R, LengthDelimitedCodec>,
    message: PhantomData<fn() -> M>,
}

impl<R: AsyncRead + Unpin, M: DecodeOwned> FrameReader<R, M> {
    /// Reads frames from `stream`.
    pub fn new(stream: R) -> Self {
        Self { frames: FramedRead::with_capacity(stream, codec(), FIRST_SPACE), message: PhantomData }
    }

    /// Reads the next message and its size on the wire in bytes; `None` at a clean end between two frames.
    ///
    /// # Errors
    /// Returns [`FrameError`] on a transport failure, an oversized frame or an unknown message.
    pub async fn next(&mut self) -> Result<Option<(M, usize)>, FrameError> {
        let Some(frame) = self.frames.next().await else {
            return Ok(None);
        };
        let frame = frame?;
        let message = bitcode::decode(&frame).map_err(FrameError::Undecodable)?;
        Ok(Some((message, frame.len() + LENGTH_PREFIX_BYTES)))
    }
}

/// Bytes of the length in front of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Writes messages of type `M`.
#[derive(Debug)]
pub struct FrameWriter<W, M> {
    frames: FramedWrite<W, LengthDelimitedCodec>,
    message: PhantomData<fn(M)>,
}

impl<W: AsyncWrite + Unpin, M: Encode> FrameWriter<W, M> {
    /// Writes frames to `stream`.
    pub fn new(stream: W) -> Self {
        Self { frames: FramedWrite::with_capacity(stream, codec(), FIRST_SPACE), message: PhantomData }
    }

    /// Writes and flushes one message; tells its size on the wire in bytes.
    ///
    /// # Errors
    /// Returns [`FrameError::Transport`] when the connection fails or the message is over the limit.
    pub async fn send(&mut self, message: &M) -> Result<usize, FrameError> {
        let frame = Bytes::from(bitcode::encode(message));
        let size = frame.len() + LENGTH_PREFIX_BYTES;
        self.frames.send(frame).await?;
        Ok(size)
    }
}
