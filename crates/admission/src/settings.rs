//! Settings of the gate.

use umberpond_model::{Millis, ONE_SECOND};

use crate::LONGEST_DEADLINE;

/// Settings of [`crate::Admission`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests the back end runs at once.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Longest wait for a slot that a request is queued for, whatever its deadline.
    pub longest_wait: Millis,
    /// Shortest `retry_after` that is told.
    pub retry_after: Millis,
    /// How long an arrival is remembered: at least [`LONGEST_DEADLINE`], which is also kept when memory is short.
    pub window: Millis,
    /// Non-idempotent requests that are remembered at most. The default lasts for 1,092 a second.
    pub remembered_requests: usize,
    /// Idempotency keys that are remembered at most. The default lasts for 546 a second.
    pub remembered_keys: usize,
    /// Whether the number of slots shrinks when the back end sheds.
    pub adaptive: bool,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            slots: 10,
            queue: 10,
            longest_wait: ONE_SECOND,
            retry_after: ONE_SECOND,
            window: Millis(2 * LONGEST_DEADLINE.0),
            remembered_requests: 65_536,
            remembered_keys: 32_768,
            adaptive: true,
        }
    }
}
