//! Load plans of the demo's callers.

use std::net::SocketAddr;

use umberpond_model::ServiceName;
use umberpond_standins::caller::{CallKind, LoadPlan, Spacing};

use crate::error::XtaskError;

/// Call rate per second: about twice the planned load of one node (61 calls per second).
pub const CALLS_PER_SECOND: f64 = 120.0;

/// Seed of every load plan; the same seed generates the same calls.
const SEED: u64 = 1;

/// Client-side timeout of a call, in milliseconds.
const PATIENCE_MILLIS: u64 = 5_000;

/// Deadline sent with each call, in milliseconds.
const DEADLINE_MILLIS: u64 = 3_000;

/// Body size of a plain response, in bytes.
const ANSWER_BYTES: usize = 2_000;

/// Body size of a streamed response, in bytes, and the time over which it is sent, in milliseconds.
const STREAMED_BYTES: usize = 40_000;
const STREAM_MILLIS: u64 = 400;

/// Body size of an upload request, in bytes.
const UPLOAD_BYTES: usize = 60_000;

/// Addresses to which the calls of each service are sent.
#[derive(Debug, Clone)]
pub struct Targets {
    /// For calls to `archive`.
    pub archive: Vec<SocketAddr>,
    /// For calls to `billing`.
    pub billing: Vec<SocketAddr>,
    /// For calls to `solver`.
    pub solver: Vec<SocketAddr>,
}

impl Targets {
    /// Sends every call to one edge node.
    #[must_use]
    pub fn edge(address: SocketAddr) -> Self {
        Self { archive: vec![address], billing: vec![address], solver: vec![address] }
    }
}

/// A load of short calls only, for comparing latencies.
///
/// # Errors
/// Never: all names here are valid.
pub fn short_calls(label: &str, targets: &Targets, seconds: u64) -> Result<LoadPlan, XtaskError> {
    Ok(plan(label, seconds, short_kinds(targets)?))
}

/// A load of short calls, streamed responses and uploads.
///
/// # Errors
/// Never: all names here are valid.
pub fn mixed_calls(label: &str, targets: &Targets, seconds: u64) -> Result<LoadPlan, XtaskError> {
    let mut kinds = short_kinds(targets)?;
    kinds.push(CallKind {
        answer_bytes: STREAMED_BYTES,
        stream_millis: STREAM_MILLIS,
        weight: 2,
        ..kind("solver", "/grids", &targets.solver)?
    });
    kinds.push(CallKind {
        idempotent: false,
        upload_bytes: UPLOAD_BYTES,
        send_key: true,
        weight: 1,
        ..kind("billing", "/gifts", &targets.billing)?
    });
    Ok(plan(label, seconds, kinds))
}

/// A load of calls to the route that only the second version has.
///
/// # Errors
/// Never: all names here are valid.
pub fn calls_of_second_version(label: &str, targets: &Targets, seconds: u64) -> Result<LoadPlan, XtaskError> {
    let kinds = vec![kind("archive", super::bundle::SECOND_VERSION_PATH, &targets.archive)?];
    Ok(plan(label, seconds, kinds))
}

fn short_kinds(targets: &Targets) -> Result<Vec<CallKind>, XtaskError> {
    Ok(vec![
        CallKind { weight: 5, ..kind("archive", "/archive", &targets.archive)? },
        CallKind {
            idempotent: false,
            send_key: true,
            weight: 3,
            ..kind("billing", "/renewals", &targets.billing)?
        },
        CallKind { weight: 5, ..kind("solver", "/hints", &targets.solver)? },
    ])
}

fn kind(service: &str, path_prefix: &str, targets: &[SocketAddr]) -> Result<CallKind, XtaskError> {
    Ok(CallKind {
        service: ServiceName::new(service)?,
        path_prefix: path_prefix.to_owned(),
        idempotent: true,
        weight: 1,
        targets: targets.to_vec(),
        answer_bytes: ANSWER_BYTES,
        hold_millis: None,
        stream_millis: 0,
        upload_bytes: 0,
        send_key: false,
        deadline_millis: Some(DEADLINE_MILLIS),
    })
}

fn plan(label: &str, seconds: u64, mix: Vec<CallKind>) -> LoadPlan {
    const MILLIS_PER_SECOND: u64 = 1_000;
    LoadPlan {
        label: label.to_owned(),
        rate: CALLS_PER_SECOND,
        spacing: Spacing::Poisson,
        duration_millis: seconds * MILLIS_PER_SECOND,
        patience_millis: PATIENCE_MILLIS,
        seed: SEED,
        mix,
    }
}
