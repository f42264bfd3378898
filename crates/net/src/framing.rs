//! Frames of the internal protocol: a four-byte big-endian length, then one bitcode message.

use std::io;
use std::marker::PhantomData;

use bitcode::{DecodeOwned, Encode};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Largest accepted frame, in bytes. A full configuration of the size the mesh is designed for fits into it.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A frame that could not be read or written. After any of these the connection is closed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The transport failed, or the peer sent a frame over the limit.
    #[error("the connection failed")]
    Transport(#[from] io::Error),
    /// The frame can't be decoded as a message of this protocol version.
    #[error("the peer sent a frame that can't be decoded")]
    Undecodable(#[source] bitcode::Error),
}

/// Initial buffer capacity of each direction of a connection, in bytes; it grows as needed. Most connections
/// carry small messages, and a busy node has more than a thousand connections.
const INITIAL_BUFFER_BYTES: usize = 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Reads length-prefixed messages of type `M`.
#[derive(Debug)]
pub struct FrameReader<R, M> {
    frames: FramedRead<R, LengthDelimitedCodec>,
    message: PhantomData<fn() -> M>,
}

impl<R: AsyncRead + Unpin, M: DecodeOwned> FrameReader<R, M> {
    /// Creates a reader of the frames from `stream`.
    pub fn new(stream: R) -> Self {
        Self {
            frames: FramedRead::with_capacity(stream, codec(), INITIAL_BUFFER_BYTES),
            message: PhantomData,
        }
    }

    /// Reads the next message and its size on the wire in bytes; `None` if the stream ends
    /// between two frames.
    ///
    /// # Errors
    /// Returns [`FrameError`] if the transport fails, or a frame is too large or can't be decoded.
    pub async fn next(&mut self) -> Result<Option<(M, usize)>, FrameError> {
        let Some(frame) = self.frames.next().await else {
            return Ok(None);
        };
        let frame = frame?;
        let message = bitcode::decode(&frame).map_err(FrameError::Undecodable)?;
        Ok(Some((message, frame.len() + LENGTH_PREFIX_BYTES)))
    }
}

/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Writes length-prefixed messages of type `M`.
#[derive(Debug)]
pub struct FrameWriter<W, M> {
    frames: FramedWrite<W, LengthDelimitedCodec>,
    message: PhantomData<fn(M)>,
}

impl<W: AsyncWrite + Unpin, M: Encode> FrameWriter<W, M> {
    /// Creates a writer of frames to `stream`.
    pub fn new(stream: W) -> Self {
        Self {
            frames: FramedWrite::with_capacity(stream, codec(), INITIAL_BUFFER_BYTES),
            message: PhantomData,
        }
    }

    /// Writes and flushes one message; returns its size on the wire in bytes.
    ///
    /// # Errors
    /// Returns [`FrameError::Transport`] if the connection fails or the message exceeds the limit.
    pub async fn send(&mut self, message: &M) -> Result<usize, FrameError> {
        let frame = Bytes::from(bitcode::encode(message));
        let size = frame.len() + LENGTH_PREFIX_BYTES;
        self.frames.send(frame).await?;
        Ok(size)
    }
}
