//! What follows from the findings for a request.

use std::time::Duration;

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Like any other.
    Clear,
    /// It runs, but not beside another one under suspicion, so that an end of the back end tells which of the two it was.
    Suspected,
    /// It is refused for this time.
    Paused(Duration),
    /// It is refused.
    Quarantined,
}
