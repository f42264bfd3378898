//! Requests and responses as both halves of the request path process them.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use umberpond_http1::Fields;
use umberpond_model::{BackEndProcess, HomeRegions, RequestRate, ServiceName, TenantId, TenantName};
use umberpond_quarantine::RequestKey;
use umberpond_scheduling::{CallLevel, LoadReport};

use crate::body::PendingBody;
use crate::hop::HopResponseBody;
use crate::outcome::{NotRunReason, UnknownReason};
use crate::upstream::UpstreamBody;

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body, which can be sent several times.
    Whole(Bytes),
    /// A body that is still being received. It can be sent once, by the first attempt that takes its stream.
    Pending(PendingBody),
    /// A body that has been consumed.
    Consumed,
}

impl RequestBody {
    /// Returns the body for one attempt; `None` if it can't be sent any more.
    #[must_use]
    pub fn for_attempt(&self) -> Option<Self> {
        match self {
            Self::Whole(whole) => Some(Self::Whole(whole.clone())),
            Self::Pending(pending) if !pending.is_begun() => Some(Self::Pending(pending.clone())),
            Self::Pending(_) | Self::Consumed => None,
        }
    }

    /// Length in bytes; `None` if it is unknown until the body ends.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Self::Whole(whole) => Some(whole.len() as u64),
            Self::Pending(pending) => pending.length(),
            Self::Consumed => None,
        }
    }

    /// The complete body, or the part of a longer one that was received before the request was forwarded.
    pub(crate) fn beginning(&self) -> &[u8] {
        match self {
            Self::Whole(whole) => whole,
            Self::Pending(pending) => pending.beginning(),
            Self::Consumed => &[],
        }
    }

    /// Whether the body can't be sent any more.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        match self {
            Self::Whole(_) => false,
            Self::Pending(pending) => pending.is_begun(),
            Self::Consumed => true,
        }
    }
}

/// One attempt of a request, as the back end's node receives it.
#[derive(Debug)]
pub struct Attempt {
    /// Request id, set by the caller.
    pub id: Bytes,
    /// Fingerprint of the request, the same each time it is sent.
    pub request_key: RequestKey,
    /// Idempotency key, if the caller sent one.
    pub key: Option<Bytes>,
    /// Target service.
    pub service: ServiceName,
    /// Service on whose behalf the request is sent.
    pub caller: ServiceName,
    /// Tenant on whose behalf the request is sent, if there is one.
    pub tenant: Option<TenantName>,
    /// Regions in which the request may be served.
    pub homes: HomeRegions,
    /// Method.
    pub method: Bytes,
    /// Request target, as the caller sent it.
    pub target: Bytes,
    /// End-to-end header fields.
    pub fields: Fields,
    /// Body.
    pub body: RequestBody,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Hash of the route name, by which the back end's node counts responses.
    pub route: u32,
    /// Priority among the requests for the back end.
    pub priority: u8,
    /// Whether the back end's node is in a different zone from the caller's node.
    pub is_cross_zone: bool,
    /// Time by which a response meets the objective.
    pub objective_at: Instant,
    /// Time after which a response is useless.
    pub deadline: Instant,
    /// Time at which the request is given up if it still waits for a slot.
    pub queue_deadline: Instant,
    /// Maximum expected wait for a slot with which the request is queued.
    pub max_queue_wait: Duration,
    /// Expected service time at the back end.
    pub service_time: Duration,
    /// Whether the caller sent the request before, under another id, and was refused.
    pub is_caller_retry: bool,
    /// Whether this is a retry after the request reached a back end, or a call of a run that was a retry.
    pub is_retry: bool,
    /// Data about the run at the caller's back end that depends on the response, if the request is a call.
    pub call: Option<RunCall>,
    /// Whether the request is sent as a trial run, although it is quarantined.
    pub is_trial: bool,
    /// Request limit of the back end, if the caller's node has forwarded a response that advertised one.
    pub remembered_limit: Option<RememberedLimit>,
}

/// A request limit that a node has seen in a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RememberedLimit {
    /// Process of the back end that advertised it.
    pub process: BackEndProcess,
    /// The limit.
    pub rate: RequestRate,
}

/// Data about a run that its calls carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunCall {
    /// Level of the run.
    pub level: CallLevel,
    /// Tenant of the run. A call that has no tenant itself counts towards this tenant's share of the slots.
    /// The tenant is neither sent to the back end nor charged for the call, since the run was already charged
    /// to its quota.
    pub tenant: Option<TenantId>,
}

impl Attempt {
    /// Tenant to whose share of the slots the attempt counts.
    #[must_use]
    pub fn sharing_tenant(&self) -> Option<TenantId> {
        let own = self.tenant.as_ref().map(TenantId::of);
        own.or_else(|| self.call.and_then(|call| call.tenant))
    }

    /// Level of the run that makes the request, or else the request's own level.
    #[must_use]
    pub fn level(&self) -> CallLevel {
        self.call.map_or_else(|| level_of(&self.id), |call| call.level)
    }
}

/// Level of a request that a caller sent with this id.
fn level_of(id: &[u8]) -> CallLevel {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(id).as_bytes()[..8]);
    CallLevel::from_hash(u64::from_le_bytes(first))
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The back end responded.
    Answered(Response),
    /// The request is known not to have run, and never will.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// A request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// Why the request did not run.
    pub reason: NotRunReason,
    /// Whether the request reached a back end, which rejected it.
    pub reached_back_end: bool,
    /// Delay proposed before a retry, if known.
    pub retry_after: Option<Duration>,
    /// Load of the back end, if its node reported it.
    pub load: Option<LoadReport>,
}

impl NotRun {
    /// A request that ended before it reached a back end.
    #[must_use]
    pub const fn before_back_end(reason: NotRunReason) -> Self {
        Self { reason, reached_back_end: false, retry_after: None, load: None }
    }
}

/// Response of a back end.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// End-to-end header fields.
    pub fields: Fields,
    /// Body.
    pub body: ResponseBody,
    /// Time from sending the request to the back end until its response.
    pub back_end_time: Duration,
    /// Time the request waited for a slot.
    pub waited: Duration,
    /// Load of the back end.
    pub load: LoadReport,
}

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Whole(Bytes),
    /// A long body that is read from the back end.
    Upstream(Box<UpstreamBody>),
    /// A long body that is received from another node.
    Hop(Box<HopResponseBody>),
}

/// Error for a response body that was truncated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseBodyError;

impl ResponseBody {
    /// Length, if known.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Whole(whole) => Some(whole.len() as u64),
            Self::Upstream(body) => body.length(),
            Self::Hop(body) => body.length(),
        }
    }

    /// Time after which no part of the body is of use; `None` if the body is complete.
    pub(crate) const fn deadline(&self) -> Option<Instant> {
        match self {
            Self::Whole(_) => None,
            Self::Upstream(body) => Some(body.deadline()),
            Self::Hop(body) => Some(body.deadline()),
        }
    }

    /// Returns the next part, or `None` at the end of the complete body.
    ///
    /// # Errors
    /// Returns [`ResponseBodyError`] if the body is truncated.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, ResponseBodyError> {
        match self {
            Self::Whole(whole) if whole.is_empty() => Ok(None),
            Self::Whole(whole) => Ok(Some(std::mem::take(whole))),
            Self::Upstream(body) => body.next_part().await,
            Self::Hop(body) => body.next_part().await,
        }
    }
}

/// The request id as text for logs.
pub(crate) fn id_text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}
