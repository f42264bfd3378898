//! Whether callers may be sent to this node.

use thiserror::Error;

/// Why callers should not be sent to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unready {
    /// No configuration is in force.
    #[error("no configuration is in force")]
    NoConfiguration,
    /// So many connections of callers are open that no further one is accepted.
    #[error("no further connection is accepted")]
    NoConnections,
    /// The process was told to stop.
    #[error("the process is stopping")]
    Stopping,
}
