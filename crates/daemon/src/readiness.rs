//! Readiness of this node for callers.

use thiserror::Error;

/// Reason why this node is not ready for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unready {
    /// No configuration is active.
    #[error("no configuration is in force")]
    NoConfiguration,
    /// The limit of open caller connections is reached, so that no further one is accepted.
    #[error("no further connection is accepted")]
    NoConnections,
    /// The process has received a stop request.
    #[error("the process is stopping")]
    Stopping,
}
