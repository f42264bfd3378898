//! Failures of platform requests, sorted by what they say about the change.

use std::time::Duration;

use thiserror::Error;

use crate::ObjectVersion;

/// Why a request did not leave this process.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotSentCause {
    /// The transport refused or lost the connection before it stood.
    #[error("no connection")]
    NoConnection,
    /// The connection did not stand within the time limit.
    #[error("the connection did not stand within the time limit")]
    ConnectTimeLimit,
    /// The process's own limit on concurrent requests was not free within the time limit.
    #[error("too many requests of this process are under way")]
    GateBusy,
    /// The name can't stand in a path.
    #[error("the name can't stand in a path")]
    UnusableName,
}

/// Why the outcome of a request that may have been sent is not known.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnknownCause {
    /// The connection broke before the answer was whole.
    #[error("the connection broke before the answer was whole")]
    Broken,
    /// The answer was not whole within the time limit.
    #[error("no whole answer came within the time limit")]
    TimeLimit,
    /// The platform failed inside.
    #[error("the platform answered {status}")]
    ServerError {
        /// The HTTP status code.
        status: u16,
    },
    /// The answer does not follow the protocol.
    #[error("the answer does not follow the protocol")]
    Malformed,
    /// The answer's body is over the limit.
    #[error("the answer is over the size limit")]
    Oversized,
}

/// A request that did not succeed. [`Self::may_have_changed`] tells whether a change may stand or may still come.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// Nothing was sent; nothing changed and nothing will.
    #[error("the request was not sent: {cause}")]
    NotSent {
        /// Why.
        cause: NotSentCause,
    },
    /// The platform refused the request for overload, before it was processed (429 or 503).
    #[error("the platform is overloaded")]
    Refused {
        /// How long the platform asks to wait, if it says so.
        retry_after: Option<Duration>,
    },
    /// The request may have been processed, and if it is still on its way, may yet be.
    #[error("the outcome of the request is unknown: {cause}")]
    OutcomeUnknown {
        /// Why.
        cause: UnknownCause,
    },
    /// The object stands at another version than the request named, or stands already. Nothing changed.
    #[error("the object stands at another version")]
    Conflict {
        /// The version that stands, if the platform told it.
        standing: Option<ObjectVersion>,
    },
    /// The object to change does not exist. Nothing changed.
    #[error("the object does not exist")]
    NotFound,
    /// The platform does not accept the request as formed (another 4xx). Nothing changed.
    #[error("the platform rejected the request with status {status}")]
    Rejected {
        /// The HTTP status code.
        status: u16,
    },
}

impl PlatformError {
    /// Whether the change may have happened, or may yet happen when the request arrives late.
    #[must_use]
    pub const fn may_have_changed(&self) -> bool {
        matches!(self, Self::OutcomeUnknown { .. })
    }

    /// Whether the same request can succeed later without anything else changing first.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        match self {
            Self::NotSent { cause } => !matches!(cause, NotSentCause::UnusableName),
            Self::Refused { .. } | Self::OutcomeUnknown { .. } => true,
            Self::Conflict { .. } | Self::NotFound | Self::Rejected { .. } => false,
        }
    }

    /// How long the platform asks to wait before the next request, if it said so.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after } => *retry_after,
            _ => None,
        }
    }
}
