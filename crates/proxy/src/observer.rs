//! Typed events of the request path. The node turns them into metrics, logs and recordings.

use std::time::Duration;

use http::StatusCode;
use umberpond_model::{Millis, NodeName, RouteName, ServiceName};

use crate::{Outcome, RequestId};

/// Receives the events of the request path. Called on the request path: must be quick and must not block.
pub trait RequestObserver: Send + Sync + 'static {
    /// One event has happened.
    fn observe(&self, event: &RequestEvent<'_>);
}

/// An observer that ignores everything.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoObserver;

impl RequestObserver for NoObserver {
    fn observe(&self, _event: &RequestEvent<'_>) {}
}

/// How far an attempt had got when it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No connection stood.
    Connect,
    /// A connection stood and nothing of the request was written.
    BeforeWrite,
    /// Something of the request was written and no answer's head had arrived.
    AwaitingAnswer,
    /// The answer's head had arrived.
    AnswerBody,
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// The connection could not be made in time, or was refused.
    NotConnected,
    /// The connection broke.
    ConnectionLost,
    /// The deadline passed.
    Deadline,
    /// The other side said that the request did not run.
    RejectedByPeer,
    /// The other side said that it does not know.
    UnknownAtPeer,
    /// The answer was made by another node, in another locality, or carried no outcome.
    WrongAnswer,
    /// The end of the answer's body could not be told from a cut, or its framing was ambiguous.
    UnframedAnswer,
    /// The request's body failed at the caller's side.
    RequestBody,
}

/// Why a request was sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// Nothing of it was written.
    NothingWritten,
    /// The inbound half said that it did not run.
    Rejected,
    /// It may run more than once.
    Idempotent,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The message is malformed or asks for something unsupported.
    Malformed,
    /// The head has too many fields or bytes.
    HeadTooLarge,
    /// The sender was too slow.
    SlowSender,
    /// No service has this name, or it is not in this node's scope.
    UnknownHost,
    /// No route of the service matches.
    NoRoute,
    /// No configuration is in force yet.
    NoConfiguration,
    /// No allowed endpoint is left.
    NoEndpoint,
    /// The node is draining.
    Draining,
    /// The local back end is not ready.
    BackendNotReady,
    /// The request is meant for another service.
    WrongService,
    /// The service may not be served in this locality.
    WrongLocality,
    /// Too much work: shed by class.
    Overload,
    /// The back end shed the request itself.
    BackendShed,
    /// The request's id, or the caller's own key, was admitted already.
    Duplicate,
    /// The deadline passed or can't be met.
    Deadline,
    /// Every attempt failed or the retry budget is spent.
    AttemptsExhausted,
}

/// Why an answer or a request was cut after its head was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CutReason {
    /// The caller went away.
    CallerGone,
    /// The upstream body broke off.
    UpstreamCut,
    /// The deadline passed while the body was streaming.
    Deadline,
    /// The process was told to leave at once.
    Killed,
}

/// Time a request spent in each phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Phases {
    /// From the head's arrival to the first pick, or to the admission.
    pub admitted: Duration,
    /// Getting connections, all attempts together.
    pub connecting: Duration,
    /// From the first byte written to the answer's head, all attempts together.
    pub waiting: Duration,
    /// From the head's arrival to the answer's head.
    pub total: Duration,
}

/// One event of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEvent<'a> {
    /// The outbound half matched a request to a route.
    Accepted {
        /// The request.
        request: RequestId,
        /// The route.
        route: &'a RouteName,
        /// The service.
        service: &'a ServiceName,
    },
    /// The outbound half picked an endpoint.
    Picked {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// The endpoint.
        node: &'a NodeName,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How far it had got.
        stage: Stage,
        /// Why it failed.
        failure: AttemptFailure,
    },
    /// The request is sent again.
    Retried {
        /// The request.
        request: RequestId,
        /// Number of the attempt that follows.
        attempt: u32,
        /// What allows it.
        reason: RetryReason,
    },
    /// The inbound half admitted a request.
    Admitted {
        /// The request.
        request: RequestId,
        /// Time it waited for a slot.
        queued: Millis,
    },
    /// A request was refused or given up.
    Refused {
        /// The request, if it had an id already.
        request: Option<RequestId>,
        /// Why.
        reason: RefusalReason,
        /// What the caller was told.
        outcome: Outcome,
    },
    /// A second arrival of an admitted request was dropped.
    Duplicate {
        /// The request.
        request: RequestId,
    },
    /// The answer's head was passed on.
    Answered {
        /// The request.
        request: RequestId,
        /// Status of the answer.
        status: StatusCode,
        /// Time spent.
        phases: Phases,
    },
    /// The exchange was cut.
    Cut {
        /// The request.
        request: RequestId,
        /// Why.
        reason: CutReason,
    },
    /// The answer's body was passed on whole.
    Finished {
        /// The request.
        request: RequestId,
        /// From the head's arrival to the end of the answer.
        total: Duration,
    },
}
