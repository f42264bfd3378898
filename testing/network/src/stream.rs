//! A stream between two hosts: two one-way pipes over the links' delays.

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

/// Bytes that may wait in one direction before the writer must wait, as with a socket buffer.
const PIPE_CAPACITY_BYTES: usize = 256 * 1024;

type Waiting = Pin<Box<dyn Future<Output = ()> + Send>>;

#[derive(Debug, Default)]
struct Pipe {
    chunks: VecDeque<Chunk>,
    waiting_bytes: usize,
    last_delivery: Option<Instant>,
    /// The writer has ended its direction, or is gone.
    ended: bool,
    /// The reader is gone: writing is in vain.
    unread: bool,
    /// What is written disappears: the reading end is the copy of a doubled stream.
    discarding: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

#[derive(Debug)]
struct Chunk {
    deliver_at: Instant,
    /// Empty: the end of the direction.
    bytes: Bytes,
}

impl Pipe {
    fn push(&mut self, deliver_at: Instant, bytes: Bytes) {
        if self.discarding {
            return;
        }
        // A transport keeps order: nothing overtakes inside one stream.
        let deliver_at = self.last_delivery.map_or(deliver_at, |last| last.max(deliver_at));
        self.last_delivery = Some(deliver_at);
        self.waiting_bytes += bytes.len();
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
    opening: Option<Waiting>,
    killed_signal: Waiting,
    is_reset: bool,
    copy: Option<SecondStream>,
}

/// A second stream that gets all that is written to the first, later.
struct SecondStream {
    stream: Box<SimStream>,
    later: Duration,
}

impl std::fmt::Debug for SimStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SimStream")
    }
}

/// The two ends of a new stream: the caller's and the callee's.
pub(super) fn pair(
    there: Arc<LinkState>,
    back: Arc<LinkState>,
    caller_killed: watch::Receiver<bool>,
    callee_killed: watch::Receiver<bool>,
) -> (SimStream, SimStream) {
    let forth_pipe = Arc::new(Mutex::new(Pipe::default()));
    let back_pipe = Arc::new(Mutex::new(Pipe::default()));
    let either_killed = |one: &watch::Receiver<bool>, other: &watch::Receiver<bool>| {
        let (mut one, mut other) = (one.clone(), other.clone());
        let signal: Waiting = Box::pin(async move {
            tokio::select! {
                biased;
                _ = one.wait_for(|killed| *killed) => {}
                _ = other.wait_for(|killed| *killed) => {}
            }
        });
        signal
    };
    let near = SimStream {
        read: Arc::clone(&back_pipe),
        write: Arc::clone(&forth_pipe),
        read_link: Arc::clone(&back),
        write_link: Arc::clone(&there),
        delivery: None,
        opening: None,
        killed_signal: either_killed(&caller_killed, &callee_killed),
        is_reset: false,
        copy: None,
    };
    let far = SimStream {
        read: forth_pipe,
        write: back_pipe,
        read_link: there,
        write_link: back,
        delivery: None,
        opening: None,
        killed_signal: either_killed(&callee_killed, &caller_killed),
        is_reset: false,
        copy: None,
    };
    (near, far)
}

impl SimStream {
    /// Lets all that is written from here on go over `stream` too, later; what comes back over it disappears.
    pub(super) fn double_over(&mut self, stream: SimStream, later: Duration) {
        stream.read.lock().discarding = true;
        self.copy = Some(SecondStream { stream: Box::new(stream), later });
    }

    /// Whether either side's process was killed.
    fn poll_reset(&mut self, context: &mut Context<'_>) -> bool {
        // A future must not be polled again once it has ended.
        self.is_reset = self.is_reset || self.killed_signal.as_mut().poll(context).is_ready();
        self.is_reset
    }

    /// Waits for the front chunk's time of delivery and for an open link.
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
        let opening = self.opening.get_or_insert_with(|| Box::pin(async move { link.wait_open().await }));
        if opening.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.opening = None;
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
            // The end stays in the pipe, so that every later read sees it too.
            return Poll::Ready(Ok(()));
        }
        let count = chunk.bytes.len().min(buffer.remaining());
        buffer.put_slice(&chunk.bytes[..count]);
        chunk.bytes.advance(count);
        if chunk.bytes.is_empty() {
            pipe.chunks.pop_front();
        }
        pipe.waiting_bytes -= count;
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
        if pipe.unread || pipe.ended {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let room = PIPE_CAPACITY_BYTES.saturating_sub(pipe.waiting_bytes);
        if room == 0 {
            pipe.writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        let count = bytes.len().min(room);
        if count > 0 {
            let written = Bytes::copy_from_slice(&bytes[..count]);
            let delivery_time = self.write_link.delivery_time(count);
            pipe.push(delivery_time, written.clone());
            self.write_link.count(count);
            if let Some(copy) = &self.copy {
                copy.stream.write.lock().push(delivery_time + copy.later, written);
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
        if let Some(copy) = &self.copy {
            copy.stream.end_writing();
        }
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        self.end_writing();
        let mut pipe = self.read.lock();
        pipe.unread = true;
        pipe.chunks.clear();
        wake(&mut pipe.writer);
    }
}
