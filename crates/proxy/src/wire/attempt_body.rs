//! The request's body: streamed once, and kept while it is small so that the request can be sent again.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::time::Sleep;

use crate::server::CallerBody;

/// Why a request's body could not be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum BodyFault {
    /// Its sender was too slow.
    #[error("the sender of the body was too slow")]
    Slow,
    /// It broke off, or its framing is malformed.
    #[error("the body broke off or is malformed")]
    Broken,
    /// A later attempt has taken the body over.
    #[error("a later attempt has taken the body over")]
    Superseded,
}

/// Body of one request, shared by its attempts.
#[derive(Clone)]
pub(crate) struct RequestBody {
    source: Arc<Mutex<Source>>,
    pace: Duration,
}

struct Source {
    /// The caller's body; taken away once no attempt follows.
    incoming: Option<CallerBody>,
    /// Total length, where the caller declared one.
    total: Option<u64>,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    keep_limit: usize,
    /// Whether every byte read so far is still kept.
    keeps_all: bool,
    ended: bool,
    fault: Option<BodyFault>,
    /// Number of the attempt that may read.
    attempt: u32,
}

impl RequestBody {
    /// Wraps a body; at most `keep_limit` bytes of it are kept, and its sender must deliver a part each `pace`.
    pub(crate) fn new(incoming: CallerBody, keep_limit: usize, pace: Duration) -> Self {
        let total = incoming.size_hint().exact();
        let ended = incoming.is_end_stream();
        let source = Source {
            incoming: Some(incoming),
            total,
            kept: Vec::new(),
            kept_bytes: 0,
            keep_limit,
            keeps_all: true,
            ended,
            fault: None,
            attempt: 0,
        };
        Self { source: Arc::new(Mutex::new(source)), pace }
    }

    /// Waits for the first part, so that a body that is malformed from its start is refused before anything
    /// is forwarded.
    pub(crate) async fn read_first_part(&self) -> Result<(), BodyFault> {
        if self.source.lock().ended {
            return Ok(());
        }
        let first = std::future::poll_fn(|context| self.source.lock().poll_part(context));
        match tokio::time::timeout(self.pace, first).await {
            Ok(Some(Ok(part))) => {
                self.source.lock().put_back(part);
                Ok(())
            }
            Ok(Some(Err(fault))) => Err(fault),
            Ok(None) => Ok(()),
            Err(_elapsed) => Err(BodyFault::Slow),
        }
    }

    /// Whether the request can be sent again with its whole body.
    pub(crate) fn can_replay(&self) -> bool {
        let source = self.source.lock();
        source.keeps_all && source.fault.is_none()
    }

    /// Why the body failed, if it did.
    pub(crate) fn fault(&self) -> Option<BodyFault> {
        self.source.lock().fault
    }

    /// Keeps nothing from now on: no attempt follows.
    pub(crate) fn stop_keeping(&self) {
        let mut source = self.source.lock();
        source.keep_limit = 0;
    }

    /// Gives the rest of the body up. No attempt reads anything more.
    pub(crate) fn close(&self) {
        let mut source = self.source.lock();
        source.attempt += 1;
        source.incoming = None;
    }

    /// The body for the next attempt, from its start. Earlier attempts read nothing more.
    pub(crate) fn next_attempt(&self) -> AttemptBody {
        let mut source = self.source.lock();
        source.attempt += 1;
        let is_empty = source.ended && source.kept.is_empty();
        AttemptBody {
            source: Arc::clone(&self.source),
            attempt: source.attempt,
            position: 0,
            passed_bytes: 0,
            sent_whole: Arc::new(AtomicBool::new(is_empty)),
            pace: self.pace,
            timer: None,
        }
    }
}

impl Source {
    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        loop {
            if let Some(fault) = self.fault {
                return Poll::Ready(Some(Err(fault)));
            }
            if self.ended {
                return Poll::Ready(None);
            }
            let Some(incoming) = &mut self.incoming else {
                return Poll::Ready(Some(Err(BodyFault::Superseded)));
            };
            match ready!(Pin::new(&mut *incoming).poll_frame(context)) {
                Some(Ok(frame)) => {
                    self.ended = incoming.is_end_stream();
                    // Trailers concern one connection only and are not passed on.
                    if let Ok(part) = frame.into_data() {
                        return Poll::Ready(Some(Ok(part)));
                    }
                }
                Some(Err(_source)) => self.fault = Some(BodyFault::Broken),
                None => self.ended = true,
            }
        }
    }

    /// Keeps `part` if there is room.
    fn keep(&mut self, part: &Bytes) {
        let fits = self.kept_bytes + part.len() <= self.keep_limit;
        if self.keeps_all && fits {
            self.kept_bytes += part.len();
            self.kept.push(part.clone());
        } else {
            self.keeps_all = false;
            self.kept.clear();
        }
    }

    /// Keeps the part that was read ahead, whatever its size: it is still to be sent.
    fn put_back(&mut self, part: Bytes) {
        self.kept_bytes += part.len();
        self.kept.push(part);
    }
}

/// The body as one attempt sends it.
pub(crate) struct AttemptBody {
    source: Arc<Mutex<Source>>,
    attempt: u32,
    /// Kept parts sent so far.
    position: usize,
    passed_bytes: u64,
    sent_whole: Arc<AtomicBool>,
    pace: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl AttemptBody {
    /// Set once the whole body was handed to the connection.
    pub(crate) fn sent_whole(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.sent_whole)
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let mut source = self.source.lock();
        if source.attempt != self.attempt {
            return Poll::Ready(Some(Err(BodyFault::Superseded)));
        }
        if let Some(part) = source.kept.get(self.position).cloned() {
            self.position += 1;
            self.note_end(&source);
            return Poll::Ready(Some(Ok(part)));
        }
        let part = ready!(source.poll_part(context));
        if let Some(Ok(part)) = &part {
            source.keep(part);
            self.position = source.kept.len();
        }
        self.note_end(&source);
        Poll::Ready(part)
    }

    fn note_end(&self, source: &Source) {
        if source.ended && source.fault.is_none() && self.position >= source.kept.len() {
            self.sent_whole.store(true, Ordering::Release);
        }
    }

    fn poll_too_slow(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let pace = self.pace;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(pace)));
        timer.as_mut().poll(context)
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let this = self.get_mut();
        if let Poll::Ready(part) = this.poll_part(context) {
            this.timer = None;
            if let Some(Ok(part)) = &part {
                this.passed_bytes += part.len() as u64;
            }
            return Poll::Ready(part.map(|part| part.map(Frame::data)));
        }
        ready!(this.poll_too_slow(context));
        this.source.lock().fault.get_or_insert(BodyFault::Slow);
        Poll::Ready(Some(Err(BodyFault::Slow)))
    }

    fn is_end_stream(&self) -> bool {
        self.sent_whole.load(Ordering::Acquire)
    }

    fn size_hint(&self) -> SizeHint {
        match self.source.lock().total {
            Some(total) => SizeHint::with_exact(total.saturating_sub(self.passed_bytes)),
            None => SizeHint::default(),
        }
    }
}

/// Reads and drops at most `limit` bytes of a body; true if its end came.
pub(crate) async fn discard(body: &mut Incoming, limit: u64) -> bool {
    let mut seen = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        seen += frame.data_ref().map_or(0, |part| part.len() as u64);
        if seen > limit {
            return false;
        }
    }
    true
}
