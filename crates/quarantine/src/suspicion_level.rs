//! Treatment of a request, as it follows from the findings about it.

use std::time::Duration;

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspicionLevel {
    /// The request is treated like any other.
    Clear,
    /// The request runs beside at most a few other suspects, so that a crash of the back end has few possible
    /// causes.
    Suspected,
    /// The request runs beside no other suspect, so that a crash of the back end shows the cause for certain.
    Isolated,
    /// The request is rejected for this time.
    Paused(Duration),
    /// The request is rejected.
    Quarantined,
}
