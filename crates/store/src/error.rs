//! Errors of platform requests, classified by whether a change may have taken effect.

use std::time::Duration;

use thiserror::Error;

use crate::ObjectVersion;

/// Why a request did not leave this process.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotSentCause {
    /// The connection was refused, or was lost before it was established.
    #[error("no connection")]
    ConnectionFailed,
    /// The connection was not established within the time limit.
    #[error("the connection was not established within the time limit")]
    ConnectTimeout,
    /// The process's own limit on concurrent requests stayed exhausted until the time limit.
    #[error("too many requests of this process are in progress")]
    TooManyRequests,
    /// The name contains characters that are not allowed in a path.
    #[error("the name contains characters that are not allowed in a path")]
    InvalidName,
}

/// Why the outcome of a request that may have been sent is not known.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnknownCause {
    /// The connection failed before the response was complete.
    #[error("the connection failed before the response was complete")]
    ConnectionLost,
    /// The response was not complete within the time limit.
    #[error("the response was not complete within the time limit")]
    Timeout,
    /// The platform reported an internal error.
    #[error("the platform responded with status {status}")]
    ServerError {
        /// The HTTP status code.
        status: u16,
    },
    /// The response does not follow the protocol.
    #[error("the response does not follow the protocol")]
    Malformed,
    /// The response body exceeds the size limit.
    #[error("the response exceeds the size limit")]
    ResponseTooLarge,
}

/// A request that did not succeed. [`Self::may_have_changed`] returns whether a change may have taken effect
/// or may still do so.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// Nothing was sent, so nothing has changed or will change.
    #[error("the request was not sent: {cause}")]
    NotSent {
        /// Why.
        cause: NotSentCause,
    },
    /// The platform refused the request because of overload, before processing it (429 or 503).
    #[error("the platform is overloaded")]
    Refused {
        /// The `Retry-After` delay, if the response has one.
        retry_after: Option<Duration>,
    },
    /// The request may have been processed; if it is still in flight, it may be processed later.
    #[error("the outcome of the request is unknown: {cause}")]
    OutcomeUnknown {
        /// Why.
        cause: UnknownCause,
    },
    /// The object has another version than the request expected, or exists already. Nothing changed.
    #[error("the object has another version")]
    Conflict {
        /// The object's current version, if the response contains it.
        current: Option<ObjectVersion>,
    },
    /// The object to change does not exist. Nothing changed.
    #[error("the object does not exist")]
    NotFound,
    /// The platform rejected the request as invalid (another 4xx status). Nothing changed.
    #[error("the platform rejected the request with status {status}")]
    Rejected {
        /// The HTTP status code.
        status: u16,
    },
}

impl PlatformError {
    /// Whether the change may have taken effect, or may still do so when the request arrives late.
    #[must_use]
    pub const fn may_have_changed(&self) -> bool {
        matches!(self, Self::OutcomeUnknown { .. })
    }

    /// Whether the same request can succeed when it is repeated unchanged.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        match self {
            Self::NotSent { cause } => !matches!(cause, NotSentCause::InvalidName),
            Self::Refused { .. } | Self::OutcomeUnknown { .. } => true,
            Self::Conflict { .. } | Self::NotFound | Self::Rejected { .. } => false,
        }
    }

    /// The delay that the platform requested before the next request, if any.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after } => *retry_after,
            _ => None,
        }
    }
}
