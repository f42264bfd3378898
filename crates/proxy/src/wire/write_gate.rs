//! Counts what was truly written to a connection, and stops further writes.
//!
//! Whether a failed request may be sent again rests on one question: was any byte of it written? The library
//! buffers and writes from a task of its own, so the answer is taken at the stream itself, under a lock: once the
//! gate is sealed no byte follows, and the count it returned stays true.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use umberpond_net::BoxStream;

#[derive(Debug, Default)]
struct GateState {
    written: u64,
    sealed: bool,
}

/// Shared view of one connection's writing side.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteGate {
    state: Arc<Mutex<GateState>>,
}

impl WriteGate {
    /// Bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.state.lock().written
    }

    /// Lets no further byte through, and tells how many were written in all.
    pub(crate) fn seal(&self) -> u64 {
        let mut state = self.state.lock();
        state.sealed = true;
        state.written
    }
}

/// A stream whose writes pass a [`WriteGate`].
pub(crate) struct GatedStream {
    stream: BoxStream,
    gate: WriteGate,
}

impl GatedStream {
    pub(crate) fn new(stream: BoxStream, gate: WriteGate) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.gate.state.lock();
        if state.sealed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &result {
            state.written += *count as u64;
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
