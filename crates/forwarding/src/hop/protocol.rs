//! Messages that two nodes exchange about one request.

use std::time::Duration;

use bitcode::{Decode, Encode};
use bytes::Bytes;
use tokio::time::Instant;
use umberpond_http1::Fields;
use umberpond_model::{BackEndProcess, HomeRegions, RequestRate, ServiceName, TenantId, TenantName};
use umberpond_quarantine::{RequestFingerprint, RequestKey};
use umberpond_scheduling::{CallLevel, LoadReport};

use crate::message::{Attempt, NotRun, RememberedLimit, RequestBody, Response, RunCall};
use crate::outcome::{NotRunReason, UnknownReason};

/// Message from the caller's node to the back end's node.
#[derive(Debug, Encode, Decode)]
pub(crate) enum HopRequest {
    /// Starts an exchange.
    Open(Box<OpenExchange>),
    /// A part of the request body.
    BodyPart(Vec<u8>),
    /// The request body is complete.
    BodyEnd,
}

/// Message from the back end's node to the caller's node.
#[derive(Debug, Encode, Decode)]
pub(crate) enum HopResponse {
    /// Grants the caller's node this number of further bytes of the request body.
    SendBody(u32),
    /// The back end sent a response.
    Answered(Box<HopResponseHead>),
    /// The request did not run and never will.
    NotRun(HopNotRun),
    /// The request may have run.
    Unknown(UnknownReason),
    /// A part of the response body.
    BodyPart(Vec<u8>),
    /// The response body is complete.
    BodyEnd,
    /// The response body ended prematurely.
    BodyBroken,
}

/// A header field.
#[derive(Debug, Encode, Decode)]
pub(crate) struct HopField {
    name: Vec<u8>,
    value: Vec<u8>,
}

/// How a body is transferred.
#[derive(Debug, Encode, Decode)]
pub(crate) enum HopBody {
    /// Inline in this message.
    Whole(Vec<u8>),
    /// In separate parts that follow, with the total length if known. The parts of a request body are sent
    /// only as [`HopResponse::SendBody`] grants them.
    Parts(Option<u64>),
}

/// An attempt without the parts of its body. Times are relative, in microseconds.
#[derive(Debug, Encode, Decode)]
pub(crate) struct OpenExchange {
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
    is_retry: bool,
    call: Option<HopCall>,
    is_trial: bool,
    limit: Option<HopLimit>,
    pub(crate) body: HopBody,
}

/// Head of a response, and its body if that is short.
#[derive(Debug, Encode, Decode)]
pub(crate) struct HopResponseHead {
    pub(crate) status: u16,
    pub(crate) fields: Vec<HopField>,
    pub(crate) body: HopBody,
    /// Time in the back end, in microseconds.
    pub(crate) back_end_time: u64,
    /// Time in the queue, in microseconds.
    pub(crate) waited: u64,
    pub(crate) load: LoadReport,
}

/// A request that did not run.
#[derive(Debug, Encode, Decode)]
pub(crate) struct HopNotRun {
    reason: NotRunReason,
    reached_back_end: bool,
    /// In microseconds.
    retry_after: Option<u64>,
    load: Option<LoadReport>,
}

/// Properties that a call inherits from the run that makes it.
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

/// A request limit that the caller's node has seen in a response of the back end.
#[derive(Debug, Encode, Decode)]
struct HopLimit {
    /// Text form of the back-end process.
    instance: String,
    rate: RequestRate,
}

impl HopLimit {
    fn of(limit: &RememberedLimit) -> Self {
        Self { instance: limit.process.to_string(), rate: limit.rate }
    }

    fn into_limit(self) -> RememberedLimit {
        RememberedLimit { process: BackEndProcess::parse(&self.instance), rate: self.rate }
    }
}

impl OpenExchange {
    /// Creates the message for `attempt`, whose body is transferred as `body`.
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
            is_retry: attempt.is_retry,
            call: attempt.call.as_ref().map(HopCall::of),
            is_trial: attempt.is_trial,
            limit: attempt.remembered_limit.as_ref().map(HopLimit::of),
            body,
        }
    }

    /// Converts the message to an attempt with the given body.
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
            is_retry: self.is_retry,
            call: self.call.map(HopCall::into_call),
            is_trial: self.is_trial,
            remembered_limit: self.limit.map(HopLimit::into_limit),
        }
    }
}

impl HopResponseHead {
    /// Creates the message for `response`, whose body is transferred as `body`.
    pub(crate) fn of(response: &Response, body: HopBody) -> Self {
        Self {
            status: response.status,
            fields: encode_fields(&response.fields),
            body,
            back_end_time: micros(response.back_end_time),
            waited: micros(response.waited),
            load: response.load,
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
    fn from(hop_not_run: HopNotRun) -> Self {
        Self {
            reason: hop_not_run.reason,
            reached_back_end: hop_not_run.reached_back_end,
            retry_after: hop_not_run.retry_after.map(Duration::from_micros),
            load: hop_not_run.load,
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
