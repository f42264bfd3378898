//! Finds the requests that end the back ends that run them, and keeps them away.
//!
//! A request is known by its [`RequestFingerprint`], which is the same each time it is sent, by whatever attempt of its caller and at whatever node.
//! The node beside a back end that ends blames what ran there; an answer of a back end that is no failure clears a request of what it was blamed for before.
//! Every node holds all findings in its [`SuspectLedger`]. They are joined in any order, so it does not matter who hears what first or twice; what follows for a
//! request ([`SuspicionLevel`]) follows for it at every node.
//!
//! The core has no I/O and reads no clock.

mod finding;
mod fingerprint;
mod ledger;
mod settings;
mod standing;
mod suspect;

pub use finding::{CrashId, Finding, SuspectRecord};
pub use fingerprint::{
    FINGERPRINTED_BYTES, InvalidFingerprint, RequestContent, RequestFingerprint, RequestKey,
};
pub use ledger::{MergeOutcome, SuspectLedger};
pub use settings::QuarantineSettings;
pub use standing::SuspicionLevel;
