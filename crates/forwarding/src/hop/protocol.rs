//! Messages between two nodes about one request.

use std::time::Duration;

use bitcode::{Decode, Encode};
use bytes::Bytes;
use tokio::time::Instant;
use umberpond_http1::Fields;
use umberpond_model::{HomeRegions, ServiceName, TenantId, TenantName};
use umberpond_quarantine::{RequestFingerprint, RequestKey};
use umberpond_scheduling::{CallLevel, LoadReport};

use crate::message::{Attempt, NotRun, RequestBody, Response, RunCall};
use crate::outcome::{NotRunReason, UnknownReason};

/// From the caller's node to the node beside the back end.
#[derive(Debug, Encode, Decode)]
pub(crate) enum HopRequest {
    /// Starts an exchange.
    Open(Box<OpenHop>),
    /// A part of the body.
    BodyPart(Vec<u8>),
    /// The body has come to its proper end.
    BodyEnd,
}

/// From the node beside the back end to the caller's node.
#[derive(Debug, Encode, Decode)]
pub(crate) enum HopResponse {
    /// So many more bytes of the request's body may be sent.
    SendBody(u32),
    /// The back end answered.
    Answered(Box<HopAnswer>),
    /// The request did not run and never will.
    NotRun(HopNotRun),
    /// The request may have run.
    Unknown(UnknownReason),
    /// A part of the answer's body.
    BodyPart(Vec<u8>),
    /// The answer's body has come to its proper end.
    BodyEnd,
    /// The answer's body broke off.
    BodyBroken,
}

/// A header field.
#[derive(Debug, Encode, Decode)]
pub(crate) struct HopField {
    name: Vec<u8>,
    value: Vec<u8>,
}

/// How a body travels.
#[derive(Debug, Encode, Decode)]
pub(crate) enum HopBody {
    /// Inside this message.
    Whole(Vec<u8>),
    /// In parts that follow, with its length, if known. Those of a request wait for [`HopResponse::SendBody`].
    Parts(Option<u64>),
}

/// Everything about an attempt but its body's parts. Times are relative, in microseconds.
#[derive(Debug, Encode, Decode)]
pub(crate) struct OpenHop {
    id: Vec<u8>,
    fingerprint: RequestFingerprint,
    key: Option<Vec<u8>>,
    service: ServiceName,
    caller: ServiceName,
    tenant: Option<TenantName>,
    homes: HomeRegions,
    method: Vec<u8>,
    target: Vec<u8>,
    fields: Vec<HopField>,
    is_idempotent: bool,
    route: u32,
    priority: u8,
    objective_left: u64,
    deadline_left: u64,
    hold_left: u64,
    max_queue_wait: u64,
    service_time: u64,
    is_caller_retry: bool,
    is_repeat: bool,
    call: Option<HopCall>,
    pub(crate) body: HopBody,
}

/// An answer's head, and its body if it is short.
#[derive(Debug, Encode, Decode)]
pub(crate) struct HopAnswer {
    pub(crate) status: u16,
    pub(crate) fields: Vec<HopField>,
    pub(crate) body: HopBody,
    /// Microseconds in the back end.
    pub(crate) back_end_time: u64,
    /// Microseconds in the queue.
    pub(crate) waited: u64,
    pub(crate) load: LoadReport,
}

/// A request that did not run.
#[derive(Debug, Encode, Decode)]
pub(crate) struct HopNotRun {
    reason: NotRunReason,
    reached_back_end: bool,
    /// Microseconds.
    retry_after: Option<u64>,
    load: Option<LoadReport>,
}

/// What a call brings along of the run that makes it.
#[derive(Debug, Encode, Decode)]
struct HopCall {
    level: CallLevel,
    tenant: Option<TenantId>,
}

impl HopCall {
    const fn of(call: &RunCall) -> Self {
        Self { level: call.level, tenant: call.tenant }
    }

    const fn into_call(self) -> RunCall {
        RunCall { level: self.level, tenant: self.tenant }
    }
}

impl OpenHop {
    /// The message for `attempt`, whose body travels as `body`.
    pub(crate) fn of(attempt: &Attempt, body: HopBody) -> Self {
        let now = Instant::now();
        Self {
            id: attempt.id.to_vec(),
            fingerprint: attempt.request_key.content,
            key: attempt.key.as_ref().map(|key| key.to_vec()),
            service: attempt.service.clone(),
            caller: attempt.caller.clone(),
            tenant: attempt.tenant.clone(),
            homes: attempt.homes.clone(),
            method: attempt.method.to_vec(),
            target: attempt.target.to_vec(),
            fields: encode_fields(&attempt.fields),
            is_idempotent: attempt.is_idempotent,
            route: attempt.route,
            priority: attempt.priority,
            objective_left: micros(attempt.objective_at.saturating_duration_since(now)),
            deadline_left: micros(attempt.deadline.saturating_duration_since(now)),
            hold_left: micros(attempt.queue_deadline.saturating_duration_since(now)),
            max_queue_wait: micros(attempt.max_queue_wait),
            service_time: micros(attempt.service_time),
            is_caller_retry: attempt.is_caller_retry,
            is_repeat: attempt.is_repeat,
            call: attempt.call.as_ref().map(HopCall::of),
            body,
        }
    }

    /// The attempt, with `body` for its body.
    pub(crate) fn into_attempt(self, body: RequestBody) -> Attempt {
        let now = Instant::now();
        Attempt {
            id: self.id.into(),
            request_key: RequestKey::new(self.fingerprint, self.caller.as_str()),
            key: self.key.map(Bytes::from),
            service: self.service,
            caller: self.caller,
            tenant: self.tenant,
            homes: self.homes,
            method: self.method.into(),
            target: self.target.into(),
            fields: decode_fields(self.fields),
            body,
            is_idempotent: self.is_idempotent,
            route: self.route,
            priority: self.priority,
            is_cross_zone: false,
            objective_at: now + Duration::from_micros(self.objective_left),
            deadline: now + Duration::from_micros(self.deadline_left),
            queue_deadline: now + Duration::from_micros(self.hold_left),
            max_queue_wait: Duration::from_micros(self.max_queue_wait),
            service_time: Duration::from_micros(self.service_time),
            is_caller_retry: self.is_caller_retry,
            is_repeat: self.is_repeat,
            call: self.call.map(HopCall::into_call),
        }
    }
}

impl HopAnswer {
    /// The message for `answer`, whose body travels as `body`.
    pub(crate) fn of(answer: &Response, body: HopBody) -> Self {
        Self {
            status: answer.status,
            fields: encode_fields(&answer.fields),
            body,
            back_end_time: micros(answer.back_end_time),
            waited: micros(answer.waited),
            load: answer.load,
        }
    }
}

impl From<NotRun> for HopNotRun {
    fn from(not_run: NotRun) -> Self {
        Self {
            reason: not_run.reason,
            reached_back_end: not_run.reached_back_end,
            retry_after: not_run.retry_after.map(micros),
            load: not_run.load,
        }
    }
}

impl From<HopNotRun> for NotRun {
    fn from(told: HopNotRun) -> Self {
        Self {
            reason: told.reason,
            reached_back_end: told.reached_back_end,
            retry_after: told.retry_after.map(Duration::from_micros),
            load: told.load,
        }
    }
}

fn encode_fields(fields: &Fields) -> Vec<HopField> {
    let encode =
        |field: &umberpond_http1::Field| HopField { name: field.name.to_vec(), value: field.value.to_vec() };
    fields.iter().map(encode).collect()
}

pub(crate) fn decode_fields(fields: Vec<HopField>) -> Fields {
    let decode = |field: HopField| umberpond_http1::Field {
        name: Bytes::from(field.name),
        value: Bytes::from(field.value),
    };
    fields.into_iter().map(decode).collect()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
