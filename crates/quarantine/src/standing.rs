//! What follows from the findings for a request.

use std::time::Duration;

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspicionLevel {
    /// Like any other.
    Clear,
    /// It runs beside a few others under suspicion at most, so that an end of the back end is explained by few.
    Suspected,
    /// It runs beside no other one under suspicion, so that an end of the back end tells for certain.
    Isolated,
    /// It is refused for this time.
    Paused(Duration),
    /// It is refused.
    Quarantined,
}
