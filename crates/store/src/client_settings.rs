//! Limits of the client.

use std::time::Duration;

/// Time and size limits of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientSettings {
    /// Longest time for one request, its wait at the gate included.
    pub request_limit: Duration,
    /// Longest silence of a watch. The platform sends a heartbeat every five seconds.
    pub heartbeat_limit: Duration,
    /// Largest object or answer, in bytes.
    pub max_object_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            request_limit: Duration::from_secs(3),
            heartbeat_limit: Duration::from_secs(12),
            max_object_bytes: 16 * 1024 * 1024,
        }
    }
}
