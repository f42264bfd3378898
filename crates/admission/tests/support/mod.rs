//! Helpers shared by the tests of admission, its benches and its overload model.
#![allow(dead_code, missing_docs)]

pub mod goodput;

use umberpond_admission::{
    Admission, AdmissionSettings, Admitted, Attempt, GateStatus, Permit, RequestId, Ticket,
};
use umberpond_config::RequestClass;
use umberpond_model::{Millis, Timestamp};

/// Classes in the order in which they are shed.
pub const CLASSES: [RequestClass; 4] =
    [RequestClass::Reporting, RequestClass::Status, RequestClass::Transaction, RequestClass::Internal];

pub fn attempt(request: u128, class: RequestClass) -> Attempt {
    Attempt {
        request: RequestId(request),
        number: 1,
        class,
        idempotent: class != RequestClass::Transaction,
        remaining: Millis(1_000),
        age: Millis(0),
        key: None,
    }
}

pub fn open_gate(settings: AdmissionSettings) -> Admission {
    let gate = Admission::new(settings, Timestamp(0));
    gate.set_status(GateStatus::Open);
    gate
}

pub fn admitted(gate: &Admission, now: Timestamp, attempt: &Attempt) -> Permit {
    match gate.admit(now, attempt) {
        Ok(Admitted::Now(permit)) => permit,
        other => panic!("not admitted at once: {other:?}"),
    }
}

pub fn queued(gate: &Admission, now: Timestamp, attempt: &Attempt) -> Ticket {
    match gate.admit(now, attempt) {
        Ok(Admitted::Queued(ticket)) => ticket,
        other => panic!("not queued: {other:?}"),
    }
}
