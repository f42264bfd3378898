//! Finds the requests that end the back ends that run them.
//!
//! A request is known by its [`RequestFingerprint`], which is the same each time it is sent, by whatever attempt of its caller and at whatever node.
//!
//! The core has no I/O and reads no clock.

mod fingerprint;

pub use fingerprint::{FINGERPRINTED_BYTES, InvalidFingerprint, RequestContent, RequestFingerprint};
