//! Bodies of the answers that leave a proxy.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::time::{Instant, Sleep};

use super::open_request::OpenRequest;
use super::tracker::InFlight;
use super::watched_stream::BusyGuard;
use crate::CutReason;
use crate::wire::UpstreamBody;

/// An answer that is cut: the connection to the caller is closed without a proper end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer was cut: {0:?}")]
pub(crate) struct AnswerCut(CutReason);

/// Body of any answer.
pub(crate) enum ProxyBody {
    /// A body made here.
    Own(OwnBody),
    /// A body passed on from upstream.
    Relay(Box<RelayBody>),
}

/// The body as the connection sends it; the connection counts as busy until it is dropped.
pub(crate) struct ServedBody {
    body: ProxyBody,
    _busy: BusyGuard,
}

impl ServedBody {
    pub(super) const fn new(body: ProxyBody, busy: BusyGuard) -> Self {
        Self { body, _busy: busy }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A small body made by the proxy.
pub(crate) struct OwnBody {
    text: Option<Bytes>,
    _in_flight: Option<InFlight>,
}

impl ProxyBody {
    /// A body made here.
    pub(crate) fn own(text: Bytes, in_flight: Option<InFlight>) -> Self {
        Self::Own(OwnBody { text: Some(text), _in_flight: in_flight })
    }
}

/// A body passed on from upstream, part by part, until the deadline.
pub(crate) struct RelayBody {
    upstream: UpstreamBody,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
    open: Option<OpenRequest>,
    /// Whether the body was asked for a part before, so that the answer's head may be on its way.
    was_polled: bool,
    /// Upstream has broken off, and the caller's side is told so on the next turn.
    is_broken: bool,
}

impl RelayBody {
    pub(crate) fn passing(upstream: UpstreamBody, deadline: Instant, open: OpenRequest) -> ProxyBody {
        let mut body =
            Self { upstream, deadline, timer: None, open: Some(open), was_polled: false, is_broken: false };
        if body.upstream.is_end_stream() {
            body.finish();
        }
        ProxyBody::Relay(Box::new(body))
    }

    fn finish(&mut self) {
        if let Some(open) = self.open.take() {
            open.finished();
        }
    }

    fn cut(&mut self, reason: CutReason) -> AnswerCut {
        if let Some(open) = self.open.take() {
            open.cut(reason);
        }
        AnswerCut(reason)
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        if self.is_broken {
            return Poll::Ready(Some(Err(self.cut(CutReason::UpstreamCut))));
        }
        let frame = match Pin::new(&mut self.upstream).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let deadline = self.deadline;
                let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
                ready!(timer.as_mut().poll(context));
                return Poll::Ready(Some(Err(self.cut(CutReason::Deadline))));
            }
        };
        let is_first = !std::mem::replace(&mut self.was_polled, true);
        match frame {
            None => {
                self.finish();
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                if self.upstream.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_source)) if is_first && self.faces_caller() => {
                // One more turn lets the head out, so that the caller is told an outcome before the cut. Toward
                // another node the head is held back: without it that node may still send the request elsewhere.
                self.is_broken = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Some(Err(_source)) => Poll::Ready(Some(Err(self.cut(CutReason::UpstreamCut)))),
        }
    }

    fn faces_caller(&self) -> bool {
        self.open.as_ref().is_some_and(OpenRequest::faces_caller)
    }
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.get_mut() {
            Self::Own(own) => Poll::Ready(own.text.take().map(|text| Ok(Frame::data(text)))),
            Self::Relay(relay) => relay.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(own) => own.text.is_none(),
            Self::Relay(relay) => relay.upstream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(own) => SizeHint::with_exact(own.text.as_ref().map_or(0, |text| text.len() as u64)),
            Self::Relay(relay) => relay.upstream.size_hint(),
        }
    }
}
