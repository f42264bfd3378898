//! The body of an accepted request, which tells whether its end was read.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

/// Body of an accepted request. The library closes a connection whose request was not read to its end, so an answer
/// that leaves before has to say so.
pub(crate) struct CallerBody {
    incoming: Incoming,
    was_read: Arc<AtomicBool>,
}

impl CallerBody {
    pub(crate) fn new(incoming: Incoming) -> Self {
        let was_read = Arc::new(AtomicBool::new(incoming.is_end_stream()));
        Self { incoming, was_read }
    }

    /// Set once the end of the body was read.
    pub(crate) fn was_read(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.was_read)
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.incoming).poll_frame(context));
        if frame.is_none() || this.incoming.is_end_stream() {
            this.was_read.store(true, Ordering::Release);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
