//! Limits on the requests and connections of callers.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::Millis;

/// Limits on requests and on the connections that carry them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first byte of a head to its end.
    pub head_time: Millis,
    /// Maximum time that an idle connection is kept open.
    pub idle_time: Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_time: Millis(10_000),
            idle_time: Millis(60_000),
        }
    }
}
