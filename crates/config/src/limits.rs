//! Limits on what a caller may send.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::Millis;

/// Limits on requests and on the connections that bring them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: u64,
    /// Longest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Millis,
    /// Longest time that a connection without a request is kept.
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
