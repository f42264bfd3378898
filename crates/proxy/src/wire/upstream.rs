//! One exchange on one connection, and the answer's body that ends it.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header, response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt_body::{AttemptBody, discard};
use super::pool::Lease;
use crate::{AttemptFailure, Stage};

/// Most bytes of an unwanted answer that are read so that its connection can be kept.
const DISCARD_LIMIT_BYTES: u64 = 4 * 1024;

/// An exchange that failed before the answer's head was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExchangeFailure {
    pub(crate) stage: Stage,
    pub(crate) failure: AttemptFailure,
}

impl ExchangeFailure {
    /// Whether nothing of the request can have reached the other side.
    pub(crate) const fn nothing_written(self) -> bool {
        matches!(self.stage, Stage::Connect | Stage::BeforeWrite)
    }
}

/// An exchange whose answer's head has arrived.
pub(crate) struct Exchange {
    pub(crate) head: response::Parts,
    pub(crate) body: UpstreamBody,
}

impl Exchange {
    /// Sends `request` over `lease` and waits for the answer's head until `deadline`.
    pub(crate) async fn run(
        mut lease: Lease,
        request: Request<AttemptBody>,
        deadline: Instant,
    ) -> Result<Self, ExchangeFailure> {
        let gate = lease.connection.gate.clone();
        let before = gate.written();
        let sent_whole = request.body().sent_whole();
        let bodiless = request.method() == http::Method::HEAD;
        let sending = lease.connection.sender.send_request(request);
        let failure = match tokio::time::timeout_at(deadline, sending).await {
            Ok(Ok(response)) => return Self::from_response(response, bodiless, lease, sent_whole),
            Ok(Err(_source)) => AttemptFailure::ConnectionLost,
            Err(_elapsed) => AttemptFailure::Deadline,
        };
        let nothing_written = gate.seal() == before;
        let stage = if nothing_written { Stage::BeforeWrite } else { Stage::AwaitingAnswer };
        Err(ExchangeFailure { stage, failure })
    }

    fn from_response(
        response: Response<Incoming>,
        bodiless: bool,
        lease: Lease,
        sent_whole: Arc<AtomicBool>,
    ) -> Result<Self, ExchangeFailure> {
        let (head, incoming) = response.into_parts();
        if !has_certain_end(&head, bodiless) {
            let failure = AttemptFailure::UnframedAnswer;
            return Err(ExchangeFailure { stage: Stage::AnswerBody, failure });
        }
        let body = UpstreamBody::new(incoming, lease, sent_whole);
        Ok(Self { head, body })
    }
}

/// Whether the end of the answer's body can be told from a cut. A body that ends with its connection can't.
fn has_certain_end(head: &response::Parts, bodiless: bool) -> bool {
    let lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let has_encoding = head.headers.contains_key(header::TRANSFER_ENCODING);
    if lengths > 1 || (lengths == 1 && has_encoding) {
        return false;
    }
    let never_has_body = bodiless || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_chunked = head
        .headers
        .get(header::TRANSFER_ENCODING)
        .is_some_and(|encoding| encoding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    never_has_body || lengths == 1 || is_chunked
}

/// The body of an answer, together with the connection it comes over. The connection is given back when both
/// bodies of the exchange have passed whole, and closed in every other case.
pub(crate) struct UpstreamBody {
    incoming: Incoming,
    lease: Option<Lease>,
    sent_whole: Arc<AtomicBool>,
}

impl UpstreamBody {
    fn new(incoming: Incoming, lease: Lease, sent_whole: Arc<AtomicBool>) -> Self {
        let mut body = Self { incoming, lease: Some(lease), sent_whole };
        if body.incoming.is_end_stream() {
            body.finish();
        }
        body
    }

    fn finish(&mut self) {
        let Some(lease) = self.lease.take() else { return };
        if self.sent_whole.load(Ordering::Acquire) {
            lease.give_back();
        }
    }

    /// Reads what is left of an unwanted answer, so that its connection can serve again.
    pub(crate) async fn discard(mut self, deadline: Instant) {
        let reading = discard(&mut self.incoming, DISCARD_LIMIT_BYTES);
        if tokio::time::timeout_at(deadline, reading).await == Ok(true) {
            self.finish();
        }
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.incoming).poll_frame(context));
        match &frame {
            None => this.finish(),
            Some(Ok(_)) if this.incoming.is_end_stream() => this.finish(),
            Some(Ok(_)) => {}
            Some(Err(_)) => this.lease = None,
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
