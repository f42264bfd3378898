//! Requests and answers as both halves of the request path handle them.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use umberpond_http1::Fields;
use umberpond_model::{HomeRegions, ServiceName, TenantId, TenantName};
use umberpond_quarantine::RequestKey;
use umberpond_scheduling::{CallLevel, LoadReport};

use crate::body::PendingBody;
use crate::hop::HopResponseBody;
use crate::outcome::{NotRunReason, UnknownReason};
use crate::upstream::UpstreamBody;

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// The whole body; it can be sent again.
    Whole(Bytes),
    /// A body that is still arriving; it can be sent once, by the first attempt that begins to.
    Pending(PendingBody),
    /// A body that was taken away.
    Consumed,
}

impl RequestBody {
    /// The body for one attempt; absent if it can't be sent any more.
    #[must_use]
    pub fn for_attempt(&self) -> Option<Self> {
        match self {
            Self::Whole(whole) => Some(Self::Whole(whole.clone())),
            Self::Pending(pending) if !pending.is_begun() => Some(Self::Pending(pending.clone())),
            Self::Pending(_) | Self::Consumed => None,
        }
    }

    /// Length in bytes; absent if it is not known before the body's end.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Self::Whole(whole) => Some(whole.len() as u64),
            Self::Pending(pending) => pending.length(),
            Self::Consumed => None,
        }
    }

    /// The body, or the part of a longer one that was there before it was sent on.
    pub(crate) fn beginning(&self) -> &[u8] {
        match self {
            Self::Whole(whole) => whole,
            Self::Pending(pending) => pending.beginning(),
            Self::Consumed => &[],
        }
    }

    /// Whether the body can't be sent any more.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        match self {
            Self::Whole(_) => false,
            Self::Pending(pending) => pending.is_begun(),
            Self::Consumed => true,
        }
    }
}

/// One attempt of a request, as the node beside the back end gets it.
#[derive(Debug)]
pub struct Attempt {
    /// Identity of the request, given by the caller.
    pub id: Bytes,
    /// What the request is known by, the same each time it is sent.
    pub request_key: RequestKey,
    /// The caller's own key, if it gave one.
    pub key: Option<Bytes>,
    /// Service that is meant.
    pub service: ServiceName,
    /// Service on whose behalf the request is sent.
    pub caller: ServiceName,
    /// Tenant on whose behalf the request is sent; absent if it is of none.
    pub tenant: Option<TenantName>,
    /// Where the request may be served.
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
    /// Hash of the name of the route, by which the node beside the back end counts answers.
    pub route: u32,
    /// Rank among the requests for the back end.
    pub priority: u8,
    /// Whether the node beside the back end is in another zone than the caller's.
    pub is_cross_zone: bool,
    /// End of the time within which an answer is of full use.
    pub objective_at: Instant,
    /// End of the time within which an answer is of any use.
    pub deadline: Instant,
    /// When the request is given up if it still waits for a slot.
    pub queue_deadline: Instant,
    /// Longest time that the request may be expected to wait for a slot.
    pub max_queue_wait: Duration,
    /// Time that the back end is expected to take.
    pub service_time: Duration,
    /// Whether the caller has sent the request before, under another identity, and was refused.
    pub is_caller_retry: bool,
    /// Whether it is sent again after it had reached a back end, or is a call of a run that was.
    pub is_repeat: bool,
    /// What waits for it, if it is a call of a run at the back end beside the caller's node.
    pub call: Option<RunCall>,
}

/// What a call brings along of the run that makes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunCall {
    /// Level of the run.
    pub level: CallLevel,
    /// Tenant of the run, in whose share of the slots the call is counted if it names none itself. It is neither told to the back end nor
    /// charged to the tenant's quota, of which the run has taken its part.
    pub tenant: Option<TenantId>,
}

impl Attempt {
    /// Tenant in whose share of the slots it is counted.
    #[must_use]
    pub fn sharing_tenant(&self) -> Option<TenantId> {
        let own = self.tenant.as_ref().map(TenantId::of);
        own.or_else(|| self.call.and_then(|call| call.tenant))
    }

    /// Its level: that of the run which makes it, or else its own.
    #[must_use]
    pub fn level(&self) -> CallLevel {
        self.call.map_or_else(|| level_of(&self.id), |call| call.level)
    }
}

/// The level of a request that a caller has sent under this identity.
fn level_of(id: &[u8]) -> CallLevel {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(id).as_bytes()[..8]);
    CallLevel::from_hash(u64::from_le_bytes(first))
}

/// What is known about an attempt at its end.
#[derive(Debug)]
pub enum AttemptResult {
    /// The back end answered.
    Answered(Response),
    /// It is known that the request did not run, and that it never will.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// A request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// Why.
    pub reason: NotRunReason,
    /// Whether it arrived at a back end, which turned it away.
    pub reached_back_end: bool,
    /// Time after which it may be sent again with better hope, if known.
    pub retry_after: Option<Duration>,
    /// Load of the back end, if its node told it.
    pub load: Option<LoadReport>,
}

impl NotRun {
    /// A request that never came near a back end.
    #[must_use]
    pub const fn before_back_end(reason: NotRunReason) -> Self {
        Self { reason, reached_back_end: false, retry_after: None, load: None }
    }
}

/// The answer of a back end.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// End-to-end header fields.
    pub fields: Fields,
    /// Body.
    pub body: ResponseBody,
    /// Time between handing the request to the back end and its answer.
    pub back_end_time: Duration,
    /// Time the request waited for a slot.
    pub waited: Duration,
    /// Load of the back end.
    pub load: LoadReport,
}

/// Body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body.
    Whole(Bytes),
    /// A long body that comes straight from the back end.
    Upstream(Box<UpstreamBody>),
    /// A long body that comes from another node.
    Hop(Box<HopResponseBody>),
}

/// An answer's body that broke off.
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

    /// The next part; `None` at the proper end.
    ///
    /// # Errors
    /// Returns [`ResponseBodyError`] when the body breaks off.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, ResponseBodyError> {
        match self {
            Self::Whole(whole) if whole.is_empty() => Ok(None),
            Self::Whole(whole) => Ok(Some(std::mem::take(whole))),
            Self::Upstream(body) => body.next_part().await,
            Self::Hop(body) => body.next_part().await,
        }
    }
}

/// The identity of a request as logs tell it.
pub(crate) fn id_text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}
