//! A stream between two hosts: two one-way pipes, each with the delay of its link.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Buf, Bytes};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until};

use super::LinkState;

/// Capacity of one direction, like that of a socket buffer; writers wait while it is full.
const PIPE_CAPACITY_BYTES: usize = 256 * 1024;

type BoxedSignal = Pin<Box<dyn Future<Output = ()> + Send>>;

#[derive(Debug, Default)]
struct Pipe {
    chunks: VecDeque<Chunk>,
    buffered_bytes: usize,
    last_delivery: Option<Instant>,
    /// The writer has shut down its direction or was dropped.
    ended: bool,
    /// The reader was dropped; writes fail with a broken pipe.
    reader_dropped: bool,
    /// Written bytes are discarded, because the reading end is the mirror of a duplicated stream.
    discarding: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

#[derive(Debug)]
struct Chunk {
    deliver_at: Instant,
    /// Empty bytes mark the end of the stream.
    bytes: Bytes,
}

impl Pipe {
    fn push(&mut self, deliver_at: Instant, bytes: Bytes) {
        if self.discarding {
            return;
        }
        // Chunks of one stream are delivered in the order in which they were written.
        let deliver_at = self.last_delivery.map_or(deliver_at, |last| last.max(deliver_at));
        self.last_delivery = Some(deliver_at);
        self.buffered_bytes += bytes.len();
        self.chunks.push_back(Chunk { deliver_at, bytes });
        wake(&mut self.reader);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// One end of a stream.
pub(super) struct SimStream {
    read: Arc<Mutex<Pipe>>,
    write: Arc<Mutex<Pipe>>,
    read_link: Arc<LinkState>,
    write_link: Arc<LinkState>,
    delivery: Option<Pin<Box<Sleep>>>,
    link_open: Option<BoxedSignal>,
    reset_signal: BoxedSignal,
    is_reset: bool,
    mirror: Option<MirrorStream>,
}

/// A second stream that receives all writes of the first one after an extra delay.
struct MirrorStream {
    stream: Box<SimStream>,
    extra_delay: Duration,
}

impl std::fmt::Debug for SimStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SimStream")
    }
}

/// Creates a stream and returns its ends: the caller's and the callee's.
pub(super) fn pair(
    forward_link: Arc<LinkState>,
    return_link: Arc<LinkState>,
    caller_reset: watch::Receiver<bool>,
    callee_reset: watch::Receiver<bool>,
) -> (SimStream, SimStream) {
    let forward_pipe = Arc::new(Mutex::new(Pipe::default()));
    let return_pipe = Arc::new(Mutex::new(Pipe::default()));
    let either_reset = |one: &watch::Receiver<bool>, other: &watch::Receiver<bool>| {
        let (mut one, mut other) = (one.clone(), other.clone());
        let signal: BoxedSignal = Box::pin(async move {
            tokio::select! {
                biased;
                _ = one.wait_for(|reset| *reset) => {}
                _ = other.wait_for(|reset| *reset) => {}
            }
        });
        signal
    };
    let caller_end = SimStream {
        read: Arc::clone(&return_pipe),
        write: Arc::clone(&forward_pipe),
        read_link: Arc::clone(&return_link),
        write_link: Arc::clone(&forward_link),
        delivery: None,
        link_open: None,
        reset_signal: either_reset(&caller_reset, &callee_reset),
        is_reset: false,
        mirror: None,
    };
    let callee_end = SimStream {
        read: forward_pipe,
        write: return_pipe,
        read_link: forward_link,
        write_link: return_link,
        delivery: None,
        link_open: None,
        reset_signal: either_reset(&callee_reset, &caller_reset),
        is_reset: false,
        mirror: None,
    };
    (caller_end, callee_end)
}

impl SimStream {
    /// Mirrors all further writes to `stream`, `extra_delay` later, and discards what `stream` receives.
    pub(super) fn mirror_writes_to(&mut self, stream: SimStream, extra_delay: Duration) {
        stream.read.lock().discarding = true;
        self.mirror = Some(MirrorStream { stream: Box::new(stream), extra_delay });
    }

    /// Returns whether the stream was reset because either side's host was killed or reset.
    fn poll_reset(&mut self, context: &mut Context<'_>) -> bool {
        // A future must not be polled again after it has completed.
        self.is_reset = self.is_reset || self.reset_signal.as_mut().poll(context).is_ready();
        self.is_reset
    }

    /// Waits for the front chunk's delivery time, then until the link is neither cut nor frozen.
    fn poll_delivery(&mut self, context: &mut Context<'_>, deliver_at: Instant) -> Poll<()> {
        if Instant::now() < deliver_at {
            let sleep = self.delivery.get_or_insert_with(|| Box::pin(sleep_until(deliver_at)));
            if sleep.deadline() != deliver_at {
                sleep.as_mut().reset(deliver_at);
            }
            if sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
        self.delivery = None;
        let link = Arc::clone(&self.read_link);
        let link_open = self.link_open.get_or_insert_with(|| Box::pin(async move { link.wait_open().await }));
        if link_open.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.link_open = None;
        Poll::Ready(())
    }
}

fn reset() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

impl AsyncRead for SimStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_reset(context) {
            return Poll::Ready(Err(reset()));
        }
        let front = self.read.lock().chunks.front().map(|chunk| chunk.deliver_at);
        let Some(deliver_at) = front else {
            let mut pipe = self.read.lock();
            pipe.reader = Some(context.waker().clone());
            return Poll::Pending;
        };
        if self.poll_delivery(context, deliver_at).is_pending() {
            return Poll::Pending;
        }
        let mut pipe = self.read.lock();
        let Some(chunk) = pipe.chunks.front_mut() else { return Poll::Pending };
        if chunk.bytes.is_empty() {
            // The end marker stays in the pipe, so that later reads return the end of the stream too.
            return Poll::Ready(Ok(()));
        }
        let count = chunk.bytes.len().min(buffer.remaining());
        buffer.put_slice(&chunk.bytes[..count]);
        chunk.bytes.advance(count);
        if chunk.bytes.is_empty() {
            pipe.chunks.pop_front();
        }
        pipe.buffered_bytes -= count;
        wake(&mut pipe.writer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SimStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.poll_reset(context) {
            return Poll::Ready(Err(reset()));
        }
        let mut pipe = self.write.lock();
        if pipe.reader_dropped || pipe.ended {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let free_bytes = PIPE_CAPACITY_BYTES.saturating_sub(pipe.buffered_bytes);
        if free_bytes == 0 {
            pipe.writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        let count = bytes.len().min(free_bytes);
        if count > 0 {
            let written = Bytes::copy_from_slice(&bytes[..count]);
            let delivery_time = self.write_link.delivery_time(count);
            pipe.push(delivery_time, written.clone());
            self.write_link.count(count);
            if let Some(mirror) = &self.mirror {
                mirror.stream.write.lock().push(delivery_time + mirror.extra_delay, written);
            }
        }
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.end_writing();
        Poll::Ready(Ok(()))
    }
}

impl SimStream {
    fn end_writing(&self) {
        let mut pipe = self.write.lock();
        if !pipe.ended {
            pipe.ended = true;
            pipe.push(self.write_link.delivery_time(0), Bytes::new());
        }
        drop(pipe);
        if let Some(mirror) = &self.mirror {
            mirror.stream.end_writing();
        }
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        self.end_writing();
        let mut pipe = self.read.lock();
        pipe.reader_dropped = true;
        pipe.chunks.clear();
        wake(&mut pipe.writer);
    }
}
