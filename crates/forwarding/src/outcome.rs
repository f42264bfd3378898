//! Why a request did not run, or may have run.

use bitcode::{Decode, Encode};
use thiserror::Error;

/// Why it is known that a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Error)]
#[error("{}", self.as_str())]
pub enum NotRunReason {
    /// This node has no configuration yet.
    NoConfiguration,
    /// This node's process is about to end.
    Stopping,
    /// No back end of the service takes new work.
    NoEndpoint,
    /// No connection to the node beside the back end.
    NodeUnreachable,
    /// The node beside the back end has another back end now, or none.
    WrongInstance,
    /// The service may not be served where the node runs.
    WrongLocality,
    /// The back end is leaving.
    Draining,
    /// Too many requests wait.
    Overloaded,
    /// The deadline passed before the request was handed to a back end.
    DeadlineBeforeRun,
    /// No connection to the back end.
    BackEndUnreachable,
    /// The back end said that it did not run the request.
    BackEndRejected,
    /// The caller's body broke off before the request was handed on.
    BodyBroken,
    /// The request, or a call that its run would make, is a repeat that the retry budget does not bear.
    RetryBudget,
    /// It has ended as many back ends as a request may.
    Quarantined,
    /// It may have ended back ends a moment ago, and these have to be there again first.
    SuspectPaused,
    /// It may have ended a back end, and another such request was at this one for as long as it could wait.
    SuspectBusy,
    /// Operators have evacuated the zone of the back end.
    Evacuated,
    /// No back end in a region in which the request may be served takes new work.
    NoHome,
    /// The node beside the back end does not know the tenant: it has an older configuration, or a newer one.
    UnknownTenant,
    /// The services that its run would call have no room.
    CallsOverloaded,
    /// The back end turned it away, with all its slots in use.
    BackEndFull,
}

impl NotRunReason {
    /// The reason as one word, for logs, figures and callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::Stopping => "stopping",
            Self::NoEndpoint => "no-endpoint",
            Self::NodeUnreachable => "node-unreachable",
            Self::WrongInstance => "wrong-instance",
            Self::WrongLocality => "wrong-locality",
            Self::Draining => "draining",
            Self::Overloaded => "overloaded",
            Self::DeadlineBeforeRun => "deadline-before-run",
            Self::BackEndUnreachable => "back-end-unreachable",
            Self::BackEndRejected => "back-end-rejected",
            Self::BodyBroken => "body-broken",
            Self::RetryBudget => "retry-budget",
            Self::Quarantined => "quarantined",
            Self::SuspectPaused => "suspect-paused",
            Self::SuspectBusy => "suspect-busy",
            Self::Evacuated => "evacuated",
            Self::NoHome => "no-home",
            Self::UnknownTenant => "unknown-tenant",
            Self::CallsOverloaded => "calls-overloaded",
            Self::BackEndFull => "back-end-full",
        }
    }
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Error)]
#[error("{}", self.as_str())]
pub enum UnknownReason {
    /// The connection to the node beside the back end broke.
    NodeConnectionLost,
    /// The connection to the back end broke before an answer.
    BackEndClosed,
    /// The back end has ended while it ran the request.
    BackEndCrashed,
    /// What the back end sent is no answer to this request.
    InvalidResponse,
    /// The answer broke off.
    TruncatedResponse,
    /// The time was up before an answer came.
    TimedOut,
    /// A request with this identity was admitted before.
    Duplicate,
    /// A request with the caller's own key was admitted before.
    RepeatedKey,
    /// The caller's body broke off while it was sent on.
    BodyBroken,
}

impl UnknownReason {
    /// Whether the connection to the back end broke, which is also how its end shows.
    pub(crate) const fn is_broken_connection(self) -> bool {
        matches!(self, Self::BackEndClosed | Self::TruncatedResponse)
    }

    /// The reason as one word, for logs, figures and callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NodeConnectionLost => "node-lost",
            Self::BackEndClosed => "back-end-closed",
            Self::BackEndCrashed => "back-end-crashed",
            Self::InvalidResponse => "answer-spoiled",
            Self::TruncatedResponse => "answer-cut",
            Self::TimedOut => "timed-out",
            Self::Duplicate => "duplicate",
            Self::RepeatedKey => "repeated-key",
            Self::BodyBroken => "body-broken",
        }
    }
}
