//! Detects the requests that crash the back ends that run them, and quarantines them.
//!
//! A request is identified by its [`RequestFingerprint`], which is the same for every attempt of its caller
//! and at every node. The node of a back end that crashes blames the requests that ran there. A response that
//! is not a failure clears a request of the crashes it was blamed for before. Every node holds all findings
//! in its [`SuspectLedger`]. Findings can be merged in any order and repeatedly with the same result, so
//! every node derives the same [`SuspicionLevel`] for a request. A quarantined request is sent again in a few
//! trial runs, which end the quarantine if it was wrong.
//!
//! This crate does no I/O and reads no clock.

mod finding;
mod fingerprint;
mod ledger;
mod settings;
mod suspect;
mod suspicion_level;
mod trial;

pub use finding::{CrashId, Finding, SuspectRecord};
pub use fingerprint::{
    FINGERPRINTED_BYTES, InvalidFingerprint, RequestContent, RequestFingerprint, RequestKey,
};
pub use ledger::{MergeOutcome, SuspectLedger};
pub use settings::QuarantineSettings;
pub use suspicion_level::SuspicionLevel;
pub use trial::{ClaimedTrials, TrialDecision, next_trial};
