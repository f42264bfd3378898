//! Why a request did not run, or may have run.

use bitcode::{Decode, Encode};
use thiserror::Error;

/// Why it is known that a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Error)]
pub enum NotRunReason {
    /// This node has no configuration yet.
    #[error("no-configuration")]
    NoConfiguration,
    /// This node's process is about to end.
    #[error("stopping")]
    Stopping,
    /// No back end of the service takes new work.
    #[error("no-endpoint")]
    NoEndpoint,
    /// No connection to the node beside the back end.
    #[error("node-unreachable")]
    NodeUnreachable,
    /// The node beside the back end has another back end now, or none.
    #[error("wrong-instance")]
    WrongInstance,
    /// The service may not be served where the node runs.
    #[error("wrong-locality")]
    WrongLocality,
    /// The back end is leaving.
    #[error("draining")]
    Draining,
    /// Too many requests wait.
    #[error("overloaded")]
    Overloaded,
    /// The deadline passed before the request was handed to a back end.
    #[error("deadline-before-run")]
    DeadlineBeforeRun,
    /// No connection to the back end.
    #[error("back-end-unreachable")]
    BackEndUnreachable,
    /// The back end said that it did not run the request.
    #[error("back-end-rejected")]
    BackEndRejected,
    /// The caller's body broke off before the request was handed on.
    #[error("body-broken")]
    BodyBroken,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Error)]
pub enum UnknownReason {
    /// The connection to the node beside the back end broke.
    #[error("node-lost")]
    NodeLost,
    /// The connection to the back end broke before an answer.
    #[error("back-end-closed")]
    BackEndClosed,
    /// What the back end sent is no answer to this request.
    #[error("answer-spoiled")]
    AnswerSpoiled,
    /// The answer broke off.
    #[error("answer-cut")]
    AnswerCut,
    /// The time was up before an answer came.
    #[error("timed-out")]
    TimedOut,
    /// A request with this identity was admitted before.
    #[error("duplicate")]
    Duplicate,
    /// A request with the caller's own key was admitted before.
    #[error("repeated-key")]
    RepeatedKey,
    /// The caller's body broke off while it was sent on.
    #[error("body-broken")]
    BodyBroken,
}
