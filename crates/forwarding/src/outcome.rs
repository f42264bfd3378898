//! Reasons why a request did not run, or may have run.

use bitcode::{Decode, Encode};
use thiserror::Error;

/// Why a request is known not to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Error)]
#[error("{}", self.as_str())]
pub enum NotRunReason {
    /// This node has no configuration yet.
    NoConfiguration,
    /// This node's process is about to stop.
    Stopping,
    /// No back end of the service accepts new requests.
    NoEndpoint,
    /// The back end's node could not be reached.
    NodeUnreachable,
    /// The node now has a different back end, or none.
    WrongInstance,
    /// The service may not be served where the node runs.
    WrongLocality,
    /// The back end is draining.
    Draining,
    /// Too many requests are queued.
    Overloaded,
    /// The deadline passed before the request was sent to a back end.
    DeadlineBeforeRun,
    /// The back end could not be reached.
    BackEndUnreachable,
    /// The back end reported that it did not run the request.
    BackEndRejected,
    /// The caller's body was truncated before the request was forwarded.
    BodyBroken,
    /// The request, or a call that its run would make, is a retry that the retry budget does not allow.
    RetryBudget,
    /// The request has crashed as many back ends as a request may.
    Quarantined,
    /// The request is suspected of recent crashes, and the back ends have to be available again first.
    SuspectPaused,
    /// The request is suspected of a crash, and another suspected request occupied this back end for as long
    /// as it could wait.
    SuspectBusy,
    /// Operators have evacuated the back end's zone.
    Evacuated,
    /// No back end accepts new requests in a region where the request may be served.
    NoHomeRegion,
    /// The back end's node doesn't know the tenant, because its configuration is older or newer than the
    /// caller's.
    UnknownTenant,
    /// The services that the request's run would call have no room.
    CallsOverloaded,
    /// The back end rejected the request while all its slots were in use.
    BackEndFull,
    /// The back end limits the request rate, and the limit is used up.
    RequestLimit,
}

impl NotRunReason {
    /// The reason as an identifier for logs, metrics and callers.
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
            Self::NoHomeRegion => "no-home",
            Self::UnknownTenant => "unknown-tenant",
            Self::CallsOverloaded => "calls-overloaded",
            Self::BackEndFull => "back-end-full",
            Self::RequestLimit => "request-limit",
        }
    }
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Error)]
#[error("{}", self.as_str())]
pub enum UnknownReason {
    /// The connection to the back end's node was lost.
    NodeConnectionLost,
    /// The connection to the back end was lost before a response.
    BackEndClosed,
    /// The back end crashed while it ran the request.
    BackEndCrashed,
    /// The back end sent data that is not a valid response to this request.
    InvalidResponse,
    /// The response was truncated.
    TruncatedResponse,
    /// The request timed out before a response arrived.
    TimedOut,
    /// A request with this id was admitted before.
    Duplicate,
    /// A request with this idempotency key was admitted before.
    RepeatedKey,
    /// The caller's body was truncated while it was forwarded.
    BodyBroken,
}

impl UnknownReason {
    /// Whether the connection to the back end was lost, which can also be the sign of a crash.
    pub(crate) const fn is_broken_connection(self) -> bool {
        matches!(self, Self::BackEndClosed | Self::TruncatedResponse)
    }

    /// Whether the back end responded, and the response is not usable.
    pub(crate) const fn is_broken_response(self) -> bool {
        matches!(self, Self::InvalidResponse | Self::TruncatedResponse)
    }

    /// The reason as an identifier for logs, metrics and callers.
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
