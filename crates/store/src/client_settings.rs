//! Time and size limits of the client.

use std::time::Duration;

/// Time and size limits of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientSettings {
    /// Longest time for one request, including its wait for the [`crate::PlatformGate`].
    pub request_timeout: Duration,
    /// Longest time between two lines of a watch. The platform sends a heartbeat every five seconds.
    pub heartbeat_timeout: Duration,
    /// Largest object or response body, in bytes.
    pub max_object_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            request_timeout: Duration::from_secs(3),
            heartbeat_timeout: Duration::from_secs(12),
            max_object_bytes: 16 * 1024 * 1024,
        }
    }
}
