//! The stream of an accepted connection: feeds the head scanner and watches for slow and silent senders.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};
use umberpond_net::BoxStream;

use super::head_scanner::{HeadScanner, Verdict};

/// What a connection's stream and its service share.
#[derive(Debug)]
pub(crate) struct ConnectionWatch {
    scanner: Mutex<HeadScanner>,
    /// Requests whose answer has not passed whole.
    open: AtomicU32,
    /// End of the last answer.
    idle_since: Mutex<Instant>,
    slow: AtomicBool,
}

impl ConnectionWatch {
    pub(crate) fn new(max_head_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            scanner: Mutex::new(HeadScanner::new(max_head_bytes)),
            open: AtomicU32::new(0),
            idle_since: Mutex::new(Instant::now()),
            slow: AtomicBool::new(false),
        })
    }

    /// The scanner's verdict on the head that was just handed over.
    pub(crate) fn next_verdict(&self) -> Option<Verdict> {
        self.scanner.lock().next_verdict()
    }

    /// Counts a request as open until the guard is dropped; meanwhile silence is no reason to close.
    pub(crate) fn open_request(self: &Arc<Self>) -> BusyGuard {
        self.open.fetch_add(1, Ordering::AcqRel);
        BusyGuard { watch: Arc::clone(self) }
    }

    fn is_busy(&self) -> bool {
        self.open.load(Ordering::Acquire) > 0
    }

    /// Whether the connection ended because a head took too long.
    pub(crate) fn was_slow(&self) -> bool {
        self.slow.load(Ordering::Acquire)
    }
}

/// One open request of a connection.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    watch: Arc<ConnectionWatch>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        *self.watch.idle_since.lock() = Instant::now();
        self.watch.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Time limits on what a peer sends between two bodies.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadLimits {
    /// From the first byte of a head to its end.
    pub(crate) head: Duration,
    /// Without any byte and any request.
    pub(crate) idle: Duration,
}

/// Which limit the timer stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waiting {
    Idle,
    Head,
}

/// A [`BoxStream`] whose reads are scanned and timed.
pub(crate) struct WatchedStream {
    stream: BoxStream,
    watch: Arc<ConnectionWatch>,
    limits: ReadLimits,
    waiting: Waiting,
    timer: Pin<Box<Sleep>>,
}

impl WatchedStream {
    pub(crate) fn new(stream: BoxStream, watch: Arc<ConnectionWatch>, limits: ReadLimits) -> Self {
        let timer = Box::pin(tokio::time::sleep(limits.idle));
        Self { stream, watch, limits, waiting: Waiting::Idle, timer }
    }

    /// The stream itself, when nothing that still comes matters.
    pub(super) fn rest(&mut self) -> &mut BoxStream {
        &mut self.stream
    }

    /// Starts the time of a head with its first byte, and the idle time with its end.
    fn on_read(&mut self, bytes: &[u8]) {
        let inside_head = {
            let mut scanner = self.watch.scanner.lock();
            scanner.scan(bytes);
            scanner.is_inside_head()
        };
        let waiting = if inside_head { Waiting::Head } else { Waiting::Idle };
        if waiting != self.waiting || waiting == Waiting::Idle {
            self.waiting = waiting;
            self.restart_timer();
        }
    }

    fn restart_timer(&mut self) {
        let limit = match self.waiting {
            Waiting::Head => self.limits.head,
            Waiting::Idle => self.limits.idle,
        };
        self.timer.as_mut().reset(Instant::now() + limit);
    }

    fn poll_limit(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.timer.as_mut().poll(context).is_ready() {
            match self.waiting {
                Waiting::Head => {
                    self.watch.slow.store(true, Ordering::Release);
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                Waiting::Idle if self.watch.is_busy() => self.restart_timer(),
                Waiting::Idle => {
                    let end = *self.watch.idle_since.lock() + self.limits.idle;
                    if end <= Instant::now() {
                        // The end of the stream: the library closes an idle connection cleanly.
                        return Poll::Ready(Ok(()));
                    }
                    self.timer.as_mut().reset(end);
                }
            }
        }
        Poll::Pending
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        match Pin::new(&mut this.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                this.on_read(&buffer.filled()[before..]);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => this.poll_limit(context),
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
