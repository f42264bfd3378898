//! What the caller gets.

use std::time::Duration;

use bytes::Bytes;
use umberpond_http1::Fields;

use crate::message::{Answer, AnswerBody};
use crate::outcome::{NotRunReason, UnknownReason};

/// Why this node answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyReason {
    /// The bytes are no request.
    Malformed,
    /// The head is over the limit.
    HeadTooLarge,
    /// The head came too slowly.
    HeadTooSlow,
    /// The body is over the limit.
    BodyTooLarge,
    /// No route takes the request.
    NoRoute,
    /// The request did not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl ReplyReason {
    const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::HeadTooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::NoRoute => 404,
            Self::NotRun(_) => 503,
            Self::Unknown(UnknownReason::TimedOut) => 504,
            Self::Unknown(_) => 502,
        }
    }

    /// Whether nothing that follows on the caller's connection can be trusted.
    const fn closes(self) -> bool {
        matches!(self, Self::Malformed | Self::HeadTooLarge | Self::HeadTooSlow | Self::BodyTooLarge)
    }
}

/// An answer as it is written to the caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) fields: Fields,
    pub(crate) body: AnswerBody,
    /// Whether the caller's connection ends after it.
    pub(crate) closes: bool,
}

impl Reply {
    /// An answer of this node's own. `retry_after` tells when to come back.
    pub(crate) fn own(reason: ReplyReason, retry_after: Option<Duration>) -> Self {
        let mut fields = Fields::default();
        fields.push(&b"Content-Type"[..], &b"text/plain"[..]);
        if let Some(after) = retry_after {
            fields.push(&b"Retry-After"[..], seconds(after));
        }
        let text = match reason {
            ReplyReason::NotRun(reason) => reason.to_string(),
            ReplyReason::Unknown(reason) => reason.to_string(),
            other => format!("{other:?}"),
        };
        Self {
            status: reason.status(),
            fields,
            body: AnswerBody::Whole(Bytes::from(text)),
            closes: reason.closes(),
        }
    }

    /// The answer of a back end.
    pub(crate) fn of_answer(answer: Answer) -> Self {
        Self { status: answer.status, fields: answer.fields, body: answer.body, closes: false }
    }
}

/// Seconds with three digits after the point.
fn seconds(duration: Duration) -> Bytes {
    Bytes::from(format!("{:.3}", duration.as_secs_f64()))
}
