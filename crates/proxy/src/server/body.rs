//! Bodies of the answers that leave a proxy.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

use super::open_request::OpenRequest;
use super::tracker::InFlight;
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

/// A small body made by the proxy. After it, the rest of an unread request body is read and dropped for a while:
/// closing at once could reset the connection before the caller has read this answer.
pub(crate) struct OwnBody {
    text: Option<Bytes>,
    unread: Option<Incoming>,
    unread_allowance: u64,
    linger: Option<Pin<Box<Sleep>>>,
    _in_flight: Option<InFlight>,
}

/// Most bytes of an unread request body that are read after a refusal.
const LINGER_BYTES: u64 = 1024 * 1024;
/// Longest time for which they are read.
const LINGER_TIME: Duration = Duration::from_secs(1);

impl ProxyBody {
    /// A body made here; `unread` is what is left of the request's body.
    pub(crate) fn own(text: Bytes, unread: Option<Incoming>, in_flight: Option<InFlight>) -> Self {
        let unread = unread.filter(|body| !body.is_end_stream());
        Self::Own(OwnBody {
            text: Some(text),
            unread,
            unread_allowance: LINGER_BYTES,
            linger: None,
            _in_flight: in_flight,
        })
    }
}

impl OwnBody {
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(unread) = &mut self.unread else { return Poll::Ready(()) };
        let timer = self.linger.get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER_TIME)));
        if timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        while let Some(Ok(frame)) = ready!(Pin::new(&mut *unread).poll_frame(context)) {
            let length = frame.data_ref().map_or(0, |part| part.len() as u64);
            self.unread_allowance = self.unread_allowance.saturating_sub(length);
            if self.unread_allowance == 0 {
                break;
            }
        }
        Poll::Ready(())
    }
}

/// A body passed on from upstream, part by part, until the deadline.
pub(crate) struct RelayBody {
    upstream: UpstreamBody,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
    open: Option<OpenRequest>,
}

impl RelayBody {
    pub(crate) fn passing(upstream: UpstreamBody, deadline: Instant, open: OpenRequest) -> ProxyBody {
        let mut body = Self { upstream, deadline, timer: None, open: Some(open) };
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
        let frame = match Pin::new(&mut self.upstream).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let deadline = self.deadline;
                let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
                ready!(timer.as_mut().poll(context));
                return Poll::Ready(Some(Err(self.cut(CutReason::Deadline))));
            }
        };
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
            Some(Err(_source)) => Poll::Ready(Some(Err(self.cut(CutReason::UpstreamCut)))),
        }
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
            Self::Own(own) => {
                if let Some(text) = own.text.take() {
                    return Poll::Ready(Some(Ok(Frame::data(text))));
                }
                ready!(own.poll_linger(context));
                own.unread = None;
                Poll::Ready(None)
            }
            Self::Relay(relay) => relay.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(own) => own.text.is_none() && own.unread.is_none(),
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
